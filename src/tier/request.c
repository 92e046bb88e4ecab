/*
 * A request's life: it begins with its parts, each of which is sent or waits;
 * parts come in, fail and are sent again; it ends with one answer, or without
 * one when its caller has gone.
 */
#include "tier_private.h"

#include <stdlib.h>
#include <string.h>

#include "head.h"
#include "mc/hedge_time.h"
#include "reach.h"

enum {
	/* Request and answer are on their way so long together, ms. */
	GOAL_TRAVEL_MS = 8,
	/* Share of the goal that may be given up to arrive within it, 1/n. */
	GOAL_RESERVE_PART = 3,
	TIME_LEFT_MAX_MS = 600000,
};

/* Step by which the point for choices by weight moves: the golden ratio. */
static const double spread_step = 0.6180339887498949;

static const char *id_of(const request_t *request)
{
	return request->call.id ? request->call.id : "-";
}

static void part_unwait(part_t *part)
{
	tier_t *tier = part->request->tier;
	service_t *service = mc_table_get(tier->services, part->service);
	uint32_t rank = part->request->route->rank;

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
	free(request->parts);
	free(request->head);
	mc_map_unref(request->map);
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
	bool whole = !strcmp(outcome, "ok") && !request->coming.out &&
		     request->coming.in == request->coming.total;

	mc_log(tier->log, whole ? MC_LOG_DEBUG : MC_LOG_INFO, "tier",
	       "request done id=%s route=%s map=%llu outcome=%s ms=%lld "
	       "left_ms=%lld parts=%u/%u failed=%u sends=%u hedges=%u",
	       id_of(request), request->route->name,
	       (unsigned long long)mc_map_version(request->map), outcome,
	       (long long)(mc_shard_now(tier->shard) - request->begun),
	       (long long)(request->end_at - mc_shard_now(tier->shard)),
	       request->coming.in, request->coming.total, request->coming.out,
	       request->sends, request->hedges);
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
	mc_count(counters, MC_COUNTER_ANSWERS, 1);
	mc_count_latency(counters, time);
	if (outcome == METRICS_PARTIAL)
		mc_count(counters, MC_COUNTER_ANSWERS_PARTIAL, 1);
}

/* Whether some target may have run a part of the request. */
static bool may_have_run(const request_t *request)
{
	const try_t *sent;

	if (request->may_have_run)
		return true;
	TAILQ_FOREACH(sent, &request->tries, of_request)
	{
		const link_t *link =
			mc_table_get(request->tier->links, sent->link);

		/* Nothing leaves before there is a connection. */
		if (!link || link->open)
			return true;
	}
	return false;
}

/* Ends with an error. What may have run is never told to be not run. */
static void end_refused(request_t *request, mc_err_t reason)
{
	tier_t *tier = request->tier;
	mc_handle_t caller = request->caller;

	if (may_have_run(request) && mc_error_answer(reason)->not_run)
		reason = MC_ERR_OUTCOME_UNKNOWN;
	log_end(request, mc_error_name(reason));
	note_end(request, mc_error_answer(reason)->not_run ? METRICS_REFUSED
							   : METRICS_UNKNOWN);
	request_free(request);
	reply_refuse(tier, caller, reason);
}

static void end_forwarded(request_t *request, const mc_h1_message_t *message,
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
	    request->coming.in < request->coming.total)
		mc_quantile_add(&request->book->late, most,
				now - request->goal_at);
}

static void end_merged(request_t *request)
{
	log_end(request, "ok");
	note_end(request, request->coming.in < request->coming.total
				  ? METRICS_PARTIAL
				  : METRICS_WHOLE);
	reply_merged(request);
	note_late(request);
	request_free(request);
}

