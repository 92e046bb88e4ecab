/*
 * Unit tests of the discovery library, against a fake source whose calls the
 * tests complete: listing, watching, and listing again when the store no longer
 * has the changes.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>
#include <cmocka.h>

#include "mc/discovery.h"

enum {
	WAIT_MS = 20000,
	APPLY_MAX_MS = 3000,
	/* Half of it is longer than the grace period of a target that leaves.
	 */
	LONG_APPLY_MAX_MS = 8000,
	PEERS = 9,
	/* Over-long responses in a row, and the least time that they take with
	 * the pauses in between, ms. */
	LONG_RESPONSES = 4,
	LONG_RESPONSES_PAUSE_MS = 50 + 100 + 200 + 400,
};

/* The open call of one kind; the test completes it on the shard. */
typedef struct {
	bool open;
	bool is_watch;
	bool allow_stale;
	uint64_t since;
	mc_ms_t wait;
	char after[64];
	mc_source_done_fn_t done;
	void *ctx;
} call_t;

/* A write of an order's state that has not ended. */
typedef struct {
	bool open;
	mc_rollout_order_t order;
	mc_source_done_fn_t done;
	void *ctx;
} state_write_t;

struct mc_source_t {
	call_t calls[MC_SOURCE_KIND_COUNT];
	state_write_t state_write;
	bool registered;
	uint32_t canceled_watches;
};

typedef struct {
	mc_shard_t *shard;
	mc_discovery_t *discovery;
	const mc_registry_view_t *view;
	/* A view had a target that leaves. */
	bool saw_leaving;
	/* Socket that accepts no connection of the relay; -1 without one. */
	int silent_peer;
} fixture_t;

static mc_source_t fake_source;

