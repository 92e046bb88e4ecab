/*
 * From a target's queue into requests to it. What arrived in one turn of the
 * loop, or waited for the limiter, leaves in one HTTP request. A sub-query
 * keeps its slot of the limiter until the target has answered or broken off,
 * also when its result is not wanted any more.
 */
#include "gather_private.h"

#include <stdlib.h>
#include <string.h>

enum {
	/* Sub-queries that may wait per one that may be at the target. */
	WAITING_PER_SLOT = 2,
	WAITING_MIN = 4,
	/* Part of its time that a sub-query may wait, and the least of it. */
	WAIT_PART = 4,
	WAIT_MIN_MS = 2,
};

typedef struct {
	gather_t *gather;
	mc_handle_t target;
	mc_ms_t sent_at;
	uint32_t count;
	mc_handle_t subs[GATHER_BATCH_MAX];
} batch_t;

void sub_query_remove(gather_t *gather, sub_query_t *sub)
{
	if (!sub->canceled)
		apr_hash_set(gather->sub_queries_by_key, &sub->key,
			     sizeof(sub->key), NULL);
	shared_unref(sub->shared);
	mc_table_remove(gather->sub_queries, sub->handle);
}

void sub_query_refuse(gather_t *gather, sub_query_t *sub, mc_err_t reason)
{
	if (!sub->canceled) {
		mc_log(gather->log, MC_LOG_INFO, "gather",
		       "sub-query refused request=%s shard=%u reason=%s",
		       sub->shared->message->query.request, sub->shard,
		       mc_error_name(reason));
		gather_reply_error(gather, sub->key.route, sub->key.id, reason);
	}
	sub_query_remove(gather, sub);
}

void dispatch_refuse(gather_t *gather, target_t *target, mc_err_t reason)
{
	sub_query_t *sub;
	uint32_t i;

	for (i = 0; i < MC_CLASS_COUNT; i++)
		while ((sub = queue_pop(gather, target, (mc_request_class_t)i)))
			sub_query_refuse(gather, sub, reason);
}

static mc_limit_outcome_t outcome_of(mc_err_t err)
{
	switch (err) {
	case MC_OK:
	case MC_ERR_WRONG_SNAPSHOT:
		return MC_LIMIT_ANSWERED;
	case MC_ERR_TARGET_SHED:
	case MC_ERR_TARGET_DRAINING:
		return MC_LIMIT_SHED;
	case MC_ERR_DEADLINE_EXCEEDED:
		return MC_LIMIT_DEADLINE;
	default:
		return MC_LIMIT_FAILED;
	}
}

static void give(gather_t *gather, target_t *target, mc_err_t err,
		 mc_ms_t latency)
{
	mc_counters_t *counters = mc_shard_counters(gather->shard);
	mc_ms_t now = mc_shard_now(gather->shard);

	if (err == MC_ERR_TARGET_SHED)
		mc_counter_add(counters, MC_COUNTER_TARGET_SHEDS, 1);
	if (!target ||
	    !mc_limiter_release(target->limiter, outcome_of(err), latency, now))
		return;
	mc_counter_add(counters, MC_COUNTER_RAMPS, 1);
	mc_log(gather->log, MC_LOG_NOTICE, "limit",
	       "target seems cold, ramp begins target=%s", target->address);
}

static mc_err_t error_of(const mc_http_response_t *response)
{
	if (response->err == MC_ERR_TIMED_OUT)
		return MC_ERR_DEADLINE_EXCEEDED;
	if (response->err)
		return response->maybe_sent ? MC_ERR_TARGET_FAILED
					    : MC_ERR_NO_TARGET;
	if (response->status == 503)
		return MC_ERR_TARGET_SHED;
	return MC_ERR_TARGET_FAILED;
}

/* Ends one sub-query of a batch; returns true when @result is to be sent. */
static bool end_sub_query(gather_t *gather, const batch_t *batch, uint32_t i,
			  const mc_wire_result_t *result)
{
	target_t *target = mc_table_get(gather->targets, batch->target);
	sub_query_t *sub = mc_table_get(gather->sub_queries, batch->subs[i]);
	bool wanted;

	give(gather, target, result->err, result->latency);
	if (!sub)
		return false;
	wanted = !sub->canceled;
	sub_query_remove(gather, sub);
	return wanted;
}

