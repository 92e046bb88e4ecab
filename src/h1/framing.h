/*
 * Framing of messages (RFC 9112). http_parser hands out the parts of a message:
 * the target, names, values, the body. It is lenient with the bytes between
 * them, and with lengths and codings. This checks what stands between the parts
 * byte by byte, and what the header lines say about the body's end, and takes
 * only what no reader can take for something else. It knows nothing of
 * http_parser, and keeps no bytes.
 */
#ifndef MC_H1_FRAMING_H
#define MC_H1_FRAMING_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Where the next byte stands that belongs to no part. */
typedef enum {
	FRAMING_REQUEST_START,
	FRAMING_REQUEST_START_LF,
	FRAMING_METHOD_START,
	FRAMING_METHOD,
	FRAMING_TARGET,
	FRAMING_REQUEST_VERSION,
	FRAMING_STATUS_LINE,
	FRAMING_STATUS_LINE_END,
	FRAMING_REASON,
	FRAMING_NAME_START,
	FRAMING_NAME,
	FRAMING_VALUE_START,
	FRAMING_VALUE,
	FRAMING_LINE_LF,
	FRAMING_EMPTY_LINE_LF,
	FRAMING_BODY,
	FRAMING_CHUNK_SIZE_START,
	FRAMING_CHUNK_SIZE,
	FRAMING_CHUNK_EXTENSION,
	FRAMING_CHUNK_SIZE_LF,
	FRAMING_CHUNK_DATA,
	FRAMING_CHUNK_DATA_LF,
	FRAMING_END,
	FRAMING_INVALID,
} h1_framing_state_t;

/* Parts of a message that the parser hands out. */
typedef enum {
	FRAMING_PART_TARGET,
	FRAMING_PART_REASON,
	FRAMING_PART_NAME,
	FRAMING_PART_VALUE,
	FRAMING_PART_BODY,
} h1_framing_part_t;

/* What the header lines say about the message's length, its host and the
 * connection. */
typedef struct {
	/* Numbers of lines. */
	uint32_t hosts;
	uint32_t lengths;
	uint32_t codings;
	/* Value of Content-Length, bytes. */
	uint64_t length;
	/* A length is no number, or a coding is not "chunked". */
	bool invalid;
	/* Options of Connection. */
	bool close;
	bool keep_alive;
} h1_framing_fields_t;

/* A zeroed one, but for @state, is at the start of a message. */
typedef struct {
	h1_framing_state_t state;
	/* Bytes of a fixed text that have been read. */
	uint32_t matched;
	/* The body is chunked. */
	bool chunked;
	/* The last chunk size was zero; what follows are trailer fields. */
	bool last_chunk;
	/* The connection may be used after the message. */
	bool keep_alive;
	/* First byte of the input that was not checked. */
	const char *next;
	h1_framing_fields_t fields;
} h1_framing_t;

/** h1_framing_reset() - Prepare for a new message */
void h1_framing_reset(h1_framing_t *framing, bool request);

/**
 * h1_framing_between() - Check the bytes from @framing->next up to @end
 *
 * They belong to no part. Return: false if they are invalid; so is everything
 * that follows then.
 */
bool h1_framing_between(h1_framing_t *framing, const char *end);

/**
 * h1_framing_part() - Check a part, or a piece of one, and what comes before it
 *
 * An empty part is ignored. Return: false if the message is invalid.
 */
bool h1_framing_part(h1_framing_t *framing, h1_framing_part_t part,
		     const char *data, size_t size);

/** h1_framing_field() - Note a header line; both texts end with zero */
void h1_framing_field(h1_framing_t *framing, const char *name, size_t name_size,
		      const char *value);

/**
 * h1_framing_head() - Check the header lines that were noted
 * @minor: minor version of HTTP/1
 * @without_body: the message ends after its head, whatever length it names
 *
 * Called when the head is complete, before the empty line is checked. Return:
 * false if they leave the body's end or the host open.
 */
bool h1_framing_head(h1_framing_t *framing, bool request, unsigned int minor,
		     bool without_body);

/** h1_framing_is_end() - Tell whether a message may end here */
bool h1_framing_is_end(const h1_framing_t *framing);

#endif
