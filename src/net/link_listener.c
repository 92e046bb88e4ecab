/*
 * Listeners of links. Several shards listen at one address; the kernel spreads
 * the connections over them.
 */
#include "net_private.h"

#include <errno.h>
#include <stdlib.h>
#include <unistd.h>

typedef struct {
	int fd;
	const mc_link_events_t *events;
	void *ctx;
} listener_t;

/*
 * The watch's handle is the listener's name; the record is freed when the
 * watch is removed.
 */
static void accept_links(mc_shard_t *shard, void *arg, int events)
{
	listener_t *listener = arg;
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
			uint16_t *port, mc_handle_t *listener)
{
	listener_t *made = calloc(1, sizeof(*made));
	mc_err_t err;

	if (!made)
		return mc_fail(MC_ERR_NO_MEMORY, "no memory for a listener");
	err = address_listen(address, true, &made->fd);
	if (err) {
		free(made);
		return err;
	}
	made->events = events;
	made->ctx = ctx;
	*port = address_port(made->fd);
	err = mc_watch_add(shard, made->fd, MC_WATCH_READ, accept_links, made,
			   listener);
	if (err) {
		close(made->fd);
		free(made);
	}
	return err;
}

void mc_link_listen_stop(mc_shard_t *shard, mc_handle_t listener)
{
	listener_t *found = watch_arg(shard, listener);

	if (!found)
		return;
	mc_watch_remove(shard, listener);
	close(found->fd);
	free(found);
}