static mc_source_t *fake_create(mc_shard_t *shard, const char *address)
{
	(void)shard;
	(void)address;
	memset(&fake_source, 0, sizeof(fake_source));
	return &fake_source;
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

static int set_up(void **state)
{
	return set_up_instance(state, "", APPLY_MAX_MS);
}

static int set_up_with_relay(void **state)
{
	return set_up_instance(state, "127.0.0.1:0", LONG_APPLY_MAX_MS);
}

static void complete_data_centers_out(fixture_t *fixture);
static void complete_orders(fixture_t *fixture);

/* No view is published before the orders of roll-outs, and the data centres
 * that are out, are known. */
static int set_up_with_orders(void **state)
{
	set_up(state);
	complete_data_centers_out(*state);
	complete_orders(*state);
	return 0;
}

static int tear_down(void **state)
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
static call_t wait_call(fixture_t *fixture, mc_source_kind_t kind)
{
	mc_ms_t end = mc_clock_now(mc_clock_system()) + WAIT_MS;
	call_t call;

	for (;;) {
		mc_shard_lock(fixture->shard);
		call = fake_source.calls[kind];
		mc_shard_unlock(fixture->shard);
		if (call.open)
			return call;
		assert_true(mc_clock_now(mc_clock_system()) < end);
		usleep(1000);
	}
}

typedef struct {
	mc_source_kind_t kind;
	mc_source_result_t result;
	bool handled;
} reply_t;

static void complete_call(mc_shard_t *shard, void *arg)
{
	reply_t *reply = arg;
	call_t call = fake_source.calls[reply->kind];

	(void)shard;
	fake_source.calls[reply->kind].open = false;
	if (reply->result.err)
		mc_fail(reply->result.err, "by the test");
	call.done(call.ctx, &reply->result);
	reply->handled = true;
}

static void wait_handled(fixture_t *fixture, const reply_t *reply)
{
	mc_ms_t end = mc_clock_now(mc_clock_system()) + WAIT_MS;
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
static void complete_last(fixture_t *fixture, reply_t *reply)
{
	wait_call(fixture, reply->kind);
	reply->handled = false;
	assert_int_equal(mc_shard_post(fixture->shard, complete_call, reply),
			 MC_OK);
	wait_handled(fixture, reply);
}

/*
 * Completes a kind's call and waits until the next call of the kind is open.
 * Without the wait for the reply the completed call could be taken for the next
 * one.
 */
static void complete(fixture_t *fixture, reply_t *reply)
{
	complete_last(fixture, reply);
	wait_call(fixture, reply->kind);
}

static void complete_data_centers_out(fixture_t *fixture)
{
	reply_t reply = { .kind = MC_SOURCE_DATA_CENTERS_OUT,
			  .result = { .revision = 40 } };

	complete(fixture, &reply);
}

static void complete_orders(fixture_t *fixture)
{
	reply_t reply = { .kind = MC_SOURCE_ROLLOUTS,
			  .result = { .revision = 40 } };

	assert_false(wait_call(fixture, MC_SOURCE_ROLLOUTS).allow_stale);
	complete(fixture, &reply);
}

static mc_source_record_t target_record(const char *id)
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

static uint32_t wait_target_count(fixture_t *fixture, uint32_t wanted)
{
	mc_ms_t end = mc_clock_now(mc_clock_system()) + WAIT_MS;
	uint32_t count;

	do {
		usleep(1000);
		mc_shard_lock(fixture->shard);
		count = fixture->view ? fixture->view->target_count : 0;
		mc_shard_unlock(fixture->shard);
	} while (count != wanted && mc_clock_now(mc_clock_system()) < end);
	return count;
}

/*
 * A list is read page by page, and then watched from the revision of its first
 * page: changes made while the later pages were read must not be missed.
 */
static void test_list_and_watch(void **state)
{
	fixture_t *fixture = *state;
	mc_source_record_t a = target_record("a"), b = target_record("b");
	mc_source_record_t bad = { .name = "c",
				   .decode_error = "slots: expected" };
	reply_t reply = {
		.kind = MC_SOURCE_TARGETS,
		.result = { .revision = 40,
			    .has_more = true,
			    .record_count = 1,
			    .records = &a },
	};
	call_t call = wait_call(fixture, MC_SOURCE_TARGETS);

	assert_true(fake_source.registered);
	assert_false(call.is_watch);
	assert_true(call.allow_stale);
	complete(fixture, &reply);
	call = wait_call(fixture, MC_SOURCE_TARGETS);
	assert_string_equal(call.after, "a");
	reply.result = (mc_source_result_t){ .revision = 45,
					     .record_count = 1,
					     .records = &b };
	complete(fixture, &reply);
	call = wait_call(fixture, MC_SOURCE_TARGETS);
	assert_true(call.is_watch);
	assert_int_equal(call.since, 40);
	/* A watch longer than the store's history would end without the
	 * changes. */
	assert_in_range(call.wait, 5000, 19000);
	assert_int_equal(wait_target_count(fixture, 2), 2);
	/* An invalid entry adds no target, and the others stay. */
	reply.result = (mc_source_result_t){ .revision = 50,
					     .record_count = 1,
					     .records = &bad };
	complete(fixture, &reply);
	assert_int_equal(wait_target_count(fixture, 2), 2);
	assert_int_equal(wait_call(fixture, MC_SOURCE_TARGETS).since, 50);
}

/* After a gap in the store's history, the next list must not be stale. */
static void test_history_gone(void **state)
{
	fixture_t *fixture = *state;
	mc_source_record_t a = target_record("a"), b = target_record("b");
	reply_t reply = {
		.kind = MC_SOURCE_TARGETS,
		.result = { .revision = 40, .record_count = 1, .records = &a },
	};
	call_t call;

	complete(fixture, &reply);
	reply.result = (mc_source_result_t){ .err = MC_ERR_HISTORY_GONE };
	complete(fixture, &reply);
	call = wait_call(fixture, MC_SOURCE_TARGETS);
	assert_false(call.is_watch);
	assert_false(call.allow_stale);
	reply.result = (mc_source_result_t){ .revision = 90,
					     .record_count = 1,
					     .records = &b };
	complete(fixture, &reply);
	assert_int_equal(wait_call(fixture, MC_SOURCE_TARGETS).since, 90);
	/* A target that is no longer listed is kept for a grace period. */
	assert_int_equal(wait_target_count(fixture, 2), 2);
	assert_int_equal(wait_target_count(fixture, 1), 1);
}

/*
 * The changes are more than a response may have: asked for again, they would be
 * as many. The records are listed anew, and while that does not help, with
 * growing pauses, as each such response costs much.
 */
static void test_long_watch_response(void **state)
{
	fixture_t *fixture = *state;
	mc_source_record_t a = target_record("a"), b = target_record("b");
	reply_t reply = {
		.kind = MC_SOURCE_TARGETS,
		.result = { .revision = 40, .record_count = 1, .records = &a },
	};
	mc_ms_t start;
	int i;

	complete(fixture, &reply);
	start = mc_clock_now(mc_clock_system());
	for (i = 0; i < LONG_RESPONSES; i++) {
		assert_true(wait_call(fixture, MC_SOURCE_TARGETS).is_watch);
		reply.result = (mc_source_result_t){ .err = MC_ERR_TOO_LARGE };
		complete(fixture, &reply);
		assert_false(wait_call(fixture, MC_SOURCE_TARGETS).is_watch);
		assert_false(wait_call(fixture, MC_SOURCE_TARGETS).allow_stale);
		reply.result = (mc_source_result_t){
			.revision = 90,
			.record_count = 1,
			.records = &b,
		};
		complete(fixture, &reply);
		assert_int_equal(wait_call(fixture, MC_SOURCE_TARGETS).since,
				 90);
	}
	assert_true(mc_clock_now(mc_clock_system()) - start >=
		    LONG_RESPONSES_PAUSE_MS);
	/* The store has responded: other kinds need no new watch. */
	assert_int_equal(fake_source.canceled_watches, 0);
	assert_int_equal(wait_target_count(fixture, 1), 1);
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

	complete(fixture, &reply);
	reply.result = (mc_source_result_t){ .revision = 42,
					     .record_count = 1,
					     .records = &records[1] };
	complete(fixture, &reply);
	reply.result = (mc_source_result_t){ .err = MC_ERR_STORE_UNAVAILABLE };
	complete(fixture, &reply);
	/* The poll that shows whether the store responds may be stale. */
	assert_true(wait_call(fixture, MC_SOURCE_ROUTEMAP).allow_stale);
	reply.result = (mc_source_result_t){ .revision = 41,
					     .record_count = 1,
					     .records = &records[1] };
	complete(fixture, &reply);
	mc_shard_lock(fixture->shard);
	version = fixture->view ? mc_routemap_version(fixture->view->map) : 0;
	mc_shard_unlock(fixture->shard);
	assert_int_equal(version, 7);
	assert_true(wait_call(fixture, MC_SOURCE_ROUTEMAP).is_watch);
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
	mc_source_record_t a = target_record("a");
	reply_t targets = {
		.kind = MC_SOURCE_TARGETS,
		.result = { .revision = 40, .record_count = 1, .records = &a },
	};
	reply_t map = { .kind = MC_SOURCE_ROUTEMAP,
			.result = { .revision = 40 } };
	uint32_t canceled_watches;

	complete(fixture, &targets);
	complete(fixture, &map);
	assert_true(wait_call(fixture, MC_SOURCE_TARGETS).is_watch);
	map.result = (mc_source_result_t){ .err = MC_ERR_STORE_UNAVAILABLE };
	complete(fixture, &map);
	mc_shard_lock(fixture->shard);
	canceled_watches = fake_source.canceled_watches;
	mc_shard_unlock(fixture->shard);
	assert_int_equal(canceled_watches, 1);
	assert_int_equal(wait_call(fixture, MC_SOURCE_TARGETS).since, 40);
	map.result = (mc_source_result_t){ .revision = 41 };
	complete(fixture, &map);
	mc_shard_lock(fixture->shard);
	canceled_watches = fake_source.canceled_watches;
	mc_shard_unlock(fixture->shard);
	assert_int_equal(canceled_watches, 2);
	wait_call(fixture, MC_SOURCE_TARGETS);
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

	wait_call(fixture, MC_SOURCE_TARGETS);
	mc_shard_post(fixture->shard, complete_call, &targets);
	for (i = 0; i < 3; i++)
		complete(fixture, &map);
	mc_shard_lock(fixture->shard);
	open = fake_source.calls[MC_SOURCE_TARGETS].open;
	mc_shard_unlock(fixture->shard);
	assert_false(open);
	map.result = (mc_source_result_t){ .revision = 40 };
	complete(fixture, &map);
	assert_false(wait_call(fixture, MC_SOURCE_TARGETS).is_watch);
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
		many[i] = target_record(id);
		many[i].name = "t";
	}
	complete(fixture, &reply);
	start = mc_clock_now(mc_clock_system());
	for (i = 0; i < 40; i++) {
		reply.result = (mc_source_result_t){
			.revision = 41 + (uint64_t)i,
			.record_count = 40,
			.records = many,
		};
		complete(fixture, &reply);
	}
	/* With a pause after each part these would take 20 s. */
	assert_true(mc_clock_now(mc_clock_system()) - start < 10000);
	assert_int_equal(wait_target_count(fixture, 40), 40);
}

/* Targets that are read before the orders must not be used: one may belong to a
 * version that is being rolled out. */
static void test_no_view_before_orders(void **state)
{
	fixture_t *fixture = *state;
	mc_source_record_t a = target_record("a");
	reply_t reply = {
		.kind = MC_SOURCE_TARGETS,
		.result = { .revision = 40, .record_count = 1, .records = &a },
	};
	bool published;

	complete(fixture, &reply);
	usleep(50000);
	mc_shard_lock(fixture->shard);
	published = fixture->view;
	mc_shard_unlock(fixture->shard);
	assert_false(published);
	complete_data_centers_out(fixture);
	complete_orders(fixture);
	assert_int_equal(wait_target_count(fixture, 1), 1);
}

/* Waits for the first view and returns the number of its targets. */
static uint32_t wait_view(fixture_t *fixture)
{
	mc_ms_t end = mc_clock_now(mc_clock_system()) + WAIT_MS;
	uint32_t count;
	bool published;

	do {
		assert_true(mc_clock_now(mc_clock_system()) < end);
		usleep(1000);
		mc_shard_lock(fixture->shard);
		published = fixture->view;
		count = published ? fixture->view->target_count : 0;
		mc_shard_unlock(fixture->shard);
	} while (!published);
	return count;
}

/*
 * An instance that starts gets a list from before its start, which names a
 * target that has left since: it must not be used.
 */
static void test_list_from_before_the_start(void **state)
{
	fixture_t *fixture = *state;
	mc_source_record_t left = target_record("left");
	reply_t reply = {
		.kind = MC_SOURCE_TARGETS,
		.result = { .revision = 39,
			    .record_count = 1,
			    .records = &left },
	};
	bool published;
	int i;

	complete_data_centers_out(fixture);
	complete(fixture, &reply);
	complete_orders(fixture);
	for (i = 0; i < 3; i++) {
		assert_true(wait_call(fixture, MC_SOURCE_TARGETS).allow_stale);
		complete(fixture, &reply);
	}
	/* After some lists that were too old, a current one is asked for. */
	assert_false(wait_call(fixture, MC_SOURCE_TARGETS).is_watch);
	assert_false(wait_call(fixture, MC_SOURCE_TARGETS).allow_stale);
	mc_shard_lock(fixture->shard);
	published = fixture->view;
	mc_shard_unlock(fixture->shard);
	assert_false(published);
	reply.result = (mc_source_result_t){ .revision = 41 };
	complete(fixture, &reply);
	assert_int_equal(wait_call(fixture, MC_SOURCE_TARGETS).since, 41);
	assert_int_equal(wait_view(fixture), 0);
}

/*
 * The first page of a list was read before the start of this instance and its
 * last page after it. A watch from the first page's revision would wait for the
 * next change of a target, which may take as long as the watch may wait, and no
 * view is published until then: the list must be read again.
 */
static void test_first_page_from_before_the_start(void **state)
{
	fixture_t *fixture = *state;
	mc_source_record_t a = target_record("a"), b = target_record("b");
	reply_t reply = {
		.kind = MC_SOURCE_TARGETS,
		.result = { .revision = 39,
			    .has_more = true,
			    .record_count = 1,
			    .records = &a },
	};

	complete_data_centers_out(fixture);
	complete(fixture, &reply);
	complete_orders(fixture);
	reply.result = (mc_source_result_t){ .revision = 41,
					     .record_count = 1,
					     .records = &b };
	complete(fixture, &reply);
	assert_false(wait_call(fixture, MC_SOURCE_TARGETS).is_watch);
	assert_string_equal(wait_call(fixture, MC_SOURCE_TARGETS).after, "");
	complete(fixture, &reply);
	assert_int_equal(wait_call(fixture, MC_SOURCE_TARGETS).since, 41);
	assert_int_equal(wait_view(fixture), 1);
}

static bool has_unconfirmed(const fixture_t *fixture)
{
	const mc_registry_view_t *view = fixture->view;
	bool found = false;
	uint32_t i;

	for (i = 0; view && i < view->target_count; i++)
		found = found || view->targets[i].unconfirmed;
	return found;
}

static void wait_unconfirmed(fixture_t *fixture, bool wanted)
{
	mc_ms_t end = mc_clock_now(mc_clock_system()) + WAIT_MS;
	bool found;

	do {
		usleep(1000);
		mc_shard_lock(fixture->shard);
		found = has_unconfirmed(fixture);
		mc_shard_unlock(fixture->shard);
	} while (found != wanted && mc_clock_now(mc_clock_system()) < end);
	assert_true(found == wanted);
}

/*
 * A target with a version that is new to its service is read before the order
 * of its roll-out: it is not used until the orders were read again.
 */
static void test_new_version_waits_for_orders(void **state)
{
	fixture_t *fixture = *state;
	mc_source_record_t a = target_record("a"), b = target_record("b");
	reply_t reply = {
		.kind = MC_SOURCE_TARGETS,
		.result = { .revision = 40, .record_count = 1, .records = &a },
	};
	reply_t orders = { .kind = MC_SOURCE_ROLLOUTS,
			   .result = { .revision = 50 } };

	snprintf(a.target.version, sizeof(a.target.version), "v1");
	snprintf(b.target.version, sizeof(b.target.version), "v2");
	complete(fixture, &reply);
	assert_true(wait_call(fixture, MC_SOURCE_ROLLOUTS).is_watch);
	reply.result = (mc_source_result_t){ .revision = 45,
					     .record_count = 1,
					     .records = &b };
	complete(fixture, &reply);
	wait_unconfirmed(fixture, true);
	assert_false(wait_call(fixture, MC_SOURCE_ROLLOUTS).is_watch);
	/* Orders from before the target was registered say nothing. */
	orders.result.revision = 44;
	complete(fixture, &orders);
	wait_unconfirmed(fixture, true);
	assert_false(wait_call(fixture, MC_SOURCE_ROLLOUTS).is_watch);
	orders.result.revision = 50;
	complete(fixture, &orders);
	wait_unconfirmed(fixture, false);
	assert_true(wait_call(fixture, MC_SOURCE_ROLLOUTS).is_watch);
}

/* Lists instances of the data centre that accept connections and say nothing,
 * of which some are before this one in rank. */
static void complete_silent_peers(fixture_t *fixture)
{
	mc_source_record_t records[PEERS] = { 0 };
	reply_t reply = {
		.kind = MC_SOURCE_INSTANCES,
		.result = { .revision = 40,
			    .record_count = PEERS,
			    .records = records },
	};
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	socklen_t size = sizeof(address);
	int i;

	fixture->silent_peer = socket(AF_INET, SOCK_STREAM, 0);
	assert_int_equal(
		bind(fixture->silent_peer, (struct sockaddr *)&address, size),
		0);
	assert_int_equal(listen(fixture->silent_peer, PEERS), 0);
	getsockname(fixture->silent_peer, (struct sockaddr *)&address, &size);
	for (i = 0; i < PEERS; i++) {
		mc_source_instance_t *peer = &records[i].instance;

		snprintf(peer->name, sizeof(peer->name), "north-%d", i + 2);
		snprintf(peer->data_center, sizeof(peer->data_center), "north");
		snprintf(peer->relay_address, sizeof(peer->relay_address),
			 "127.0.0.1:%u", ntohs(address.sin_port));
		records[i].name = peer->name;
	}
	complete(fixture, &reply);
}

/*
 * An instance that has started waits for an upstream for a while, in which it
 * does not watch the store. A target that has begun to drain meanwhile may have
 * done so right after the start, and its grace period counts from then.
 */
static void test_drain_while_upstream_is_expected(void **state)
{
	fixture_t *fixture = *state;
	mc_source_record_t record = target_record("a");
	reply_t targets = {
		.kind = MC_SOURCE_TARGETS,
		.result = { .revision = 40,
			    .record_count = 1,
			    .records = &record },
	};
	reply_t out = { .kind = MC_SOURCE_DATA_CENTERS_OUT,
			.result = { .revision = 40 } };
	reply_t orders = { .kind = MC_SOURCE_ROLLOUTS,
			   .result = { .revision = 40 } };

	complete_last(fixture, &out);
	complete_last(fixture, &orders);
	complete_last(fixture, &targets);
	complete_silent_peers(fixture);
	assert_int_equal(wait_target_count(fixture, 1), 1);
	assert_true(wait_call(fixture, MC_SOURCE_TARGETS).is_watch);
	record.target.draining = true;
	record.revision = 45;
	targets.result.revision = 45;
	complete(fixture, &targets);
	assert_int_equal(wait_target_count(fixture, 0), 0);
	assert_false(fixture->saw_leaving);
}

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
	mc_source_record_t ready = target_record("a"),
			   draining = target_record("a");
	reply_t reply = {
		.kind = MC_SOURCE_TARGETS,
		.result = { .revision = 40,
			    .record_count = 1,
			    .records = &ready },
	};
	mc_ms_t end = mc_clock_now(mc_clock_system()) + WAIT_MS;

	ready.revision = 35;
	draining.revision = 44;
	draining.target.draining = true;
	complete(fixture, &reply);
	reply.result = (mc_source_result_t){ .revision = 45,
					     .record_count = 1,
					     .records = &draining };
	complete(fixture, &reply);
	while (!is_leaving(fixture) && mc_clock_now(mc_clock_system()) < end)
		usleep(1000);
	assert_true(is_leaving(fixture));
	reply.result = (mc_source_result_t){ .revision = 50,
					     .record_count = 1,
					     .records = &ready };
	complete(fixture, &reply);
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
	mc_source_record_t former = target_record("a"),
			   next = target_record("a");
	reply_t reply = {
		.kind = MC_SOURCE_TARGETS,
		.result = { .revision = 40,
			    .record_count = 1,
			    .records = &former },
	};
	mc_registry_view_target_t target = { 0 };
	mc_ms_t end = mc_clock_now(mc_clock_system()) + WAIT_MS;

	former.revision = 35;
	former.target.started_at = 9000;
	next.revision = 44;
	next.target.started_at = 5000;
	next.target.warmup_left = 60000;
	snprintf(next.target.address, sizeof(next.target.address),
		 "10.0.0.2:80");
	complete(fixture, &reply);
	reply.result = (mc_source_result_t){ .revision = 45,
					     .record_count = 1,
					     .records = &next };
	complete(fixture, &reply);
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
	complete(fixture, &reply);
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
	mc_source_record_t known = target_record("a");
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
	complete(fixture, &reply);
	assert_int_equal(wait_target_count(fixture, 1), 1);
	reply.result = (mc_source_result_t){ .revision = 50,
					     .record_count = 2,
					     .records = repeated };
	complete(fixture, &reply);
	usleep(50000);
	assert_false(is_leaving(fixture));
	/* A removal that is new, but bears the revision of the last change. */
	repeated[0].revision = 46;
	reply.result = (mc_source_result_t){ .revision = 52,
					     .record_count = 1,
					     .records = repeated };
	complete(fixture, &reply);
	assert_int_equal(wait_target_count(fixture, 0), 0);
}