/* Sends the results of a batch, one frame per front. */
static void send_results(gather_t *gather, const route_t *routes,
			 mc_wire_result_t *results, uint32_t count)
{
	mc_wire_result_t same[GATHER_BATCH_MAX];
	bool sent[GATHER_BATCH_MAX] = { false };
	uint32_t i, j, found;

	for (i = 0; i < count; i++) {
		if (sent[i])
			continue;
		found = 0;
		for (j = i; j < count; j++) {
			if (memcmp(&routes[i], &routes[j], sizeof(routes[i])))
				continue;
			same[found++] = results[j];
			sent[j] = true;
		}
		gather_reply_results(gather, routes[i], same, found);
	}
}

static void read_result(gather_t *gather, const sub_query_t *sub,
			const json_t *answers, mc_err_t err,
			mc_wire_result_t *result, mc_hit_t **hits)
{
	const mc_wire_query_t *query = &sub->shared->message->query;
	const json_t *entry = NULL;

	(void)gather;
	*result = (mc_wire_result_t){
		.err = err ? err : MC_ERR_TARGET_FAILED,
		.snapshot = "",
	};
	if (!err)
		entry = target_http_entry(answers, query->request, sub->shard);
	if (entry)
		*hits = calloc(query->limit + 1, sizeof(**hits));
	if (*hits)
		target_http_result(entry, result, *hits, query->limit);
}

static void end_batch(gather_t *gather, const batch_t *batch,
		      const json_t *answers, mc_err_t err)
{
	mc_ms_t latency = mc_shard_now(gather->shard) - batch->sent_at;
	mc_wire_result_t results[GATHER_BATCH_MAX];
	route_t routes[GATHER_BATCH_MAX] = { 0 };
	mc_hit_t *hits[GATHER_BATCH_MAX] = { NULL };
	mc_wire_result_t result;
	uint32_t wanted = 0;
	uint32_t i;

	for (i = 0; i < batch->count; i++) {
		sub_query_t *sub =
			mc_table_get(gather->sub_queries, batch->subs[i]);

		result = (mc_wire_result_t){ .err = err, .snapshot = "" };
		if (sub) {
			read_result(gather, sub, answers, err, &result,
				    &hits[i]);
			result.id = sub->key.id;
			routes[wanted] = sub->key.route;
		}
		result.latency = latency;
		if (end_sub_query(gather, batch, i, &result))
			results[wanted++] = result;
	}
	send_results(gather, routes, results, wanted);
	for (i = 0; i < batch->count; i++)
		free(hits[i]);
}

static void on_batch(void *ctx, const mc_http_response_t *response)
{
	batch_t *batch = ctx;
	gather_t *gather = batch->gather;
	target_t *target = mc_table_get(gather->targets, batch->target);
	json_t *root = NULL;
	mc_err_t err = MC_OK;

	gather->batches--;
	if (!response->err && response->status == 200)
		root = json_loadb(response->body, response->body_size, 0, NULL);
	if (!root) {
		err = error_of(response);
		mc_counter_add(mc_shard_counters(gather->shard),
			       MC_COUNTER_TARGET_FAILURES, 1);
	}
	if (err == MC_ERR_DEADLINE_EXCEEDED && target)
		cancel_at_target(gather, target, batch->subs, batch->count);
	end_batch(gather, batch, json_object_get(root, "answers"), err);
	if (target && root)
		report_take(gather, target, root);
	else if (target && err == MC_ERR_NO_TARGET)
		report_failed(gather, target, true);
	json_decref(root);
	target = mc_table_get(gather->targets, batch->target);
	if (target)
		dispatch_plan(gather, target);
	free(batch);
}

/* The request failed before a byte left. */
static void fail_batch(gather_t *gather, batch_t *batch)
{
	end_batch(gather, batch, NULL, MC_ERR_NO_TARGET);
	free(batch);
}

static void send_batch(gather_t *gather, target_t *target, batch_t *batch,
		       mc_ms_t deadline)
{
	mc_counters_t *counters = mc_shard_counters(gather->shard);
	mc_ms_t now = mc_shard_now(gather->shard);
	char *body = target_http_search(gather, batch->subs, batch->count);
	mc_err_t err = MC_ERR_NO_MEMORY;

	batch->sent_at = now;
	if (body)
		err = target_http_send(gather, target, "/search", body,
				       deadline - now, false, on_batch, batch,
				       NULL);
	free(body);
	if (err) {
		fail_batch(gather, batch);
		return;
	}
	gather->batches++;
	mc_counter_add(counters, MC_COUNTER_TARGET_REQUESTS, 1);
	mc_counter_add(counters, MC_COUNTER_TARGET_QUERIES, batch->count);
}

