/*
 * Responses to callers: a target's response forwarded, a response merged from
 * records, or an error of the tier from the table of error kinds.
 */
#include "tier_private.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "head.h"
#include "reachability.h"

enum {
	LINES_SIZE = 256,
	STATUS_OK = 200,
	STATUS_UNAUTHORIZED = 401,
	MS_PER_S = 1000,
	SIGNATURES_INITIAL_SIZE = 1024,
};

void reply_error(tier_t *tier, mc_handle_t caller, mc_err_t err,
		 mc_ms_t retry_after)
{
	const mc_error_response_t *kind = mc_error_response(err);
	char lines[LINES_SIZE] = "";
	mc_h1_response_t response = {
		.status = kind->http_status,
		.header_lines = lines,
		.body = kind->name,
		.body_size = strlen(kind->name),
		/* A caller that reconnects may reach another instance. */
		.close = err == MC_ERR_CUT_OFF || reachability_is_cut_off(tier),
	};

	mc_counter_add(mc_shard_counters(tier->shard), MC_COUNTER_REFUSALS, 1);
	if (!retry_after)
		retry_after = kind->retry_after;
	if (kind->not_run && retry_after)
		snprintf(lines, sizeof(lines), "Retry-After: %lld.%03lld\r\n",
			 (long long)(retry_after / MS_PER_S),
			 (long long)(retry_after % MS_PER_S));
	if (kind->http_status == STATUS_UNAUTHORIZED)
		snprintf(lines, sizeof(lines), "WWW-Authenticate: %s\r\n",
			 tier->protocol->key_challenge);
	mc_h1_respond(tier->h1, caller, &response);
}

/* Returns the header lines of a target's response that are forwarded to the
 * caller, to be freed with free(); NULL if out of memory. */
static char *forwarded_headers(const tier_t *tier,
			       const mc_h1_message_t *message)
{
	size_t size = 1;
	char *lines, *at;
	uint32_t i;

	for (i = 0; i < message->header_count; i++)
		size += strlen(message->headers[i].name) +
			strlen(message->headers[i].value) + strlen(": \r\n");
	lines = malloc(size);
	if (!lines)
		return NULL;
	at = lines;
	*at = '\0';
	for (i = 0; i < message->header_count; i++) {
		const mc_h1_header_t *header = &message->headers[i];

		if (tier->protocol->forwards_response_header(header->name) &&
		    !head_is_hop_by_hop(message, header->name))
			at += sprintf(at, "%s: %s\r\n", header->name,
				      header->value);
	}
	return lines;
}

void reply_forward(request_t *request, const mc_h1_message_t *message)
{
	tier_t *tier = request->tier;
	char *lines = forwarded_headers(tier, message);
	const mc_h1_response_t response = {
		.status = message->status,
		.header_lines = lines,
		.body = message->body,
		.body_size = message->omitted_size ? message->omitted_size
						   : message->body_size,
		.close = reachability_is_cut_off(tier),
	};

	if (lines)
		mc_h1_respond(tier->h1, request->caller, &response);
	else
		reply_error(tier, request->caller, MC_ERR_OUTCOME_UNKNOWN, 0);
	free(lines);
}

mc_err_t reply_add_signature(request_t *request, const char *signature)
{
	size_t size = strlen(signature);
	size_t wanted = request->signatures_size + size + strlen(", ") + 1;
	size_t capacity = request->signatures_capacity
				  ? request->signatures_capacity
				  : SIGNATURES_INITIAL_SIZE;
	char *grown;

	if (wanted > request->signatures_capacity) {
		while (capacity < wanted)
			capacity *= 2;
		grown = realloc(request->signatures, capacity);
		if (!grown)
			return mc_fail(
				MC_ERR_NO_MEMORY,
				"out of memory for the signatures of a response");
		request->signatures = grown;
		request->signatures_capacity = capacity;
	}
	request->signatures_size += (size_t)sprintf(
		request->signatures + request->signatures_size, "%s%s",
		request->signatures_size ? ", " : "", signature);
	return MC_OK;
}

void reply_merge(request_t *request)
{
	tier_t *tier = request->tier;
	const char *name = tier->protocol->signatures_header;
	const mc_records_progress_t *progress = &request->progress;
	size_t size = request->signatures_size + strlen(name) + LINES_SIZE;
	char *lines = malloc(size);
	mc_h1_response_t response = {
		.status = STATUS_OK,
		.header_lines = lines,
		.close = reachability_is_cut_off(tier),
	};
	size_t used;

	if (!lines) {
		reply_error(tier, request->caller, MC_ERR_OUTCOME_UNKNOWN, 0);
		return;
	}
	used = (size_t)snprintf(lines, size, "%s: %s\r\n", name,
				request->signatures);
	tier->protocol->write_missing_parts_header(lines + used, size - used,
						   progress->total -
							   progress->received);
	mc_records_sort(&request->records);
	response.body = (const char *)request->records.rows;
	response.body_size = (size_t)request->records.count * MC_RECORD_SIZE;
	/* The answers to HEAD requests hold no records. */
	if (!strcmp(request->message.method, "HEAD"))
		response.body_size = MC_H1_SIZE_UNKNOWN;
	mc_h1_respond(tier->h1, request->caller, &response);
	free(lines);
}
