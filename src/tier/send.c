/*
 * Attempts: sends one part of a request to one target and classifies the
 * result. A request is written once on each connection acquired for it; no
 * retry happens here.
 */
#include "tier_private.h"

#include <string.h>

#include "evidence.h"
#include "extras.h"
#include "reachability.h"
#include "rollout.h"
#include "target_notice.h"
#include "tried.h"
#include "usage.h"
#include "timing.h"

enum {
	LINES_SIZE = 512,
	STATUS_OK_FIRST = 200,
	STATUS_OK_LAST = 299,
	STATUS_FAULT_FIRST = 500,
	/* Subtracted from the remaining time sent to a target, to allow for the
	 * network, ms. */
	NETWORK_RESERVE_MS = 2,
	/* A single canceled attempt counts as a fault of its target if it has
	 * waited longer than this multiple of the typical latency and longer
	 * than the minimum in ms. */
	CANCEL_FAULT_FACTOR = 8,
	CANCEL_FAULT_MIN_MS = 500,
};

/* The target may be gone: one that was replaced goes with its last connection.
 */
static void remove_attempt(tier_t *tier, attempt_t *attempt)
{
	request_t *request = mc_table_get(tier->requests, attempt->request);
	target_t *target = mc_table_get(tier->targets, attempt->target);
	service_t *service = mc_table_get(tier->services, attempt->service);

	if (request) {
		TAILQ_REMOVE(&request->attempts, attempt, request_entry);
		request->parts[attempt->part].in_flight--;
	}
	if (target) {
		TAILQ_REMOVE(&target->attempts, attempt, target_entry);
		target->in_flight--;
		target->released -= attempt->is_released;
	}
	if (service) {
		service->in_flight--;
		mc_drain_record(&service->drain, mc_shard_now(tier->shard));
	}
	mc_counter_add(mc_shard_counters(tier->shard),
		       MC_COUNTER_ATTEMPTS_ENDED, 1);
	mc_table_remove(tier->attempts, attempt->handle);
}

static mc_err_t write_request(tier_t *tier, const request_t *request,
			      conn_t *conn, const target_t *target)
{
	mc_ms_t time_left = request->deadline - mc_shard_now(tier->shard) -
			    NETWORK_RESERVE_MS;
	char lines[LINES_SIZE];
	size_t size = tier->protocol->write_request_headers(
		lines, sizeof(lines), target->entry.id,
		time_left > 1 ? time_left : 1);
	char head[request->head_size + size + 2];

	memcpy(head, request->head, request->head_size);
	memcpy(head + request->head_size, lines, size);
	head[request->head_size + size] = '\r';
	head[request->head_size + size + 1] = '\n';
	return mc_h1_send_request(tier->h1, conn->h1_conn, head, sizeof(head),
				  request->message.body,
				  request->message.body_size,
				  !strcmp(request->message.method, "HEAD"));
}

static attempt_t *add_attempt(tier_t *tier, part_t *part, service_t *service,
			      target_t *target, conn_t *conn)
{
	request_t *request = part->request;
	double typical = request->stats ? request->stats->median.value : 0;
	mc_handle_t handle;
	attempt_t *attempt;
	void *slot;

	if (mc_table_add(tier->attempts, &handle, &slot))
		return NULL;
	attempt = slot;
	*attempt = (attempt_t){
		.handle = handle,
		.request = request->handle,
		.part = part->index,
		.service = service->handle,
		.target = target->handle,
		.conn = conn->handle,
		.sent_at = mc_shard_now(tier->shard),
		.typical_latency = typical,
		.silence_max = mc_replica_silence_max(
			typical, request->route->latency_goal),
		.extra_withdrawn_at = part->extra_withdrawn_at,
	};
	TAILQ_INSERT_TAIL(&request->attempts, attempt, request_entry);
	TAILQ_INSERT_TAIL(&target->attempts, attempt, target_entry);
	target->in_flight++;
	service->in_flight++;
	conn->attempt = handle;
	return attempt;
}

static void record_send(tier_t *tier, part_t *part, const target_t *target)
{
	request_t *request = part->request;
	bool extra = part->extra_withdrawn_at;

	if (part->state == PART_WAITING && request->stats)
		metrics_add(&request->stats->metrics->waited,
			    mc_shard_now(tier->shard) - part->waiting_since);
	part->in_flight++;
	part->attempts.sends++;
	part->state = PART_SENT;
	part->sent_at = mc_shard_now(tier->shard);
	tried_add(part, target);
	request->sends++;
	mc_counter_add(mc_shard_counters(tier->shard),
		       extra ? MC_COUNTER_EXTRAS : MC_COUNTER_SUB_QUERIES, 1);
	part->extra_withdrawn_at = 0;
}

