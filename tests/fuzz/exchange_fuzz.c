/*
 * Fuzzes the parser with whole exchanges: streams of several requests or
 * responses, with lengths, chunks, extensions, trailers, responses to HEAD and
 * informational ones, as sent or with bytes changed, in pieces of any size, up
 * to any byte. A slow reader that has the whole stream before it
 * (reference_reader.h) says what each message is and where it ends, or that it
 * must be refused; the parser must say the same, byte for byte. What the
 * generator has sent unchanged must be what the reference reads, so that both
 * don't err together.
 */
#include <string.h>

#include "fuzz_input.h"
#include "h1_private.h"
#include "reference_reader.h"

enum {
	MESSAGES_MAX = 4,
	STREAM_MAX = 16 << 10,
	HEAD_MAX = 64 << 10,
	BODY_MAX = 64 << 10,
	FIELDS_MAX = 5,
	TRAILERS_MAX = 2,
	TEXT_MAX = 12,
	CHUNKS_MAX = 4,
	CHUNK_BYTES_MAX = 40,
	CHANGES_MAX = 3,
	/* Streams up to this size are closed after each of their bytes. */
	CLOSED_EVERYWHERE_MAX = 300,
	STATUS_NO_CONTENT = 204,
	STATUS_NOT_MODIFIED = 304,
	STATUS_FINAL_MIN = 200,
};

typedef struct {
	char bytes[STREAM_MAX];
	size_t size;
	bool request;
	/* By message: it is the response to a HEAD request. */
	bool to_head[MESSAGES_MAX];
	/* What was sent, as long as the stream is unchanged. */
	bool changed;
	uint32_t sent_count;
	size_t sent_ends[MESSAGES_MAX];
	char sent_bodies[MESSAGES_MAX][CHUNKS_MAX * CHUNK_BYTES_MAX];
	size_t sent_body_sizes[MESSAGES_MAX];
	uint32_t sent_fields[MESSAGES_MAX];
} stream_t;

static bool one_in(fuzz_input_t *input, uint32_t n)
{
	return !fuzz_below(input, n);
}

static void put(stream_t *stream, const char *data, size_t size)
{
	FUZZ_CHECK(stream->size + size <= STREAM_MAX, "the stream has room");
	memcpy(stream->bytes + stream->size, data, size);
	stream->size += size;
}

static void put_text(stream_t *stream, const char *text)
{
	put(stream, text, strlen(text));
}

/* Puts up to TEXT_MAX bytes out of @set. */
static void put_some(stream_t *stream, fuzz_input_t *input, const char *set)
{
	uint32_t count = fuzz_below(input, TEXT_MAX);
	uint32_t size = (uint32_t)strlen(set);

	while (count--)
		put(stream, set + fuzz_below(input, size), 1);
}

/* Puts a name in upper and lower case. */
static void put_name(stream_t *stream, fuzz_input_t *input, const char *name)
{
	bool lower = one_in(input, 4);
	char byte;

	for (; *name; name++) {
		byte = *name;
		if (lower && byte >= 'A' && byte <= 'Z')
			byte = (char)(byte - 'A' + 'a');
		put(stream, &byte, 1);
	}
}

static void put_space(stream_t *stream, fuzz_input_t *input)
{
	if (one_in(input, 4))
		put_text(stream, one_in(input, 2) ? "\t " : "  ");
}

static void put_field(stream_t *stream, fuzz_input_t *input, const char *name,
		      const char *value)
{
	put_name(stream, input, name);
	put_text(stream, one_in(input, 8) ? ":" : ": ");
	put_space(stream, input);
	put_text(stream, value);
	/* http_parser takes no tab after a length. */
	if (one_in(input, 8))
		put_text(stream, " ");
	put_text(stream, "\r\n");
}

static void put_random_field(stream_t *stream, fuzz_input_t *input)
{
	put_text(stream, "X");
	put_some(stream, input, "azAZ09!#$%&'*+-.^_`|~");
	put_text(stream, one_in(input, 2) ? ":" : ": ");
	put_space(stream, input);
	put_some(stream, input, "az09 \t:;,=\"()<>@[]{}/?\\\x80\xff");
	put_space(stream, input);
	put_text(stream, "\r\n");
}

static void put_body_bytes(stream_t *stream, fuzz_input_t *input, uint32_t size)
{
	uint32_t at = stream->sent_count;
	size_t *sent = &stream->sent_body_sizes[at];
	char byte;

	while (size--) {
		byte = (char)fuzz_u8(input);
		if (one_in(input, 4))
			byte = "\r\n0 "[fuzz_below(input, 4)];
		put(stream, &byte, 1);
		stream->sent_bodies[at][(*sent)++] = byte;
	}
}

