/*
 * Unit tests of the probe that an instance with subscribers makes: the open
 * watch of the route map hangs, or the store has dropped its history, and
 * nothing else shows it before the watch times out.
 */
#include "discovery_fixture.h"

static uint32_t count_canceled(fixture_t *fixture)
{
	uint32_t count;

	mc_shard_lock(fixture->shard);
	count = fixture_source.canceled_watches;
	mc_shard_unlock(fixture->shard);
	return count;
}

static void wait_relayed(fixture_t *fixture, uint64_t since)
{
	mc_ms_t end = mc_clock_now(mc_clock_system()) + FIXTURE_WAIT_MS;
	bool relayed;

	do {
		assert_true(mc_clock_now(mc_clock_system()) < end);
		usleep(1000);
		mc_shard_lock(fixture->shard);
		relayed = fixture->relayed_count &&
			  fixture->relayed_since == since;
		mc_shard_unlock(fixture->shard);
	} while (!relayed);
}

/* The watch hangs: the probe brings the change, for the subscribers too, and
 * the watches begin anew, as none may ever be answered. */
static void test_probe_brings_change(void **state)
{
	fixture_t *fixture = *state;
	mc_routemap_t *map = mc_routemap_create(7);
	mc_source_record_t record = { .name = "main",
				      .revision = 44,
				      .map = map };
	reply_t reply = { .result = { .revision = 45,
				      .record_count = 1,
				      .records = &record,
				      .raw = "{}" } };
	uint64_t version;

	assert_int_equal(fixture_wait_call(fixture, MC_SOURCE_ROUTEMAP).since,
			 40);
	assert_int_equal(fixture_wait_poll(fixture, MC_SOURCE_ROUTEMAP).since,
			 40);
	fixture_complete_last_poll(fixture, &reply);
	assert_true(count_canceled(fixture) > 0);
	assert_int_equal(fixture_wait_call(fixture, MC_SOURCE_ROUTEMAP).since,
			 45);
	wait_relayed(fixture, 40);
	mc_shard_lock(fixture->shard);
	version = fixture->view && fixture->view->map
			  ? mc_routemap_version(fixture->view->map)
			  : 0;
	mc_shard_unlock(fixture->shard);
	assert_int_equal(version, 7);
	mc_routemap_unref(map);
}

/* Waits until the route map's changes are read at once. */
static call_t wait_current_read(fixture_t *fixture)
{
	mc_ms_t end = mc_clock_now(mc_clock_system()) + FIXTURE_WAIT_MS;
	call_t call;

	do {
		assert_true(mc_clock_now(mc_clock_system()) < end);
		usleep(1000);
		call = fixture_wait_call(fixture, MC_SOURCE_ROUTEMAP);
	} while (call.wait);
	return call;
}

/* The watch hangs, and probes are stale, so that they bring nothing: the watch
 * is given up, and the changes are read at once. */
static void test_late_watch_is_given_up(void **state)
{
	fixture_t *fixture = *state;
	mc_source_record_t record = { .name = "main", .revision = 44 };
	reply_t stale = { .result = { .revision = 40 } };
	reply_t reply = { .kind = MC_SOURCE_ROUTEMAP,
			  .result = { .revision = 45,
				      .record_count = 1,
				      .records = &record,
				      .raw = "{}" } };
	mc_routemap_t *map = mc_routemap_create(7);
	call_t call;

	record.map = map;
	/* The first one may be completed in the millisecond in which the
	 * subscriber came, and then proves nothing to it. */
	fixture_complete_last_poll(fixture, &stale);
	fixture_complete_last_poll(fixture, &stale);
	call = wait_current_read(fixture);
	assert_true(call.is_watch);
	assert_int_equal(call.since, 40);
	assert_true(count_canceled(fixture) > 0);
	fixture_complete(fixture, &reply);
	wait_relayed(fixture, 40);
	call = fixture_wait_call(fixture, MC_SOURCE_ROUTEMAP);
	assert_int_equal(call.since, 45);
	assert_true(call.wait > 0);
	mc_routemap_unref(map);
}

/* A probe may be older than what the watch has brought. */
static void test_old_probe_changes_nothing(void **state)
{
	fixture_t *fixture = *state;
	mc_routemap_t *map = mc_routemap_create(7);
	mc_source_record_t record = { .name = "main",
				      .revision = 39,
				      .map = map };
	reply_t reply = { .result = { .revision = 45,
				      .record_count = 1,
				      .records = &record,
				      .raw = "{}" } };

	fixture_complete_last_poll(fixture, &reply);
	reply.result = (mc_source_result_t){ .revision = 45 };
	fixture_complete_last_poll(fixture, &reply);
	assert_int_equal(count_canceled(fixture), 0);
	assert_int_equal(fixture_wait_call(fixture, MC_SOURCE_ROUTEMAP).since,
			 40);
	assert_int_equal(fixture->relayed_count, 0);
	mc_routemap_unref(map);
}

/* The store has dropped its history and does not tell the open watch. The route
 * map is listed once, also where stale probes go on to say so. */
static void test_probe_finds_history_gone(void **state)
{
	fixture_t *fixture = *state;
	reply_t gone = { .result = { .err = MC_ERR_HISTORY_GONE } };
	reply_t list = { .kind = MC_SOURCE_ROUTEMAP,
			 .result = { .revision = 60 } };
	call_t call;

	fixture_complete_last_poll(fixture, &gone);
	call = fixture_wait_call(fixture, MC_SOURCE_ROUTEMAP);
	assert_false(call.is_watch);
	assert_false(call.allow_stale);
	fixture_complete(fixture, &list);
	assert_int_equal(fixture_wait_poll(fixture, MC_SOURCE_ROUTEMAP).since,
			 60);
	fixture_complete_last_poll(fixture, &gone);
	call = fixture_wait_call(fixture, MC_SOURCE_ROUTEMAP);
	assert_true(call.is_watch);
	assert_int_equal(call.since, 60);
}

/* The other instances of the data centre are cut off, or there are none: the
 * watch of an instance without subscribers may hang as well. */
static void test_probe_without_subscriber(void **state)
{
	fixture_t *fixture = *state;
	reply_t gone = { .result = { .err = MC_ERR_HISTORY_GONE } };

	assert_int_equal(fixture_wait_poll(fixture, MC_SOURCE_ROUTEMAP).since,
			 40);
	fixture_complete_last_poll(fixture, &gone);
	assert_false(fixture_wait_call(fixture, MC_SOURCE_ROUTEMAP).is_watch);
}

#define PROBE_TEST(test)                                                      \
	cmocka_unit_test_setup_teardown(test, fixture_set_up_with_subscriber, \
					fixture_tear_down)

int main(void)
{
	const struct CMUnitTest tests[] = {
		PROBE_TEST(test_probe_brings_change),
		PROBE_TEST(test_late_watch_is_given_up),
		PROBE_TEST(test_old_probe_changes_nothing),
		PROBE_TEST(test_probe_finds_history_gone),
		cmocka_unit_test_setup_teardown(test_probe_without_subscriber,
						fixture_set_up_alone,
						fixture_tear_down),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
