/*
 * Collects one message from the events of the packaged parser, within the
 * limits of its head and body.
 */
#include "h1_private.h"

#include <string.h>
#include <strings.h>

enum {
	STATUS_BAD_REQUEST = 400,
	STATUS_BODY_TOO_LARGE = 413,
	STATUS_HEAD_TOO_LARGE = 431,
	/* What http_parser_settings callbacks return. */
	GO_ON = 0,
	NO_BODY = 1,
	STOP = -1,
};

static int fail(h1_parse_t *parse, int status)
{
	parse->fault = status;
	return STOP;
}

static int add_text(h1_parse_t *parse, const char *data, size_t size)
{
	parse->head_size += size;
	if (parse->head_size > parse->head_max)
		return fail(parse, STATUS_HEAD_TOO_LARGE);
	if (h1_buffer_add(&parse->text, data, size))
		return fail(parse, STATUS_HEAD_TOO_LARGE);
	return GO_ON;
}

static int end_text(h1_parse_t *parse)
{
	return h1_buffer_add(&parse->text, "", 1)
		       ? fail(parse, STATUS_HEAD_TOO_LARGE)
		       : GO_ON;
}

static int on_url(http_parser *parser, const char *data, size_t size)
{
	return add_text(parser->data, data, size);
}

/* The target and each value end where the next name or the body begins. */
static int on_field(http_parser *parser, const char *data, size_t size)
{
	h1_parse_t *parse = parser->data;
	h1_line_t *line;

	if (parse->in_value || !parse->line_count) {
		if (end_text(parse))
			return STOP;
		if (parse->line_count == MC_H1_HEADERS_MAX)
			return fail(parse, STATUS_HEAD_TOO_LARGE);
		line = &parse->lines[parse->line_count++];
		line->name = (uint32_t)parse->text.size;
		line->value = 0;
		parse->in_value = false;
	}
	return add_text(parse, data, size);
}

static int on_value(http_parser *parser, const char *data, size_t size)
{
	h1_parse_t *parse = parser->data;

	if (!parse->in_value) {
		if (end_text(parse))
			return STOP;
		parse->lines[parse->line_count - 1].value =
			(uint32_t)parse->text.size;
		parse->in_value = true;
	}
	return add_text(parse, data, size);
}

static int on_head(http_parser *parser)
{
	h1_parse_t *parse = parser->data;

	if (end_text(parse))
		return STOP;
	parse->head_done = true;
	/* Other protocols are not spoken, so no message switches to one. */
	parser->upgrade = 0;
	if (parser->content_length != UINT64_MAX &&
	    parser->content_length > parse->body_max && !parse->no_body)
		return fail(parse, STATUS_BODY_TOO_LARGE);
	return parse->no_body ? NO_BODY : GO_ON;
}

static int on_body(http_parser *parser, const char *data, size_t size)
{
	h1_parse_t *parse = parser->data;

	if (size > parse->body_max - parse->body.size ||
	    h1_buffer_add(&parse->body, data, size))
		return fail(parse, STATUS_BODY_TOO_LARGE);
	return GO_ON;
}

static int on_whole(http_parser *parser)
{
	h1_parse_t *parse = parser->data;

	parse->whole = true;
	http_parser_pause(parser, 1);
	return GO_ON;
}

static const http_parser_settings callbacks = {
	.on_url = on_url,
	.on_header_field = on_field,
	.on_header_value = on_value,
	.on_headers_complete = on_head,
	.on_body = on_body,
	.on_message_complete = on_whole,
};

void h1_parse_begin(h1_parse_t *parse, bool request, size_t head_max,
		    size_t body_max)
{
	http_parser_init(&parse->parser,
			 request ? HTTP_REQUEST : HTTP_RESPONSE);
	parse->parser.data = parse;
	parse->head_max = head_max;
	parse->body_max = body_max;
	parse->head_size = 0;
	h1_buffer_empty(&parse->text);
	h1_buffer_empty(&parse->body);
	parse->line_count = 0;
	parse->in_value = false;
	parse->begun = false;
	parse->head_done = false;
	parse->no_body = false;
	parse->whole = false;
	parse->fault = 0;
}

size_t h1_parse_feed(h1_parse_t *parse, const char *data, size_t size)
{
	size_t used;

	if (!size || parse->whole || parse->fault)
		return 0;
	parse->begun = true;
	used = http_parser_execute(&parse->parser, &callbacks, data, size);
	if (!parse->whole && HTTP_PARSER_ERRNO(&parse->parser) != HPE_OK &&
	    !parse->fault)
		parse->fault = STATUS_BAD_REQUEST;
	return used;
}

void h1_parse_end(h1_parse_t *parse)
{
	if (parse->whole || parse->fault || !parse->begun)
		return;
	http_parser_execute(&parse->parser, &callbacks, NULL, 0);
	if (!parse->whole && !parse->fault)
		parse->fault = STATUS_BAD_REQUEST;
}

mc_h1_message_t h1_parse_message(h1_parse_t *parse)
{
	bool request = parse->parser.type == HTTP_REQUEST;
	uint32_t i;

	for (i = 0; i < parse->line_count; i++) {
		const h1_line_t *line = &parse->lines[i];

		parse->headers[i] = (mc_h1_header_t){
			.name = parse->text.data + line->name,
			.value = line->value ? parse->text.data + line->value
					     : "",
		};
	}
	return (mc_h1_message_t){
		.method =
			request ? http_method_str(parse->parser.method) : NULL,
		.uri = request ? parse->text.data : NULL,
		.status = request ? 0 : (int)parse->parser.status_code,
		.header_count = parse->line_count,
		.headers = parse->headers,
		.body = parse->body.size ? parse->body.data : "",
		.body_size = parse->body.size,
		.keep_alive = http_should_keep_alive(&parse->parser),
	};
}

void h1_parse_free(h1_parse_t *parse)
{
	h1_buffer_free(&parse->text);
	h1_buffer_free(&parse->body);
}

const char *mc_h1_get_header(const mc_h1_message_t *message, const char *name)
{
	uint32_t i;

	for (i = 0; i < message->header_count; i++)
		if (!strcasecmp(message->headers[i].name, name))
			return message->headers[i].value;
	return NULL;
}
