/*
 * Unit tests of the discovery library, against a fake source whose calls the
 * tests complete: listing, watching, and listing again when the store no longer
 * has the changes.
 */
#include "discovery_fixture.h"

enum {
	/* Over-long responses in a row, and the least time that they take with
	 * the pauses in between, ms. */
	LONG_RESPONSES = 4,
	LONG_RESPONSES_PAUSE_MS = 50 + 100 + 200 + 400,
};

/*
 * A list is read page by page, and then watched from the revision of its first
 * page: changes made while the later pages were read must not be missed.
 */
static void test_list_and_watch(void **state)
{
	fixture_t *fixture = *state;
	mc_source_record_t a = fixture_target_record("a"),
			   b = fixture_target_record("b");
	mc_source_record_t bad = { .name = "c",
				   .decode_error = "slots: expected" };
	reply_t reply = {
		.kind = MC_SOURCE_TARGETS,
		.result = { .revision = 40,
			    .has_more = true,
			    .record_count = 1,
			    .records = &a },
	};
	call_t call = fixture_wait_call(fixture, MC_SOURCE_TARGETS);

	assert_true(fixture_source.registered);
	assert_false(call.is_watch);
	assert_true(call.allow_stale);
	fixture_complete(fixture, &reply);
	call = fixture_wait_call(fixture, MC_SOURCE_TARGETS);
	assert_string_equal(call.after, "a");
	reply.result = (mc_source_result_t){ .revision = 45,
					     .record_count = 1,
					     .records = &b };
	fixture_complete(fixture, &reply);
	call = fixture_wait_call(fixture, MC_SOURCE_TARGETS);
	assert_true(call.is_watch);
	assert_int_equal(call.since, 40);
	/* A watch longer than the store's history would end without the
	 * changes. */
	assert_in_range(call.wait, 5000, 19000);
	assert_int_equal(fixture_wait_target_count(fixture, 2), 2);
	/* An invalid entry adds no target, and the others stay. */
	reply.result = (mc_source_result_t){ .revision = 50,
					     .record_count = 1,
					     .records = &bad };
	fixture_complete(fixture, &reply);
	assert_int_equal(fixture_wait_target_count(fixture, 2), 2);
	assert_int_equal(fixture_wait_call(fixture, MC_SOURCE_TARGETS).since,
			 50);
}

/* After a gap in the store's history, the next list must not be stale. */
static void test_history_gone(void **state)
{
	fixture_t *fixture = *state;
	mc_source_record_t a = fixture_target_record("a"),
			   b = fixture_target_record("b");
	reply_t reply = {
		.kind = MC_SOURCE_TARGETS,
		.result = { .revision = 40, .record_count = 1, .records = &a },
	};
	call_t call;

	fixture_complete(fixture, &reply);
	reply.result = (mc_source_result_t){ .err = MC_ERR_HISTORY_GONE };
	fixture_complete(fixture, &reply);
	call = fixture_wait_call(fixture, MC_SOURCE_TARGETS);
	assert_false(call.is_watch);
	assert_false(call.allow_stale);
	reply.result = (mc_source_result_t){ .revision = 90,
					     .record_count = 1,
					     .records = &b };
	fixture_complete(fixture, &reply);
	assert_int_equal(fixture_wait_call(fixture, MC_SOURCE_TARGETS).since,
			 90);
	/* A target that is no longer listed is kept for a grace period. */
	assert_int_equal(fixture_wait_target_count(fixture, 2), 2);
	assert_int_equal(fixture_wait_target_count(fixture, 1), 1);
}

/*
 * The changes are more than a response may have: asked for again, they would be
 * as many. The records are listed anew, and while that does not help, with
 * growing pauses, as each such response costs much.
 */
static void test_long_watch_response(void **state)
{
	fixture_t *fixture = *state;
	mc_source_record_t a = fixture_target_record("a"),
			   b = fixture_target_record("b");
	reply_t reply = {
		.kind = MC_SOURCE_TARGETS,
		.result = { .revision = 40, .record_count = 1, .records = &a },
	};
	mc_ms_t start;
	int i;

	fixture_complete(fixture, &reply);
	start = mc_clock_now(mc_clock_system());
	for (i = 0; i < LONG_RESPONSES; i++) {
		assert_true(
			fixture_wait_call(fixture, MC_SOURCE_TARGETS).is_watch);
		reply.result = (mc_source_result_t){ .err = MC_ERR_TOO_LARGE };
		fixture_complete(fixture, &reply);
		assert_false(
			fixture_wait_call(fixture, MC_SOURCE_TARGETS).is_watch);
		assert_false(fixture_wait_call(fixture, MC_SOURCE_TARGETS)
				     .allow_stale);
		reply.result = (mc_source_result_t){
			.revision = 90,
			.record_count = 1,
			.records = &b,
		};
		fixture_complete(fixture, &reply);
		assert_int_equal(
			fixture_wait_call(fixture, MC_SOURCE_TARGETS).since,
			90);
	}
	assert_true(mc_clock_now(mc_clock_system()) - start >=
		    LONG_RESPONSES_PAUSE_MS);
	/* The store has responded: other kinds need no new watch. */
	assert_int_equal(fixture_source.canceled_watches, 0);
	assert_int_equal(fixture_wait_target_count(fixture, 1), 1);
}

/*
 * An older version never replaces the route map in force, and neither does the
 * loss of the store.
 */
