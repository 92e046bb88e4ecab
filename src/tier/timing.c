/*
 * Timing of requests: when to hedge a part without a response, when to respond
 * with the parts completed by the goal, and when the deadline expires.
 */
#include "timing.h"

#include <stdlib.h>

#include "extras.h"
#include "finish.h"
#include "goal.h"
#include "handover.h"
#include "mc/hedge_delay.h"
#include "waiting.h"

enum {
	/* Assumed if a caller announces no time left, or more, ms. */
	TIME_LEFT_MAX_MS = 600000,
	/* Interval at which owners of handed parts are looked at, ms. */
	OWNER_CHECK_MS = 25,
};

static mc_ms_t response_reserve(const request_t *request)
{
	const mc_routemap_route_t *route = request->route;
	const goal_response_t response = {
		.goal = route->latency_goal,
		.round_trip = request->message.round_trip,
		.lateness = request->stats
				    ? (mc_ms_t)request->stats->lateness.value
				    : 0,
		.parts = route->dispatch == MC_ROUTEMAP_FAN_OUT
				 ? route->destination_count
				 : 0,
		.records = route->records_max,
	};

	return goal_reserve(&response);
}

/* How much of its goal the request had used before it arrived; 0 if the goal
 * can't be met any more. */
static mc_ms_t elapsed_before_arrival(request_t *request, mc_ms_t first_byte)
{
	mc_ms_t elapsed = 0;

	if (request->stats)
		elapsed = mc_retry_elapsed_estimate(&request->stats->elapsed,
						    request->info.time_left,
						    first_byte);
	/* Connecting took one round trip, which the caller's remaining time may
	 * not include. */
	if (request->message.first_on_connection &&
	    elapsed < request->message.round_trip)
		elapsed = request->message.round_trip;
	return elapsed + response_reserve(request) <
			       request->route->latency_goal
		       ? elapsed
		       : 0;
}

void timing_set_deadlines(request_t *request, mc_ms_t first_byte)
{
	const mc_routemap_route_t *route = request->route;
	mc_ms_t time_left = request->info.time_left;

	if (time_left < 0 || time_left > TIME_LEFT_MAX_MS)
		time_left = TIME_LEFT_MAX_MS;
	if (time_left > route->timeout)
		time_left = route->timeout;
	request->started = first_byte;
	request->deadline = first_byte + time_left;
	if (request->tier->draining &&
	    request->deadline > request->tier->answer_by)
		request->deadline = request->tier->answer_by;
	request->goal_at = first_byte + route->latency_goal -
			   response_reserve(request) -
			   elapsed_before_arrival(request, first_byte);
}

void timing_limit_deadline(request_t *request)
{
	const tier_t *tier = request->tier;

	if (!tier->draining || request->has_ended ||
	    request->deadline <= tier->answer_by)
		return;
	request->deadline = tier->answer_by;
	timing_schedule(request);
}

mc_err_t timing_overdue_reason(const request_t *request)
{
	const tier_t *tier = request->tier;

	return tier->draining && request->deadline == tier->answer_by
		       ? MC_ERR_STOPPING
		       : MC_ERR_DEADLINE_EXCEEDED;
}

/* Quantiles tracked for the latencies of a route's parts. */
static const double median_quantile = 0.5;
static const double p95_quantile = 0.95;

void timing_record_latency(route_stats_t *stats, mc_ms_t latency)
{
	mc_quantile_add(&stats->median, median_quantile, latency);
	mc_quantile_add(&stats->p95, p95_quantile, latency);
}

static int compare_latencies(const void *a, const void *b)
{
	mc_ms_t first = *(const mc_ms_t *)a, second = *(const mc_ms_t *)b;

	return (first > second) - (first < second);
}

void timing_record_parts(request_t *request)
{
	route_stats_t *stats = request->stats;

	if (!stats || request->part_count == 1)
		return;
	qsort(request->latencies, request->latency_count,
	      sizeof(*request->latencies), compare_latencies);
	mc_quantile_add_batch(&stats->median, median_quantile,
			      request->latencies, request->latency_count,
			      request->part_count);
	mc_quantile_add_batch(&stats->p95, p95_quantile, request->latencies,
			      request->latency_count, request->part_count);
}

static mc_hedge_search_t search_progress(const request_t *request)
{
	return (mc_hedge_search_t){
		.total = request->progress.total,
		.received = request->progress.received,
		.half_latency = request->half_latency,
	};
}

