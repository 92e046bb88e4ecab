/*
 * The side of a connection that takes requests. One request at a time is handed
 * over; while it waits for its answer the socket is still read, so that a
 * caller that goes away is noticed, and what it sent ahead is kept.
 */
#include "h1_private.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
	/* Most bytes that are read ahead of the request under way. */
	AHEAD_MAX = 256 << 10,
	/* A closed connection waits so long for the caller's own close, ms. */
	LINGER_MS = 1000,
	HEAD_SIZE = 256,
	STATUS_TIMEOUT = 408,
	STATUS_NO_CONTENT = 204,
	STATUS_NOT_MODIFIED = 304,
	US_PER_MS = 1000,
};

typedef enum {
	CALLER_READS,
	CALLER_HANDLED,
	CALLER_ANSWERED,
	CALLER_LINGERS,
} caller_state_t;

typedef struct {
	mc_h1_t *h1;
	mc_handle_t handle;
	h1_stream_t stream;
	h1_parse_t parse;
	/* Bytes behind the request under way. */
	h1_buffer_t ahead;
	caller_state_t state;
	bool keep;
	bool consuming;
	bool continued;
	/* A request has come on it. */
	bool used;
	/* Measured with the first request, ms. */
	mc_ms_t round_trip;
	mc_ms_t first_byte;
	mc_ms_t expires;
	mc_handle_t timer;
} caller_t;

static void caller_free(caller_t *caller)
{
	mc_h1_t *h1 = caller->h1;

	mc_timer_cancel(h1->shard, caller->timer);
	h1_stream_close(&caller->stream);
	h1_parse_free(&caller->parse);
	h1_buffer_free(&caller->ahead);
	mc_table_remove(h1->callers, caller->handle);
}

/* The connection is gone, whatever state it is in. */
static void caller_lost(caller_t *caller)
{
	mc_h1_t *h1 = caller->h1;

	if (caller->state == CALLER_HANDLED)
		h1->server->disconnected(h1->server_ctx, caller->handle);
	caller_free(caller);
}

static void next_request(caller_t *caller)
{
	mc_h1_t *h1 = caller->h1;

	h1_parse_begin(&caller->parse, true, h1->limits.head_bytes_max,
		       h1->limits.body_bytes_max);
	caller->state = CALLER_READS;
	caller->continued = false;
	caller->expires = mc_shard_now(h1->shard) + h1->limits.idle_timeout;
}

/* Sends the end of the stream and waits for the caller's. */
static void linger(caller_t *caller)
{
	caller->state = CALLER_LINGERS;
	caller->expires = mc_shard_now(caller->h1->shard) + LINGER_MS;
	shutdown(caller->stream.fd, SHUT_WR);
}

static void check_time(mc_shard_t *shard, void *arg);

static void set_timer(caller_t *caller, mc_ms_t at)
{
	mc_shard_t *shard = caller->h1->shard;

	mc_timer_cancel(shard, caller->timer);
	if (mc_timer_set(shard, at, check_time, caller, &caller->timer))
		mc_log(mc_shard_log(shard), MC_LOG_ERROR, "h1",
		       "connection without a timer: %s",
		       mc_last_error_message());
}

/* After an answer has left: the next request, or the end. */
static void answer_left(caller_t *caller)
{
	if (caller->keep) {
		next_request(caller);
		return;
	}
	linger(caller);
	set_timer(caller, caller->expires);
}

static void answer_fault(caller_t *caller, int status)
{
	const mc_h1_response_t answer = { .status = status, .close = true };

	caller->state = CALLER_HANDLED;
	mc_h1_respond(caller->h1, caller->handle, &answer);
}

/* One timer a connection: it is set anew when it fires before its time. */
static void check_time(mc_shard_t *shard, void *arg)
{
	caller_t *caller = arg;
	mc_ms_t now = mc_shard_now(shard);
	mc_ms_t at = caller->expires;

	if (caller->state == CALLER_HANDLED || caller->state == CALLER_ANSWERED)
		at = now + caller->h1->limits.idle_timeout;
	if (now < at) {
		set_timer(caller, at);
		return;
	}
	if (caller->state == CALLER_READS && caller->parse.begun) {
		answer_fault(caller, STATUS_TIMEOUT);
	} else if (caller->state == CALLER_READS) {
		linger(caller);
		set_timer(caller, caller->expires);
	} else {
		caller_free(caller);
	}
}

static mc_ms_t measure_round_trip(const caller_t *caller)
{
	struct tcp_info info = { 0 };
	socklen_t size = sizeof(info);

	/* Sockets of other kinds have none. */
	if (getsockopt(caller->stream.fd, IPPROTO_TCP, TCP_INFO, &info, &size))
		return 0;
	return (info.tcpi_rtt + US_PER_MS - 1) / US_PER_MS;
}

