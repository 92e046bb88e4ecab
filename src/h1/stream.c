/*
 * Streams: reading from a connection's socket, sending unsent bytes, and the
 * events for which the socket is watched.
 */
#include "h1_private.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

mc_err_t h1_stream_init(h1_stream_t *stream, mc_shard_t *shard, int fd,
			int events, mc_watch_fn_t ready, void *arg)
{
	const int on = 1;

	*stream = (h1_stream_t){
		.shard = shard,
		.fd = fd,
		.events = events,
	};
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	return mc_watch_add(shard, fd, events, ready, arg, &stream->watch);
}

void h1_stream_set_events(h1_stream_t *stream, int events)
{
	if (events == stream->events)
		return;
	stream->events = events;
	mc_watch_change(stream->shard, stream->watch, events);
}

size_t h1_stream_pending(const h1_stream_t *stream)
{
	return stream->out.size - stream->sent_size;
}

bool h1_stream_flush(h1_stream_t *stream)
{
	ssize_t count;

	while (h1_stream_pending(stream)) {
		count = send(stream->fd, stream->out.data + stream->sent_size,
			     h1_stream_pending(stream), MSG_NOSIGNAL);
		if (count < 0 && errno == EINTR)
			continue;
		if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
			h1_stream_set_events(stream,
					     stream->events | MC_WATCH_WRITE);
			return true;
		}
		if (count < 0)
			return false;
		stream->sent_size += (size_t)count;
		stream->sent_total += (uint64_t)count;
	}
	h1_buffer_clear(&stream->out);
	stream->sent_size = 0;
	h1_stream_set_events(stream, stream->events & ~MC_WATCH_WRITE);
	return true;
}

int h1_stream_read(h1_stream_t *stream, char *data, size_t size)
{
	ssize_t count;

	do
		count = recv(stream->fd, data, size, 0);
	while (count < 0 && errno == EINTR);
	if (count >= 0)
		return (int)count;
	if (errno == EAGAIN || errno == EWOULDBLOCK)
		return H1_READ_AGAIN;
	return H1_READ_ERROR;
}

void h1_stream_close(h1_stream_t *stream)
{
	mc_watch_remove(stream->shard, stream->watch);
	if (stream->fd >= 0)
		close(stream->fd);
	stream->fd = -1;
	h1_buffer_free(&stream->out);
}
