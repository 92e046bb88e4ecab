/*
 * Unit tests of the move library.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <cmocka.h>

#include "../../src/move/move_defs.h"

enum {
	START_MS = 1000 * 1000,
	MINUTE_MS = 60 * 1000,
	DONE_BY_MS = START_MS + 20 * MINUTE_MS,
	SETTLING_MS = DONE_BY_MS + 5 * MINUTE_MS,
};

static const mc_service_t SERVICES[] = { { .name = "pots" } };
static const mc_target_t TARGETS[] = {
	{ .version = "v1", .address = "10.0.0.1:1" },
	{ .version = "v2", .address = "10.0.0.2:1" },
};

static mc_move_t move_row = {
	.from = "v1",
	.to = "v2",
	.start = START_MS,
	.done_by = DONE_BY_MS,
};

static const mc_config_t CONFIG = {
	.service_count = 1,
	.services = SERVICES,
	.target_count = 2,
	.targets = TARGETS,
	.move_count = 1,
	.moves = &move_row,
};

static mc_move_controller_t *create(uint64_t origin, mc_ms_t wall)
{
	mc_move_controller_t *controller = mc_move_controller_create(origin);

	assert_int_equal(
		mc_move_controller_set_config(controller, &CONFIG, wall),
		MC_OK);
	return controller;
}

static void record_outcomes(mc_move_controller_t *controller,
			    const char *version, uint32_t route, uint32_t good,
			    uint32_t failed, mc_ms_t wall)
{
	uint32_t i;

	for (i = 0; i < good + failed; i++)
		mc_move_controller_record_outcome(controller, 0, version, route,
						  i >= good, 5 + i % 10, wall);
}

static double share(const mc_move_controller_t *controller)
{
	const char *from, *to;

	return mc_move_controller_share(controller, 0, &from, &to);
}

static mc_move_state_t state_of(const mc_move_controller_t *controller)
{
	mc_move_status_t status;

	mc_move_controller_get_status(controller, 0, &status);
	return status.state;
}

/* Runs a move to a good version, with traffic each second. */
static void run_good_version(mc_move_controller_t *controller, mc_ms_t from,
			     mc_ms_t to)
{
	mc_ms_t wall;

	for (wall = from; wall < to; wall += 1000) {
		if (share(controller) < 1)
			record_outcomes(controller, "v1", wall / 1000 % 2, 20,
					0, wall);
		record_outcomes(controller, "v2", wall / 1000 % 2,
				(uint32_t)(20 * share(controller)) +
					(share(controller) > 0),
				0, wall);
		mc_move_controller_tick(controller, wall);
	}
}

static void test_good_version(void **state)
{
	mc_move_controller_t *controller = create(1, START_MS - 1000);

	(void)state;
	assert_int_equal(state_of(controller), MC_MOVE_WAITING);
	run_good_version(controller, START_MS, START_MS + 10 * 1000);
	assert_true(share(controller) == 0.01);
	run_good_version(controller, START_MS + 10 * 1000, DONE_BY_MS - 1000);
	assert_true(share(controller) == 1);
	assert_int_equal(state_of(controller), MC_MOVE_SETTLING);
	run_good_version(controller, DONE_BY_MS, DONE_BY_MS + 20 * MINUTE_MS);
	assert_int_equal(state_of(controller), MC_MOVE_FINISHED);
	mc_move_controller_destroy(controller);
}

/*
 * Sends failures of the new version until the move is taken back, and counts
 * them.
 */
static uint32_t count_failures_needed(mc_move_controller_t *controller,
				      uint32_t route, mc_ms_t wall)
{
	uint32_t count = 0;

	while (state_of(controller) != MC_MOVE_TAKEN_BACK && count < 1000) {
		record_outcomes(controller, "v2", route, 0, 1, wall);
		count++;
	}
	assert_true(share(controller) == 0);
	return count;
}

static void test_bad_from_start(void **state)
{
	mc_move_controller_t *controller = create(1, START_MS);

	(void)state;
	record_outcomes(controller, "v1", 0, 500, 0, START_MS);
	assert_in_range(count_failures_needed(controller, 0, START_MS), 4, 12);
	mc_move_controller_destroy(controller);
	controller = create(1, START_MS);
	assert_in_range(count_failures_needed(controller, 0, START_MS), 4, 20);
	mc_move_controller_destroy(controller);
}

