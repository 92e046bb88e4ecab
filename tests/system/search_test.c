/*
 * System tests of searches: 4 shards in 2 data centres, each with one target
 * per shard, one front and one gather. In every answer the reported coverage
 * must match the hits, and all hits must come from one snapshot.
 */
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <cmocka.h>

#include "cluster.h"
#include "raw_http.h"

enum {
	SHARDS = 4,
	/*
	 * Hits that SEARCH asks for: more than shards, so that each shard that
	 * answers has a hit.
	 */
	HITS_LIMIT = 6,
	ID_SIZE = 128,
	DEADLINE_MS = 3000,
	/* Tolerance for answers after the deadline on a busy machine, ms. */
	LATENESS_MAX_MS = 10000,
	/* The shard whose targets a test kills or makes misbehave. */
	AFFECTED_SHARD = 1,
	/* Connections that callers half-close; every second one so long after
	 * its request that the front has read it, ms. */
	HALF_CLOSED = 4,
	HALF_CLOSE_DELAY_MS = 100,
};

#define SEARCH                                                            \
	"{\"service\":\"" CLUSTER_SERVICE "\",\"query\":{\"q\":\"dry\"}," \
	"\"limit\":6,\"class\":\"interactive\"}"
#define DEADLINE "Deadline-Ms: 3000"

static harness_request_t search_request(char *url, size_t size,
					const cluster_instance_t *instance)
{
	snprintf(url, size, "%s/v1/search", instance->url);
	return (harness_request_t){
		.method = "POST",
		.url = url,
		.headers = { DEADLINE, "Content-Type: application/json" },
		.body = SEARCH,
	};
}

static const json_t *require_member(const json_t *json, const char *key)
{
	const json_t *value = json_object_get(json, key);

	if (!value)
		fail_msg("answer has no key \"%s\"", key);
	return value;
}

static json_int_t require_integer(const json_t *json, const char *key)
{
	const json_t *value = require_member(json, key);

	assert_true(json_is_integer(value));
	return json_integer_value(value);
}

static const char *require_text(const json_t *json, const char *key)
{
	const json_t *value = require_member(json, key);

	assert_true(json_is_string(value));
	return json_string_value(value);
}

static uint32_t read_shard(const json_t *json)
{
	json_int_t shard = require_integer(json, "shard");

	assert_string_equal(require_text(json, "service"), CLUSTER_SERVICE);
	assert_in_range(shard, 0, SHARDS - 1);
	return (uint32_t)shard;
}

/* Sets @missing; checks that each such shard is listed once, with a reason. */
static void read_missing(const json_t *answer, bool *missing)
{
	const json_t *list = require_member(answer, "missing");
	const json_t *entry;
	uint32_t shard;
	size_t i;

	json_array_foreach(list, i, entry)
	{
		shard = read_shard(entry);
		assert_false(missing[shard]);
		assert_true(*require_text(entry, "reason"));
		missing[shard] = true;
	}
}

/* Checks the reported coverage against the shards that are not missing. */
static void check_coverage(const json_t *answer, const bool *missing)
{
	const json_t *coverage = require_member(answer, "coverage");
	json_int_t answered = 0, documents = 0, total = 0;
	uint32_t i;

	for (i = 0; i < SHARDS; i++) {
		total += (i + 1) * CLUSTER_DOCUMENTS;
		if (missing[i])
			continue;
		answered++;
		documents += (i + 1) * CLUSTER_DOCUMENTS;
	}
	assert_int_equal(require_integer(coverage, "shards_total"), SHARDS);
	assert_int_equal(require_integer(coverage, "documents_total"), total);
	assert_int_equal(require_integer(coverage, "shards_answered"),
			 answered);
	assert_int_equal(require_integer(coverage, "documents_answered"),
			 documents);
	assert_int_equal(json_is_true(require_member(answer, "complete")),
			 answered == SHARDS);
}

/*
 * Checks that all hits come from the pinned snapshot, ordered by score, and
 * that just the shards that are not missing have hits.
 */
static void check_hits(const json_t *answer, const bool *missing)
{
	const char *snapshot = require_text(require_member(answer, "snapshot"),
					    CLUSTER_SERVICE);
	bool seen[SHARDS] = { false };
	double score, last = 0;
	char prefix[ID_SIZE];
	const json_t *hit;
	uint32_t shard;
	size_t i;

	json_array_foreach(require_member(answer, "hits"), i, hit)
	{
		shard = read_shard(hit);
		snprintf(prefix, sizeof(prefix), "%s/%u/", snapshot, shard);
		assert_memory_equal(require_text(hit, "id"), prefix,
				    strlen(prefix));
		score = json_number_value(require_member(hit, "score"));
		assert_true(!i || score <= last);
		last = score;
		seen[shard] = true;
	}
	assert_true(i <= HITS_LIMIT);
	for (i = 0; i < SHARDS; i++)
		assert_int_equal(seen[i], !missing[i]);
}

