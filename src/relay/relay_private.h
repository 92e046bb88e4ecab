/*
 * State of a relay, shared by the files of this library.
 *
 * Log lines of this library carry the part "news", which operators filter by.
 */
#ifndef MC_RELAY_PRIVATE_H
#define MC_RELAY_PRIVATE_H

#include "mc/relay.h"

enum {
	/* Interval of the heartbeat to subscribers, ms. */
	RELAY_HEARTBEAT_MS = 400,
	RELAY_SUBSCRIBERS_MAX = 1024,
};

/* An instance that receives changes from this one. */
typedef struct {
	mc_relay_t *relay;
	mc_handle_t handle;
	mc_handle_t link;
	bool hello_received;
	/* When it was received, ms. */
	mc_ms_t subscribed_at;
} subscriber_t;

/*
 * Exchange of evidence: each instance has a link of its own for it to its
 * upstream, which passes items on to its other subscribers. An instance of an
 * older version closes that link.
 */
typedef struct {
	bool is_enabled;
	mc_handle_t check_timer;
	/* Link to the upstream @peer, and until when it is not connected to
	 * again, ms. */
	mc_handle_t link;
	char peer[MC_RELAY_NAME_SIZE];
	mc_ms_t avoid_until;
	/* Links of subscribers; records are mc_handle_t. */
	mc_table_t *subscribers;
	/* Items to be sent, and when they were added, ms. */
	uint32_t count;
	mc_wire_evidence_t *items;
	mc_ms_t *added_at;
	mc_handle_t flush_timer;
	/* Second of the budget, and items added in it. */
	mc_ms_t budget_second;
	uint32_t budget_used;
} evidence_t;

struct mc_relay_t {
	mc_relay_params_t params;
	char name[MC_RELAY_NAME_SIZE];
	char address[MC_RELAY_NAME_SIZE];
	mc_handle_t listener;
	mc_handle_t heartbeat_timer;
	/* Era of the store from which this instance reads, and the upstream; 0
	 * while unknown. */
	uint64_t era;
	uint64_t upstream_era;
	/* Byte budget for subscribers, kept as a time, ms: the bytes earned up
	 * to this time are spent, those earned since then are left. */
	mc_ms_t budget_spent_until;
	/* Records are subscriber_t. */
	mc_table_t *subscribers;
	/* Peers before this instance, by rank. */
	uint32_t peer_count;
	mc_relay_peer_t peers[MC_RELAY_PEERS_MAX];
	/* Time until which each peer is not connected to again, ms. */
	mc_ms_t avoid_until[MC_RELAY_PEERS_MAX];
	/* Link to the upstream, or to the peer that may become it. */
	mc_handle_t link;
	char upstream_name[MC_RELAY_NAME_SIZE];
	/* When the connection was begun, ms. */
	mc_ms_t connect_started_at;
	/* When HELLO was sent, ms: the upstream counts from its arrival. */
	mc_ms_t hello_sent_at;
	/* When the last message arrived, ms; 0 until it is connected. */
	mc_ms_t last_received;
	/* The peer at @link has said that it is fresh, and not otherwise since.
	 */
	bool is_fresh;
	/* Since when it has not been fresh, ms; valid while it is not. */
	mc_ms_t stale_since;
	/* When a peer was last fresh, ms; 0 for never. */
	mc_ms_t last_fresh;
	/* A peer is fresh, or was so lately that its changes, and those of the
	 * next one, are relied on. */
	bool has_upstream;
	mc_handle_t check_timer;
	evidence_t evidence;
};

/* upstream.c: the instance from which this one receives changes */
void upstream_close(mc_relay_t *relay);
void upstream_set_peers(mc_relay_t *relay, const mc_relay_peer_t *peers,
			uint32_t count);

/* subscribers.c: the instances that receive changes from this one */
mc_err_t subscribers_init(mc_relay_t *relay);
void subscribers_destroy(mc_relay_t *relay);

/* evidence.c: what instances tell each other of targets */
mc_err_t evidence_init(mc_relay_t *relay);
void evidence_destroy(mc_relay_t *relay);

/** evidence_add_subscriber() - Begin to send evidence to a link */
void evidence_add_subscriber(mc_relay_t *relay, mc_handle_t link);

/** evidence_remove_subscriber() - Forget a link that was closed */
void evidence_remove_subscriber(mc_relay_t *relay, mc_handle_t link);

/** evidence_on_subscriber_frame() - Handle a frame of a subscriber's link for
 * evidence; other links are ignored */
void evidence_on_subscriber_frame(mc_relay_t *relay, mc_handle_t link,
				  const char *data, size_t size);

/** relay_send() - Encode and send a message on a link */
void relay_send(mc_relay_t *relay, mc_handle_t link,
		const mc_wire_message_t *message);

/** relay_send_frame() - Send an encoded message on a link */
void relay_send_frame(mc_relay_t *relay, mc_handle_t link, const char *data,
		      size_t size);

/** relay_set_timer() - Set a timer to fire in @delay ms, or reset it */
void relay_set_timer(mc_relay_t *relay, mc_ms_t delay, mc_timer_fn_t fire,
		     mc_handle_t *timer);

#endif
