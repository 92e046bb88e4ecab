/*
 * Unit tests of the news library: two instances on one shard, over loopback.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <cmocka.h>

#include "mc/relay.h"

enum {
	WAIT_MS = 20000,
	KINDS = 2,
	INSTANCES = 2,
};

/* One instance's side; guarded by the shard's lock. */
typedef struct {
	bool fresh;
	uint64_t revisions[KINDS];
	uint64_t known[KINDS];
	char text[64];
	uint64_t above;
	uint32_t kind;
	uint32_t heard;
	mc_relay_t *news;
} side_t;

typedef struct {
	mc_shard_t *shard;
	/* The first goes before the second. */
	side_t sides[INSTANCES];
	mc_relay_peer_t peers[INSTANCES];
} fixture_t;

static bool describe(void *ctx, uint64_t *revisions)
{
	side_t *side = ctx;

	memcpy(revisions, side->revisions, sizeof(side->revisions));
	return side->fresh;
}

static void told(void *ctx, uint32_t kind, uint64_t above, const char *text)
{
	side_t *side = ctx;

	side->kind = kind;
	side->above = above;
	snprintf(side->text, sizeof(side->text), "%s", text);
}

static void known(void *ctx, const uint64_t *revisions)
{
	side_t *side = ctx;

	memcpy(side->known, revisions, sizeof(side->known));
}

static void heard(void *ctx)
{
	side_t *side = ctx;

	side->heard++;
}

static const mc_relay_ops_t ops = {
	.get_revisions = describe,
	.on_changes = told,
	.on_revisions = known,
	.on_upstream_changed = heard,
};

/* A port that was free just now. */
static uint16_t free_port(mc_shard_t *shard)
{
	static const mc_link_events_t none = { 0 };
	mc_handle_t listener;
	uint16_t port;

	assert_int_equal(mc_link_listen(shard, "127.0.0.1:0", &none, NULL,
					&port, &listener),
			 MC_OK);
	mc_link_stop_listening(shard, listener);
	return port;
}

static int set_up(void **state)
{
	const mc_shard_params_t params = {
		.seed = 1,
		.clock = mc_clock_system(),
	};
	fixture_t *fixture = calloc(1, sizeof(*fixture));
	int i;

	assert_non_null(fixture);
	assert_int_equal(mc_net_init(), MC_OK);
	fixture->shard = mc_shard_create(&params);
	for (i = 0; i < INSTANCES; i++) {
		snprintf(fixture->peers[i].name, MC_RELAY_NAME_SIZE, "i-%d", i);
		snprintf(fixture->peers[i].address, MC_RELAY_NAME_SIZE,
			 "127.0.0.1:%u", free_port(fixture->shard));
	}
	mc_relay_rank_peers("", fixture->peers, INSTANCES);
	for (i = 0; i < INSTANCES; i++) {
		const mc_relay_params_t news = {
			.shard = fixture->shard,
			.listen_address = fixture->peers[i].address,
			.instance_name = fixture->peers[i].name,
			.kind_count = KINDS,
			.ops = &ops,
			.ctx = &fixture->sides[i],
		};

		fixture->sides[i].fresh = true;
		fixture->sides[i].revisions[1] = 7;
		fixture->sides[i].news = mc_relay_create(&news);
		assert_non_null(fixture->sides[i].news);
		mc_relay_set_peers(fixture->sides[i].news,
				   &fixture->peers[INSTANCES - 1 - i], 1);
	}
	assert_int_equal(mc_shard_start(fixture->shard), MC_OK);
	*state = fixture;
	return 0;
}

static int tear_down(void **state)
{
	fixture_t *fixture = *state;
	int i;

	mc_shard_stop(fixture->shard);
	for (i = 0; i < INSTANCES; i++)
		mc_relay_destroy(fixture->sides[i].news);
	mc_shard_destroy(fixture->shard);
	free(fixture);
	return 0;
}

static bool is_heard(const fixture_t *fixture)
{
	return mc_relay_has_upstream(fixture->sides[1].news);
}

static bool has_text(const fixture_t *fixture)
{
	return fixture->sides[1].text[0];
}

static bool is_deaf(const fixture_t *fixture)
{
	return !is_heard(fixture);
}

static void wait_for(fixture_t *fixture, bool (*done)(const fixture_t *))
{
	mc_ms_t end = mc_clock_now(mc_clock_system()) + WAIT_MS;
	bool is_done;

	do {
		usleep(1000);
		mc_shard_lock(fixture->shard);
		is_done = done(fixture);
		mc_shard_unlock(fixture->shard);
		assert_true(is_done || mc_clock_now(mc_clock_system()) < end);
	} while (!is_done);
}

