/*
 * HTTP on a shard's loop: a client that uses libcurl's multi socket interface,
 * and a server that uses libmicrohttpd. All functions are for the shard's
 * thread unless noted otherwise.
 */
#ifndef MC_NET_HTTP_H
#define MC_NET_HTTP_H

#include "mc/net/shard.h"

enum {
	/* Most bytes of a received body, with a terminating zero. */
	MC_HTTP_BODY_MAX = 4 << 20,
	MC_HTTP_HEADERS_MAX = 8,
	/* Most server exchanges, and most client requests, of one shard. */
	MC_HTTP_EXCHANGES_MAX = 16384,
};

/**
 * struct mc_http_request_t - A request of the client; everything is copied
 * @method: "GET", "POST" or "PUT"
 * @url: complete URL
 * @header_count: number of headers
 * @headers: header lines such as "If-Match: 3"
 * @body: body; NULL for none
 * @body_size: bytes of @body
 * @timeout: time-out of the whole exchange, ms
 * @captured_header: name of a response header whose value is handed out; NULL
 *	for none
 * @send_once: the request is never sent twice. It gets a new connection, which
 *	is closed afterwards, as libcurl may resend a request when a reused
 *	connection breaks
 */
typedef struct mc_http_request_t {
	const char *method;
	const char *url;
	uint32_t header_count;
	const char *headers[MC_HTTP_HEADERS_MAX];
	const char *body;
	size_t body_size;
	mc_ms_t timeout;
	const char *captured_header;
	bool send_once;
} mc_http_request_t;

/**
 * struct mc_http_response_t - Result of a client's request
 * @err: MC_OK when a complete response arrived, whatever its status; else
 *	MC_ERR_TIMED_OUT, MC_ERR_IO, MC_ERR_TOO_LARGE
 * @maybe_sent: a byte of the request may have been sent
 * @status: HTTP status; 0 with an error
 * @etag: value of the ETag header without quotes; "" if absent
 * @captured: value of the request's @captured_header; "" if absent, too long
 *	or not asked for
 * @body: zero-terminated body, valid during the call
 * @body_size: bytes of @body
 */
typedef struct mc_http_response_t {
	mc_err_t err;
	bool maybe_sent;
	int status;
	const char *etag;
	const char *captured;
	const char *body;
	size_t body_size;
} mc_http_response_t;

/** mc_http_done_fn_t - Handler of a client's request, called once */
typedef void (*mc_http_done_fn_t)(void *ctx,
				  const mc_http_response_t *response);

/**
 * mc_http_send() - Send a request
 * @shard: the shard
 * @request: the request
 * @done: handler; not called before this function returns
 * @ctx: passed to @done
 * @handle: receives a handle for mc_http_cancel(); may be NULL
 *
 * Return: MC_OK; MC_ERR_FULL, MC_ERR_NO_MEMORY, after which @done is not
 * called and nothing was sent.
 */
mc_err_t mc_http_send(mc_shard_t *shard, const mc_http_request_t *request,
		      mc_http_done_fn_t done, void *ctx, mc_handle_t *handle);

/** mc_http_cancel() - Cancel a request without calling its handler */
void mc_http_cancel(mc_shard_t *shard, mc_handle_t handle);

/**
 * struct mc_http_exchange_t - A request received by the server
 * @exchange: handle for mc_http_reply(); stale when the peer has disconnected
 * @method: method
 * @path: path, without the query
 * @body: zero-terminated body
 * @body_size: bytes of @body
 * @too_large: the body exceeded MC_HTTP_BODY_MAX, and the rest of it was
 *	dropped
 * @connection: used by mc_http_header() and mc_http_query_param(); valid during
 *	the call
 */
typedef struct mc_http_exchange_t {
	mc_handle_t exchange;
	const char *method;
	const char *path;
	const char *body;
	size_t body_size;
	bool too_large;
	void *connection;
} mc_http_exchange_t;

/** mc_http_handler_t - Handler, called for each complete request */
typedef void (*mc_http_handler_t)(void *ctx,
				  const mc_http_exchange_t *exchange);

/** mc_http_header() - Get the value of a request header, or NULL */
const char *mc_http_header(const mc_http_exchange_t *exchange,
			   const char *name);

/** mc_http_query_param() - Get the value of a query parameter, or NULL */
const char *mc_http_query_param(const mc_http_exchange_t *exchange,
				const char *name);

/**
 * mc_http_bind() - Open a listening socket that several shards can serve
 * @address: "IP:port"; with port 0 the kernel picks a port
 * @port: receives the port
 * @fd: receives the socket, owned by the caller
 *
 * Any thread. Return: MC_OK, MC_ERR_IO, MC_ERR_BAD_SETTINGS.
 */
mc_err_t mc_http_bind(const char *address, uint16_t *port, int *fd);

/**
 * mc_http_serve() - Serve a listening socket on this shard
 * @shard: the shard, which can have one server
 * @fd: socket from mc_http_bind(), owned by the caller
 * @handler: called for each request
 * @ctx: passed to @handler
 *
 * Return: MC_OK, MC_ERR_IO, MC_ERR_FULL, MC_ERR_NO_MEMORY.
 */
mc_err_t mc_http_serve(mc_shard_t *shard, int fd, mc_http_handler_t handler,
		       void *ctx);

/**
 * mc_http_stop_listening() - Stop accepting connections
 *
 * Affects all shards that serve the socket. Open exchanges are completed, and
 * each response that this shard sends from now on closes its connection.
 */
void mc_http_stop_listening(mc_shard_t *shard);

/**
 * mc_http_exchange_count() - Count the open exchanges
 *
 * Return: number of exchanges whose response is not fully sent.
 */
uint32_t mc_http_exchange_count(const mc_shard_t *shard);

/**
 * mc_http_reply() - Send the response to a request
 * @shard: the shard
 * @exchange: handle of the exchange
 * @status: HTTP status
 * @type: content type
 * @body: body; copied
 * @body_size: bytes of @body
 *
 * Return: MC_OK, MC_ERR_STALE_HANDLE, MC_ERR_NO_MEMORY.
 */
mc_err_t mc_http_reply(mc_shard_t *shard, mc_handle_t exchange, int status,
		       const char *type, const char *body, size_t body_size);

#endif
