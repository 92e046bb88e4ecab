/*
 * List, then watch, for each kind of records; tries again after failures, and
 * publishes what has changed at the end of a turn of the loop.
 */
#include "discovery_private.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
	/* Tries after failures: the first pause, ms. */
	PAUSE_MIN_MS = 100,
	PAUSE_DOUBLINGS = 4,
};

enum {
	/* Parts of the bounds of maps and of targets that leave. */
	APPLY_WATCH_NUMERATOR = 2,
	APPLY_WATCH_DENOMINATOR = 3,
	DRAIN_GATHER_PART = 6,
	/* Part of what the store remembers: a watch that waits for longer ends
	 * with its history gone. */
	HISTORY_WATCH_NUMERATOR = 3,
	HISTORY_WATCH_DENOMINATOR = 4,
	WATCH_MAX_MS = 30000,
	/* So many changes at once may be a part of more: no pause then. */
	MANY_CHANGES = 16,
};

/*
 * @short_watch: one watch waits for a part of the bound of maps, as a store
 *that has gone silent is noticed by the map's. The others are then begun anew
 * @gather: after a change, changes that come in this time are read together,
 *	ms; 0 for a part of the bound of targets that leave
 * @settle: pause before the first watch, ms
 */
static const struct {
	const char *name;
	bool short_watch;
	mc_ms_t gather;
	mc_ms_t settle;
} kinds[] = {
	[MC_SOURCE_ROUTEMAP] = { "map", true, 100, 0 },
	[MC_SOURCE_TARGETS] = { "targets", false, 0, 0 },
	[MC_SOURCE_DATA_CENTERS_OUT] = { "out", false, 100, 0 },
	[MC_SOURCE_INSTANCES] = { "instances", false, 1000, 500 },
};

static mc_ms_t watch_time(const kind_t *kind)
{
	const mc_discovery_params_t *params = &kind->follow->params;
	mc_ms_t longest = params->history_period * HISTORY_WATCH_NUMERATOR /
			  HISTORY_WATCH_DENOMINATOR;

	if (kinds[kind->kind].short_watch)
		return params->apply_max * APPLY_WATCH_NUMERATOR /
		       APPLY_WATCH_DENOMINATOR;
	return longest < WATCH_MAX_MS ? longest : WATCH_MAX_MS;
}

static mc_ms_t gather_time(const kind_t *kind)
{
	mc_ms_t gather = kinds[kind->kind].gather;

	return gather ? gather
		      : kind->follow->params.drain_period / DRAIN_GATHER_PART;
}

static void go_on(mc_shard_t *shard, void *arg);

mc_ms_t follow_pause(mc_discovery_t *follow, uint32_t failures)
{
	uint32_t doublings =
		failures < PAUSE_DOUBLINGS ? failures : PAUSE_DOUBLINGS;
	mc_ms_t pause = (mc_ms_t)PAUSE_MIN_MS << doublings;

	if (pause > FOLLOW_PAUSE_MAX_MS)
		pause = FOLLOW_PAUSE_MAX_MS;
	return pause / 2 +
	       mc_random_below(mc_shard_random(follow->params.shard),
			       (uint32_t)pause / 2);
}

void follow_timer(mc_discovery_t *follow, mc_ms_t pause, mc_timer_fn_t fire,
		  void *arg, mc_handle_t *timer)
{
	mc_shard_t *shard = follow->params.shard;

	mc_timer_cancel(shard, *timer);
	if (mc_timer_set(shard, mc_shard_now(shard) + pause, fire, arg, timer))
		mc_log(mc_shard_log(shard), MC_LOG_ERROR, "follow",
		       "no timer: %s", mc_last_error_message());
}

static void publish(mc_shard_t *shard, void *arg)
{
	mc_discovery_t *follow = arg;
	const mc_registry_view_t *world;
	mc_ms_t now = mc_shard_now(shard);
	mc_ms_t next;

	follow->publish_due = false;
	if (mc_registry_expire(follow->fleet, now, &next)) {
		world = mc_registry_make_view(follow->fleet);
		if (world)
			follow->params.publish(follow->params.ctx, world);
		else
			next = now + FOLLOW_PAUSE_MAX_MS;
	}
	if (next != MC_MS_NEVER)
		follow_timer(follow, next > now ? next - now : 1, publish,
			     follow, &follow->tick);
}

