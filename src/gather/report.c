/*
 * Reads the reports of targets, which come with every response and when
 * requested, and sends changes to fronts. Reported loads can be late or
 * misleading, so the limiter only uses them as hints; start ids, draining and
 * snapshots are taken as reported.
 */
#include "gather_private.h"

#include <stdlib.h>
#include <string.h>

enum {
	REPORT_INTERVAL_MS = 1000,
	REPORT_TIMEOUT_MS = 1000,
	REPORT_DOWN_INTERVAL_MS = 250,
	/* Failed report requests in a row that mark a target down. */
	REPORT_FAILURES_MAX = 3,
};

static void request_report(mc_shard_t *shard, void *arg);

static void schedule_report(gather_t *gather, target_t *target, mc_ms_t wait)
{
	mc_random_t *random = mc_shard_random(gather->shard);
	mc_ms_t jitter = mc_random_below(random, (uint32_t)wait / 4 + 1);

	mc_timer_cancel(gather->shard, target->report_timer);
	mc_timer_set(gather->shard,
		     mc_shard_now(gather->shard) + wait - wait / 8 + jitter,
		     request_report, target, &target->report_timer);
}

/* Context of a request for a report. */
typedef struct {
	gather_t *gather;
	mc_handle_t target;
} report_request_t;

static void on_report(void *ctx, const mc_http_response_t *response)
{
	report_request_t *request = ctx;
	gather_t *gather = request->gather;
	target_t *target = mc_table_get(gather->targets, request->target);
	json_t *root = NULL;

	free(request);
	if (!target)
		return;
	target->report_in_flight = false;
	if (!response->err && response->status == 200)
		root = json_loadb(response->body, response->body_size, 0, NULL);
	if (root)
		report_apply(gather, target, root);
	else
		report_record_failure(gather, target,
				      response->err == MC_ERR_IO &&
					      !response->maybe_sent);
	json_decref(root);
	schedule_report(gather, target,
			target->down ? REPORT_DOWN_INTERVAL_MS
				     : REPORT_INTERVAL_MS);
}

static void request_report(mc_shard_t *shard, void *arg)
{
	target_t *target = arg;
	gather_t *gather = target->gather;
	report_request_t *request;

	(void)shard;
	target->report_timer = MC_HANDLE_NONE;
	if (!target->owned || target->report_in_flight)
		return;
	request = malloc(sizeof(*request));
	if (!request)
		return;
	*request = (report_request_t){ .gather = gather,
				       .target = target->handle };
	target->report_in_flight = true;
	if (target_http_send(gather, target, "/report", NULL, REPORT_TIMEOUT_MS,
			     false, on_report, request, NULL)) {
		target->report_in_flight = false;
		free(request);
		schedule_report(gather, target, REPORT_INTERVAL_MS);
	}
}