/* Returns false when the request has ended. */
static bool progress(request_t *request)
{
	mc_ms_t now = mc_shard_now(request->tier->shard);
	bool past_end = now >= request->end_at;
	mc_err_t reason =
		past_end ? MC_ERR_DEADLINE_EXCEEDED : MC_ERR_TARGET_FAILED;

	if (request->route->shape == MC_MAP_ONE) {
		if (!past_end)
			return true;
		end_refused(request, reason);
		return false;
	}
	switch (mc_records_due(&request->coming, now >= request->goal_at,
			       past_end)) {
	case MC_DUE_WAIT:
		return true;
	case MC_DUE_ANSWER:
		end_merged(request);
		return false;
	case MC_DUE_FAIL:
		break;
	}
	if (!may_have_run(request) && !past_end)
		reason = MC_ERR_NO_TARGET;
	end_refused(request, reason);
	return false;
}

static mc_ms_t hedge_time(const request_t *request)
{
	const book_t *book = request->book;

	if (!book || !request->repeatable)
		return MC_MS_NEVER;
	return mc_hedge_time(&book->usual, &book->high, request->route->goal);
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
	if (!mc_budget_spend(&service->extras)) {
		mc_count(mc_shard_counters(tier->shard),
			 MC_COUNTER_RETRIES_DENIED, 1);
		return;
	}
	if (!send_part(tier, part, true)) {
		mc_budget_refund(&service->extras);
		return;
	}
	part->request->hedges++;
	mc_count(mc_shard_counters(tier->shard), MC_COUNTER_HEDGES, 1);
}

static void check(mc_shard_t *shard, void *arg);

/* Sets the timer for what comes first: a hedge, the goal, or the end. */
static void schedule(request_t *request)
{
	mc_shard_t *shard = request->tier->shard;
	mc_ms_t now = mc_shard_now(shard);
	mc_ms_t delay = hedge_time(request);
	mc_ms_t at = request->end_at;
	uint32_t i;

	if (request->route->shape == MC_MAP_ALL && now < request->goal_at &&
	    request->goal_at < at)
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
		       "request without a timer id=%s: %s", id_of(request),
		       mc_last_message());
}

static void check(mc_shard_t *shard, void *arg)
{
	request_t *request = arg;
	mc_ms_t now = mc_shard_now(shard);
	mc_ms_t delay = hedge_time(request);
	uint32_t i;

	if (!progress(request))
		return;
	for (i = 0; delay != MC_MS_NEVER && i < request->part_count; i++)
		if (can_hedge(&request->parts[i]) &&
		    request->parts[i].sent_at + delay <= now)
			hedge(&request->parts[i]);
	schedule(request);
}

/* Sends the part now, or lets it wait for room at its service's targets. */
static void part_go(part_t *part, bool extra)
{
	tier_t *tier = part->request->tier;
	service_t *service = mc_table_get(tier->services, part->service);
	uint32_t rank = part->request->route->rank;

	if (send_part(tier, part, extra))
		return;
	if (!service || !choice_any(tier, part)) {
		part->state = PART_OUT;
		part->reason = MC_ERR_NO_TARGET;
		part->request->coming.out++;
		return;
	}
	rank = rank < TIER_RANKS ? rank : TIER_RANKS - 1;
	part->state = PART_WAITS;
	part->waits_since = mc_shard_now(tier->shard);
	TAILQ_INSERT_TAIL(&service->waiting[rank], part, entry);
	service->waiting_count++;
	if (service->waiting_count == 1)
		service_wake(tier, service);
}

void request_part_in(request_t *request, part_t *part,
		     const mc_h1_message_t *message, const mc_reply_t *reply)
{
	try_t *sent, *next;

	request->may_have_run = true;
	part->state = PART_IN;
	request->coming.in++;
	if (request->route->shape == MC_MAP_ONE) {
		end_forwarded(request, message, true);
		return;
	}
	for (sent = TAILQ_FIRST(&request->tries); sent; sent = next) {
		next = TAILQ_NEXT(sent, of_request);
		if (sent->part == part->index)
			send_cancel(request->tier, sent);
	}
	if (mc_records_add(&request->records, message->body,
			   message->body_size) ||
	    reply_add_signature(request, reply->signature)) {
		end_refused(request, MC_ERR_NO_MEMORY);
		return;
	}
	progress(request);
}

