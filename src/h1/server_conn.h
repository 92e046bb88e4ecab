/*
 * Server connections, shared by the files that accept them (listen.c), run them
 * (server.c) and write their responses (response.c).
 */
#ifndef H1_SERVER_CONN_H
#define H1_SERVER_CONN_H

#include "h1_private.h"

typedef enum {
	/* Waiting for a request, or receiving one. */
	CONN_READING,
	/* The request was delivered and has no response yet. */
	CONN_HANDLING,
	/* The response is being sent. */
	CONN_RESPONDING,
	/* Shut down for sending; waiting for the peer's close. */
	CONN_LINGERING,
} server_conn_state_t;

/* A connection that a peer has opened. */
typedef struct {
	mc_h1_t *h1;
	mc_handle_t handle;
	h1_stream_t stream;
	h1_parser_t parser;
	/* Bytes received after the request in flight. */
	h1_buffer_t read_ahead;
	/* Bytes of buffers that count as held; see h1_hold(). */
	size_t held;
	/* Bytes that parse_data() has not parsed yet; they are in neither
	 * buffer. */
	size_t unparsed;
	server_conn_state_t state;
	bool keep_alive;
	/* parse_data() is running; it also parses the requests that follow
	 * the one it delivers, so that mc_h1_respond() does not. */
	bool parsing;
	/* The request's "Expect" header was checked. */
	bool expect_checked;
	/* The time-out of the current wait was put off once. */
	bool timeout_put_off;
	bool has_delivered_request;
	/* The response to the request has no body (HEAD). */
	bool no_body;
	/* The peer has shut down its sending side, or closed the connection. */
	bool end_of_stream;
	/* response_begin() was called for the next response. */
	bool version_sent;
	/* Round-trip time, measured with the first request, ms. */
	mc_ms_t round_trip;
	/* When the first byte of the request was read, ms. */
	mc_ms_t first_byte;
	/* Bytes sent when the time-out of a response was last checked. */
	uint64_t sent_at_check;
	/* When the current state times out, ms. */
	mc_ms_t expires_at;
	mc_handle_t timer;
} server_conn_t;

/** server_conn_add() - Serve a connection that was accepted; owns @fd */
void server_conn_add(mc_h1_t *h1, int fd);

/**
 * server_conn_close_if_idle() - Close a connection on which no request has
 * arrived
 *
 * One that has not had its first request yet is given some time for it.
 */
void server_conn_close_if_idle(server_conn_t *conn);

/** server_conn_free() - Close a connection and free it */
void server_conn_free(server_conn_t *conn);

/**
 * response_begin() - Append what each response begins with to the unsent
 * bytes, before the rest of the response is known
 *
 * Return: MC_OK, MC_ERR_NO_MEMORY.
 */
mc_err_t response_begin(server_conn_t *conn);

/**
 * response_write() - Append a response, or the rest of it, to the unsent
 * bytes
 *
 * Return: MC_OK, MC_ERR_NO_MEMORY.
 */
mc_err_t response_write(server_conn_t *conn, const mc_h1_response_t *response);

#endif
