/*
 * HTTP server: one libmicrohttpd daemon per shard, without threads of its own;
 * the shard watches its epoll descriptor. A connection is suspended from the
 * call of the handler until the response, so that no thread waits for it.
 */
#include "net_private.h"

#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
	CONNECTIONS_MAX = 16384,
	CONNECTION_TIMEOUT_S = 60,
	/* Any time other than CONNECTION_TIMEOUT_S, see suspend(). */
	RESUMED_TIMEOUT_S = CONNECTION_TIMEOUT_S + 1,
	BODY_MIN = 1024,
};

typedef struct {
	mc_shard_t *shard;
	mc_handle_t handle;
	struct MHD_Connection *connection;
	struct MHD_Response *response;
	int status;
	bool handler_called;
	bool suspended;
	bool too_large;
	char *body;
	size_t size;
	size_t capacity;
} exchange_t;

static void run_daemon(mc_shard_t *shard, void *arg);

static void schedule_run(mc_shard_t *shard)
{
	http_server_t *server = &shard->server;

	if (server->run_pending)
		return;
	server->run_pending = true;
	mc_shard_defer(shard, run_daemon, NULL);
}

static void timer_fired(mc_shard_t *shard, void *arg)
{
	(void)arg;
	schedule_run(shard);
}

static void run_daemon(mc_shard_t *shard, void *arg)
{
	http_server_t *server = &shard->server;
	MHD_UNSIGNED_LONG_LONG wait;

	(void)arg;
	server->run_pending = false;
	if (!server->daemon)
		return;
	MHD_run(server->daemon);
	mc_timer_cancel(shard, server->timer);
	server->timer = MC_HANDLE_NONE;
	if (MHD_get_timeout(server->daemon, &wait) != MHD_YES)
		return;
	if (!wait)
		schedule_run(shard);
	else
		mc_timer_set(shard, shard->now + (mc_ms_t)wait, timer_fired,
			     NULL, &server->timer);
}

static void daemon_ready(mc_shard_t *shard, void *arg, int events)
{
	(void)arg;
	(void)events;
	run_daemon(shard, NULL);
}

mc_err_t http_server_init(mc_shard_t *shard)
{
	shard->server.exchanges =
		mc_table_create(sizeof(exchange_t), MC_HTTP_EXCHANGES_MAX);
	return shard->server.exchanges ? MC_OK : MC_ERR_NO_MEMORY;
}

static struct MHD_Response *make_response(const char *type, const char *body,
					  size_t size)
{
	struct MHD_Response *response = MHD_create_response_from_buffer(
		size, (void *)(uintptr_t)body, MHD_RESPMEM_MUST_COPY);

	if (response)
		MHD_add_response_header(response, "Content-Type", type);
	return response;
}

static enum MHD_Result queue_plain_response(struct MHD_Connection *connection,
					    unsigned status, const char *text)
{
	struct MHD_Response *response =
		make_response("text/plain", text, strlen(text));
	enum MHD_Result result;

	if (!response)
		return MHD_NO;
	result = MHD_queue_response(connection, status, response);
	MHD_destroy_response(response);
	return result;
}

static mc_err_t append_body(exchange_t *exchange, const char *data, size_t size)
{
	size_t wanted = exchange->size + size + 1;
	size_t capacity = exchange->capacity ? exchange->capacity : BODY_MIN;
	char *body;

	if (exchange->too_large)
		return MC_OK;
	if (wanted > MC_HTTP_BODY_MAX) {
		exchange->too_large = true;
		return MC_OK;
	}
	while (capacity < wanted)
		capacity *= 2;
	if (capacity != exchange->capacity) {
		body = realloc(exchange->body, capacity);
		if (!body)
			return MC_ERR_NO_MEMORY;
		exchange->body = body;
		exchange->capacity = capacity;
	}
	memcpy(exchange->body + exchange->size, data, size);
	exchange->size += size;
	exchange->body[exchange->size] = '\0';
	return MC_OK;
}

