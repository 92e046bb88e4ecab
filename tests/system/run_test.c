/*
 * System tests of requests that may run only once: whichever messages are lost,
 * no key runs twice, and a request reported as "not_run" has not run.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include "cluster.h"

static json_int_t count_runs(const cluster_t *cluster)
{
	return cluster_target_counter_sum(cluster, "runs");
}

/* Starts the cluster, waits for a first run and returns the runs so far. */
static json_int_t start_and_run(cluster_t *cluster)
{
	cluster_start(cluster);
	cluster_wait_successful_runs(cluster);
	return count_runs(cluster);
}

static void test_key_runs_once(void **state)
{
	cluster_t *cluster = *state;
	json_int_t runs_before = start_and_run(cluster);
	harness_reply_t reply = cluster_run(&cluster->instances[0], "k1");
	uint32_t i;

	assert_int_equal(reply.status, 200);
	harness_reply_free(&reply);
	for (i = 0; i < cluster->instance_count; i++) {
		reply = cluster_run(&cluster->instances[i], "k1");
		assert_int_not_equal(reply.status, 0);
		assert_false(cluster_reply_is_not_run(&reply));
		harness_reply_free(&reply);
	}
	assert_int_equal(count_runs(cluster), runs_before + 1);
}

/*
 * The target runs the request and its answer is lost: it must not be sent
 * again, and the error must not say "not_run".
 */
static void test_lost_answer_is_unknown(void **state)
{
	cluster_t *cluster = *state;
	json_int_t runs_before = start_and_run(cluster);
	harness_reply_t reply;

	cluster_control_all_targets(cluster, "{\"drop_run\":true}");
	reply = cluster_run(&cluster->instances[0], "k1");
	assert_int_not_equal(reply.status, 200);
	assert_non_null(json_object_get(reply.json, "error"));
	assert_false(cluster_reply_is_not_run(&reply));
	harness_reply_free(&reply);
	assert_int_equal(count_runs(cluster), runs_before + 1);
}

static void test_draining_targets_refuse(void **state)
{
	cluster_t *cluster = *state;
	json_int_t runs_before = start_and_run(cluster);
	harness_reply_t reply;

	cluster_control_all_targets(cluster, "{\"drain\":true}");
	reply = cluster_run(&cluster->instances[0], "k1");
	assert_int_equal(reply.status, 503);
	assert_true(cluster_reply_is_not_run(&reply));
	harness_reply_free(&reply);
	assert_int_equal(count_runs(cluster), runs_before);
}

static void test_store_down_refuses(void **state)
{
	cluster_t *cluster = *state;
	json_int_t runs_before = start_and_run(cluster);
	harness_reply_t reply;

	cluster_platform_counter(cluster, "{\"down\":true}", "writes");
	reply = cluster_run(&cluster->instances[0], "k1");
	assert_int_equal(reply.status, 503);
	assert_true(cluster_reply_is_not_run(&reply));
	harness_reply_free(&reply);
	assert_int_equal(count_runs(cluster), runs_before);
}

/*
 * The store applies the claim of the key and its answer is lost: the request
 * either runs once or is refused, also when the key is sent again.
 */
static void test_lost_claim_runs_at_most_once(void **state)
{
	cluster_t *cluster = *state;
	json_int_t runs_before = start_and_run(cluster);
	harness_reply_t reply;
	bool ran;

	cluster_platform_counter(cluster, "{\"lose_answers\":1}", "writes");
	reply = cluster_run(&cluster->instances[0], "k1");
	ran = reply.status == 200;
	assert_true(ran || cluster_reply_is_not_run(&reply));
	harness_reply_free(&reply);
	reply = cluster_run(&cluster->instances[1], "k1");
	ran = ran || reply.status == 200;
	harness_reply_free(&reply);
	assert_int_equal(count_runs(cluster), runs_before + ran);
}

/* Name of the log folder: the test to run, or "run" for all tests. */
static const char *test_name = "run";

static int set_up(void **state)
{
	cluster_params_t params = {
		.name = test_name,
		.data_centers = 2,
		.instances = 1,
		.shards = 2,
		.snapshots = 1,
	};

	*state = cluster_create(&params);
	return *state ? 0 : -1;
}

#define RUN_TEST(test) \
	cmocka_unit_test_setup_teardown(test, set_up, cluster_tear_down)

int main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		RUN_TEST(test_key_runs_once),
		RUN_TEST(test_lost_answer_is_unknown),
		RUN_TEST(test_draining_targets_refuse),
		RUN_TEST(test_store_down_refuses),
		RUN_TEST(test_lost_claim_runs_at_most_once),
	};

	if (argc > 1) {
		test_name = argv[1];
		cmocka_set_test_filter(test_name);
	}
	return cmocka_run_group_tests(tests, NULL, NULL);
}