void follow_changed(mc_discovery_t *follow)
{
	if (follow->publish_due)
		return;
	follow->publish_due = true;
	if (mc_shard_defer(follow->params.shard, publish, follow))
		follow->publish_due = false;
}

/*
 * Begins all open watches anew. What the store has not answered when it went
 * silent it will not answer when it is back.
 */
static void watch_anew(mc_discovery_t *follow)
{
	uint32_t i;

	for (i = 0; i < MC_SOURCE_KIND_COUNT; i++) {
		kind_t *kind = &follow->kinds[i];

		if (!kind->open || !kind->watching)
			continue;
		follow->params.source->cancel_watch(follow->source, kind->kind);
		kind->open = false;
		follow_timer(follow, 0, go_on, kind, &kind->timer);
	}
}

/* Kinds that waited for the store go on. */
static void unpark(mc_discovery_t *follow)
{
	uint32_t i;

	for (i = 0; i < MC_SOURCE_KIND_COUNT; i++)
		if (follow->kinds[i].parked)
			follow_timer(follow, 0, go_on, &follow->kinds[i],
				     &follow->kinds[i].timer);
}

/* The store is lost or back: one line, whatever the number of calls. */
void follow_note_store(mc_discovery_t *follow, mc_err_t err)
{
	bool lost = err == MC_ERR_STORE_UNAVAILABLE;

	if (!lost)
		follow->answered = mc_shard_now(follow->params.shard);
	if (lost)
		mc_counter_add(mc_shard_counters(follow->params.shard),
			       MC_COUNTER_STORE_FAILURES, 1);
	if (lost == follow->store_lost)
		return;
	follow->store_lost = lost;
	watch_anew(follow);
	if (!lost)
		unpark(follow);
	if (lost)
		mc_log(mc_shard_log(follow->params.shard), MC_LOG_WARNING,
		       "follow", "store is lost map=%llu reason=\"%s\"",
		       (unsigned long long)mc_registry_routemap_version(
			       follow->fleet),
		       mc_last_error_message());
	else
		mc_log(mc_shard_log(follow->params.shard), MC_LOG_NOTICE,
		       "follow", "store is back map=%llu",
		       (unsigned long long)mc_registry_routemap_version(
			       follow->fleet));
}

/* While the store is lost the map alone finds out whether it is back. */
static void failed(kind_t *kind)
{
	mc_discovery_t *follow = kind->follow;

	if (follow->store_lost && kind->kind != MC_SOURCE_ROUTEMAP) {
		kind->parked = true;
		kind->failures++;
		/* It may hear another instance and ask nothing. */
		if (!follow->kinds[MC_SOURCE_ROUTEMAP].failures)
			follow_read_on(&follow->kinds[MC_SOURCE_ROUTEMAP]);
		return;
	}
	follow_timer(follow, follow_pause(follow, kind->failures++), go_on,
		     kind, &kind->timer);
}

void follow_took_changes(kind_t *kind, const mc_source_result_t *result)
{
	mc_ms_t now = mc_shard_now(kind->follow->params.shard);

	/* What was missed may have been true for as long. */
	follow_take(kind->follow, kind->kind, result,
		    kind->current_until < now ? kind->current_until : now);
	kind->current_until = MC_MS_NEVER;
	if (result->revision > kind->revision)
		kind->revision = result->revision;
	follow_changed(kind->follow);
}

static void took_watch(kind_t *kind, const mc_source_result_t *result)
{
	uint64_t above = kind->revision;

	if (result->err == MC_ERR_HISTORY_GONE) {
		mc_log(mc_shard_log(kind->follow->params.shard), MC_LOG_NOTICE,
		       "follow",
		       "history is gone, list anew kind=%s above=%llu",
		       kinds[kind->kind].name,
		       (unsigned long long)kind->revision);
		kind->watching = false;
		kind->strict = true;
		kind->after[0] = '\0';
		watch_anew(kind->follow);
		return;
	}
	follow_took_changes(kind, result);
	if (result->raw)
		hear_tell(kind, above, result->raw);
}

