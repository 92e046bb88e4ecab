/*
 * Unit tests of the check of open watches: the response to a watch is lost, and
 * only the store's revision, which other responses tell, shows it.
 */
#include "discovery_fixture.h"

enum {
	/* Time for which a target serves after it has said that it leaves, as
	 * the fixture sets it, ms. */
	DRAIN_PERIOD_MS = 3000,
	/* When the change is found, after the kind was last complete, ms. */
	FOUND_AFTER_MS = 2200,
	/* Longer than checks take to begin, ms. */
	CHECKS_BEGIN_MS = 1200,
};

static mc_ms_t now(void)
{
	return mc_clock_now(mc_clock_system());
}

/* The probe of the route map tells the store's revision and nothing else. */
static void tell_revision(fixture_t *fixture, uint64_t revision)
{
	reply_t reply = { .kind = MC_SOURCE_ROUTEMAP,
			  .result = { .revision = revision } };

	fixture_complete_last_poll(fixture, &reply);
}

/* So does the route map's watch; its response proves that the kinds which are
 * known up to the revision were complete when it was begun. */
static void tell_current_revision(fixture_t *fixture, uint64_t revision)
{
	reply_t reply = { .kind = MC_SOURCE_ROUTEMAP,
			  .result = { .revision = revision } };

	fixture_complete(fixture, &reply);
}

/* A target is known up to revision 41; its kind's watch is open from there on.
 */
static void add_target(fixture_t *fixture, mc_source_record_t *record)
{
	reply_t reply = {
		.kind = MC_SOURCE_TARGETS,
		.result = { .revision = 41,
			    .record_count = 1,
			    .records = record },
	};

	*record = fixture_target_record("a");
	record->revision = 41;
	fixture_complete(fixture, &reply);
	assert_int_equal(fixture_wait_target_count(fixture, 1), 1);
	assert_int_equal(fixture_wait_call(fixture, MC_SOURCE_TARGETS).since,
			 41);
}

/* Number of watches of the targets that were begun. */
static uint32_t count_watches(fixture_t *fixture)
{
	uint32_t count;

	mc_shard_lock(fixture->shard);
	count = fixture_source.watch_counts[MC_SOURCE_TARGETS];
	mc_shard_unlock(fixture->shard);
	return count;
}

static void sleep_until(mc_ms_t time)
{
	mc_ms_t left = time - now();

	if (left > 0)
		usleep((useconds_t)left * 1000);
}

/*
 * The response that tells of a target's leaving is lost. It is found by a
 * check, and the target's grace period ends while it still serves, however late
 * that was: it counts from when the targets were last known to be complete.
 */
static void test_lost_watch_response(void **state)
{
	fixture_t *fixture = *state;
	mc_source_record_t record;
	reply_t reply = { .kind = MC_SOURCE_TARGETS,
			  .result = { .revision = 45,
				      .record_count = 1,
				      .records = &record,
				      .raw = "{}" } };
	mc_ms_t complete_at;
	call_t check;

	add_target(fixture, &record);
	complete_at = now();
	tell_current_revision(fixture, 41);
	tell_current_revision(fixture, 41);
	tell_revision(fixture, 45);
	check = fixture_wait_poll(fixture, MC_SOURCE_TARGETS);
	assert_int_equal(check.since, 41);
	assert_true(check.allow_stale);
	record.revision = 44;
	record.target.draining = true;
	sleep_until(complete_at + FOUND_AFTER_MS);
	fixture_complete_last_poll(fixture, &reply);
	assert_int_equal(fixture_wait_target_count(fixture, 0), 0);
	assert_true(now() - complete_at < DRAIN_PERIOD_MS);
	assert_int_equal(fixture_wait_call(fixture, MC_SOURCE_TARGETS).since,
			 45);
}

/* A check that is older than what is known proves nothing, and is followed by a
 * current one at once. */
static void test_stale_check(void **state)
{
	fixture_t *fixture = *state;
	reply_t stale = { .kind = MC_SOURCE_TARGETS,
			  .result = { .revision = 40 } };
	reply_t current = { .kind = MC_SOURCE_TARGETS,
			    .result = { .revision = 45 } };

	tell_revision(fixture, 45);
	assert_true(fixture_wait_poll(fixture, MC_SOURCE_TARGETS).allow_stale);
	fixture_complete_last_poll(fixture, &stale);
	assert_false(fixture_wait_poll(fixture, MC_SOURCE_TARGETS).allow_stale);
	fixture_complete_last_poll(fixture, &current);
	assert_int_equal(count_watches(fixture), 1);
}

/* The changes that a watch has missed are more than a response may have: they
 * are not asked for again and again, but listed. */
static void test_missed_changes_too_long(void **state)
{
	fixture_t *fixture = *state;
	reply_t reply = { .kind = MC_SOURCE_TARGETS,
			  .result = { .err = MC_ERR_TOO_LARGE } };
	call_t call;

	tell_revision(fixture, 45);
	fixture_complete_last_poll(fixture, &reply);
	call = fixture_wait_call(fixture, MC_SOURCE_TARGETS);
	assert_false(call.is_watch);
	assert_false(call.allow_stale);
}

/* Number of checks of all kinds but the route map, whose poll is the probe. */
static uint32_t count_checks(fixture_t *fixture)
{
	uint32_t count = 0, i;

	mc_shard_lock(fixture->shard);
	for (i = 0; i < MC_SOURCE_KIND_COUNT; i++)
		if (i != MC_SOURCE_ROUTEMAP)
			count += fixture_source.poll_counts[i];
	mc_shard_unlock(fixture->shard);
	return count;
}

/* Each call is paid for: nothing is checked while the store's revision stays,
 * and each kind once after it has risen. */
static void test_checks_are_few(void **state)
{
	fixture_t *fixture = *state;
	reply_t reply = { .result = { .revision = 45 } };

	tell_revision(fixture, 40);
	usleep(CHECKS_BEGIN_MS * 1000);
	assert_int_equal(count_checks(fixture), 0);
	tell_revision(fixture, 45);
	for (reply.kind = 0; reply.kind < MC_SOURCE_KIND_COUNT; reply.kind++)
		if (reply.kind != MC_SOURCE_ROUTEMAP)
			fixture_complete_last_poll(fixture, &reply);
	tell_revision(fixture, 45);
	usleep(CHECKS_BEGIN_MS * 1000);
	assert_int_equal(count_checks(fixture), MC_SOURCE_KIND_COUNT - 1);
	assert_int_equal(count_watches(fixture), 1);
}

#define CHECK_TEST(test)                                            \
	cmocka_unit_test_setup_teardown(test, fixture_set_up_alone, \
					fixture_tear_down)

int main(void)
{
	const struct CMUnitTest tests[] = {
		CHECK_TEST(test_lost_watch_response),
		CHECK_TEST(test_stale_check),
		CHECK_TEST(test_missed_changes_too_long),
		CHECK_TEST(test_checks_are_few),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
