/*
 * Collects one message from the callbacks of the http_parser library, within
 * the limits for its head and body. Each callback has its part of the message
 * checked by framing.c, which is stricter than the library.
 */
#include "h1_private.h"

#include <string.h>
#include <strings.h>

enum {
	STATUS_BAD_REQUEST = 400,
	STATUS_BODY_TOO_LARGE = 413,
	STATUS_HEAD_TOO_LARGE = 431,
	STATUS_NOT_IMPLEMENTED = 501,
	/* Return values of the callbacks of http_parser. */
	CALLBACK_CONTINUE = 0,
	CALLBACK_SKIP_BODY = 1,
	CALLBACK_ABORT = -1,
	/* A body up to this size, bytes, needs nothing of the budget, so that
	 * usual responses are received whatever the others do. */
	BODY_FREE_MAX = 64 << 10,
};

static int fail_message(h1_parser_t *parser, int status)
{
	parser->error_status = status;
	return CALLBACK_ABORT;
}

static int check_part(h1_parser_t *parser, h1_framing_part_t part,
		      const char *data, size_t size)
{
	return h1_framing_part(&parser->framing, part, data, size)
		       ? CALLBACK_CONTINUE
		       : fail_message(parser, STATUS_BAD_REQUEST);
}

static int append_text(h1_parser_t *parser, const char *data, size_t size)
{
	parser->head_size += size;
	if (parser->head_size > parser->head_max)
		return fail_message(parser, STATUS_HEAD_TOO_LARGE);
	if (h1_buffer_append(&parser->text, data, size))
		return fail_message(parser, STATUS_HEAD_TOO_LARGE);
	return CALLBACK_CONTINUE;
}

static int terminate_text(h1_parser_t *parser)
{
	return h1_buffer_append(&parser->text, "", 1)
		       ? fail_message(parser, STATUS_HEAD_TOO_LARGE)
		       : CALLBACK_CONTINUE;
}

/* Trailer fields are dropped: they are no header fields (RFC 9110, 6.5.1), and
 * nobody here uses them. They count for the limit of the head. */
static int skip_trailer(h1_parser_t *parser, size_t size)
{
	parser->head_size += size;
	return parser->head_size > parser->head_max
		       ? fail_message(parser, STATUS_HEAD_TOO_LARGE)
		       : CALLBACK_CONTINUE;
}

static int on_uri(http_parser *http, const char *data, size_t size)
{
	if (check_part(http->data, FRAMING_PART_TARGET, data, size))
		return CALLBACK_ABORT;
	return append_text(http->data, data, size);
}

static int on_reason(http_parser *http, const char *data, size_t size)
{
	return check_part(http->data, FRAMING_PART_REASON, data, size);
}

/* Ends the value of the last header line without the spaces and tabs after it,
 * which are no part of it. */
static int terminate_value(h1_parser_t *parser)
{
	uint32_t value = parser->offsets[parser->header_count - 1].value;
	h1_buffer_t *text = &parser->text;

	while (text->size > value && (text->data[text->size - 1] == ' ' ||
				      text->data[text->size - 1] == '\t'))
		text->size--;
	return terminate_text(parser);
}

/* Ends the URI or the value before a name or the end of the head. */
static int terminate_line(h1_parser_t *parser)
{
	return parser->header_count ? terminate_value(parser)
				    : terminate_text(parser);
}

/*
 * http_parser may pass a text in pieces and has no callback for its end. The
 * URI and each value end where the next name or the body begins.
 */
static int on_header_field(http_parser *http, const char *data, size_t size)
{
	h1_parser_t *parser = http->data;
	h1_header_offsets_t *offsets;

	if (check_part(parser, FRAMING_PART_NAME, data, size))
		return CALLBACK_ABORT;
	if (parser->head_complete)
		return skip_trailer(parser, size);
	if (parser->in_value || !parser->header_count) {
		if (terminate_line(parser))
			return CALLBACK_ABORT;
		if (parser->header_count == MC_H1_HEADERS_MAX)
			return fail_message(parser, STATUS_HEAD_TOO_LARGE);
		offsets = &parser->offsets[parser->header_count++];
		offsets->name = (uint32_t)parser->text.size;
		offsets->value = 0;
		parser->in_value = false;
	}
	return append_text(parser, data, size);
}

