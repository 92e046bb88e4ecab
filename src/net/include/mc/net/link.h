/*
 * Framed links: TCP connections between the system's processes that carry
 * frames of a 4-byte length (most significant byte first) and that many bytes.
 * All functions are for the shard's thread.
 */
#ifndef MC_NET_LINK_H
#define MC_NET_LINK_H

#include "mc/net/shard.h"

enum {
	/* Most bytes of a frame's content. */
	MC_FRAME_MAX = 8 << 20,
	/* Most bytes that wait to be sent; the link is closed above it. */
	MC_LINK_BACKLOG_MAX = 32 << 20,
	/* Most links of one shard. */
	MC_LINKS_MAX = 4096,
};

/**
 * struct mc_link_events_t - handlers of a link
 * @opened: it is connected; for a listener's link, it was accepted
 * @frame: a whole frame arrived; @data is valid during the call
 * @closed: it is closed and its handle stale after the call; not called after
 *	mc_link_close()
 */
typedef struct mc_link_events_t {
	void (*opened)(void *ctx, mc_handle_t link);
	void (*frame)(void *ctx, mc_handle_t link, const char *data,
		      size_t size);
	void (*closed)(void *ctx, mc_handle_t link, mc_err_t reason);
} mc_link_events_t;

/**
 * mc_link_connect() - begin to connect
 * @shard: the shard
 * @address: "IP:port"
 * @events: handlers; must outlive the link
 * @ctx: passed to the handlers
 * @link: receives the handle; frames may be sent at once and wait
 *
 * Return: MC_OK, MC_ERR_IO, MC_ERR_FULL, MC_ERR_NO_MEMORY.
 */
mc_err_t mc_link_connect(mc_shard_t *shard, const char *address,
			 const mc_link_events_t *events, void *ctx,
			 mc_handle_t *link);

/**
 * mc_link_listen() - accept links on this shard
 * @shard: the shard; several may listen at one address and share the links
 * @address: "IP:port"; port 0 lets the kernel choose
 * @events: handlers of accepted links; must outlive them
 * @ctx: passed to the handlers
 * @port: receives the port
 * @listener: receives the handle
 *
 * Return: MC_OK, MC_ERR_IO, MC_ERR_BAD_SETTINGS.
 */
mc_err_t mc_link_listen(mc_shard_t *shard, const char *address,
			const mc_link_events_t *events, void *ctx,
			uint16_t *port, mc_handle_t *listener);

/** mc_link_listen_stop() - accept no more links */
void mc_link_stop_listening(mc_shard_t *shard, mc_handle_t listener);

/**
 * mc_link_send() - queue a frame; frames of one turn leave together
 *
 * Return: MC_OK, MC_ERR_STALE_HANDLE, MC_ERR_TOO_LARGE, MC_ERR_FULL.
 */
mc_err_t mc_link_send(mc_shard_t *shard, mc_handle_t link, const char *data,
		      size_t size);

/** mc_link_close() - close without a call of @closed; stale is ignored */
void mc_link_close(mc_shard_t *shard, mc_handle_t link);

#endif
