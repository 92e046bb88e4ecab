/*
 * Reports on targets between instances. An instance sends it to its
 * upstream on a link of its own, and the upstream passes it on to its other
 * subscribers, so that each instance has one such link however many there are.
 * Messages are few: items wait for some milliseconds, longer with more
 * subscribers, and are dropped over a budget. Nothing relies on evidence: after
 * a lost link, or beside an upstream of an older version, which closes the link
 * as its first message is no HELLO, each instance has its own.
 */
#include "relay_private.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "frame.h"

enum {
	/* Interval at which the link is checked, ms. */
	EVIDENCE_CHECK_MS = 500,
	/* A peer that has closed the link is not connected to again for this
	 * time, ms. */
	EVIDENCE_AVOID_MS = 10000,
	/* Items wait for this time to share a message, ms ... */
	EVIDENCE_WAIT_MS = 4,
	/* ... and longer if there would be more messages per second. */
	EVIDENCE_FRAMES_PER_S = 2000,
	/* Budget of items per second; each takes some 13 bytes. */
	EVIDENCE_ITEMS_PER_S = 230,
	MS_PER_S = 1000,
};

mc_err_t evidence_init(mc_relay_t *relay)
{
	evidence_t *evidence = &relay->evidence;

	evidence->subscribers =
		mc_table_create(sizeof(mc_handle_t), RELAY_SUBSCRIBERS_MAX);
	evidence->items =
		calloc(MC_WIRE_RELAY_EVIDENCE_MAX, sizeof(*evidence->items));
	evidence->added_at =
		calloc(MC_WIRE_RELAY_EVIDENCE_MAX, sizeof(*evidence->added_at));
	if (evidence->subscribers && evidence->items && evidence->added_at)
		return MC_OK;
	return mc_fail(MC_ERR_NO_MEMORY, "no memory for a relay's evidence");
}

void evidence_destroy(mc_relay_t *relay)
{
	evidence_t *evidence = &relay->evidence;
	uint32_t cursor = 0;
	mc_handle_t handle;
	const mc_handle_t *link;

	while (evidence->subscribers &&
	       (link = mc_table_next(evidence->subscribers, &cursor, &handle)))
		mc_link_close(relay->params.shard, *link);
	mc_timer_cancel(relay->params.shard, evidence->check_timer);
	mc_timer_cancel(relay->params.shard, evidence->flush_timer);
	mc_link_close(relay->params.shard, evidence->link);
	mc_table_destroy(evidence->subscribers);
	free(evidence->items);
	free(evidence->added_at);
}

static void send_items(mc_relay_t *relay, mc_handle_t link, uint32_t count)
{
	const mc_wire_message_t message = {
		.kind = MC_WIRE_RELAY_EVIDENCE,
		.relay_evidence = { .count = count,
				    .items = relay->evidence.items },
	};

	relay_send(relay, link, &message);
}

static void send_to_subscribers(mc_relay_t *relay)
{
	const mc_wire_message_t message = {
		.kind = MC_WIRE_RELAY_EVIDENCE,
		.relay_evidence = { .count = relay->evidence.count,
				    .items = relay->evidence.items },
	};
	uint32_t cursor = 0;
	mc_handle_t handle;
	const mc_handle_t *link;
	char *data;
	size_t size;

	if (!mc_table_count(relay->evidence.subscribers) ||
	    frame_encode(&message, &data, &size))
		return;
	while ((link = mc_table_next(relay->evidence.subscribers, &cursor,
				     &handle)))
		relay_send_frame(relay, *link, data, size);
	free(data);
}

static void flush(mc_shard_t *shard, void *arg)
{
	mc_relay_t *relay = arg;
	evidence_t *evidence = &relay->evidence;
	mc_ms_t now = mc_shard_now(shard);
	uint32_t i;

	evidence->flush_timer = MC_HANDLE_NONE;
	for (i = 0; i < evidence->count; i++)
		evidence->items[i].age +=
			(uint32_t)(now - evidence->added_at[i]);
	if (evidence->link.generation)
		send_items(relay, evidence->link, evidence->count);
	send_to_subscribers(relay);
	evidence->count = 0;
}

static bool take_from_budget(evidence_t *evidence, mc_ms_t now)
{
	mc_ms_t second = now / MS_PER_S;

	if (second != evidence->budget_second)
		evidence->budget_used = 0;
	evidence->budget_second = second;
	if (evidence->budget_used >= EVIDENCE_ITEMS_PER_S)
		return false;
	evidence->budget_used++;
	return true;
}

/* Adds items to the next message. */
static void add_items(mc_relay_t *relay, const mc_wire_evidence_t *items,
		      uint32_t count)
{
	evidence_t *evidence = &relay->evidence;
	mc_ms_t now = mc_shard_now(relay->params.shard);
	mc_ms_t wait = EVIDENCE_WAIT_MS +
		       mc_table_count(evidence->subscribers) *
			       (mc_ms_t)MS_PER_S / EVIDENCE_FRAMES_PER_S;
	uint32_t i;

	for (i = 0; i < count; i++) {
		if (evidence->count >= MC_WIRE_RELAY_EVIDENCE_MAX ||
		    !take_from_budget(evidence, now)) {
			mc_counter_add(mc_shard_counters(relay->params.shard),
				       MC_COUNTER_EVIDENCE_DROPPED, count - i);
			break;
		}
		evidence->items[evidence->count] = items[i];
		evidence->added_at[evidence->count++] = now;
	}
	if (evidence->count && !evidence->flush_timer.generation)
		relay_set_timer(relay, wait, flush, &evidence->flush_timer);
}

