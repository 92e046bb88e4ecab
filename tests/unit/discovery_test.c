/*
 * Unit tests of the follow library, against a source that the test answers: it
 * lists, watches, and lists anew when the history is gone.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <cmocka.h>

#include "mc/discovery.h"

enum {
	WAIT_MS = 20000,
};

/* One kind's open call; the test answers it on the shard. */
typedef struct {
	bool open;
	bool watches;
	bool cheap;
	uint64_t above;
	mc_ms_t wait;
	char after[64];
	mc_source_done_fn_t done;
	void *ctx;
} call_t;

struct mc_source_t {
	call_t calls[MC_SOURCE_KIND_COUNT];
	bool announced;
	uint32_t unwatched;
};

typedef struct {
	mc_shard_t *shard;
	mc_discovery_t *follow;
	const mc_registry_view_t *world;
} fixture_t;

static mc_source_t the_source;

static mc_source_t *fake_create(mc_shard_t *shard, const char *address)
{
	(void)shard;
	(void)address;
	memset(&the_source, 0, sizeof(the_source));
	return &the_source;
}

static void fake_destroy(mc_source_t *source)
{
	(void)source;
}

static mc_err_t fake_list(mc_source_t *source, mc_source_kind_t kind,
			  const char *after, bool cheap,
			  mc_source_done_fn_t done, void *ctx)
{
	call_t *call = &source->calls[kind];

	assert_false(call->open);
	*call = (call_t){
		.open = true, .cheap = cheap, .done = done, .ctx = ctx
	};
	snprintf(call->after, sizeof(call->after), "%s", after);
	return MC_OK;
}

static mc_err_t fake_watch(mc_source_t *source, mc_source_kind_t kind,
			   uint64_t above, mc_ms_t wait,
			   mc_source_done_fn_t done, void *ctx)
{
	call_t *call = &source->calls[kind];

	assert_false(call->open);
	*call = (call_t){
		.open = true,
		.watches = true,
		.above = above,
		.wait = wait,
		.done = done,
		.ctx = ctx,
	};
	return MC_OK;
}

static void fake_unwatch(mc_source_t *source, mc_source_kind_t kind)
{
	assert_true(source->calls[kind].open);
	assert_true(source->calls[kind].watches);
	source->calls[kind].open = false;
	source->unwatched++;
}

static mc_err_t fake_announce(mc_source_t *source,
			      const mc_source_instance_t *instance,
			      bool replace, mc_source_done_fn_t done, void *ctx)
{
	const mc_source_result_t result = { .err = MC_OK };

	assert_string_equal(instance->name, "north-1");
	assert_string_equal(instance->data_center, "north");
	assert_false(replace);
	source->announced = true;
	done(ctx, &result);
	return MC_OK;
}

static const mc_source_ops_t fake = {
	.create = fake_create,
	.destroy = fake_destroy,
	.list = fake_list,
	.watch = fake_watch,
	.cancel_watch = fake_unwatch,
	.register_instance = fake_announce,
};

static void publish(void *ctx, const mc_registry_view_t *world)
{
	fixture_t *fixture = ctx;

	mc_registry_view_unref(fixture->world);
	fixture->world = world;
}

static int set_up(void **state)
{
	const mc_shard_params_t params = {
		.seed = 1,
		.clock = mc_clock_system(),
	};
	fixture_t *fixture = calloc(1, sizeof(*fixture));
	mc_discovery_params_t follow = {
		.source = &fake,
		.store_address = "127.0.0.1:1",
		.instance_name = "north-1",
		.data_center = "north",
		.apply_max = 3000,
		.drain_period = 3000,
		.history_period = 20000,
		.publish = publish,
		.ctx = fixture,
	};

	assert_non_null(fixture);
	assert_int_equal(mc_net_init(), MC_OK);
	fixture->shard = mc_shard_create(&params);
	follow.shard = fixture->shard;
	fixture->follow = mc_discovery_create(&follow);
	assert_non_null(fixture->follow);
	assert_int_equal(mc_shard_start(fixture->shard), MC_OK);
	*state = fixture;
	return 0;
}

