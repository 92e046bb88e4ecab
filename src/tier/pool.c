/*
 * Connection pool of the targets. A connection carries one request at a time.
 * Idle connections are reused in LIFO order until shortly before the target
 * would close them.
 */
#include "tier_private.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "reachability.h"

enum {
	/* A connection not established within this time is abandoned, ms. */
	CONNECT_TIMEOUT_MS = 400,
	/* Idle timeout of a connection if the target announces none, ms. */
	IDLE_DEFAULT_MS = 8000,
	/* How long a connection whose response is not needed any more is kept
	 * for it, ms: shorter than the half second in which the work for a
	 * caller that leaves must end. */
	RELEASED_MAX_MS = 250,
	/* An idle connection is not reused during this time before the target's
	 * announced timeout, ms. */
	IDLE_MARGIN_MS = 300,
	MS_PER_S = 1000,
};

static void on_connect(void *ctx, mc_handle_t connection);
static void on_response(void *ctx, mc_handle_t connection,
			const mc_h1_message_t *message);
static void on_close(void *ctx, mc_handle_t connection, bool sent_bytes);

static const mc_h1_client_handlers_t client = {
	.connected = on_connect,
	.response = on_response,
	.closed = on_close,
};

static void set_idle(tier_t *tier, target_t *target, conn_t *conn, bool idle)
{
	(void)tier;
	if (conn->is_idle == idle)
		return;
	conn->is_idle = idle;
	if (idle)
		TAILQ_INSERT_HEAD(&target->idle, conn, entry);
	else
		TAILQ_REMOVE(&target->idle, conn, entry);
}

/* Frees the pool's entry; its HTTP connection is already closed or closed by
 * the function that calls this. */
static void conn_free(tier_t *tier, conn_t *conn)
{
	target_t *target = mc_table_get(tier->targets, conn->target);

	mc_timer_cancel(tier->shard, conn->timer);
	if (target) {
		set_idle(tier, target, conn, false);
		target->conn_count--;
	}
	mc_table_remove(tier->conns, conn->handle);
	if (target)
		target_release(tier, target);
}

void pool_close(tier_t *tier, conn_t *conn)
{
	mc_h1_close(tier->h1, conn->h1_conn);
	conn_free(tier, conn);
}

void pool_close_idle(tier_t *tier, target_t *target)
{
	mc_handle_t handle = target->handle;
	conn_t *conn;

	/* Closing the last connection of an unlisted target frees the target.
	 */
	while (mc_table_get(tier->targets, handle) &&
	       (conn = TAILQ_FIRST(&target->idle)))
		pool_close(tier, conn);
}

static uint32_t conns_limit(const service_t *service, const target_t *target)
{
	return target->owned ? service->owned_conns_max : service->conns_max;
}

bool pool_has_capacity(tier_t *tier, const service_t *service,
		       const target_t *target)
{
	(void)tier;
	return target->in_flight - target->released < target->in_flight_max &&
	       (!TAILQ_EMPTY(&target->idle) || target->released ||
		target->conn_count < conns_limit(service, target));
}

void target_mark_unresponsive(tier_t *tier, target_t *target)
{
	target->unresponsive_confirmed = mc_shard_now(tier->shard);
	if (target->unresponsive_since <= target->last_seen)
		target->unresponsive_since = target->unresponsive_confirmed;
	reachability_schedule_probe(tier);
}

/* Records the result of a probe connection. */
static void record_probe_result(conn_t *conn, bool connected)
{
	tier_t *tier = conn->tier;
	target_t *target = mc_table_get(tier->targets, conn->target);

	if (!conn->is_probe || !target)
		return;
	conn->is_probe = false;
	if (connected) {
		target->last_seen = mc_shard_now(tier->shard);
		mc_replica_health_record_connect(&target->health);
	} else {
		mc_replica_health_record_fault(&target->health,
					       MC_REPLICA_FAULT_UNREACHABLE,
					       mc_shard_now(tier->shard));
	}
	mc_log(tier->log, MC_LOG_INFO, "tier", "target %s target=%s address=%s",
	       connected ? "reachable again"
			 : "still unreachable: probe failed",
	       target->entry.id, target->entry.address);
}