static void put_chunk_head(stream_t *stream, fuzz_input_t *input, uint32_t size)
{
	char text[32];

	snprintf(text, sizeof(text), one_in(input, 4) ? "%04X" : "%x", size);
	put_text(stream, text);
	if (one_in(input, 4)) {
		put_text(stream, ";");
		put_some(stream, input, "az09 \t;=\"\\:\x80");
	}
	put_text(stream, "\r\n");
}

static void put_chunks(stream_t *stream, fuzz_input_t *input)
{
	uint32_t count = fuzz_below(input, CHUNKS_MAX);
	uint32_t size;

	while (count--) {
		size = 1 + fuzz_below(input, CHUNK_BYTES_MAX);
		put_chunk_head(stream, input, size);
		put_body_bytes(stream, input, size);
		put_text(stream, "\r\n");
	}
	put_chunk_head(stream, input, 0);
	for (count = fuzz_below(input, TRAILERS_MAX + 1); count; count--)
		put_random_field(stream, input);
	put_text(stream, "\r\n");
}

static void put_fields(stream_t *stream, fuzz_input_t *input)
{
	uint32_t count = fuzz_below(input, FIELDS_MAX);

	stream->sent_fields[stream->sent_count] += count;
	while (count--)
		put_random_field(stream, input);
	if (one_in(input, 4)) {
		static const char *const values[] = {
			"close",
			"keep-alive",
			"Close, x",
			"x, Keep-Alive",
		};

		put_field(stream, input, "Connection",
			  values[fuzz_below(input, MC_ARRAY_LEN(values))]);
		stream->sent_fields[stream->sent_count]++;
	}
}

static uint32_t put_start_line(stream_t *stream, fuzz_input_t *input,
			       bool *is_old)
{
	static const char *const methods[] = { "GET",	 "POST",   "HEAD",
					       "PUT",	 "DELETE", "PATCH",
					       "OPTIONS" };
	static const uint32_t statuses[] = { 200, 200, 404, 503, 100,
					     103, 204, 304, 201 };
	const char *version = *is_old ? "HTTP/1.0" : "HTTP/1.1";
	char text[32];
	uint32_t status = 0;

	if (stream->request) {
		if (one_in(input, 8))
			put_text(stream, "\r\n");
		put_text(stream,
			 methods[fuzz_below(input, MC_ARRAY_LEN(methods))]);
		put_text(stream, " /");
		put_some(stream, input, "az09-._~%!$&'()*+,;=:@/?#[]\xc3");
		snprintf(text, sizeof(text), " %s\r\n", version);
		put_text(stream, text);
		return 0;
	}
	status = statuses[fuzz_below(input, MC_ARRAY_LEN(statuses))];
	/* Informational responses came with HTTP/1.1. */
	if (status < STATUS_FINAL_MIN) {
		version = "HTTP/1.1";
		*is_old = false;
	}
	snprintf(text, sizeof(text), "%s %u", version, status);
	put_text(stream, text);
	if (!one_in(input, 8)) {
		put_text(stream, " ");
		put_some(stream, input, "OKaz \t\xe4");
	}
	put_text(stream, "\r\n");
	return status;
}

static void put_length(stream_t *stream, fuzz_input_t *input, uint32_t size)
{
	char text[32];

	snprintf(text, sizeof(text), one_in(input, 8) ? "0%u" : "%u", size);
	put_field(stream, input, "Content-Length", text);
	stream->sent_fields[stream->sent_count]++;
}

/* Puts the line that says where the body ends, the rest of the head, and the
 * body. Returns false when the body ends with the stream. */
static bool put_sized(stream_t *stream, fuzz_input_t *input, uint32_t status,
		      bool is_old)
{
	bool informational = status && status < STATUS_FINAL_MIN;
	bool no_body = stream->to_head[stream->sent_count] || informational ||
		       status == STATUS_NO_CONTENT ||
		       status == STATUS_NOT_MODIFIED;
	uint32_t kind = informational || status == STATUS_NO_CONTENT
				? 0
				: fuzz_below(input, 3);
	uint32_t size = fuzz_below(input, CHUNK_BYTES_MAX);

	if (kind == 2 && is_old)
		kind = 1;
	if (kind == 1)
		put_length(stream, input, size);
	if (kind == 2) {
		put_field(stream, input, "Transfer-Encoding",
			  one_in(input, 4) ? "Chunked" : "chunked");
		stream->sent_fields[stream->sent_count]++;
	}
	put_fields(stream, input);
	put_text(stream, "\r\n");
	if (no_body)
		return true;
	if (kind == 2)
		put_chunks(stream, input);
	else if (kind == 1 || !stream->request)
		put_body_bytes(stream, input, size);
	return kind || stream->request;
}

