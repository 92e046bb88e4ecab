/*
 * Server connections. One request of a connection is delivered at a time. While
 * it waits for its response, the socket is still read, so that a disconnect of
 * the peer is noticed; pipelined requests are buffered meanwhile.
 *
 * A peer that closes its connection and one that only shuts down its sending
 * side look the same until bytes are sent to them: the first one resets the
 * connection, the other one reads them. So the first bytes of the response,
 * which are always the same, are sent at once then.
 */
#include "server_conn.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
	/* Above this many buffered bytes after the request in flight, the
	 * socket is not read until the response was sent. */
	READ_AHEAD_MAX = 256 << 10,
	/* How long to wait for the peer's close after shutting down, ms. */
	LINGER_TIMEOUT_MS = 1000,
	/* After the listening socket was closed, how long to wait for the first
	 * request of a connection, or one of which some bytes have arrived,
	 * ms. */
	LAST_REQUEST_TIMEOUT_MS = 1000,
	/* How long a time-out is put off for bytes that have arrived but were
	 * not read yet, ms. */
	UNREAD_TIMEOUT_MS = 100,
	STATUS_TIMEOUT = 408,
	STATUS_UNAVAILABLE = 503,
	/* A request that is being received with a body up to this size, bytes,
	 * is not refused for want of memory. */
	BODY_FREE_MAX = 4 << 10,
	US_PER_MS = 1000,
};

/* With a refusal for want of memory. */
static const char retry_after[] = "Retry-After: 1\r\n";

/* Counts what a connection holds for its peer. */
static void count_held(server_conn_t *conn)
{
	h1_hold(conn->h1, &conn->held,
		conn->parser.body.capacity + conn->read_ahead.capacity +
			conn->stream.out.capacity);
}

void server_conn_free(server_conn_t *conn)
{
	mc_h1_t *h1 = conn->h1;

	h1_hold(h1, &conn->held, 0);
	mc_timer_cancel(h1->shard, conn->timer);
	h1_stream_close(&conn->stream);
	h1_parser_free(&conn->parser);
	h1_buffer_free(&conn->read_ahead);
	mc_table_remove(h1->server_conns, conn->handle);
}

/* Handles the loss of the connection in any state. */
static void handle_loss(server_conn_t *conn)
{
	mc_h1_t *h1 = conn->h1;

	if (conn->state == CONN_HANDLING)
		h1->server->disconnected(h1->server_ctx, conn->handle);
	server_conn_free(conn);
}

static void await_request(server_conn_t *conn)
{
	mc_h1_t *h1 = conn->h1;

	h1_parser_reset(&conn->parser, true, h1->limits.head_bytes_max,
			h1->limits.body_bytes_max);
	conn->state = CONN_READING;
	conn->expect_checked = false;
	conn->timeout_put_off = false;
	conn->expires_at = mc_shard_now(h1->shard) + h1->limits.idle_timeout;
}

static bool has_unread_data(const server_conn_t *conn)
{
	char byte;

	return recv(conn->stream.fd, &byte, sizeof(byte),
		    MSG_PEEK | MSG_DONTWAIT) > 0;
}

/* Whether bytes have arrived after the request in flight. */
static bool has_pipelined_data(const server_conn_t *conn)
{
	return conn->unparsed || conn->read_ahead.size || has_unread_data(conn);
}

/* Shuts down sending and waits for the peer's close. */
static void linger(server_conn_t *conn)
{
	conn->state = CONN_LINGERING;
	conn->expires_at = mc_shard_now(conn->h1->shard) + LINGER_TIMEOUT_MS;
	shutdown(conn->stream.fd, SHUT_WR);
}

static void check_timeout(mc_shard_t *shard, void *arg);

static void set_timer(server_conn_t *conn, mc_ms_t at)
{
	mc_shard_t *shard = conn->h1->shard;

	mc_timer_cancel(shard, conn->timer);
	if (mc_timer_set(shard, at, check_timeout, conn, &conn->timer))
		mc_log(mc_shard_log(shard), MC_LOG_ERROR, "h1",
		       "connection timer not set: %s", mc_last_error_message());
}

