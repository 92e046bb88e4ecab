/*
 * Sends a target's queued sub-queries to it in batches. Sub-queries that
 * arrived in one turn of the event loop, or that waited for the limiter, are
 * sent in one HTTP request. A sub-query keeps its slot of the limiter until the
 * target has responded or the request has failed, even if it is canceled
 * meanwhile.
 */
#include "gather_private.h"

#include <stdlib.h>
#include <string.h>

enum {
	/*
	 * Up to WAITING_MIN sub-queries may wait for a target, and
	 * WAITING_PER_SLOT more for each slot that this gather may use.
	 */
	WAITING_PER_SLOT = 2,
	WAITING_MIN = 4,
	/*
	 * A sub-query may wait for 1/WAIT_DIVISOR of its time left, but at
	 * least for WAIT_MIN_MS.
	 */
	WAIT_DIVISOR = 4,
	WAIT_MIN_MS = 2,
};

void sub_query_remove(gather_t *gather, sub_query_t *sub)
{
	if (!sub->canceled)
		apr_hash_set(gather->sub_queries_by_key, &sub->key,
			     sizeof(sub->key), NULL);
	shared_message_unref(sub->shared);
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

void dispatch_refuse_all(gather_t *gather, target_t *target, mc_err_t reason)
{
	sub_query_t *sub;
	uint32_t i;

	for (i = 0; i < MC_CLASS_COUNT; i++)
		while ((sub = queue_pop(gather, target, (mc_request_class_t)i)))
			sub_query_refuse(gather, sub, reason);
}

static mc_limit_outcome_t limit_outcome(mc_err_t err)
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

static void release_slot(gather_t *gather, target_t *target, mc_err_t err,
			 mc_ms_t latency)
{
	mc_counters_t *counters = mc_shard_counters(gather->shard);
	mc_ms_t now = mc_shard_now(gather->shard);

	if (err == MC_ERR_TARGET_SHED)
		mc_counter_add(counters, MC_COUNTER_TARGET_SHEDS, 1);
	if (!target || !mc_limiter_release(target->limiter, limit_outcome(err),
					   latency, now))
		return;
	mc_counter_add(counters, MC_COUNTER_RAMPS, 1);
	mc_log(gather->log, MC_LOG_NOTICE, "limit",
	       "target appears cold, limit ramp started target=%s",
	       target->address);
}

static mc_err_t response_error(const mc_http_response_t *response)
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

/*
 * Ends one sub-query of a batch and releases its slot. Returns true if @result
 * is to be sent to its front.
 */
static bool finish_sub_query(gather_t *gather, const batch_t *batch, uint32_t i,
			     const mc_wire_result_t *result)
{
	target_t *target = mc_table_get(gather->targets, batch->target);
	sub_query_t *sub = mc_table_get(gather->sub_queries, batch->subs[i]);
	bool is_pending;

	release_slot(gather, target, result->err, result->latency);
	if (!sub)
		return false;
	is_pending = !sub->canceled;
	sub_query_remove(gather, sub);
	return is_pending;
}

/* Sends the results of a batch, one frame per front. */
static void send_results(gather_t *gather, const reply_route_t *routes,
			 mc_wire_result_t *results, uint32_t count)
{
	mc_wire_result_t group[GATHER_BATCH_MAX];
	bool sent[GATHER_BATCH_MAX] = { false };
	uint32_t i, j, found;

	for (i = 0; i < count; i++) {
		if (sent[i])
			continue;
		found = 0;
		for (j = i; j < count; j++) {
			if (memcmp(&routes[i], &routes[j], sizeof(routes[i])))
				continue;
			group[found++] = results[j];
			sent[j] = true;
		}
		gather_reply_results(gather, routes[i], group, found);
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
		entry = target_http_find_entry(answers, query->request,
					       sub->shard);
	if (entry)
		*hits = calloc(query->limit + 1, sizeof(**hits));
	if (*hits)
		target_http_decode_result(entry, result, *hits, query->limit);
}

static void finish_batch(gather_t *gather, const batch_t *batch,
			 const json_t *answers, mc_err_t err)
{
	mc_ms_t latency = mc_shard_now(gather->shard) - batch->sent_at;
	mc_wire_result_t results[GATHER_BATCH_MAX];
	reply_route_t routes[GATHER_BATCH_MAX] = { 0 };
	mc_hit_t *hits[GATHER_BATCH_MAX] = { NULL };
	mc_wire_result_t result;
	uint32_t result_count = 0;
	uint32_t i;

	for (i = 0; i < batch->count; i++) {
		sub_query_t *sub =
			mc_table_get(gather->sub_queries, batch->subs[i]);

		result = (mc_wire_result_t){ .err = err, .snapshot = "" };
		if (sub) {
			read_result(gather, sub, answers, err, &result,
				    &hits[i]);
			result.id = sub->key.id;
			routes[result_count] = sub->key.route;
		}
		result.latency = latency;
		if (finish_sub_query(gather, batch, i, &result))
			results[result_count++] = result;
	}
	send_results(gather, routes, results, result_count);
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

	gather->batches_in_flight--;
	if (!response->err && response->status == 200)
		root = json_loadb(response->body, response->body_size, 0, NULL);
	if (!root) {
		err = response_error(response);
		mc_counter_add(mc_shard_counters(gather->shard),
			       MC_COUNTER_TARGET_FAILURES, 1);
	}
	if (err == MC_ERR_DEADLINE_EXCEEDED && target)
		cancel_at_target(gather, target, batch->subs, batch->count);
	finish_batch(gather, batch, json_object_get(root, "answers"), err);
	if (target && root)
		report_apply(gather, target, root);
	else if (target && err == MC_ERR_NO_TARGET)
		report_record_failure(gather, target, true);
	json_decref(root);
	target = mc_table_get(gather->targets, batch->target);
	if (target)
		dispatch_schedule_flush(gather, target);
	mc_table_remove(gather->batches, batch->handle);
}

/* Ends a batch whose request failed before any byte of it was sent. */
static void fail_batch(gather_t *gather, batch_t *batch)
{
	finish_batch(gather, batch, NULL, MC_ERR_NO_TARGET);
	mc_table_remove(gather->batches, batch->handle);
}

static void send_batch(gather_t *gather, target_t *target, batch_t *batch,
		       mc_ms_t deadline)
{
	mc_counters_t *counters = mc_shard_counters(gather->shard);
	mc_ms_t now = mc_shard_now(gather->shard);
	char *body =
		target_http_encode_search(gather, batch->subs, batch->count);
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
	gather->batches_in_flight++;
	mc_counter_add(counters, MC_COUNTER_TARGET_REQUESTS, 1);
	mc_counter_add(counters, MC_COUNTER_TARGET_QUERIES, batch->count);
}

/* Takes the next sub-query from the queue if the limiter has a free slot. */
static sub_query_t *pop_sendable(gather_t *gather, target_t *target)
{
	const sub_query_t *sub = queue_peek(gather, target);

	if (!sub ||
	    !mc_limiter_acquire(target->limiter, mc_shard_now(gather->shard)))
		return NULL;
	return queue_pop(gather, target, sub->klass);
}

/* Sends one batch. Returns false if no sub-query can be sent now. */
static bool flush_once(gather_t *gather, target_t *target)
{
	mc_ms_t deadline = 0;
	mc_handle_t handle;
	sub_query_t *sub;
	batch_t *batch;
	void *slot;

	if (mc_table_add(gather->batches, &handle, &slot))
		return false;
	batch = slot;
	batch->gather = gather;
	batch->handle = handle;
	batch->target = target->handle;
	while (batch->count < GATHER_BATCH_MAX &&
	       (sub = pop_sendable(gather, target))) {
		sub->sent = true;
		if (sub->deadline > deadline)
			deadline = sub->deadline;
		batch->subs[batch->count++] = sub->handle;
	}
	if (!batch->count) {
		mc_table_remove(gather->batches, handle);
		return false;
	}
	send_batch(gather, target, batch, deadline);
	return true;
}

static void on_expiry_timer(mc_shard_t *shard, void *arg)
{
	target_t *target = arg;

	(void)shard;
	target->expiry_timer = MC_HANDLE_NONE;
	dispatch_schedule_flush(target->gather, target);
}

/* Schedules a flush for the time at which the next sub-query expires. */
static void schedule_expiry(gather_t *gather, target_t *target)
{
	mc_ms_t next = queue_next_expiry(gather, target);

	mc_timer_cancel(gather->shard, target->expiry_timer);
	target->expiry_timer = MC_HANDLE_NONE;
	if (next != MC_MS_NEVER)
		mc_timer_set(gather->shard, next, on_expiry_timer, target,
			     &target->expiry_timer);
}

static void flush_target(gather_t *gather, target_t *target)
{
	mc_handle_t handle = target->handle;
	bool sent = true;

	target->flush_pending = false;
	if (!gather_view_is_fresh(gather))
		dispatch_refuse_all(gather, target, MC_ERR_NOT_READY);
	while (sent && target) {
		sent = flush_once(gather, target);
		target = mc_table_get(gather->targets, handle);
	}
	if (!target)
		return;
	queue_expire(gather, target);
	schedule_expiry(gather, target);
}

static void flush_all(mc_shard_t *shard, void *arg)
{
	gather_t *gather = arg;
	uint32_t i;

	(void)shard;
	for (i = 0; i < gather->flush_count; i++) {
		target_t *target =
			mc_table_get(gather->targets, gather->flush_targets[i]);

		if (target)
			flush_target(gather, target);
	}
	gather->flush_count = 0;
}

void dispatch_schedule_flush(gather_t *gather, target_t *target)
{
	if (target->flush_pending || gather->flush_count == GATHER_TARGETS_MAX)
		return;
	target->flush_pending = true;
	if (!gather->flush_count)
		mc_shard_defer(gather->shard, flush_all, gather);
	gather->flush_targets[gather->flush_count++] = target->handle;
}

/*
 * Makes room for @sub in the queues, if need be by refusing a less urgent
 * sub-query. Returns false if there is no room.
 */
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

void dispatch_enqueue(gather_t *gather, sub_query_t *sub, target_t *target)
{
	mc_ms_t now = mc_shard_now(gather->shard);
	mc_ms_t wait = (sub->deadline - now) / WAIT_DIVISOR;

	sub->wait_until = now + (wait > WAIT_MIN_MS ? wait : WAIT_MIN_MS);
	if (!make_room(gather, target, sub)) {
		mc_counter_add(mc_shard_counters(gather->shard),
			       MC_COUNTER_LIMITED, 1);
		sub_query_refuse(gather, sub, MC_ERR_TARGET_LIMITED);
		return;
	}
	queue_push(gather, target, sub);
	dispatch_schedule_flush(gather, target);
}
