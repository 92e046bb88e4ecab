/*
 * HTTP on a shard's loop: a client by libcurl's multi socket interface and a
 * server by libmicrohttpd. All functions are for the shard's thread unless
 * said otherwise.
 */
#ifndef MC_NET_HTTP_H
#define MC_NET_HTTP_H

#include "mc/net/shard.h"

enum {
	/* Most bytes of a body, in and out. */
	MC_HTTP_BODY_MAX = 4 << 20,
	MC_HTTP_HEADERS_MAX = 8,
	/* Most exchanges of one shard, and of client requests. */
	MC_HTTP_EXCHANGES_MAX = 16384,
};

/**
 * struct mc_http_request_t - a client's request; everything is copied
 * @method: "GET", "POST" or "PUT"
 * @url: whole URL
 * @header_count: number of headers
 * @headers: lines such as "If-Match: 3"
 * @body: body; NULL for none
 * @body_size: bytes of @body
 * @timeout: for the whole exchange, ms
 * @once: never sent twice: a new connection is opened for it and not kept, as
 *	the client library may otherwise repeat it when a kept one breaks
 */
typedef struct mc_http_request_t {
	const char *method;
	const char *url;
	uint32_t header_count;
	const char *headers[MC_HTTP_HEADERS_MAX];
	const char *body;
	size_t body_size;
	mc_ms_t timeout;
	bool send_once;
} mc_http_request_t;

/**
 * struct mc_http_response_t - how a client's request ended
 * @err: MC_OK when a whole answer arrived, whatever its status; else
 *	MC_ERR_TIMED_OUT, MC_ERR_IO, MC_ERR_TOO_LARGE
 * @sent: a byte of the request may have left
 * @status: HTTP status; 0 with an error
 * @etag: value of the ETag header without quotes; "" if absent
 * @body: zero-terminated body, valid during the call
 * @body_size: bytes of @body
 */
typedef struct mc_http_response_t {
	mc_err_t err;
	bool maybe_sent;
	int status;
	const char *etag;
	const char *body;
	size_t body_size;
} mc_http_response_t;

/** mc_http_done_fn_t - a client's handler, called once per request */
typedef void (*mc_http_done_fn_t)(void *ctx,
				  const mc_http_response_t *response);

/**
 * mc_http_send() - send a request
 * @shard: the shard
 * @request: the request
 * @done: handler; never called from within this function
 * @ctx: passed to @done
 * @handle: receives a handle for mc_http_cancel(); may be NULL
 *
 * Return: MC_OK; MC_ERR_FULL, MC_ERR_NO_MEMORY, after which @done is not
 * called and nothing was sent.
 */
mc_err_t mc_http_send(mc_shard_t *shard, const mc_http_request_t *request,
		      mc_http_done_fn_t done, void *ctx, mc_handle_t *handle);

/** mc_http_cancel() - end a request without a call of its handler */
void mc_http_cancel(mc_shard_t *shard, mc_handle_t handle);

/**
 * struct mc_http_exchange_t - a request to the server
 * @exchange: handle to reply with; stale when the caller has gone
 * @method: its method
 * @path: its path, without the query part
 * @body: zero-terminated body
 * @body_size: bytes of @body
 * @too_large: the body was larger than MC_HTTP_BODY_MAX and was dropped
 * @connection: for mc_http_header() and mc_http_argument() during the call
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

/** mc_http_handler_t - called for each whole request */
typedef void (*mc_http_handler_t)(void *ctx,
				  const mc_http_exchange_t *exchange);

/** mc_http_header() - value of a request header, or NULL */
const char *mc_http_header(const mc_http_exchange_t *exchange,
			   const char *name);

/** mc_http_argument() - value in the URL's query part, or NULL */
const char *mc_http_query_param(const mc_http_exchange_t *exchange,
				const char *name);

/**
 * mc_http_bind() - a listening socket that several shards can serve
 * @address: "IP:port"; port 0 lets the kernel choose
 * @port: receives the port
 * @fd: receives the socket, owned by the caller
 *
 * Any thread. Return: MC_OK, MC_ERR_IO, MC_ERR_BAD_SETTINGS.
 */
mc_err_t mc_http_bind(const char *address, uint16_t *port, int *fd);

/**
 * mc_http_serve() - serve a listening socket on this shard
 * @shard: the shard; one server at most
 * @fd: from mc_http_bind(); stays the caller's
 * @handler: called for each request
 * @ctx: passed to @handler
 */
mc_err_t mc_http_serve(mc_shard_t *shard, int fd, mc_http_handler_t handler,
		       void *ctx);

/** mc_http_serve_stop() - listen no more, on any shard; exchanges go on */
void mc_http_stop_listening(mc_shard_t *shard);

/** mc_http_exchanges() - requests whose answers were not wholly sent yet */
uint32_t mc_http_exchange_count(const mc_shard_t *shard);

/**
 * mc_http_reply() - answer a request
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