/*
 * An upstream that was behind relays that a data centre is back in service,
 * with the later record that takes it out again. If only the latter is known to
 * have been applied, the data centre is used.
 */
static void test_known_return_is_not_repeated(void **state)
{
	fixture_t *fixture = *state;
	mc_source_record_t a = target_record("a");
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

	complete(fixture, &targets);
	complete(fixture, &reply);
	reply.result = (mc_source_result_t){ .revision = 50,
					     .record_count = 2,
					     .records = out };
	complete(fixture, &reply);
	usleep(50000);
	assert_true(get_only_target(fixture, &target));
	assert_true(target.data_center_out);
}

static mc_source_record_t order_record(const char *version, uint64_t revision)
{
	mc_source_record_t record = {
		.name = "s",
		.revision = revision,
		.order = {
			.service = "s",
			.duration = 60000,
			.revision = revision,
		},
	};

	snprintf(record.order.version, sizeof(record.order.version), "%s",
		 version);
	return record;
}

static uint32_t get_rule_count(fixture_t *fixture)
{
	uint32_t count;

	mc_shard_lock(fixture->shard);
	count = fixture->view ? fixture->view->rule_count : 0;
	mc_shard_unlock(fixture->shard);
	return count;
}

static void wait_rule_count(fixture_t *fixture, uint32_t wanted)
{
	mc_ms_t end = mc_clock_now(mc_clock_system()) + WAIT_MS;

	while (get_rule_count(fixture) != wanted &&
	       mc_clock_now(mc_clock_system()) < end)
		usleep(1000);
	assert_int_equal(get_rule_count(fixture), wanted);
}