/* A single request's failure: the target's own answer, or ours. */
static void end_failed(request_t *request, mc_end_t end, mc_err_t reason,
		       const mc_h1_message_t *message, const mc_reply_t *reply)
{
	tier_t *tier = request->tier;

	if (end == MC_END_FAILED && message && reply->signature &&
	    !tier->dialect->is_promise(message->status) &&
	    message->status >= 300)
		end_forwarded(request, message, false);
	else
		end_refused(request, reason);
}

static bool pay(const part_t *part)
{
	tier_t *tier = part->request->tier;
	service_t *service = mc_table_get(tier->services, part->service);

	if (service && mc_budget_spend(&service->extras))
		return true;
	mc_count(mc_shard_counters(tier->shard), MC_COUNTER_RETRIES_DENIED, 1);
	return false;
}

static void log_failed(const request_t *request, const part_t *part,
		       mc_err_t reason, const mc_h1_message_t *message,
		       const char *next)
{
	const service_t *service =
		mc_table_get(request->tier->services, part->service);

	mc_log(request->tier->log, MC_LOG_INFO, "tier",
	       "part failed id=%s service=%s reason=%s status=%d sends=%u "
	       "runs=%u next=%s",
	       id_of(request), service ? service->name : "-",
	       mc_error_name(reason), message ? message->status : 0,
	       part->tries.sends, part->tries.runs, next);
}

void request_part_failed(request_t *request, part_t *part, mc_end_t end,
			 mc_err_t reason, const mc_h1_message_t *message,
			 const mc_reply_t *reply)
{
	mc_again_t again;

	if (mc_end_ran(end))
		request->may_have_run = true;
	else
		part->tries.runs--;
	if (part->open || part->state != PART_SENT)
		return;
	again = mc_again(&part->tries, end);
	if (mc_shard_now(request->tier->shard) >= request->end_at)
		again = MC_AGAIN_NO;
	if (again == MC_AGAIN_PAID && !pay(part))
		again = MC_AGAIN_NO;
	log_failed(request, part, reason, message,
		   again == MC_AGAIN_NO ? "give_up" : "again");
	if (again != MC_AGAIN_NO) {
		mc_count(mc_shard_counters(request->tier->shard),
			 MC_COUNTER_RETRIES, 1);
		part_go(part, again == MC_AGAIN_PAID);
	} else {
		part->state = PART_OUT;
		part->reason = reason;
		request->coming.out++;
	}
	if (part->state == PART_OUT && request->route->shape == MC_MAP_ONE)
		end_failed(request, end, reason, message, reply);
	else if (progress(request))
		schedule(request);
}

static mc_err_t make_parts(request_t *request)
{
	tier_t *tier = request->tier;
	const mc_map_route_t *route = request->route;
	bool all = route->shape == MC_MAP_ALL;
	uint32_t count = all ? route->count : 1;
	uint32_t first = 0, i;

	if (!all) {
		tier->spread += spread_step;
		tier->spread -= (double)(int)tier->spread;
		first = mc_map_choose(request->map, route, tier->spread);
	}
	request->parts = calloc(count, sizeof(*request->parts));
	if (!request->parts)
		return mc_fail(MC_ERR_NO_MEMORY, "no memory for parts");
	request->part_count = count;
	request->coming = (mc_coming_t){
		.total = count,
		.coverage_min = route->coverage_min,
	};
	request->records.max = route->records_max;
	for (i = 0; i < count; i++)
		request->parts[i] = (part_t){
			.request = request,
			.index = i,
			.service = tier->rows[mc_map_member(request->map, route,
							    first + i)
						      ->service],
			.tries = { .repeatable = request->repeatable,
				   .runs_max = route->tries_max },
		};
	return MC_OK;
}

/*
 * How long before the goal an answer is due: what it takes on its way, and what
 * this instance takes to get to it and write it while it is busy.
 */
static mc_ms_t reserve_of(const request_t *request)
{
	mc_ms_t most = request->route->goal / GOAL_RESERVE_PART;
	mc_ms_t reserve = GOAL_TRAVEL_MS;

	if (request->book)
		reserve += (mc_ms_t)request->book->late.value;
	return reserve < most ? reserve : most;
}

