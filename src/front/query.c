/*
 * Runs a search: admits and plans it, merges results and retries failed
 * sub-queries. It is answered when all shards have a result, when no
 * sub-query is outstanding, or at its deadline, with the hits so far and with
 * the coverage that they have.
 */
#include "front_private.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
	/* The response is sent this long before the caller's deadline. */
	ANSWER_MARGIN_MS = 3,
	MESSAGE_SIZE = 128,
};

void query_free(front_t *front, query_t *query)
{
	mc_timer_cancel(front->shard, query->deadline_timer);
	mc_timer_cancel(front->shard, query->hedge_timer);
	mc_answer_destroy(query->answer);
	mc_view_unref(query->view);
	free(query->slots);
	free(query->text);
	mc_table_remove(front->queries, query->handle);
}

static void count_answer(front_t *front, mc_coverage_t coverage)
{
	mc_counters_t *counters = mc_shard_counters(front->shard);

	mc_counter_add(counters, MC_COUNTER_ANSWERS, 1);
	if (coverage.shards_answered < coverage.shards_total)
		mc_counter_add(counters, MC_COUNTER_ANSWERS_PARTIAL, 1);
	mc_counter_add(counters, MC_COUNTER_SHARDS_ANSWERED,
		       coverage.shards_answered);
	mc_counter_add(counters, MC_COUNTER_SHARDS_MISSING,
		       coverage.shards_total - coverage.shards_answered);
}

/*
 * Replies that the planned stop ends the search without a result. It may be
 * sent again in any case, as a search may run more than once.
 */
static void reply_stopping(front_t *front, const query_t *query,
			   const char *message)
{
	front_reply_error(
		front, query->exchange,
		mc_error_for_outcome(MC_ERR_STOPPING, query->may_have_run),
		message, mc_error_response(MC_ERR_STOPPING)->retry_after);
}

/* Replies with an error, as no shard has a result. */
static void reply_no_results(front_t *front, const query_t *query)
{
	mc_err_t err = query->last_error;
	char message[MESSAGE_SIZE];

	snprintf(message, sizeof(message),
		 "no shard returned a result, request %s", query->id);
	if (query->pending || !err)
		err = MC_ERR_DEADLINE_EXCEEDED;
	if (err == MC_ERR_DEADLINE_EXCEEDED &&
	    front_is_stop_deadline(front, query->deadline)) {
		reply_stopping(front, query, message);
		return;
	}
	if (query->may_have_run && mc_error_response(err)->not_run)
		err = MC_ERR_TARGET_FAILED;
	front_reply_error(front, query->exchange, err, message, -1);
}

static void reply_answer(front_t *front, const query_t *query,
			 mc_coverage_t coverage)
{
	char *text = answer_encode_json(query, coverage);

	if (!text) {
		front_reply_error(front, query->exchange, MC_ERR_NO_MEMORY,
				  "no memory for the response", -1);
		return;
	}
	front_reply_json(front, query->exchange, 200, text);
	free(text);
	count_answer(front, coverage);
}

void query_finish(front_t *front, query_t *query)
{
	mc_ms_t now = mc_shard_now(front->shard);
	mc_coverage_t coverage = mc_answer_coverage(query->answer);
	bool overloaded = query->target_limited ||
			  (query->pending && now >= query->deadline);

	mc_log(front->log, MC_LOG_INFO, "front",
	       "search finished request=%s shards=%u/%u ms=%lld", query->id,
	       coverage.shards_answered, coverage.shards_total,
	       (long long)(now - query->started_at));
	if (query->pending)
		query->may_have_run = true;
	if (coverage.shards_answered)
		reply_answer(front, query, coverage);
	else
		reply_no_results(front, query);
	mc_counters_record_latency(mc_shard_counters(front->shard),
				   now - query->started_at);
	mc_admission_leave(front->admission, query->klass,
			   now - query->started_at, overloaded, now);
	plan_cancel(front, query);
	query_free(front, query);
}