static enum MHD_Result begin_exchange(mc_shard_t *shard,
				      struct MHD_Connection *connection,
				      void **state)
{
	mc_handle_t handle;
	exchange_t *exchange;
	void *slot;

	if (mc_table_add(shard->server.exchanges, &handle, &slot))
		return MHD_NO;
	exchange = slot;
	exchange->shard = shard;
	exchange->handle = handle;
	exchange->connection = connection;
	*state = exchange;
	return MHD_YES;
}

static enum MHD_Result send_response(exchange_t *exchange)
{
	return MHD_queue_response(exchange->connection,
				  (unsigned)exchange->status,
				  exchange->response);
}

/*
 * Suspends the connection until the response is there. libmicrohttpd reads from
 * a resumed connection before it asks for the response, and closes it if the
 * caller has shut down its sending side; only connections with a time-out of
 * their own are asked for the response first.
 */
static void suspend(exchange_t *exchange)
{
	exchange->suspended = true;
	MHD_set_connection_option(exchange->connection,
				  MHD_CONNECTION_OPTION_TIMEOUT,
				  (unsigned)RESUMED_TIMEOUT_S);
	MHD_suspend_connection(exchange->connection);
}

static enum MHD_Result call_handler(mc_shard_t *shard, exchange_t *exchange,
				    const char *method, const char *path)
{
	http_server_t *server = &shard->server;
	mc_http_exchange_t call = {
		.exchange = exchange->handle,
		.method = method,
		.path = path,
		.body = exchange->body ? exchange->body : "",
		.body_size = exchange->size,
		.too_large = exchange->too_large,
		.connection = exchange->connection,
	};

	exchange->handler_called = true;
	server->handler(server->ctx, &call);
	if (exchange->response)
		return send_response(exchange);
	suspend(exchange);
	return MHD_YES;
}

static enum MHD_Result on_request_data(void *ctx,
				       struct MHD_Connection *connection,
				       const char *path, const char *method,
				       const char *version, const char *data,
				       size_t *size, void **state)
{
	mc_shard_t *shard = ctx;
	exchange_t *exchange = *state;

	(void)version;
	if (!exchange)
		return begin_exchange(shard, connection, state);
	if (*size) {
		if (append_body(exchange, data, *size))
			return MHD_NO;
		*size = 0;
		return MHD_YES;
	}
	if (!exchange->handler_called)
		return call_handler(shard, exchange, method, path);
	if (exchange->response)
		return send_response(exchange);
	return queue_plain_response(connection, MHD_HTTP_INTERNAL_SERVER_ERROR,
				    "");
}

static void on_completed(void *ctx, struct MHD_Connection *connection,
			 void **state, enum MHD_RequestTerminationCode code)
{
	mc_shard_t *shard = ctx;
	exchange_t *exchange = *state;

	(void)code;
	if (!exchange)
		return;
	MHD_set_connection_option(connection, MHD_CONNECTION_OPTION_TIMEOUT,
				  (unsigned)CONNECTION_TIMEOUT_S);
	if (exchange->response)
		MHD_destroy_response(exchange->response);
	free(exchange->body);
	mc_table_remove(shard->server.exchanges, exchange->handle);
	*state = NULL;
}

mc_err_t mc_http_bind(const char *address, uint16_t *port, int *fd)
{
	mc_err_t err = address_listen(address, false, fd);

	if (!err)
		*port = address_port(*fd);
	return err;
}

