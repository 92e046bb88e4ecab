/*
 * Unit tests of the replica library.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include "mc/replica_isolation.h"
#include "mc/replica.h"

static const double usual = 20;

static mc_replica_state_t level(const mc_replica_health_t *health, mc_ms_t now)
{
	return mc_replica_health_state(health, 0, usual, now);
}

/* Out at once when unreachable, for longer each time, then one probe. */
static void test_unreachable(void **state)
{
	mc_replica_health_t health = { 0 };
	mc_ms_t first, now = 1000;

	(void)state;
	assert_true(mc_replica_health_record_fault(
		&health, MC_REPLICA_FAULT_UNREACHABLE, now));
	assert_int_equal(level(&health, now), MC_REPLICA_EJECTED);
	first = health.ejected_until - now;
	now = health.ejected_until;
	assert_int_equal(level(&health, now), MC_REPLICA_PROBE_DUE);
	mc_replica_health_record_probe(&health, now);
	assert_int_equal(level(&health, now), MC_REPLICA_EJECTED);
	now = health.ejected_until;
	mc_replica_health_record_fault(&health, MC_REPLICA_FAULT_UNREACHABLE,
				       now);
	assert_true(health.ejected_until - now > first);
	now = health.ejected_until;
	mc_replica_health_record_success(&health, 20, usual, now);
	assert_int_equal(level(&health, now), MC_REPLICA_HEALTHY);
}

/* One error does not take a target out; a share of them does. */
static void test_errors(void **state)
{
	mc_replica_health_t health = { 0 };
	bool out = false;
	int i;

	(void)state;
	assert_false(mc_replica_health_record_fault(&health,
						    MC_REPLICA_FAULT_ERROR, 0));
	assert_int_equal(level(&health, 0), MC_REPLICA_HEALTHY);
	for (i = 1; i < 20 && !out; i++) {
		mc_replica_health_record_success(&health, 20, usual, i);
		out = mc_replica_health_record_fault(&health,
						     MC_REPLICA_FAULT_ERROR, i);
	}
	assert_true(out);
}

/* A connection proves that a target can be reached, and no more than that. */
static void test_reached(void **state)
{
	mc_replica_health_t health = { 0 };

	(void)state;
	mc_replica_health_record_fault(&health, MC_REPLICA_FAULT_UNREACHABLE,
				       0);
	mc_replica_health_record_connect(&health);
	assert_int_equal(level(&health, 1), MC_REPLICA_HEALTHY);
	health = (mc_replica_health_t){ 0 };
	while (!mc_replica_health_record_fault(&health,
					       MC_REPLICA_FAULT_NO_RESPONSE, 0))
		;
	mc_replica_health_record_connect(&health);
	assert_int_equal(level(&health, 1), MC_REPLICA_EJECTED);
}

static void test_slow(void **state)
{
	mc_replica_health_t health = { 0 };
	mc_ms_t now = 0;

	(void)state;
	for (; now < 10; now++)
		mc_replica_health_record_success(&health, 200, usual, now);
	assert_true(mc_replica_health_latency_ratio(&health, now) > 5);
	/* It fades, so that the target is tried again. */
	assert_true(mc_replica_health_latency_ratio(&health, now + 10000) <
		    1.1);
	assert_int_equal(mc_replica_health_state(&health, 200, usual, now),
			 MC_REPLICA_UNRESPONSIVE);
}

/* One that was waited for in vain twice is left alone; a pause is not enough.
 */
static void test_unanswered(void **state)
{
	mc_replica_health_t health = { 0 };

	(void)state;
	/* Not long enough for the first time, and answered in between. */
	assert_false(mc_replica_health_record_cancel(&health, 60, usual, 0));
	assert_false(mc_replica_health_record_cancel(&health, 100, usual, 100));
	mc_replica_health_record_success(&health, 20, usual, 200);
	assert_false(mc_replica_health_record_cancel(&health, 100, usual, 300));
	assert_int_equal(level(&health, 300), MC_REPLICA_HEALTHY);
	assert_true(mc_replica_health_record_cancel(&health, 100, usual, 1500));
	assert_true(mc_replica_health_record_fault(
		&health, MC_REPLICA_FAULT_NO_RESPONSE, 1500));
	assert_int_equal(level(&health, 1500), MC_REPLICA_EJECTED);
	/* The one that finds out is not waited for twice again. */
	assert_int_equal(level(&health, health.ejected_until),
			 MC_REPLICA_PROBE_DUE);
	assert_true(mc_replica_health_record_cancel(&health, 100, usual, 3000));
	assert_true(mc_replica_health_record_fault(
		&health, MC_REPLICA_FAULT_NO_RESPONSE, 3000));
	assert_true(health.ejection_time > 300);
}

static uint32_t pick(const mc_replica_candidate_t *candidates, uint32_t count,
		     bool careful)
{
	mc_random_t random;

	mc_random_seed(&random, 1);
	return mc_replica_pick(candidates, count, careful, &random);
}

static void test_pick(void **state)
{
	mc_replica_candidate_t both[2] = {
		{ .has_capacity = true, .latency_ratio = 1 },
		{ .has_capacity = true, .latency_ratio = 1 },
	};

	(void)state;
	both[1].local = true;
	assert_int_equal(pick(both, 2, false), 1);
	both[1].load = 1;
	assert_int_equal(pick(both, 2, false), 0);
	both[0].draining = true;
	assert_int_equal(pick(both, 2, false), 1);
	both[1].state = MC_REPLICA_EJECTED;
	assert_int_equal(pick(both, 2, false), 0);
	both[0].has_capacity = false;
	assert_int_equal(pick(both, 2, false), 1);
	both[1].has_capacity = false;
	assert_int_equal(pick(both, 2, false), MC_REPLICA_NONE);
}

/* A request that may run only once finds nothing out. */
static void test_careful(void **state)
{
	const mc_replica_candidate_t both[2] = {
		{ .has_capacity = true,
		  .latency_ratio = 1,
		  .state = MC_REPLICA_PROBE_DUE },
		{ .has_capacity = true, .latency_ratio = 1 },
	};

	(void)state;
	assert_int_equal(pick(both, 2, false), 0);
	assert_int_equal(pick(both, 2, true), 1);
}

/* What led to being cut off does not lead to it again once it is over. */
static void test_belief(void **state)
{
	mc_replica_isolation_t belief = { 0 };
	uint32_t i;

	(void)state;
	for (i = 0; i < 6; i++)
		mc_replica_isolation_record(&belief, false, 1000);
	assert_true(mc_replica_isolation_update(&belief, false, 1010));
	assert_true(belief.cut_off);
	assert_false(mc_replica_isolation_update(&belief, true, 1110));
	assert_true(mc_replica_isolation_update(&belief, false, 1210));
	assert_false(belief.cut_off);
	assert_false(mc_replica_isolation_update(&belief, false, 1220));
	assert_false(belief.cut_off);
	for (i = 0; i < 6; i++)
		mc_replica_isolation_record(&belief, i % 3 != 0, 1300);
	assert_false(mc_replica_isolation_update(&belief, false, 1310));
	/* Refusals of long ago tell nothing. */
	mc_replica_isolation_record(&belief, false, 9000);
	assert_false(mc_replica_isolation_update(&belief, false, 9010));
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
