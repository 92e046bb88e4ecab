/*
 * Ends a request: logs it, updates the metrics, and responds to its caller. A
 * request ends once. It is taken apart before its caller gets the response, as
 * that may start the caller's next request, and its memory is freed at the end
 * of the shard's turn, so that functions up the stack may still hold it.
 */
#include "finish.h"

#include <stdlib.h>
#include <string.h>

#include "goal.h"
#include "handover.h"
#include "timing.h"
#include "waiting.h"

const char *request_id(const request_t *request)
{
	return request->info.attempt_id ? request->info.attempt_id : "-";
}

static void dequeue_part(part_t *part)
{
	tier_t *tier = part->request->tier;
	service_t *service = mc_table_get(tier->services, part->service);

	if (part->state == PART_WAITING && service)
		waiting_remove(service, part);
}

/* Marks the end of a request; false if it has ended before. */
static bool begin_end(request_t *request)
{
	if (request->has_ended)
		return false;
	request->has_ended = true;
	return true;
}

/* Ends a request's attempts, with @end_attempt, and takes its parts out of the
 * queues. */
static void end_work(request_t *request,
		     void (*end_attempt)(tier_t *tier, attempt_t *attempt))
{
	tier_t *tier = request->tier;
	attempt_t *attempt;
	uint32_t i;

	while ((attempt = TAILQ_FIRST(&request->attempts)))
		end_attempt(tier, attempt);
	for (i = 0; i < request->part_count; i++)
		dequeue_part(&request->parts[i]);
	mc_timer_cancel(tier->shard, request->timer);
}

static void request_free(request_t *request)
{
	tier_t *tier = request->tier;

	mc_records_free(&request->records);
	free(request->handed_parts);
	free(request->handed_text);
	free(request->signatures);
	free(request->latencies);
	free(request->parts);
	free(request->head);
	mc_routemap_unref(request->map);
	mc_table_remove(tier->requests, request->handle);
}

static void free_ended(mc_shard_t *shard, void *arg)
{
	tier_t *tier = arg;
	request_t *request;

	(void)shard;
	tier->is_freeing = false;
	while ((request = TAILQ_FIRST(&tier->ended))) {
		TAILQ_REMOVE(&tier->ended, request, ended_entry);
		request_free(request);
	}
}

/* Ends the work for a request and lets its memory go at the end of the turn. */
static void close_request(request_t *request,
			  void (*end_attempt)(tier_t *tier, attempt_t *attempt))
{
	tier_t *tier = request->tier;

	handover_cancel(request, end_attempt == send_cancel);
	end_work(request, end_attempt);
	TAILQ_INSERT_TAIL(&tier->ended, request, ended_entry);
	if (tier->is_freeing)
		return;
	tier->is_freeing = !mc_shard_defer(tier->shard, free_ended, tier);
	if (!tier->is_freeing)
		mc_log(tier->log, MC_LOG_ERROR, "tier",
		       "ended requests not freed yet: %s",
		       mc_last_error_message());
}

/* Outcome of a request that the process leaves without a response. */
static const char outcome_unanswered[] = "unanswered";

/* Logs one line per request. Complete successes are logged at debug level, as
 * they are the first lines to suppress. */
static void log_outcome(const request_t *request, const char *outcome)
{
	tier_t *tier = request->tier;
	bool complete = !strcmp(outcome, "ok") && !request->progress.failed &&
			request->progress.received == request->progress.total;
	mc_log_level_t level = complete ? MC_LOG_DEBUG : MC_LOG_INFO;

	if (!strcmp(outcome, outcome_unanswered))
		level = MC_LOG_WARNING;
	mc_log(tier->log, level, "tier",
	       "request finished id=%s route=%s map=%llu outcome=%s ms=%lld "
	       "left_ms=%lld parts=%u/%u failed=%u sends=%u hedges=%u "
	       "denied=%u",
	       request_id(request), request->route->name,
	       (unsigned long long)mc_routemap_version(request->map), outcome,
	       (long long)(mc_shard_now(tier->shard) - request->started),
	       (long long)(request->deadline - mc_shard_now(tier->shard)),
	       request->progress.received, request->progress.total,
	       request->progress.failed, request->sends, request->hedges,
	       request->extras_denied);
}