static void tell(mc_shard_t *shard, void *arg)
{
	fixture_t *fixture = arg;

	(void)shard;
	mc_relay_send_changes(fixture->sides[0].news, 1, 5, "{\"a\": 1}");
}

static void end_first(mc_shard_t *shard, void *arg)
{
	fixture_t *fixture = arg;

	(void)shard;
	mc_relay_destroy(fixture->sides[0].news);
	fixture->sides[0].news = NULL;
}

/* The second hears the first, never the other way round. */
static void test_hears(void **state)
{
	fixture_t *fixture = *state;

	wait_for(fixture, is_heard);
	mc_shard_post(fixture->shard, tell, fixture);
	wait_for(fixture, has_text);
	mc_shard_lock(fixture->shard);
	assert_string_equal(fixture->sides[1].text, "{\"a\": 1}");
	assert_int_equal(fixture->sides[1].kind, 1);
	assert_int_equal(fixture->sides[1].above, 5);
	assert_int_equal(fixture->sides[1].known[1], 7);
	assert_int_equal(mc_relay_subscriber_count(fixture->sides[0].news), 1);
	assert_int_equal(mc_relay_subscriber_count(fixture->sides[1].news), 0);
	assert_false(mc_relay_has_upstream(fixture->sides[0].news));
	mc_shard_unlock(fixture->shard);
}

static bool knows_more(const fixture_t *fixture)
{
	return fixture->sides[1].known[1] == 8;
}

static void tell_much(mc_shard_t *shard, void *arg)
{
	fixture_t *fixture = arg;
	static char text[1 << 20];
	mc_random_t random;
	size_t i;

	(void)shard;
	/* What does not deflate well. */
	mc_random_seed(&random, 3);
	for (i = 0; i < sizeof(text) - 1; i++)
		text[i] = (char)(' ' + mc_random_below(&random, 90));
	fixture->sides[0].revisions[1] = 8;
	mc_relay_send_changes(fixture->sides[0].news, 1, 7, text);
}

/* What would fill the link is asked from the store, not passed on. */
static void test_too_much(void **state)
{
	fixture_t *fixture = *state;

	wait_for(fixture, is_heard);
	mc_shard_post(fixture->shard, tell_much, fixture);
	wait_for(fixture, knows_more);
	mc_shard_lock(fixture->shard);
	assert_string_equal(fixture->sides[1].text, "");
	mc_shard_unlock(fixture->shard);
	mc_shard_post(fixture->shard, tell, fixture);
	wait_for(fixture, has_text);
}

static void tell_long(mc_shard_t *shard, void *arg)
{
	fixture_t *fixture = arg;
	static char text[1 << 20];

	(void)shard;
	memset(text, 'x', sizeof(text) - 1);
	mc_relay_send_changes(fixture->sides[0].news, 1, 7, text);
}

/* Long texts that deflate well are passed on. */
static void test_deflates(void **state)
{
	fixture_t *fixture = *state;

	wait_for(fixture, is_heard);
	mc_shard_post(fixture->shard, tell_long, fixture);
	wait_for(fixture, has_text);
	mc_shard_lock(fixture->shard);
	assert_int_equal(strspn(fixture->sides[1].text, "x"),
			 sizeof(fixture->sides[1].text) - 1);
	mc_shard_unlock(fixture->shard);
}

/* One that does not hear the store is not relied on, until it does again. */
static void test_deaf(void **state)
{
	fixture_t *fixture = *state;

	wait_for(fixture, is_heard);
	mc_shard_lock(fixture->shard);
	fixture->sides[0].fresh = false;
	mc_shard_unlock(fixture->shard);
	wait_for(fixture, is_deaf);
	mc_shard_lock(fixture->shard);
	fixture->sides[0].fresh = true;
	mc_shard_unlock(fixture->shard);
	wait_for(fixture, is_heard);
}

static void test_gone(void **state)
{
	fixture_t *fixture = *state;

	wait_for(fixture, is_heard);
	mc_shard_post(fixture->shard, end_first, fixture);
	wait_for(fixture, is_deaf);
	mc_shard_lock(fixture->shard);
	assert_int_equal(fixture->sides[1].heard, 2);
	mc_shard_unlock(fixture->shard);
}

/* Each instance hears only those before it, so that there is no circle. */
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
		cmocka_unit_test_setup_teardown(test_hears, set_up, tear_down),
		cmocka_unit_test_setup_teardown(test_deflates, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(test_too_much, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(test_deaf, set_up, tear_down),
		cmocka_unit_test_setup_teardown(test_gone, set_up, tear_down),
		cmocka_unit_test(test_rank),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
