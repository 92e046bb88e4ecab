/*
 * Unit tests of the relay library: changes and states that are relayed, and the
 * choice of an upstream.
 */
#include "relay_fixture.h"

/* The second instance subscribes to the first, never the other way round. */
static void test_relays_changes(void **state)
{
	fixture_t *fixture = *state;

	fixture_wait_for(fixture, fixture_has_upstream);
	mc_shard_post(fixture->shard, fixture_send_changes, fixture);
	fixture_wait_for(fixture, fixture_has_changes);
	mc_shard_lock(fixture->shard);
	assert_string_equal(fixture->instances[1].text, "{\"a\": 1}");
	assert_int_equal(fixture->instances[1].kind, 1);
	assert_int_equal(fixture->instances[1].since, 5);
	assert_int_equal(fixture->instances[1].known_revisions[1], 7);
	assert_int_equal(mc_relay_subscriber_count(fixture->instances[0].relay),
			 1);
	assert_int_equal(mc_relay_subscriber_count(fixture->instances[1].relay),
			 0);
	assert_false(mc_relay_has_upstream(fixture->instances[0].relay));
	mc_shard_unlock(fixture->shard);
}

static bool has_newer_revisions(const fixture_t *fixture)
{
	return fixture->instances[1].known_revisions[1] == 8;
}

static void send_over_budget(mc_shard_t *shard, void *arg)
{
	fixture_t *fixture = arg;
	static char text[1 << 20];
	mc_random_t random;
	size_t i;

	(void)shard;
	/* Random text deflates badly. */
	mc_random_seed(&random, 3);
	for (i = 0; i < sizeof(text) - 1; i++)
		text[i] = (char)(' ' + mc_random_below(&random, 90));
	fixture->instances[0].revisions[1] = 8;
	mc_relay_send_changes(fixture->instances[0].relay, 1, 7, text);
}

/*
 * Changes over the byte budget are not relayed; the subscriber learns of them
 * from the revisions and reads them from the store.
 */
static void test_over_budget(void **state)
{
	fixture_t *fixture = *state;

	fixture_wait_for(fixture, fixture_has_upstream);
	mc_shard_post(fixture->shard, send_over_budget, fixture);
	fixture_wait_for(fixture, has_newer_revisions);
	mc_shard_lock(fixture->shard);
	assert_string_equal(fixture->instances[1].text, "");
	mc_shard_unlock(fixture->shard);
	mc_shard_post(fixture->shard, fixture_send_changes, fixture);
	fixture_wait_for(fixture, fixture_has_changes);
}

static void send_long(mc_shard_t *shard, void *arg)
{
	fixture_t *fixture = arg;
	static char text[1 << 20];

	(void)shard;
	memset(text, 'x', sizeof(text) - 1);
	mc_relay_send_changes(fixture->instances[0].relay, 1, 7, text);
}

/* Long texts that deflate well are within the byte budget and relayed. */
static void test_deflated(void **state)
{
	fixture_t *fixture = *state;

	fixture_wait_for(fixture, fixture_has_upstream);
	mc_shard_post(fixture->shard, send_long, fixture);
	fixture_wait_for(fixture, fixture_has_changes);
	mc_shard_lock(fixture->shard);
	assert_int_equal(strspn(fixture->instances[1].text, "x"),
			 sizeof(fixture->instances[1].text) - 1);
	mc_shard_unlock(fixture->shard);
}

/* An upstream that is not fresh is not relied on until it is fresh again. */
static void test_stale_upstream(void **state)
{
	fixture_t *fixture = *state;

	fixture_wait_for(fixture, fixture_has_upstream);
	mc_shard_lock(fixture->shard);
	fixture->instances[0].fresh = false;
	mc_shard_unlock(fixture->shard);
	fixture_wait_for(fixture, fixture_has_no_upstream);
	mc_shard_lock(fixture->shard);
	fixture->instances[0].fresh = true;
	mc_shard_unlock(fixture->shard);
	fixture_wait_for(fixture, fixture_has_upstream);
}

static void set_complete_at(fixture_t *fixture, mc_ms_t time)
{
	mc_shard_lock(fixture->shard);
	fixture->instances[0].complete_at = time;
	mc_shard_unlock(fixture->shard);
}

static bool is_told_time(const fixture_t *fixture)
{
	return fixture->instances[1].told_complete_at > 0;
}

/*
 * A subscriber is told up to when its upstream has all changes, and takes it
 * for no later than it is. What is from before it has subscribed proves
 * nothing, as the clocks of the two can't be compared.
 */
static void test_time_of_completeness(void **state)
{
	fixture_t *fixture = *state;
	mc_ms_t time = mc_clock_now(mc_clock_system()) - 60000, told;

	set_complete_at(fixture, time);
	fixture_wait_for(fixture, fixture_has_upstream);
	usleep(1000000);
	mc_shard_lock(fixture->shard);
	assert_false(is_told_time(fixture));
	mc_shard_unlock(fixture->shard);
	time = mc_clock_now(mc_clock_system());
	set_complete_at(fixture, time);
	fixture_wait_for(fixture, is_told_time);
	mc_shard_lock(fixture->shard);
	told = fixture->instances[1].told_complete_at;
	mc_shard_unlock(fixture->shard);
	assert_true(told <= time);
}