/* Returns false when no other message can follow. */
static bool put_message(stream_t *stream, fuzz_input_t *input)
{
	bool is_old = one_in(input, 8);
	uint32_t status = put_start_line(stream, input, &is_old);
	bool delimited;

	put_fields(stream, input);
	if (stream->request && (!is_old || one_in(input, 2))) {
		put_field(stream, input, "Host", one_in(input, 8) ? "" : "h:1");
		stream->sent_fields[stream->sent_count]++;
	}
	delimited = put_sized(stream, input, status, is_old);
	stream->sent_ends[stream->sent_count++] = stream->size;
	return delimited;
}

static void replace(stream_t *stream, size_t at, size_t removed,
		    const char *text, size_t size)
{
	if (at + removed > stream->size ||
	    stream->size + size - removed > STREAM_MAX)
		return;
	memmove(stream->bytes + at + size, stream->bytes + at + removed,
		stream->size - at - removed);
	memcpy(stream->bytes + at, text, size);
	stream->size += size - removed;
	stream->changed = true;
}

/* Finds the end of a line at or after @at. */
static size_t next_line(const stream_t *stream, size_t at)
{
	while (at < stream->size && stream->bytes[at] != '\n')
		at++;
	return at < stream->size ? at + 1 : at;
}

/* Changes the stream in the ways that readers of HTTP are known to disagree
 * on. */
static void change(stream_t *stream, fuzz_input_t *input)
{
	static const char bytes[] = " \t\r\n\0\v:,;0x+-\x01\x7f\x80gC";
	static const char *const lines[] = {
		"Content-Length: 3\r\n",
		"Content-Length: 0\r\n",
		"Content-Length:\r\n",
		"Content-Length: 18446744073709551617\r\n",
		"Transfer-Encoding: chunked\r\n",
		"Transfer-Encoding: gzip\r\n",
		"Transfer-Encoding: gzip, chunked\r\n",
		"Transfer-Encoding:\r\n",
		"Transfer-Encoding : chunked\r\n",
		"Host: other\r\n",
		"Connection: close, keep-alive\r\n",
		" folded\r\n",
		"\tfolded\r\n",
		"X\r\n",
		"\r\n",
		"0\r\n\r\n",
		"10000000000000003\r\n",
	};
	size_t at = (size_t)fuzz_u8(input) << 8 | fuzz_u8(input);
	const char *byte = &bytes[fuzz_below(input, sizeof(bytes) - 1)];
	const char *line;

	at = stream->size ? at % stream->size : 0;
	switch (fuzz_below(input, 5)) {
	case 0:
		replace(stream, at, 1, byte, 1);
		break;
	case 1:
		replace(stream, at, 0, byte, 1);
		break;
	case 2:
		replace(stream, at, 1, "", 0);
		break;
	case 3:
		line = lines[fuzz_below(input, MC_ARRAY_LEN(lines))];
		replace(stream, next_line(stream, at), 0, line, strlen(line));
		break;
	default:
		/* The CR or the LF of a line. */
		at = next_line(stream, at);
		if (at >= 2)
			replace(stream, at - 1 - fuzz_below(input, 2), 1, byte,
				fuzz_below(input, 2));
		break;
	}
}

static void make_stream(stream_t *stream, fuzz_input_t *input)
{
	uint32_t count = 1 + fuzz_below(input, MESSAGES_MAX);
	uint32_t i;

	stream->request = one_in(input, 2);
	for (i = 0; i < MESSAGES_MAX && !stream->request; i++)
		stream->to_head[i] = one_in(input, 4);
	while (count--)
		if (!put_message(stream, input))
			break;
	if (one_in(input, 2))
		return;
	for (count = 1 + fuzz_below(input, CHANGES_MAX); count; count--)
		change(stream, input);
}

static bool is_equal(const char *text, reference_text_t expected)
{
	return strlen(text) == expected.size &&
	       !memcmp(text, expected.data, expected.size);
}

static void check_fields(const mc_h1_message_t *message,
			 const reference_message_t *expected)
{
	uint32_t i;

	FUZZ_CHECK(message->header_count == expected->field_count,
		   "a message has the header lines that were sent");
	for (i = 0; i < message->header_count; i++) {
		FUZZ_CHECK(is_equal(message->headers[i].name,
				    expected->fields[i].name),
			   "names are those that were sent");
		FUZZ_CHECK(is_equal(message->headers[i].value,
				    expected->fields[i].value),
			   "values are those that were sent");
	}
}

