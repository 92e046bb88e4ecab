/*
 * A small HTTP server of a test, a thread for each connection, whose handler
 * writes the very bytes of an answer, and a client that sends the very bytes of
 * a request. For what libraries would not send.
 */
#ifndef RAW_HTTP_H
#define RAW_HTTP_H

#include <pthread.h>

#include "harness.h"

enum {
	RAW_HEAD_MAX = 16 << 10,
	RAW_BODY_MAX = 1 << 20,
	RAW_RESPONSE_MAX = 1 << 20,
};

/**
 * struct raw_request_t - a request as it was read
 * @number: which request of its connection it is, from 1
 * @method: method
 * @target: path and query
 * @head: whole head, zero-terminated
 * @body: body, zero-terminated
 * @body_size: bytes of @body
 */
typedef struct raw_request_t {
	uint32_t number;
	char method[16];
	char target[512];
	char head[RAW_HEAD_MAX];
	char *body;
	size_t body_size;
} raw_request_t;

/** enum raw_next_t - what happens to the connection after an answer */
typedef enum raw_connection_action_t {
	RAW_KEEP,
	RAW_CLOSE,
	/* Closed so that the other side sees a reset. */
	RAW_RESET,
} raw_connection_action_t;

typedef struct raw_server_t raw_server_t;

/**
 * raw_handler_t - answers a request; on the connection's thread
 * @answer: receives the bytes, at most RAW_ANSWER_MAX
 * @size: receives their number; 0 for no answer
 */
typedef raw_connection_action_t (*raw_handler_fn_t)(
	void *ctx, const raw_request_t *request, char *answer, size_t *size);

/** raw_server_start() - serve 127.0.0.1 on a port of the kernel's */
raw_server_t *raw_server_start(raw_handler_fn_t handler, void *ctx);

/** raw_server_port() - its port */
uint16_t raw_server_port(const raw_server_t *server);

/** raw_server_stop() - close everything, wait for the threads, free */
void raw_server_stop(raw_server_t *server);

/** raw_server_cut() - close all connections; new ones are taken */
void raw_server_drop_connections(raw_server_t *server);

/** raw_server_refuse() - listen no more, or anew at the same port */
void raw_server_set_refusing(raw_server_t *server, bool refuse);

/**
 * raw_server_freeze() - be silent, as behind a network that drops all
 *
 * Open connections get no answers and new ones hang until it ends.
 */
void raw_server_set_frozen(raw_server_t *server, bool freeze);

/** raw_server_connections() - connections that were taken so far */
uint32_t raw_server_connection_count(raw_server_t *server);

/** raw_header() - copies the value of a header line; false if there is none */
bool raw_header(const char *head, const char *name, char *value, size_t size);

/** raw_connect() - a socket connected to 127.0.0.1:@port */
int raw_connect(uint16_t port);

/** raw_send() - send text; false when the connection is broken */
bool raw_send(int fd, const char *text);

/**
 * raw_read() - read one whole answer
 * @head: receives its head, zero-terminated, RAW_HEAD_MAX bytes
 * @body: receives its body, zero-terminated
 * @size: bytes of @body's room
 *
 * Return: its status, or 0 when none came.
 */
int raw_read(int fd, char *head, char *body, size_t size);

#endif
