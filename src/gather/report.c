/*
 * What targets say of themselves, in every answer and when asked, and telling
 * fronts of what changed. Load reports lag or mislead, so they are only hints
 * to the limiter; a start id, a drain and the snapshots are taken as said.
 */
#include "gather_private.h"

#include <stdlib.h>
#include <string.h>

enum {
	REPORT_INTERVAL_MS = 1000,
	REPORT_TIMEOUT_MS = 1000,
	REPORT_DOWN_INTERVAL_MS = 250,
	/* Reports that fail in a row before a target counts as down. */
	REPORT_FAILURES_MAX = 3,
};

static void ask(mc_shard_t *shard, void *arg);

static void plan(gather_t *gather, target_t *target, mc_ms_t wait)
{
	mc_random_t *random = mc_shard_random(gather->shard);
	mc_ms_t jitter = mc_random_below(random, (uint32_t)wait / 4 + 1);

	mc_timer_cancel(gather->shard, target->report_timer);
	mc_timer_set(gather->shard,
		     mc_shard_now(gather->shard) + wait - wait / 8 + jitter,
		     ask, target, &target->report_timer);
}

typedef struct {
	gather_t *gather;
	mc_handle_t target;
} asked_t;

static void on_report(void *ctx, const mc_http_response_t *response)
{
	asked_t *asked = ctx;
	gather_t *gather = asked->gather;
	target_t *target = mc_table_get(gather->targets, asked->target);
	json_t *root = NULL;

	free(asked);
	if (!target)
		return;
	target->report_open = false;
	if (!response->err && response->status == 200)
		root = json_loadb(response->body, response->body_size, 0, NULL);
	if (root)
		report_take(gather, target, root);
	else
		report_failed(gather, target,
			      response->err == MC_ERR_IO &&
				      !response->maybe_sent);
	json_decref(root);
	plan(gather, target,
	     target->down ? REPORT_DOWN_INTERVAL_MS : REPORT_INTERVAL_MS);
}

static void ask(mc_shard_t *shard, void *arg)
{
	target_t *target = arg;
	gather_t *gather = target->gather;
	asked_t *asked;

	(void)shard;
	target->report_timer = MC_HANDLE_NONE;
	if (!target->owned || target->report_open)
		return;
	asked = malloc(sizeof(*asked));
	if (!asked)
		return;
	*asked = (asked_t){ .gather = gather, .target = target->handle };
	target->report_open = true;
	if (target_http_send(gather, target, "/report", NULL, REPORT_TIMEOUT_MS,
			     false, on_report, asked, NULL)) {
		target->report_open = false;
		free(asked);
		plan(gather, target, REPORT_INTERVAL_MS);
	}
}

void report_start(gather_t *gather, target_t *target)
{
	if (target->report_open || target->report_timer.generation)
		return;
	(void)gather;
	ask(gather->shard, target);
}

static bool same_snapshots(const target_t *target, const json_t *list)
{
	size_t i;

	if (json_array_size(list) != target->snapshot_count)
		return false;
	for (i = 0; i < json_array_size(list); i++) {
		const char *id = json_string_value(json_array_get(list, i));

		if (!id || strcmp(id, target->snapshots[i]))
			return false;
	}
	return true;
}

static bool take_snapshots(target_t *target, const json_t *list)
{
	size_t i;

	if (!json_is_array(list) ||
	    (target->reported && same_snapshots(target, list)))
		return false;
	for (i = 0; i < target->snapshot_count; i++)
		free(target->snapshots[i]);
	target->snapshot_count = 0;
	for (i = 0; i < json_array_size(list); i++) {
		const char *id = json_string_value(json_array_get(list, i));
		char *copy;

		if (!id || target->snapshot_count == MC_WIRE_SNAPSHOTS_MAX)
			continue;
		copy = strdup(id);
		if (copy)
			target->snapshots[target->snapshot_count++] = copy;
	}
	target->reported = true;
	return true;
}

static void take_start(gather_t *gather, target_t *target, const json_t *report)
{
	const char *start = json_string_value(json_object_get(report, "start"));
	mc_ms_t now = mc_shard_now(gather->shard);

	if (!start || !mc_limiter_set_start_id(target->limiter,
					       mc_hash_string(start), now))
		return;
	mc_counter_add(mc_shard_counters(gather->shard), MC_COUNTER_RAMPS, 1);
	mc_log(gather->log, MC_LOG_NOTICE, "limit",
	       "target started, ramp begins target=%s start=%s",
	       target->address, start);
}

void report_reached(gather_t *gather, target_t *target)
{
	target->failures = 0;
	if (!target->down)
		return;
	target->down = false;
	mc_log(gather->log, MC_LOG_NOTICE, "gather",
	       "target answers again target=%s", target->address);
	report_broadcast(gather, target);
}