static void count_outcome(const request_t *request, metrics_outcome_t outcome)
{
	mc_counters_t *counters = mc_shard_counters(request->tier->shard);
	mc_ms_t time = mc_shard_now(request->tier->shard) - request->started;

	if (request->stats) {
		metrics_count(request->stats->metrics, outcome);
		metrics_add(&request->stats->metrics->total, time);
	}
	if (outcome != METRICS_COMPLETE && outcome != METRICS_PARTIAL)
		return;
	mc_counter_add(counters, MC_COUNTER_ANSWERS, 1);
	mc_counters_record_latency(counters, time);
	if (outcome == METRICS_PARTIAL)
		mc_counter_add(counters, MC_COUNTER_ANSWERS_PARTIAL, 1);
}

bool request_may_have_run(const request_t *request)
{
	const attempt_t *attempt;

	if (request->may_have_run || request->handed)
		return true;
	for (attempt = TAILQ_FIRST(&request->attempts); attempt;
	     attempt = TAILQ_NEXT(attempt, request_entry)) {
		const conn_t *conn =
			mc_table_get(request->tier->conns, attempt->conn);

		/* Nothing is sent before the connection is established. */
		if (!conn || conn->is_open)
			return true;
	}
	return false;
}

void finish_handed(request_t *request, bool gone)
{
	if (!begin_end(request))
		return;
	log_outcome(request, gone ? "canceled" : "ok");
	timing_record_parts(request);
	close_request(request, gone ? send_cancel : send_release);
}

void finish_error(request_t *request, mc_err_t reason)
{
	if (request->is_handed) {
		handover_report_rest(request, reason);
		finish_handed(request, true);
		return;
	}
	if (!begin_end(request))
		return;
	reason = mc_error_for_outcome(reason, request_may_have_run(request));
	log_outcome(request, mc_error_name(reason));
	count_outcome(request, mc_error_response(reason)->not_run
				       ? METRICS_REFUSED
				       : METRICS_UNKNOWN);
	close_request(request, send_cancel);
	reply_error(request->tier, request->caller, reason,
		    request->retry_after);
}

void finish_forward(request_t *request, const mc_h1_message_t *message,
		    bool success)
{
	if (!begin_end(request))
		return;
	log_outcome(request, success ? "ok" : "target_status");
	count_outcome(request,
		      success ? METRICS_COMPLETE : METRICS_FAILED_BY_TARGET);
	close_request(request, send_cancel);
	reply_forward(request, message);
}

/* Records by how much an incomplete response due at the goal was late. */
static void record_lateness(request_t *request)
{
	static const double late_quantile = 0.9;
	mc_ms_t now = mc_clock_now(mc_shard_clock(request->tier->shard));

	if (request->stats && now >= request->goal_at &&
	    request->progress.received < request->progress.total &&
	    goal_was_decisive(&request->progress))
		mc_quantile_add(&request->stats->lateness, late_quantile,
				now - request->goal_at);
}

void finish_merge(request_t *request)
{
	if (!begin_end(request))
		return;
	log_outcome(request, "ok");
	timing_record_parts(request);
	count_outcome(request,
		      request->progress.received < request->progress.total
			      ? METRICS_PARTIAL
			      : METRICS_COMPLETE);
	close_request(request, send_release);
	reply_merge(request);
	record_lateness(request);
}

/* The target's response is forwarded if it is signed and its status is neither
 * a success nor one that promises that the request has not run. */
void finish_failure(request_t *request, mc_retry_failure_t failure,
		    mc_err_t reason, const mc_h1_message_t *message,
		    const mc_tier_response_info_t *response)
{
	tier_t *tier = request->tier;

	if (failure == MC_RETRY_FAILURE_ERROR && message &&
	    response->signature &&
	    !tier->protocol->is_not_run_status(message->status) &&
	    message->status >= 300)
		finish_forward(request, message, false);
	else
		finish_error(request, reason);
}

void finish_caller_gone(request_t *request)
{
	if (!begin_end(request))
		return;
	mc_counter_add(mc_shard_counters(request->tier->shard),
		       MC_COUNTER_CALLERS_GONE, 1);
	log_outcome(request, "caller_gone");
	count_outcome(request, METRICS_CALLER_GONE);
	close_request(request, send_cancel);
}

void requests_free(tier_t *tier)
{
	uint32_t cursor = 0;
	mc_handle_t handle;
	request_t *request;

	while (tier->requests &&
	       (request = mc_table_next(tier->requests, &cursor, &handle))) {
		if (begin_end(request)) {
			log_outcome(request, outcome_unanswered);
			end_work(request, send_cancel);
		}
		request_free(request);
	}
}
