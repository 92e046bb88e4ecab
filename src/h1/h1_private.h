/*
 * What server and client connections share: a byte buffer, a parser that
 * collects one message, and a stream (a socket with its unsent bytes).
 */
#ifndef MC_H1_PRIVATE_H
#define MC_H1_PRIVATE_H

#include <string.h>

#include <http_parser.h>

#include "framing.h"
#include "mc/h1.h"

enum {
	/* Most bytes of one read, and size of the shard's read buffer. */
	H1_READ_SIZE = 64 << 10,
	/* Returned by h1_stream_read(). */
	H1_READ_AGAIN = -1,
	H1_READ_ERROR = -2,
};

/* A growable byte buffer; a zeroed one is empty. */
typedef struct {
	char *data;
	size_t size;
	size_t capacity;
} h1_buffer_t;

/** h1_buffer_growth() - Get by how much the memory grows when @size bytes are
 * appended */
size_t h1_buffer_growth(const h1_buffer_t *buffer, size_t size);

/** h1_buffer_reserve() - Get memory for @size more bytes: MC_OK or
 * MC_ERR_NO_MEMORY */
mc_err_t h1_buffer_reserve(h1_buffer_t *buffer, size_t size);

/** h1_buffer_append() - Append bytes: MC_OK or MC_ERR_NO_MEMORY */
static inline mc_err_t h1_buffer_append(h1_buffer_t *buffer, const char *data,
					size_t size)
{
	if (!size)
		return MC_OK;
	if (size > buffer->capacity - buffer->size &&
	    h1_buffer_reserve(buffer, size))
		return MC_ERR_NO_MEMORY;
	memcpy(buffer->data + buffer->size, data, size);
	buffer->size += size;
	return MC_OK;
}

/** h1_buffer_clear() - Drop the content, and free the memory if it is large */
void h1_buffer_clear(h1_buffer_t *buffer);

void h1_buffer_free(h1_buffer_t *buffer);

/* Memory that connections of a shard may take together for some purpose. */
typedef struct {
	size_t used;
	size_t max;
} h1_budget_t;

/* Offsets of a header line's name and value in the text of a parser. */
typedef struct {
	uint32_t name;
	uint32_t value;
} h1_header_offsets_t;

/*
 * Parser of one message. @text holds the URI and the names and values of the
 * header lines, each zero-terminated; @offsets refer to it, and @headers are
 * made from them when the message is complete, as @text may move until then.
 */
typedef struct {
	http_parser http;
	h1_framing_t framing;
	size_t head_max;
	size_t body_max;
	size_t head_size;
	h1_buffer_t text;
	h1_buffer_t body;
	/* Budget for the body, or NULL, and how much of it is taken. */
	h1_budget_t *budget;
	size_t taken;
	uint32_t header_count;
	h1_header_offsets_t offsets[MC_H1_HEADERS_MAX];
	mc_h1_header_t headers[MC_H1_HEADERS_MAX];
	bool in_value;
	bool started;
	bool head_complete;
	bool no_body;
	bool complete;
	/* HTTP status that tells the sender what is wrong with the message; 0
	 * while nothing is. */
	int error_status;
} h1_parser_t;

/** h1_parser_reset() - Prepare for a new message; small buffers are kept */
void h1_parser_reset(h1_parser_t *parser, bool request, size_t head_max,
		     size_t body_max);

/**
 * h1_parser_feed() - Parse bytes, at most to the end of the message
 *
 * Return: number of bytes consumed. @complete or @error_status is set when the
 * message has ended.
 */
size_t h1_parser_feed(h1_parser_t *parser, const char *data, size_t size);

/** h1_parser_finish() - Handle the end of the stream; may complete a message */
void h1_parser_finish(h1_parser_t *parser);

/** h1_parser_message() - Get the message; valid until the parser is reset */
mc_h1_message_t h1_parser_message(h1_parser_t *parser);

void h1_parser_free(h1_parser_t *parser);

/* A socket and its unsent bytes. */
typedef struct {
	mc_shard_t *shard;
	int fd;
	mc_handle_t watch;
	int events;
	h1_buffer_t out;
	/* Bytes of @out that were sent, and bytes sent in total. */
	size_t sent_size;
	uint64_t sent_total;
} h1_stream_t;

/** h1_stream_init() - Take ownership of @fd and watch it for @events */
mc_err_t h1_stream_init(h1_stream_t *stream, mc_shard_t *shard, int fd,
			int events, mc_watch_fn_t ready, void *arg);

/** h1_stream_set_events() - Watch the socket for @events */
void h1_stream_set_events(h1_stream_t *stream, int events);

/** h1_stream_flush() - Send unsent bytes; false if the connection is broken */
bool h1_stream_flush(h1_stream_t *stream);

/** h1_stream_pending() - Get the number of unsent bytes */
size_t h1_stream_pending(const h1_stream_t *stream);

/**
 * h1_stream_read() - Read once from the socket
 *
 * Return: number of bytes read; 0 at the end of the stream; H1_READ_AGAIN when
 * no bytes have arrived; H1_READ_ERROR when the connection is broken.
 */
int h1_stream_read(h1_stream_t *stream, char *data, size_t size);

void h1_stream_close(h1_stream_t *stream);

struct mc_h1_t {
	mc_shard_t *shard;
	/* Records are server_conn_t. */
	mc_table_t *server_conns;
	/* Records are client_conn_t. */
	mc_table_t *client_conns;
	char *read_buffer;
	const mc_h1_server_handlers_t *server;
	void *server_ctx;
	mc_h1_limits_t limits;
	h1_budget_t response_budget;
	/* Bytes held for peers that send or read slowly: requests that are
	 * being received, and what is unsent on any connection. */
	h1_budget_t held;
	bool is_short;
	int listen_fd;
	mc_handle_t listen_watch;
	/* Resumes accepting after a failure. */
	mc_handle_t accept_timer;
	/* Each response closes its connection. */
	bool draining;
	/* The listening socket is no longer watched. */
	bool closing;
};

/**
 * h1_hold() - Change what is held for a connection
 * @h1: the connections
 * @held: bytes counted for the connection before; updated
 * @bytes: bytes that it holds now
 */
void h1_hold(mc_h1_t *h1, size_t *held, size_t bytes);

mc_err_t h1_server_init(mc_h1_t *h1);
void h1_server_destroy(mc_h1_t *h1);
mc_err_t h1_client_init(mc_h1_t *h1);
void h1_client_destroy(mc_h1_t *h1);

#endif
