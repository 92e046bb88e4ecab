/*
 * Framed links. Frames sent during a turn of the loop are buffered and written
 * at its end; what the socket does not accept is written when it becomes
 * writable.
 */
#include "net_private.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

enum {
	LENGTH_SIZE = 4,
	READ_SIZE = 64 << 10,
};

typedef struct {
	char *data;
	size_t start;
	size_t end;
	size_t capacity;
} buffer_t;

typedef struct {
	mc_handle_t handle;
	int fd;
	mc_handle_t watch;
	bool connecting;
	bool flush_pending;
	/* Unsent bytes wait for the socket to become writable. */
	bool writing;
	const mc_link_events_t *events;
	void *ctx;
	buffer_t in;
	buffer_t out;
} link_t;

mc_err_t links_init(mc_shard_t *shard)
{
	shard->links = mc_table_create(sizeof(link_t), MC_LINKS_MAX);
	return shard->links ? MC_OK : MC_ERR_NO_MEMORY;
}

static mc_err_t buffer_reserve(buffer_t *buffer, size_t size)
{
	size_t used = buffer->end - buffer->start;
	size_t capacity = buffer->capacity ? buffer->capacity : READ_SIZE;
	char *data;

	if (buffer->capacity - buffer->end >= size)
		return MC_OK;
	if (buffer->start) {
		memmove(buffer->data, buffer->data + buffer->start, used);
		buffer->start = 0;
		buffer->end = used;
	}
	if (buffer->capacity - used >= size)
		return MC_OK;
	while (capacity - used < size)
		capacity *= 2;
	data = realloc(buffer->data, capacity);
	if (!data)
		return mc_fail(MC_ERR_NO_MEMORY, "no memory for a link");
	buffer->data = data;
	buffer->capacity = capacity;
	return MC_OK;
}

static void free_link(mc_shard_t *shard, link_t *link)
{
	mc_watch_remove(shard, link->watch);
	close(link->fd);
	free(link->in.data);
	free(link->out.data);
	mc_table_remove(shard->links, link->handle);
}

void links_destroy(mc_shard_t *shard)
{
	uint32_t cursor = 0;
	mc_handle_t handle;
	link_t *link;

	if (!shard->links)
		return;
	while ((link = mc_table_next(shard->links, &cursor, &handle)))
		free_link(shard, link);
	mc_table_destroy(shard->links);
}

/* Closes the link after a failure and calls the owner's handler. */
static void fail_link(mc_shard_t *shard, link_t *link, mc_err_t reason)
{
	const mc_link_events_t *events = link->events;
	void *ctx = link->ctx;
	mc_handle_t handle = link->handle;

	free_link(shard, link);
	events->closed(ctx, handle, reason);
}

void mc_link_close(mc_shard_t *shard, mc_handle_t handle)
{
	link_t *link = mc_table_get(shard->links, handle);

	if (link)
		free_link(shard, link);
}

static void update_watch(mc_shard_t *shard, link_t *link)
{
	int events = MC_WATCH_READ;

	if (link->writing || link->connecting)
		events |= MC_WATCH_WRITE;
	mc_watch_change(shard, link->watch, events);
}

/* Returns false when the link was closed. */
static bool flush_link(mc_shard_t *shard, link_t *link)
{
	buffer_t *out = &link->out;
	ssize_t count;

	while (out->start < out->end) {
		count = send(link->fd, out->data + out->start,
			     out->end - out->start, MSG_NOSIGNAL);
		if (count < 0 && errno == EINTR)
			continue;
		if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
			break;
		if (count < 0) {
			fail_link(shard, link, MC_ERR_IO);
			return false;
		}
		out->start += (size_t)count;
	}
	if (out->start == out->end)
		out->start = out->end = 0;
	if (link->writing != (out->end > 0)) {
		link->writing = out->end > 0;
		update_watch(shard, link);
	}
	return true;
}

static void flush_deferred(mc_shard_t *shard, void *arg)
{
	uint64_t packed = (uint64_t)(uintptr_t)arg;
	link_t *link = mc_table_get(shard->links, mc_handle_unpack(packed));

	if (!link)
		return;
	link->flush_pending = false;
	if (!link->connecting)
		flush_link(shard, link);
}

mc_err_t mc_link_send(mc_shard_t *shard, mc_handle_t handle, const char *data,
		      size_t size)
{
	link_t *link = mc_table_get(shard->links, handle);
	uint32_t length = htonl((uint32_t)size);
	buffer_t *out;
	mc_err_t err;

	if (!link)
		return mc_fail(MC_ERR_STALE_HANDLE, "link is closed");
	if (size > MC_FRAME_MAX)
		return mc_fail(MC_ERR_TOO_LARGE, "frame too large: %zu bytes",
			       size);
	out = &link->out;
	if (out->end - out->start + size > MC_LINK_BACKLOG_MAX)
		return mc_fail(MC_ERR_FULL, "send buffer of the link is full");
	err = buffer_reserve(out, size + LENGTH_SIZE);
	if (err)
		return err;
	memcpy(out->data + out->end, &length, LENGTH_SIZE);
	memcpy(out->data + out->end + LENGTH_SIZE, data, size);
	out->end += size + LENGTH_SIZE;
	mc_counter_add(&shard->counters, MC_COUNTER_FRAMES_SENT, 1);
	if (link->flush_pending)
		return MC_OK;
	link->flush_pending = true;
	return mc_shard_defer(shard, flush_deferred,
			      (void *)(uintptr_t)mc_handle_pack(handle));
}

