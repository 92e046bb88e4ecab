/*
 * One part of a request at one target: sending it, and what its end means. A
 * request goes out once on each connection it is given; nothing here repeats
 * it by itself.
 */
#include "tier_private.h"

#include <string.h>

#include "timing.h"

enum {
	LINES_SIZE = 512,
	STATUS_OK_FIRST = 200,
	STATUS_OK_LAST = 299,
	/* What a target is told is so much less than what is left, ms. */
	TRAVEL_MS = 2,
	/* A request that has waited so many times the usual, and this long at
	 * least, counts against its target when it is given up. */
	SILENT_TIMES = 8,
	SILENT_MS = 500,
	/* While a cold target's pace holds parts up, ms. */
	PACE_CHECK_MS = 25,
};

static void forget(tier_t *tier, try_t *sent)
{
	request_t *request = mc_table_get(tier->requests, sent->request);
	target_t *target = mc_table_get(tier->targets, sent->target);

	if (request) {
		TAILQ_REMOVE(&request->tries, sent, of_request);
		request->parts[sent->part].open--;
	}
	if (target) {
		TAILQ_REMOVE(&target->tries, sent, of_target);
		target->in_flight--;
	}
	mc_table_remove(tier->tries, sent->handle);
}

static mc_err_t dispatch(tier_t *tier, const request_t *request, link_t *link,
			 const target_t *target)
{
	mc_ms_t left = request->end_at - mc_shard_now(tier->shard) - TRAVEL_MS;
	char lines[LINES_SIZE];
	size_t size = tier->dialect->write_request_headers(
		lines, sizeof(lines), target->entry.id, left > 1 ? left : 1);
	char head[request->head_size + size + 2];

	memcpy(head, request->head, request->head_size);
	memcpy(head + request->head_size, lines, size);
	head[request->head_size + size] = '\r';
	head[request->head_size + size + 1] = '\n';
	return mc_h1_send_request(tier->h1, link->connection, head,
				  sizeof(head), request->message.body,
				  request->message.body_size,
				  !strcmp(request->message.method, "HEAD"));
}

static try_t *add_try(tier_t *tier, part_t *part, target_t *target,
		      link_t *link, bool extra)
{
	request_t *request = part->request;
	mc_handle_t handle;
	try_t *sent;
	void *slot;

	if (mc_table_add(tier->tries, &handle, &slot))
		return NULL;
	sent = slot;
	*sent = (try_t){
		.handle = handle,
		.request = request->handle,
		.part = part->index,
		.target = target->handle,
		.link = link->handle,
		.sent_at = mc_shard_now(tier->shard),
		.usual = request->book ? request->book->usual.value : 0,
		.extra = extra,
	};
	TAILQ_INSERT_TAIL(&request->tries, sent, of_request);
	TAILQ_INSERT_TAIL(&target->tries, sent, of_target);
	target->in_flight++;
	link->sent = handle;
	return sent;
}

static void note_sent(tier_t *tier, part_t *part, const target_t *target,
		      bool extra)
{
	request_t *request = part->request;

	if (part->state == PART_WAITS && request->book)
		metrics_add(&request->book->metrics->waited,
			    mc_shard_now(tier->shard) - part->waits_since);
	part->open++;
	part->tries.runs++;
	part->tries.sends++;
	part->state = PART_SENT;
	part->sent_at = mc_shard_now(tier->shard);
	if (part->tried_count < TIER_TRIED_MAX)
		part->tried[part->tried_count++] = target->handle;
	request->sends++;
	mc_counter_add(mc_shard_counters(tier->shard),
		       extra ? MC_COUNTER_EXTRAS : MC_COUNTER_SUB_QUERIES, 1);
}

bool send_part(tier_t *tier, part_t *part, bool extra)
{
	request_t *request = part->request;
	service_t *service = mc_table_get(tier->services, part->service);
	target_t *target = choice_target(tier, part);
	link_t *link;
	try_t *sent;

	if (!target || !service)
		return false;
	link = pool_take(tier, service, target, !request->repeatable);
	if (!link)
		return false;
	sent = add_try(tier, part, target, link, extra);
	if (!sent) {
		pool_drop(tier, link);
		return false;
	}
	note_sent(tier, part, target, extra);
	if (!part->paid_first)
		mc_retry_window_deposit(&service->extras, &tier->extras,
					mc_shard_now(tier->shard));
	part->paid_first = true;
	if (extra)
		mc_log(tier->log, MC_LOG_DEBUG, "tier",
		       "another target is asked id=%s service=%s target=%s "
		       "usual_ms=%.0f entry_started=%lld",
		       request->call.attempt_id ? request->call.attempt_id
						: "-",
		       service->name, target->entry.id, sent->usual,
		       (long long)target->entry.started_at);
	if (dispatch(tier, request, link, target))
		mc_log(tier->log, MC_LOG_ERROR, "tier",
		       "request does not leave id=%s target=%s reason=\"%s\"",
		       request->call.attempt_id ? request->call.attempt_id
						: "-",
		       target->entry.id, mc_last_error_message());
	return true;
}

