/*
 * State of the news, as the files of this library share it.
 */
#ifndef MC_RELAY_PRIVATE_H
#define MC_RELAY_PRIVATE_H

#include "mc/relay.h"

enum {
	/* A teller says so often that it is there, ms. */
	NEWS_BEAT_MS = 400,
	HEARERS_MAX = 1024,
};

/* An instance that hears this one. */
typedef struct {
	mc_relay_t *news;
	mc_handle_t handle;
	mc_handle_t link;
	/* It has said who it is. */
	bool known;
} hearer_t;

struct mc_relay_t {
	mc_relay_params_t params;
	char name[MC_RELAY_NAME_SIZE];
	char address[MC_RELAY_NAME_SIZE];
	mc_handle_t listener;
	mc_handle_t beat_timer;
	/* Up to when the budget of bytes to hearers is used up, ms. */
	mc_ms_t paid_until;
	mc_table_t *hearers;
	/* Those that go before this one, by rank. */
	uint32_t peer_count;
	mc_relay_peer_t peers[MC_RELAY_PEERS_MAX];
	/* Until when each is not tried again, ms. */
	mc_ms_t avoid_until[MC_RELAY_PEERS_MAX];
	/* The one that is heard, or tried. */
	mc_handle_t link;
	char heard_name[MC_RELAY_NAME_SIZE];
	mc_ms_t linked_at;
	mc_ms_t heard_at;
	/* Since when it has been fresh without a break; MC_MS_NEVER if not. */
	mc_ms_t fresh_since;
	/* Since when it has not been fresh, while it is not. */
	mc_ms_t deaf_since;
	bool heard;
	mc_handle_t check_timer;
};

/* hear.c: the one that this instance hears */
void hear_end(mc_relay_t *news);
void hear_peers(mc_relay_t *news, const mc_relay_peer_t *peers, uint32_t count);

/* tell.c: those that hear this instance */
mc_err_t tell_begin(mc_relay_t *news);
void tell_end(mc_relay_t *news);

/** news_send() - one message on a link */
void news_send(mc_relay_t *news, mc_handle_t link,
	       const mc_wire_message_t *message);

/** news_send_frame() - the same, encoded already */
void news_send_frame(mc_relay_t *news, mc_handle_t link, const char *data,
		     size_t size);

/** news_timer() - set a timer anew */
void news_timer(mc_relay_t *news, mc_ms_t delay, mc_timer_fn_t fire,
		mc_handle_t *timer);

#endif
