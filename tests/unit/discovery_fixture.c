/*
 * The fake source keeps the open call of each kind, which a test completes on
 * the shard; the discovery's last view is kept for the test.
 */
#include "discovery_fixture.h"

enum {
	APPLY_MAX_MS = 3000,
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

static void fake_cancel_watch(mc_source_t *source, mc_source_kind_t kind)
{
	assert_true(source->calls[kind].open);
	assert_true(source->calls[kind].is_watch);
	source->calls[kind].open = false;
	source->canceled_watches++;
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
	.cancel_watch = fake_cancel_watch,
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