/* The target's time, and that until a hedge, begin when it can know of it. */
void send_opened(tier_t *tier, const link_t *link)
{
	try_t *sent = mc_table_get(tier->tries, link->sent);
	request_t *request =
		sent ? mc_table_get(tier->requests, sent->request) : NULL;
	target_t *target;

	if (!request)
		return;
	sent->sent_at = mc_shard_now(tier->shard);
	request->parts[sent->part].sent_at = sent->sent_at;
	target = mc_table_get(tier->targets, sent->target);
	if (!target)
		return;
	/* The oldest goes first. */
	TAILQ_REMOVE(&target->tries, sent, of_target);
	TAILQ_INSERT_TAIL(&target->tries, sent, of_target);
}

static void note_fault(tier_t *tier, target_t *target, const request_t *request,
		       mc_replica_fault_t fault, const char *what)
{
	mc_ms_t now = mc_shard_now(tier->shard);

	mc_counter_add(mc_shard_counters(tier->shard),
		       MC_COUNTER_TARGET_FAILURES, 1);
	if (!mc_replica_health_record_fault(&target->health, fault, now))
		return;
	mc_log(tier->log, MC_LOG_WARNING, "tier",
	       "target is out target=%s address=%s reason=%s id=%s "
	       "faults=%u out_ms=%lld",
	       target->entry.id, target->entry.address, what,
	       request && request->call.attempt_id ? request->call.attempt_id
						   : "-",
	       target->health.consecutive_faults,
	       (long long)(target->health.ejected_until - now));
}

void send_cancel(tier_t *tier, try_t *sent)
{
	target_t *target = mc_table_get(tier->targets, sent->target);
	link_t *link = mc_table_get(tier->links, sent->link);
	mc_ms_t now = mc_shard_now(tier->shard);
	mc_ms_t waited = now - sent->sent_at;

	if (target && waited > TIER_SILENT_MS)
		target_missed(tier, target);
	if (target && (mc_replica_health_record_cancel(&target->health, waited,
						       sent->usual, now) ||
		       (waited > SILENT_MS &&
			(double)waited > sent->usual * SILENT_TIMES)))
		note_fault(tier, target,
			   mc_table_get(tier->requests, sent->request),
			   MC_REPLICA_FAULT_NO_RESPONSE, "no_answer");
	forget(tier, sent);
	if (!link)
		return;
	link->sent = MC_HANDLE_NONE;
	pool_drop(tier, link);
	mc_counter_add(mc_shard_counters(tier->shard), MC_COUNTER_CANCELS, 1);
}

/* Whether the answer is that of the request that was sent on @link. */
static bool is_own(const request_t *request, const link_t *link,
		   const mc_tier_response_info_t *reply)
{
	if (!request->call.attempt_id)
		return true;
	if (reply->attempt_id)
		return !strcmp(reply->attempt_id, request->call.attempt_id);
	return link->uses == 1;
}

static void note_report(target_t *target, const mc_tier_response_info_t *reply,
			mc_ms_t now)
{
	uint32_t all = reply->running + reply->queued;
	uint32_t own = target->in_flight;

	if (!reply->has_load)
		return;
	target->others = all > own ? all - own : 0;
	target->reported = now;
}

static void note_latency(request_t *request, target_t *target,
			 const try_t *sent, mc_ms_t now)
{
	mc_ms_t latency = now - sent->sent_at;

	mc_replica_health_record_success(&target->health, latency, sent->usual,
					 now);
	if (!request->book)
		return;
	if (request->part_count == 1)
		timing_learn(request->book, latency);
	else if (request->latency_count < request->part_count)
		request->latencies[request->latency_count++] = latency;
	metrics_add(&request->book->metrics->target, latency);
}

static bool is_success(const mc_h1_message_t *message)
{
	return message->status >= STATUS_OK_FIRST &&
	       message->status <= STATUS_OK_LAST;
}