/* Connecting took too long, or failed at once. */
static void on_not_connected(mc_shard_t *shard, void *arg)
{
	conn_t *conn = arg;
	tier_t *tier = conn->tier;
	attempt_t *attempt = mc_table_get(tier->attempts, conn->attempt);
	target_t *target = mc_table_get(tier->targets, conn->target);

	(void)shard;
	conn->attempt = MC_HANDLE_NONE;
	if (target)
		target_mark_unresponsive(tier, target);
	record_probe_result(conn, false);
	pool_close(tier, conn);
	if (attempt)
		send_on_connection_lost(tier, attempt, false);
}

static conn_t *conn_add(tier_t *tier, target_t *target)
{
	mc_ms_t until = mc_shard_now(tier->shard) + CONNECT_TIMEOUT_MS;
	mc_handle_t handle;
	conn_t *conn;
	mc_err_t err;
	void *slot;

	if (mc_table_add(tier->conns, &handle, &slot))
		return NULL;
	conn = slot;
	conn->tier = tier;
	conn->handle = handle;
	conn->target = target->handle;
	err = mc_h1_connect(tier->h1, target->entry.address, &client, conn,
			    &conn->h1_conn);
	if (err)
		mc_log(tier->log, MC_LOG_WARNING, "tier",
		       "connection to target could not be opened target=%s "
		       "reason=\"%s\"",
		       target->entry.id, mc_last_error_message());
	/* Whatever is at fault here is no failure of the target. */
	if (err && err != MC_ERR_IO && err != MC_ERR_BAD_SETTINGS) {
		mc_table_remove(tier->conns, handle);
		return NULL;
	}
	conn->has_failed = err != MC_OK;
	if (conn->has_failed)
		until = mc_shard_now(tier->shard);
	if (mc_timer_set(tier->shard, until, on_not_connected, conn,
			 &conn->timer)) {
		mc_h1_close(tier->h1, conn->h1_conn);
		mc_table_remove(tier->conns, handle);
		return NULL;
	}
	target->conn_count++;
	mc_counter_add(mc_shard_counters(tier->shard),
		       MC_COUNTER_TARGET_CONNECTIONS, 1);
	return conn;
}

void pool_probe(tier_t *tier, target_t *target)
{
	const service_t *service =
		mc_table_get(tier->services, target->service);
	conn_t *conn;

	/* At the connection limit an idle connection is replaced: it proves
	 * nothing, as the network may have failed since. */
	if (service && target->conn_count >= conns_limit(service, target) &&
	    !TAILQ_EMPTY(&target->idle))
		pool_close(tier, TAILQ_LAST(&target->idle, conn_list_t));
	if (!service || target->conn_count >= conns_limit(service, target))
		return;
	conn = conn_add(tier, target);
	if (!conn)
		return;
	conn->is_probe = true;
	target->last_probe = mc_shard_now(tier->shard);
	mc_replica_health_record_probe(&target->health, target->last_probe);
}

static void close_expired(tier_t *tier, target_t *target)
{
	mc_ms_t now = mc_shard_now(tier->shard);
	conn_t *conn, *next;

	for (conn = TAILQ_FIRST(&target->idle); conn; conn = next) {
		next = TAILQ_NEXT(conn, entry);
		if (conn->idle_until <= now)
			pool_close(tier, conn);
	}
}

static void on_released_timeout(mc_shard_t *shard, void *arg)
{
	conn_t *conn = arg;
	tier_t *tier = conn->tier;
	attempt_t *attempt = mc_table_get(tier->attempts, conn->attempt);

	(void)shard;
	if (attempt)
		send_cancel(tier, attempt);
}

bool pool_keep_released(tier_t *tier, conn_t *conn)
{
	mc_ms_t until = mc_shard_now(tier->shard) + RELEASED_MAX_MS;

	return conn->is_open && !conn->mismatched &&
	       !mc_timer_set(tier->shard, until, on_released_timeout, conn,
			     &conn->timer);
}

/* Makes room for a connection by closing one whose response is not needed. */
static void cancel_released(tier_t *tier, target_t *target)
{
	attempt_t *attempt = TAILQ_FIRST(&target->attempts);

	while (attempt && !attempt->is_released)
		attempt = TAILQ_NEXT(attempt, target_entry);
	if (attempt)
		send_cancel(tier, attempt);
}