/*
 * Whether the request needs a connection that was never used before: a kept one
 * that the target has closed would leave in doubt whether the request has run,
 * and without an attempt id a late response to an earlier request could be
 * taken for its own.
 */
static bool needs_fresh_connection(const request_t *request)
{
	return !request->idempotent || !request->info.attempt_id;
}

bool send_part(tier_t *tier, part_t *part)
{
	request_t *request = part->request;
	service_t *service = mc_table_get(tier->services, part->service);
	target_t *target = select_target(tier, part);
	conn_t *conn;
	attempt_t *attempt;

	if (!target || !service)
		return false;
	conn = pool_acquire(tier, service, target,
			    needs_fresh_connection(request));
	if (!conn)
		return false;
	attempt = add_attempt(tier, part, service, target, conn);
	if (!attempt) {
		pool_close(tier, conn);
		return false;
	}
	record_send(tier, part, target);
	if (conn->is_open)
		extras_send(tier, attempt);
	rollout_count_send(service, target);
	evidence_on_send(tier, target, attempt);
	if (!part->is_counted)
		mc_retry_window_deposit(
			&service->extra_window, &tier->extra_limit,
			extras_rank(request), mc_shard_now(tier->shard));
	part->is_counted = true;
	if (attempt->extra_withdrawn_at)
		mc_log(tier->log, MC_LOG_DEBUG, "tier",
		       "extra request sent id=%s service=%s target=%s "
		       "usual_ms=%.0f entry_started=%lld",
		       request->info.attempt_id ? request->info.attempt_id
						: "-",
		       service->name, target->entry.id,
		       attempt->typical_latency,
		       (long long)target->entry.started_at);
	if (!conn->has_failed && write_request(tier, request, conn, target))
		mc_log(tier->log, MC_LOG_ERROR, "tier",
		       "request could not be written to the target's "
		       "connection id=%s target=%s reason=\"%s\"",
		       request->info.attempt_id ? request->info.attempt_id
						: "-",
		       target->entry.id, mc_last_error_message());
	return true;
}

/* The latency of the attempt and the hedging delay are measured from the moment
 * that the connection is established, as the target can't know of the request
 * before. */
void send_on_connect(tier_t *tier, const conn_t *conn)
{
	attempt_t *attempt = mc_table_get(tier->attempts, conn->attempt);
	request_t *request =
		attempt ? mc_table_get(tier->requests, attempt->request) : NULL;
	target_t *target;

	if (!request)
		return;
	extras_send(tier, attempt);
	attempt->sent_at = mc_shard_now(tier->shard);
	request->parts[attempt->part].sent_at = attempt->sent_at;
	target = mc_table_get(tier->targets, attempt->target);
	if (!target)
		return;
	/* Keep the list ordered by send time, oldest first. */
	TAILQ_REMOVE(&target->attempts, attempt, target_entry);
	TAILQ_INSERT_TAIL(&target->attempts, attempt, target_entry);
	evidence_on_send(tier, target, attempt);
}

static void record_fault(tier_t *tier, target_t *target,
			 const request_t *request, mc_replica_fault_t fault,
			 const char *reason_name)
{
	mc_ms_t now = mc_shard_now(tier->shard);

	mc_counter_add(mc_shard_counters(tier->shard),
		       MC_COUNTER_TARGET_FAILURES, 1);
	if (!mc_replica_health_record_fault(&target->health, fault, now))
		return;
	mc_log(tier->log, MC_LOG_WARNING, "tier",
	       "target ejected after faults target=%s address=%s reason=%s "
	       "id=%s faults=%u out_ms=%lld",
	       target->entry.id, target->entry.address, reason_name,
	       request && request->info.attempt_id ? request->info.attempt_id
						   : "-",
	       target->health.consecutive_faults,
	       (long long)(target->health.ejected_until - now));
}

/* The extra request for which @attempt was made is still unsent. */
static void give_back_extra(request_t *request, const attempt_t *attempt)
{
	if (attempt->extra_withdrawn_at)
		request->parts[attempt->part].extra_withdrawn_at =
			attempt->extra_withdrawn_at;
}