/* A number that is no time says nothing. */
static void test_time_out_of_range(void **state)
{
	fixture_t *fixture = *state;

	set_complete_at(fixture, INT64_MAX);
	fixture_wait_for(fixture, fixture_has_upstream);
	usleep(1000000);
	mc_shard_lock(fixture->shard);
	assert_false(is_told_time(fixture));
	mc_shard_unlock(fixture->shard);
}

static bool is_told_again(const fixture_t *fixture)
{
	return fixture->instances[1].known_revisions[1] == 9;
}

/* The subscriber was suspended, and its clock stood still meanwhile, so that
 * what it is told seems to be yet to come: it is taken for no later than now.
 */
static void test_time_after_suspension(void **state)
{
	fixture_t *fixture = *state;
	mc_ms_t told;

	fixture_wait_for(fixture, fixture_has_upstream);
	set_complete_at(fixture, mc_clock_now(mc_clock_system()) + 60000);
	fixture_wait_for(fixture, is_told_time);
	mc_shard_lock(fixture->shard);
	told = fixture->instances[1].told_complete_at;
	fixture->instances[0].complete_at -= 1000;
	fixture->instances[0].revisions[1] = 9;
	mc_shard_unlock(fixture->shard);
	assert_true(told <= mc_clock_now(mc_clock_system()));
	fixture_wait_for(fixture, is_told_again);
	mc_shard_lock(fixture->shard);
	assert_int_equal(fixture->instances[1].told_complete_at, told - 1000);
	mc_shard_unlock(fixture->shard);
}

static void test_lost_upstream(void **state)
{
	fixture_t *fixture = *state;

	fixture_wait_for(fixture, fixture_has_upstream);
	mc_shard_post(fixture->shard, fixture_destroy_first, fixture);
	fixture_wait_for(fixture, fixture_has_no_upstream);
	mc_shard_lock(fixture->shard);
	assert_int_equal(fixture->instances[1].upstream_changes, 2);
	mc_shard_unlock(fixture->shard);
}

/* Whether the instance has an upstream and never was without one since it found
 * the first. */
static bool has_kept_upstream(fixture_t *fixture, int i)
{
	bool kept;

	mc_shard_lock(fixture->shard);
	kept = mc_relay_has_upstream(fixture->instances[i].relay) &&
	       fixture->instances[i].upstream_changes == 1;
	mc_shard_unlock(fixture->shard);
	return kept;
}

/* An upstream that lists its records anew is not fresh for a moment: its
 * subscribers need not read the store. */
static void test_stale_for_a_moment(void **state)
{
	fixture_t *fixture = *state;

	fixture_wait_for(fixture, fixture_all_have_upstream);
	mc_shard_lock(fixture->shard);
	fixture->instances[0].fresh = false;
	mc_shard_unlock(fixture->shard);
	usleep(1000000);
	mc_shard_lock(fixture->shard);
	fixture->instances[0].fresh = true;
	mc_shard_unlock(fixture->shard);
	usleep(RELIANCE_MS * 1000);
	assert_true(has_kept_upstream(fixture, 1));
}

/* When the upstream is lost, the next instance takes its place, and the others
 * find it without reading the store meanwhile. */
static void test_next_upstream(void **state)
{
	fixture_t *fixture = *state;

	fixture_wait_for(fixture, fixture_all_have_upstream);
	mc_shard_post(fixture->shard, fixture_destroy_first, fixture);
	fixture_wait_for(fixture, fixture_second_is_upstream);
	fixture_wait_for(fixture, fixture_has_no_upstream);
	usleep(1000000);
	assert_true(has_kept_upstream(fixture, 2));
}

/*
 * Every instance has another place in the rank, so that upstreams, which are
 * always before their subscribers, form no cycle.
 */
static void test_rank(void **state)
{
	mc_relay_peer_t all[9] = { 0 }, others[9];
	uint32_t places = 0;
	int i, j;

	(void)state;
	for (i = 0; i < 9; i++)
		snprintf(all[i].name, MC_RELAY_NAME_SIZE, "north-%d", i);
	for (i = 0; i < 9; i++) {
		uint32_t count = 0, place;

		for (j = 0; j < 9; j++)
			if (strcmp(all[j].name, all[i].name))
				others[count++] = all[j];
		place = mc_relay_rank_peers(all[i].name, others, count);
		assert_in_range(place, 0, 8);
		places |= UINT32_C(1) << place;
	}
	assert_int_equal(places, 0x1ff);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(
			test_relays_changes, fixture_set_up, fixture_tear_down),
		cmocka_unit_test_setup_teardown(test_deflated, fixture_set_up,
						fixture_tear_down),
		cmocka_unit_test_setup_teardown(
			test_over_budget, fixture_set_up, fixture_tear_down),
		cmocka_unit_test_setup_teardown(
			test_stale_upstream, fixture_set_up, fixture_tear_down),
		cmocka_unit_test_setup_teardown(test_time_of_completeness,
						fixture_set_up,
						fixture_tear_down),
		cmocka_unit_test_setup_teardown(test_time_out_of_range,
						fixture_set_up,
						fixture_tear_down),
		cmocka_unit_test_setup_teardown(test_time_after_suspension,
						fixture_set_up,
						fixture_tear_down),
		cmocka_unit_test_setup_teardown(
			test_lost_upstream, fixture_set_up, fixture_tear_down),
		cmocka_unit_test_setup_teardown(test_stale_for_a_moment,
						fixture_set_up_three,
						fixture_tear_down),
		cmocka_unit_test_setup_teardown(test_next_upstream,
						fixture_set_up_three,
						fixture_tear_down),
		cmocka_unit_test(test_rank),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