static void test_chance_failures(void **state)
{
	mc_move_controller_t *controller = create(1, START_MS);

	(void)state;
	record_outcomes(controller, "v1", 0, 500, 0, START_MS);
	record_outcomes(controller, "v2", 0, 0, 3, START_MS);
	record_outcomes(controller, "v2", 0, 100, 2, START_MS);
	mc_move_controller_tick(controller, START_MS);
	assert_int_not_equal(state_of(controller), MC_MOVE_TAKEN_BACK);
	mc_move_controller_destroy(controller);
}

/*
 * A fault that affects both versions alike must not count against the new one.
 */
static void test_common_fault(void **state)
{
	mc_move_controller_t *controller = create(1, START_MS);
	mc_ms_t wall;
	int i;

	(void)state;
	run_good_version(controller, START_MS, START_MS + 14 * MINUTE_MS);
	assert_true(share(controller) == 0.5);
	for (wall = START_MS + 14 * MINUTE_MS; wall < START_MS + 15 * MINUTE_MS;
	     wall += 1000) {
		for (i = 0; i < 30; i++) {
			record_outcomes(controller, "v1", 0, 1, 1, wall);
			record_outcomes(controller, "v2", 0, 1, 1, wall);
		}
		mc_move_controller_tick(controller, wall);
	}
	assert_int_not_equal(state_of(controller), MC_MOVE_TAKEN_BACK);
	mc_move_controller_destroy(controller);
}

static void test_late_fault_on_one_route(void **state)
{
	mc_move_controller_t *controller = create(1, START_MS);

	(void)state;
	run_good_version(controller, START_MS, SETTLING_MS);
	assert_true(share(controller) == 1);
	assert_in_range(count_failures_needed(controller, 1, SETTLING_MS), 4,
			32);
	mc_move_controller_destroy(controller);
}

static void test_slow_version(void **state)
{
	mc_move_controller_t *controller = create(1, START_MS);
	mc_ms_t wall = START_MS + MINUTE_MS;
	uint32_t i;

	(void)state;
	record_outcomes(controller, "v1", 0, 500, 0, wall);
	for (i = 0; i < 40; i++) {
		mc_move_controller_record_outcome(controller, 0, "v2", 0, false,
						  60, wall);
		mc_move_controller_tick(controller, wall);
	}
	assert_int_not_equal(state_of(controller), MC_MOVE_TAKEN_BACK);
	mc_move_controller_tick(controller, wall + 30 * 1000);
	assert_int_equal(state_of(controller), MC_MOVE_TAKEN_BACK);
	mc_move_controller_destroy(controller);
}

static void test_merge(void **state)
{
	mc_move_controller_t *one = create(1, START_MS),
			     *two = create(2, START_MS);
	mc_move_controller_t *a = create(3, START_MS), *b = create(3, START_MS);
	mc_move_digest_t early, late, other;
	const mc_move_record_t *sum_a, *sum_b;

	(void)state;
	record_outcomes(one, "v1", 0, 10, 1, START_MS);
	mc_move_controller_get_digest(one, 0, &early);
	record_outcomes(one, "v2", 1, 20, 2, START_MS);
	mc_move_controller_get_digest(one, 0, &late);
	record_outcomes(two, "v2", 1, 5, 0, START_MS);
	mc_move_controller_get_digest(two, 0, &other);
	mc_move_controller_merge_digest(a, &early, START_MS);
	mc_move_controller_merge_digest(a, &late, START_MS);
	mc_move_controller_merge_digest(a, &other, START_MS);
	mc_move_controller_merge_digest(b, &other, START_MS);
	mc_move_controller_merge_digest(b, &late, START_MS);
	mc_move_controller_merge_digest(b, &early, START_MS);
	mc_move_controller_merge_digest(b, &late, START_MS);
	sum_a = mc_table_get(a->moves, a->order[0]);
	sum_b = mc_table_get(b->moves, b->order[0]);
	assert_memory_equal(&sum_a->total, &sum_b->total, sizeof(sum_a->total));
	assert_int_equal(sum_a->total.counts[MC_MOVE_NEW][1].answered, 25);
	mc_move_controller_destroy(one);
	mc_move_controller_destroy(two);
	mc_move_controller_destroy(a);
	mc_move_controller_destroy(b);
}