/* What an answer that is no success means; the target's health is noted. */
static mc_retry_failure_t end_of(tier_t *tier, target_t *target,
				 const request_t *request,
				 const mc_h1_message_t *message,
				 const mc_tier_response_info_t *reply,
				 mc_err_t *reason)
{
	switch (reply->kind) {
	case MC_TIER_RESPONSE_REPLACED:
		*reason = MC_ERR_NO_TARGET;
		if (target) {
			target->replaced = true;
			note_fault(tier, target, request,
				   MC_REPLICA_FAULT_REPLACED, "replaced");
		}
		return MC_RETRY_FAILURE_REPLACED;
	case MC_TIER_RESPONSE_REFUSED:
		*reason = MC_ERR_TARGET_SHED;
		mc_counter_add(mc_shard_counters(tier->shard),
			       MC_COUNTER_TARGET_SHEDS, 1);
		return MC_RETRY_FAILURE_REFUSED;
	case MC_TIER_RESPONSE_RAN:
		break;
	}
	*reason = MC_ERR_TARGET_FAILED;
	if (target && (is_success(message) || message->status >= 500))
		note_fault(tier, target, request, MC_REPLICA_FAULT_ERROR,
			   "error");
	return MC_RETRY_FAILURE_ERROR;
}

bool send_answered(tier_t *tier, link_t *link, try_t *sent,
		   const mc_h1_message_t *message)
{
	request_t *request = mc_table_get(tier->requests, sent->request);
	target_t *target = mc_table_get(tier->targets, sent->target);
	mc_ms_t now = mc_shard_now(tier->shard);
	mc_tier_response_info_t reply = { 0 };
	mc_err_t reason = MC_OK;
	part_t *part;
	mc_retry_failure_t end;

	tier->dialect->parse_response(message, &reply);
	if (request && !is_own(request, link, &reply)) {
		mc_counter_add(mc_shard_counters(tier->shard),
			       MC_COUNTER_LATE_REPLIES, 1);
		return false;
	}
	if (target) {
		target->heard = now;
		note_report(target, &reply, now);
	}
	if (!request) {
		forget(tier, sent);
		return true;
	}
	part = &request->parts[sent->part];
	if (reply.kind == MC_TIER_RESPONSE_RAN && is_success(message) &&
	    reply.signature) {
		if (target)
			note_latency(request, target, sent, now);
		forget(tier, sent);
		request_part_in(request, part, message, &reply);
		return true;
	}
	end = end_of(tier, target, request, message, &reply, &reason);
	forget(tier, sent);
	request_part_failed(request, part, end, reason, message, &reply);
	return true;
}

void send_broken(tier_t *tier, try_t *sent, bool left)
{
	request_t *request = mc_table_get(tier->requests, sent->request);
	target_t *target = mc_table_get(tier->targets, sent->target);
	uint32_t part = sent->part;

	if (target)
		note_fault(tier, target, request,
			   left ? MC_REPLICA_FAULT_CONNECTION_LOST
				: MC_REPLICA_FAULT_UNREACHABLE,
			   left ? "broken" : "unreachable");
	forget(tier, sent);
	if (request)
		request_part_failed(request, &request->parts[part],
				    left ? MC_RETRY_FAILURE_CONNECTION_LOST
					 : MC_RETRY_FAILURE_NOT_SENT,
				    left ? MC_ERR_TARGET_FAILED
					 : MC_ERR_NO_TARGET,
				    NULL, NULL);
}

static void check_pace(mc_shard_t *shard, void *arg)
{
	service_t *service = arg;

	(void)shard;
	service->timer = MC_HANDLE_NONE;
	service_wake(service->tier, service);
}

void service_wake(tier_t *tier, service_t *service)
{
	mc_ms_t at = mc_shard_now(tier->shard) + PACE_CHECK_MS;
	part_t *part;
	uint32_t rank;

	for (rank = 0; rank < TIER_RANKS && service->waiting_count; rank++) {
		while ((part = TAILQ_FIRST(&service->waiting[rank]))) {
			if (!send_part(tier, part, false))
				break;
			TAILQ_REMOVE(&service->waiting[rank], part, entry);
			service->waiting_count--;
		}
	}
	if (service->waiting_count && !service->timer.generation &&
	    mc_timer_set(tier->shard, at, check_pace, service, &service->timer))
		mc_log(tier->log, MC_LOG_ERROR, "tier", "no timer: %s",
		       mc_last_error_message());
}
