/*
 * Listeners of links. Several shards listen at one address; the kernel spreads
 * the connections over them.
 */
#include "net_private.h"

#include <errno.h>
#include <unistd.h>

enum {
	LISTENERS_MAX = 16,
};

typedef struct {
	mc_handle_t handle;
	int fd;
	mc_handle_t watch;
	const mc_link_events_t *events;
	void *ctx;
} listener_t;

mc_err_t listeners_init(mc_shard_t *shard)
{
	shard->listeners = mc_table_create(sizeof(listener_t), LISTENERS_MAX);
	return shard->listeners ? MC_OK : MC_ERR_NO_MEMORY;
}

static void release(mc_shard_t *shard, listener_t *listener)
{
	mc_watch_remove(shard, listener->watch);
	close(listener->fd);
	mc_table_remove(shard->listeners, listener->handle);
}

void listeners_destroy(mc_shard_t *shard)
{
	uint32_t cursor = 0;
	mc_handle_t handle;
	listener_t *listener;

	if (!shard->listeners)
		return;
	while ((listener = mc_table_next(shard->listeners, &cursor, &handle)))
		release(shard, listener);
	mc_table_destroy(shard->listeners);
}

static void accept_links(mc_shard_t *shard, void *arg, int events)
{
	const listener_t *listener = arg;
	int fd;

	(void)events;
	for (;;) {
		fd = accept4(listener->fd, NULL, NULL,
			     SOCK_NONBLOCK | SOCK_CLOEXEC);
		if (fd < 0 && (errno == EINTR || errno == ECONNABORTED))
			continue;
		if (fd < 0)
			return;
		if (link_accept(shard, fd, listener->events, listener->ctx))
			close(fd);
	}
}

mc_err_t mc_link_listen(mc_shard_t *shard, const char *address,
			const mc_link_events_t *events, void *ctx,
			uint16_t *port, mc_handle_t *handle)
{
	listener_t *listener;
	void *slot;
	mc_err_t err = mc_table_add(shard->listeners, handle, &slot);

	if (err)
		return err;
	listener = slot;
	listener->handle = *handle;
	listener->events = events;
	listener->ctx = ctx;
	err = address_listen(address, true, &listener->fd);
	if (err) {
		mc_table_remove(shard->listeners, *handle);
		return err;
	}
	*port = address_port(listener->fd);
	err = mc_watch_add(shard, listener->fd, MC_WATCH_READ, accept_links,
			   listener, &listener->watch);
	if (err)
		release(shard, listener);
	return err;
}

void mc_link_stop_listening(mc_shard_t *shard, mc_handle_t handle)
{
	listener_t *listener = mc_table_get(shard->listeners, handle);

	if (listener)
		release(shard, listener);
}