conn_t *pool_acquire(tier_t *tier, const service_t *service, target_t *target,
		     bool fresh)
{
	conn_t *conn;

	close_expired(tier, target);
	conn = TAILQ_FIRST(&target->idle);
	if (conn && !fresh) {
		set_idle(tier, target, conn, false);
		return conn;
	}
	if (conn && target->conn_count >= conns_limit(service, target))
		pool_close(tier, TAILQ_LAST(&target->idle, conn_list_t));
	if (target->conn_count >= conns_limit(service, target))
		cancel_released(tier, target);
	if (target->conn_count >= conns_limit(service, target))
		return NULL;
	return conn_add(tier, target);
}

static void dispatch_waiting(tier_t *tier, mc_handle_t target_handle)
{
	target_t *target = mc_table_get(tier->targets, target_handle);
	service_t *service =
		target ? mc_table_get(tier->services, target->service) : NULL;

	if (service)
		service_dispatch_waiting(tier, service);
}

static void on_connect(void *ctx, mc_handle_t connection)
{
	conn_t *conn = ctx;
	target_t *target;

	(void)connection;
	conn->is_open = true;
	send_on_connect(conn->tier, conn);
	mc_timer_cancel(conn->tier->shard, conn->timer);
	if (!conn->is_probe)
		return;
	record_probe_result(conn, true);
	target = mc_table_get(conn->tier->targets, conn->target);
	if (!target)
		return;
	conn->idle_until = mc_shard_now(conn->tier->shard) + IDLE_DEFAULT_MS;
	set_idle(conn->tier, target, conn, true);
	dispatch_waiting(conn->tier, conn->target);
}

/* Idle timeout of a connection, from the Keep-Alive header of a response. */
static mc_ms_t idle_timeout(const mc_h1_message_t *message)
{
	const char *value = mc_h1_get_header(message, "Keep-Alive");
	const char *timeout = value ? strcasestr(value, "timeout=") : NULL;
	long seconds;

	if (!timeout)
		return IDLE_DEFAULT_MS;
	seconds = strtol(timeout + strlen("timeout="), NULL, 10);
	return seconds * MS_PER_S - IDLE_MARGIN_MS;
}

static void on_response(void *ctx, mc_handle_t connection,
			const mc_h1_message_t *message)
{
	conn_t *conn = ctx;
	tier_t *tier = conn->tier;
	mc_handle_t handle = conn->handle;
	mc_handle_t target_handle = conn->target;
	target_t *target;
	attempt_t *attempt = mc_table_get(tier->attempts, conn->attempt);

	conn->response_count++;
	if (attempt && !send_on_response(tier, conn, attempt, message)) {
		conn->mismatched = true;
		mc_h1_await_next_response(tier->h1, connection);
		return;
	}
	conn = mc_table_get(tier->conns, handle);
	if (!conn)
		return;
	conn->attempt = MC_HANDLE_NONE;
	mc_timer_cancel(tier->shard, conn->timer);
	target = mc_table_get(tier->targets, target_handle);
	if (!message->keep_alive)
		return;
	if (!target || !target->listed || conn->mismatched) {
		pool_close(tier, conn);
	} else {
		conn->idle_until =
			mc_shard_now(tier->shard) + idle_timeout(message);
		set_idle(tier, target, conn, true);
	}
	dispatch_waiting(tier, target_handle);
}

static void on_close(void *ctx, mc_handle_t connection, bool sent_bytes)
{
	conn_t *conn = ctx;
	tier_t *tier = conn->tier;
	mc_handle_t target_handle = conn->target;
	target_t *target = mc_table_get(tier->targets, target_handle);
	attempt_t *attempt = mc_table_get(tier->attempts, conn->attempt);

	/* A target that refuses a connection is reachable, even if it does not
	 * serve requests. */
	if (!conn->is_open && target) {
		target->last_seen = mc_shard_now(tier->shard);
		if (mc_h1_was_refused(tier->h1, connection))
			target->refused_at = target->last_seen;
	}
	record_probe_result(conn, false);
	conn_free(tier, conn);
	if (attempt)
		send_on_connection_lost(tier, attempt, sent_bytes);
	dispatch_waiting(tier, target_handle);
}