static void deliver(mc_relay_t *relay, const mc_wire_relay_evidence_t *message)
{
	mc_counter_add(mc_shard_counters(relay->params.shard),
		       MC_COUNTER_EVIDENCE_HEARD, message->count);
	if (relay->params.ops->on_evidence && message->count)
		relay->params.ops->on_evidence(relay->params.ctx,
					       message->items, message->count);
}

void evidence_add_subscriber(mc_relay_t *relay, mc_handle_t link)
{
	mc_handle_t handle;
	void *slot;

	if (mc_table_add(relay->evidence.subscribers, &handle, &slot)) {
		mc_link_close(relay->params.shard, link);
		return;
	}
	*(mc_handle_t *)slot = link;
	mc_log(mc_shard_log(relay->params.shard), MC_LOG_INFO, "news",
	       "instance connected for evidence of targets count=%u",
	       mc_table_count(relay->evidence.subscribers));
}

/* Handle of a subscriber; MC_HANDLE_NONE if the link is none of them. */
static mc_handle_t find_subscriber(const mc_relay_t *relay, mc_handle_t link)
{
	uint32_t cursor = 0;
	mc_handle_t handle;
	const mc_handle_t *other;

	while ((other = mc_table_next(relay->evidence.subscribers, &cursor,
				      &handle)))
		if (mc_handle_equal(*other, link))
			return handle;
	return MC_HANDLE_NONE;
}

void evidence_remove_subscriber(mc_relay_t *relay, mc_handle_t link)
{
	mc_handle_t handle = find_subscriber(relay, link);

	if (handle.generation)
		mc_table_remove(relay->evidence.subscribers, handle);
}

void evidence_on_subscriber_frame(mc_relay_t *relay, mc_handle_t link,
				  const char *data, size_t size)
{
	mc_wire_message_t *message;

	if (!find_subscriber(relay, link).generation)
		return;
	if (frame_decode(data, size, &message) ||
	    message->kind != MC_WIRE_RELAY_EVIDENCE) {
		mc_log(mc_shard_log(relay->params.shard), MC_LOG_WARNING,
		       "news", "link for evidence closed: invalid message");
		mc_link_close(relay->params.shard, link);
		evidence_remove_subscriber(relay, link);
		mc_wire_free(message);
		return;
	}
	deliver(relay, &message->relay_evidence);
	add_items(relay, message->relay_evidence.items,
		  message->relay_evidence.count);
	mc_wire_free(message);
}

static void disconnect(mc_relay_t *relay, const char *reason)
{
	evidence_t *evidence = &relay->evidence;

	mc_log(mc_shard_log(relay->params.shard), MC_LOG_INFO, "news",
	       "link for evidence of targets closed peer=%s reason=%s",
	       evidence->peer, reason);
	mc_link_close(relay->params.shard, evidence->link);
	evidence->link = MC_HANDLE_NONE;
	evidence->avoid_until =
		mc_shard_now(relay->params.shard) + EVIDENCE_AVOID_MS;
}

static void on_opened(void *ctx, mc_handle_t link)
{
	/* An empty message makes this instance a subscriber. */
	send_items(ctx, link, 0);
}

static void on_frame(void *ctx, mc_handle_t link, const char *data, size_t size)
{
	mc_relay_t *relay = ctx;
	mc_wire_message_t *message;

	(void)link;
	if (frame_decode(data, size, &message)) {
		disconnect(relay, "bad_message");
		return;
	}
	if (message->kind == MC_WIRE_RELAY_EVIDENCE)
		deliver(relay, &message->relay_evidence);
	mc_wire_free(message);
}

static void on_closed(void *ctx, mc_handle_t link, mc_err_t reason)
{
	mc_relay_t *relay = ctx;

	(void)link;
	disconnect(relay, mc_error_name(reason));
}

/* Address of the upstream; NULL without one. */
static const char *upstream_address(const mc_relay_t *relay)
{
	uint32_t i;

	for (i = 0; relay->is_fresh && i < relay->peer_count; i++)
		if (!strcmp(relay->peers[i].name, relay->upstream_name))
			return relay->peers[i].address;
	return NULL;
}

static void connect_upstream(mc_relay_t *relay, const char *address)
{
	static const mc_link_events_t events = {
		.opened = on_opened,
		.frame = on_frame,
		.closed = on_closed,
	};
	evidence_t *evidence = &relay->evidence;

	snprintf(evidence->peer, sizeof(evidence->peer), "%s",
		 relay->upstream_name);
	if (mc_link_connect(relay->params.shard, address, &events, relay,
			    &evidence->link))
		evidence->link = MC_HANDLE_NONE;
}

static void check(mc_shard_t *shard, void *arg)
{
	mc_relay_t *relay = arg;
	evidence_t *evidence = &relay->evidence;
	const char *address = upstream_address(relay);
	bool is_other = strcmp(evidence->peer, relay->upstream_name) != 0;

	evidence->check_timer = MC_HANDLE_NONE;
	if (evidence->link.generation && (!address || is_other)) {
		mc_link_close(shard, evidence->link);
		evidence->link = MC_HANDLE_NONE;
	}
	if (!evidence->link.generation && address &&
	    (is_other || mc_shard_now(shard) >= evidence->avoid_until))
		connect_upstream(relay, address);
	relay_set_timer(relay, EVIDENCE_CHECK_MS, check,
			&evidence->check_timer);
}

void mc_relay_send_evidence(mc_relay_t *relay, const mc_wire_evidence_t *items,
			    uint32_t count)
{
	if (!relay->evidence.is_enabled) {
		relay->evidence.is_enabled = true;
		check(relay->params.shard, relay);
	}
	add_items(relay, items, count);
}
