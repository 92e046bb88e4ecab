/*
 * System tests of requests that may run only once, while processes are killed
 * and connections lost: no key runs twice, and a run whose outcome can't be
 * known ends with the error "outcome_unknown".
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
	SHARDS = 2,
	KEY_COUNT = 5,
	PHASE_ANSWERS = 60,
	KEY_SIZE = 16,
	QUERY_SIZE = 32,
};

/* The delay leaves the test time to act before the target answers. */
#define SLOW_BEHAVIOUR "{\"delay_ms\":1500}"
#define FAST_BEHAVIOUR "{\"delay_ms\":0}"

/* Returns how often all targets together have run a key. */
static json_int_t count_runs(const cluster_t *cluster, const char *key)
{
	char query[QUERY_SIZE];

	snprintf(query, sizeof(query), "key=%s", key);
	return cluster_execution_count(cluster, query, "run");
}

/*
 * Sends the key again: it must be refused as a duplicate, and without
 * "not_run", since it has run.
 */
static void check_refused_as_duplicate(const cluster_instance_t *instance,
				       const char *key)
{
	harness_reply_t reply = cluster_run(instance, key);

	assert_int_equal(reply.status, 409);
	assert_string_equal(cluster_reply_error_kind(&reply), "duplicate");
	assert_false(cluster_reply_is_not_run(&reply));
	harness_reply_free(&reply);
}

static void start_cluster(cluster_t *cluster)
{
	cluster_start(cluster);
	cluster_wait_successful_runs(cluster);
}

static void test_gather_killed(void **state)
{
	cluster_t *cluster = *state;
	cluster_instance_t *instance;
	harness_reply_t reply;
	harness_call_t *call;

	start_cluster(cluster);
	cluster_control_all_targets(cluster, SLOW_BEHAVIOUR);
	call = cluster_run_start(&cluster->instances[0], "k1");
	instance = cluster_find_local_instance(
		cluster, cluster_wait_busy_target(cluster));
	harness_stop(cluster->harness, instance->gather, SIGKILL);
	reply = harness_http_wait(call);
	assert_string_equal(cluster_reply_error_kind(&reply),
			    "outcome_unknown");
	assert_false(cluster_reply_is_not_run(&reply));
	harness_reply_free(&reply);
	cluster_control_all_targets(cluster, FAST_BEHAVIOUR);
	check_refused_as_duplicate(&cluster->instances[1], "k1");
	check_refused_as_duplicate(&cluster->instances[0], "k1");
	assert_int_equal(count_runs(cluster, "k1"), 1);
}

static void test_front_killed(void **state)
{
	cluster_t *cluster = *state;
	harness_reply_t reply;
	harness_call_t *call;

	start_cluster(cluster);
	cluster_control_all_targets(cluster, SLOW_BEHAVIOUR);
	call = cluster_run_start(&cluster->instances[0], "k1");
	cluster_wait_busy_target(cluster);
	harness_stop(cluster->harness, cluster->instances[0].front, SIGKILL);
	reply = harness_http_wait(call);
	assert_int_equal(reply.status, 0);
	harness_reply_free(&reply);
	cluster_control_all_targets(cluster, FAST_BEHAVIOUR);
	check_refused_as_duplicate(&cluster->instances[1], "k1");
	assert_int_equal(count_runs(cluster, "k1"), 1);
}

/*
 * A target runs the request and drops the connection, so the outcome is unknown
 * and the request must not be sent again. The searches before it leave open
 * connections to the targets, none of which a run may use.
 */
static void test_connection_lost(void **state)
{
	cluster_t *cluster = *state;
	harness_reply_t reply;
	char key[KEY_SIZE];
	int i;

	start_cluster(cluster);
	cluster_wait_complete_answers(cluster);
	cluster_control_all_targets(cluster, "{\"drop_run\":true}");
	for (i = 0; i < KEY_COUNT; i++) {
		snprintf(key, sizeof(key), "k%d", i);
		reply = cluster_run(&cluster->instances[i % 2], key);
		assert_string_equal(cluster_reply_error_kind(&reply),
				    "outcome_unknown");
		harness_reply_free(&reply);
		assert_int_equal(count_runs(cluster, key), 1);
	}
}