/* Takes the next sub-query if the limiter lets it go. */
static sub_query_t *next_to_send(gather_t *gather, target_t *target)
{
	const sub_query_t *sub = queue_head(gather, target);

	if (!sub ||
	    !mc_limiter_acquire(target->limiter, mc_shard_now(gather->shard)))
		return NULL;
	return queue_pop(gather, target, sub->klass);
}

/* Sends one request with what may be sent now. Returns false for nothing. */
static bool flush_once(gather_t *gather, target_t *target)
{
	batch_t *batch = calloc(1, sizeof(*batch));
	mc_ms_t deadline = 0;
	sub_query_t *sub;

	if (!batch)
		return false;
	batch->gather = gather;
	batch->target = target->handle;
	while (batch->count < GATHER_BATCH_MAX &&
	       (sub = next_to_send(gather, target))) {
		sub->sent = true;
		if (sub->deadline > deadline)
			deadline = sub->deadline;
		batch->subs[batch->count++] = sub->handle;
	}
	if (!batch->count) {
		free(batch);
		return false;
	}
	send_batch(gather, target, batch, deadline);
	return true;
}

static void expire(mc_shard_t *shard, void *arg)
{
	target_t *target = arg;

	(void)shard;
	target->expiry_timer = MC_HANDLE_NONE;
	dispatch_plan(target->gather, target);
}

/* What still waits is looked at again when it has waited long enough. */
static void plan_expiry(gather_t *gather, target_t *target)
{
	mc_ms_t next = queue_next_expiry(gather, target);

	mc_timer_cancel(gather->shard, target->expiry_timer);
	target->expiry_timer = MC_HANDLE_NONE;
	if (next != MC_MS_NEVER)
		mc_timer_set(gather->shard, next, expire, target,
			     &target->expiry_timer);
}

static void flush_target(gather_t *gather, target_t *target)
{
	mc_handle_t handle = target->handle;
	bool sent = true;

	target->flush_pending = false;
	if (!gather_fresh(gather))
		dispatch_refuse(gather, target, MC_ERR_NOT_READY);
	while (sent && target) {
		sent = flush_once(gather, target);
		target = mc_table_get(gather->targets, handle);
	}
	if (!target)
		return;
	queue_expire(gather, target);
	plan_expiry(gather, target);
}

static void flush_all(mc_shard_t *shard, void *arg)
{
	gather_t *gather = arg;
	uint32_t i;

	(void)shard;
	for (i = 0; i < gather->dirty_count; i++) {
		target_t *target =
			mc_table_get(gather->targets, gather->dirty[i]);

		if (target)
			flush_target(gather, target);
	}
	gather->dirty_count = 0;
}

void dispatch_plan(gather_t *gather, target_t *target)
{
	if (target->flush_pending || gather->dirty_count == GATHER_TARGETS_MAX)
		return;
	target->flush_pending = true;
	if (!gather->dirty_count)
		mc_shard_defer(gather->shard, flush_all, gather);
	gather->dirty[gather->dirty_count++] = target->handle;
}

/* Makes room for @sub among what waits; false if there is none. */
static bool make_room(gather_t *gather, target_t *target,
		      const sub_query_t *sub)
{
	mc_ms_t now = mc_shard_now(gather->shard);
	uint32_t share = mc_limiter_share(target->limiter, now);
	sub_query_t *other;

	if (!share)
		return false;
	if (target->waiting < WAITING_MIN + share * WAITING_PER_SLOT)
		return true;
	other = queue_pop_below(gather, target, sub->klass);
	if (!other)
		return false;
	sub_query_refuse(gather, other, MC_ERR_TARGET_LIMITED);
	return true;
}

void dispatch_add(gather_t *gather, sub_query_t *sub, target_t *target)
{
	mc_ms_t now = mc_shard_now(gather->shard);
	mc_ms_t wait = (sub->deadline - now) / WAIT_PART;

	sub->wait_until = now + (wait > WAIT_MIN_MS ? wait : WAIT_MIN_MS);
	if (!make_room(gather, target, sub)) {
		mc_counter_add(mc_shard_counters(gather->shard),
			       MC_COUNTER_LIMITED, 1);
		sub_query_refuse(gather, sub, MC_ERR_TARGET_LIMITED);
		return;
	}
	queue_push(gather, target, sub);
	dispatch_plan(gather, target);
}
