/*
 * A request's life: it begins with its parts, each of which is sent or waits;
 * parts come in, fail and are sent again, until it ends.
 */
#include "tier_private.h"

#include <stdlib.h>

#include "finish.h"
#include "head.h"
#include "reachability.h"
#include "timing.h"

/* Step by which the point for choices by weight moves: the golden ratio. */
static const double spread_step = 0.6180339887498949;

bool request_progress(request_t *request)
{
	mc_ms_t now = mc_shard_now(request->tier->shard);
	bool past_end = now >= request->end_at;
	mc_err_t reason =
		past_end ? MC_ERR_DEADLINE_EXCEEDED : MC_ERR_TARGET_FAILED;

	if (request->route->dispatch == MC_ROUTEMAP_WEIGHTED) {
		if (!past_end)
			return true;
		end_refused(request, reason);
		return false;
	}
	switch (mc_records_decide(&request->coming, now >= request->goal_at,
				  past_end)) {
	case MC_RECORDS_WAIT:
		return true;
	case MC_RECORDS_ANSWER:
		end_merged(request);
		return false;
	case MC_RECORDS_FAIL:
		break;
	}
	if (!end_may_have_run(request) && !past_end)
		reason = MC_ERR_NO_TARGET;
	end_refused(request, reason);
	return false;
}

/* Sends the part now, or lets it wait for room at its service's targets. */
static void part_go(part_t *part, bool extra)
{
	tier_t *tier = part->request->tier;
	service_t *service = mc_table_get(tier->services, part->service);
	uint32_t rank = part->request->route->priority;

	if (send_part(tier, part, extra))
		return;
	if (!service || !choice_any(tier, part)) {
		part->state = PART_OUT;
		part->reason = MC_ERR_NO_TARGET;
		part->request->coming.failed++;
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
		     const mc_h1_message_t *message,
		     const mc_tier_response_info_t *reply)
{
	try_t *sent, *next;

	request->may_have_run = true;
	part->state = PART_IN;
	request->coming.received++;
	if (request->route->dispatch == MC_ROUTEMAP_WEIGHTED) {
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
	request_progress(request);
}

static bool pay(const part_t *part)
{
	tier_t *tier = part->request->tier;
	service_t *service = mc_table_get(tier->services, part->service);

	if (service && mc_retry_window_withdraw(&service->extras, &tier->extras,
						mc_shard_now(tier->shard)))
		return true;
	mc_counter_add(mc_shard_counters(tier->shard),
		       MC_COUNTER_RETRIES_DENIED, 1);
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
	       request_id(request), service ? service->name : "-",
	       mc_error_name(reason), message ? message->status : 0,
	       part->tries.sends, part->tries.runs, next);
}

void request_part_failed(request_t *request, part_t *part,
			 mc_retry_failure_t end, mc_err_t reason,
			 const mc_h1_message_t *message,
			 const mc_tier_response_info_t *reply)
{
	mc_retry_decision_t again;

	if (mc_retry_may_have_run(end))
		request->may_have_run = true;
	else
		part->tries.runs--;
	if (part->open || part->state != PART_SENT)
		return;
	again = mc_retry_decide(&part->tries, end);
	if (mc_shard_now(request->tier->shard) >= request->end_at)
		again = MC_RETRY_NO;
	if (again == MC_RETRY_BUDGETED && !pay(part))
		again = MC_RETRY_NO;
	log_failed(request, part, reason, message,
		   again == MC_RETRY_NO ? "give_up" : "again");
	if (again != MC_RETRY_NO) {
		mc_counter_add(mc_shard_counters(request->tier->shard),
			       MC_COUNTER_RETRIES, 1);
		part_go(part, again == MC_RETRY_BUDGETED);
	} else {
		part->state = PART_OUT;
		part->reason = reason;
		request->coming.failed++;
	}
	if (part->state == PART_OUT &&
	    request->route->dispatch == MC_ROUTEMAP_WEIGHTED)
		end_failed(request, end, reason, message, reply);
	else if (request_progress(request))
		timing_schedule(request);
}

static mc_err_t make_parts(request_t *request)
{
	tier_t *tier = request->tier;
	const mc_routemap_route_t *route = request->route;
	bool all = route->dispatch == MC_ROUTEMAP_FAN_OUT;
	uint32_t count = all ? route->destination_count : 1;
	uint32_t first = 0, i;

	if (!all) {
		tier->spread += spread_step;
		tier->spread -= (double)(int)tier->spread;
		first = mc_routemap_pick_destination(request->map, route,
						     tier->spread);
	}
	request->parts = calloc(count, sizeof(*request->parts));
	request->latencies = calloc(count, sizeof(*request->latencies));
	if (!request->parts || !request->latencies)
		return mc_fail(MC_ERR_NO_MEMORY, "no memory for parts");
	request->part_count = count;
	request->coming = (mc_records_progress_t){
		.total = count,
		.min_coverage = route->coverage_min,
	};
	request->records.max = route->records_max;
	for (i = 0; i < count; i++)
		request->parts[i] = (part_t){
			.request = request,
			.index = i,
			.service = tier->rows[mc_routemap_destination(
						      request->map, route,
						      first + i)
						      ->service],
			.tries = { .idempotent = request->repeatable,
				   .runs_max = route->attempts_max },
		};
	return MC_OK;
}

static request_t *request_add(tier_t *tier, mc_handle_t caller,
			      const mc_routemap_route_t *route,
			      const mc_h1_message_t *message,
			      const mc_tier_request_info_t *call)
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
		.map = mc_routemap_ref(tier->world->map),
		.route = route,
		.book = world_book(tier, route),
		.message = *message,
		.call = *call,
		.repeatable = route->idempotent ||
			      route->dispatch == MC_ROUTEMAP_FAN_OUT,
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
	if (request->route->dispatch == MC_ROUTEMAP_WEIGHTED &&
	    request->parts[0].state == PART_OUT)
		end_refused(request, request->parts[0].reason);
	else if (request_progress(request))
		timing_schedule(request);
}

void request_begin(tier_t *tier, mc_handle_t caller,
		   const mc_h1_message_t *message, mc_ms_t first_byte)
{
	const mc_routemap_route_t *route = NULL;
	mc_err_t refusal = MC_OK;
	mc_tier_request_info_t call = { 0 };
	request_t *request;

	mc_counter_add(mc_shard_counters(tier->shard), MC_COUNTER_REQUESTS, 1);
	tier->dialect->parse_request(message, &call);
	if (!tier->world || !tier->world->map)
		refusal = MC_ERR_NOT_READY;
	else if (call.host)
		route = mc_routemap_match_route(tier->world->map, call.host,
						message->uri);
	if (!refusal && !route)
		refusal = MC_ERR_NOT_FOUND;
	request = refusal ? NULL
			  : request_add(tier, caller, route, message, &call);
	if (request) {
		timing_set(request, first_byte);
		request_start(request);
		return;
	}
	mc_log(tier->log, MC_LOG_INFO, "tier",
	       "request refused id=%s host=%s map=%llu outcome=%s",
	       call.attempt_id ? call.attempt_id : "-",
	       call.host ? call.host : "-",
	       tier->world && tier->world->map
		       ? (unsigned long long)mc_routemap_version(
				 tier->world->map)
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
		end_gone(request);
		return;
	}
}
