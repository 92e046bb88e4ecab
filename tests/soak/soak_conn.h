/*
 * A caller's connection: sends requests in one write, and reads responses that
 * may follow each other without a pause.
 */
#ifndef SOAK_CONN_H
#define SOAK_CONN_H

#include "site.h"

enum {
	/* Longest time without a byte until an open connection counts as left
	 * without an answer. */
	SOAK_READ_TIMEOUT_MS = 15000,
	SOAK_BODY_MAX = 8192,
};

/**
 * struct soak_conn_t - connection of a caller
 * @fd: the socket
 * @byte_pause: pause after each byte that is read, µs; 0 reads without pauses
 * @timed_out: nothing came for SOAK_READ_TIMEOUT_MS
 * @was_reset: the connection ended with a TCP reset
 * @used: number of bytes in @buffer that belong to no response yet
 * @buffer: bytes that were read
 */
typedef struct soak_conn_t {
	int fd;
	uint32_t byte_pause;
	bool timed_out;
	bool was_reset;
	size_t used;
	char buffer[RAW_HEAD_MAX + SOAK_BODY_MAX];
} soak_conn_t;

/**
 * struct soak_response_t - complete response
 * @status: HTTP status
 * @body_size: size of @body, bytes
 * @head: status line and headers, zero-terminated
 * @body: body, zero-terminated
 */
typedef struct soak_response_t {
	int status;
	size_t body_size;
	char head[RAW_HEAD_MAX];
	char body[SOAK_BODY_MAX + 1];
} soak_response_t;

/**
 * soak_conn_open() - Connect to 127.0.0.1:@port
 * @conn: receives the connection
 * @port: the port
 * @receive_buffer: size of the socket's receive buffer, bytes; 0 for the
 *	system's
 *
 * Return: whether the connection was established.
 */
bool soak_conn_open(soak_conn_t *conn, uint16_t port, int receive_buffer);

/** soak_conn_close() - Close the connection, with a TCP reset if @reset */
void soak_conn_close(soak_conn_t *conn, bool reset);

/**
 * soak_conn_send() - Send all of @text in one write
 * @conn: the connection
 * @text: the requests
 * @ended: receives whether the peer had ended the connection when the last byte
 *	was sent
 *
 * Return: whether all bytes were sent.
 */
bool soak_conn_send(soak_conn_t *conn, const char *text, bool *ended);

/**
 * soak_conn_read() - Read the next response
 * @conn: the connection
 * @response: receives the response
 * @is_head: the request was HEAD, so that no body follows
 *
 * Return: false if the connection ended, or timed out, before a complete one.
 */
bool soak_conn_read(soak_conn_t *conn, soak_response_t *response, bool is_head);

#endif