mc_err_t mc_http_serve(mc_shard_t *shard, int fd, mc_http_handler_t handler,
		       void *ctx)
{
	http_server_t *server = &shard->server;
	const union MHD_DaemonInfo *info;
	int duplicate = dup(fd);

	if (duplicate < 0)
		return mc_fail(MC_ERR_IO, "listening socket not duplicated");
	server->handler = handler;
	server->ctx = ctx;
	server->daemon = MHD_start_daemon(
		MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL,
		on_request_data, shard, MHD_OPTION_LISTEN_SOCKET, duplicate,
		MHD_OPTION_NOTIFY_COMPLETED, on_completed, shard,
		MHD_OPTION_CONNECTION_LIMIT, (unsigned)CONNECTIONS_MAX,
		MHD_OPTION_CONNECTION_TIMEOUT, (unsigned)CONNECTION_TIMEOUT_S,
		MHD_OPTION_END);
	if (!server->daemon) {
		close(duplicate);
		return mc_fail(MC_ERR_IO, "HTTP server not started");
	}
	info = MHD_get_daemon_info(server->daemon, MHD_DAEMON_INFO_EPOLL_FD);
	return mc_watch_add(shard, info->epoll_fd, MC_WATCH_READ, daemon_ready,
			    NULL, &server->watch);
}

void mc_http_stop_listening(mc_shard_t *shard)
{
	http_server_t *server = &shard->server;
	int fd;

	if (!server->daemon)
		return;
	server->stopping = true;
	/* Accepts pending connections, which would be reset otherwise. */
	MHD_run(server->daemon);
	fd = MHD_quiesce_daemon(server->daemon);
	if (fd < 0)
		return;
	/*
	 * Closing alone does not stop listening while another duplicate of the
	 * socket is open.
	 */
	shutdown(fd, SHUT_RDWR);
	close(fd);
}

uint32_t mc_http_exchange_count(const mc_shard_t *shard)
{
	return mc_table_count(shard->server.exchanges);
}

mc_err_t mc_http_reply(mc_shard_t *shard, mc_handle_t handle, int status,
		       const char *type, const char *body, size_t body_size)
{
	http_server_t *server = &shard->server;
	exchange_t *exchange = mc_table_get(server->exchanges, handle);

	if (!exchange || exchange->response)
		return mc_fail(MC_ERR_STALE_HANDLE,
			       "exchange has ended or already has a response");
	exchange->response = make_response(type, body, body_size);
	if (!exchange->response)
		return mc_fail(MC_ERR_NO_MEMORY, "no memory for a response");
	if (server->stopping)
		MHD_add_response_header(exchange->response, "Connection",
					"close");
	exchange->status = status;
	if (!exchange->suspended)
		return MC_OK;
	exchange->suspended = false;
	MHD_resume_connection(exchange->connection);
	schedule_run(shard);
	return MC_OK;
}

const char *mc_http_header(const mc_http_exchange_t *exchange, const char *name)
{
	return MHD_lookup_connection_value(exchange->connection,
					   MHD_HEADER_KIND, name);
}

const char *mc_http_query_param(const mc_http_exchange_t *exchange,
				const char *name)
{
	return MHD_lookup_connection_value(exchange->connection,
					   MHD_GET_ARGUMENT_KIND, name);
}

/*
 * Replies to open exchanges, as libmicrohttpd can't be stopped while
 * connections are suspended. Their requests may have run, which the status
 * "service unavailable" would deny.
 */
static void resume_all(mc_shard_t *shard)
{
	http_server_t *server = &shard->server;
	uint32_t cursor = 0;
	mc_handle_t handle;
	exchange_t *exchange;

	while ((exchange = mc_table_next(server->exchanges, &cursor, &handle)))
		if (exchange->suspended)
			mc_http_reply(shard, handle,
				      MHD_HTTP_INTERNAL_SERVER_ERROR,
				      "text/plain", "", 0);
}

void http_server_destroy(mc_shard_t *shard)
{
	http_server_t *server = &shard->server;

	if (server->daemon) {
		resume_all(shard);
		MHD_run(server->daemon);
		mc_watch_remove(shard, server->watch);
		MHD_stop_daemon(server->daemon);
		server->daemon = NULL;
	}
	mc_table_destroy(server->exchanges);
	server->exchanges = NULL;
}
