/*
 * HTTP server and client that send bytes exactly as given, for malformed or
 * unusual messages that an HTTP library would not send. The server uses one
 * thread per connection; its handler writes the raw bytes of each response.
 */
#ifndef RAW_HTTP_H
#define RAW_HTTP_H

#include <pthread.h>

#include "harness.h"

enum {
	RAW_HEAD_MAX = 16 << 10,
	RAW_BODY_MAX = 1 << 20,
	/* Bytes that RAW_ENDLESS repeats. */
	RAW_FILLER_SIZE = 4096,
	RAW_RESPONSE_MAX = 1 << 20,
};

/**
 * struct raw_request_t - received request
 * @number: number of the request on its connection, from 1
 * @method: HTTP method
 * @target: request target of HTTP: path and query
 * @head: request line and headers with the empty line, zero-terminated
 * @body: body, zero-terminated
 * @body_size: size of @body, bytes
 */
typedef struct raw_request_t {
	uint32_t number;
	char method[16];
	char target[512];
	char head[RAW_HEAD_MAX];
	char *body;
	size_t body_size;
} raw_request_t;

/** enum raw_connection_action_t - what to do after sending a response */
typedef enum raw_connection_action_t {
	RAW_KEEP,
	RAW_CLOSE,
	/* Close with a TCP reset. */
	RAW_RESET,
	/* Send the response, then its last RAW_FILLER_SIZE bytes again and
	 * again until the peer closes the connection. */
	RAW_ENDLESS,
} raw_connection_action_t;

typedef struct raw_server_t raw_server_t;

/**
 * raw_handler_fn_t - Handle a request on the thread of its connection
 * @ctx: context of raw_server_start()
 * @request: the request, valid during the call
 * @response: receives the raw response, at most RAW_RESPONSE_MAX bytes
 * @size: receives the size of the response, bytes; 0 at the call, which means
 *	no response
 *
 * Return: what to do with the connection.
 */
typedef raw_connection_action_t (*raw_handler_fn_t)(
	void *ctx, const raw_request_t *request, char *response, size_t *size);

/**
 * raw_server_start() - Serve on 127.0.0.1 on a port that the kernel chooses
 * @handler: called for each request, on several threads at a time
 * @ctx: passed to @handler
 *
 * Return: the server, to be freed with raw_server_stop().
 */
raw_server_t *raw_server_start(raw_handler_fn_t handler, void *ctx);

/** raw_server_port() - Return the port of @server */
uint16_t raw_server_port(const raw_server_t *server);

/**
 * raw_server_stop() - Close all sockets, join all threads and free @server
 * @server: the server; may be NULL
 */
void raw_server_stop(raw_server_t *server);

/** raw_server_drop_connections() - Close open connections; accept new ones */
void raw_server_drop_connections(raw_server_t *server);

/**
 * raw_server_set_refusing() - Stop listening, or listen again
 * @server: the server
 * @refuse: true closes the listening socket, so that connections are refused;
 *	false opens it again on the same port
 */
void raw_server_set_refusing(raw_server_t *server, bool refuse);

/**
 * raw_server_set_frozen() - Simulate a network that drops all packets
 * @server: the server
 * @freeze: true leaves requests unanswered and new connections hanging in their
 *	handshake until false ends it
 */
void raw_server_set_frozen(raw_server_t *server, bool freeze);

/** raw_server_connection_count() - Return the number of accepted connections */
uint32_t raw_server_connection_count(raw_server_t *server);

/**
 * raw_get_header() - Copy the value of a header
 * @head: start line and headers with the empty line, zero-terminated
 * @name: name of the header; case is ignored
 * @value: receives the value, zero-terminated and truncated if too long
 * @size: size of @value, bytes
 *
 * Return: whether the header exists; @value is left unchanged if it does not.
 */
bool raw_get_header(const char *head, const char *name, char *value,
		    size_t size);

/**
 * raw_connect() - Connect to 127.0.0.1:@port
 * @port: the port
 *
 * Reads from the socket time out after HARNESS_CALL_MS.
 *
 * Return: the socket, to be closed by the caller; -1 if the connection failed.
 */
int raw_connect(uint16_t port);

/**
 * raw_connect_address() - Connect as raw_connect() does, to any address
 * @address: "IP:PORT", with an IPv4 address
 *
 * Return: as raw_connect().
 */
int raw_connect_address(const char *address);

/** raw_send() - Send all of @text; return false if the connection failed */
bool raw_send(int fd, const char *text);

/**
 * raw_read_response() - Read one complete response
 * @fd: the socket
 * @head: receives the status line and headers, zero-terminated; RAW_HEAD_MAX
 *	bytes
 * @body: receives the body, zero-terminated
 * @size: size of @body, bytes
 *
 * Return: the HTTP status; 0 if no complete response that fits was received.
 */
int raw_read_response(int fd, char *head, char *body, size_t size);

#endif
