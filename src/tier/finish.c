/*
 * How a request ends: its line in the log, its counts, and the answer that its
 * caller gets.
 */
#include "finish.h"

#include <stdlib.h>
#include <string.h>

#include "timing.h"

const char *request_id(const request_t *request)
{
	return request->call.attempt_id ? request->call.attempt_id : "-";
}

static void part_unwait(part_t *part)
{
	tier_t *tier = part->request->tier;
	service_t *service = mc_table_get(tier->services, part->service);
	uint32_t rank = part->request->route->priority;

	if (part->state != PART_WAITS || !service)
		return;
	rank = rank < TIER_RANKS ? rank : TIER_RANKS - 1;
	TAILQ_REMOVE(&service->waiting[rank], part, entry);
	service->waiting_count--;
}

static void request_free(request_t *request)
{
	tier_t *tier = request->tier;
	try_t *sent;
	uint32_t i;

	while ((sent = TAILQ_FIRST(&request->tries)))
		send_cancel(tier, sent);
	for (i = 0; i < request->part_count; i++)
		part_unwait(&request->parts[i]);
	mc_timer_cancel(tier->shard, request->timer);
	mc_records_free(&request->records);
	free(request->signatures);
	free(request->latencies);
	free(request->parts);
	free(request->head);
	mc_routemap_unref(request->map);
	mc_table_remove(tier->requests, request->handle);
}

void requests_free(tier_t *tier)
{
	uint32_t cursor = 0;
	mc_handle_t handle;
	request_t *request;

	while (tier->requests &&
	       (request = mc_table_next(tier->requests, &cursor, &handle)))
		request_free(request);
}

/* One line for each request; successes are the first to be suppressed. */
static void log_end(const request_t *request, const char *outcome)
{
	tier_t *tier = request->tier;
	bool whole = !strcmp(outcome, "ok") && !request->coming.failed &&
		     request->coming.received == request->coming.total;

	mc_log(tier->log, whole ? MC_LOG_DEBUG : MC_LOG_INFO, "tier",
	       "request done id=%s route=%s map=%llu outcome=%s ms=%lld "
	       "left_ms=%lld parts=%u/%u failed=%u sends=%u hedges=%u",
	       request_id(request), request->route->name,
	       (unsigned long long)mc_routemap_version(request->map), outcome,
	       (long long)(mc_shard_now(tier->shard) - request->begun),
	       (long long)(request->end_at - mc_shard_now(tier->shard)),
	       request->coming.received, request->coming.total,
	       request->coming.failed, request->sends, request->hedges);
}

static void note_end(const request_t *request, metrics_outcome_t outcome)
{
	mc_counters_t *counters = mc_shard_counters(request->tier->shard);
	mc_ms_t time = mc_shard_now(request->tier->shard) - request->begun;

	if (request->book) {
		metrics_count(request->book->metrics, outcome);
		metrics_add(&request->book->metrics->total, time);
	}
	if (outcome != METRICS_WHOLE && outcome != METRICS_PARTIAL)
		return;
	mc_counter_add(counters, MC_COUNTER_ANSWERS, 1);
	mc_counters_record_latency(counters, time);
	if (outcome == METRICS_PARTIAL)
		mc_counter_add(counters, MC_COUNTER_ANSWERS_PARTIAL, 1);
}

/* Whether some target may have run a part of the request. */
bool end_may_have_run(const request_t *request)
{
	const try_t *sent;

	if (request->may_have_run)
		return true;
	for (sent = TAILQ_FIRST(&request->tries); sent;
	     sent = TAILQ_NEXT(sent, of_request)) {
		const link_t *link =
			mc_table_get(request->tier->links, sent->link);

		/* Nothing leaves before there is a connection. */
		if (!link || link->open)
			return true;
	}
	return false;
}

/* Ends with an error. What may have run is never told to be not run. */
void end_refused(request_t *request, mc_err_t reason)
{
	tier_t *tier = request->tier;
	mc_handle_t caller = request->caller;

	if (end_may_have_run(request) && mc_error_response(reason)->not_run)
		reason = MC_ERR_OUTCOME_UNKNOWN;
	log_end(request, mc_error_name(reason));
	note_end(request, mc_error_response(reason)->not_run ? METRICS_REFUSED
							     : METRICS_UNKNOWN);
	request_free(request);
	reply_refuse(tier, caller, reason);
}

void end_forwarded(request_t *request, const mc_h1_message_t *message,
		   bool served)
{
	log_end(request, served ? "ok" : "target_status");
	note_end(request, served ? METRICS_WHOLE : METRICS_FAILED_BY_TARGET);
	reply_forward(request, message);
	request_free(request);
}

/* How much later than it was due an answer at the goal has left. */
static void note_late(request_t *request)
{
	static const double most = 0.9;
	mc_ms_t now = mc_clock_now(mc_shard_clock(request->tier->shard));

	if (request->book && now >= request->goal_at &&
	    request->coming.received < request->coming.total)
		mc_quantile_add(&request->book->late, most,
				now - request->goal_at);
}

void end_merged(request_t *request)
{
	log_end(request, "ok");
	timing_learn_parts(request);
	note_end(request, request->coming.received < request->coming.total
				  ? METRICS_PARTIAL
				  : METRICS_WHOLE);
	reply_merged(request);
	note_late(request);
	request_free(request);
}

/* A single request's failure: the target's own answer, or ours. */
void end_failed(request_t *request, mc_retry_failure_t end, mc_err_t reason,
		const mc_h1_message_t *message,
		const mc_tier_response_info_t *reply)
{
	tier_t *tier = request->tier;

	if (end == MC_RETRY_FAILURE_ERROR && message && reply->signature &&
	    !tier->dialect->is_not_run_status(message->status) &&
	    message->status >= 300)
		end_forwarded(request, message, false);
	else
		end_refused(request, reason);
}

void end_gone(request_t *request)
{
	mc_counter_add(mc_shard_counters(request->tier->shard),
		       MC_COUNTER_CALLERS_GONE, 1);
	log_end(request, "caller_gone");
	note_end(request, METRICS_GONE);
	request_free(request);
}
