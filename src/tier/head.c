/*
 * Builds the head of a request for targets: the caller's header lines without
 * hop-by-hop headers and those that the platform's protocol does not forward,
 * and the name of the request's customer, which is the same for all targets.
 * The lines specific to a target are appended when the request is sent.
 */
#include "tier_private.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "head.h"

/* Whether the value of a Connection line names the header. */
static bool names_header(const char *tokens, const char *name, size_t size)
{
	while (*tokens) {
		tokens += strspn(tokens, " ,\t");
		if (!strncasecmp(tokens, name, size) &&
		    strchr(" ,\t", tokens[size]))
			return true;
		tokens += strcspn(tokens, ",");
	}
	return false;
}

bool head_is_hop_by_hop(const mc_h1_message_t *message, const char *name)
{
	static const char *const hop_by_hop[] = {
		"Connection",
		"Keep-Alive",
		"Proxy-Connection",
		"TE",
		"Trailer",
		"Transfer-Encoding",
		"Upgrade",
		"Content-Length",
		"Proxy-Authenticate",
		"Expect",
		"Proxy-Authorization",
	};
	size_t size = strlen(name);
	size_t i;

	for (i = 0; i < MC_ARRAY_LEN(hop_by_hop); i++)
		if (!strcasecmp(hop_by_hop[i], name))
			return true;
	/* Headers named in a Connection header, of which there may be several,
	 * are hop-by-hop too. */
	for (i = 0; i < message->header_count; i++)
		if (!strcasecmp(message->headers[i].name, hop_by_hop[0]) &&
		    names_header(message->headers[i].value, name, size))
			return true;
	return false;
}

static bool is_forwarded(const tier_t *tier, const mc_h1_message_t *message,
			 const char *name)
{
	return tier->protocol->forwards_request_header(name) &&
	       !head_is_hop_by_hop(message, name);
}

static size_t max_head_size(const request_t *request)
{
	static const char fixed[] = "  HTTP/1.1\r\nContent-Length: "
				    "18446744073709551615\r\n";
	const mc_h1_message_t *message = &request->message;
	size_t size =
		sizeof(fixed) + strlen(message->method) + strlen(message->uri);
	uint32_t i;

	if (request->customer)
		size += strlen(request->tier->protocol->customer_header) +
			strlen(request->customer->name) + strlen(": \r\n");
	for (i = 0; i < message->header_count; i++)
		size += strlen(message->headers[i].name) +
			strlen(message->headers[i].value) + strlen(": \r\n");
	return size;
}

static bool has_body(const mc_h1_message_t *message)
{
	return message->body_size ||
	       mc_h1_get_header(message, "Content-Length") ||
	       mc_h1_get_header(message, "Transfer-Encoding");
}

mc_err_t head_build(request_t *request)
{
	const mc_h1_message_t *message = &request->message;
	char *at = malloc(max_head_size(request));
	uint32_t i;

	if (!at)
		return mc_fail(MC_ERR_NO_MEMORY,
			       "out of memory for a request head");
	request->head = at;
	at = stpcpy(at, message->method);
	*at++ = ' ';
	at = stpcpy(at, message->uri);
	at = stpcpy(at, " HTTP/1.1\r\n");
	for (i = 0; i < message->header_count; i++) {
		const mc_h1_header_t *header = &message->headers[i];

		if (!is_forwarded(request->tier, message, header->name))
			continue;
		at = stpcpy(at, header->name);
		at = stpcpy(at, ": ");
		at = stpcpy(at, header->value);
		at = stpcpy(at, "\r\n");
	}
	if (request->customer)
		at += sprintf(at, "%s: %s\r\n",
			      request->tier->protocol->customer_header,
			      request->customer->name);
	if (has_body(message))
		at += sprintf(at, "Content-Length: %zu\r\n",
			      message->body_size);
	request->head_size = (size_t)(at - request->head);
	return MC_OK;
}
