/*
 * Fuzzes the parser of messages with arbitrary bytes. However the input is cut
 * into pieces, the parser must come to the same result, and for a complete
 * message consume the same bytes. It must never consume more than it was given
 * or keep more than its limits.
 */
#include <stdlib.h>
#include <string.h>

#include "h1_private.h"

enum {
	HEAD_MAX = 512,
	BODY_MAX = 256,
};

typedef struct {
	size_t used;
	bool complete;
	int error_status;
	size_t body;
} result_t;

static result_t parse_in_pieces(bool request, const char *data, size_t size,
				size_t piece)
{
	h1_parser_t parser = { 0 };
	result_t result = { 0 };
	size_t used;

	h1_parser_reset(&parser, request, HEAD_MAX, BODY_MAX);
	while (result.used < size && !parser.complete && !parser.error_status) {
		size_t part =
			size - result.used < piece ? size - result.used : piece;

		used = h1_parser_feed(&parser, data + result.used, part);
		if (used > part)
			abort();
		result.used += used;
		if (!used && !parser.complete && !parser.error_status)
			abort();
	}
	h1_parser_finish(&parser);
	if (parser.body.size > BODY_MAX || parser.text.size > HEAD_MAX * 2)
		abort();
	result.complete = parser.complete;
	result.error_status = parser.error_status;
	result.body = parser.body.size;
	if (parser.complete) {
		const mc_h1_message_t message = h1_parser_message(&parser);
		uint32_t i;

		for (i = 0; i < message.header_count; i++)
			if (strlen(message.headers[i].name) +
				    strlen(message.headers[i].value) >
			    HEAD_MAX)
				abort();
	}
	h1_parser_free(&parser);
	return result;
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	const char *text = (const char *)data;
	bool request;
	result_t in_one, in_pieces;

	if (size < 2)
		return 0;
	request = data[0] & 1;
	in_one = parse_in_pieces(request, text + 2, size - 2, size);
	in_pieces = parse_in_pieces(request, text + 2, size - 2,
				    (size_t)data[1] % 9 + 1);
	if (in_one.complete != in_pieces.complete ||
	    !in_one.error_status != !in_pieces.error_status)
		abort();
	if (in_one.complete &&
	    (in_one.used != in_pieces.used || in_one.body != in_pieces.body))
		abort();
	return 0;
}
