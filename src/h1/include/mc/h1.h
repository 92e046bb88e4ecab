/*
 * Public header of the h1 library: HTTP/1.1 connections on a shard's loop,
 * with control of what a library for whole exchanges decides by itself: when a
 * byte of a request has left, that it is never sent twice, that the other side
 * has gone, and what to do with bytes that belong to no message. Messages are
 * whole: a handler sees a request or an answer with its body, or none of it.
 *
 * All functions are for the shard's thread.
 */
#ifndef MC_H1_H
#define MC_H1_H

#include "mc/net.h"

enum {
	/* Most header lines of one message. */
	MC_H1_HEADERS_MAX = 96,
	/* Most bytes of an answer's head and of its body. */
	MC_H1_RESPONSE_HEAD_MAX = 64 << 10,
	MC_H1_RESPONSE_BODY_MAX = 16 << 20,
	/* Most connections of one shard, of each side. */
	MC_H1_CONNECTIONS_MAX = 16384,
};

/** struct mc_h1_header_t - a header line; both strings end with zero */
typedef struct mc_h1_header_t {
	const char *name;
	const char *value;
} mc_h1_header_t;

/**
 * struct mc_h1_message_t - a whole message
 * @method: of a request, else NULL
 * @target: path and query of a request as they were sent, else NULL
 * @status: of an answer, else 0
 * @header_count: number of @headers
 * @headers: in the order of the message
 * @body: body without its transfer coding; not zero-terminated
 * @body_size: bytes of @body
 * @keep: the connection can be used again after this message
 * @extra: further bytes arrived behind an answer
 * @round_trip: of a request's connection as the kernel measured it, ms, rounded
 *	up; 0 if unknown
 * @first: of the requests on its connection
 */
typedef struct mc_h1_message_t {
	const char *method;
	const char *uri;
	int status;
	uint32_t header_count;
	const mc_h1_header_t *headers;
	const char *body;
	size_t body_size;
	bool keep_alive;
	bool trailing_data;
	mc_ms_t round_trip;
	bool first_on_connection;
} mc_h1_message_t;

/** mc_h1_find() - value of the first header line @name, or NULL */
const char *mc_h1_get_header(const mc_h1_message_t *message, const char *name);

/**
 * struct mc_h1_limits_t - what a peer that sends requests may do
 * @head_bytes: most bytes of a request's head
 * @body_bytes: most bytes of its body
 * @request_time: from its first byte to its last one, ms
 * @idle_time: between two requests, ms
 */
typedef struct mc_h1_limits_t {
	size_t head_bytes_max;
	size_t body_bytes_max;
	mc_ms_t request_timeout;
	mc_ms_t idle_timeout;
} mc_h1_limits_t;

typedef struct mc_h1_t mc_h1_t;

/** mc_h1_create() - connections of a shard; owned by the caller, or NULL */
mc_h1_t *mc_h1_create(mc_shard_t *shard);

/** mc_h1_destroy() - close all without a call of a handler; NULL is allowed */
void mc_h1_destroy(mc_h1_t *h1);

/**
 * struct mc_h1_server_t - handlers of connections that callers open
 * @request: a whole request arrived. @message is valid until the answer; the
 *	next request of the connection waits for that. @first_byte: when its
 *	first byte was read, ms
 * @gone: the caller has gone before its answer; @connection and the message
 *	are stale after the call
 */
typedef struct mc_h1_server_handlers_t {
	void (*request)(void *ctx, mc_handle_t connection,
			const mc_h1_message_t *message, mc_ms_t first_byte);
	void (*disconnected)(void *ctx, mc_handle_t connection);
} mc_h1_server_handlers_t;

/**
 * mc_h1_serve() - accept connections of a listening socket
 * @h1: the shard's connections
 * @fd: from mc_http_bind(); stays the caller's and outlives @h1
 * @server: handlers; must outlive @h1
 * @ctx: passed to them
 */
mc_err_t mc_h1_serve(mc_h1_t *h1, int fd, const mc_h1_server_handlers_t *server,
		     void *ctx);

/** mc_h1_limit() - limits of what arrives from now on */
void mc_h1_set_limits(mc_h1_t *h1, const mc_h1_limits_t *limits);

/** mc_h1_leave() - ask callers to close: each answer says so from now on */
void mc_h1_start_draining(mc_h1_t *h1);

/** mc_h1_close_idle() - accept no more, close where no request is under way */
void mc_h1_close_idle(mc_h1_t *h1);

/** mc_h1_busy() - callers' connections that are open */
uint32_t mc_h1_server_connection_count(const mc_h1_t *h1);

/**
 * struct mc_h1_answer_t - an answer
 * @status: HTTP status
 * @lines: header lines, each with its CR and LF; NULL for none
 * @body: body; NULL for none
 * @body_size: bytes of @body
 * @close: close the connection after it
 */
typedef struct mc_h1_response_t {
	int status;
	const char *header_lines;
	const char *body;
	size_t body_size;
	bool close;
} mc_h1_response_t;

/** mc_h1_answer() - MC_OK or MC_ERR_STALE_HANDLE; everything is copied */
mc_err_t mc_h1_respond(mc_h1_t *h1, mc_handle_t connection,
		       const mc_h1_response_t *answer);

/**
 * struct mc_h1_client_t - handlers of connections to a server
 * @open: it is connected
 * @answer: a whole answer arrived; valid during the call. Without
 *	mc_h1_await() in it the connection is idle after the call
 * @closed: it is closed, and its handle stale after the call. @sent: a byte of
 *	the request under way may have left; false without one. Not called
 *	after mc_h1_close()
 */
typedef struct mc_h1_client_handlers_t {
	void (*connected)(void *ctx, mc_handle_t connection);
	void (*response)(void *ctx, mc_handle_t connection,
			 const mc_h1_message_t *message);
	void (*closed)(void *ctx, mc_handle_t connection, bool sent);
} mc_h1_client_handlers_t;

/**
 * mc_h1_open() - begin to connect
 * @h1: the shard's connections
 * @address: "IP:port"
 * @client: handlers; must outlive the connection
 * @ctx: passed to them
 * @connection: receives the handle; a request may be sent at once and waits
 *
 * Return: MC_OK, MC_ERR_IO, MC_ERR_FULL, MC_ERR_NO_MEMORY, MC_ERR_BAD_SETTINGS.
 */
mc_err_t mc_h1_connect(mc_h1_t *h1, const char *address,
		       const mc_h1_client_handlers_t *client, void *ctx,
		       mc_handle_t *connection);

/**
 * mc_h1_send() - send a request on an idle connection, once
 * @h1: the shard's connections
 * @connection: the connection
 * @head: request line and header lines with the empty line; copied
 * @head_size: bytes of @head
 * @body: body; copied
 * @body_size: bytes of @body
 * @no_body: the answer has no body whatever it says (HEAD)
 *
 * Return: MC_OK, MC_ERR_STALE_HANDLE, MC_ERR_CONFLICT when it is not idle.
 */
mc_err_t mc_h1_send_request(mc_h1_t *h1, mc_handle_t connection,
			    const char *head, size_t head_size,
			    const char *body, size_t body_size, bool no_body);

/** mc_h1_await() - in @answer: that was another's, wait for the next one */
void mc_h1_await_next_response(mc_h1_t *h1, mc_handle_t connection);

/** mc_h1_close() - close without a call of @closed; stale is ignored */
void mc_h1_close(mc_h1_t *h1, mc_handle_t connection);

#endif
