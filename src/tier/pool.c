/*
 * Connections to targets. Each carries one request at a time; idle ones are
 * used again, the last used first, until shortly before the target would close
 * them.
 */
#include "tier_private.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "reachability.h"

enum {
	/* A connection that is not made by then is given up, ms. */
	CONNECT_MS = 400,
	/* An idle connection is kept so long when the target does not say. */
	IDLE_MS = 8000,
	/* So long before a target's own close an idle one is not used, ms. */
	IDLE_RESERVE_MS = 300,
	MS_PER_S = 1000,
};

static void link_opened(void *ctx, mc_handle_t connection);
static void link_answered(void *ctx, mc_handle_t connection,
			  const mc_h1_message_t *message);
static void link_closed(void *ctx, mc_handle_t connection, bool sent);

static const mc_h1_client_handlers_t client = {
	.connected = link_opened,
	.response = link_answered,
	.closed = link_closed,
};

static void set_idle(tier_t *tier, target_t *target, link_t *link, bool idle)
{
	(void)tier;
	if (link->is_idle == idle)
		return;
	link->is_idle = idle;
	if (idle)
		TAILQ_INSERT_HEAD(&target->idle, link, entry);
	else
		TAILQ_REMOVE(&target->idle, link, entry);
}

/* The connection itself is closed already, or closed by the caller. */
static void link_free(tier_t *tier, link_t *link)
{
	target_t *target = mc_table_get(tier->targets, link->target);

	mc_timer_cancel(tier->shard, link->timer);
	if (target) {
		set_idle(tier, target, link, false);
		target->link_count--;
	}
	mc_table_remove(tier->links, link->handle);
	if (target)
		world_target_done(tier, target);
}

void pool_drop(tier_t *tier, link_t *link)
{
	mc_h1_close(tier->h1, link->connection);
	link_free(tier, link);
}

void pool_close_idle(tier_t *tier, target_t *target)
{
	mc_handle_t handle = target->handle;
	link_t *link;

	/* The last connection of a target that is not listed frees it. */
	while (mc_table_get(tier->targets, handle) &&
	       (link = TAILQ_FIRST(&target->idle)))
		pool_drop(tier, link);
}

bool pool_room(tier_t *tier, const service_t *service, const target_t *target)
{
	(void)tier;
	return target->in_flight < target->load_max &&
	       (!TAILQ_EMPTY(&target->idle) ||
		target->link_count < service->links_max);
}

void target_missed(tier_t *tier, target_t *target)
{
	target->missed_last = mc_shard_now(tier->shard);
	if (target->missed <= target->heard)
		target->missed = target->missed_last;
	reach_probe_soon(tier);
}

/* What a connection without a request has shown of its target. */
static void note_probe(link_t *link, bool reached)
{
	tier_t *tier = link->tier;
	target_t *target = mc_table_get(tier->targets, link->target);

	if (!link->probes || !target)
		return;
	link->probes = false;
	if (reached) {
		target->heard = mc_shard_now(tier->shard);
		mc_replica_health_record_connect(&target->health);
	} else {
		mc_replica_health_record_fault(&target->health,
					       MC_REPLICA_FAULT_UNREACHABLE,
					       mc_shard_now(tier->shard));
	}
	mc_log(tier->log, MC_LOG_INFO, "tier", "target %s target=%s address=%s",
	       reached ? "is reached again" : "is still out of reach",
	       target->entry.id, target->entry.address);
}

static void give_up_connect(mc_shard_t *shard, void *arg)
{
	link_t *link = arg;
	tier_t *tier = link->tier;
	try_t *sent = mc_table_get(tier->tries, link->sent);
	target_t *target = mc_table_get(tier->targets, link->target);

	(void)shard;
	link->sent = MC_HANDLE_NONE;
	if (target)
		target_missed(tier, target);
	note_probe(link, false);
	pool_drop(tier, link);
	if (sent)
		send_broken(tier, sent, false);
}

static link_t *link_add(tier_t *tier, target_t *target)
{
	mc_ms_t until = mc_shard_now(tier->shard) + CONNECT_MS;
	mc_handle_t handle;
	link_t *link;
	void *slot;

	if (mc_table_add(tier->links, &handle, &slot))
		return NULL;
	link = slot;
	link->tier = tier;
	link->handle = handle;
	link->target = target->handle;
	if (mc_h1_connect(tier->h1, target->entry.address, &client, link,
			  &link->connection) ||
	    mc_timer_set(tier->shard, until, give_up_connect, link,
			 &link->timer)) {
		mc_log(tier->log, MC_LOG_WARNING, "tier",
		       "no connection target=%s reason=\"%s\"",
		       target->entry.id, mc_last_error_message());
		mc_h1_close(tier->h1, link->connection);
		mc_table_remove(tier->links, handle);
		return NULL;
	}
	target->link_count++;
	mc_counter_add(mc_shard_counters(tier->shard),
		       MC_COUNTER_TARGET_CONNECTIONS, 1);
	return link;
}

