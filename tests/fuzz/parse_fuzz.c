/*
 * The parser of messages under arbitrary bytes: cut into pieces in any way it
 * takes the same bytes and comes to the same end, and it never takes more than
 * it was given or keeps more than its limits.
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
	bool whole;
	int fault;
	size_t body;
} end_t;

static end_t run(bool request, const char *data, size_t size, size_t piece)
{
	h1_parse_t parse = { 0 };
	end_t end = { 0 };
	size_t used;

	h1_parse_begin(&parse, request, HEAD_MAX, BODY_MAX);
	while (end.used < size && !parse.whole && !parse.fault) {
		size_t part = size - end.used < piece ? size - end.used : piece;

		used = h1_parse_feed(&parse, data + end.used, part);
		if (used > part)
			abort();
		end.used += used;
		if (!used && !parse.whole && !parse.fault)
			abort();
	}
	h1_parse_end(&parse);
	if (parse.body.size > BODY_MAX || parse.text.size > HEAD_MAX * 2)
		abort();
	end.whole = parse.whole;
	end.fault = parse.fault;
	end.body = parse.body.size;
	if (parse.whole) {
		const mc_h1_message_t message = h1_parse_message(&parse);
		uint32_t i;

		for (i = 0; i < message.header_count; i++)
			if (strlen(message.headers[i].name) +
				    strlen(message.headers[i].value) >
			    HEAD_MAX)
				abort();
	}
	h1_parse_free(&parse);
	return end;
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	const char *text = (const char *)data;
	bool request;
	end_t whole, pieces;

	if (size < 2)
		return 0;
	request = data[0] & 1;
	whole = run(request, text + 2, size - 2, size);
	pieces = run(request, text + 2, size - 2, (size_t)data[1] % 9 + 1);
	if (whole.whole != pieces.whole || !whole.fault != !pieces.fault)
		abort();
	if (whole.whole &&
	    (whole.used != pieces.used || whole.body != pieces.body))
		abort();
	return 0;
}
