/*
 * When something is due for a request: a second target for a part that is
 * still out, the answer at its goal, and its end.
 */
#include "timing.h"

#include <stdlib.h>

#include "finish.h"
#include "mc/hedge_delay.h"

enum {
	/* Request and answer are on their way so long together where the
	 * connection does not tell, ms. */
	TRAVEL_UNKNOWN_MS = 6,
	/* Writing an answer takes so long, ms. */
	GOAL_WRITE_MS = 2,
	/* Share of the goal that may be given up to arrive within it, 1/n. */
	GOAL_RESERVE_PART = 3,
	TIME_LEFT_MAX_MS = 600000,
};

/*
 * How long before the goal an answer is due: what it takes on its way, and what
 * this instance takes to get to it and write it while it is busy.
 */
static mc_ms_t reserve_of(const request_t *request)
{
	mc_ms_t most = request->route->latency_goal / GOAL_RESERVE_PART;
	mc_ms_t travel = request->message.round_trip;
	mc_ms_t reserve = GOAL_WRITE_MS + (travel ? travel : TRAVEL_UNKNOWN_MS);

	if (request->book)
		reserve += (mc_ms_t)request->book->late.value;
	return reserve < most ? reserve : most;
}

/* What the request had used of its goal; 0 where that is out of reach. */
static mc_ms_t spent_before(request_t *request, mc_ms_t first_byte)
{
	mc_ms_t spent = 0;

	if (request->book)
		spent = mc_retry_elapsed_estimate(&request->book->spent,
						  request->call.time_left,
						  first_byte);
	/* To connect took a round trip, whatever the caller counts. */
	if (request->message.first_on_connection &&
	    spent < request->message.round_trip)
		spent = request->message.round_trip;
	return spent + reserve_of(request) < request->route->latency_goal
		       ? spent
		       : 0;
}

void timing_set(request_t *request, mc_ms_t first_byte)
{
	const mc_routemap_route_t *route = request->route;
	mc_ms_t left = request->call.time_left;

	if (left < 0 || left > TIME_LEFT_MAX_MS)
		left = TIME_LEFT_MAX_MS;
	if (left > route->timeout)
		left = route->timeout;
	request->begun = first_byte;
	request->end_at = first_byte + left;
	request->goal_at = first_byte + route->latency_goal -
			   reserve_of(request) -
			   spent_before(request, first_byte);
}

/* Quantiles that are known of a route's parts. */
static const double usual_quantile = 0.5;
static const double high_quantile = 0.95;

void timing_learn(book_t *book, mc_ms_t latency)
{
	mc_quantile_add(&book->usual, usual_quantile, latency);
	mc_quantile_add(&book->high, high_quantile, latency);
}

static int compare_latencies(const void *a, const void *b)
{
	mc_ms_t first = *(const mc_ms_t *)a, second = *(const mc_ms_t *)b;

	return (first > second) - (first < second);
}

void timing_learn_parts(request_t *request)
{
	book_t *book = request->book;

	if (!book || request->part_count == 1)
		return;
	qsort(request->latencies, request->latency_count,
	      sizeof(*request->latencies), compare_latencies);
	mc_quantile_add_batch(&book->usual, usual_quantile, request->latencies,
			      request->latency_count, request->part_count);
	mc_quantile_add_batch(&book->high, high_quantile, request->latencies,
			      request->latency_count, request->part_count);
}

static mc_ms_t hedge_time(const request_t *request)
{
	const book_t *book = request->book;

	if (!book || !request->repeatable)
		return MC_MS_NEVER;
	return mc_hedge_delay(&book->usual, &book->high,
			      request->route->latency_goal);
}

static bool can_hedge(const part_t *part)
{
	return part->state == PART_SENT && part->open == 1 && !part->hedged &&
	       part->tries.runs < part->tries.runs_max;
}

static void hedge(part_t *part)
{
	tier_t *tier = part->request->tier;
	service_t *service = mc_table_get(tier->services, part->service);

	part->hedged = true;
	if (!service)
		return;
	if (!mc_retry_window_withdraw(&service->extras, &tier->extras,
				      mc_shard_now(tier->shard))) {
		mc_counter_add(mc_shard_counters(tier->shard),
			       MC_COUNTER_RETRIES_DENIED, 1);
		return;
	}
	if (!send_part(tier, part, true)) {
		mc_retry_window_refund(&service->extras);
		return;
	}
	part->request->hedges++;
	mc_counter_add(mc_shard_counters(tier->shard), MC_COUNTER_HEDGES, 1);
}

static void check(mc_shard_t *shard, void *arg);

/* Sets the timer for what comes first: a hedge, the goal, or the end. */
void timing_schedule(request_t *request)
{
	mc_shard_t *shard = request->tier->shard;
	mc_ms_t now = mc_shard_now(shard);
	mc_ms_t delay = hedge_time(request);
	mc_ms_t at = request->end_at;
	uint32_t i;

	if (request->route->dispatch == MC_ROUTEMAP_FAN_OUT &&
	    now < request->goal_at && request->goal_at < at)
		at = request->goal_at;
	for (i = 0; delay != MC_MS_NEVER && i < request->part_count; i++) {
		const part_t *part = &request->parts[i];

		if (can_hedge(part) && part->sent_at + delay < at)
			at = part->sent_at + delay;
	}
	mc_timer_cancel(shard, request->timer);
	if (mc_timer_set(shard, at > now ? at : now + 1, check, request,
			 &request->timer))
		mc_log(request->tier->log, MC_LOG_ERROR, "tier",
		       "request without a timer id=%s: %s", request_id(request),
		       mc_last_error_message());
}

static void check(mc_shard_t *shard, void *arg)
{
	request_t *request = arg;
	mc_ms_t now = mc_shard_now(shard);
	mc_ms_t delay = hedge_time(request);
	uint32_t i;

	if (!request_progress(request))
		return;
	for (i = 0; delay != MC_MS_NEVER && i < request->part_count; i++)
		if (can_hedge(&request->parts[i]) &&
		    request->parts[i].sent_at + delay <= now)
			hedge(&request->parts[i]);
	timing_schedule(request);
}