static state_write_t wait_state_write(fixture_t *fixture)
{
	mc_ms_t end = mc_clock_now(mc_clock_system()) + WAIT_MS;
	state_write_t write;

	do {
		assert_true(mc_clock_now(mc_clock_system()) < end);
		usleep(1000);
		mc_shard_lock(fixture->shard);
		write = fake_source.state_write;
		mc_shard_unlock(fixture->shard);
	} while (!write.open);
	return write;
}

/* Ends the write with the order as the store had it then. */
static void complete_state_write(mc_shard_t *shard, void *arg)
{
	reply_t *reply = arg;
	state_write_t write = fake_source.state_write;

	(void)shard;
	fake_source.state_write.open = false;
	write.done(write.ctx, &reply->result);
	reply->handled = true;
}

/*
 * The response to a write of an order's state is read after the order's
 * removal: taken for news, it would bring the order back.
 */
static void test_state_written_before_removal(void **state)
{
	fixture_t *fixture = *state;
	mc_source_record_t order = order_record("v2", 44);
	mc_source_record_t removed = { .name = "s",
				       .removed = true,
				       .revision = 50 };
	reply_t reply = {
		.kind = MC_SOURCE_ROLLOUTS,
		.result = { .revision = 45,
			    .record_count = 1,
			    .records = &order },
	};
	reply_t written = { .kind = MC_SOURCE_ROLLOUTS };

	complete(fixture, &reply);
	wait_rule_count(fixture, 1);
	assert_int_equal(wait_state_write(fixture).order.state,
			 MC_ROLLOUT_IN_PROGRESS);
	reply.result = (mc_source_result_t){ .revision = 50,
					     .record_count = 1,
					     .records = &removed };
	complete(fixture, &reply);
	wait_rule_count(fixture, 0);
	order.revision = order.order.revision = 48;
	order.order.state = MC_ROLLOUT_IN_PROGRESS;
	written.result =
		(mc_source_result_t){ .record_count = 1, .records = &order };
	assert_int_equal(
		mc_shard_post(fixture->shard, complete_state_write, &written),
		MC_OK);
	wait_handled(fixture, &written);
	usleep(50000);
	assert_int_equal(get_rule_count(fixture), 0);
}

