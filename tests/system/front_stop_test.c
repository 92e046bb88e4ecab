/*
 * System tests of the planned stop of a front: the requests that it has read
 * are answered before the process exits, also those that outlast its grace
 * period. An answer says that a request has not run only if no target has got
 * it. Without that, callers see a closed connection and can't tell whether
 * their request has run.
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
#include "raw_http.h"

enum {
	SHARDS = 2,
	GRACE_MS = 3000,
	/* Longer than the grace period, ms. */
	DEADLINE_MS = 20000,
	/* Requests in flight when the stop begins; half of them are runs. */
	REQUESTS = 6,
	KEY_SIZE = 16,
	QUERY_SIZE = 32,
};

/* Targets take longer than the grace period. */
#define SLOW_BEHAVIOUR "{\"delay_ms\":15000}"

/* Requests that callers have sent, every second one a run. */
typedef struct {
	cluster_t *cluster;
	harness_call_t *calls[REQUESTS];
	char keys[REQUESTS][KEY_SIZE];
	/* Counters of the targets before the requests. */
	json_int_t queries_before;
	json_int_t runs_before;
} requests_t;

static void start_slow_cluster(cluster_t *cluster)
{
	cluster_start(cluster);
	cluster_wait_complete_answers(cluster);
	cluster_wait_successful_runs(cluster);
	cluster_control_all_targets(cluster, SLOW_BEHAVIOUR);
}

static bool is_run(uint32_t index)
{
	return index % 2;
}

static void start_requests(requests_t *requests, cluster_t *cluster)
{
	uint32_t i;

	requests->cluster = cluster;
	requests->queries_before =
		cluster_target_counter_sum(cluster, "queries");
	requests->runs_before = cluster_target_counter_sum(cluster, "runs");
	for (i = 0; i < REQUESTS; i++) {
		snprintf(requests->keys[i], KEY_SIZE, "stop-%u", i);
		requests->calls[i] = cluster_start_request(
			&cluster->instances[0],
			is_run(i) ? requests->keys[i] : NULL, DEADLINE_MS);
	}
}

static bool targets_have_all(void *ctx)
{
	const requests_t *requests = ctx;
	json_int_t queries =
		cluster_target_counter_sum(requests->cluster, "queries");
	json_int_t runs = cluster_target_counter_sum(requests->cluster, "runs");

	return queries - requests->queries_before == REQUESTS / 2 * SHARDS &&
	       runs - requests->runs_before == REQUESTS / 2;
}

static void start_requests_in_flight(requests_t *requests, cluster_t *cluster)
{
	start_requests(requests, cluster);
	harness_wait_until("targets have all requests", targets_have_all,
			   requests);
}

static json_int_t count_runs(const cluster_t *cluster, const char *key)
{
	char query[QUERY_SIZE];

	snprintf(query, sizeof(query), "key=%s", key);
	return cluster_execution_count(cluster, query, "run");
}

/* All requests are at targets, so no answer may deny that they have run. */
static void check_outcomes_unknown(requests_t *requests)
{
	harness_reply_t reply;
	uint32_t i;

	for (i = 0; i < REQUESTS; i++) {
		reply = harness_http_wait(requests->calls[i]);
		assert_int_equal(reply.status, 502);
		assert_string_equal(cluster_reply_error_kind(&reply),
				    "outcome_unknown");
		assert_false(cluster_reply_is_not_run(&reply));
		harness_reply_free(&reply);
		if (is_run(i))
			assert_int_equal(count_runs(requests->cluster,
						    requests->keys[i]),
					 1);
	}
}

static void test_answers_at_end_of_grace_period(void **state)
{
	cluster_t *cluster = *state;
	mc_handle_t front;
	requests_t requests;

	start_slow_cluster(cluster);
	front = cluster->instances[0].front;
	start_requests_in_flight(&requests, cluster);
	harness_signal(cluster->harness, front, SIGTERM);
	check_outcomes_unknown(&requests);
	assert_int_equal(harness_stop(cluster->harness, front, 0), 0);
}

static bool is_not_ready(void *ctx)
{
	return !cluster_instance_is_ready(ctx);
}

/* SIGINT during a stop ends the process at once, but not without answers. */
static void test_answers_when_interrupted(void **state)
{
	cluster_t *cluster = *state;
	mc_handle_t front;
	requests_t requests;

	start_slow_cluster(cluster);
	front = cluster->instances[0].front;
	start_requests_in_flight(&requests, cluster);
	harness_signal(cluster->harness, front, SIGTERM);
	harness_wait_until("front is stopping", is_not_ready,
			   &cluster->instances[0]);
	harness_signal(cluster->harness, front, SIGINT);
	check_outcomes_unknown(&requests);
	assert_int_equal(harness_stop(cluster->harness, front, 0), 0);
}