/* Checks a reply, frees it and returns its answer, owned by the caller. */
static json_t *check_answer(harness_reply_t *reply)
{
	json_t *answer = json_incref(reply->json);
	bool missing[SHARDS] = { false };

	if (reply->status != 200 || !answer)
		fail_msg("search ended with status %d: %s", reply->status,
			 reply->body);
	harness_reply_free(reply);
	assert_true(*require_text(answer, "request"));
	read_missing(answer, missing);
	check_coverage(answer, missing);
	check_hits(answer, missing);
	return answer;
}

static json_t *search_and_check(const cluster_instance_t *instance)
{
	char url[2 * HARNESS_URL_SIZE];
	harness_request_t request = search_request(url, sizeof(url), instance);
	harness_reply_t reply = harness_http(&request);

	return check_answer(&reply);
}

static bool is_not_run_refusal(const harness_reply_t *reply)
{
	const json_t *error = json_object_get(reply->json, "error");

	return reply->status == 503 &&
	       json_is_true(json_object_get(error, "not_run"));
}

/*
 * Whether a search covers all shards. It may be refused as "not_run" as long as
 * targets have only just started or been discovered.
 */
static bool search_is_complete(void *ctx)
{
	char url[2 * HARNESS_URL_SIZE];
	harness_request_t request = search_request(url, sizeof(url), ctx);
	harness_reply_t reply = harness_http(&request);
	json_t *answer;
	bool complete;

	if (is_not_run_refusal(&reply)) {
		harness_reply_free(&reply);
		return false;
	}
	answer = check_answer(&reply);
	complete = json_is_true(require_member(answer, "complete"));
	json_decref(answer);
	return complete;
}

static void wait_complete(cluster_t *cluster)
{
	uint32_t i;

	for (i = 0; i < cluster->instance_count; i++)
		harness_wait_until("an answer is complete", search_is_complete,
				   &cluster->instances[i]);
}

static void test_merges_all_shards(void **state)
{
	static const char *const ids[HITS_LIMIT] = { "s1/0/0", "s1/1/0",
						     "s1/2/0", "s1/3/0",
						     "s1/0/1", "s1/1/1" };
	cluster_t *cluster = *state;
	const json_t *hits;
	json_t *answer;
	uint32_t i;

	cluster_start(cluster);
	wait_complete(cluster);
	answer = search_and_check(&cluster->instances[0]);
	hits = require_member(answer, "hits");
	assert_int_equal(json_array_size(hits), HITS_LIMIT);
	for (i = 0; i < HITS_LIMIT; i++)
		assert_string_equal(require_text(json_array_get(hits, i), "id"),
				    ids[i]);
	json_decref(answer);
}

/*
 * Snapshot s2 is newer, but at first one shard does not serve it yet. Searches
 * must get complete answers before and after that shard serves it, and no
 * answer may mix the snapshots.
 */
static void test_pins_one_snapshot(void **state)
{
	cluster_t *cluster = *state;
	uint32_t i;

	cluster->params.snapshots = 2;
	cluster_start(cluster);
	wait_complete(cluster);
	for (i = 0; i < cluster->target_count; i++)
		if (cluster->targets[i].shard != AFFECTED_SHARD)
			cluster_control_target(
				&cluster->targets[i],
				"{\"snapshots\":[\"s1\",\"s2\"]}");
	for (i = 0; i < SHARDS; i++)
		json_decref(search_and_check(&cluster->instances[i % 2]));
	wait_complete(cluster);
	cluster_control_all_targets(cluster, "{\"snapshots\":[\"s1\",\"s2\"]}");
	for (i = 0; i < SHARDS; i++)
		json_decref(search_and_check(&cluster->instances[i % 2]));
	wait_complete(cluster);
}

/* A sub-query's answer from a snapshot other than the pinned one is dropped. */
static void test_drops_other_snapshot(void **state)
{
	cluster_t *cluster = *state;
	uint32_t i;
	json_t *answer;

	cluster_start(cluster);
	wait_complete(cluster);
	for (i = 0; i < cluster->target_count; i++)
		if (cluster->targets[i].shard == AFFECTED_SHARD)
			cluster_control_target(&cluster->targets[i],
					       "{\"echo_snapshot\":\"s0\"}");
	for (i = 0; i < cluster->instance_count; i++) {
		answer = search_and_check(&cluster->instances[i]);
		assert_true(json_is_false(require_member(answer, "complete")));
		json_decref(answer);
	}
}

/* Kills every target of AFFECTED_SHARD in a data centre. */
static void kill_targets_of_shard(cluster_t *cluster, uint32_t data_center)
{
	cluster_target_t *target;
	uint32_t i;

	for (i = 0; i < cluster->target_count; i++) {
		target = &cluster->targets[i];
		if (target->data_center == data_center &&
		    target->shard == AFFECTED_SHARD)
			harness_stop(cluster->harness, target->process,
				     SIGKILL);
	}
}

