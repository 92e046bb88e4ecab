/*
 * Unit tests of entries that the discovery library reads late, or of targets
 * that start again: a former state must not come back.
 */
#include "discovery_fixture.h"

static bool is_leaving(fixture_t *fixture)
{
	bool leaving;

	mc_shard_lock(fixture->shard);
	leaving = fixture->view && fixture->view->target_count == 1 &&
		  fixture->view->targets[0].leaving;
	mc_shard_unlock(fixture->shard);
	return leaving;
}

/* An upstream that was behind relays old changes: a draining target must not
 * count as ready again, or its grace period starts anew. */
static void test_known_changes_are_not_repeated(void **state)
{
	fixture_t *fixture = *state;
	mc_source_record_t ready = fixture_target_record("a"),
			   draining = fixture_target_record("a");
	reply_t reply = {
		.kind = MC_SOURCE_TARGETS,
		.result = { .revision = 40,
			    .record_count = 1,
			    .records = &ready },
	};
	mc_ms_t end = mc_clock_now(mc_clock_system()) + FIXTURE_WAIT_MS;

	ready.revision = 35;
	draining.revision = 44;
	draining.target.draining = true;
	fixture_complete(fixture, &reply);
	reply.result = (mc_source_result_t){ .revision = 45,
					     .record_count = 1,
					     .records = &draining };
	fixture_complete(fixture, &reply);
	while (!is_leaving(fixture) && mc_clock_now(mc_clock_system()) < end)
		usleep(1000);
	assert_true(is_leaving(fixture));
	reply.result = (mc_source_result_t){ .revision = 50,
					     .record_count = 1,
					     .records = &ready };
	fixture_complete(fixture, &reply);
	usleep(50000);
	assert_true(is_leaving(fixture));
}

/* Copies the view's only target; false without one, or before a view. */
static bool get_only_target(fixture_t *fixture, mc_registry_view_target_t *out)
{
	bool found;

	mc_shard_lock(fixture->shard);
	found = fixture->view && fixture->view->target_count == 1;
	if (found)
		*out = fixture->view->targets[0];
	mc_shard_unlock(fixture->shard);
	return found;
}

/*
 * A target starts again under its id after its clock was set back. Taken for a
 * late entry of its former incarnation, it would be asked at its former
 * address, get no time to warm up, and be asked on when it drains.
 */
static void test_restart_with_clock_set_back(void **state)
{
	fixture_t *fixture = *state;
	mc_source_record_t former = fixture_target_record("a"),
			   next = fixture_target_record("a");
	reply_t reply = {
		.kind = MC_SOURCE_TARGETS,
		.result = { .revision = 40,
			    .record_count = 1,
			    .records = &former },
	};
	mc_registry_view_target_t target = { 0 };
	mc_ms_t end = mc_clock_now(mc_clock_system()) + FIXTURE_WAIT_MS;

	former.revision = 35;
	former.target.started_at = 9000;
	next.revision = 44;
	next.target.started_at = 5000;
	next.target.warmup_left = 60000;
	snprintf(next.target.address, sizeof(next.target.address),
		 "10.0.0.2:80");
	fixture_complete(fixture, &reply);
	reply.result = (mc_source_result_t){ .revision = 45,
					     .record_count = 1,
					     .records = &next };
	fixture_complete(fixture, &reply);
	do
		usleep(1000);
	while ((!get_only_target(fixture, &target) ||
		target.entry.started_at != 5000) &&
	       mc_clock_now(mc_clock_system()) < end);
	assert_int_equal(target.entry.started_at, 5000);
	assert_string_equal(target.entry.address, "10.0.0.2:80");
	assert_true(target.warmup_until > 0);
	next.revision = 46;
	next.target.draining = true;
	reply.result.revision = 47;
	fixture_complete(fixture, &reply);
	while (!is_leaving(fixture) && mc_clock_now(mc_clock_system()) < end)
		usleep(1000);
	assert_true(is_leaving(fixture));
}

/*
 * An upstream that was behind relays the removal of an entry that was written
 * again since, with what came after it. Applied again alone, as the later
 * change is known, it would take the target out of use for good.
 */
static void test_known_removal_is_not_repeated(void **state)
{
	fixture_t *fixture = *state;
	mc_source_record_t known = fixture_target_record("a");
	mc_source_record_t repeated[2] = {
		{ .name = "a", .removed = true, .revision = 44 },
	};
	reply_t reply = {
		.kind = MC_SOURCE_TARGETS,
		.result = { .revision = 48,
			    .record_count = 1,
			    .records = &known },
	};

	known.revision = 46;
	repeated[1] = known;
	fixture_complete(fixture, &reply);
	assert_int_equal(fixture_wait_target_count(fixture, 1), 1);
	reply.result = (mc_source_result_t){ .revision = 50,
					     .record_count = 2,
					     .records = repeated };
	fixture_complete(fixture, &reply);
	usleep(50000);
	assert_false(is_leaving(fixture));
	/* A removal that is new, but bears the revision of the last change. */
	repeated[0].revision = 46;
	reply.result = (mc_source_result_t){ .revision = 52,
					     .record_count = 1,
					     .records = repeated };
	fixture_complete(fixture, &reply);
	assert_int_equal(fixture_wait_target_count(fixture, 0), 0);
}

/*
 * An upstream that was behind relays that a data centre is back in service,
 * with the later record that takes it out again. If only the latter is known to
 * have been applied, the data centre is used.
 */
static void test_known_return_is_not_repeated(void **state)
{
	fixture_t *fixture = *state;
	mc_source_record_t a = fixture_target_record("a");
	mc_source_record_t out[2] = {
		{ .name = "north", .removed = true, .revision = 44 },
		{ .name = "north", .revision = 46 },
	};
	reply_t targets = {
		.kind = MC_SOURCE_TARGETS,
		.result = { .revision = 48, .record_count = 1, .records = &a },
	};
	reply_t reply = {
		.kind = MC_SOURCE_DATA_CENTERS_OUT,
		.result = { .revision = 48,
			    .record_count = 1,
			    .records = &out[1] },
	};
	mc_registry_view_target_t target = { 0 };

	fixture_complete(fixture, &targets);
	fixture_complete(fixture, &reply);
	reply.result = (mc_source_result_t){ .revision = 50,
					     .record_count = 2,
					     .records = out };
	fixture_complete(fixture, &reply);
	usleep(50000);
	assert_true(get_only_target(fixture, &target));
	assert_true(target.data_center_out);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		FIXTURE_ORDERS_TEST(test_known_changes_are_not_repeated),
		FIXTURE_ORDERS_TEST(test_restart_with_clock_set_back),
		FIXTURE_ORDERS_TEST(test_known_removal_is_not_repeated),
		FIXTURE_ORDERS_TEST(test_known_return_is_not_repeated),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
