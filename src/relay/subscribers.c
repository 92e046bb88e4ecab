/*
 * The subscribers of this instance. They get its state when they connect and
 * with each heartbeat, and in between the changes from the store, in order.
 * Changes that would take too much of this instance's bandwidth are not sent:
 * subscribers see from the revisions in the state that they lack changes, and
 * read those from the store.
 */
#include "relay_private.h"

#include <stdlib.h>

#include "frame.h"

enum {
	/* Budget for changes sent, to all subscribers together: the most
	 * unused bytes that accumulate, and the bytes added per second. */
	BUDGET_BYTES_MAX = 320 << 10,
	BUDGET_BYTES_PER_S = 256 << 10,
	MS_PER_S = 1000,
};

static void send_state(mc_relay_t *relay, const subscriber_t *subscriber)
{
	mc_relay_known_t known[MC_WIRE_RELAY_KINDS_MAX] = { 0 };
	uint64_t revisions[MC_WIRE_RELAY_KINDS_MAX];
	uint64_t complete_for[MC_WIRE_RELAY_KINDS_MAX];
	uint32_t kinds = relay->params.kind_count, i;
	mc_ms_t since = subscriber->subscribed_at;
	mc_wire_message_t message = { .kind = MC_WIRE_RELAY_STATE };

	message.relay_state = (mc_wire_relay_state_t){
		.watches_store = relay->params.ops->get_known(relay->params.ctx,
							      since, known),
		.count = kinds,
		.revisions = revisions,
		.complete_count = kinds,
		.complete_for = complete_for,
	};
	for (i = 0; i < kinds; i++) {
		revisions[i] = known[i].revision;
		complete_for[i] = known[i].complete_at > since
					  ? known[i].complete_at - since
					  : 0;
	}
	/* The era follows the kinds' revisions where the store tells it. */
	if (relay->era)
		revisions[message.relay_state.count++] = relay->era;
	relay_send(relay, subscriber->link, &message);
}

void mc_relay_send_state(mc_relay_t *relay)
{
	uint32_t cursor = 0;
	mc_handle_t handle;
	const subscriber_t *subscriber;

	while ((subscriber =
			mc_table_next(relay->subscribers, &cursor, &handle)))
		if (subscriber->hello_received)
			send_state(relay, subscriber);
}

static void send_heartbeat(mc_shard_t *shard, void *arg)
{
	mc_relay_t *relay = arg;

	(void)shard;
	relay->heartbeat_timer = MC_HANDLE_NONE;
	mc_relay_send_state(relay);
	if (mc_table_count(relay->subscribers))
		relay_set_timer(relay, RELAY_HEARTBEAT_MS, send_heartbeat,
				&relay->heartbeat_timer);
}

/* Takes @bytes from the budget. Returns false when there is not enough left. */
static bool take_from_budget(mc_relay_t *relay, size_t bytes)
{
	mc_ms_t now = mc_shard_now(relay->params.shard);
	mc_ms_t full =
		(mc_ms_t)BUDGET_BYTES_MAX * MS_PER_S / BUDGET_BYTES_PER_S;
	mc_ms_t cost = (mc_ms_t)bytes * MS_PER_S / BUDGET_BYTES_PER_S;

	/* A token bucket that counts time: each byte costs the time in which
	 * its budget is earned. */
	if (relay->budget_spent_until < now - full)
		relay->budget_spent_until = now - full;
	if (relay->budget_spent_until + cost > now)
		return false;
	relay->budget_spent_until += cost;
	return true;
}

void mc_relay_send_changes(mc_relay_t *relay, uint32_t kind, uint64_t since,
			   const char *raw)
{
	const mc_wire_message_t message = {
		.kind = MC_WIRE_RELAY_CHANGES,
		.relay_changes = { .record_kind = kind,
				   .after_revision = since,
				   .text = raw },
	};
	uint32_t subscribers = mc_table_count(relay->subscribers), cursor = 0;
	mc_handle_t handle;
	const subscriber_t *subscriber;
	char *data;
	size_t size;

	if (!subscribers)
		return;
	if (frame_encode(&message, &data, &size)) {
		mc_log(mc_shard_log(relay->params.shard), MC_LOG_ERROR, "news",
		       "changes not relayed: %s", mc_last_error_message());
		mc_relay_send_state(relay);
		return;
	}
	if (take_from_budget(relay, size * subscribers)) {
		while ((subscriber = mc_table_next(relay->subscribers, &cursor,
						   &handle)))
			if (subscriber->hello_received)
				relay_send_frame(relay, subscriber->link, data,
						 size);
	} else {
		mc_log(mc_shard_log(relay->params.shard), MC_LOG_DEBUG, "news",
		       "changes not relayed: over the byte budget kind=%u "
		       "bytes=%zu hearers=%u",
		       kind, size, subscribers);
		mc_relay_send_state(relay);
	}
	free(data);
}