static void deliver(caller_t *caller)
{
	mc_h1_t *h1 = caller->h1;
	mc_h1_message_t message = h1_parse_message(&caller->parse);

	message.first_on_connection = !caller->used;
	if (!caller->used)
		caller->round_trip = measure_round_trip(caller);
	message.round_trip = caller->round_trip;
	caller->used = true;
	caller->keep = message.keep_alive;
	caller->state = CALLER_HANDLED;
	h1->server->request(h1->server_ctx, caller->handle, &message,
			    caller->first_byte);
}

/* A caller that waits for leave to send its body gets it. */
static void say_continue(caller_t *caller)
{
	static const char text[] = "HTTP/1.1 100 Continue\r\n\r\n";
	const mc_h1_message_t message = h1_parse_message(&caller->parse);

	caller->continued = true;
	if (!mc_h1_get_header(&message, "Expect"))
		return;
	h1_buffer_add(&caller->stream.out, text, sizeof(text) - 1);
	h1_stream_flush(&caller->stream);
}

/* Takes bytes of requests; what is behind the one under way is kept. */
static void consume(caller_t *caller, const char *data, size_t size)
{
	mc_h1_t *h1 = caller->h1;
	mc_handle_t handle = caller->handle;
	size_t used;

	caller->consuming = true;
	while (size && caller->state == CALLER_READS) {
		if (!caller->parse.begun) {
			caller->first_byte = mc_shard_now(h1->shard);
			caller->expires =
				caller->first_byte + h1->limits.request_timeout;
			/* The timer stands at the end of the idle time. */
			if (h1->limits.request_timeout <
			    h1->limits.idle_timeout)
				set_timer(caller, caller->expires);
		}
		used = h1_parse_feed(&caller->parse, data, size);
		if (used > size)
			used = size;
		data += used;
		size -= used;
		if (caller->parse.fault)
			answer_fault(caller, caller->parse.fault);
		else if (caller->parse.whole)
			deliver(caller);
		else if (caller->parse.head_done && !caller->continued)
			say_continue(caller);
		caller = mc_table_get(h1->callers, handle);
		if (!caller)
			return;
	}
	caller->consuming = false;
	if (!size || caller->state == CALLER_LINGERS)
		return;
	if (h1_buffer_add(&caller->ahead, data, size))
		caller_lost(caller);
	else if (caller->ahead.size > AHEAD_MAX)
		h1_stream_interest(&caller->stream,
				   caller->stream.interest & ~MC_WATCH_READ);
}

/* Requests that were sent ahead, after the answer before them has left. */
static void consume_ahead(caller_t *caller)
{
	h1_buffer_t ahead = caller->ahead;

	if (!ahead.size)
		return;
	caller->ahead = (h1_buffer_t){ 0 };
	h1_stream_interest(&caller->stream,
			   caller->stream.interest | MC_WATCH_READ);
	consume(caller, ahead.data, ahead.size);
	h1_buffer_free(&ahead);
}

static void caller_ready(mc_shard_t *shard, void *arg, int events)
{
	caller_t *caller = arg;
	mc_h1_t *h1 = caller->h1;
	mc_handle_t handle = caller->handle;
	int got;

	(void)shard;
	if (events & MC_WATCH_WRITE) {
		if (!h1_stream_flush(&caller->stream)) {
			caller_lost(caller);
			return;
		}
		if (caller->state == CALLER_ANSWERED &&
		    !h1_stream_pending(&caller->stream)) {
			answer_left(caller);
			if (caller->state == CALLER_READS)
				consume_ahead(caller);
			caller = mc_table_get(h1->callers, handle);
			if (!caller)
				return;
		}
	}
	if (!(events & (MC_WATCH_READ | MC_WATCH_ERROR)))
		return;
	got = h1_stream_read(&caller->stream, h1->scratch, H1_READ_SIZE);
	if (got == 0 || got == -2)
		caller_lost(caller);
	else if (got > 0 && caller->state != CALLER_LINGERS)
		consume(caller, h1->scratch, (size_t)got);
}

static const char *reason_of(int status)
{
	switch (status) {
#define XX(number, name, text) \
	case number:           \
		return #text;
		HTTP_STATUS_MAP(XX)
#undef XX
	default:
		return "Status";
	}
}