static int on_header_value(http_parser *http, const char *data, size_t size)
{
	h1_parser_t *parser = http->data;

	if (check_part(parser, FRAMING_PART_VALUE, data, size))
		return CALLBACK_ABORT;
	if (parser->head_complete)
		return skip_trailer(parser, size);
	if (!parser->in_value) {
		if (terminate_text(parser))
			return CALLBACK_ABORT;
		parser->offsets[parser->header_count - 1].value =
			(uint32_t)parser->text.size;
		parser->in_value = true;
	}
	return append_text(parser, data, size);
}

/* Checks the header lines, and that the library reads them in the same way. */
static bool is_head_valid(h1_parser_t *parser, bool without_body)
{
	const h1_framing_fields_t *fields = &parser->framing.fields;
	const http_parser *http = &parser->http;
	const char *text = parser->text.data;
	uint32_t i;

	for (i = 0; i < parser->header_count; i++) {
		const h1_header_offsets_t *offsets = &parser->offsets[i];

		h1_framing_field(&parser->framing, text + offsets->name,
				 offsets->value - offsets->name - 1,
				 text + offsets->value);
	}
	return h1_framing_head(&parser->framing, http->type == HTTP_REQUEST,
			       http->http_minor, without_body) &&
	       !(http->flags & F_CHUNKED) == !fields->codings &&
	       http->content_length ==
		       (fields->lengths ? fields->length : UINT64_MAX);
}

/* Responses that end after their head, whatever length it names (RFC 9112,
 * 6.3). The library knows it only where the head names none. */
static bool is_without_body(const h1_parser_t *parser)
{
	const http_parser *http = &parser->http;

	if (parser->no_body)
		return true;
	return http->type == HTTP_RESPONSE &&
	       (http->status_code < HTTP_STATUS_OK ||
		http->status_code == HTTP_STATUS_NO_CONTENT ||
		http->status_code == HTTP_STATUS_NOT_MODIFIED);
}

static int on_headers_complete(http_parser *http)
{
	h1_parser_t *parser = http->data;
	bool without_body = is_without_body(parser);

	if (terminate_line(parser))
		return CALLBACK_ABORT;
	if (!is_head_valid(parser, without_body))
		return fail_message(parser, STATUS_BAD_REQUEST);
	parser->head_complete = true;
	if (http->type == HTTP_REQUEST && http->method == HTTP_CONNECT)
		return fail_message(parser, STATUS_NOT_IMPLEMENTED);
	/* Upgrade requests are ignored, as no other protocol is supported. */
	http->upgrade = 0;
	if (http->content_length != UINT64_MAX &&
	    http->content_length > parser->body_max && !without_body)
		return fail_message(parser, STATUS_BODY_TOO_LARGE);
	return without_body ? CALLBACK_SKIP_BODY : CALLBACK_CONTINUE;
}

/* Takes what the body needs to grow by @size bytes from the budget. Returns
 * false when there is not enough left. */
static bool take_budget(h1_parser_t *parser, size_t size)
{
	size_t growth = h1_buffer_growth(&parser->body, size);
	h1_budget_t *budget = parser->budget;

	if (!budget || parser->body.size + size <= BODY_FREE_MAX)
		return true;
	if (growth > budget->max - budget->used)
		return false;
	budget->used += growth;
	parser->taken += growth;
	return true;
}

static void return_budget(h1_parser_t *parser)
{
	if (parser->budget)
		parser->budget->used -= parser->taken;
	parser->taken = 0;
}

static int on_body(http_parser *http, const char *data, size_t size)
{
	h1_parser_t *parser = http->data;

	if (check_part(parser, FRAMING_PART_BODY, data, size))
		return CALLBACK_ABORT;
	if (size > parser->body_max - parser->body.size ||
	    !take_budget(parser, size) ||
	    h1_buffer_append(&parser->body, data, size))
		return fail_message(parser, STATUS_BODY_TOO_LARGE);
	return CALLBACK_CONTINUE;
}