/* After the response was sent, waits for the next request or shuts down. */
static void handle_response_sent(server_conn_t *conn)
{
	if (conn->end_of_stream && !conn->unparsed && !conn->read_ahead.size)
		conn->keep_alive = false;
	if (!conn->keep_alive) {
		linger(conn);
		set_timer(conn, conn->expires_at);
		return;
	}
	await_request(conn);
	if (!conn->h1->closing)
		return;
	conn->expires_at =
		mc_shard_now(conn->h1->shard) + LAST_REQUEST_TIMEOUT_MS;
	set_timer(conn, conn->expires_at);
}

static void respond_with_error(server_conn_t *conn, int status)
{
	const mc_h1_response_t response = {
		.status = status,
		.header_lines =
			status == STATUS_UNAVAILABLE ? retry_after : NULL,
		.close = true,
	};

	conn->no_body = false;
	conn->keep_alive = false;
	conn->state = CONN_HANDLING;
	mc_h1_respond(conn->h1, conn->handle, &response);
}

/*
 * A shard that was held up looks at its timers before it reads what arrived
 * meanwhile. So a wait for bytes that are there already goes on, once. Returns
 * whether it does.
 */
static bool put_off_timeout(server_conn_t *conn)
{
	if (conn->state != CONN_READING || conn->timeout_put_off ||
	    !has_unread_data(conn))
		return false;
	conn->timeout_put_off = true;
	conn->expires_at = mc_shard_now(conn->h1->shard) + UNREAD_TIMEOUT_MS;
	set_timer(conn, conn->expires_at);
	return true;
}

/* Waits for the peer to take bytes of its response. */
static void await_progress(server_conn_t *conn)
{
	conn->sent_at_check = conn->stream.sent_total;
	conn->expires_at =
		mc_shard_now(conn->h1->shard) + conn->h1->limits.idle_timeout;
}

static bool makes_progress(const server_conn_t *conn)
{
	return conn->state == CONN_RESPONDING &&
	       conn->stream.sent_total != conn->sent_at_check;
}

/* A connection has one timer, which is set again when it fires too early. */
static void check_timeout(mc_shard_t *shard, void *arg)
{
	server_conn_t *conn = arg;
	mc_ms_t now = mc_shard_now(shard);

	/* The request in flight has a deadline of its own. */
	if (conn->state == CONN_HANDLING ||
	    (now >= conn->expires_at && makes_progress(conn)))
		await_progress(conn);
	if (conn->state == CONN_HANDLING || now < conn->expires_at) {
		set_timer(conn, conn->expires_at);
		return;
	}
	if (put_off_timeout(conn))
		return;
	if (conn->state == CONN_READING && conn->parser.started) {
		respond_with_error(conn, STATUS_TIMEOUT);
	} else if (conn->state == CONN_READING) {
		linger(conn);
		set_timer(conn, conn->expires_at);
	} else {
		server_conn_free(conn);
	}
}

static mc_ms_t measure_round_trip(const server_conn_t *conn)
{
	struct tcp_info info = { 0 };
	socklen_t size = sizeof(info);

	/* Sockets that aren't TCP have no round-trip time. */
	if (getsockopt(conn->stream.fd, IPPROTO_TCP, TCP_INFO, &info, &size))
		return 0;
	return (info.tcpi_rtt + US_PER_MS - 1) / US_PER_MS;
}

static void deliver_request(server_conn_t *conn)
{
	mc_h1_t *h1 = conn->h1;
	mc_h1_message_t message = h1_parser_message(&conn->parser);

	message.first_on_connection = !conn->has_delivered_request;
	if (!conn->has_delivered_request)
		conn->round_trip = measure_round_trip(conn);
	message.round_trip = conn->round_trip;
	conn->has_delivered_request = true;
	conn->keep_alive = message.keep_alive;
	conn->no_body = conn->parser.http.method == HTTP_HEAD;
	conn->state = CONN_HANDLING;
	h1->server->request(h1->server_ctx, conn->handle, &message,
			    conn->first_byte);
}

