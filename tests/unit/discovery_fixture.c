/*
 * The fake source keeps the open call of each kind, which a test completes on
 * the shard; the discovery's last view is kept for the test.
 */
#include <arpa/inet.h>
#include <sys/socket.h>

#include "discovery_fixture.h"

enum {
	APPLY_MAX_MS = 3000,
	ADDRESS_SIZE = 32,
	/* Half of it is longer than the grace period of a target that leaves.
	 */
	LONG_APPLY_MAX_MS = 8000,
};

mc_source_t fixture_source;

static mc_source_t *fake_create(mc_shard_t *shard, const char *address)
{
	(void)shard;
	(void)address;
	memset(&fixture_source, 0, sizeof(fixture_source));
	return &fixture_source;
}

static void fake_destroy(mc_source_t *source)
{
	(void)source;
}

static mc_err_t fake_list(mc_source_t *source, mc_source_kind_t kind,
			  const char *after, bool allow_stale,
			  mc_source_done_fn_t done, void *ctx)
{
	call_t *call = &source->calls[kind];

	assert_false(call->open);
	*call = (call_t){ .open = true,
			  .allow_stale = allow_stale,
			  .done = done,
			  .ctx = ctx };
	snprintf(call->after, sizeof(call->after), "%s", after);
	return MC_OK;
}

static mc_err_t fake_watch(mc_source_t *source, mc_source_kind_t kind,
			   uint64_t since, mc_ms_t wait,
			   mc_source_done_fn_t done, void *ctx)
{
	call_t *call = &source->calls[kind];

	assert_false(call->open);
	source->watch_counts[kind]++;
	*call = (call_t){
		.open = true,
		.is_watch = true,
		.since = since,
		.wait = wait,
		.done = done,
		.ctx = ctx,
	};
	return MC_OK;
}

static mc_err_t fake_poll(mc_source_t *source, mc_source_kind_t kind,
			  uint64_t since, bool allow_stale,
			  mc_source_done_fn_t done, void *ctx)
{
	call_t *poll = &source->polls[kind];

	assert_false(poll->open);
	source->poll_counts[kind]++;
	*poll = (call_t){
		.open = true,
		.allow_stale = allow_stale,
		.since = since,
		.done = done,
		.ctx = ctx,
	};
	return MC_OK;
}

static void fake_cancel_watch(mc_source_t *source, mc_source_kind_t kind)
{
	assert_true(source->calls[kind].open);
	assert_true(source->calls[kind].is_watch);
	source->calls[kind].open = false;
	source->canceled_watches++;
}

static void fake_decode(mc_source_t *source, mc_source_kind_t kind,
			bool is_list, const char *raw, mc_source_done_fn_t done,
			void *ctx)
{
	(void)kind;
	(void)is_list;
	(void)raw;
	done(ctx, &source->decoded);
}

static mc_err_t fake_register(mc_source_t *source,
			      const mc_source_instance_t *instance,
			      bool replace, mc_source_done_fn_t done, void *ctx)
{
	const mc_source_result_t result = { .err = MC_OK };

	assert_string_equal(instance->name, "north-1");
	assert_string_equal(instance->data_center, "north");
	assert_false(replace);
	source->registered = true;
	source->registrations++;
	done(ctx, &result);
	return MC_OK;
}

static mc_err_t fake_write_rollout_state(mc_source_t *source,
					 const mc_rollout_order_t *order,
					 mc_source_done_fn_t done, void *ctx)
{
	source->state_write = (state_write_t){
		.open = true,
		.order = *order,
		.done = done,
		.ctx = ctx,
	};
	return MC_OK;
}

static const mc_source_ops_t fake_ops = {
	.create = fake_create,
	.destroy = fake_destroy,
	.list = fake_list,
	.watch = fake_watch,
	.poll = fake_poll,
	.cancel_watch = fake_cancel_watch,
	.decode = fake_decode,
	.register_instance = fake_register,
	.write_rollout_state = fake_write_rollout_state,
};

static void publish(void *ctx, const mc_registry_view_t *view)
{
	fixture_t *fixture = ctx;

	uint32_t i;

	mc_registry_view_unref(fixture->view);
	fixture->view = view;
	for (i = 0; i < view->target_count; i++)
		fixture->saw_leaving =
			fixture->saw_leaving || view->targets[i].leaving;
}

static int set_up_instance(void **state, const char *relay_address,
			   mc_ms_t apply_max)
{
	const mc_shard_params_t params = {
		.seed = 1,
		.clock = mc_clock_system(),
	};
	fixture_t *fixture = calloc(1, sizeof(*fixture));
	mc_discovery_params_t discovery_params = {
		.source = &fake_ops,
		.store_address = "127.0.0.1:1",
		.instance_name = "north-1",
		.data_center = "north",
		.relay_address = relay_address,
		.apply_max = apply_max,
		.drain_period = 3000,
		.history_period = 20000,
		.publish = publish,
		.ctx = fixture,
	};

	assert_non_null(fixture);
	assert_int_equal(mc_net_init(), MC_OK);
	fixture->silent_peer = -1;
	fixture->shard = mc_shard_create(&params);
	discovery_params.shard = fixture->shard;
	fixture->discovery = mc_discovery_create(&discovery_params);
	assert_non_null(fixture->discovery);
	assert_int_equal(mc_shard_start(fixture->shard), MC_OK);
	*state = fixture;
	return 0;
}

