/*
 * Unit tests of the replica library.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include "mc/belief.h"
#include "mc/replica.h"

static const double usual = 20;

static mc_replica_level_t level(const mc_health_t *health, mc_ms_t now)
{
	return mc_health_level(health, 0, usual, now);
}

/* Out at once when unreachable, for longer each time, then one probe. */
static void test_unreachable(void **state)
{
	mc_health_t health = { 0 };
	mc_ms_t first, now = 1000;

	(void)state;
	assert_true(mc_health_failed(&health, MC_REPLICA_UNREACHABLE, now));
	assert_int_equal(level(&health, now), MC_REPLICA_OUT);
	first = health.out_until - now;
	now = health.out_until;
	assert_int_equal(level(&health, now), MC_REPLICA_PROBE);
	mc_health_probed(&health, now);
	assert_int_equal(level(&health, now), MC_REPLICA_OUT);
	now = health.out_until;
	mc_health_failed(&health, MC_REPLICA_UNREACHABLE, now);
	assert_true(health.out_until - now > first);
	now = health.out_until;
	mc_health_answered(&health, 20, usual, now);
	assert_int_equal(level(&health, now), MC_REPLICA_GOOD);
}

/* One error does not take a target out; a share of them does. */
static void test_errors(void **state)
{
	mc_health_t health = { 0 };
	bool out = false;
	int i;

	(void)state;
	assert_false(mc_health_failed(&health, MC_REPLICA_ERROR, 0));
	assert_int_equal(level(&health, 0), MC_REPLICA_GOOD);
	for (i = 1; i < 20 && !out; i++) {
		mc_health_answered(&health, 20, usual, i);
		out = mc_health_failed(&health, MC_REPLICA_ERROR, i);
	}
	assert_true(out);
}

/* A connection proves that a target can be reached, and no more than that. */
static void test_reached(void **state)
{
	mc_health_t health = { 0 };

	(void)state;
	mc_health_failed(&health, MC_REPLICA_UNREACHABLE, 0);
	mc_health_reached(&health);
	assert_int_equal(level(&health, 1), MC_REPLICA_GOOD);
	health = (mc_health_t){ 0 };
	while (!mc_health_failed(&health, MC_REPLICA_NO_ANSWER, 0))
		;
	mc_health_reached(&health);
	assert_int_equal(level(&health, 1), MC_REPLICA_OUT);
}

static void test_slow(void **state)
{
	mc_health_t health = { 0 };
	mc_ms_t now = 0;

	(void)state;
	for (; now < 10; now++)
		mc_health_answered(&health, 200, usual, now);
	assert_true(mc_health_slowness(&health, now) > 5);
	/* It fades, so that the target is tried again. */
	assert_true(mc_health_slowness(&health, now + 10000) < 1.1);
	assert_int_equal(mc_health_level(&health, 200, usual, now),
			 MC_REPLICA_SILENT);
}

/* One that was waited for in vain twice is left alone; a pause is not enough.
 */
static void test_unanswered(void **state)
{
	mc_health_t health = { 0 };

	(void)state;
	/* Not long enough for the first time, and answered in between. */
	assert_false(mc_health_waited(&health, 60, usual, 0));
	assert_false(mc_health_waited(&health, 100, usual, 100));
	mc_health_answered(&health, 20, usual, 200);
	assert_false(mc_health_waited(&health, 100, usual, 300));
	assert_int_equal(level(&health, 300), MC_REPLICA_GOOD);
	assert_true(mc_health_waited(&health, 100, usual, 1500));
	assert_true(mc_health_failed(&health, MC_REPLICA_NO_ANSWER, 1500));
	assert_int_equal(level(&health, 1500), MC_REPLICA_OUT);
	/* The one that finds out is not waited for twice again. */
	assert_int_equal(level(&health, health.out_until), MC_REPLICA_PROBE);
	assert_true(mc_health_waited(&health, 100, usual, 3000));
	assert_true(mc_health_failed(&health, MC_REPLICA_NO_ANSWER, 3000));
	assert_true(health.out_time > 300);
}

static uint32_t pick(const mc_candidate_t *candidates, uint32_t count,
		     bool careful)
{
	mc_random_t random;

	mc_random_seed(&random, 1);
	return mc_replica_pick(candidates, count, careful, &random);
}

static void test_pick(void **state)
{
	mc_candidate_t both[2] = {
		{ .room = true, .slowness = 1 },
		{ .room = true, .slowness = 1 },
	};

	(void)state;
	both[1].local = true;
	assert_int_equal(pick(both, 2, false), 1);
	both[1].load = 1;
	assert_int_equal(pick(both, 2, false), 0);
	both[0].leaving = true;
	assert_int_equal(pick(both, 2, false), 1);
	both[1].level = MC_REPLICA_OUT;
	assert_int_equal(pick(both, 2, false), 0);
	both[0].room = false;
	assert_int_equal(pick(both, 2, false), 1);
	both[1].room = false;
	assert_int_equal(pick(both, 2, false), MC_PICK_NONE);
}

/* A request that may run only once finds nothing out. */
static void test_careful(void **state)
{
	const mc_candidate_t both[2] = {
		{ .room = true, .slowness = 1, .level = MC_REPLICA_PROBE },
		{ .room = true, .slowness = 1 },
	};

	(void)state;
	assert_int_equal(pick(both, 2, false), 0);
	assert_int_equal(pick(both, 2, true), 1);
}

/* What led to being cut off does not lead to it again once it is over. */
static void test_belief(void **state)
{
	mc_belief_t belief = { 0 };
	uint32_t i;

	(void)state;
	for (i = 0; i < 6; i++)
		mc_belief_note(&belief, false, 1000);
	assert_true(mc_belief_update(&belief, false, 1010));
	assert_true(belief.cut_off);
	assert_false(mc_belief_update(&belief, true, 1110));
	assert_true(mc_belief_update(&belief, false, 1210));
	assert_false(belief.cut_off);
	assert_false(mc_belief_update(&belief, false, 1220));
	assert_false(belief.cut_off);
	for (i = 0; i < 6; i++)
		mc_belief_note(&belief, i % 3 != 0, 1300);
	assert_false(mc_belief_update(&belief, false, 1310));
	/* Refusals of long ago tell nothing. */
	mc_belief_note(&belief, false, 9000);
	assert_false(mc_belief_update(&belief, false, 9010));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_unreachable),
		cmocka_unit_test(test_errors),
		cmocka_unit_test(test_reached),
		cmocka_unit_test(test_slow),
		cmocka_unit_test(test_unanswered),
		cmocka_unit_test(test_pick),
		cmocka_unit_test(test_careful),
		cmocka_unit_test(test_belief),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