static int tear_down(void **state)
{
	fixture_t *fixture = *state;

	mc_shard_stop(fixture->shard);
	mc_discovery_destroy(fixture->follow);
	mc_registry_view_unref(fixture->world);
	mc_shard_destroy(fixture->shard);
	free(fixture);
	return 0;
}

/* Waits for a call of a kind and returns a copy of it. */
static call_t wait_call(fixture_t *fixture, mc_source_kind_t kind)
{
	mc_ms_t end = mc_clock_now(mc_clock_system()) + WAIT_MS;
	call_t call;

	for (;;) {
		mc_shard_lock(fixture->shard);
		call = the_source.calls[kind];
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
} reply_t;

static void run_reply(mc_shard_t *shard, void *arg)
{
	reply_t *reply = arg;
	call_t call = the_source.calls[reply->kind];

	(void)shard;
	the_source.calls[reply->kind].open = false;
	if (reply->result.err)
		mc_fail(reply->result.err, "by the test");
	call.done(call.ctx, &reply->result);
}

/* Answers on the shard; what @reply points to lives until the next call. */
static void answer(fixture_t *fixture, reply_t *reply)
{
	wait_call(fixture, reply->kind);
	assert_int_equal(mc_shard_post(fixture->shard, run_reply, reply),
			 MC_OK);
	/* The next call of the kind shows that this one was taken. */
	usleep(1000);
	wait_call(fixture, reply->kind);
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

static uint32_t known_targets(fixture_t *fixture, uint32_t wanted)
{
	mc_ms_t end = mc_clock_now(mc_clock_system()) + WAIT_MS;
	uint32_t count;

	do {
		usleep(1000);
		mc_shard_lock(fixture->shard);
		count = fixture->world ? fixture->world->target_count : 0;
		mc_shard_unlock(fixture->shard);
	} while (count != wanted && mc_clock_now(mc_clock_system()) < end);
	return count;
}

/* Pages of a list, then a watch from the first page's revision on. */
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

	assert_true(the_source.announced);
	assert_false(call.watches);
	assert_true(call.cheap);
	answer(fixture, &reply);
	call = wait_call(fixture, MC_SOURCE_TARGETS);
	assert_string_equal(call.after, "a");
	reply.result = (mc_source_result_t){ .revision = 45,
					     .record_count = 1,
					     .records = &b };
	answer(fixture, &reply);
	call = wait_call(fixture, MC_SOURCE_TARGETS);
	assert_true(call.watches);
	assert_int_equal(call.above, 40);
	/* Longer than the store remembers, it would end with nothing. */
	assert_in_range(call.wait, 5000, 19000);
	assert_int_equal(known_targets(fixture, 2), 2);
	/* An entry that can't be read names no target; the others stay. */
	reply.result = (mc_source_result_t){ .revision = 50,
					     .record_count = 1,
					     .records = &bad };
	answer(fixture, &reply);
	assert_int_equal(known_targets(fixture, 2), 2);
	assert_int_equal(wait_call(fixture, MC_SOURCE_TARGETS).above, 50);
}

/* After a gap in the history the list must not be old. */
static void test_history_gone(void **state)
{
	fixture_t *fixture = *state;
	mc_source_record_t a = target_record("a"), b = target_record("b");
	reply_t reply = {
		.kind = MC_SOURCE_TARGETS,
		.result = { .revision = 40, .record_count = 1, .records = &a },
	};
	call_t call;

	answer(fixture, &reply);
	reply.result = (mc_source_result_t){ .err = MC_ERR_HISTORY_GONE };
	answer(fixture, &reply);
	call = wait_call(fixture, MC_SOURCE_TARGETS);
	assert_false(call.watches);
	assert_false(call.cheap);
	reply.result = (mc_source_result_t){ .revision = 90,
					     .record_count = 1,
					     .records = &b };
	answer(fixture, &reply);
	assert_int_equal(wait_call(fixture, MC_SOURCE_TARGETS).above, 90);
	/* The old one leaves in its time. */
	assert_int_equal(known_targets(fixture, 2), 2);
	assert_int_equal(known_targets(fixture, 1), 1);
}

/* A version is never followed by an older one; a lost store changes nothing. */
static void test_map_goes_up(void **state)
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
		.result = { .revision = 1,
			    .record_count = 1,
			    .records = &records[0] },
	};
	uint64_t version;

	answer(fixture, &reply);
	reply.result = (mc_source_result_t){ .revision = 2,
					     .record_count = 1,
					     .records = &records[1] };
	answer(fixture, &reply);
	reply.result = (mc_source_result_t){ .err = MC_ERR_STORE_UNAVAILABLE };
	answer(fixture, &reply);
	mc_shard_lock(fixture->shard);
	version = fixture->world ? mc_routemap_version(fixture->world->map) : 0;
	mc_shard_unlock(fixture->shard);
	assert_int_equal(version, 7);
	assert_true(wait_call(fixture, MC_SOURCE_ROUTEMAP).watches);
	mc_routemap_unref(maps[0]);
	mc_routemap_unref(maps[1]);
}

