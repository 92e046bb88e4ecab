/*
 * Life cycle of a request: it is split into parts, each of which is sent or
 * queued. Parts succeed, or fail and are retried, until the request ends.
 */
#include "tier_private.h"

#include <stdlib.h>

#include "admit.h"
#include "extras.h"
#include "finish.h"
#include "handover.h"
#include "head.h"
#include "reachability.h"
#include "timing.h"
#include "tried.h"
#include "waiting.h"

/* Step of the low-discrepancy sequence for weighted choices: the fractional
 * part of the golden ratio. */
static const double choice_step = 0.6180339887498949;

uint32_t request_priority(const request_t *request)
{
	const mc_routemap_customer_t *customer = request->customer;

	return customer && !customer->has_no_priority
		       ? customer->priority
		       : request->route->priority;
}

bool request_finish_if_due(request_t *request)
{
	mc_ms_t now = mc_shard_now(request->tier->shard);
	bool past_deadline = now >= request->deadline;
	mc_err_t reason = past_deadline ? timing_overdue_reason(request)
					: MC_ERR_TARGET_FAILED;

	if (request->has_ended)
		return false;
	if (request->is_handed) {
		if (!past_deadline && request->progress.received +
						      request->progress.failed <
					      request->progress.total)
			return true;
		finish_handed(request, false);
		return false;
	}
	if (request->route->dispatch == MC_ROUTEMAP_WEIGHTED) {
		if (!past_deadline)
			return true;
		finish_error(request, reason);
		return false;
	}
	switch (mc_records_decide(&request->progress, now >= request->goal_at,
				  past_deadline)) {
	case MC_RECORDS_WAIT:
		return true;
	case MC_RECORDS_ANSWER:
		finish_merge(request);
		return false;
	case MC_RECORDS_FAIL:
		break;
	}
	finish_error(request, reason);
	return false;
}

/* Fails a part that no target can take soon; @wait: when one may, ms from now,
 * 0 if that is unknown. */
static void fail_part(part_t *part, mc_err_t reason, mc_ms_t wait)
{
	part->state = PART_FAILED;
	part->reason = reason;
	part->request->progress.failed++;
	if (part->request->is_handed)
		handover_report_failed(part, reason);
	else if (wait)
		admit_set_return(part->request, wait);
}

/*
 * Sends the part now, or queues it until a target of its service has capacity;
 * fails it if none can take it soon. Never ends the request: that is left to
 * the caller, which still uses the request.
 */
static void dispatch_part(part_t *part, bool extra)
{
	tier_t *tier = part->request->tier;
	service_t *service = mc_table_get(tier->services, part->service);
	mc_err_t reason = MC_ERR_NO_TARGET;
	mc_ms_t wait = 0;

	/* Room that is left by a request that has just ended, for instance, is
	 * for those that wait for it. */
	if (!(service && waiting_goes_first(service, part)) &&
	    send_part(tier, part, extra))
		return;
	if (service && select_has_target(tier, part))
		reason = admit_check_part(part, waiting_ahead(service, part),
					  &wait);
	if (reason) {
		fail_part(part, reason, wait);
		return;
	}
	waiting_add(service, part);
	service_schedule_dispatch(tier, service);
}

void request_part_succeeded(request_t *request, part_t *part,
			    const mc_h1_message_t *message,
			    const mc_tier_response_info_t *response)
{
	attempt_t *attempt, *next;

	request->may_have_run = true;
	part->state = PART_SUCCEEDED;
	request->progress.received++;
	if (request->route->dispatch == MC_ROUTEMAP_WEIGHTED) {
		finish_forward(request, message, true);
		return;
	}
	if (part->group.generation)
		handover_drop_part(part);
	for (attempt = TAILQ_FIRST(&request->attempts); attempt;
	     attempt = next) {
		next = TAILQ_NEXT(attempt, request_entry);
		if (attempt->part == part->index)
			send_release(request->tier, attempt);
	}
	if (request->is_handed) {
		handover_report_done(part, message, response);
		request_finish_if_due(request);
		return;
	}
	if (mc_records_add(&request->records, message->body,
			   message->body_size) ||
	    reply_add_signature(request, response->signature)) {
		finish_error(request, MC_ERR_NO_MEMORY);
		return;
	}
	if (request_finish_if_due(request))
		timing_part_done(request);
}