static void on_deadline(mc_shard_t *shard, void *arg)
{
	query_t *query = arg;
	mc_err_t reason = MC_ERR_DEADLINE_EXCEEDED;
	uint32_t i;

	(void)shard;
	query->deadline_timer = MC_HANDLE_NONE;
	if (front_is_stop_deadline(query->front, query->deadline))
		reason = mc_error_for_outcome(MC_ERR_STOPPING, true);
	for (i = 0; i < query->slot_count; i++)
		if (query->slots[i].outstanding)
			mc_answer_set_missing_reason(query->answer, i, reason);
	query_finish(query->front, query);
}

static void set_deadline_timer(query_t *query)
{
	mc_timer_set(query->front->shard, query->deadline, on_deadline, query,
		     &query->deadline_timer);
}

void query_limit_deadline(query_t *query)
{
	mc_ms_t deadline = front_limit_deadline(query->front, query->deadline);

	if (deadline == query->deadline)
		return;
	query->deadline = deadline;
	mc_timer_cancel(query->front->shard, query->deadline_timer);
	set_deadline_timer(query);
}

static query_t *create_query(front_t *front, mc_handle_t exchange,
			     search_request_t *request)
{
	mc_ms_t now = mc_shard_now(front->shard);
	mc_handle_t handle;
	query_t *query;
	void *slot;

	if (mc_table_add(front->queries, &handle, &slot))
		return NULL;
	query = slot;
	query->front = front;
	query->handle = handle;
	query->exchange = exchange;
	front_make_request_id(front, query->id);
	query->hash = mc_hash_string(query->id);
	query->klass = request->klass;
	query->started_at = now;
	query->deadline = front_limit_deadline(front, now + request->time_left -
							      ANSWER_MARGIN_MS);
	query->limit = request->limit;
	query->text = request->text;
	request->text = NULL;
	query->view = mc_view_ref(front->view);
	return query;
}

static void send_query(front_t *front, query_t *query)
{
	mc_handle_t handle = query->handle;

	set_deadline_timer(query);
	plan_send_all(front, query);
	query = mc_table_get(front->queries, handle);
	if (!query)
		return;
	if (!query->pending)
		query_finish(front, query);
	else
		hedge_arm_timer(front, query);
}

static void refuse_request(front_t *front, mc_handle_t exchange, mc_err_t err,
			   mc_ms_t retry_after)
{
	if (err == MC_ERR_OVERLOADED)
		mc_counter_add(mc_shard_counters(front->shard),
			       MC_COUNTER_REFUSALS_OVERLOAD, 1);
	front_reply_error(front, exchange, err, mc_last_error_message(),
			  retry_after);
}

void query_start(front_t *front, mc_handle_t exchange,
		 search_request_t *request)
{
	mc_ms_t now = mc_shard_now(front->shard);
	mc_ms_t retry_after = -1;
	query_t *query;
	mc_err_t err;

	mc_fail(MC_OK, "refused by admission control");
	err = mc_admission_enter(front->admission, request->klass,
				 request->time_left, now, &retry_after);
	if (err) {
		refuse_request(front, exchange, err, retry_after);
		return;
	}
	query = create_query(front, exchange, request);
	if (!query) {
		mc_admission_leave(front->admission, request->klass, 0, true,
				   now);
		refuse_request(front, exchange, MC_ERR_OVERLOADED, -1);
		return;
	}
	mc_fail(MC_OK, "no target can serve the request");
	err = plan_parts(front, query, request);
	if (!err) {
		send_query(front, query);
		return;
	}
	refuse_request(front, exchange, err, -1);
	mc_admission_leave(front->admission, query->klass, 0, false, now);
	query_free(front, query);
}