void pool_probe(tier_t *tier, target_t *target)
{
	const service_t *service =
		mc_table_get(tier->services, target->service);
	link_t *link;

	/* An idle connection says nothing: it may have been cut since. */
	if (service && target->link_count >= service->links_max &&
	    !TAILQ_EMPTY(&target->idle))
		pool_drop(tier, TAILQ_LAST(&target->idle, links_t));
	if (!service || target->link_count >= service->links_max)
		return;
	link = link_add(tier, target);
	if (!link)
		return;
	link->probes = true;
	target->probed = mc_shard_now(tier->shard);
	mc_replica_health_record_probe(&target->health, target->probed);
}

static void drop_expired(tier_t *tier, target_t *target)
{
	mc_ms_t now = mc_shard_now(tier->shard);
	link_t *link, *next;

	for (link = TAILQ_FIRST(&target->idle); link; link = next) {
		next = TAILQ_NEXT(link, entry);
		if (link->idle_until <= now)
			pool_drop(tier, link);
	}
}

link_t *pool_take(tier_t *tier, const service_t *service, target_t *target,
		  bool fresh)
{
	link_t *link;

	drop_expired(tier, target);
	link = TAILQ_FIRST(&target->idle);
	if (link && !fresh) {
		set_idle(tier, target, link, false);
		return link;
	}
	if (link && target->link_count >= service->links_max)
		pool_drop(tier, TAILQ_LAST(&target->idle, links_t));
	if (target->link_count >= service->links_max)
		return NULL;
	return link_add(tier, target);
}

static void wake_service(tier_t *tier, mc_handle_t target_handle)
{
	target_t *target = mc_table_get(tier->targets, target_handle);
	service_t *service =
		target ? mc_table_get(tier->services, target->service) : NULL;

	if (service)
		service_wake(tier, service);
}

static void link_opened(void *ctx, mc_handle_t connection)
{
	link_t *link = ctx;
	target_t *target;

	(void)connection;
	link->open = true;
	send_opened(link->tier, link);
	mc_timer_cancel(link->tier->shard, link->timer);
	if (!link->probes)
		return;
	note_probe(link, true);
	target = mc_table_get(link->tier->targets, link->target);
	if (!target)
		return;
	link->idle_until = mc_shard_now(link->tier->shard) + IDLE_MS;
	set_idle(link->tier, target, link, true);
	wake_service(link->tier, link->target);
}

/* How long the target keeps an idle connection, from its answer. */
static mc_ms_t idle_time(const mc_h1_message_t *message)
{
	const char *value = mc_h1_get_header(message, "Keep-Alive");
	const char *timeout = value ? strcasestr(value, "timeout=") : NULL;
	long seconds;

	if (!timeout)
		return IDLE_MS;
	seconds = strtol(timeout + strlen("timeout="), NULL, 10);
	return seconds * MS_PER_S - IDLE_RESERVE_MS;
}

static void link_answered(void *ctx, mc_handle_t connection,
			  const mc_h1_message_t *message)
{
	link_t *link = ctx;
	tier_t *tier = link->tier;
	mc_handle_t handle = link->handle;
	mc_handle_t target_handle = link->target;
	target_t *target;
	try_t *sent = mc_table_get(tier->tries, link->sent);

	link->uses++;
	if (sent && !send_answered(tier, link, sent, message)) {
		link->spoiled = true;
		mc_h1_await_next_response(tier->h1, connection);
		return;
	}
	link = mc_table_get(tier->links, handle);
	if (!link)
		return;
	link->sent = MC_HANDLE_NONE;
	target = mc_table_get(tier->targets, target_handle);
	if (!message->keep_alive)
		return;
	if (!target || !target->listed || link->spoiled) {
		pool_drop(tier, link);
	} else {
		link->idle_until =
			mc_shard_now(tier->shard) + idle_time(message);
		set_idle(tier, target, link, true);
	}
	wake_service(tier, target_handle);
}

static void link_closed(void *ctx, mc_handle_t connection, bool sent_bytes)
{
	link_t *link = ctx;
	tier_t *tier = link->tier;
	mc_handle_t target_handle = link->target;
	target_t *target = mc_table_get(tier->targets, target_handle);
	try_t *sent = mc_table_get(tier->tries, link->sent);

	(void)connection;
	/* Who refuses a connection can be reached, whatever is wrong there. */
	if (!link->open && target)
		target->heard = mc_shard_now(tier->shard);
	note_probe(link, false);
	link_free(tier, link);
	if (sent)
		send_broken(tier, sent, sent_bytes);
	wake_service(tier, target_handle);
}