void report_take(gather_t *gather, target_t *target, const json_t *report)
{
	const json_t *load = json_object_get(report, "load");
	const json_t *cold = json_object_get(report, "cold_ms");
	bool draining = json_is_true(json_object_get(report, "draining"));
	bool changed;

	report_reached(gather, target);
	take_start(gather, target, report);
	if (json_is_integer(cold))
		mc_limiter_set_warmup(target->limiter, json_integer_value(cold),
				      mc_shard_now(gather->shard));
	if (json_is_number(load))
		mc_limiter_set_reported_load(target->limiter,
					     json_number_value(load),
					     mc_shard_now(gather->shard));
	changed = take_snapshots(target, json_object_get(report, "snapshots"));
	if (draining != target->draining) {
		target->draining = draining;
		changed = true;
		mc_log(gather->log, MC_LOG_NOTICE, "gather",
		       "target draining=%d target=%s", draining,
		       target->address);
		if (draining)
			dispatch_refuse(gather, target, MC_ERR_TARGET_DRAINING);
	}
	if (changed)
		report_broadcast(gather, target);
}

void report_failed(gather_t *gather, target_t *target, bool refused)
{
	if (target->down)
		return;
	if (!refused && ++target->failures < REPORT_FAILURES_MAX)
		return;
	target->down = true;
	mc_log(gather->log, MC_LOG_WARNING, "gather",
	       "target is down target=%s", target->address);
	dispatch_refuse(gather, target, MC_ERR_NO_TARGET);
	report_broadcast(gather, target);
	if (!target->report_open)
		plan(gather, target, REPORT_DOWN_INTERVAL_MS);
}

static mc_wire_target_t encode_target(const target_t *target)
{
	return (mc_wire_target_t){
		.key = target->key,
		.draining = target->draining,
		.down = target->down,
		.reported = target->reported,
		.snapshot_count = target->snapshot_count,
		.snapshots = (const char **)(uintptr_t)target->snapshots,
	};
}

typedef struct {
	gather_t *gather;
	size_t size;
	char data[];
} broadcast_t;

static void run_broadcast(mc_shard_t *shard, void *arg)
{
	broadcast_t *broadcast = arg;
	const gather_t *gather = broadcast->gather;
	uint32_t i;

	for (i = 0; i < gather->front_count; i++)
		mc_link_send(shard, gather->fronts[i], broadcast->data,
			     broadcast->size);
	free(broadcast);
}

static void broadcast_to(gather_t *gather, uint32_t shard, const char *data,
			 size_t size)
{
	broadcast_t *broadcast = malloc(sizeof(*broadcast) + size);

	if (!broadcast)
		return;
	broadcast->gather = gather_of(gather, shard);
	broadcast->size = size;
	memcpy(broadcast->data, data, size);
	if (shard == mc_shard_index(gather->shard))
		run_broadcast(gather->shard, broadcast);
	else if (mc_shard_post(mc_process_shard(gather->process, shard),
			       run_broadcast, broadcast))
		free(broadcast);
}

static void broadcast(gather_t *gather, const mc_wire_message_t *message)
{
	char *data;
	size_t size;
	uint32_t i;

	if (mc_wire_encode(message, &data, &size))
		return;
	for (i = 0; i < mc_process_shard_count(gather->process); i++)
		broadcast_to(gather, i, data, size);
	free(data);
}

/* Whether this owner's share of the target counts by now. */
static bool may_serve(const gather_t *gather, const target_t *target)
{
	return target->owned &&
	       mc_limiter_share(target->limiter, mc_shard_now(gather->shard));
}

void report_broadcast(gather_t *gather, const target_t *target)
{
	mc_wire_target_t entry = encode_target(target);
	const mc_wire_message_t message = {
		.kind = MC_WIRE_REPORT,
		.report = { .count = 1, .targets = &entry },
	};

	/* Before that, fronts learn of it with the others. */
	if (may_serve(gather, target))
		broadcast(gather, &message);
}

/* A report of all targets that may get work; its list is to be freed. */
static mc_wire_message_t report_of_all(const gather_t *gather)
{
	uint32_t count = mc_table_count(gather->targets);
	mc_wire_target_t *entries = calloc(count + 1, sizeof(*entries));
	mc_wire_message_t message = { .kind = MC_WIRE_REPORT };
	uint32_t cursor = 0;
	mc_handle_t handle;
	const target_t *target;

	message.report.targets = entries;
	while (entries &&
	       (target = mc_table_next(gather->targets, &cursor, &handle)))
		if (may_serve(gather, target))
			entries[message.report.count++] = encode_target(target);
	return message;
}

void report_all(gather_t *gather, route_t route)
{
	mc_wire_message_t message = report_of_all(gather);

	gather_reply_message(gather, route, &message);
	free(message.report.targets);
}

void report_broadcast_all(gather_t *gather)
{
	mc_wire_message_t message = report_of_all(gather);

	broadcast(gather, &message);
	free(message.report.targets);
}