int fixture_set_up(void **state)
{
	return set_up_instance(state, "", APPLY_MAX_MS);
}

int fixture_set_up_with_relay(void **state)
{
	return set_up_instance(state, "127.0.0.1:0", LONG_APPLY_MAX_MS);
}

static bool report_known(void *ctx, mc_ms_t since, mc_relay_known_t *known)
{
	(void)ctx;
	(void)since;
	memset(known, 0, MC_SOURCE_KIND_COUNT * sizeof(*known));
	return false;
}

static void note_changes(void *ctx, uint32_t kind, uint64_t since,
			 const char *raw)
{
	fixture_t *fixture = ctx;

	assert_int_equal(kind, MC_SOURCE_ROUTEMAP);
	assert_non_null(raw);
	fixture->relayed_count++;
	fixture->relayed_since = since;
}

static void ignore_known(void *ctx, const mc_relay_known_t *known)
{
	(void)ctx;
	(void)known;
}

static void note_era(void *ctx, uint64_t era)
{
	fixture_t *fixture = ctx;

	fixture->relayed_era = era;
	mc_relay_set_era(fixture->subscriber, era);
}

static void ignore_upstream(void *ctx)
{
	(void)ctx;
}

uint16_t fixture_find_free_port(void)
{
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	socklen_t size = sizeof(address);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	assert_int_equal(bind(fd, (struct sockaddr *)&address, size), 0);
	getsockname(fd, (struct sockaddr *)&address, &size);
	close(fd);
	return ntohs(address.sin_port);
}

typedef struct {
	fixture_t *fixture;
	char address[ADDRESS_SIZE];
	reply_t done;
} subscription_t;

/* Connects an instance that is after this one in rank. */
static void subscribe(mc_shard_t *shard, void *arg)
{
	static const mc_relay_ops_t ops = {
		.get_known = report_known,
		.on_changes = note_changes,
		.on_known = ignore_known,
		.on_era = note_era,
		.on_upstream_changed = ignore_upstream,
	};
	subscription_t *subscription = arg;
	mc_relay_peer_t peer = { .name = "north-1" };
	char name[ADDRESS_SIZE];
	int i = 2;

	snprintf(peer.address, sizeof(peer.address), "%s",
		 subscription->address);
	do
		snprintf(name, sizeof(name), "north-%d", i++);
	while (!mc_relay_rank_peers(name, &peer, 1));
	subscription->fixture->subscriber =
		mc_relay_create(&(mc_relay_params_t){
			.shard = shard,
			.listen_address = "127.0.0.1:0",
			.instance_name = name,
			.kind_count = MC_SOURCE_KIND_COUNT,
			.reliance = APPLY_MAX_MS,
			.ops = &ops,
			.ctx = subscription->fixture,
		});
	assert_non_null(subscription->fixture->subscriber);
	mc_relay_set_peers(subscription->fixture->subscriber, &peer, 1);
	subscription->done.handled = true;
}

/* Starts a discovery that relays at @address, and completes its lists. */
static void set_up_with_lists(void **state, const char *address)
{
	mc_source_record_t self = {
		.name = "north-1",
		.instance = { .name = "north-1", .data_center = "north" },
	};
	reply_t reply = { .result = { .revision = 40 } };

	set_up_instance(state, address, APPLY_MAX_MS);
	for (reply.kind = 0; reply.kind < MC_SOURCE_KIND_COUNT; reply.kind++) {
		bool is_last = reply.kind == MC_SOURCE_INSTANCES;

		reply.result.record_count = is_last ? 1 : 0;
		reply.result.records = is_last ? &self : NULL;
		fixture_complete_last(*state, &reply);
	}
}

int fixture_set_up_alone(void **state)
{
	set_up_with_lists(state, "127.0.0.1:0");
	return 0;
}

int fixture_set_up_with_subscriber(void **state)
{
	subscription_t subscription = { 0 };

	snprintf(subscription.address, sizeof(subscription.address),
		 "127.0.0.1:%u", fixture_find_free_port());
	set_up_with_lists(state, subscription.address);
	subscription.fixture = *state;
	assert_int_equal(mc_shard_post(subscription.fixture->shard, subscribe,
				       &subscription),
			 MC_OK);
	fixture_wait_handled(*state, &subscription.done);
	return 0;
}

/* No view is published before the orders of roll-outs, and the data centres
 * that are out, are known. */
int fixture_set_up_with_orders(void **state)
{
	fixture_set_up(state);
	fixture_complete_data_centers_out(*state);
	fixture_complete_orders(*state);
	return 0;
}