/* What happens next to a part after a failed attempt, for logs. If a retry was
 * decided but no target can take it, this is the reason for that. */
static const char *describe_next(const part_t *part,
				 mc_retry_decision_t decision)
{
	if (decision == MC_RETRY_NO)
		return "give_up";
	if (part->state == PART_FAILED)
		return mc_error_name(part->reason);
	return part->state == PART_WAITING ? "wait" : "again";
}

static void log_part_failed(const request_t *request, const part_t *part,
			    mc_err_t reason, const mc_h1_message_t *message,
			    mc_retry_decision_t decision)
{
	const service_t *service =
		mc_table_get(request->tier->services, part->service);

	mc_log(request->tier->log, MC_LOG_INFO, "tier",
	       "attempt at target failed id=%s service=%s reason=%s status=%d "
	       "sends=%u runs=%u runs_max=%u next=%s",
	       request_id(request), service ? service->name : "-",
	       mc_error_name(reason), message ? message->status : 0,
	       part->attempts.sends, part->attempts.runs,
	       part->attempts.runs_max, describe_next(part, decision));
}

void request_part_failed(request_t *request, part_t *part,
			 mc_retry_failure_t failure, mc_err_t reason,
			 const mc_h1_message_t *message,
			 const mc_tier_response_info_t *response)
{
	mc_retry_decision_t decision;

	if (mc_retry_may_have_run(failure))
		request->may_have_run = true;
	tried_update(part);
	if (part->in_flight || part->state != PART_SENT)
		return;
	decision = mc_retry_decide(&part->attempts, failure);
	if (mc_shard_now(request->tier->shard) >= request->deadline)
		decision = MC_RETRY_NO;
	/* Second tries are for the instance that has the caller. */
	if (request->is_handed && decision == MC_RETRY_BUDGETED &&
	    !HANDOVER_OWNER_HEDGES)
		decision = MC_RETRY_NO;
	if (decision == MC_RETRY_BUDGETED && !extras_withdraw(part, 0))
		decision = MC_RETRY_NO;
	/* The target's successor may serve the same service. */
	if (decision == MC_RETRY_FREE && failure == MC_RETRY_FAILURE_REPLACED)
		extras_charge(part);
	if (decision != MC_RETRY_NO) {
		mc_counter_add(mc_shard_counters(request->tier->shard),
			       MC_COUNTER_RETRIES, 1);
		if (request->is_handed && decision == MC_RETRY_BUDGETED)
			handover_report_hedged(part);
		dispatch_part(part, decision == MC_RETRY_BUDGETED);
	} else {
		fail_part(part, reason, 0);
	}
	log_part_failed(request, part, reason, message, decision);
	if (part->state == PART_FAILED &&
	    request->route->dispatch == MC_ROUTEMAP_WEIGHTED)
		finish_failure(request, failure, reason, message, response);
	else if (request_finish_if_due(request))
		timing_schedule(request);
}

void request_part_unsendable(request_t *request, part_t *part, mc_err_t reason,
			     mc_ms_t wait)
{
	fail_part(part, reason, wait);
	if (request->route->dispatch == MC_ROUTEMAP_WEIGHTED)
		finish_error(request, reason);
	else if (request_finish_if_due(request))
		timing_schedule(request);
}

