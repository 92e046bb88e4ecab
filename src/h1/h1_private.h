/*
 * Parts of connections that both sides share: a buffer of bytes, a parser that
 * collects one message, and a stream (a socket with what waits to be sent).
 */
#ifndef MC_H1_PRIVATE_H
#define MC_H1_PRIVATE_H

#include <http_parser.h>

#include "mc/h1.h"

enum {
	/* Bytes read at a time, into a buffer of the shard's. */
	H1_READ_SIZE = 64 << 10,
};

/* Bytes; a zeroed one is empty. */
typedef struct {
	char *data;
	size_t size;
	size_t capacity;
} h1_buffer_t;

/** h1_buffer_add() - MC_OK or MC_ERR_NO_MEMORY */
mc_err_t h1_buffer_add(h1_buffer_t *buffer, const char *data, size_t size);

/** h1_buffer_empty() - forget the content; a large buffer is freed */
void h1_buffer_empty(h1_buffer_t *buffer);

void h1_buffer_free(h1_buffer_t *buffer);

/* Offsets of a header line in the text of a parse. */
typedef struct {
	uint32_t name;
	uint32_t value;
} h1_line_t;

/*
 * One message as it arrives. @text holds the target and the header lines, each
 * part zero-terminated; @lines point into it, and @headers are made from them
 * when the message is whole.
 */
typedef struct {
	http_parser parser;
	size_t head_max;
	size_t body_max;
	size_t head_size;
	h1_buffer_t text;
	h1_buffer_t body;
	uint32_t line_count;
	h1_line_t lines[MC_H1_HEADERS_MAX];
	mc_h1_header_t headers[MC_H1_HEADERS_MAX];
	bool in_value;
	bool begun;
	bool head_done;
	bool no_body;
	bool whole;
	/* Status that tells the sender what is wrong; 0 if nothing is. */
	int fault;
} h1_parse_t;

/** h1_parse_begin() - get ready for a message; buffers are kept */
void h1_parse_begin(h1_parse_t *parse, bool request, size_t head_max,
		    size_t body_max);

/**
 * h1_parse_feed() - take bytes up to the end of the message
 *
 * Return: bytes taken. @whole or @fault is set when it ended.
 */
size_t h1_parse_feed(h1_parse_t *parse, const char *data, size_t size);

/** h1_parse_end() - no more bytes will come; may make the message whole */
void h1_parse_end(h1_parse_t *parse);

/** h1_parse_message() - the whole message; valid until the next one begins */
mc_h1_message_t h1_parse_message(h1_parse_t *parse);

void h1_parse_free(h1_parse_t *parse);

/* A socket and what waits to be sent on it. */
typedef struct {
	mc_shard_t *shard;
	int fd;
	mc_handle_t watch;
	int interest;
	h1_buffer_t out;
	/* Bytes of @out that have left, and bytes that ever left. */
	size_t sent;
	uint64_t total;
} h1_stream_t;

/** h1_stream_init() - watch @fd, which becomes the stream's */
mc_err_t h1_stream_init(h1_stream_t *stream, mc_shard_t *shard, int fd,
			int interest, mc_watch_fn_t ready, void *arg);

/** h1_stream_interest() - watch for @events */
void h1_stream_interest(h1_stream_t *stream, int events);

/** h1_stream_flush() - send what waits; false when the connection is broken */
bool h1_stream_flush(h1_stream_t *stream);

/** h1_stream_pending() - bytes that wait to be sent */
size_t h1_stream_pending(const h1_stream_t *stream);

/**
 * h1_stream_read() - read once
 *
 * Return: bytes at @data; 0 at the end of the stream; -1 when nothing is there
 * yet; -2 when the connection is broken.
 */
int h1_stream_read(h1_stream_t *stream, char *data, size_t size);

void h1_stream_close(h1_stream_t *stream);

struct mc_h1_t {
	mc_shard_t *shard;
	mc_table_t *callers;
	mc_table_t *servers;
	char *scratch;
	const mc_h1_server_handlers_t *server;
	void *server_ctx;
	mc_h1_limits_t limits;
	int listen_fd;
	mc_handle_t listen_watch;
	bool leaving;
	bool closing;
};

mc_err_t h1_callers_init(mc_h1_t *h1);
void h1_callers_destroy(mc_h1_t *h1);
mc_err_t h1_servers_init(mc_h1_t *h1);
void h1_servers_destroy(mc_h1_t *h1);

#endif
