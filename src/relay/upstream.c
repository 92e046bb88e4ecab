/*
 * The link to the upstream. Peers before this instance are connected to in the
 * order of their rank, and the first one that is fresh, which means that it
 * reads the store itself, is kept. It becomes the upstream once it has been
 * fresh for SETTLE_MS. A peer that closes the link, stops sending or stays not
 * fresh is disconnected and not connected to again for AVOID_MS.
 */
#include "relay_private.h"

#include <stdio.h>
#include <string.h>

#include "frame.h"

enum {
	/* Interval at which the link is checked, ms. */
	CHECK_INTERVAL_MS = 250,
	/* Time-outs for connecting and for the upstream's next message, ms. */
	CONNECT_TIMEOUT_MS = 600,
	RECEIVE_TIMEOUT_MS = 1300,
	/* A peer becomes the upstream after it has been fresh for SETTLE_MS,
	 * and is disconnected after STALE_TIMEOUT_MS without being fresh. */
	SETTLE_MS = 1000,
	STALE_TIMEOUT_MS = 2000,
	/* How long a peer is not connected to again after connecting to it was
	 * started, or after it was disconnected, ms. */
	AVOID_MS = 5000,
};

static void set_has_upstream(mc_relay_t *relay, bool has_upstream,
			     const char *reason)
{
	if (has_upstream == relay->has_upstream)
		return;
	relay->has_upstream = has_upstream;
	mc_log(mc_shard_log(relay->params.shard), MC_LOG_NOTICE, "news",
	       "%s peer=%s reason=%s",
	       has_upstream
		       ? "upstream in use: another instance relays store changes"
		       : "upstream lost: this instance reads the store itself",
	       relay->upstream_name, reason);
	relay->params.ops->on_upstream_changed(relay->params.ctx);
}

static void disconnect(mc_relay_t *relay, const char *reason)
{
	mc_ms_t now = mc_shard_now(relay->params.shard);
	uint32_t i;

	mc_link_close(relay->params.shard, relay->link);
	relay->link = MC_HANDLE_NONE;
	relay->fresh_since = MC_MS_NEVER;
	for (i = 0; i < relay->peer_count; i++)
		if (!strcmp(relay->peers[i].name, relay->upstream_name))
			relay->avoid_until[i] = now + AVOID_MS;
	set_has_upstream(relay, false, reason);
}

static void handle_state(mc_relay_t *relay, const mc_wire_relay_state_t *state)
{
	mc_ms_t now = mc_shard_now(relay->params.shard);

	if (state->count != relay->params.kind_count) {
		disconnect(relay, "other_kinds");
		return;
	}
	if (!state->watches_store) {
		if (relay->fresh_since != MC_MS_NEVER)
			relay->stale_since = now;
		relay->fresh_since = MC_MS_NEVER;
		set_has_upstream(relay, false, "deaf");
		return;
	}
	if (relay->fresh_since == MC_MS_NEVER)
		relay->fresh_since = now;
	if (now - relay->fresh_since >= SETTLE_MS)
		set_has_upstream(relay, true, "fresh");
	if (relay->has_upstream)
		relay->params.ops->on_revisions(relay->params.ctx,
						state->revisions);
}

static void on_opened(void *ctx, mc_handle_t link)
{
	mc_relay_t *relay = ctx;
	const mc_wire_message_t hello = {
		.kind = MC_WIRE_HELLO,
		.hello = { .version = MC_WIRE_VERSION,
			   .address = relay->address },
	};

	relay->last_received = mc_shard_now(relay->params.shard);
	relay_send(relay, link, &hello);
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
	relay->last_received = mc_shard_now(relay->params.shard);
	if (message->kind == MC_WIRE_RELAY_STATE)
		handle_state(relay, &message->relay_state);
	else if (message->kind == MC_WIRE_RELAY_CHANGES &&
		 message->relay_changes.record_kind < relay->params.kind_count)
		relay->params.ops->on_changes(
			relay->params.ctx, message->relay_changes.record_kind,
			message->relay_changes.after_revision,
			message->relay_changes.text);
	mc_wire_free(message);
}

static void on_closed(void *ctx, mc_handle_t link, mc_err_t reason)
{
	mc_relay_t *relay = ctx;

	(void)link;
	disconnect(relay, mc_error_name(reason));
}

static void connect_next_peer(mc_relay_t *relay, mc_ms_t now)
{
	static const mc_link_events_t events = {
		.opened = on_opened,
		.frame = on_frame,
		.closed = on_closed,
	};
	uint32_t i;

	for (i = 0; i < relay->peer_count; i++)
		if (now >= relay->avoid_until[i])
			break;
	if (i == relay->peer_count)
		return;
	snprintf(relay->upstream_name, sizeof(relay->upstream_name), "%s",
		 relay->peers[i].name);
	relay->avoid_until[i] = now + AVOID_MS;
	relay->connect_started_at = now;
	relay->stale_since = now;
	relay->last_received = 0;
	if (mc_link_connect(relay->params.shard, relay->peers[i].address,
			    &events, relay, &relay->link)) {
		relay->link = MC_HANDLE_NONE;
		mc_log(mc_shard_log(relay->params.shard), MC_LOG_WARNING,
		       "news",
		       "connection to peer not started peer=%s reason=\"%s\"",
		       relay->upstream_name, mc_last_error_message());
	}
}

static void check_upstream(mc_shard_t *shard, void *arg)
{
	mc_relay_t *relay = arg;
	mc_ms_t now = mc_shard_now(shard);

	relay->check_timer = MC_HANDLE_NONE;
	if (!relay->link.generation)
		connect_next_peer(relay, now);
	else if (!relay->last_received &&
		 now - relay->connect_started_at > CONNECT_TIMEOUT_MS)
		disconnect(relay, "no_connection");
	else if (relay->last_received &&
		 now - relay->last_received > RECEIVE_TIMEOUT_MS)
		disconnect(relay, "silent");
	else if (relay->fresh_since == MC_MS_NEVER &&
		 now - relay->stale_since > STALE_TIMEOUT_MS)
		disconnect(relay, "deaf");
	/* Without a peer before this instance there is nothing to check. */
	if (relay->peer_count || relay->link.generation)
		relay_set_timer(relay, CHECK_INTERVAL_MS, check_upstream,
				&relay->check_timer);
}

void upstream_set_peers(mc_relay_t *relay, const mc_relay_peer_t *peers,
			uint32_t count)
{
	mc_relay_peer_t sorted[MC_RELAY_PEERS_MAX];

	if (count > MC_RELAY_PEERS_MAX)
		count = MC_RELAY_PEERS_MAX;
	memcpy(sorted, peers, count * sizeof(*peers));
	count = mc_relay_rank_peers(relay->name, sorted, count);
	if (count == relay->peer_count &&
	    !memcmp(sorted, relay->peers, count * sizeof(*sorted)))
		return;
	memcpy(relay->peers, sorted, count * sizeof(*sorted));
	memset(relay->avoid_until, 0, sizeof(relay->avoid_until));
	relay->peer_count = count;
	if (count && !relay->check_timer.generation)
		relay_set_timer(relay, 1, check_upstream, &relay->check_timer);
}

bool mc_relay_has_upstream(const mc_relay_t *relay)
{
	return relay->has_upstream;
}

mc_ms_t mc_relay_last_received(const mc_relay_t *relay)
{
	return relay->last_received;
}

void upstream_close(mc_relay_t *relay)
{
	mc_timer_cancel(relay->params.shard, relay->check_timer);
	mc_link_close(relay->params.shard, relay->link);
}