void report_start_polling(gather_t *gather, target_t *target)
{
	if (target->report_in_flight || target->report_timer.generation)
		return;
	(void)gather;
	request_report(gather->shard, target);
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

static bool update_snapshots(target_t *target, const json_t *list)
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

static void update_start(gather_t *gather, target_t *target,
			 const json_t *report)
{
	const char *start = json_string_value(json_object_get(report, "start"));
	mc_ms_t now = mc_shard_now(gather->shard);

	if (!start || !mc_limiter_set_start_id(target->limiter,
					       mc_hash_string(start), now))
		return;
	mc_counter_add(mc_shard_counters(gather->shard), MC_COUNTER_RAMPS, 1);
	mc_log(gather->log, MC_LOG_NOTICE, "limit",
	       "target has a new start id, limit ramp started target=%s "
	       "start=%s",
	       target->address, start);
}

void report_mark_up(gather_t *gather, target_t *target)
{
	target->failures = 0;
	if (!target->down)
		return;
	target->down = false;
	mc_log(gather->log, MC_LOG_NOTICE, "gather",
	       "target marked up after a response target=%s", target->address);
	report_broadcast(gather, target);
}

void report_apply(gather_t *gather, target_t *target, const json_t *report)
{
	const json_t *load = json_object_get(report, "load");
	const json_t *cold = json_object_get(report, "cold_ms");
	bool draining = json_is_true(json_object_get(report, "draining"));
	bool changed;

	report_mark_up(gather, target);
	update_start(gather, target, report);
	if (json_is_integer(cold))
		mc_limiter_set_warmup(target->limiter, json_integer_value(cold),
				      mc_shard_now(gather->shard));
	if (json_is_number(load))
		mc_limiter_set_reported_load(target->limiter,
					     json_number_value(load),
					     mc_shard_now(gather->shard));
	changed =
		update_snapshots(target, json_object_get(report, "snapshots"));
	if (draining != target->draining) {
		target->draining = draining;
		changed = true;
		mc_log(gather->log, MC_LOG_NOTICE, "gather",
		       "target drain state changed draining=%d target=%s",
		       draining, target->address);
		if (draining)
			dispatch_refuse_all(gather, target,
					    MC_ERR_TARGET_DRAINING);
	}
	if (changed)
		report_broadcast(gather, target);
}

void report_record_failure(gather_t *gather, target_t *target, bool unreachable)
{
	if (target->down)
		return;
	if (!unreachable && ++target->failures < REPORT_FAILURES_MAX)
		return;
	target->down = true;
	mc_log(gather->log, MC_LOG_WARNING, "gather",
	       "target marked down: unreachable or no valid reports target=%s",
	       target->address);
	dispatch_refuse_all(gather, target, MC_ERR_NO_TARGET);
	report_broadcast(gather, target);
	if (!target->report_in_flight)
		schedule_report(gather, target, REPORT_DOWN_INTERVAL_MS);
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

/* A frame that a data shard is to send on all its links to fronts. */
typedef struct {
	gather_t *gather;
	size_t size;
	char data[];
} broadcast_t;

static void send_broadcast(mc_shard_t *shard, void *arg)
{
	broadcast_t *broadcast = arg;
	const gather_t *gather = broadcast->gather;
	uint32_t i;

	for (i = 0; i < gather->front_count; i++)
		mc_link_send(shard, gather->fronts[i], broadcast->data,
			     broadcast->size);
	free(broadcast);
}

static void broadcast_on_shard(gather_t *gather, uint32_t shard,
			       const char *data, size_t size)
{
	broadcast_t *broadcast = malloc(sizeof(*broadcast) + size);

	if (!broadcast)
		return;
	broadcast->gather = gather_on_shard(gather, shard);
	broadcast->size = size;
	memcpy(broadcast->data, data, size);
	if (shard == mc_shard_index(gather->shard))
		send_broadcast(gather->shard, broadcast);
	else if (mc_shard_post(mc_process_shard(gather->process, shard),
			       send_broadcast, broadcast))
		free(broadcast);
}

static void broadcast_message(gather_t *gather,
			      const mc_wire_message_t *message)
{
	char *data;
	size_t size;
	uint32_t i;

	if (mc_wire_encode(message, &data, &size))
		return;
	for (i = 0; i < mc_process_shard_count(gather->process); i++)
		broadcast_on_shard(gather, i, data, size);
	free(data);
}

/* Whether this gather owns the target and has a share of its concurrency. */
static bool may_announce(const gather_t *gather, const target_t *target)
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

	/*
	 * Without a share yet, the target is announced later, together with all
	 * others; see schedule_announcement().
	 */
	if (may_announce(gather, target))
		broadcast_message(gather, &message);
}

/* Makes a report of all targets that may get work. Its list must be freed. */
static mc_wire_message_t make_full_report(const gather_t *gather)
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
		if (may_announce(gather, target))
			entries[message.report.count++] = encode_target(target);
	return message;
}

void report_send_all(gather_t *gather, reply_route_t route)
{
	mc_wire_message_t message = make_full_report(gather);

	gather_reply_message(gather, route, &message);
	free(message.report.targets);
}

void report_broadcast_all(gather_t *gather)
{
	mc_wire_message_t message = make_full_report(gather);

	broadcast_message(gather, &message);
	free(message.report.targets);
}