/* A store that fails one call may have forgotten the others: they are begun
 * anew then, and once more when it is back. */
static void test_watches_anew(void **state)
{
	fixture_t *fixture = *state;
	mc_source_record_t a = target_record("a");
	reply_t targets = {
		.kind = MC_SOURCE_TARGETS,
		.result = { .revision = 40, .record_count = 1, .records = &a },
	};
	reply_t map = { .kind = MC_SOURCE_ROUTEMAP,
			.result = { .revision = 40 } };
	uint32_t unwatched;

	answer(fixture, &targets);
	answer(fixture, &map);
	assert_true(wait_call(fixture, MC_SOURCE_TARGETS).watches);
	map.result = (mc_source_result_t){ .err = MC_ERR_STORE_UNAVAILABLE };
	answer(fixture, &map);
	mc_shard_lock(fixture->shard);
	unwatched = the_source.unwatched;
	mc_shard_unlock(fixture->shard);
	assert_int_equal(unwatched, 1);
	assert_int_equal(wait_call(fixture, MC_SOURCE_TARGETS).above, 40);
	map.result = (mc_source_result_t){ .revision = 41 };
	answer(fixture, &map);
	mc_shard_lock(fixture->shard);
	unwatched = the_source.unwatched;
	mc_shard_unlock(fixture->shard);
	assert_int_equal(unwatched, 2);
	wait_call(fixture, MC_SOURCE_TARGETS);
}

/* While the store is lost only the map's call looks whether it is back. */
static void test_lost_store_is_asked_once(void **state)
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
	mc_shard_post(fixture->shard, run_reply, &targets);
	for (i = 0; i < 3; i++)
		answer(fixture, &map);
	mc_shard_lock(fixture->shard);
	open = the_source.calls[MC_SOURCE_TARGETS].open;
	mc_shard_unlock(fixture->shard);
	assert_false(open);
	map.result = (mc_source_result_t){ .revision = 40 };
	answer(fixture, &map);
	assert_false(wait_call(fixture, MC_SOURCE_TARGETS).watches);
}

/* Many changes come in parts; the next part is asked for at once. */
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
	answer(fixture, &reply);
	start = mc_clock_now(mc_clock_system());
	for (i = 0; i < 40; i++) {
		reply.result = (mc_source_result_t){
			.revision = 41 + (uint64_t)i,
			.record_count = 40,
			.records = many,
		};
		answer(fixture, &reply);
	}
	/* With a pause behind each part these would take 20 s. */
	assert_true(mc_clock_now(mc_clock_system()) - start < 10000);
	assert_int_equal(known_targets(fixture, 40), 40);
}

#define FOLLOW_TEST(test) \
	cmocka_unit_test_setup_teardown(test, set_up, tear_down)

int main(void)
{
	const struct CMUnitTest tests[] = {
		FOLLOW_TEST(test_list_and_watch),
		FOLLOW_TEST(test_history_gone),
		FOLLOW_TEST(test_map_goes_up),
		FOLLOW_TEST(test_watches_anew),
		FOLLOW_TEST(test_lost_store_is_asked_once),
		FOLLOW_TEST(test_many_changes),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
