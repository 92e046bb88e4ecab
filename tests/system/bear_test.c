/*
 * System test of more load than a target bears, by two gathers that own it.
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
	THREADS = 16,
	/* Most sub-queries that are sent in vain. */
	EXTRA_PERCENT = 5,
	WARM_ANSWERS = 2000,
	PHASE_ANSWERS = 5000,
};

#define WARM "{\"delay_ms\":5,\"bears\":16,\"shed\":true}"

/*
 * What a target bears can only be found by its sheds, which are few, also while
 * its owners change.
 */
static void test_more_load_than_borne(void **state)
{
	cluster_t *cluster = *state;
	const cluster_target_t *target = &cluster->targets[0];
	cluster_load_t load = {
		.cluster = cluster,
		.fronts = 2,
		.threads = 3 * THREADS,
		.pause_ms = 5,
	};

	cluster_load_warm(&load, WARM, WARM_ANSWERS);
	cluster_print_counts(target, "first");
	cluster_load_wait(&load, PHASE_ANSWERS);
	cluster_print_counts(target, "steady");
	harness_stop(cluster->harness, cluster->instances[1].gather, SIGKILL);
	cluster_load_wait(&load, PHASE_ANSWERS);
	cluster_print_counts(target, "one owner killed");
	cluster_start_gather(cluster, &cluster->instances[1]);
	cluster_load_wait(&load, 2 * PHASE_ANSWERS);
	cluster_print_counts(target, "owner joined");
	cluster_load_end(&load);
	assert_in_range(100 * cluster_counter(target, "breaches"), 0,
			EXTRA_PERCENT * cluster_counter(target, "queries"));
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

#define BEAR_TEST(test) \
	cmocka_unit_test_setup_teardown(test, set_up, cluster_tear_down)

int main(void)
{
	const struct CMUnitTest tests[] = {
		BEAR_TEST(test_more_load_than_borne),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
