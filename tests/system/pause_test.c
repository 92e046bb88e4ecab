/*
 * System tests of processes that are paused for longer than the age up to which
 * they act on their view of the system, and then resume.
 */
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <cmocka.h>

#include "cluster.h"

enum {
	SHARDS = 4,
	SEARCHES = 8,
	/* Enough for a 95th percentile of the latency of each shard. */
	WARMUP_ANSWERS = 200,
	/* Longer than the age up to which a process acts on its view, ms. */
	PAUSE_MS = 4000,
	DEADLINE_MS = 3000,
	/* Tolerance for answers after the deadline on a busy machine, ms. */
	LATENESS_MAX_MS = 10000,
	/*
	 * Time after the resume in which work that was wrongly sent would have
	 * reached the targets, ms.
	 */
	SETTLE_MS = 1000,
	LONG_DEADLINE_MS = 20000,
	QUERY_SIZE = 128,
};

/* Delays the claim of a key, so that the front can be paused meanwhile. */
#define SLOW_STORE "{\"slow_ms\":500}"

static void sleep_ms(int wait)
{
	usleep((useconds_t)wait * 1000);
}

/*
 * Searches by one front. For each, @requests has its id as "request=ID" for
 * cluster_execution_count(), and @counts the number of its sub-queries that
 * reached targets.
 * @complete counts the answers that covered all shards.
 */
typedef struct searches_t {
	cluster_t *cluster;
	harness_call_t *calls[SEARCHES];
	char requests[SEARCHES][QUERY_SIZE];
	json_int_t counts[SEARCHES];
	uint32_t complete;
} searches_t;

/* Sends all searches to one front and checks that each is answered in time. */
static void run_searches(searches_t *searches,
			 const cluster_instance_t *instance)
{
	harness_reply_t reply;
	const char *id;
	int i;

	for (i = 0; i < SEARCHES; i++)
		searches->calls[i] = cluster_search_start(instance);
	for (i = 0; i < SEARCHES; i++) {
		reply = harness_http_wait(searches->calls[i]);
		assert_in_range(reply.elapsed, 0,
				DEADLINE_MS + LATENESS_MAX_MS);
		assert_true(reply.status == 200 ||
			    *cluster_reply_error_kind(&reply));
		searches->complete += cluster_reply_is_complete(&reply);
		id = cluster_reply_request_id(&reply);
		/* A request refused by admission control has no id. */
		assert_true(id || cluster_reply_is_not_run(&reply));
		snprintf(searches->requests[i], QUERY_SIZE, "request=%s",
			 id ? id : "none");
		harness_reply_free(&reply);
	}
}

static void record_counts(searches_t *searches)
{
	int i;

	for (i = 0; i < SEARCHES; i++)
		searches->counts[i] = cluster_execution_count(
			searches->cluster, searches->requests[i], "search");
}

static void check_counts_unchanged(const searches_t *searches)
{
	int i;

	for (i = 0; i < SEARCHES; i++)
		assert_int_equal(cluster_execution_count(searches->cluster,
							 searches->requests[i],
							 "search"),
				 searches->counts[i]);
}

/* A resumed gather does not send the work that arrived while it was paused. */
static void test_gather_paused(void **state)
{
	cluster_t *cluster = *state;
	searches_t searches = { .cluster = cluster };
	cluster_load_t load = { .cluster = cluster,
				.front_count = 1,
				.caller_count = 4 };
	mc_handle_t gather;

	cluster_start(cluster);
	cluster_wait_complete_answers(cluster);
	cluster_load_start(&load);
	cluster_load_wait_answered(&load, WARMUP_ANSWERS);
	cluster_load_finish(&load);
	gather = cluster->instances[0].gather;
	harness_signal(cluster->harness, gather, SIGSTOP);
	run_searches(&searches, &cluster->instances[0]);
	sleep_ms(PAUSE_MS);
	record_counts(&searches);
	harness_signal(cluster->harness, gather, SIGCONT);
	sleep_ms(SETTLE_MS);
	check_counts_unchanged(&searches);
	print_message("complete=%u of %d\n", searches.complete, SEARCHES);
	cluster_wait_complete_answers(cluster);
}