/*
 * Delivers complete frames to the owner. The buffer is taken from the link
 * meanwhile, as the owner's handler may close the link. Returns false when the
 * link was closed.
 */
static bool deliver_frames(mc_shard_t *shard, link_t *link)
{
	mc_handle_t handle = link->handle;
	buffer_t in = link->in;
	uint32_t length;

	link->in = (buffer_t){ 0 };
	while (link && in.end - in.start >= LENGTH_SIZE) {
		memcpy(&length, in.data + in.start, LENGTH_SIZE);
		length = ntohl(length);
		if (length > MC_FRAME_MAX) {
			mc_counter_add(&shard->counters, MC_COUNTER_BAD_FRAMES,
				       1);
			free(in.data);
			fail_link(shard, link, MC_ERR_BAD_FRAME);
			return false;
		}
		if (in.end - in.start < LENGTH_SIZE + length)
			break;
		mc_counter_add(&shard->counters, MC_COUNTER_FRAMES_RECEIVED, 1);
		link->events->frame(link->ctx, handle,
				    in.data + in.start + LENGTH_SIZE, length);
		in.start += LENGTH_SIZE + length;
		link = mc_table_get(shard->links, handle);
	}
	if (!link) {
		free(in.data);
		return false;
	}
	if (in.start == in.end)
		in.start = in.end = 0;
	link->in = in;
	return true;
}

static void read_link(mc_shard_t *shard, link_t *link)
{
	buffer_t *in = &link->in;
	ssize_t count;

	if (buffer_reserve(in, READ_SIZE)) {
		fail_link(shard, link, MC_ERR_NO_MEMORY);
		return;
	}
	count = recv(link->fd, in->data + in->end, in->capacity - in->end, 0);
	if (count < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (count <= 0) {
		fail_link(shard, link, MC_ERR_IO);
		return;
	}
	in->end += (size_t)count;
	deliver_frames(shard, link);
}

/* Returns false when the link was closed. */
static bool finish_connect(mc_shard_t *shard, link_t *link)
{
	mc_handle_t handle = link->handle;
	int error = 0;
	socklen_t size = sizeof(error);

	getsockopt(link->fd, SOL_SOCKET, SO_ERROR, &error, &size);
	if (error) {
		fail_link(shard, link, MC_ERR_IO);
		return false;
	}
	link->connecting = false;
	update_watch(shard, link);
	link->events->opened(link->ctx, handle);
	link = mc_table_get(shard->links, handle);
	return link && flush_link(shard, link);
}

static void on_ready(mc_shard_t *shard, void *arg, int events)
{
	uint64_t packed = (uint64_t)(uintptr_t)arg;
	mc_handle_t handle = mc_handle_unpack(packed);
	link_t *link = mc_table_get(shard->links, handle);

	if (!link)
		return;
	if (link->connecting) {
		if (!(events & (MC_WATCH_WRITE | MC_WATCH_ERROR)) ||
		    !finish_connect(shard, link))
			return;
		link = mc_table_get(shard->links, handle);
	} else if (events & MC_WATCH_WRITE && !flush_link(shard, link)) {
		return;
	}
	if (events & (MC_WATCH_READ | MC_WATCH_ERROR))
		read_link(shard, link);
}

static mc_err_t add_link(mc_shard_t *shard, int fd, bool connecting,
			 const mc_link_events_t *events, void *ctx,
			 mc_handle_t *handle)
{
	const int on = 1;
	int wanted = MC_WATCH_READ;
	link_t *link;
	void *slot;
	mc_err_t err = mc_table_add(shard->links, handle, &slot);

	if (err)
		return err;
	link = slot;
	link->handle = *handle;
	link->fd = fd;
	link->connecting = connecting;
	link->events = events;
	link->ctx = ctx;
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	if (connecting)
		wanted |= MC_WATCH_WRITE;
	err = mc_watch_add(shard, fd, wanted, on_ready,
			   (void *)(uintptr_t)mc_handle_pack(*handle),
			   &link->watch);
	if (err)
		mc_table_remove(shard->links, *handle);
	return err;
}

mc_err_t link_accept(mc_shard_t *shard, int fd, const mc_link_events_t *events,
		     void *ctx)
{
	mc_handle_t handle;
	mc_err_t err = add_link(shard, fd, false, events, ctx, &handle);

	if (!err)
		events->opened(ctx, handle);
	return err;
}

mc_err_t mc_link_connect(mc_shard_t *shard, const char *address,
			 const mc_link_events_t *events, void *ctx,
			 mc_handle_t *handle)
{
	int fd;
	mc_err_t err = mc_socket_connect(address, &fd);

	if (err)
		return err;
	err = add_link(shard, fd, true, events, ctx, handle);
	if (err)
		close(fd);
	return err;
}
