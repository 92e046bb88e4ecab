/*
 * A socket of a connection: reading once, sending what waits, and the events
 * that it is watched for.
 */
#include "h1_private.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
	READ_NOTHING = -1,
	READ_BROKEN = -2,
};

mc_err_t h1_stream_init(h1_stream_t *stream, mc_shard_t *shard, int fd,
			int interest, mc_watch_fn_t ready, void *arg)
{
	const int on = 1;

	*stream = (h1_stream_t){
		.shard = shard,
		.fd = fd,
		.interest = interest,
	};
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	return mc_watch_add(shard, fd, interest, ready, arg, &stream->watch);
}

void h1_stream_interest(h1_stream_t *stream, int events)
{
	if (events == stream->interest)
		return;
	stream->interest = events;
	mc_watch_change(stream->shard, stream->watch, events);
}

size_t h1_stream_pending(const h1_stream_t *stream)
{
	return stream->out.size - stream->sent;
}

bool h1_stream_flush(h1_stream_t *stream)
{
	ssize_t sent;

	while (h1_stream_pending(stream)) {
		sent = send(stream->fd, stream->out.data + stream->sent,
			    h1_stream_pending(stream), MSG_NOSIGNAL);
		if (sent < 0 && errno == EINTR)
			continue;
		if (sent < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
			h1_stream_interest(stream,
					   stream->interest | MC_WATCH_WRITE);
			return true;
		}
		if (sent < 0)
			return false;
		stream->sent += (size_t)sent;
		stream->total += (uint64_t)sent;
	}
	h1_buffer_empty(&stream->out);
	stream->sent = 0;
	h1_stream_interest(stream, stream->interest & ~MC_WATCH_WRITE);
	return true;
}

int h1_stream_read(h1_stream_t *stream, char *data, size_t size)
{
	ssize_t got;

	do
		got = recv(stream->fd, data, size, 0);
	while (got < 0 && errno == EINTR);
	if (got >= 0)
		return (int)got;
	if (errno == EAGAIN || errno == EWOULDBLOCK)
		return READ_NOTHING;
	return READ_BROKEN;
}

void h1_stream_close(h1_stream_t *stream)
{
	mc_watch_remove(stream->shard, stream->watch);
	if (stream->fd >= 0)
		close(stream->fd);
	stream->fd = -1;
	h1_buffer_free(&stream->out);
}
