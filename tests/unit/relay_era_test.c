/*
 * Unit tests of the relay library: instances that know different eras of the
 * store.
 */
#include "relay_fixture.h"

static instance_t read_subscriber(fixture_t *fixture)
{
	instance_t subscriber;

	mc_shard_lock(fixture->shard);
	subscriber = fixture->instances[1];
	mc_shard_unlock(fixture->shard);
	return subscriber;
}

/* Sets the eras of both instances; none follows the other's. */
static void set_eras(fixture_t *fixture, uint64_t upstream, uint64_t subscriber)
{
	mc_shard_lock(fixture->shard);
	mc_relay_set_era(fixture->instances[0].relay, upstream);
	mc_relay_set_era(fixture->instances[1].relay, subscriber);
	mc_shard_unlock(fixture->shard);
}

static bool is_told_era(const fixture_t *fixture)
{
	return fixture->instances[1].told_era == 2;
}

/* The upstream knows a later era: the subscriber is told, and relies on it once
 * it knows the era itself. */
static void test_later_era(void **state)
{
	fixture_t *fixture = *state;

	set_eras(fixture, 1, 1);
	fixture_wait_for(fixture, fixture_has_upstream);
	assert_int_equal(read_subscriber(fixture).told_era, 0);
	set_eras(fixture, 2, 1);
	fixture_wait_for(fixture, is_told_era);
	fixture_wait_for(fixture, fixture_has_upstream);
	mc_shard_post(fixture->shard, fixture_send_changes, fixture);
	fixture_wait_for(fixture, fixture_has_changes);
}

/* The upstream has not noticed the later era yet, or is of a version that knows
 * no eras: its changes and revisions are not used. */
static void check_former_upstream(fixture_t *fixture, uint64_t era)
{
	instance_t subscriber;

	set_eras(fixture, era, 2);
	mc_shard_lock(fixture->shard);
	fixture->instances[0].revisions[1] = 8;
	mc_shard_unlock(fixture->shard);
	usleep(1000000);
	mc_shard_post(fixture->shard, fixture_send_changes, fixture);
	fixture_wait_for(fixture, fixture_has_no_upstream);
	usleep(300000);
	subscriber = read_subscriber(fixture);
	assert_string_equal(subscriber.text, "");
	/* Before the eras were set, it may have been told the revision 7. */
	assert_int_not_equal(subscriber.known_revisions[1], 8);
	set_eras(fixture, 2, 2);
	fixture_wait_for(fixture, fixture_has_upstream);
}

static void test_former_upstream(void **state)
{
	check_former_upstream(*state, 1);
}

static void test_upstream_without_eras(void **state)
{
	check_former_upstream(*state, 0);
}

/* Gives the second instance's place to one that takes a state of @kinds entries
 * for that of an upstream without an era. */
static void replace_subscriber(fixture_t *fixture, uint32_t kinds)
{
	mc_shard_lock(fixture->shard);
	mc_relay_destroy(fixture->instances[1].relay);
	fixture->instances[1].told_era = 0;
	fixture_create_instance(fixture, 1, kinds, 0);
	mc_shard_unlock(fixture->shard);
}

static bool is_told_revision(const fixture_t *fixture)
{
	return fixture->instances[1].told_era == 7;
}

/*
 * The state that versions which know no eras take has an entry for each kind
 * and no other. A subscriber with a kind less takes the last one for the era,
 * and a state with a further entry for none.
 */
static void test_state_without_era(void **state)
{
	fixture_t *fixture = *state;

	replace_subscriber(fixture, KINDS - 1);
	fixture_wait_for(fixture, is_told_revision);
}

/* A state with an era is refused by versions that can't use it, which read the
 * store themselves. */
static void test_older_subscriber(void **state)
{
	fixture_t *fixture = *state;

	set_eras(fixture, 2, 0);
	replace_subscriber(fixture, KINDS - 1);
	usleep(1000000);
	assert_int_equal(read_subscriber(fixture).told_era, 0);
	fixture_wait_for(fixture, fixture_has_no_upstream);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_later_era, fixture_set_up,
						fixture_tear_down),
		cmocka_unit_test_setup_teardown(test_former_upstream,
						fixture_set_up,
						fixture_tear_down),
		cmocka_unit_test_setup_teardown(test_upstream_without_eras,
						fixture_set_up,
						fixture_tear_down),
		cmocka_unit_test_setup_teardown(test_state_without_era,
						fixture_set_up,
						fixture_tear_down),
		cmocka_unit_test_setup_teardown(test_older_subscriber,
						fixture_set_up,
						fixture_tear_down),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