/* Waits until a version has a rule with a mode. */
static void wait_mode(fixture_t *fixture, const char *version,
		      mc_rollout_mode_t mode)
{
	mc_ms_t end = mc_clock_now(mc_clock_system()) + WAIT_MS;
	const mc_registry_view_t *view;
	bool found = false;
	uint32_t i;

	while (!found) {
		assert_true(mc_clock_now(mc_clock_system()) < end);
		usleep(1000);
		mc_shard_lock(fixture->shard);
		view = fixture->view;
		for (i = 0; view && i < view->rule_count; i++)
			found = found ||
				(!strcmp(view->rules[i].version, version) &&
				 view->rules[i].mode == mode);
		mc_shard_unlock(fixture->shard);
	}
}

/*
 * An order is replaced by one that goes back to the former version. The version
 * of the replaced order is barred, so that the other one must get all requests:
 * with a small share of them the service would have nobody for the rest.
 */
static void test_order_back_to_former_version(void **state)
{
	fixture_t *fixture = *state;
	mc_source_record_t records[2] = { target_record("a"),
					  target_record("b") };
	mc_source_record_t order = order_record("v2", 44);
	reply_t targets = {
		.kind = MC_SOURCE_TARGETS,
		.result = { .revision = 40,
			    .record_count = 2,
			    .records = records },
	};
	reply_t orders = {
		.kind = MC_SOURCE_ROLLOUTS,
		.result = { .revision = 45,
			    .record_count = 1,
			    .records = &order },
	};

	snprintf(records[0].target.version, MC_REGISTRY_NAME_SIZE, "v1");
	snprintf(records[1].target.version, MC_REGISTRY_NAME_SIZE, "v2");
	complete(fixture, &targets);
	complete(fixture, &orders);
	wait_mode(fixture, "v2", MC_ROLLOUT_CANARY);
	order = order_record("v1", 50);
	orders.result.revision = 50;
	complete(fixture, &orders);
	wait_mode(fixture, "v2", MC_ROLLOUT_BARRED);
	wait_mode(fixture, "v1", MC_ROLLOUT_PREFERRED);
}