/*
 * A run that was sent to a paused gather ends with "outcome_unknown", and the
 * gather does not run it after it resumes.
 */
static void test_gather_paused_in_run(void **state)
{
	cluster_t *cluster = *state;
	harness_reply_t reply;
	uint32_t i;

	cluster_start(cluster);
	cluster_wait_successful_runs(cluster);
	for (i = 0; i < cluster->instance_count; i++)
		harness_signal(cluster->harness, cluster->instances[i].gather,
			       SIGSTOP);
	reply = cluster_run(&cluster->instances[0], "k1");
	assert_string_equal(cluster_reply_error_kind(&reply),
			    "outcome_unknown");
	harness_reply_free(&reply);
	sleep_ms(PAUSE_MS - DEADLINE_MS);
	for (i = 0; i < cluster->instance_count; i++)
		harness_signal(cluster->harness, cluster->instances[i].gather,
			       SIGCONT);
	cluster_wait_complete_answers(cluster);
	sleep_ms(SETTLE_MS);
	assert_int_equal(cluster_execution_count(cluster, "key=k1", "run"), 0);
}

/* Sends a signal to all fronts and gathers except the first front. */
static void signal_peers(cluster_t *cluster, int signal)
{
	uint32_t i;

	for (i = 0; i < cluster->instance_count; i++) {
		if (i)
			harness_signal(cluster->harness,
				       cluster->instances[i].front, signal);
		harness_signal(cluster->harness, cluster->instances[i].gather,
			       signal);
	}
}

/* The first write is the configuration, the second the claim of the key. */
static bool key_is_claimed(void *ctx)
{
	return cluster_platform_counter(ctx, "{}", "writes") > 1;
}

/*
 * A front that resumes while no peer answers has no valid view of the system.
 * It refuses the requests that arrived during the pause, and the run whose key
 * it had claimed before.
 */
static void test_front_paused(void **state)
{
	cluster_t *cluster = *state;
	cluster_instance_t *instance = &cluster->instances[0];
	harness_call_t *calls[3];
	harness_reply_t reply;
	size_t i;

	cluster_start(cluster);
	cluster_wait_complete_answers(cluster);
	cluster_platform_counter(cluster, SLOW_STORE, "writes");
	calls[0] = cluster_start_request(instance, "k1", LONG_DEADLINE_MS);
	harness_wait_until("the key is claimed", key_is_claimed, cluster);
	harness_signal(cluster->harness, instance->front, SIGSTOP);
	calls[1] = cluster_start_request(instance, NULL, LONG_DEADLINE_MS);
	calls[2] = cluster_start_request(instance, "k2", LONG_DEADLINE_MS);
	sleep_ms(PAUSE_MS);
	signal_peers(cluster, SIGSTOP);
	harness_signal(cluster->harness, instance->front, SIGCONT);
	for (i = 0; i < MC_ARRAY_LEN(calls); i++) {
		reply = harness_http_wait(calls[i]);
		assert_string_equal(cluster_reply_error_kind(&reply),
				    "not_ready");
		assert_true(cluster_reply_is_not_run(&reply));
		harness_reply_free(&reply);
	}
	signal_peers(cluster, SIGCONT);
	cluster_wait_complete_answers(cluster);
	assert_int_equal(cluster_target_counter_sum(cluster, "runs"), 0);
}

static int set_up(void **state)
{
	cluster_params_t params = {
		.name = "pause",
		.data_centers = 2,
		.instances = 1,
		.shards = SHARDS,
		.snapshots = 1,
	};

	*state = cluster_create(&params);
	return *state ? 0 : -1;
}

#define PAUSE_TEST(test) \
	cmocka_unit_test_setup_teardown(test, set_up, cluster_tear_down)

int main(void)
{
	const struct CMUnitTest tests[] = {
		PAUSE_TEST(test_gather_paused),
		PAUSE_TEST(test_gather_paused_in_run),
		PAUSE_TEST(test_front_paused),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