static void check_message(h1_parser_t *parser, bool request,
			  const reference_message_t *expected)
{
	const mc_h1_message_t message = h1_parser_message(parser);

	if (request) {
		FUZZ_CHECK(is_equal(message.method, expected->method),
			   "the method is the one that was sent");
		FUZZ_CHECK(is_equal(message.uri, expected->target),
			   "the target is the one that was sent");
	} else {
		FUZZ_CHECK(message.status == expected->status,
			   "the status is the one that was sent");
	}
	check_fields(&message, expected);
	FUZZ_CHECK(message.body_size == expected->body_size &&
			   !memcmp(message.body, expected->body,
				   expected->body_size),
		   "the body is the one that was sent");
	FUZZ_CHECK(message.keep_alive == expected->keep_alive,
		   "a connection is kept if both sides may use it again");
}

/* Feeds pieces of @piece bytes, or of random sizes if it is 0. Returns the
 * number of bytes that were read. */
static size_t feed(h1_parser_t *parser, const char *data, size_t size,
		   size_t piece, fuzz_input_t *input)
{
	size_t used = 0;

	while (used < size && !parser->complete && !parser->error_status) {
		size_t part = piece ? piece : 1 + fuzz_u8(input);
		size_t read;

		if (part > size - used)
			part = size - used;
		read = h1_parser_feed(parser, data + used, part);
		FUZZ_CHECK(read <= part, "no more is read than was given");
		FUZZ_CHECK(read == part || parser->complete ||
				   parser->error_status,
			   "all is read up to the end or a fault");
		used += read;
	}
	if (used == size)
		h1_parser_finish(parser);
	return used;
}

/* Reads the first @size bytes of the stream with both readers. */
static void compare(const stream_t *stream, size_t size, size_t piece,
		    fuzz_input_t *input)
{
	h1_parser_t parser = { 0 };
	size_t at = 0;
	uint32_t i;

	for (i = 0; i < MESSAGES_MAX && at < size; i++) {
		static reference_message_t expected;
		reference_verdict_t verdict = reference_read(
			stream->bytes + at, size - at, stream->request,
			stream->to_head[i], &expected);
		size_t used;

		h1_parser_reset(&parser, stream->request, HEAD_MAX, BODY_MAX);
		parser.no_body = stream->to_head[i];
		used = feed(&parser, stream->bytes + at, size - at, piece,
			    input);
		FUZZ_CHECK(!parser.complete || !parser.error_status,
			   "a message is complete or at fault");
		if (verdict == REFERENCE_REFUSED)
			FUZZ_CHECK(!parser.complete,
				   "what the reference refuses is refused");
		if (verdict == REFERENCE_COMPLETE)
			FUZZ_CHECK(parser.complete,
				   "what the reference takes is taken");
		if (!parser.complete)
			break;
		FUZZ_CHECK(used == expected.size,
			   "a message ends where it was sent to end");
		check_message(&parser, stream->request, &expected);
		at += used;
	}
	h1_parser_free(&parser);
}

/* The reference reads from an unchanged stream what was put there. */
static void check_reference(const stream_t *stream)
{
	static reference_message_t message;
	size_t at = 0;
	uint32_t i;

	for (i = 0; i < stream->sent_count; i++) {
		FUZZ_CHECK(reference_read(stream->bytes + at, stream->size - at,
					  stream->request, stream->to_head[i],
					  &message) == REFERENCE_COMPLETE,
			   "the reference takes what was sent");
		at += message.size;
		FUZZ_CHECK(at == stream->sent_ends[i],
			   "the reference finds the end that was sent");
		FUZZ_CHECK(message.field_count == stream->sent_fields[i],
			   "the reference finds the fields that were sent");
		FUZZ_CHECK(message.body_size == stream->sent_body_sizes[i] &&
				   !memcmp(message.body, stream->sent_bodies[i],
					   message.body_size),
			   "the reference finds the body that was sent");
	}
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	fuzz_input_t input = fuzz_input_init(data, size);
	static stream_t stream;
	size_t end;

	memset(&stream, 0, sizeof(stream));
	make_stream(&stream, &input);
	if (!stream.changed)
		check_reference(&stream);
	compare(&stream, stream.size, stream.size, &input);
	compare(&stream, stream.size, 1, &input);
	compare(&stream, stream.size, 0, &input);
	if (stream.size <= CLOSED_EVERYWHERE_MAX) {
		for (end = 1; end < stream.size; end++)
			compare(&stream, end, end, &input);
	} else {
		end = (size_t)fuzz_u8(&input) << 8 | fuzz_u8(&input);
		compare(&stream, end % stream.size, 0, &input);
	}
	return 0;
}