/* Merges a result. Returns MC_OK, or the reason why it is not used. */
static mc_err_t merge_result(front_t *front, query_t *query,
			     const sub_query_t *sub,
			     const mc_wire_result_t *result)
{
	mc_ms_t now = mc_shard_now(front->shard);
	mc_answer_merge_result_t merged;

	if (result->err)
		return result->err;
	merged = mc_answer_merge(query->answer, sub->slot, result->snapshot,
				 result->hits, result->hit_count);
	if (merged == MC_MERGE_WRONG_SNAPSHOT) {
		mc_counter_add(mc_shard_counters(front->shard),
			       MC_COUNTER_WRONG_SNAPSHOT, 1);
		return MC_ERR_WRONG_SNAPSHOT;
	}
	if (merged == MC_MERGE_ACCEPTED)
		latency_stats_add(front, query, sub->slot, now - sub->sent_at);
	return MC_OK;
}

static void record_failure(front_t *front, query_t *query,
			   const sub_query_t *sub, mc_err_t err)
{
	mc_ms_t now = mc_shard_now(front->shard);

	if (!mc_error_response(err)->not_run)
		query->may_have_run = true;
	if (err == MC_ERR_TARGET_LIMITED || err == MC_ERR_TARGET_SHED)
		query->target_limited = true;
	query->last_error = err;
	mc_answer_set_missing_reason(query->answer, sub->slot, err);
	if (sub->router_epoch != front->router_epoch)
		return;
	if (err == MC_ERR_TARGET_DRAINING)
		mc_router_set_target_state(front->router, sub->choice.target,
					   MC_ROUTE_TARGET_DRAINING, now);
	else if (err == MC_ERR_TARGET_LIMITED || err == MC_ERR_TARGET_SHED)
		mc_router_set_target_state(front->router, sub->choice.target,
					   MC_ROUTE_TARGET_BUSY, now);
	else if (err == MC_ERR_NO_TARGET || err == MC_ERR_TARGET_FAILED)
		mc_router_set_target_state(front->router, sub->choice.target,
					   MC_ROUTE_TARGET_FAILED, now);
}

/*
 * Retries a shard whose sub-queries have all failed. A sub-query that certainly
 * did not reach a target adds no load to targets when it is sent again, so it
 * needs no budget. One that its target shed did reach it and needs budget.
 */
static void retry_shard(front_t *front, query_t *query, uint32_t slot,
			mc_err_t err)
{
	mc_counters_t *counters = mc_shard_counters(front->shard);
	mc_ms_t left = query->deadline - mc_shard_now(front->shard);
	bool needs_budget =
		!mc_error_response(err)->not_run || err == MC_ERR_TARGET_SHED;

	if (!front->retry_enabled ||
	    !mc_retry_is_eligible(err, query->slots[slot].attempts, left))
		return;
	if (needs_budget && !mc_retry_budget_withdraw(&front->retry_budget)) {
		mc_counter_add(counters, MC_COUNTER_RETRIES_DENIED, 1);
		return;
	}
	if (plan_send_extra(front, query, slot, false))
		mc_counter_add(counters, MC_COUNTER_RETRIES, 1);
	else if (needs_budget)
		mc_retry_budget_refund(&front->retry_budget);
}

void query_handle_result(front_t *front, sub_query_t *sub,
			 const mc_wire_result_t *result)
{
	mc_handle_t handle = sub->query;
	query_t *query = mc_table_get(front->queries, handle);
	mc_ms_t latency = mc_shard_now(front->shard) - sub->sent_at;
	uint32_t slot = sub->slot;
	bool had_result;
	mc_err_t err;

	if (!query) {
		sub_query_finish(front, sub, -1);
		return;
	}
	had_result = mc_answer_has_result(query->answer, slot);
	err = merge_result(front, query, sub, result);
	outcomes_add(front, query->view, sub->choice.target, FRONT_ROUTE_SEARCH,
		     err, latency);
	if (err)
		record_failure(front, query, sub, err);
	sub_query_finish(front, sub, err ? -1 : latency);
	query->slots[slot].outstanding--;
	if (!had_result && (!err || !query->slots[slot].outstanding))
		query->pending--;
	if (err && !had_result && !query->slots[slot].outstanding)
		retry_shard(front, query, slot, err);
	query = mc_table_get(front->queries, handle);
	if (query && !query->pending)
		query_finish(front, query);
}