/* Sends "100 Continue" to a peer that expects it before sending its body. */
static void send_continue(server_conn_t *conn)
{
	static const char text[] = "HTTP/1.1 100 Continue\r\n\r\n";
	const mc_h1_message_t message = h1_parser_message(&conn->parser);

	conn->expect_checked = true;
	if (!mc_h1_get_header(&message, "Expect"))
		return;
	h1_buffer_append(&conn->stream.out, text, sizeof(text) - 1);
	h1_stream_flush(&conn->stream);
}

/* Whether memory for the rest of a request's body is lacking. */
static bool must_refuse_body(const server_conn_t *conn)
{
	const h1_parser_t *parser = &conn->parser;

	return !parser->complete && parser->body.size > BODY_FREE_MAX &&
	       mc_h1_is_short_of_memory(conn->h1);
}

static void refuse_body(server_conn_t *conn)
{
	mc_counter_add(mc_shard_counters(conn->h1->shard),
		       MC_COUNTER_REFUSALS_MEMORY, 1);
	respond_with_error(conn, STATUS_UNAVAILABLE);
}

/* Parses requests; bytes after the request in flight are buffered. */
static void parse_data(server_conn_t *conn, const char *data, size_t size)
{
	mc_h1_t *h1 = conn->h1;
	mc_handle_t handle = conn->handle;
	size_t used;

	conn->parsing = true;
	while (size && conn->state == CONN_READING) {
		if (!conn->parser.started) {
			conn->first_byte = mc_shard_now(h1->shard);
			conn->timeout_put_off = false;
			conn->expires_at =
				conn->first_byte + h1->limits.request_timeout;
			/* The timer is still set to the idle time-out, and may
			 * have to fire earlier. */
			if (h1->limits.request_timeout <
			    h1->limits.idle_timeout)
				set_timer(conn, conn->expires_at);
		}
		used = h1_parser_feed(&conn->parser, data, size);
		if (used > size)
			used = size;
		data += used;
		size -= used;
		conn->unparsed = size;
		if (conn->parser.error_status)
			respond_with_error(conn, conn->parser.error_status);
		else if (must_refuse_body(conn))
			refuse_body(conn);
		else if (conn->parser.complete)
			deliver_request(conn);
		else if (conn->parser.head_complete && !conn->expect_checked)
			send_continue(conn);
		conn = mc_table_get(h1->server_conns, handle);
		if (!conn)
			return;
	}
	conn->parsing = false;
	conn->unparsed = 0;
	/* The rest of a request that has begun can't arrive any more. */
	if (conn->end_of_stream && conn->state == CONN_READING) {
		linger(conn);
		set_timer(conn, conn->expires_at);
		return;
	}
	if (!size || conn->state == CONN_LINGERING)
		return;
	if (h1_buffer_append(&conn->read_ahead, data, size))
		handle_loss(conn);
	else if (conn->read_ahead.size > READ_AHEAD_MAX)
		h1_stream_set_events(&conn->stream,
				     conn->stream.events & ~MC_WATCH_READ);
}

/* Sends the first bytes of the response, which a peer that has closed the
 * connection answers with a reset. Returns false if the connection is broken.
 */
static bool probe_peer(server_conn_t *conn)
{
	if (conn->state != CONN_HANDLING || conn->version_sent)
		return true;
	if (response_begin(conn))
		return false;
	return h1_stream_flush(&conn->stream);
}

/* Handles the end of what the peer sends. It may still read the responses to
 * the requests that it has sent. */
static void handle_end_of_stream(server_conn_t *conn)
{
	bool can_go_on =
		conn->state == CONN_HANDLING || conn->state == CONN_RESPONDING;

	/* Without events to read, only the loss of the connection is reported.
	 */
	if (!can_go_on || conn->end_of_stream || !probe_peer(conn)) {
		handle_loss(conn);
		return;
	}
	conn->end_of_stream = true;
	h1_stream_set_events(&conn->stream,
			     conn->stream.events & ~MC_WATCH_READ);
}

/* Parses the buffered bytes after the previous response was sent. */
static void parse_read_ahead(server_conn_t *conn)
{
	h1_buffer_t read_ahead = conn->read_ahead;

	if (!read_ahead.size)
		return;
	conn->read_ahead = (h1_buffer_t){ 0 };
	if (!conn->end_of_stream)
		h1_stream_set_events(&conn->stream,
				     conn->stream.events | MC_WATCH_READ);
	parse_data(conn, read_ahead.data, read_ahead.size);
	h1_buffer_free(&read_ahead);
}

