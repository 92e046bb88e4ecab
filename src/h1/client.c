/*
 * Client connections. A connection has one request in flight at a time, and
 * each request is written once. Bytes that arrive without a request in flight,
 * or after a response, close the connection, unless the handler of the response
 * awaits another one.
 */
#include "h1_private.h"

#include <errno.h>
#include <stdlib.h>
#include <sys/socket.h>

enum {
	/* Lower statuses are informational; another response follows them. */
	STATUS_FINAL_MIN = 200,
	/* Error of the parser for bytes that are no response. */
	STATUS_BAD_RESPONSE = 400,
};

typedef struct {
	mc_h1_t *h1;
	mc_handle_t handle;
	h1_stream_t stream;
	h1_parser_t parser;
	const mc_h1_client_handlers_t *client;
	void *ctx;
	bool connected;
	/* The server has refused the connection. */
	bool refused;
	/* A request is in flight. */
	bool in_flight;
	/* The response to it has no body. */
	bool no_body;
	/* Unsent bytes that count as held; see h1_hold(). */
	size_t held;
	/* Bytes sent on the connection before the request. */
	uint64_t sent_before;
} client_conn_t;

static void count_held(client_conn_t *conn)
{
	h1_hold(conn->h1, &conn->held, conn->stream.out.capacity);
}

static void free_conn(client_conn_t *conn)
{
	h1_hold(conn->h1, &conn->held, 0);
	h1_stream_close(&conn->stream);
	h1_parser_free(&conn->parser);
	mc_table_remove(conn->h1->client_conns, conn->handle);
}

static bool request_maybe_sent(const client_conn_t *conn)
{
	return conn->in_flight && conn->stream.sent_total != conn->sent_before;
}

static void handle_loss(client_conn_t *conn)
{
	mc_h1_t *h1 = conn->h1;
	mc_handle_t handle = conn->handle;
	bool maybe_sent = request_maybe_sent(conn);

	mc_watch_remove(h1->shard, conn->stream.watch);
	conn->client->closed(conn->ctx, handle, maybe_sent);
	conn = mc_table_get(h1->client_conns, handle);
	if (conn)
		free_conn(conn);
}

static void begin_response(client_conn_t *conn)
{
	h1_parser_reset(&conn->parser, false, MC_H1_RESPONSE_HEAD_MAX,
			MC_H1_RESPONSE_BODY_MAX);
	conn->parser.no_body = conn->no_body;
	conn->in_flight = true;
}

/*
 * Delivers a complete response. @trailing_data: bytes have arrived after it;
 * @ended: the peer has closed the connection. Returns false when the connection
 * no longer exists.
 */
static bool deliver_response(client_conn_t *conn, bool trailing_data,
			     bool ended)
{
	mc_h1_t *h1 = conn->h1;
	mc_handle_t handle = conn->handle;
	mc_h1_message_t message = h1_parser_message(&conn->parser);
	bool keep_alive = message.keep_alive && !trailing_data && !ended &&
			  !h1_stream_pending(&conn->stream);

	message.keep_alive = keep_alive;
	message.trailing_data = trailing_data;
	conn->in_flight = false;
	conn->client->response(conn->ctx, handle, &message);
	conn = mc_table_get(h1->client_conns, handle);
	if (!conn)
		return false;
	if (conn->in_flight || keep_alive)
		return true;
	handle_loss(conn);
	return false;
}

static void handle_data(client_conn_t *conn, const char *data, size_t size)
{
	size_t used;

	while (size) {
		if (!conn->in_flight) {
			handle_loss(conn);
			return;
		}
		used = h1_parser_feed(&conn->parser, data, size);
		if (used > size)
			used = size;
		data += used;
		size -= used;
		if (conn->parser.error_status) {
			if (conn->parser.error_status != STATUS_BAD_RESPONSE)
				mc_counter_add(
					mc_shard_counters(conn->h1->shard),
					MC_COUNTER_RESPONSES_CUT, 1);
			handle_loss(conn);
			return;
		}
		if (!conn->parser.complete)
			return;
		if (conn->parser.http.status_code < STATUS_FINAL_MIN)
			begin_response(conn);
		else if (!deliver_response(conn, size > 0, false))
			return;
	}
}

static void handle_end_of_stream(client_conn_t *conn)
{
	if (conn->in_flight)
		h1_parser_finish(&conn->parser);
	if (conn->in_flight && conn->parser.complete &&
	    conn->parser.http.status_code >= STATUS_FINAL_MIN) {
		if (deliver_response(conn, false, true))
			handle_loss(conn);
	} else {
		handle_loss(conn);
	}
}