#define DISCOVERY_TEST(test) \
	cmocka_unit_test_setup_teardown(test, set_up, tear_down)
#define ORDERS_TEST(test) \
	cmocka_unit_test_setup_teardown(test, set_up_with_orders, tear_down)

int main(void)
{
	const struct CMUnitTest tests[] = {
		ORDERS_TEST(test_list_and_watch),
		ORDERS_TEST(test_history_gone),
		ORDERS_TEST(test_long_watch_response),
		ORDERS_TEST(test_older_routemap_ignored),
		DISCOVERY_TEST(test_watches_restarted),
		DISCOVERY_TEST(test_unavailable_store_polled_by_one_kind),
		DISCOVERY_TEST(test_no_view_before_orders),
		DISCOVERY_TEST(test_list_from_before_the_start),
		DISCOVERY_TEST(test_first_page_from_before_the_start),
		ORDERS_TEST(test_new_version_waits_for_orders),
		cmocka_unit_test_setup_teardown(
			test_drain_while_upstream_is_expected,
			set_up_with_relay, tear_down),
		ORDERS_TEST(test_known_changes_are_not_repeated),
		ORDERS_TEST(test_restart_with_clock_set_back),
		ORDERS_TEST(test_known_removal_is_not_repeated),
		ORDERS_TEST(test_known_return_is_not_repeated),
		ORDERS_TEST(test_state_written_before_removal),
		ORDERS_TEST(test_order_back_to_former_version),
		ORDERS_TEST(test_many_changes),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