static mc_err_t make_parts(request_t *request)
{
	tier_t *tier = request->tier;
	const mc_routemap_route_t *route = request->route;
	bool fan_out = route->dispatch == MC_ROUTEMAP_FAN_OUT;
	uint32_t count = fan_out ? route->destination_count : 1;
	uint32_t first = 0, i;

	if (!fan_out) {
		tier->choice_point += choice_step;
		tier->choice_point -= (double)(int)tier->choice_point;
		first = mc_routemap_pick_destination(request->map, route,
						     tier->choice_point);
	}
	request->parts = calloc(count, sizeof(*request->parts));
	request->latencies = calloc(count, sizeof(*request->latencies));
	if (!request->parts || !request->latencies)
		return mc_fail(MC_ERR_NO_MEMORY,
			       "out of memory for the parts of a request");
	request->part_count = count;
	request->progress = (mc_records_progress_t){
		.total = count,
		.coverage_min = route->coverage_min,
	};
	request->records.max = route->records_max;
	for (i = 0; i < count; i++)
		request->parts[i] = (part_t){
			.request = request,
			.index = i,
			.service = tier->map_services[mc_routemap_destination(
							      request->map,
							      route, first + i)
							      ->service],
			.attempts = { .idempotent = request->idempotent,
				      .runs_max = route->attempts_max },
		};
	return MC_OK;
}

static request_t *request_add(tier_t *tier, mc_handle_t caller,
			      const mc_routemap_route_t *route,
			      const mc_routemap_customer_t *customer,
			      const mc_h1_message_t *message,
			      const mc_tier_request_info_t *info)
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
		.map = mc_routemap_ref(tier->view->map),
		.route = route,
		.customer = customer,
		.stats = route_stats_get(tier, route),
		.message = *message,
		.info = *info,
		.idempotent = route->idempotent ||
			      route->dispatch == MC_ROUTEMAP_FAN_OUT,
	};
	TAILQ_INIT(&request->attempts);
	return request;
}

static void request_start(request_t *request)
{
	mc_ms_t now = mc_shard_now(request->tier->shard);
	mc_err_t err;
	uint32_t i;

	if (now >= request->deadline) {
		finish_error(request, timing_overdue_reason(request));
		return;
	}
	if (head_build(request) || make_parts(request)) {
		finish_error(request, MC_ERR_OVERLOADED);
		return;
	}
	if (!reachability_check_request(request->tier, request)) {
		finish_error(request, MC_ERR_CUT_OFF);
		return;
	}
	err = admit_request(request);
	if (err) {
		finish_error(request, err);
		return;
	}
	handover_send(request);
	for (i = 0; i < request->part_count; i++)
		if (request->parts[i].state == PART_NEW)
			dispatch_part(&request->parts[i], false);
	if (request->route->dispatch == MC_ROUTEMAP_WEIGHTED &&
	    request->parts[0].state == PART_FAILED)
		finish_error(request, request->parts[0].reason);
	else if (request_finish_if_due(request))
		timing_schedule(request);
}

/* Finds the route and the customer of a request. While no map is known, nothing
 * is known of keys or routes either. */
static mc_err_t identify(tier_t *tier, const mc_h1_message_t *message,
			 const mc_tier_request_info_t *info,
			 const mc_routemap_route_t **route,
			 const mc_routemap_customer_t **customer)
{
	mc_counters_t *counters = mc_shard_counters(tier->shard);
	const mc_routemap_t *map = tier->view ? tier->view->map : NULL;
	mc_err_t err;

	if (!map)
		return MC_ERR_NOT_READY;
	if (info->host)
		*route = mc_routemap_match_route(map, info->host, message->uri);
	if (!*route)
		return MC_ERR_NOT_FOUND;
	err = mc_routemap_identify(map, *route, info->key, customer);
	if (err == MC_ERR_KEY_MISSING)
		mc_counter_add(counters, MC_COUNTER_KEYS_MISSING, 1);
	else if (err == MC_ERR_KEY_UNKNOWN)
		mc_counter_add(counters, MC_COUNTER_KEYS_UNKNOWN, 1);
	return err;
}

static void refuse(tier_t *tier, mc_handle_t caller,
		   const mc_routemap_route_t *route,
		   const mc_tier_request_info_t *info, mc_err_t reason)
{
	const mc_routemap_t *map = tier->view ? tier->view->map : NULL;

	mc_log(tier->log, MC_LOG_INFO, "tier",
	       "request refused: no map, matching route, key of a customer, "
	       "free slot or memory id=%s host=%s route=%s map=%llu outcome=%s",
	       info->attempt_id ? info->attempt_id : "-",
	       info->host ? info->host : "-", route ? route->name : "-",
	       map ? (unsigned long long)mc_routemap_version(map) : 0ULL,
	       mc_error_name(reason));
	reply_error(tier, caller, reason, 0);
}