void send_cancel(tier_t *tier, attempt_t *attempt)
{
	target_t *target = mc_table_get(tier->targets, attempt->target);
	conn_t *conn = mc_table_get(tier->conns, attempt->conn);
	mc_ms_t now = mc_shard_now(tier->shard);
	mc_ms_t waited = now - attempt->sent_at;
	request_t *request = mc_table_get(tier->requests, attempt->request);

	if (target && request)
		rollout_record_cancel(tier, request, target, attempt);
	if (request && conn && conn->is_open)
		usage_count_request(request, attempt);
	/* Nothing is sent before the connection is established. */
	if (request && conn && !conn->is_open) {
		give_back_extra(request, attempt);
		extras_refund(&request->parts[attempt->part]);
	}
	if (target && reachability_is_silent(target, attempt, now))
		target_mark_unresponsive(tier, target);
	if (target &&
	    (mc_replica_health_record_cancel(&target->health, waited,
					     attempt->typical_latency, now) ||
	     (waited > CANCEL_FAULT_MIN_MS &&
	      (double)waited > attempt->typical_latency * CANCEL_FAULT_FACTOR)))
		record_fault(tier, target, request,
			     MC_REPLICA_FAULT_NO_RESPONSE, "no_answer");
	remove_attempt(tier, attempt);
	if (!conn)
		return;
	conn->attempt = MC_HANDLE_NONE;
	pool_close(tier, conn);
	mc_counter_add(mc_shard_counters(tier->shard), MC_COUNTER_CANCELS, 1);
}

/* Whether the rest of a request at a target probably costs it less than a new
 * connection would: it tells its load, has a free slot as far as is known, and
 * nothing waits for its service. */
static bool is_nearly_done(tier_t *tier, const attempt_t *attempt,
			   const target_t *target)
{
	const service_t *service =
		mc_table_get(tier->services, attempt->service);
	mc_ms_t now = mc_shard_now(tier->shard);

	return target->load_reported && target->listed && !target->replaced &&
	       !target->notice.leaving_since && service &&
	       !service->waiting_count &&
	       now - attempt->sent_at < attempt->silence_max &&
	       select_relative_load(target, now) < 1;
}

void send_release(tier_t *tier, attempt_t *attempt)
{
	request_t *request = mc_table_get(tier->requests, attempt->request);
	target_t *target = mc_table_get(tier->targets, attempt->target);
	conn_t *conn = mc_table_get(tier->conns, attempt->conn);

	if (!request || !target || !conn || tier->draining ||
	    !is_nearly_done(tier, attempt, target) ||
	    !pool_keep_released(tier, conn)) {
		send_cancel(tier, attempt);
		return;
	}
	rollout_record_cancel(tier, request, target, attempt);
	TAILQ_REMOVE(&request->attempts, attempt, request_entry);
	request->parts[attempt->part].in_flight--;
	attempt->request = MC_HANDLE_NONE;
	attempt->is_released = true;
	target->released++;
}

/* Whether the response belongs to the request that was sent on @conn. If it
 * lacks an attempt id, only the first response on a connection is trusted. */
static bool is_own_response(const request_t *request, const conn_t *conn,
			    const mc_tier_response_info_t *response)
{
	if (!response->attempt_id)
		return conn->response_count == 1;
	return request->info.attempt_id &&
	       !strcmp(response->attempt_id, request->info.attempt_id);
}

/* Derives the load from other senders from the total load that the target
 * reports. */
static void record_load_report(target_t *target,
			       const mc_tier_response_info_t *response,
			       mc_ms_t now)
{
	uint32_t all = response->running + response->queued;
	uint32_t own = target->in_flight;

	if (!response->has_load)
		return;
	target->others_in_flight = all > own ? all - own : 0;
	target->load_reported = now;
}

/* What the target's pace at this moment explains says nothing of the time
 * after. */
static void record_health(target_t *target, const attempt_t *attempt,
			  mc_ms_t now)
{
	double pace = mc_replica_evidence_pace(&target->evidence, now);

	mc_replica_health_record_success(
		&target->health, now - attempt->sent_at,
		attempt->typical_latency * (pace > 1 ? pace : 1), now);
}

static void record_latency(request_t *request, target_t *target,
			   const attempt_t *attempt, mc_ms_t now)
{
	mc_ms_t latency = now - attempt->sent_at;

	record_health(target, attempt, now);
	if (!request->stats)
		return;
	if (request->part_count == 1)
		timing_record_latency(request->stats, latency);
	else if (request->latency_count < request->part_count)
		request->latencies[request->latency_count++] = latency;
	metrics_add(&request->stats->metrics->target, latency);
}

