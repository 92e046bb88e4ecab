/*
 * Framed links: TCP connections between the system's processes that carry
 * length-prefixed frames. A frame is a 4-byte length (most significant byte
 * first) and that many bytes. All functions are for the shard's thread.
 */
#ifndef MC_NET_LINK_H
#define MC_NET_LINK_H

#include "mc/net/shard.h"

enum {
	/* Most bytes of a frame's content. */
	MC_FRAME_MAX = 8 << 20,
	/* Most unsent bytes; a frame that would exceed it is refused. */
	MC_LINK_BACKLOG_MAX = 32 << 20,
	/* Most links of one shard. */
	MC_LINKS_MAX = 4096,
};

/**
 * struct mc_link_events_t - Handlers of a link
 * @opened: the link is connected, or was accepted by a listener
 * @frame: a frame has arrived; @data is valid during the call
 * @closed: the link is closed, and its handle is stale after the call; not
 *	called after mc_link_close()
 */
typedef struct mc_link_events_t {
	void (*opened)(void *ctx, mc_handle_t link);
	void (*frame)(void *ctx, mc_handle_t link, const char *data,
		      size_t size);
	void (*closed)(void *ctx, mc_handle_t link, mc_err_t reason);
} mc_link_events_t;

/**
 * mc_link_connect() - Start connecting a link
 * @shard: the shard
 * @address: "IP:port"
 * @events: handlers; must outlive the link
 * @ctx: passed to the handlers
 * @link: receives the handle; frames may be passed to mc_link_send() at once,
 *	and are sent when the link is connected
 *
 * Return: MC_OK, MC_ERR_IO, MC_ERR_FULL, MC_ERR_NO_MEMORY, MC_ERR_BAD_SETTINGS.
 */
mc_err_t mc_link_connect(mc_shard_t *shard, const char *address,
			 const mc_link_events_t *events, void *ctx,
			 mc_handle_t *link);

/**
 * mc_link_listen() - Accept links on this shard
 * @shard: the shard; several shards may listen at one address and share its
 *	links
 * @address: "IP:port"; with port 0 the kernel picks a port
 * @events: handlers of accepted links; must outlive the links
 * @ctx: passed to the handlers
 * @port: receives the port
 * @listener: receives the handle
 *
 * Return: MC_OK, MC_ERR_IO, MC_ERR_FULL, MC_ERR_NO_MEMORY, MC_ERR_BAD_SETTINGS.
 */
mc_err_t mc_link_listen(mc_shard_t *shard, const char *address,
			const mc_link_events_t *events, void *ctx,
			uint16_t *port, mc_handle_t *listener);

/** mc_link_stop_listening() - Stop accepting links; open links stay open */
void mc_link_stop_listening(mc_shard_t *shard, mc_handle_t listener);

/**
 * mc_link_send() - Queue a frame to be sent
 * @shard: the shard
 * @link: the link
 * @data: content of the frame; copied
 * @size: bytes of @data
 *
 * Frames of one turn of the loop are sent together at its end.
 *
 * Return: MC_OK, MC_ERR_STALE_HANDLE, MC_ERR_TOO_LARGE, MC_ERR_FULL,
 * MC_ERR_NO_MEMORY.
 */
mc_err_t mc_link_send(mc_shard_t *shard, mc_handle_t link, const char *data,
		      size_t size);

/**
 * mc_link_close() - Close a link without calling @closed
 *
 * A stale handle is ignored.
 */
void mc_link_close(mc_shard_t *shard, mc_handle_t link);

#endif