static void set_times(request_t *request, mc_ms_t first_byte)
{
	const mc_map_route_t *route = request->route;
	mc_ms_t left = request->call.time_left;

	if (left < 0 || left > TIME_LEFT_MAX_MS)
		left = TIME_LEFT_MAX_MS;
	if (left > route->timeout)
		left = route->timeout;
	request->begun = first_byte;
	request->end_at = first_byte + left;
	request->goal_at = first_byte + route->goal - reserve_of(request);
}

static request_t *request_add(tier_t *tier, mc_handle_t caller,
			      const mc_map_route_t *route,
			      const mc_h1_message_t *message,
			      const mc_call_t *call)
{
	mc_handle_t handle;
	request_t *request;
	void *slot;

	if (mc_table_add(tier->requests, &handle, &slot))
		return NULL;
	request = slot;
	*request = (request_t){
		.tier = tier,
		.handle = handle,
		.caller = caller,
		.map = mc_map_ref(tier->world->map),
		.route = route,
		.book = world_book(tier, route),
		.message = *message,
		.call = *call,
		.repeatable = route->repeatable || route->shape == MC_MAP_ALL,
	};
	TAILQ_INIT(&request->tries);
	return request;
}

static void request_start(request_t *request)
{
	mc_ms_t now = mc_shard_now(request->tier->shard);
	uint32_t i;

	if (now >= request->end_at) {
		end_refused(request, MC_ERR_DEADLINE_PAST);
		return;
	}
	if (head_make(request) || make_parts(request)) {
		end_refused(request, MC_ERR_OVERLOADED);
		return;
	}
	if (!reach_enough(request->tier, request)) {
		end_refused(request, MC_ERR_CUT_OFF);
		return;
	}
	for (i = 0; i < request->part_count; i++)
		part_go(&request->parts[i], false);
	if (request->route->shape == MC_MAP_ONE &&
	    request->parts[0].state == PART_OUT)
		end_refused(request, request->parts[0].reason);
	else if (progress(request))
		schedule(request);
}

void request_begin(tier_t *tier, mc_handle_t caller,
		   const mc_h1_message_t *message, mc_ms_t first_byte)
{
	const mc_map_route_t *route = NULL;
	mc_err_t refusal = MC_OK;
	mc_call_t call = { 0 };
	request_t *request;

	mc_count(mc_shard_counters(tier->shard), MC_COUNTER_REQUESTS, 1);
	tier->dialect->read_call(message, &call);
	if (!tier->world || !tier->world->map)
		refusal = MC_ERR_NOT_READY;
	else if (call.host)
		route = mc_map_find(tier->world->map, call.host,
				    message->target);
	if (!refusal && !route)
		refusal = MC_ERR_NOT_FOUND;
	request = refusal ? NULL
			  : request_add(tier, caller, route, message, &call);
	if (request) {
		set_times(request, first_byte);
		request_start(request);
		return;
	}
	mc_log(tier->log, MC_LOG_INFO, "tier",
	       "request refused id=%s host=%s map=%llu outcome=%s",
	       call.id ? call.id : "-", call.host ? call.host : "-",
	       tier->world && tier->world->map
		       ? (unsigned long long)mc_map_version(tier->world->map)
		       : 0ULL,
	       mc_error_name(refusal ? refusal : MC_ERR_FULL));
	reply_refuse(tier, caller, refusal ? refusal : MC_ERR_FULL);
}

void request_gone(tier_t *tier, mc_handle_t caller)
{
	uint32_t cursor = 0;
	mc_handle_t handle;
	request_t *request;

	while ((request = mc_table_next(tier->requests, &cursor, &handle))) {
		if (!mc_handle_equal(request->caller, caller))
			continue;
		mc_count(mc_shard_counters(tier->shard),
			 MC_COUNTER_CALLERS_GONE, 1);
		log_end(request, "caller_gone");
		note_end(request, METRICS_GONE);
		request_free(request);
		return;
	}
}