static bool is_success(const mc_h1_message_t *message)
{
	return message->status >= STATUS_OK_FIRST &&
	       message->status <= STATUS_OK_LAST;
}

/* Whether a response to a request that has run shows a fault of its target. */
static bool is_failure(const mc_h1_message_t *message,
		       const mc_tier_response_info_t *response)
{
	return message->status >= STATUS_FAULT_FIRST ||
	       (is_success(message) && !response->signature);
}

/* Classifies an unsuccessful response and records faults of the target. */
static mc_retry_failure_t classify_failure(
	tier_t *tier, target_t *target, const request_t *request,
	const mc_h1_message_t *message, const mc_tier_response_info_t *response,
	mc_err_t *reason)
{
	switch (response->kind) {
	case MC_TIER_RESPONSE_REPLACED:
		*reason = MC_ERR_NO_TARGET;
		if (target) {
			target->replaced = true;
			record_fault(tier, target, request,
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
	if (target && is_failure(message, response))
		record_fault(tier, target, request, MC_REPLICA_FAULT_ERROR,
			     "error");
	return MC_RETRY_FAILURE_ERROR;
}

bool send_on_response(tier_t *tier, conn_t *conn, attempt_t *attempt,
		      const mc_h1_message_t *message)
{
	request_t *request = mc_table_get(tier->requests, attempt->request);
	target_t *target = mc_table_get(tier->targets, attempt->target);
	mc_ms_t now = mc_shard_now(tier->shard);
	mc_tier_response_info_t response = { 0 };
	mc_err_t reason = MC_OK;
	part_t *part;
	mc_retry_failure_t failure;

	tier->protocol->parse_response(message, &response);
	if (request && !is_own_response(request, conn, &response)) {
		mc_counter_add(mc_shard_counters(tier->shard),
			       MC_COUNTER_LATE_REPLIES, 1);
		return false;
	}
	if (target) {
		target->last_seen = now;
		record_load_report(target, &response, now);
		evidence_on_response(tier, target, &response);
		if (response.kind != MC_TIER_RESPONSE_REPLACED)
			target_notice_record(tier, target, attempt, &response);
	}
	if (!request) {
		if (target && response.kind == MC_TIER_RESPONSE_RAN &&
		    is_success(message))
			record_health(target, attempt, now);
		remove_attempt(tier, attempt);
		return true;
	}
	part = &request->parts[attempt->part];
	if (response.kind == MC_TIER_RESPONSE_RAN)
		usage_count_request(request, attempt);
	if (target && response.kind == MC_TIER_RESPONSE_RAN)
		rollout_record_response(tier, request, target, attempt, message,
					is_failure(message, &response));
	if (response.kind == MC_TIER_RESPONSE_RAN && is_success(message) &&
	    response.signature) {
		if (target)
			record_latency(request, target, attempt, now);
		remove_attempt(tier, attempt);
		request_part_succeeded(request, part, message, &response);
		return true;
	}
	failure = classify_failure(tier, target, request, message, &response,
				   &reason);
	if (!mc_retry_may_have_run(failure))
		tried_was_rejected(part, attempt->target);
	remove_attempt(tier, attempt);
	request_part_failed(request, part, failure, reason, message, &response);
	return true;
}

void send_on_connection_lost(tier_t *tier, attempt_t *attempt, bool was_sent)
{
	request_t *request = mc_table_get(tier->requests, attempt->request);
	target_t *target = mc_table_get(tier->targets, attempt->target);
	uint32_t part = attempt->part;

	if (target)
		record_fault(tier, target, request,
			     was_sent ? MC_REPLICA_FAULT_CONNECTION_LOST
				      : MC_REPLICA_FAULT_UNREACHABLE,
			     was_sent ? "broken" : "unreachable");
	if (request && !was_sent) {
		tried_did_not_run(&request->parts[part], attempt->target);
		give_back_extra(request, attempt);
	}
	if (request && was_sent)
		usage_count_request(request, attempt);
	remove_attempt(tier, attempt);
	if (request)
		request_part_failed(request, &request->parts[part],
				    was_sent ? MC_RETRY_FAILURE_CONNECTION_LOST
					     : MC_RETRY_FAILURE_NOT_SENT,
				    was_sent ? MC_ERR_TARGET_FAILED
					     : MC_ERR_NO_TARGET,
				    NULL, NULL);
}