static void test_two_fronts_at_once(void **state)
{
	cluster_t *cluster = *state;
	harness_reply_t replies[2];
	harness_call_t *calls[2];
	int answered = 0;
	int i;

	start_cluster(cluster);
	cluster_control_all_targets(cluster, "{\"delay_ms\":200}");
	for (i = 0; i < 2; i++)
		calls[i] = cluster_run_start(&cluster->instances[i], "k1");
	for (i = 0; i < 2; i++) {
		replies[i] = harness_http_wait(calls[i]);
		answered += replies[i].status == 200;
		assert_false(cluster_reply_is_not_run(&replies[i]));
		harness_reply_free(&replies[i]);
	}
	assert_in_range(answered, 1, 2);
	assert_int_equal(count_runs(cluster, "k1"), 1);
}

/* State of run_ends_unknown(); @count numbers the keys that it has tried. */
typedef struct unknown_poll_t {
	cluster_t *cluster;
	int count;
} unknown_poll_t;

/*
 * Runs a new key and returns whether its outcome is reported as unknown. Checks
 * that such a key has run once, and that a key reported as not run has not.
 */
static bool run_ends_unknown(void *ctx)
{
	unknown_poll_t *poll = ctx;
	harness_reply_t reply;
	char key[KEY_SIZE];
	bool unknown;

	snprintf(key, sizeof(key), "u%d", poll->count++);
	reply = cluster_run(&poll->cluster->instances[0], key);
	unknown = !strcmp(cluster_reply_error_kind(&reply), "outcome_unknown");
	assert_true(!unknown || count_runs(poll->cluster, key) == 1);
	assert_true(!cluster_reply_is_not_run(&reply) ||
		    !count_runs(poll->cluster, key));
	harness_reply_free(&reply);
	return unknown;
}

/*
 * Whether targets shed, drop connections, drain or are down: no target may have
 * run a request that is reported as "not_run".
 */
static void test_not_run_is_true(void **state)
{
	static const char *const behaviours[] = {
		"{\"delay_ms\":20,\"bears\":1,\"shed\":true}",
		"{\"bears\":0,\"drop_run\":true}",
		"{\"drain\":true}",
		"{\"down\":true}",
	};
	cluster_t *cluster = *state;
	cluster_load_t load = {
		.cluster = cluster,
		.front_count = 2,
		.caller_count = 8,
		.pause_ms = 5,
		.include_runs = true,
	};
	unknown_poll_t poll = { .cluster = cluster };
	size_t i;

	start_cluster(cluster);
	cluster_load_start(&load);
	for (i = 0; i < MC_ARRAY_LEN(behaviours); i++) {
		cluster_control_all_targets(cluster, behaviours[i]);
		cluster_load_wait_answered(&load, PHASE_ANSWERS);
		if (strstr(behaviours[i], "drop_run"))
			harness_wait_until("a run ends with an unknown outcome",
					   run_ends_unknown, &poll);
	}
	cluster_load_finish(&load);
	print_message("complete=%u partial=%u refused=%u not_run=%u\n",
		      load.complete, load.partial, load.error_replies,
		      load.not_run);
	assert_int_not_equal(load.not_run, 0);
	assert_int_equal(load.connections_lost, 0);
}

static int set_up(void **state)
{
	cluster_params_t params = {
		.name = "once",
		.data_centers = 2,
		.instances = 1,
		.shards = SHARDS,
		.snapshots = 1,
	};

	*state = cluster_create(&params);
	return *state ? 0 : -1;
}

#define RUN_ONCE_TEST(test) \
	cmocka_unit_test_setup_teardown(test, set_up, cluster_tear_down)

int main(void)
{
	const struct CMUnitTest tests[] = {
		RUN_ONCE_TEST(test_gather_killed),
		RUN_ONCE_TEST(test_front_killed),
		RUN_ONCE_TEST(test_connection_lost),
		RUN_ONCE_TEST(test_two_fronts_at_once),
		RUN_ONCE_TEST(test_not_run_is_true),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