static bool refuses_connections(void *ctx)
{
	const cluster_instance_t *instance = ctx;
	int fd = raw_connect_address(instance->caller_address);

	if (fd >= 0)
		close(fd);
	return fd < 0;
}

/* SIGINT comes when the front has stopped accepting connections already. */
static void test_answers_when_interrupted_late(void **state)
{
	cluster_t *cluster = *state;
	mc_handle_t front;
	requests_t requests;

	start_slow_cluster(cluster);
	front = cluster->instances[0].front;
	start_requests_in_flight(&requests, cluster);
	harness_signal(cluster->harness, front, SIGTERM);
	harness_wait_until("front refuses connections", refuses_connections,
			   &cluster->instances[0]);
	harness_signal(cluster->harness, front, SIGINT);
	check_outcomes_unknown(&requests);
	assert_int_equal(harness_stop(cluster->harness, front, 0), 0);
}

static int connect_front(const cluster_instance_t *instance)
{
	int fd = raw_connect_address(instance->caller_address);

	assert_true(fd >= 0);
	return fd;
}

static void check_refused(int fd)
{
	harness_reply_t reply = cluster_read_reply(fd);

	assert_int_equal(reply.status, 503);
	assert_string_equal(cluster_reply_error_kind(&reply), "stopping");
	assert_true(cluster_reply_is_not_run(&reply));
	harness_reply_free(&reply);
	close(fd);
}

/*
 * The store is silent, so a run waits for the claim of its key and no target
 * gets it: the answer promises that it has not run. One of the runs arrives
 * after the stop has begun.
 */
static void test_refuses_unclaimed_run(void **state)
{
	cluster_t *cluster = *state;
	cluster_instance_t *instance;
	json_int_t runs_before;
	int early, late;

	start_slow_cluster(cluster);
	instance = &cluster->instances[0];
	runs_before = cluster_target_counter_sum(cluster, "runs");
	harness_signal(cluster->harness, cluster->platform, SIGSTOP);
	early = connect_front(instance);
	late = connect_front(instance);
	assert_true(
		cluster_send_request(early, instance, "early", DEADLINE_MS));
	harness_signal(cluster->harness, instance->front, SIGTERM);
	harness_wait_until("front is stopping", is_not_ready, instance);
	assert_true(cluster_send_request(late, instance, "late", DEADLINE_MS));
	check_refused(early);
	check_refused(late);
	assert_int_equal(cluster_target_counter_sum(cluster, "runs"),
			 runs_before);
	assert_int_equal(harness_stop(cluster->harness, instance->front, 0), 0);
}

/* A search that arrives after the stop has begun goes to targets as any other,
 * and is answered before its own deadline if the process has to end. */
static void test_answers_late_search(void **state)
{
	cluster_t *cluster = *state;
	cluster_instance_t *instance;
	harness_reply_t reply;
	int fd;

	start_slow_cluster(cluster);
	instance = &cluster->instances[0];
	fd = connect_front(instance);
	harness_signal(cluster->harness, instance->front, SIGTERM);
	harness_wait_until("front is stopping", is_not_ready, instance);
	assert_true(cluster_send_request(fd, instance, NULL, DEADLINE_MS));
	reply = cluster_read_reply(fd);
	assert_string_equal(cluster_reply_error_kind(&reply),
			    "outcome_unknown");
	harness_reply_free(&reply);
	close(fd);
	assert_int_equal(harness_stop(cluster->harness, instance->front, 0), 0);
}

/* Name of the log folder: the test to run, or "front_stop" for all tests. */
static const char *test_name = "front_stop";

static int set_up(void **state)
{
	cluster_params_t params = {
		.name = test_name,
		.data_centers = 1,
		.instances = 1,
		.shards = SHARDS,
		.snapshots = 1,
		/* Cold targets would not get all requests at once. */
		.policy = "ramp = \"off\"\n",
		.grace = GRACE_MS,
	};

	*state = cluster_create(&params);
	return *state ? 0 : -1;
}

#define FRONT_STOP_TEST(test) \
	cmocka_unit_test_setup_teardown(test, set_up, cluster_tear_down)

int main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		FRONT_STOP_TEST(test_answers_at_end_of_grace_period),
		FRONT_STOP_TEST(test_answers_when_interrupted),
		FRONT_STOP_TEST(test_answers_when_interrupted_late),
		FRONT_STOP_TEST(test_refuses_unclaimed_run),
		FRONT_STOP_TEST(test_answers_late_search),
	};

	if (argc > 1) {
		test_name = argv[1];
		cmocka_set_test_filter(test_name);
	}
	return cmocka_run_group_tests(tests, NULL, NULL);
}
