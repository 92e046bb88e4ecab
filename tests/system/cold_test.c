/*
 * System test of a target that restarts cold, with a lower capacity for a
 * while, under steady load from two gathers that own it.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include "cluster.h"

enum {
	THREADS = 16,
	WARMUP_ANSWERS = 2000,
	/* After this many, each gather has had one with the new start id. */
	START_ID_ANSWERS = 60,
	POLL_ANSWERS = 100,
	/* Length of the cold start, as in COLD_START_BEHAVIOUR, ms. */
	COLD_START_MS = 3000,
};

#define WARM_BEHAVIOUR "{\"delay_ms\":5,\"bears\":16,\"shed\":true}"
#define COLD_START_BEHAVIOUR \
	"{\"cold_ms\":3000,\"cold_bears\":4,\"restart\":true}"

/*
 * Once both gathers can have seen the new start id, the cold target gets no
 * more concurrent sub-queries than its lower capacity. Breaches of it before
 * that are only printed.
 */
static void test_cold_start(void **state)
{
	cluster_t *cluster = *state;
	const cluster_target_t *target = &cluster->targets[0];
	cluster_load_t load = {
		.cluster = cluster,
		.front_count = 2,
		.caller_count = THREADS,
		.pause_ms = 2,
	};
	json_int_t breaches_before, breaches_after;
	mc_ms_t start;

	cluster_start_with_load(&load, WARM_BEHAVIOUR, WARMUP_ANSWERS);
	cluster_print_target_counters(target, "warm");
	cluster_control_target(target, COLD_START_BEHAVIOUR);
	start = harness_now();
	cluster_load_wait_answered(&load, START_ID_ANSWERS);
	breaches_before = cluster_target_counter(target, "cold_breaches");
	cluster_print_target_counters(target, "gathers have the new start id");
	while (harness_now() - start < COLD_START_MS)
		cluster_load_wait_answered(&load, POLL_ANSWERS);
	cluster_print_target_counters(target, "end of the cold start");
	breaches_after = cluster_target_counter(target, "cold_breaches");
	cluster_load_finish(&load);
	assert_int_equal(breaches_after, breaches_before);
}

static int set_up(void **state)
{
	cluster_params_t params = {
		.name = "cold",
		.data_centers = 1,
		.instances = 2,
		.shards = 1,
		.snapshots = 1,
	};

	*state = cluster_create(&params);
	return *state ? 0 : -1;
}

#define COLD_START_TEST(test) \
	cmocka_unit_test_setup_teardown(test, set_up, cluster_tear_down)

int main(void)
{
	const struct CMUnitTest tests[] = {
		COLD_START_TEST(test_cold_start),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