static mc_err_t write_answer(caller_t *caller, const mc_h1_response_t *answer)
{
	h1_buffer_t *out = &caller->stream.out;
	const char *lines = answer->header_lines ? answer->header_lines : "";
	bool sized = answer->status != STATUS_NO_CONTENT &&
		     answer->status != STATUS_NOT_MODIFIED;
	char head[HEAD_SIZE];
	int size;
	mc_err_t err;

	size = snprintf(head, sizeof(head), "HTTP/1.1 %d %s\r\n",
			answer->status, reason_of(answer->status));
	err = h1_buffer_add(out, head, (size_t)size);
	if (!err)
		err = h1_buffer_add(out, lines, strlen(lines));
	size = 0;
	if (sized)
		size = snprintf(head, sizeof(head), "Content-Length: %zu\r\n",
				answer->body_size);
	size += snprintf(head + size, sizeof(head) - (size_t)size, "%s\r\n",
			 caller->keep ? "" : "Connection: close\r\n");
	if (!err)
		err = h1_buffer_add(out, head, (size_t)size);
	if (!err && sized)
		err = h1_buffer_add(out, answer->body, answer->body_size);
	return err;
}

mc_err_t mc_h1_respond(mc_h1_t *h1, mc_handle_t connection,
		       const mc_h1_response_t *answer)
{
	caller_t *caller = mc_table_get(h1->callers, connection);

	if (!caller || caller->state != CALLER_HANDLED)
		return mc_fail(MC_ERR_STALE_HANDLE, "the caller has gone");
	if (answer->close || h1->leaving)
		caller->keep = false;
	caller->state = CALLER_ANSWERED;
	if (write_answer(caller, answer) || !h1_stream_flush(&caller->stream)) {
		/* A half-written answer ends without the length it told. */
		caller_free(caller);
		return MC_OK;
	}
	if (h1_stream_pending(&caller->stream))
		return MC_OK;
	answer_left(caller);
	if (caller->state == CALLER_READS && !caller->consuming)
		consume_ahead(caller);
	return MC_OK;
}

static void caller_add(mc_h1_t *h1, int fd)
{
	mc_handle_t handle;
	caller_t *caller;
	void *slot;

	if (mc_table_add(h1->callers, &handle, &slot)) {
		mc_log(mc_shard_log(h1->shard), MC_LOG_WARNING, "h1",
		       "connection refused: %s", mc_last_error_message());
		close(fd);
		return;
	}
	caller = slot;
	caller->h1 = h1;
	caller->handle = handle;
	if (h1_stream_init(&caller->stream, h1->shard, fd, MC_WATCH_READ,
			   caller_ready, caller)) {
		caller_free(caller);
		return;
	}
	next_request(caller);
	set_timer(caller, caller->expires);
}

static void accept_callers(mc_shard_t *shard, void *arg, int events)
{
	mc_h1_t *h1 = arg;
	int fd;

	(void)shard;
	(void)events;
	for (;;) {
		fd = accept4(h1->listen_fd, NULL, NULL,
			     SOCK_NONBLOCK | SOCK_CLOEXEC);
		if (fd < 0 && (errno == EINTR || errno == ECONNABORTED))
			continue;
		if (fd < 0)
			return;
		caller_add(h1, fd);
	}
}

mc_err_t mc_h1_serve(mc_h1_t *h1, int fd, const mc_h1_server_handlers_t *server,
		     void *ctx)
{
	h1->server = server;
	h1->server_ctx = ctx;
	h1->listen_fd = fd;
	return mc_watch_add(h1->shard, fd, MC_WATCH_READ, accept_callers, h1,
			    &h1->listen_watch);
}

void mc_h1_set_limits(mc_h1_t *h1, const mc_h1_limits_t *limits)
{
	h1->limits = *limits;
}

void mc_h1_start_draining(mc_h1_t *h1)
{
	h1->leaving = true;
}

void mc_h1_close_idle(mc_h1_t *h1)
{
	uint32_t cursor = 0;
	mc_handle_t handle;
	caller_t *caller;

	h1->leaving = true;
	if (!h1->closing && h1->server)
		mc_watch_remove(h1->shard, h1->listen_watch);
	h1->closing = true;
	while ((caller = mc_table_next(h1->callers, &cursor, &handle))) {
		if (caller->state != CALLER_READS || caller->parse.begun)
			continue;
		linger(caller);
		set_timer(caller, caller->expires);
	}
}

uint32_t mc_h1_server_connection_count(const mc_h1_t *h1)
{
	return mc_table_count(h1->callers);
}

mc_err_t h1_callers_init(mc_h1_t *h1)
{
	h1->callers = mc_table_create(sizeof(caller_t), MC_H1_CONNECTIONS_MAX);
	return h1->callers ? MC_OK : MC_ERR_NO_MEMORY;
}

void h1_callers_destroy(mc_h1_t *h1)
{
	uint32_t cursor = 0;
	mc_handle_t handle;
	caller_t *caller;

	if (!h1->callers)
		return;
	while ((caller = mc_table_next(h1->callers, &cursor, &handle)))
		caller_free(caller);
	if (h1->server && !h1->closing)
		mc_watch_remove(h1->shard, h1->listen_watch);
	mc_table_destroy(h1->callers);
}