void request_begin_handed(tier_t *tier, const handed_search_t *search)
{
	const mc_routemap_route_t *route =
		mc_routemap_route(tier->view->map, search->route);
	mc_tier_request_info_t info = { .attempt_id = search->attempt_id };
	mc_h1_message_t message = {
		.method = "GET",
		.uri = "",
		.body = search->body,
		.body_size = search->body_size,
	};
	mc_ms_t now = mc_shard_now(tier->shard);
	request_t *request = request_add(tier, MC_HANDLE_NONE, route, NULL,
					 &message, &info);
	uint32_t i;

	if (!request) {
		free(search->parts);
		free(search->text);
		return;
	}
	request->is_handed = true;
	request->handed_link = search->link;
	request->handed_group = search->group;
	request->handed_parts = search->parts;
	request->handed_text = search->text;
	request->started = now;
	request->deadline = now + search->time_left;
	if (tier->draining && request->deadline > tier->answer_by)
		request->deadline = tier->answer_by;
	request->goal_at = now + search->goal_left;
	request->head = malloc(search->head_size + 1);
	request->head_size = search->head_size;
	request->parts = calloc(search->count, sizeof(*request->parts));
	request->latencies = calloc(search->count, sizeof(*request->latencies));
	if (!request->head || !request->parts || !request->latencies) {
		finish_handed(request, true);
		return;
	}
	memcpy(request->head, search->head, search->head_size);
	request->part_count = search->count;
	request->progress = (mc_records_progress_t){
		.total = search->count,
		.coverage_min = route->coverage_min,
	};
	for (i = 0; i < search->count; i++)
		request->parts[i] = (part_t){
			.request = request,
			.index = i,
			.service = tier->map_services[mc_routemap_destination(
							      request->map,
							      route,
							      search->parts[i])
							      ->service],
			.is_counted = !HANDOVER_OWNER_HEDGES,
			.attempts = { .idempotent = true,
				      .runs_max = HANDOVER_OWNER_HEDGES
							  ? route->attempts_max
							  : 1 },
		};
	admit_request(request);
	for (i = 0; i < request->part_count; i++)
		if (request->parts[i].state == PART_FAILED)
			handover_report_failed(&request->parts[i],
					       request->parts[i].reason);
		else
			dispatch_part(&request->parts[i], false);
	if (request_finish_if_due(request))
		timing_schedule(request);
}

void request_begin(tier_t *tier, mc_handle_t caller,
		   const mc_h1_message_t *message, mc_ms_t first_byte)
{
	const mc_routemap_route_t *route = NULL;
	const mc_routemap_customer_t *customer = NULL;
	mc_tier_request_info_t info = { 0 };
	request_t *request;
	mc_err_t err;

	mc_counter_add(mc_shard_counters(tier->shard), MC_COUNTER_REQUESTS, 1);
	tier->protocol->parse_request(message, &info);
	err = identify(tier, message, &info, &route, &customer);
	if (!err && mc_h1_is_short_of_memory(tier->h1)) {
		mc_counter_add(mc_shard_counters(tier->shard),
			       MC_COUNTER_REFUSALS_MEMORY, 1);
		err = MC_ERR_FULL;
	}
	if (err) {
		refuse(tier, caller, route, &info, err);
		return;
	}
	request = request_add(tier, caller, route, customer, message, &info);
	if (!request) {
		refuse(tier, caller, route, &info, MC_ERR_FULL);
		return;
	}
	timing_set_deadlines(request, first_byte);
	request_start(request);
}

void request_caller_gone(tier_t *tier, mc_handle_t caller)
{
	uint32_t cursor = 0;
	mc_handle_t handle;
	request_t *request;

	while ((request = mc_table_next(tier->requests, &cursor, &handle))) {
		if (request->has_ended ||
		    !mc_handle_equal(request->caller, caller))
			continue;
		finish_caller_gone(request);
		return;
	}
}