static void test_merged_verdict(void **state)
{
	mc_move_controller_t *one = create(1, START_MS),
			     *two = create(2, START_MS);
	mc_move_digest_t digest;
	mc_row_t row;

	(void)state;
	assert_false(
		mc_move_controller_find_unstored_verdict(one, &CONFIG, &row));
	count_failures_needed(one, 0, START_MS);
	mc_move_controller_get_digest(one, 0, &digest);
	assert_true(mc_move_controller_merge_digest(two, &digest, START_MS));
	assert_false(mc_move_controller_merge_digest(two, &digest, START_MS));
	assert_int_equal(state_of(two), MC_MOVE_TAKEN_BACK);
	assert_true(
		mc_move_controller_find_unstored_verdict(two, &CONFIG, &row));
	assert_int_equal(row, 0);
	mc_move_controller_tick(two, DONE_BY_MS - 1000);
	assert_true(share(two) == 0);
	move_row.taken_back = true;
	assert_false(
		mc_move_controller_find_unstored_verdict(two, &CONFIG, &row));
	mc_move_controller_destroy(one);
	one = create(1, START_MS);
	move_row.taken_back = false;
	mc_move_controller_set_config(one, &CONFIG, START_MS);
	assert_int_equal(state_of(one), MC_MOVE_TAKEN_BACK);
	mc_move_controller_destroy(one);
	mc_move_controller_destroy(two);
}

static void test_without_evidence(void **state)
{
	mc_move_controller_t *controller = create(1, START_MS);

	(void)state;
	move_row.without_evidence = MC_MOVE_FALLBACK_FINISH;
	mc_move_controller_tick(controller, DONE_BY_MS - 1);
	assert_true(share(controller) == 0.05);
	mc_move_controller_tick(controller, DONE_BY_MS + 10 * 1000);
	assert_int_equal(state_of(controller), MC_MOVE_TAKEN_BACK);
	mc_move_controller_destroy(controller);
	controller = create(1, START_MS);
	mc_move_controller_tick(controller, DONE_BY_MS + 10 * 1000);
	assert_true(share(controller) == 1);
	mc_move_controller_destroy(controller);
	move_row.without_evidence = MC_MOVE_FALLBACK_TAKE_BACK;
}

/*
 * A version that a peer judged good is not taken back for too few outcomes
 * here.
 */
static void test_judged_by_peer(void **state)
{
	mc_move_controller_t *controller = create(1, START_MS);
	mc_move_digest_t digest = { 0 };

	(void)state;
	mc_move_controller_get_digest(controller, 0, &digest);
	assert_false(digest.judged_good);
	digest.origin = 2;
	digest.judged_good = true;
	assert_false(
		mc_move_controller_merge_digest(controller, &digest, START_MS));
	mc_move_controller_tick(controller, DONE_BY_MS - 1);
	assert_true(share(controller) == 0.05);
	mc_move_controller_tick(controller, DONE_BY_MS + 10 * 1000);
	assert_true(share(controller) == 1);
	mc_move_controller_get_digest(controller, 0, &digest);
	assert_true(digest.judged_good);
	mc_move_controller_destroy(controller);
}

/* A process that starts after done_by has seen no outcomes of the move. */
static void test_new_process(void **state)
{
	mc_move_controller_t *controller = create(1, SETTLING_MS);

	(void)state;
	mc_move_controller_tick(controller, SETTLING_MS + 1000);
	assert_true(share(controller) == 0.05);
	mc_move_controller_tick(controller, SETTLING_MS + MINUTE_MS);
	assert_true(share(controller) == 1);
	mc_move_controller_destroy(controller);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_good_version),
		cmocka_unit_test(test_bad_from_start),
		cmocka_unit_test(test_chance_failures),
		cmocka_unit_test(test_common_fault),
		cmocka_unit_test(test_late_fault_on_one_route),
		cmocka_unit_test(test_slow_version),
		cmocka_unit_test(test_merge),
		cmocka_unit_test(test_merged_verdict),
		cmocka_unit_test(test_without_evidence),
		cmocka_unit_test(test_judged_by_peer),
		cmocka_unit_test(test_new_process),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