static void took_list(kind_t *kind, const mc_source_result_t *result)
{
	const mc_source_record_t *last;

	if (!kind->after[0]) {
		kind->list_revision = result->revision;
		follow_list_begin(kind->follow, kind->kind);
	}
	follow_take(kind->follow, kind->kind, result,
		    mc_shard_now(kind->follow->params.shard));
	if (result->has_more && result->record_count) {
		last = &result->records[result->record_count - 1];
		snprintf(kind->after, sizeof(kind->after), "%s", last->name);
		return;
	}
	follow_list_end(kind->follow, kind->kind);
	/* Changes while the pages were read come with the watch. */
	kind->revision = kind->list_revision;
	kind->watching = true;
	kind->listed = true;
	kind->after[0] = '\0';
}

/* After a pause that changes were gathered in. */
static void go_on_unless_told(mc_shard_t *shard, void *arg)
{
	kind_t *kind = arg;

	if (!hear_others(kind->follow))
		go_on(shard, kind);
}

static void took(void *ctx, const mc_source_result_t *result)
{
	kind_t *kind = ctx;
	bool first;

	kind->open = false;
	follow_note_store(kind->follow, result->err);
	if (result->err && result->err != MC_ERR_HISTORY_GONE) {
		failed(kind);
		return;
	}
	kind->failures = 0;
	first = !kind->listed && kinds[kind->kind].settle;
	if (kind->watching)
		took_watch(kind, result);
	else
		took_list(kind, result);
	follow_changed(kind->follow);
	/* Another instance says what comes next. */
	if (kind->watching && hear_others(kind->follow))
		return;
	if (kind->watching && (first || (result->record_count &&
					 result->record_count < MANY_CHANGES)))
		follow_timer(kind->follow,
			     first ? kinds[kind->kind].settle
				   : gather_time(kind),
			     go_on_unless_told, kind, &kind->timer);
	else
		follow_read_on(kind);
}

static void go_on(mc_shard_t *shard, void *arg)
{
	kind_t *kind = arg;
	mc_discovery_t *follow = kind->follow;
	const mc_source_ops_t *ops = follow->params.source;
	mc_err_t err;

	mc_counter_add(mc_shard_counters(shard), MC_COUNTER_STORE_CALLS, 1);
	kind->parked = false;
	kind->open = true;
	if (kind->watching)
		err = ops->watch(follow->source, kind->kind, kind->revision,
				 watch_time(kind), took, kind);
	else
		err = ops->list(follow->source, kind->kind, kind->after,
				!kind->strict, took, kind);
	if (!err)
		return;
	kind->open = false;
	failed(kind);
}

void follow_read_on(kind_t *kind)
{
	if (kind->open)
		return;
	mc_timer_cancel(kind->follow->params.shard, kind->timer);
	go_on(kind->follow->params.shard, kind);
}

static void begin(mc_shard_t *shard, void *arg)
{
	mc_discovery_t *follow = arg;
	uint32_t i;

	follow_announce(shard, follow);
	for (i = 0; i < MC_SOURCE_KIND_COUNT; i++)
		go_on(shard, &follow->kinds[i]);
}

static mc_err_t create_parts(mc_discovery_t *follow)
{
	const mc_discovery_params_t *params = &follow->params;
	uint32_t i;

	follow->fleet = mc_registry_create();
	follow->source =
		params->source->create(params->shard, params->store_address);
	if (!follow->fleet || !follow->source ||
	    apr_pool_create(&follow->pool, NULL))
		return mc_fail(MC_ERR_NO_MEMORY, "no memory to follow a store");
	follow->instances = apr_hash_make(follow->pool);
	for (i = 0; i < MC_SOURCE_KIND_COUNT; i++)
		follow->kinds[i] = (kind_t){
			.follow = follow,
			.kind = (mc_source_kind_t)i,
			.current_until = MC_MS_NEVER,
		};
	if (hear_create(follow))
		return MC_ERR_IO;
	return mc_shard_defer(params->shard, begin, follow);
}

mc_discovery_t *mc_discovery_create(const mc_discovery_params_t *params)
{
	mc_discovery_t *follow = calloc(1, sizeof(*follow));

	if (!follow)
		return NULL;
	follow->params = *params;
	if (create_parts(follow)) {
		mc_discovery_destroy(follow);
		return NULL;
	}
	return follow;
}

void mc_discovery_destroy(mc_discovery_t *follow)
{
	if (!follow)
		return;
	hear_destroy(follow);
	if (follow->source)
		follow->params.source->destroy(follow->source);
	mc_registry_destroy(follow->fleet);
	if (follow->pool)
		apr_pool_destroy(follow->pool);
	free(follow);
}