static int on_message_complete(http_parser *http)
{
	h1_parser_t *parser = http->data;

	parser->complete = true;
	http_parser_pause(http, 1);
	return CALLBACK_CONTINUE;
}

static const http_parser_settings callbacks = {
	.on_url = on_uri,
	.on_status = on_reason,
	.on_header_field = on_header_field,
	.on_header_value = on_header_value,
	.on_headers_complete = on_headers_complete,
	.on_body = on_body,
	.on_message_complete = on_message_complete,
};

void h1_parser_reset(h1_parser_t *parser, bool request, size_t head_max,
		     size_t body_max)
{
	http_parser_init(&parser->http, request ? HTTP_REQUEST : HTTP_RESPONSE);
	parser->http.data = parser;
	h1_framing_reset(&parser->framing, request);
	parser->head_max = head_max;
	parser->body_max = body_max;
	parser->head_size = 0;
	return_budget(parser);
	h1_buffer_clear(&parser->text);
	h1_buffer_clear(&parser->body);
	parser->header_count = 0;
	parser->in_value = false;
	parser->started = false;
	parser->head_complete = false;
	parser->no_body = false;
	parser->complete = false;
	parser->error_status = 0;
}

size_t h1_parser_feed(h1_parser_t *parser, const char *data, size_t size)
{
	h1_framing_t *framing = &parser->framing;
	size_t used;

	if (!size || parser->complete || parser->error_status)
		return 0;
	parser->started = true;
	framing->next = data;
	used = http_parser_execute(&parser->http, &callbacks, data, size);
	if (used > size)
		used = size;
	if (parser->error_status)
		return used;
	if ((!parser->complete && HTTP_PARSER_ERRNO(&parser->http) != HPE_OK) ||
	    !h1_framing_between(framing, data + used) ||
	    (parser->complete && !h1_framing_is_end(framing))) {
		parser->complete = false;
		parser->error_status = STATUS_BAD_REQUEST;
	}
	return used;
}

void h1_parser_finish(h1_parser_t *parser)
{
	if (parser->complete || parser->error_status || !parser->started)
		return;
	http_parser_execute(&parser->http, &callbacks, NULL, 0);
	if (!parser->complete && !parser->error_status)
		parser->error_status = STATUS_BAD_REQUEST;
}

/* Bytes of the body that a response to a HEAD request leaves out. */
static size_t omitted_size(const h1_parser_t *parser)
{
	if (!parser->no_body)
		return 0;
	return parser->http.content_length == UINT64_MAX
		       ? MC_H1_SIZE_UNKNOWN
		       : (size_t)parser->http.content_length;
}

mc_h1_message_t h1_parser_message(h1_parser_t *parser)
{
	bool request = parser->http.type == HTTP_REQUEST;
	uint32_t i;

	for (i = 0; i < parser->header_count; i++) {
		const h1_header_offsets_t *offsets = &parser->offsets[i];

		parser->headers[i] = (mc_h1_header_t){
			.name = parser->text.data + offsets->name,
			.value = offsets->value
					 ? parser->text.data + offsets->value
					 : "",
		};
	}
	return (mc_h1_message_t){
		.method = request ? http_method_str(parser->http.method) : NULL,
		.uri = request ? parser->text.data : NULL,
		.status = request ? 0 : (int)parser->http.status_code,
		.header_count = parser->header_count,
		.headers = parser->headers,
		.body = parser->body.size ? parser->body.data : "",
		.body_size = parser->body.size,
		.omitted_size = omitted_size(parser),
		.keep_alive = parser->framing.keep_alive,
	};
}

void h1_parser_free(h1_parser_t *parser)
{
	return_budget(parser);
	h1_buffer_free(&parser->text);
	h1_buffer_free(&parser->body);
}

const char *mc_h1_get_header(const mc_h1_message_t *message, const char *name)
{
	uint32_t i;

	for (i = 0; i < message->header_count; i++)
		if (!strcasecmp(message->headers[i].name, name))
			return message->headers[i].value;
	return NULL;
}
