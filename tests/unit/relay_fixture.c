#include "relay_fixture.h"

static bool get_known(void *ctx, mc_ms_t since, mc_relay_known_t *known)
{
	instance_t *instance = ctx;
	int i;

	(void)since;
	for (i = 0; i < KINDS; i++)
		known[i] = (mc_relay_known_t){
			.revision = instance->revisions[i],
			.complete_at = instance->complete_at,
		};
	return instance->fresh;
}

static void on_changes(void *ctx, uint32_t kind, uint64_t since,
		       const char *text)
{
	instance_t *instance = ctx;

	instance->kind = kind;
	instance->since = since;
	snprintf(instance->text, sizeof(instance->text), "%s", text);
}

static void on_known(void *ctx, const mc_relay_known_t *known)
{
	instance_t *instance = ctx;
	int i;

	for (i = 0; i < KINDS; i++)
		instance->known_revisions[i] = known[i].revision;
	instance->told_complete_at = known[0].complete_at;
}

static void on_era(void *ctx, uint64_t era)
{
	instance_t *instance = ctx;

	instance->told_era = era;
	mc_relay_set_era(instance->relay, era);
}

static void on_upstream_changed(void *ctx)
{
	instance_t *instance = ctx;

	instance->upstream_changes++;
}

static void on_evidence(void *ctx, const mc_wire_evidence_t *items,
			uint32_t count)
{
	instance_t *instance = ctx;

	instance->evidence_count += count;
	instance->evidence = items[0];
}

static const mc_relay_ops_t ops = {
	.get_known = get_known,
	.on_changes = on_changes,
	.on_known = on_known,
	.on_era = on_era,
	.on_upstream_changed = on_upstream_changed,
	.on_evidence = on_evidence,
};

/* Returns a port that was free a moment ago. */
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

void fixture_create_instance(fixture_t *fixture, int i, uint32_t kinds,
			     mc_ms_t reliance)
{
	mc_relay_peer_t others[INSTANCES_MAX];
	const mc_relay_params_t params = {
		.shard = fixture->shard,
		.listen_address = fixture->peers[i].address,
		.instance_name = fixture->peers[i].name,
		.kind_count = kinds,
		.reliance = reliance,
		.ops = &ops,
		.ctx = &fixture->instances[i],
	};
	uint32_t count = 0;
	int j;

	fixture->instances[i].fresh = true;
	fixture->instances[i].revisions[1] = 7;
	fixture->instances[i].relay = mc_relay_create(&params);
	assert_non_null(fixture->instances[i].relay);
	for (j = 0; j < fixture->count; j++)
		if (j != i)
			others[count++] = fixture->peers[j];
	mc_relay_set_peers(fixture->instances[i].relay, others, count);
}

static int set_up_instances(void **state, int count, mc_ms_t reliance)
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
	fixture->count = count;
	for (i = 0; i < count; i++) {
		snprintf(fixture->peers[i].name, MC_RELAY_NAME_SIZE, "i-%d", i);
		snprintf(fixture->peers[i].address, MC_RELAY_NAME_SIZE,
			 "127.0.0.1:%u", free_port(fixture->shard));
	}
	mc_relay_rank_peers("", fixture->peers, (uint32_t)count);
	for (i = 0; i < count; i++)
		fixture_create_instance(fixture, i, KINDS, reliance);
	assert_int_equal(mc_shard_start(fixture->shard), MC_OK);
	*state = fixture;
	return 0;
}

int fixture_set_up(void **state)
{
	return set_up_instances(state, 2, 0);
}

int fixture_set_up_three(void **state)
{
	return set_up_instances(state, INSTANCES_MAX, RELIANCE_MS);
}

int fixture_tear_down(void **state)
{
	fixture_t *fixture = *state;
	int i;

	mc_shard_stop(fixture->shard);
	for (i = 0; i < fixture->count; i++)
		mc_relay_destroy(fixture->instances[i].relay);
	mc_shard_destroy(fixture->shard);
	free(fixture);
	return 0;
}

bool fixture_has_upstream(const fixture_t *fixture)
{
	return mc_relay_has_upstream(fixture->instances[1].relay);
}

bool fixture_has_changes(const fixture_t *fixture)
{
	return fixture->instances[1].text[0];
}

bool fixture_has_no_upstream(const fixture_t *fixture)
{
	return !fixture_has_upstream(fixture);
}

void fixture_wait_for(fixture_t *fixture, bool (*done)(const fixture_t *))
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

void fixture_send_changes(mc_shard_t *shard, void *arg)
{
	fixture_t *fixture = arg;

	(void)shard;
	mc_relay_send_changes(fixture->instances[0].relay, 1, 5, "{\"a\": 1}");
}

void fixture_destroy_first(mc_shard_t *shard, void *arg)
{
	fixture_t *fixture = arg;

	(void)shard;
	mc_relay_destroy(fixture->instances[0].relay);
	fixture->instances[0].relay = NULL;
}

bool fixture_all_have_upstream(const fixture_t *fixture)
{
	return fixture_has_upstream(fixture) &&
	       mc_relay_has_upstream(fixture->instances[2].relay);
}

bool fixture_second_is_upstream(const fixture_t *fixture)
{
	return mc_relay_subscriber_count(fixture->instances[1].relay) == 1;
}
