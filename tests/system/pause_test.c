/*
 * System tests of processes that are paused for longer than a view of the fleet
 * may be acted on, and wake again.
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
	CALLS = 8,
	/* Enough for each shard to have a 95th percentile. */
	WARM_ANSWERS = 200,
	/* Longer than the age at which a view is not acted on, ms. */
	PAUSE_MS = 4000,
	DEADLINE_MS = 3000,
	/* How late an answer may be on a busy machine, ms. */
	LATE_MS = 10000,
	/* What was read late would have reached targets by then, ms. */
	SETTLE_MS = 1000,
	LONG_DEADLINE_MS = 20000,
	QUERY_SIZE = 128,
};

#define SLOW_STORE "{\"slow_ms\":500}"

static void sleep_ms(int wait)
{
	usleep((useconds_t)wait * 1000);
}

typedef struct calls_t {
	cluster_t *cluster;
	harness_call_t *calls[CALLS];
	char requests[CALLS][QUERY_SIZE];
	json_int_t counts[CALLS];
	uint32_t complete;
} calls_t;

/* Searches by one front; each has its answer in time. */
static void make_calls(calls_t *calls, const cluster_instance_t *instance)
{
	harness_reply_t reply;
	const char *id;
	int i;

	for (i = 0; i < CALLS; i++)
		calls->calls[i] = cluster_search_begin(instance);
	for (i = 0; i < CALLS; i++) {
		reply = harness_http_end(calls->calls[i]);
		assert_in_range(reply.elapsed, 0, DEADLINE_MS + LATE_MS);
		assert_true(reply.status == 200 || *cluster_error(&reply));
		calls->complete += cluster_complete(&reply);
		id = cluster_request(&reply);
		/* A request that admission refused has no id. */
		assert_true(id || cluster_not_run(&reply));
		snprintf(calls->requests[i], QUERY_SIZE, "request=%s",
			 id ? id : "none");
		harness_reply_free(&reply);
	}
}

static void count_calls(calls_t *calls)
{
	int i;

	for (i = 0; i < CALLS; i++)
		calls->counts[i] = cluster_query(calls->cluster,
						 calls->requests[i], "search");
}

static void check_counts_stay(const calls_t *calls)
{
	int i;

	for (i = 0; i < CALLS; i++)
		assert_int_equal(cluster_query(calls->cluster,
					       calls->requests[i], "search"),
				 calls->counts[i]);
}

/* Work that reached the gather while it was paused is not sent when it wakes */
static void test_gather_paused(void **state)
{
	cluster_t *cluster = *state;
	calls_t calls = { .cluster = cluster };
	cluster_load_t load = { .cluster = cluster, .fronts = 1, .threads = 4 };
	mc_handle_t gather;

	cluster_start(cluster);
	cluster_wait_complete(cluster);
	cluster_load_begin(&load);
	cluster_load_wait(&load, WARM_ANSWERS);
	cluster_load_end(&load);
	gather = cluster->instances[0].gather;
	harness_signal(cluster->harness, gather, SIGSTOP);
	make_calls(&calls, &cluster->instances[0]);
	sleep_ms(PAUSE_MS);
	count_calls(&calls);
	harness_signal(cluster->harness, gather, SIGCONT);
	sleep_ms(SETTLE_MS);
	check_counts_stay(&calls);
	print_message("complete=%u of %d\n", calls.complete, CALLS);
	cluster_wait_complete(cluster);
}

/* A run that reached a paused gather is told as unknown, and not run later. */
static void test_gather_paused_in_run(void **state)
{
	cluster_t *cluster = *state;
	harness_reply_t reply;
	uint32_t i;

	cluster_start(cluster);
	cluster_wait_run(cluster);
	for (i = 0; i < cluster->instance_count; i++)
		harness_signal(cluster->harness, cluster->instances[i].gather,
			       SIGSTOP);
	reply = cluster_run(&cluster->instances[0], "k1");
	assert_string_equal(cluster_error(&reply), "outcome_unknown");
	harness_reply_free(&reply);
	sleep_ms(PAUSE_MS - DEADLINE_MS);
	for (i = 0; i < cluster->instance_count; i++)
		harness_signal(cluster->harness, cluster->instances[i].gather,
			       SIGCONT);
	cluster_wait_complete(cluster);
	sleep_ms(SETTLE_MS);
	assert_int_equal(cluster_query(cluster, "key=k1", "run"), 0);
}

/* Stops or wakes all processes but one front. */
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

static bool has_claimed(void *ctx)
{
	return cluster_platform_count(ctx, "{}", "writes") > 1;
}

/*
 * A front that wakes, and that no peer answers, refuses what came meanwhile and
 * what it had claimed before, as it knows nothing of the fleet any more.
 */
static void test_front_paused(void **state)
{
	cluster_t *cluster = *state;
	cluster_instance_t *instance = &cluster->instances[0];
	harness_call_t *calls[3];
	harness_reply_t reply;
	size_t i;

	cluster_start(cluster);
	cluster_wait_complete(cluster);
	cluster_platform_count(cluster, SLOW_STORE, "writes");
	calls[0] = cluster_begin_within(instance, "k1", LONG_DEADLINE_MS);
	harness_wait("the key is claimed", has_claimed, cluster);
	harness_signal(cluster->harness, instance->front, SIGSTOP);
	calls[1] = cluster_begin_within(instance, NULL, LONG_DEADLINE_MS);
	calls[2] = cluster_begin_within(instance, "k2", LONG_DEADLINE_MS);
	sleep_ms(PAUSE_MS);
	signal_peers(cluster, SIGSTOP);
	harness_signal(cluster->harness, instance->front, SIGCONT);
	for (i = 0; i < MC_ARRAY_LEN(calls); i++) {
		reply = harness_http_end(calls[i]);
		assert_string_equal(cluster_error(&reply), "not_ready");
		assert_true(cluster_not_run(&reply));
		harness_reply_free(&reply);
	}
	signal_peers(cluster, SIGCONT);
	cluster_wait_complete(cluster);
	assert_int_equal(cluster_counter_sum(cluster, "runs"), 0);
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
