/*
 * Unit tests of a subscriber when the store comes back older, and it, or its
 * upstream, knows the later era first; when the store is available to its
 * upstream alone; and when a watch of its own hangs.
 */
#include "discovery_fixture.h"

enum {
	ADDRESS_SIZE = 32,
	FORMER_REVISION = 45,
	/* Longer than a subscriber relies on an upstream that is not fresh, and
	 * waits for lists that are relayed. */
	RELIANCE_US = 1500 * 1000,
};

/* Another instance, before this one in rank; used with the shard locked. */
static struct {
	mc_relay_t *relay;
	uint64_t revision;
	char name[ADDRESS_SIZE];
	char address[ADDRESS_SIZE];
} upstream;

static bool report_known(void *ctx, mc_ms_t since, mc_relay_known_t *known)
{
	int kind;

	(void)ctx;
	(void)since;
	for (kind = 0; kind < MC_SOURCE_KIND_COUNT; kind++)
		known[kind] = (mc_relay_known_t){
			.revision = upstream.revision,
		};
	return true;
}

/* Chooses a name that is before this instance's in rank. */
static void choose_name(void)
{
	mc_relay_peer_t peer = { 0 };
	int i = 2;

	do {
		snprintf(upstream.name, sizeof(upstream.name), "north-%d", i++);
		snprintf(peer.name, sizeof(peer.name), "%s", upstream.name);
	} while (!mc_relay_rank_peers("north-1", &peer, 1));
	snprintf(upstream.address, sizeof(upstream.address), "127.0.0.1:%u",
		 fixture_find_free_port());
}

static void start_upstream(mc_shard_t *shard, void *arg)
{
	static const mc_relay_ops_t ops = {
		.get_known = report_known,
	};

	(void)arg;
	upstream.relay = mc_relay_create(&(mc_relay_params_t){
		.shard = shard,
		.listen_address = upstream.address,
		.instance_name = upstream.name,
		.kind_count = MC_SOURCE_KIND_COUNT,
		.ops = &ops,
	});
	mc_relay_set_era(upstream.relay, 1);
}

static void complete_empty(fixture_t *fixture, mc_source_kind_t kind,
			   uint64_t era, uint64_t revision)
{
	reply_t reply = { .kind = kind,
			  .result = { .era = era, .revision = revision } };

	fixture_complete_last(fixture, &reply);
}

static void add_upstream(fixture_t *fixture)
{
	mc_source_record_t record = { .name = upstream.name };
	reply_t reply = {
		.kind = MC_SOURCE_INSTANCES,
		.result = { .era = 1,
			    .revision = FORMER_REVISION,
			    .record_count = 1,
			    .records = &record },
	};
	mc_source_instance_t *instance = &record.instance;

	snprintf(instance->name, sizeof(instance->name), "%s", upstream.name);
	snprintf(instance->data_center, sizeof(instance->data_center), "north");
	snprintf(instance->relay_address, sizeof(instance->relay_address), "%s",
		 upstream.address);
	fixture_complete_last(fixture, &reply);
}

static bool has_call(fixture_t *fixture, mc_source_kind_t kind)
{
	bool open;

	mc_shard_lock(fixture->shard);
	open = fixture_source.calls[kind].open;
	mc_shard_unlock(fixture->shard);
	return open;
}

/* Starts an instance that has an upstream, and whose last open watch is that of
 * the targets. */
static int set_up(void **state)
{
	fixture_t *fixture;

	fixture_set_up_alone(state);
	fixture = *state;
	choose_name();
	upstream.revision = FORMER_REVISION;
	assert_int_equal(mc_shard_post(fixture->shard, start_upstream, NULL),
			 MC_OK);
	/* A watch that lacked what the upstream knows would be given up. */
	complete_empty(fixture, MC_SOURCE_TARGETS, 1, FORMER_REVISION);
	add_upstream(fixture);
	usleep(RELIANCE_US);
	complete_empty(fixture, MC_SOURCE_ROUTEMAP, 1, FORMER_REVISION);
	complete_empty(fixture, MC_SOURCE_DATA_CENTERS_OUT, 1, FORMER_REVISION);
	complete_empty(fixture, MC_SOURCE_ROLLOUTS, 1, FORMER_REVISION);
	usleep(RELIANCE_US);
	assert_false(has_call(fixture, MC_SOURCE_ROUTEMAP));
	assert_false(has_call(fixture, MC_SOURCE_ROLLOUTS));
	return 0;
}

static int tear_down(void **state)
{
	fixture_t *fixture = *state;

	mc_shard_lock(fixture->shard);
	mc_relay_destroy(upstream.relay);
	mc_shard_unlock(fixture->shard);
	return fixture_tear_down(state);
}

static void set_upstream_era(fixture_t *fixture, uint64_t era,
			     uint64_t revision)
{
	mc_shard_lock(fixture->shard);
	upstream.revision = revision;
	mc_relay_set_era(upstream.relay, era);
	mc_shard_unlock(fixture->shard);
}

/* The upstream knows the later era first, and tells it: its subscriber lists
 * all kinds anew, by calls that cost little, and goes on relying on it. */
