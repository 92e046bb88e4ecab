/*
 * The link to the upstream. Peers before this instance are connected to in the
 * order of their rank, and the first one that is fresh, which means that it
 * reads the store itself, is the upstream. A peer that closes the link, stops
 * sending or stays not fresh is disconnected and not connected to again for
 * AVOID_MS. A subscriber goes on relying on its upstreams for some time after
 * one was fresh, so that it need not read the store while the upstream lists
 * records anew, or while another one takes its place.
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
	/* A peer is disconnected after this time without being fresh, ms. */
	STALE_TIMEOUT_MS = 2000,
	/* How long a peer is not connected to again after connecting to it was
	 * started, or after it was disconnected, ms. */
	AVOID_MS = 5000,
};

/* A longer time since HELLO is not one, ms. */
static const uint64_t COMPLETE_FOR_MAX_MS = INT64_MAX / 4;

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

/* Returns the first of @count peers that may be connected to now; @count if
 * there is none. */
static uint32_t find_candidate(const mc_relay_t *relay, uint32_t count,
			       mc_ms_t now)
{
	uint32_t i = 0;

	while (i < count && now < relay->avoid_until[i])
		i++;
	return i;
}

static bool has_candidate(const mc_relay_t *relay, mc_ms_t now)
{
	return find_candidate(relay, relay->peer_count, now) <
	       relay->peer_count;
}

/* Rank of the peer at the link; peer_count if it is not a peer any more. */
static uint32_t upstream_rank(const mc_relay_t *relay)
{
	uint32_t i = 0;

	while (i < relay->peer_count &&
	       strcmp(relay->peers[i].name, relay->upstream_name) != 0)
		i++;
	return i;
}

bool mc_relay_may_have_upstream(const mc_relay_t *relay)
{
	return relay->link.generation ||
	       has_candidate(relay, mc_shard_now(relay->params.shard));
}

static void check_upstream(mc_shard_t *shard, void *arg);

static void disconnect(mc_relay_t *relay, const char *reason)
{
	mc_ms_t now = mc_shard_now(relay->params.shard);
	uint32_t rank = upstream_rank(relay);

	mc_link_close(relay->params.shard, relay->link);
	relay->link = MC_HANDLE_NONE;
	relay->is_fresh = false;
	if (rank < relay->peer_count)
		relay->avoid_until[rank] = now + AVOID_MS;
	if (has_candidate(relay, now))
		relay_set_timer(relay, 1, check_upstream, &relay->check_timer);
	else
		set_has_upstream(relay, false, reason);
}

/* A peer that is not fresh may have found an upstream of its own, before it in
 * rank, which is then tried first. */
static void handle_stale_state(mc_relay_t *relay, mc_ms_t now)
{
	uint32_t rank = upstream_rank(relay);

	if (relay->is_fresh)
		relay->stale_since = now;
	relay->is_fresh = false;
	if (find_candidate(relay, rank, now) < rank)
		disconnect(relay, "stale");
}

/*
 * The upstream tells times since HELLO arrived there. Counted from when it was
 * sent, they are never too late, however long a message or the upstream was
 * held up since.
 */
static mc_ms_t complete_at(const mc_relay_t *relay,
			   const mc_wire_relay_state_t *state, uint32_t kind)
{
	if (kind >= state->complete_count || !state->complete_for[kind] ||
	    state->complete_for[kind] > COMPLETE_FOR_MAX_MS)
		return 0;
	return relay->hello_sent_at + (mc_ms_t)state->complete_for[kind];
}

/* A time that is yet to come shows that this instance was suspended, without
 * its clock showing that: it counts from earlier. */
static void correct_hello_time(mc_relay_t *relay,
			       const mc_wire_relay_state_t *state)
{
	mc_ms_t now = mc_shard_now(relay->params.shard), ahead;
	uint32_t i;

	for (i = 0; i < relay->params.kind_count; i++) {
		ahead = complete_at(relay, state, i) - now;
		if (ahead > 0)
			relay->hello_sent_at -= ahead;
	}
}

static void tell_known(mc_relay_t *relay, const mc_wire_relay_state_t *state)
{
	mc_relay_known_t known[MC_WIRE_RELAY_KINDS_MAX];
	uint32_t i;

	correct_hello_time(relay, state);
	for (i = 0; i < relay->params.kind_count; i++)
		known[i] = (mc_relay_known_t){
			.revision = state->revisions[i],
			.complete_at = complete_at(relay, state, i),
		};
	relay->params.ops->on_known(relay->params.ctx, known);
}

static void handle_state(mc_relay_t *relay, const mc_wire_relay_state_t *state)
{
	mc_ms_t now = mc_shard_now(relay->params.shard);
	uint32_t kinds = relay->params.kind_count;

	if (state->count != kinds && state->count != kinds + 1) {
		disconnect(relay, "other_kinds");
		return;
	}
	relay->upstream_era =
		state->count > kinds ? state->revisions[kinds] : 0;
	if (relay->upstream_era > relay->era)
		relay->params.ops->on_era(relay->params.ctx,
					  relay->upstream_era);
	if (!state->watches_store || relay->upstream_era != relay->era) {
		handle_stale_state(relay, now);
		return;
	}
	relay->is_fresh = true;
	relay->last_fresh = now;
	set_has_upstream(relay, true, "fresh");
	tell_known(relay, state);
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
	relay->hello_sent_at = relay->last_received;
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
		 relay->upstream_era == relay->era &&
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
	uint32_t i = find_candidate(relay, relay->peer_count, now);

	if (i == relay->peer_count)
		return;
	snprintf(relay->upstream_name, sizeof(relay->upstream_name), "%s",
		 relay->peers[i].name);
	relay->avoid_until[i] = now + AVOID_MS;
	relay->connect_started_at = now;
	relay->stale_since = now;
	relay->last_received = 0;
	relay->upstream_era = 0;
	if (mc_link_connect(relay->params.shard, relay->peers[i].address,
			    &events, relay, &relay->link)) {
		relay->link = MC_HANDLE_NONE;
		mc_log(mc_shard_log(relay->params.shard), MC_LOG_WARNING,
		       "news",
		       "connection to peer not started peer=%s reason=\"%s\"",
		       relay->upstream_name, mc_last_error_message());
	}
}

/* Time until the link is checked again, ms: when the upstream is no longer
 * relied on, if that is sooner. */
static mc_ms_t next_check(const mc_relay_t *relay, mc_ms_t now)
{
	mc_ms_t left = relay->last_fresh + relay->params.reliance - now;

	if (!relay->has_upstream || relay->is_fresh || left > CHECK_INTERVAL_MS)
		return CHECK_INTERVAL_MS;
	return left > 0 ? left : 1;
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
	else if (!relay->is_fresh &&
		 now - relay->stale_since > STALE_TIMEOUT_MS)
		disconnect(relay, "stale");
	if (!relay->is_fresh &&
	    now - relay->last_fresh >= relay->params.reliance)
		set_has_upstream(relay, false, "stale");
	/* Without a peer before this instance there is nothing to check. */
	if (relay->peer_count || relay->link.generation)
		relay_set_timer(relay, next_check(relay, now), check_upstream,
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

void upstream_close(mc_relay_t *relay)
{
	mc_timer_cancel(relay->params.shard, relay->check_timer);
	mc_link_close(relay->params.shard, relay->link);
}
