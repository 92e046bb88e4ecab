/*
 * Public header of the h1 library: HTTP/1.1 connections on a shard's loop, of
 * the server side and of the client side. A library for complete HTTP exchanges
 * would decide some things by itself that its user must control. So this one
 * tells whether any byte of a request may have been sent, never sends a request
 * twice, and reports that the peer has disconnected and that bytes have arrived
 * which belong to no message. Messages are not streamed: a handler gets a
 * request or a response with its complete body, or not at all.
 *
 * All functions are for the shard's thread.
 */
#ifndef MC_H1_H
#define MC_H1_H

#include "mc/net.h"

enum {
	/* Most header lines of one message. */
	MC_H1_HEADERS_MAX = 96,
	/* Most bytes of a response's head and of its body. */
	MC_H1_RESPONSE_HEAD_MAX = 64 << 10,
	MC_H1_RESPONSE_BODY_MAX = 16 << 20,
	/* Most connections of one shard, for each side. */
	MC_H1_CONNECTIONS_MAX = 16384,
};

/** MC_H1_SIZE_UNKNOWN - Size of a body that was not announced */
#define MC_H1_SIZE_UNKNOWN SIZE_MAX

/** struct mc_h1_header_t - A header line; both strings end with zero */
typedef struct mc_h1_header_t {
	const char *name;
	const char *value;
} mc_h1_header_t;

/**
 * struct mc_h1_message_t - A complete request or response
 * @method: method of a request; NULL for a response
 * @uri: path and query of a request as received; NULL for a response
 * @status: status of a response; 0 for a request
 * @header_count: number of @headers
 * @headers: header lines in the order of the message
 * @body: decoded body; not zero-terminated
 * @body_size: bytes of @body
 * @omitted_size: for the response to a HEAD request, which has no body: bytes
 *	of the body that it leaves out, or MC_H1_SIZE_UNKNOWN
 * @keep_alive: the connection can be used again after this message
 * @trailing_data: further bytes have arrived after a response
 * @round_trip: round-trip time of a request's connection as measured by the
 *	kernel, ms, rounded up; 0 if unknown
 * @first_on_connection: it is the first request of its connection
 */
typedef struct mc_h1_message_t {
	const char *method;
	const char *uri;
	int status;
	uint32_t header_count;
	const mc_h1_header_t *headers;
	const char *body;
	size_t body_size;
	size_t omitted_size;
	bool keep_alive;
	bool trailing_data;
	mc_ms_t round_trip;
	bool first_on_connection;
} mc_h1_message_t;

/**
 * mc_h1_get_header() - Get the value of a header line
 * @message: the message
 * @name: name of the header, in any case
 *
 * Return: the value of the first such line, or NULL.
 */
const char *mc_h1_get_header(const mc_h1_message_t *message, const char *name);

/**
 * struct mc_h1_limits_t - Limits for peers that send requests
 * @head_bytes_max: most bytes of a request's head
 * @body_bytes_max: most bytes of a request's body
 * @request_timeout: longest time from a request's first byte to its last, ms
 * @idle_timeout: longest time between two requests of a connection, and without
 *	progress of a response, ms; at least 10
 */
typedef struct mc_h1_limits_t {
	size_t head_bytes_max;
	size_t body_bytes_max;
	mc_ms_t request_timeout;
	mc_ms_t idle_timeout;
} mc_h1_limits_t;

typedef struct mc_h1_t mc_h1_t;

/**
 * mc_h1_create() - Create the tables of a shard's connections
 *
 * Return: the connections, owned by the caller; NULL without memory.
 */
mc_h1_t *mc_h1_create(mc_shard_t *shard);

/**
 * mc_h1_set_response_memory() - Limit the memory of incoming responses
 * @h1: the connections
 * @bytes: memory that the bodies of all responses that are being received may
 *	take together, without the first 64 KiB of each; to be set before the
 *	first connection is opened
 *
 * A response that needs more is taken as a loss of its connection.
 */
void mc_h1_set_response_memory(mc_h1_t *h1, size_t bytes);

/**
 * mc_h1_set_held_memory() - Limit the memory held for slow peers
 * @h1: the connections
 * @bytes: memory that requests which are being received, and unsent bytes of
 *	all connections may take together
 *
 * A request whose body is still coming when that much is held is refused with
 * status 503; what is complete or being sent goes on.
 */
void mc_h1_set_held_memory(mc_h1_t *h1, size_t bytes);

/** mc_h1_is_short_of_memory() - Whether as much is held as may be, so that no
 * further work should be begun */
bool mc_h1_is_short_of_memory(const mc_h1_t *h1);

/** mc_h1_held_memory() - Get the bytes held for slow peers */
size_t mc_h1_held_memory(const mc_h1_t *h1);

/**
 * mc_h1_destroy() - Close all connections and free @h1
 *
 * No handler is called. NULL is allowed.
 */
void mc_h1_destroy(mc_h1_t *h1);

/**
 * struct mc_h1_server_handlers_t - Handlers of connections that peers open
 * @request: a request has arrived. @message is valid until mc_h1_respond(),
 *	after which the next request of the connection is delivered.
 *	@first_byte: when the first byte of the request was read, ms
 * @disconnected: the peer has disconnected before the response to its request;
 *	@connection and the message are invalid after the call. Not called for
 *	a peer that only shuts down its sending side, as it can read the
 *	response
 */
typedef struct mc_h1_server_handlers_t {
	void (*request)(void *ctx, mc_handle_t connection,
			const mc_h1_message_t *message, mc_ms_t first_byte);
	void (*disconnected)(void *ctx, mc_handle_t connection);
} mc_h1_server_handlers_t;

