/*
 * System test of a target that starts cold under steady load, by two gathers
 * that own it.
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
	WARM_ANSWERS = 2000,
	/* By then each gather has had an answer with the new start id. */
	KNOWN_ANSWERS = 60,
	ANSWERS = 100,
	COLD_MS = 3000,
};

#define WARM "{\"delay_ms\":5,\"bears\":16,\"shed\":true}"
#define COLD "{\"cold_ms\":3000,\"cold_bears\":4,\"restart\":true}"

/*
 * Once the new start id could be known, a cold target gets no more than it
 * bears; what came before is printed.
 */
static void test_cold_start(void **state)
{
	cluster_t *cluster = *state;
	const cluster_target_t *target = &cluster->targets[0];
	cluster_load_t load = {
		.cluster = cluster,
		.fronts = 2,
		.threads = THREADS,
		.pause_ms = 2,
	};
	json_int_t known, later;
	mc_ms_t start;

	cluster_load_warm(&load, WARM, WARM_ANSWERS);
	cluster_print_counts(target, "warm");
	cluster_standin(target, COLD);
	start = mc_clock_now(mc_clock_system());
	cluster_load_wait(&load, KNOWN_ANSWERS);
	known = cluster_counter(target, "cold_breaches");
	cluster_print_counts(target, "start id known");
	while (mc_clock_now(mc_clock_system()) - start < COLD_MS)
		cluster_load_wait(&load, ANSWERS);
	cluster_print_counts(target, "cold");
	later = cluster_counter(target, "cold_breaches");
	cluster_load_end(&load);
	assert_int_equal(later, known);
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

#define COLD_TEST(test) \
	cmocka_unit_test_setup_teardown(test, set_up, cluster_tear_down)

int main(void)
{
	const struct CMUnitTest tests[] = {
		COLD_TEST(test_cold_start),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