static mc_ms_t hedge_delay(const request_t *request)
{
	const route_stats_t *stats = request->stats;
	mc_ms_t goal = request->route->latency_goal, usual;
	mc_hedge_search_t search;

	if (!stats || !request->idempotent)
		return MC_MS_NEVER;
	usual = mc_hedge_delay(&stats->median, &stats->p95, goal);
	search = search_progress(request);
	return mc_hedge_search_delay(usual, goal, &search);
}

static bool can_hedge(const part_t *part)
{
	return part->state == PART_SENT && part->in_flight == 1 &&
	       !part->hedged && part->attempts.runs < part->attempts.runs_max;
}

/* When a part is hedged if it is not done by then. */
static mc_ms_t hedge_time(const part_t *part, mc_ms_t delay)
{
	mc_ms_t at = part->sent_at + delay;

	if (HANDOVER_OWNER_HEDGES && part->group.generation &&
	    !handover_is_suspect(part))
		at += delay * (HANDOVER_DELAY_FACTOR - 1) + HANDOVER_DELAY_MS;

	return at > part->hedge_not_before ? at : part->hedge_not_before;
}

/* Tries again after another @delay if there is no budget or no target now. */
static void send_hedge(part_t *part, mc_ms_t delay)
{
	request_t *request = part->request;
	tier_t *tier = request->tier;
	const service_t *service = mc_table_get(tier->services, part->service);

	part->hedge_not_before = mc_shard_now(tier->shard) + delay;
	if (!service || waiting_goes_first(service, part))
		return;
	if (!extras_withdraw(part,
			     mc_hedge_keep(request->progress.received,
					   request->progress.total,
					   request->progress.coverage_min)))
		return;
	if (handover_ask_extra(part)) {
		part->hedged = true;
		request->hedges++;
		return;
	}
	if (!send_part(tier, part, true)) {
		extras_refund(part);
		return;
	}
	part->hedged = true;
	request->hedges++;
	if (request->is_handed)
		handover_report_hedged(part);
	else if (part->group.generation)
		handover_stop_extras(part);
	mc_counter_add(mc_shard_counters(tier->shard), MC_COUNTER_HEDGES, 1);
}

static void on_timer(mc_shard_t *shard, void *arg);

void timing_schedule(request_t *request)
{
	mc_shard_t *shard = request->tier->shard;
	mc_ms_t now = mc_shard_now(shard);
	mc_ms_t delay = hedge_delay(request);
	mc_ms_t at = request->deadline;
	uint32_t i;

	if (request->route->dispatch == MC_ROUTEMAP_FAN_OUT &&
	    now < request->goal_at && request->goal_at < at)
		at = request->goal_at;
	for (i = 0; delay != MC_MS_NEVER && i < request->part_count; i++) {
		const part_t *part = &request->parts[i];

		if (can_hedge(part) && hedge_time(part, delay) < at)
			at = hedge_time(part, delay);
	}
	if (request->handed && at > now + OWNER_CHECK_MS)
		at = now + OWNER_CHECK_MS;
	mc_timer_cancel(shard, request->timer);
	if (mc_timer_set(shard, at > now ? at : now + 1, on_timer, request,
			 &request->timer))
		mc_log(request->tier->log, MC_LOG_ERROR, "tier",
		       "request deadline not scheduled: timer failed id=%s: %s",
		       request_id(request), mc_last_error_message());
}

static void on_timer(mc_shard_t *shard, void *arg)
{
	request_t *request = arg;
	mc_ms_t now = mc_shard_now(shard);
	mc_ms_t delay = hedge_delay(request);
	uint32_t i;

	request->timer = MC_HANDLE_NONE;
	if (request->handed)
		handover_check_owners(request->tier);
	if (!request_finish_if_due(request))
		return;
	for (i = 0; delay != MC_MS_NEVER && i < request->part_count; i++)
		if (can_hedge(&request->parts[i]) &&
		    hedge_time(&request->parts[i], delay) <= now)
			send_hedge(&request->parts[i], delay);
	timing_schedule(request);
}

void timing_part_done(request_t *request)
{
	mc_hedge_search_t search = search_progress(request);

	if (!mc_hedge_search_changes(&search))
		return;
	if (!request->half_latency && request->latency_count)
		request->half_latency =
			request->latencies[request->latency_count - 1];
	timing_schedule(request);
}