int fixture_tear_down(void **state)
{
	fixture_t *fixture = *state;

	if (fixture->silent_peer >= 0)
		close(fixture->silent_peer);
	mc_shard_stop(fixture->shard);
	mc_relay_destroy(fixture->subscriber);
	mc_discovery_destroy(fixture->discovery);
	mc_registry_view_unref(fixture->view);
	mc_shard_destroy(fixture->shard);
	free(fixture);
	return 0;
}

/* Waits for an open call of a kind and returns a copy of it. */
call_t fixture_wait_call(fixture_t *fixture, mc_source_kind_t kind)
{
	mc_ms_t end = mc_clock_now(mc_clock_system()) + FIXTURE_WAIT_MS;
	call_t call;

	for (;;) {
		mc_shard_lock(fixture->shard);
		call = fixture_source.calls[kind];
		mc_shard_unlock(fixture->shard);
		if (call.open)
			return call;
		assert_true(mc_clock_now(mc_clock_system()) < end);
		usleep(1000);
	}
}

void fixture_complete_call(mc_shard_t *shard, void *arg)
{
	reply_t *reply = arg;
	call_t call = fixture_source.calls[reply->kind];

	(void)shard;
	fixture_source.calls[reply->kind].open = false;
	if (reply->result.err)
		mc_fail(reply->result.err, "by the test");
	call.done(call.ctx, &reply->result);
	reply->handled = true;
}

void fixture_complete_poll(mc_shard_t *shard, void *arg)
{
	reply_t *reply = arg;
	call_t poll = fixture_source.polls[reply->kind];

	(void)shard;
	fixture_source.polls[reply->kind].open = false;
	poll.done(poll.ctx, &reply->result);
	reply->handled = true;
}

call_t fixture_wait_poll(fixture_t *fixture, mc_source_kind_t kind)
{
	mc_ms_t end = mc_clock_now(mc_clock_system()) + FIXTURE_WAIT_MS;
	call_t poll;

	for (;;) {
		mc_shard_lock(fixture->shard);
		poll = fixture_source.polls[kind];
		mc_shard_unlock(fixture->shard);
		if (poll.open)
			return poll;
		assert_true(mc_clock_now(mc_clock_system()) < end);
		usleep(1000);
	}
}

void fixture_complete_last_poll(fixture_t *fixture, reply_t *reply)
{
	fixture_wait_poll(fixture, reply->kind);
	reply->handled = false;
	assert_int_equal(
		mc_shard_post(fixture->shard, fixture_complete_poll, reply),
		MC_OK);
	fixture_wait_handled(fixture, reply);
}

void fixture_wait_handled(fixture_t *fixture, const reply_t *reply)
{
	mc_ms_t end = mc_clock_now(mc_clock_system()) + FIXTURE_WAIT_MS;
	bool handled;

	for (;;) {
		mc_shard_lock(fixture->shard);
		handled = reply->handled;
		mc_shard_unlock(fixture->shard);
		if (handled)
			return;
		assert_true(mc_clock_now(mc_clock_system()) < end);
		usleep(1000);
	}
}

/* Completes a kind's call on the shard and waits until the reply was handled.
 */
void fixture_complete_last(fixture_t *fixture, reply_t *reply)
{
	fixture_wait_call(fixture, reply->kind);
	reply->handled = false;
	assert_int_equal(
		mc_shard_post(fixture->shard, fixture_complete_call, reply),
		MC_OK);
	fixture_wait_handled(fixture, reply);
}

/*
 * Completes a kind's call and waits until the next call of the kind is open.
 * Without the wait for the reply the completed call could be taken for the next
 * one.
 */
void fixture_complete(fixture_t *fixture, reply_t *reply)
{
	fixture_complete_last(fixture, reply);
	fixture_wait_call(fixture, reply->kind);
}

void fixture_complete_data_centers_out(fixture_t *fixture)
{
	reply_t reply = { .kind = MC_SOURCE_DATA_CENTERS_OUT,
			  .result = { .revision = 40 } };

	fixture_complete(fixture, &reply);
}

void fixture_complete_orders(fixture_t *fixture)
{
	reply_t reply = { .kind = MC_SOURCE_ROLLOUTS,
			  .result = { .revision = 40 } };

	assert_false(
		fixture_wait_call(fixture, MC_SOURCE_ROLLOUTS).allow_stale);
	fixture_complete(fixture, &reply);
}

mc_source_record_t fixture_target_record(const char *id)
{
	mc_source_record_t record = {
		.name = id,
		.target = {
			.service = "s",
			.address = "10.0.0.1:80",
			.data_center = "north",
			.slots = 2,
			.started_at = 1,
		},
	};

	snprintf(record.target.id, sizeof(record.target.id), "%s", id);
	return record;
}

uint32_t fixture_wait_target_count(fixture_t *fixture, uint32_t wanted)
{
	mc_ms_t end = mc_clock_now(mc_clock_system()) + FIXTURE_WAIT_MS;
	uint32_t count;

	do {
		usleep(1000);
		mc_shard_lock(fixture->shard);
		count = fixture->view ? fixture->view->target_count : 0;
		mc_shard_unlock(fixture->shard);
	} while (count != wanted && mc_clock_now(mc_clock_system()) < end);
	return count;
}