/**
 * mc_h1_serve() - Accept the connections of a listening socket
 * @h1: the shard's connections
 * @fd: socket from mc_http_bind(); owned by the caller, must outlive @h1
 * @server: handlers; must outlive @h1
 * @ctx: passed to the handlers
 *
 * Return: MC_OK, MC_ERR_IO, MC_ERR_FULL, MC_ERR_NO_MEMORY.
 */
mc_err_t mc_h1_serve(mc_h1_t *h1, int fd, const mc_h1_server_handlers_t *server,
		     void *ctx);

/**
 * mc_h1_set_limits() - Set the limits for requests
 *
 * A connection that is already waiting for a request keeps the former sizes and
 * the former idle time-out for it; one that is receiving a request also keeps
 * the former request time-out.
 */
void mc_h1_set_limits(mc_h1_t *h1, const mc_h1_limits_t *limits);

/**
 * mc_h1_start_draining() - Close each connection after its next response
 *
 * The response says so in a header line "Connection: close". A connection on
 * which further requests have arrived by then is closed after the response to
 * the last of them.
 */
void mc_h1_start_draining(mc_h1_t *h1);

/**
 * mc_h1_close_idle() - Stop accepting and close the idle server connections
 *
 * Connections that wait to be accepted are accepted, and the listening socket
 * refuses further ones, also for others who share it. Connections with a
 * request in flight, or one that has arrived, are closed after its response;
 * those that have had no request yet, after the first one or after a second.
 */
void mc_h1_close_idle(mc_h1_t *h1);

/** mc_h1_server_connection_count() - Count the open server connections */
uint32_t mc_h1_server_connection_count(const mc_h1_t *h1);

/**
 * struct mc_h1_response_t - A response to send
 * @status: HTTP status
 * @header_lines: header lines, each with its CR and LF; NULL for none
 * @body: body; NULL for none. It is not sent where HTTP allows none: to a HEAD
 *	request, and with statuses 204 and 304
 * @body_size: bytes of @body; for a HEAD request MC_H1_SIZE_UNKNOWN is allowed
 * @close: close the connection after the response, and after those to the
 *	requests that have arrived behind the one responded to
 */
typedef struct mc_h1_response_t {
	int status;
	const char *header_lines;
	const char *body;
	size_t body_size;
	bool close;
} mc_h1_response_t;

/**
 * mc_h1_respond() - Send the response to a delivered request
 * @h1: the shard's connections
 * @connection: the connection of the request
 * @response: the response; copied
 *
 * Return: MC_OK; MC_ERR_STALE_HANDLE when the peer has disconnected or the
 * request already has a response.
 */
mc_err_t mc_h1_respond(mc_h1_t *h1, mc_handle_t connection,
		       const mc_h1_response_t *response);

/**
 * struct mc_h1_client_handlers_t - Handlers of connections to a server
 * @connected: the connection is established
 * @response: a response has arrived; @message is valid during the call. After
 *	the call the connection is idle, or closed where @message says that it
 *	can't be used again, unless the handler calls
 *	mc_h1_await_next_response()
 * @closed: the connection is closed, and its handle is stale after the call.
 *	@maybe_sent: a byte of the request in flight may have been sent; false
 *	without a request. Not called after mc_h1_close()
 */
typedef struct mc_h1_client_handlers_t {
	void (*connected)(void *ctx, mc_handle_t connection);
	void (*response)(void *ctx, mc_handle_t connection,
			 const mc_h1_message_t *message);
	void (*closed)(void *ctx, mc_handle_t connection, bool maybe_sent);
} mc_h1_client_handlers_t;

/**
 * mc_h1_connect() - Start connecting to a server
 * @h1: the shard's connections
 * @address: "IP:port"
 * @client: handlers; must outlive the connection
 * @ctx: passed to the handlers
 * @connection: receives the handle; a request may be passed to
 *	mc_h1_send_request() at once and is sent when connected
 *
 * Return: MC_OK, MC_ERR_IO, MC_ERR_FULL, MC_ERR_NO_MEMORY, MC_ERR_BAD_SETTINGS.
 */
mc_err_t mc_h1_connect(mc_h1_t *h1, const char *address,
		       const mc_h1_client_handlers_t *client, void *ctx,
		       mc_handle_t *connection);

/**
 * mc_h1_send_request() - Send a request on an idle connection
 * @h1: the shard's connections
 * @connection: the connection
 * @head: request line, header lines and the empty line; copied
 * @head_size: bytes of @head
 * @body: body; copied
 * @body_size: bytes of @body
 * @no_body: the response has no body whatever its headers say (HEAD)
 *
 * The request is sent at most once.
 *
 * Return: MC_OK; MC_ERR_STALE_HANDLE; MC_ERR_CONFLICT when a request is in
 * flight; MC_ERR_NO_MEMORY.
 */
mc_err_t mc_h1_send_request(mc_h1_t *h1, mc_handle_t connection,
			    const char *head, size_t head_size,
			    const char *body, size_t body_size, bool no_body);

/**
 * mc_h1_await_next_response() - Wait for one more response
 *
 * Called in the handler @response when the response belongs to another request.
 */
void mc_h1_await_next_response(mc_h1_t *h1, mc_handle_t connection);

/** mc_h1_was_refused() - Tell in @closed whether nothing accepts connections at
 * the server's address, unlike one that accepted this one and then reset it */
bool mc_h1_was_refused(const mc_h1_t *h1, mc_handle_t connection);

/** mc_h1_close() - Close without calling @closed; a stale handle is ignored */
void mc_h1_close(mc_h1_t *h1, mc_handle_t connection);

#endif