static void test_older_routemap_ignored(void **state)
{
	fixture_t *fixture = *state;
	mc_routemap_t *maps[2] = { mc_routemap_create(7),
				   mc_routemap_create(5) };
	mc_source_record_t records[2] = {
		{ .name = "main", .map = maps[0] },
		{ .name = "main", .map = maps[1] },
	};
	reply_t reply = {
		.kind = MC_SOURCE_ROUTEMAP,
		.result = { .revision = 41,
			    .record_count = 1,
			    .records = &records[0] },
	};
	uint64_t version;

	fixture_complete(fixture, &reply);
	reply.result = (mc_source_result_t){ .revision = 42,
					     .record_count = 1,
					     .records = &records[1] };
	fixture_complete(fixture, &reply);
	reply.result = (mc_source_result_t){ .err = MC_ERR_STORE_UNAVAILABLE };
	fixture_complete(fixture, &reply);
	/* The poll that shows whether the store responds may be stale. */
	assert_true(fixture_wait_call(fixture, MC_SOURCE_ROUTEMAP).allow_stale);
	reply.result = (mc_source_result_t){ .revision = 41,
					     .record_count = 1,
					     .records = &records[1] };
	fixture_complete(fixture, &reply);
	mc_shard_lock(fixture->shard);
	version = fixture->view ? mc_routemap_version(fixture->view->map) : 0;
	mc_shard_unlock(fixture->shard);
	assert_int_equal(version, 7);
	assert_true(fixture_wait_call(fixture, MC_SOURCE_ROUTEMAP).is_watch);
	mc_routemap_unref(maps[0]);
	mc_routemap_unref(maps[1]);
}

/*
 * A store that fails one call may never complete the others, so that they are
 * restarted then, and once more when the store is available again.
 */
static void test_watches_restarted(void **state)
{
	fixture_t *fixture = *state;
	mc_source_record_t a = fixture_target_record("a");
	reply_t targets = {
		.kind = MC_SOURCE_TARGETS,
		.result = { .revision = 40, .record_count = 1, .records = &a },
	};
	reply_t map = { .kind = MC_SOURCE_ROUTEMAP,
			.result = { .revision = 40 } };
	uint32_t canceled_watches;

	fixture_complete(fixture, &targets);
	fixture_complete(fixture, &map);
	assert_true(fixture_wait_call(fixture, MC_SOURCE_TARGETS).is_watch);
	map.result = (mc_source_result_t){ .err = MC_ERR_STORE_UNAVAILABLE };
	fixture_complete(fixture, &map);
	mc_shard_lock(fixture->shard);
	canceled_watches = fixture_source.canceled_watches;
	mc_shard_unlock(fixture->shard);
	assert_int_equal(canceled_watches, 1);
	assert_int_equal(fixture_wait_call(fixture, MC_SOURCE_TARGETS).since,
			 40);
	map.result = (mc_source_result_t){ .revision = 41 };
	fixture_complete(fixture, &map);
	mc_shard_lock(fixture->shard);
	canceled_watches = fixture_source.canceled_watches;
	mc_shard_unlock(fixture->shard);
	assert_int_equal(canceled_watches, 2);
	fixture_wait_call(fixture, MC_SOURCE_TARGETS);
}

/* While the store is unavailable, only the route map's call is retried. */
static void test_unavailable_store_polled_by_one_kind(void **state)
{
	fixture_t *fixture = *state;
	reply_t targets = {
		.kind = MC_SOURCE_TARGETS,
		.result = { .err = MC_ERR_STORE_UNAVAILABLE },
	};
	reply_t map = { .kind = MC_SOURCE_ROUTEMAP,
			.result = { .err = MC_ERR_STORE_UNAVAILABLE } };
	bool open;
	int i;

	fixture_wait_call(fixture, MC_SOURCE_TARGETS);
	mc_shard_post(fixture->shard, fixture_complete_call, &targets);
	for (i = 0; i < 3; i++)
		fixture_complete(fixture, &map);
	mc_shard_lock(fixture->shard);
	open = fixture_source.calls[MC_SOURCE_TARGETS].open;
	mc_shard_unlock(fixture->shard);
	assert_false(open);
	map.result = (mc_source_result_t){ .revision = 40 };
	fixture_complete(fixture, &map);
	assert_false(fixture_wait_call(fixture, MC_SOURCE_TARGETS).is_watch);
}

/*
 * A response with many changes may be only a part of them, so that the next one
 * is requested without a pause.
 */
static void test_many_changes(void **state)
{
	fixture_t *fixture = *state;
	mc_source_record_t many[40];
	reply_t reply = { .kind = MC_SOURCE_TARGETS,
			  .result = { .revision = 40 } };
	mc_ms_t start;
	char id[16];
	int i;

	for (i = 0; i < 40; i++) {
		snprintf(id, sizeof(id), "t%d", i);
		many[i] = fixture_target_record(id);
		many[i].name = "t";
	}
	fixture_complete(fixture, &reply);
	start = mc_clock_now(mc_clock_system());
	for (i = 0; i < 40; i++) {
		reply.result = (mc_source_result_t){
			.revision = 41 + (uint64_t)i,
			.record_count = 40,
			.records = many,
		};
		fixture_complete(fixture, &reply);
	}
	/* With a pause after each part these would take 20 s. */
	assert_true(mc_clock_now(mc_clock_system()) - start < 10000);
	assert_int_equal(fixture_wait_target_count(fixture, 40), 40);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		FIXTURE_ORDERS_TEST(test_list_and_watch),
		FIXTURE_ORDERS_TEST(test_history_gone),
		FIXTURE_ORDERS_TEST(test_long_watch_response),
		FIXTURE_ORDERS_TEST(test_older_routemap_ignored),
		FIXTURE_TEST(test_watches_restarted),
		FIXTURE_TEST(test_unavailable_store_polled_by_one_kind),
		FIXTURE_ORDERS_TEST(test_many_changes),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