uint32_t mc_relay_subscriber_count(const mc_relay_t *relay)
{
	return mc_table_count(relay->subscribers);
}

static void on_subscriber_opened(void *ctx, mc_handle_t link)
{
	mc_relay_t *relay = ctx;
	mc_handle_t handle;
	subscriber_t *subscriber;
	void *slot;

	if (mc_table_add(relay->subscribers, &handle, &slot)) {
		mc_log(mc_shard_log(relay->params.shard), MC_LOG_WARNING,
		       "news", "subscriber refused: %s",
		       mc_last_error_message());
		mc_link_close(relay->params.shard, link);
		return;
	}
	subscriber = slot;
	subscriber->relay = relay;
	subscriber->handle = handle;
	subscriber->link = link;
}

static subscriber_t *find_subscriber(mc_relay_t *relay, mc_handle_t link)
{
	uint32_t cursor = 0;
	mc_handle_t handle;
	subscriber_t *subscriber;

	while ((subscriber =
			mc_table_next(relay->subscribers, &cursor, &handle)))
		if (mc_handle_equal(subscriber->link, link))
			return subscriber;
	return NULL;
}

static void on_subscriber_frame(void *ctx, mc_handle_t link, const char *data,
				size_t size)
{
	mc_relay_t *relay = ctx;
	subscriber_t *subscriber = find_subscriber(relay, link);
	mc_wire_message_t *message;
	mc_err_t err;

	if (!subscriber) {
		evidence_on_subscriber_frame(relay, link, data, size);
		return;
	}
	err = frame_decode(data, size, &message);
	if (!err && message->kind == MC_WIRE_RELAY_EVIDENCE &&
	    !subscriber->hello_received) {
		mc_table_remove(relay->subscribers, subscriber->handle);
		evidence_add_subscriber(relay, link);
		evidence_on_subscriber_frame(relay, link, data, size);
		mc_wire_free(message);
		return;
	}
	if (err || message->kind != MC_WIRE_HELLO ||
	    message->hello.version != MC_WIRE_VERSION) {
		mc_log(mc_shard_log(relay->params.shard), MC_LOG_WARNING,
		       "news",
		       "subscriber refused: first message is not a valid HELLO");
		mc_link_close(relay->params.shard, link);
		mc_table_remove(relay->subscribers, subscriber->handle);
		mc_wire_free(message);
		return;
	}
	mc_log(mc_shard_log(relay->params.shard), MC_LOG_INFO, "news",
	       "subscriber connected peer=%s", message->hello.address);
	mc_wire_free(message);
	subscriber->hello_received = true;
	subscriber->subscribed_at = mc_shard_now(relay->params.shard);
	send_state(relay, subscriber);
	if (!relay->heartbeat_timer.generation)
		relay_set_timer(relay, RELAY_HEARTBEAT_MS, send_heartbeat,
				&relay->heartbeat_timer);
}

static void on_subscriber_closed(void *ctx, mc_handle_t link, mc_err_t reason)
{
	mc_relay_t *relay = ctx;
	subscriber_t *subscriber = find_subscriber(relay, link);

	(void)reason;
	if (subscriber)
		mc_table_remove(relay->subscribers, subscriber->handle);
	else
		evidence_remove_subscriber(relay, link);
}

mc_err_t subscribers_init(mc_relay_t *relay)
{
	static const mc_link_events_t events = {
		.opened = on_subscriber_opened,
		.frame = on_subscriber_frame,
		.closed = on_subscriber_closed,
	};
	uint16_t port;

	relay->subscribers =
		mc_table_create(sizeof(subscriber_t), RELAY_SUBSCRIBERS_MAX);
	if (!relay->subscribers)
		return mc_fail(MC_ERR_NO_MEMORY, "no memory for subscribers");
	return mc_link_listen(relay->params.shard, relay->address, &events,
			      relay, &port, &relay->listener);
}

void subscribers_destroy(mc_relay_t *relay)
{
	uint32_t cursor = 0;
	mc_handle_t handle;
	const subscriber_t *subscriber;

	mc_timer_cancel(relay->params.shard, relay->heartbeat_timer);
	mc_link_stop_listening(relay->params.shard, relay->listener);
	while ((subscriber =
			mc_table_next(relay->subscribers, &cursor, &handle)))
		mc_link_close(relay->params.shard, subscriber->link);
	mc_table_destroy(relay->subscribers);
}