static void test_target_killed(void **state)
{
	cluster_t *cluster = *state;
	uint32_t i;
	json_t *answer;

	cluster_start(cluster);
	wait_complete(cluster);
	kill_targets_of_shard(cluster, 0);
	wait_complete(cluster);
	kill_targets_of_shard(cluster, 1);
	for (i = 0; i < cluster->instance_count; i++) {
		answer = search_and_check(&cluster->instances[i]);
		assert_true(json_is_false(require_member(answer, "complete")));
		json_decref(answer);
	}
}

/* Set by target_has_work(): the data centre of a target that has work. */
typedef struct work_poll_t {
	cluster_t *cluster;
	uint32_t data_center;
} work_poll_t;

static bool target_has_work(void *ctx)
{
	work_poll_t *poll = ctx;
	const cluster_target_t *target;
	uint32_t i;

	for (i = 0; i < poll->cluster->target_count; i++) {
		target = &poll->cluster->targets[i];
		if (cluster_target_counter(target, "in_flight") > 0) {
			poll->data_center = target->data_center;
			return true;
		}
	}
	return false;
}

static void test_gather_killed_in_query(void **state)
{
	cluster_t *cluster = *state;
	work_poll_t poll = { .cluster = cluster };
	char url[2 * HARNESS_URL_SIZE];
	harness_request_t request;
	harness_reply_t reply;
	harness_call_t *call;

	cluster_start(cluster);
	wait_complete(cluster);
	cluster_control_all_targets(cluster, "{\"delay_ms\":400}");
	request = search_request(url, sizeof(url), &cluster->instances[0]);
	call = harness_http_start(&request);
	harness_wait_until("targets have work", target_has_work, &poll);
	harness_stop(cluster->harness,
		     cluster->instances[poll.data_center].gather, SIGKILL);
	reply = harness_http_wait(call);
	assert_in_range(reply.elapsed, 0, DEADLINE_MS + LATENESS_MAX_MS);
	json_decref(check_answer(&reply));
	wait_complete(cluster);
}

/* A planned stop of a front lets its requests in flight finish. */
static void test_front_stopped_in_query(void **state)
{
	cluster_t *cluster = *state;
	work_poll_t poll = { .cluster = cluster };
	char url[2 * HARNESS_URL_SIZE];
	harness_request_t request;
	harness_reply_t reply;
	harness_call_t *call;
	json_t *answer;

	cluster_start(cluster);
	wait_complete(cluster);
	cluster_control_all_targets(cluster, "{\"delay_ms\":400}");
	request = search_request(url, sizeof(url), &cluster->instances[0]);
	call = harness_http_start(&request);
	harness_wait_until("targets have work", target_has_work, &poll);
	assert_int_equal(harness_stop(cluster->harness,
				      cluster->instances[0].front, SIGTERM),
			 0);
	reply = harness_http_wait(call);
	answer = check_answer(&reply);
	assert_true(json_is_true(require_member(answer, "complete")));
	json_decref(answer);
}

/*
 * A caller that shuts down its sending side after its request still reads. It
 * is not taken for one that has left, neither while targets work for it nor
 * when its request and the end of its stream arrive together.
 */
static void test_answers_half_closed_connection(void **state)
{
	cluster_t *cluster = *state;
	const cluster_instance_t *instance;
	harness_reply_t reply;
	int fds[HALF_CLOSED], i;

	cluster_start(cluster);
	wait_complete(cluster);
	cluster_control_all_targets(cluster, "{\"delay_ms\":400}");
	instance = &cluster->instances[0];
	for (i = 0; i < HALF_CLOSED; i++) {
		fds[i] = raw_connect_address(instance->caller_address);
		assert_true(fds[i] >= 0);
		assert_true(cluster_send_request(fds[i], instance, NULL,
						 DEADLINE_MS));
		if (i % 2)
			harness_sleep(HALF_CLOSE_DELAY_MS);
		shutdown(fds[i], SHUT_WR);
	}
	for (i = 0; i < HALF_CLOSED; i++) {
		reply = cluster_read_reply(fds[i]);
		assert_true(cluster_reply_is_complete(&reply));
		harness_reply_free(&reply);
		close(fds[i]);
	}
}

/* Name of the log folder: the test to run, or "search" for all tests. */
static const char *test_name = "search";

static int set_up(void **state)
{
	cluster_params_t params = {
		.name = test_name,
		.data_centers = 2,
		.instances = 1,
		.shards = SHARDS,
		.snapshots = 1,
	};

	*state = cluster_create(&params);
	return *state ? 0 : -1;
}

#define SEARCH_TEST(test) \
	cmocka_unit_test_setup_teardown(test, set_up, cluster_tear_down)

int main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		SEARCH_TEST(test_merges_all_shards),
		SEARCH_TEST(test_pins_one_snapshot),
		SEARCH_TEST(test_drops_other_snapshot),
		SEARCH_TEST(test_target_killed),
		SEARCH_TEST(test_gather_killed_in_query),
		SEARCH_TEST(test_front_stopped_in_query),
		SEARCH_TEST(test_answers_half_closed_connection),
	};

	if (argc > 1) {
		test_name = argv[1];
		cmocka_set_test_filter(test_name);
	}
	return cmocka_run_group_tests(tests, NULL, NULL);
}