static void handle_events(server_conn_t *conn, int events)
{
	mc_h1_t *h1 = conn->h1;
	mc_handle_t handle = conn->handle;
	int count;

	if (events & MC_WATCH_WRITE) {
		if (!h1_stream_flush(&conn->stream)) {
			handle_loss(conn);
			return;
		}
		if (conn->state == CONN_RESPONDING &&
		    !h1_stream_pending(&conn->stream)) {
			handle_response_sent(conn);
			if (conn->state == CONN_READING)
				parse_read_ahead(conn);
			conn = mc_table_get(h1->server_conns, handle);
			if (!conn)
				return;
		}
	}
	if (!(events & (MC_WATCH_READ | MC_WATCH_ERROR)))
		return;
	count = h1_stream_read(&conn->stream, h1->read_buffer, H1_READ_SIZE);
	if (count == 0)
		handle_end_of_stream(conn);
	else if (count == H1_READ_ERROR)
		handle_loss(conn);
	else if (count > 0 && conn->state != CONN_LINGERING)
		parse_data(conn, h1->read_buffer, (size_t)count);
}

static void on_ready(mc_shard_t *shard, void *arg, int events)
{
	server_conn_t *conn = arg;
	mc_h1_t *h1 = conn->h1;
	mc_handle_t handle = conn->handle;

	(void)shard;
	handle_events(conn, events);
	conn = mc_table_get(h1->server_conns, handle);
	if (conn)
		count_held(conn);
}

static mc_err_t respond(mc_h1_t *h1, server_conn_t *conn,
			const mc_h1_response_t *response)
{
	if (!conn || conn->state != CONN_HANDLING)
		return mc_fail(MC_ERR_STALE_HANDLE,
			       "no request to respond to on this connection");
	if ((response->close || h1->draining) && !has_pipelined_data(conn))
		conn->keep_alive = false;
	conn->state = CONN_RESPONDING;
	if (response_write(conn, response) || !h1_stream_flush(&conn->stream)) {
		/* A response that ends before its Content-Length is detected as
		 * incomplete by the peer. */
		server_conn_free(conn);
		return MC_OK;
	}
	if (h1_stream_pending(&conn->stream)) {
		await_progress(conn);
		return MC_OK;
	}
	handle_response_sent(conn);
	if (conn->state == CONN_READING && !conn->parsing)
		parse_read_ahead(conn);
	return MC_OK;
}

mc_err_t mc_h1_respond(mc_h1_t *h1, mc_handle_t connection,
		       const mc_h1_response_t *response)
{
	mc_err_t err = respond(h1, mc_table_get(h1->server_conns, connection),
			       response);
	server_conn_t *conn = mc_table_get(h1->server_conns, connection);

	if (conn)
		count_held(conn);
	return err;
}

void server_conn_add(mc_h1_t *h1, int fd)
{
	mc_handle_t handle;
	server_conn_t *conn;
	void *slot;

	if (mc_table_add(h1->server_conns, &handle, &slot)) {
		mc_log(mc_shard_log(h1->shard), MC_LOG_WARNING, "h1",
		       "connection refused: %s", mc_last_error_message());
		close(fd);
		return;
	}
	conn = slot;
	conn->h1 = h1;
	conn->handle = handle;
	if (h1_stream_init(&conn->stream, h1->shard, fd, MC_WATCH_READ,
			   on_ready, conn)) {
		server_conn_free(conn);
		return;
	}
	await_request(conn);
	set_timer(conn, conn->expires_at);
}

void server_conn_close_if_idle(server_conn_t *conn)
{
	if (conn->state != CONN_READING || conn->parser.started ||
	    has_unread_data(conn))
		return;
	if (conn->has_delivered_request)
		linger(conn);
	else
		conn->expires_at =
			mc_shard_now(conn->h1->shard) + LAST_REQUEST_TIMEOUT_MS;
	set_timer(conn, conn->expires_at);
}