static void test_upstream_is_ahead(void **state)
{
	fixture_t *fixture = *state;
	mc_source_kind_t kind;
	call_t call;

	set_upstream_era(fixture, 2, 20);
	for (kind = 0; kind < MC_SOURCE_INSTANCES; kind++) {
		call = fixture_wait_call(fixture, kind);
		assert_false(call.is_watch);
		assert_true(call.allow_stale);
		complete_empty(fixture, kind, 2, 20);
	}
	usleep(RELIANCE_US);
	for (kind = 0; kind < MC_SOURCE_INSTANCES; kind++)
		assert_false(has_call(fixture, kind));
}

/* The subscriber is told by the store; its upstream stays in the former era, as
 * if frozen or cut off: the subscriber reads the store itself, and revisions of
 * the former era make it read nothing. */
static void test_upstream_is_behind(void **state)
{
	fixture_t *fixture = *state;
	mc_source_kind_t kind;
	call_t call;

	complete_empty(fixture, MC_SOURCE_TARGETS, 2, 20);
	for (kind = 0; kind < MC_SOURCE_INSTANCES; kind++) {
		assert_false(fixture_wait_call(fixture, kind).is_watch);
		complete_empty(fixture, kind, 2, 20);
	}
	usleep(RELIANCE_US);
	for (kind = 0; kind < MC_SOURCE_INSTANCES; kind++) {
		call = fixture_wait_call(fixture, kind);
		assert_true(call.is_watch);
		assert_int_equal(call.since, 20);
	}
	/* It has noticed it too, and is relied on again. */
	set_upstream_era(fixture, 2, 20);
	usleep(RELIANCE_US);
	complete_empty(fixture, MC_SOURCE_TARGETS, 2, 20);
	usleep(RELIANCE_US);
	assert_false(has_call(fixture, MC_SOURCE_TARGETS));
}

/*
 * The store refuses this instance and serves its upstream, which tells of
 * changes all the time: the targets are not asked for again each time, but once
 * the store is available again.
 */
static void test_store_refuses_subscriber(void **state)
{
	fixture_t *fixture = *state;
	reply_t refused = { .kind = MC_SOURCE_TARGETS,
			    .result = { .err = MC_ERR_STORE_UNAVAILABLE } };
	uint64_t revision = FORMER_REVISION;
	int i;

	complete_empty(fixture, MC_SOURCE_TARGETS, 1, FORMER_REVISION);
	usleep(RELIANCE_US);
	assert_false(has_call(fixture, MC_SOURCE_TARGETS));
	set_upstream_era(fixture, 1, ++revision);
	fixture_complete_last(fixture, &refused);
	for (i = 0; i < 3; i++) {
		set_upstream_era(fixture, 1, ++revision);
		usleep(RELIANCE_US / 3);
		assert_false(has_call(fixture, MC_SOURCE_TARGETS));
	}
	complete_empty(fixture, MC_SOURCE_ROUTEMAP, 1, revision);
	assert_true(fixture_wait_call(fixture, MC_SOURCE_TARGETS).allow_stale);
}

/* Waits until the targets are listed by a call that may be stale. */
static void wait_stale_list(fixture_t *fixture)
{
	mc_ms_t end = mc_clock_now(mc_clock_system()) + FIXTURE_WAIT_MS;
	call_t call;

	do {
		assert_true(mc_clock_now(mc_clock_system()) < end);
		usleep(1000);
		call = fixture_wait_call(fixture, MC_SOURCE_TARGETS);
	} while (call.is_watch);
	assert_true(call.allow_stale);
}

/* The subscriber's watch from before it had an upstream hangs, and the upstream
 * tells that it knows more: the watch is not waited for. */
static void test_own_watch_hangs(void **state)
{
	fixture_t *fixture = *state;

	assert_true(fixture_wait_call(fixture, MC_SOURCE_TARGETS).is_watch);
	set_upstream_era(fixture, 1, FORMER_REVISION + 1);
	wait_stale_list(fixture);
}

static void relay_list(mc_shard_t *shard, void *arg)
{
	reply_t *sent = arg;

	(void)shard;
	fixture_source.decoded = sent->result;
	mc_relay_send_changes(upstream.relay, sent->kind, MC_RELAY_LIST, "{}");
	sent->handled = true;
}

/* The same, and the upstream relays a list: it is taken, as that watch is no
 * list of the subscriber's own. */
static void test_list_beside_own_watch(void **state)
{
	fixture_t *fixture = *state;
	mc_source_record_t record = fixture_target_record("a");
	reply_t list = {
		.kind = MC_SOURCE_TARGETS,
		.result = { .revision = FORMER_REVISION + 1,
			    .record_count = 1,
			    .records = &record },
	};

	record.revision = FORMER_REVISION + 1;
	assert_true(fixture_wait_call(fixture, MC_SOURCE_TARGETS).is_watch);
	assert_int_equal(mc_shard_post(fixture->shard, relay_list, &list),
			 MC_OK);
	fixture_wait_handled(fixture, &list);
	assert_int_equal(fixture_wait_target_count(fixture, 1), 1);
	assert_true(fixture_wait_call(fixture, MC_SOURCE_TARGETS).is_watch);
}

#define PEERS_TEST(test) \
	cmocka_unit_test_setup_teardown(test, set_up, tear_down)

int main(void)
{
	const struct CMUnitTest tests[] = {
		PEERS_TEST(test_upstream_is_ahead),
		PEERS_TEST(test_upstream_is_behind),
		PEERS_TEST(test_store_refuses_subscriber),
		PEERS_TEST(test_own_watch_hangs),
		PEERS_TEST(test_list_beside_own_watch),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
