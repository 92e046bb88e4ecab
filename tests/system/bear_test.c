/*
 * System test of a target under more load than its capacity, from two gathers
 * that own it.
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
	/* Concurrent sub-queries that the target accepts; see BEHAVIOUR. */
	TARGET_CAPACITY = 16,
	/* Upper bound of sub-queries sent above that capacity, % of all. */
	BREACH_PERCENT_MAX = 5,
	WARMUP_ANSWERS = 2000,
	PHASE_ANSWERS = 5000,
};

#define BEHAVIOUR "{\"delay_ms\":5,\"bears\":16,\"shed\":true}"

/*
 * The gathers can learn the target's capacity only from the sub-queries that it
 * sheds. These stay within BREACH_PERCENT_MAX, also while one of the gathers
 * that own the target is killed and restarted.
 */
static void test_load_above_capacity(void **state)
{
	cluster_t *cluster = *state;
	const cluster_target_t *target = &cluster->targets[0];
	cluster_load_t load = {
		.cluster = cluster,
		.front_count = 2,
		.caller_count = 3 * TARGET_CAPACITY,
		.pause_ms = 5,
	};

	cluster_start_with_load(&load, BEHAVIOUR, WARMUP_ANSWERS);
	cluster_print_target_counters(target, "after warm-up");
	cluster_load_wait_answered(&load, PHASE_ANSWERS);
	cluster_print_target_counters(target, "steady load");
	harness_stop(cluster->harness, cluster->instances[1].gather, SIGKILL);
	cluster_load_wait_answered(&load, PHASE_ANSWERS);
	cluster_print_target_counters(target, "one owner killed");
	cluster_start_gather(cluster, &cluster->instances[1]);
	cluster_load_wait_answered(&load, 2 * PHASE_ANSWERS);
	cluster_print_target_counters(target, "owner restarted");
	cluster_load_finish(&load);
	assert_in_range(100 * cluster_target_counter(target, "breaches"), 0,
			BREACH_PERCENT_MAX *
				cluster_target_counter(target, "queries"));
}

static int set_up(void **state)
{
	cluster_params_t params = {
		.name = "bear",
		.data_centers = 1,
		.instances = 2,
		.shards = 1,
		.snapshots = 1,
	};

	*state = cluster_create(&params);
	return *state ? 0 : -1;
}

#define OVERLOAD_TEST(test) \
	cmocka_unit_test_setup_teardown(test, set_up, cluster_tear_down)

int main(void)
{
	const struct CMUnitTest tests[] = {
		OVERLOAD_TEST(test_load_above_capacity),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
