/*
 * The side of a connection that sends requests: one at a time, each written
 * once. Bytes that come without a request, or behind an answer, close it.
 */
#include "h1_private.h"

#include <stdlib.h>
#include <sys/socket.h>

enum {
	STATUS_FINAL = 200,
};

typedef struct {
	mc_h1_t *h1;
	mc_handle_t handle;
	h1_stream_t stream;
	h1_parse_t parse;
	const mc_h1_client_handlers_t *client;
	void *ctx;
	bool connected;
	/* A request is under way. */
	bool busy;
	bool no_body;
	/* Bytes that had left when the request was queued. */
	uint64_t sent_before;
} server_t;

static void server_free(server_t *server)
{
	h1_stream_close(&server->stream);
	h1_parse_free(&server->parse);
	mc_table_remove(server->h1->servers, server->handle);
}

static bool has_sent(const server_t *server)
{
	return server->busy && server->stream.total != server->sent_before;
}

static void server_lost(server_t *server)
{
	mc_h1_t *h1 = server->h1;
	mc_handle_t handle = server->handle;
	bool sent = has_sent(server);

	mc_watch_remove(h1->shard, server->stream.watch);
	server->client->closed(server->ctx, handle, sent);
	server = mc_table_get(h1->servers, handle);
	if (server)
		server_free(server);
}

static void begin_answer(server_t *server)
{
	h1_parse_begin(&server->parse, false, MC_H1_RESPONSE_HEAD_MAX,
		       MC_H1_RESPONSE_BODY_MAX);
	server->parse.no_body = server->no_body;
	server->busy = true;
}

/*
 * Hands over a whole answer. @extra: bytes behind it; @ended: the connection's
 * other side has closed. Returns false when the connection is gone.
 */
static bool deliver(server_t *server, bool extra, bool ended)
{
	mc_h1_t *h1 = server->h1;
	mc_handle_t handle = server->handle;
	mc_h1_message_t message = h1_parse_message(&server->parse);
	bool keep = message.keep_alive && !extra && !ended &&
		    !h1_stream_pending(&server->stream);

	message.keep_alive = keep;
	message.trailing_data = extra;
	server->busy = false;
	server->client->response(server->ctx, handle, &message);
	server = mc_table_get(h1->servers, handle);
	if (!server)
		return false;
	if (server->busy || keep)
		return true;
	server_lost(server);
	return false;
}

static void take_bytes(server_t *server, const char *data, size_t size)
{
	size_t used;

	while (size) {
		if (!server->busy) {
			server_lost(server);
			return;
		}
		used = h1_parse_feed(&server->parse, data, size);
		if (used > size)
			used = size;
		data += used;
		size -= used;
		if (server->parse.fault) {
			server_lost(server);
			return;
		}
		if (!server->parse.whole)
			return;
		if (server->parse.parser.status_code < STATUS_FINAL)
			begin_answer(server);
		else if (!deliver(server, size > 0, false))
			return;
	}
}

static void take_end(server_t *server)
{
	if (server->busy)
		h1_parse_end(&server->parse);
	if (server->busy && server->parse.whole &&
	    server->parse.parser.status_code >= STATUS_FINAL) {
		if (deliver(server, false, true))
			server_lost(server);
	} else {
		server_lost(server);
	}
}

/* Returns false when the connection could not be made. */
static bool finish_connect(server_t *server)
{
	socklen_t size = sizeof(int);
	int error = 0;

	if (getsockopt(server->stream.fd, SOL_SOCKET, SO_ERROR, &error,
		       &size) ||
	    error)
		return false;
	server->connected = true;
	h1_stream_interest(&server->stream, MC_WATCH_READ);
	return true;
}

static void server_ready(mc_shard_t *shard, void *arg, int events)
{
	server_t *server = arg;
	mc_h1_t *h1 = server->h1;
	mc_handle_t handle = server->handle;
	int got;

	(void)shard;
	if (!server->connected) {
		if (!finish_connect(server)) {
			server_lost(server);
			return;
		}
		server->client->connected(server->ctx, handle);
		server = mc_table_get(h1->servers, handle);
		if (!server)
			return;
		events = MC_WATCH_WRITE;
	}
	if ((events & MC_WATCH_WRITE) && !h1_stream_flush(&server->stream)) {
		server_lost(server);
		return;
	}
	if (!(events & (MC_WATCH_READ | MC_WATCH_ERROR)))
		return;
	got = h1_stream_read(&server->stream, h1->scratch, H1_READ_SIZE);
	if (got > 0)
		take_bytes(server, h1->scratch, (size_t)got);
	else if (got == 0)
		take_end(server);
	else if (got == -2)
		server_lost(server);
}

mc_err_t mc_h1_connect(mc_h1_t *h1, const char *address,
		       const mc_h1_client_handlers_t *client, void *ctx,
		       mc_handle_t *connection)
{
	server_t *server;
	void *slot;
	int fd;
	mc_err_t err = mc_socket_connect(address, &fd);

	if (err)
		return err;
	err = mc_table_add(h1->servers, connection, &slot);
	if (err) {
		mc_socket_close(fd);
		return err;
	}
	server = slot;
	server->h1 = h1;
	server->handle = *connection;
	server->client = client;
	server->ctx = ctx;
	err = h1_stream_init(&server->stream, h1->shard, fd, MC_WATCH_WRITE,
			     server_ready, server);
	if (err)
		server_free(server);
	return err;
}

mc_err_t mc_h1_send_request(mc_h1_t *h1, mc_handle_t connection,
			    const char *head, size_t head_size,
			    const char *body, size_t body_size, bool no_body)
{
	server_t *server = mc_table_get(h1->servers, connection);
	mc_err_t err;

	if (!server)
		return mc_fail(MC_ERR_STALE_HANDLE, "connection is closed");
	if (server->busy)
		return mc_fail(MC_ERR_CONFLICT, "connection is in use");
	server->no_body = no_body;
	server->sent_before = server->stream.total;
	begin_answer(server);
	err = h1_buffer_add(&server->stream.out, head, head_size);
	if (!err)
		err = h1_buffer_add(&server->stream.out, body, body_size);
	if (err)
		return err;
	/* A broken connection shows at its next event. */
	if (server->connected && !h1_stream_flush(&server->stream))
		h1_stream_interest(&server->stream,
				   MC_WATCH_READ | MC_WATCH_WRITE);
	return MC_OK;
}

void mc_h1_await_next_response(mc_h1_t *h1, mc_handle_t connection)
{
	server_t *server = mc_table_get(h1->servers, connection);

	if (server)
		begin_answer(server);
}

void mc_h1_close(mc_h1_t *h1, mc_handle_t connection)
{
	server_t *server = mc_table_get(h1->servers, connection);

	if (server)
		server_free(server);
}

mc_err_t h1_servers_init(mc_h1_t *h1)
{
	h1->servers = mc_table_create(sizeof(server_t), MC_H1_CONNECTIONS_MAX);
	return h1->servers ? MC_OK : MC_ERR_NO_MEMORY;
}

void h1_servers_destroy(mc_h1_t *h1)
{
	uint32_t cursor = 0;
	mc_handle_t handle;
	server_t *server;

	if (!h1->servers)
		return;
	while ((server = mc_table_next(h1->servers, &cursor, &handle)))
		server_free(server);
	mc_table_destroy(h1->servers);
}
