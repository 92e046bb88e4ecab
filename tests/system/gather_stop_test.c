/*
 * System tests of the planned stop of a gather: fronts learn of all that it has
 * in flight before it exits, so that they know what has not run and can try
 * other targets. A run that was sent to a target is never said not to have run.
 */
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include "cluster.h"

enum {
	GRACE_MS = 3000,
	/* Sub-queries wait at the gather for a quarter of it, which is longer
	 * than the grace period, ms. */
	DEADLINE_MS = 25000,
	/* Requests that a target gets from one gather at a time; there are
	 * more. */
	TARGET_SLOTS = 16,
	RUNS = 4,
	SEARCHES = 20,
	KEY_SIZE = 16,
	QUERY_SIZE = 128,
};

/* The target takes longer than the grace period. */
#define SLOW_BEHAVIOUR "{\"delay_ms\":20000}"

static bool target_is_full(void *ctx)
{
	const cluster_t *cluster = ctx;

	return cluster_target_counter(&cluster->targets[0], "in_flight") ==
	       TARGET_SLOTS;
}

static bool target_has_runs(void *ctx)
{
	const cluster_t *cluster = ctx;

	return cluster_target_counter(&cluster->targets[0], "in_flight") ==
	       RUNS;
}

static void start_cluster(cluster_t *cluster)
{
	cluster_start(cluster);
	cluster_wait_complete_answers(cluster);
	cluster_wait_successful_runs(cluster);
	cluster_control_target(&cluster->targets[0], SLOW_BEHAVIOUR);
}

static void start_runs(cluster_t *cluster, harness_call_t **calls)
{
	char key[KEY_SIZE];
	uint32_t i;

	for (i = 0; i < RUNS; i++) {
		snprintf(key, sizeof(key), "stop-%u", i);
		calls[i] = cluster_start_request(&cluster->instances[0], key,
						 DEADLINE_MS);
	}
	harness_wait_until("target has the runs", target_has_runs, cluster);
}

static void start_searches(cluster_t *cluster, harness_call_t **calls)
{
	uint32_t i;

	for (i = 0; i < SEARCHES; i++)
		calls[i] = cluster_start_request(&cluster->instances[0], NULL,
						 DEADLINE_MS);
	harness_wait_until("target has as many requests as it may get",
			   target_is_full, cluster);
}

static void check_runs_unknown(harness_call_t **calls)
{
	harness_reply_t reply;
	uint32_t i;

	for (i = 0; i < RUNS; i++) {
		reply = harness_http_wait(calls[i]);
		assert_string_equal(cluster_reply_error_kind(&reply),
				    "outcome_unknown");
		assert_false(cluster_reply_is_not_run(&reply));
		harness_reply_free(&reply);
	}
}

static bool was_executed(const cluster_t *cluster, const harness_reply_t *reply)
{
	char query[QUERY_SIZE];

	snprintf(query, sizeof(query), "request=%s",
		 cluster_reply_request_id(reply));
	return cluster_execution_count(cluster, query, "search") > 0;
}

/* Returns how many searches have not run, which their errors must say. */
static uint32_t check_searches(const cluster_t *cluster, harness_call_t **calls)
{
	harness_reply_t reply;
	uint32_t not_run = 0;
	uint32_t i;

	for (i = 0; i < SEARCHES; i++) {
		reply = harness_http_wait(calls[i]);
		assert_int_not_equal(reply.status, 200);
		assert_int_not_equal(cluster_reply_is_not_run(&reply),
				     was_executed(cluster, &reply));
		not_run += cluster_reply_is_not_run(&reply);
		harness_reply_free(&reply);
	}
	return not_run;
}

/*
 * The only target has as many requests as its gather may send it, and others
 * wait at the gather: their callers learn that they have not run.
 */
static void test_says_what_has_run(void **state)
{
	cluster_t *cluster = *state;
	harness_call_t *runs[RUNS], *searches[SEARCHES];
	mc_handle_t gather;

	start_cluster(cluster);
	gather = cluster->instances[0].gather;
	start_runs(cluster, runs);
	start_searches(cluster, searches);
	harness_signal(cluster->harness, gather, SIGTERM);
	check_runs_unknown(runs);
	assert_int_equal(check_searches(cluster, searches),
			 RUNS + SEARCHES - TARGET_SLOTS);
	assert_int_equal(harness_stop(cluster->harness, gather, 0), 0);
}

/*
 * What is still at a target when the grace period ends is sent to the replica
 * in the other data centre, so that callers get complete answers.
 */
static void test_front_tries_other_target(void **state)
{
	cluster_t *cluster = *state;
	harness_call_t *calls[SEARCHES];
	harness_reply_t reply;
	mc_handle_t gather;
	uint32_t i;

	start_cluster(cluster);
	gather = cluster->instances[0].gather;
	for (i = 0; i < SEARCHES; i++)
		calls[i] = cluster_start_request(&cluster->instances[0], NULL,
						 DEADLINE_MS);
	cluster_wait_busy_target(cluster);
	harness_signal(cluster->harness, gather, SIGTERM);
	for (i = 0; i < SEARCHES; i++) {
		reply = harness_http_wait(calls[i]);
		assert_true(cluster_reply_is_complete(&reply));
		harness_reply_free(&reply);
	}
	assert_int_equal(harness_stop(cluster->harness, gather, 0), 0);
}

/* Name of the log folder: the test to run, or "gather_stop" for all tests. */
static const char *test_name = "gather_stop";

static int create(void **state, uint32_t data_centers)
{
	cluster_params_t params = {
		.name = test_name,
		.data_centers = data_centers,
		.instances = 1,
		.shards = 1,
		.snapshots = 1,
		/* Cold targets would get less than TARGET_SLOTS. */
		.policy = "ramp = \"off\"\n",
		.grace = GRACE_MS,
	};

	*state = cluster_create(&params);
	return *state ? 0 : -1;
}

static int set_up(void **state)
{
	return create(state, 1);
}

static int set_up_two_data_centers(void **state)
{
	return create(state, 2);
}

int main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_says_what_has_run, set_up,
						cluster_tear_down),
		cmocka_unit_test_setup_teardown(test_front_tries_other_target,
						set_up_two_data_centers,
						cluster_tear_down),
	};

	if (argc > 1) {
		test_name = argv[1];
		cmocka_set_test_filter(test_name);
	}
	return cmocka_run_group_tests(tests, NULL, NULL);
}