/* Returns false when connecting has failed. */
static bool finish_connect(client_conn_t *conn)
{
	socklen_t size = sizeof(int);
	int error = 0;

	if (getsockopt(conn->stream.fd, SOL_SOCKET, SO_ERROR, &error, &size))
		return false;
	/* A server that resets a connection it has accepted serves others. */
	conn->refused = error == ECONNREFUSED;
	if (error)
		return false;
	conn->connected = true;
	h1_stream_set_events(&conn->stream, MC_WATCH_READ);
	return true;
}

static void on_ready(mc_shard_t *shard, void *arg, int events)
{
	client_conn_t *conn = arg;
	mc_h1_t *h1 = conn->h1;
	mc_handle_t handle = conn->handle;
	int count;

	(void)shard;
	if (!conn->connected) {
		if (!finish_connect(conn)) {
			handle_loss(conn);
			return;
		}
		conn->client->connected(conn->ctx, handle);
		conn = mc_table_get(h1->client_conns, handle);
		if (!conn)
			return;
		events = MC_WATCH_WRITE;
	}
	if ((events & MC_WATCH_WRITE) && !h1_stream_flush(&conn->stream)) {
		handle_loss(conn);
		return;
	}
	count_held(conn);
	if (!(events & (MC_WATCH_READ | MC_WATCH_ERROR)))
		return;
	count = h1_stream_read(&conn->stream, h1->read_buffer, H1_READ_SIZE);
	if (count > 0)
		handle_data(conn, h1->read_buffer, (size_t)count);
	else if (count == 0)
		handle_end_of_stream(conn);
	else if (count == H1_READ_ERROR)
		handle_loss(conn);
}

bool mc_h1_was_refused(const mc_h1_t *h1, mc_handle_t connection)
{
	const client_conn_t *conn = mc_table_get(h1->client_conns, connection);

	return conn && conn->refused;
}

mc_err_t mc_h1_connect(mc_h1_t *h1, const char *address,
		       const mc_h1_client_handlers_t *client, void *ctx,
		       mc_handle_t *connection)
{
	client_conn_t *conn;
	void *slot;
	int fd;
	mc_err_t err = mc_socket_connect(address, &fd);

	if (err)
		return err;
	err = mc_table_add(h1->client_conns, connection, &slot);
	if (err) {
		mc_socket_close(fd);
		return err;
	}
	conn = slot;
	conn->h1 = h1;
	conn->handle = *connection;
	conn->client = client;
	conn->ctx = ctx;
	conn->parser.budget = &h1->response_budget;
	err = h1_stream_init(&conn->stream, h1->shard, fd, MC_WATCH_WRITE,
			     on_ready, conn);
	if (err)
		free_conn(conn);
	return err;
}

mc_err_t mc_h1_send_request(mc_h1_t *h1, mc_handle_t connection,
			    const char *head, size_t head_size,
			    const char *body, size_t body_size, bool no_body)
{
	client_conn_t *conn = mc_table_get(h1->client_conns, connection);
	mc_err_t err;

	if (!conn)
		return mc_fail(MC_ERR_STALE_HANDLE, "connection is closed");
	if (conn->in_flight)
		return mc_fail(MC_ERR_CONFLICT,
			       "connection has a request in flight");
	conn->no_body = no_body;
	conn->sent_before = conn->stream.sent_total;
	begin_response(conn);
	err = h1_buffer_append(&conn->stream.out, head, head_size);
	if (!err)
		err = h1_buffer_append(&conn->stream.out, body, body_size);
	if (err)
		return err;
	/* A broken connection is handled at its next event. */
	if (conn->connected && !h1_stream_flush(&conn->stream))
		h1_stream_set_events(&conn->stream,
				     MC_WATCH_READ | MC_WATCH_WRITE);
	count_held(conn);
	return MC_OK;
}

void mc_h1_await_next_response(mc_h1_t *h1, mc_handle_t connection)
{
	client_conn_t *conn = mc_table_get(h1->client_conns, connection);

	if (conn)
		begin_response(conn);
}

void mc_h1_close(mc_h1_t *h1, mc_handle_t connection)
{
	client_conn_t *conn = mc_table_get(h1->client_conns, connection);

	if (conn)
		free_conn(conn);
}

mc_err_t h1_client_init(mc_h1_t *h1)
{
	h1->client_conns =
		mc_table_create(sizeof(client_conn_t), MC_H1_CONNECTIONS_MAX);
	return h1->client_conns ? MC_OK : MC_ERR_NO_MEMORY;
}

void h1_client_destroy(mc_h1_t *h1)
{
	uint32_t cursor = 0;
	mc_handle_t handle;
	client_conn_t *conn;

	if (!h1->client_conns)
		return;
	while ((conn = mc_table_next(h1->client_conns, &cursor, &handle)))
		free_conn(conn);
	mc_table_destroy(h1->client_conns);
}
