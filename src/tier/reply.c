/*
 * What callers are told: a target's answer as it came, an answer merged from
 * records, or an error of our own from the one table of kinds.
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
	MS_PER_S = 1000,
	SIGNATURES_AT_FIRST = 1024,
};

void reply_refuse(tier_t *tier, mc_handle_t caller, mc_err_t err)
{
	const mc_error_response_t *kind = mc_error_response(err);
	char lines[LINES_SIZE] = "";
	mc_h1_response_t answer = {
		.status = kind->http_status,
		.header_lines = lines,
		.body = kind->name,
		.body_size = strlen(kind->name),
		/* A caller that connects anew may come to another instance. */
		.close = err == MC_ERR_CUT_OFF || reach_cut_off(tier),
	};

	mc_counter_add(mc_shard_counters(tier->shard), MC_COUNTER_REFUSALS, 1);
	if (kind->not_run && kind->retry_after)
		snprintf(lines, sizeof(lines), "Retry-After: %lld.%03lld\r\n",
			 (long long)(kind->retry_after / MS_PER_S),
			 (long long)(kind->retry_after % MS_PER_S));
	mc_h1_respond(tier->h1, caller, &answer);
}

/* Header lines of a target's answer that go on to the caller. */
static char *lines_of(const tier_t *tier, const mc_h1_message_t *message)
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

		if (tier->dialect->forwards_response_header(header->name) &&
		    !head_is_hop(message, header->name))
			at += sprintf(at, "%s: %s\r\n", header->name,
				      header->value);
	}
	return lines;
}

void reply_forward(request_t *request, const mc_h1_message_t *message)
{
	tier_t *tier = request->tier;
	char *lines = lines_of(tier, message);
	const mc_h1_response_t answer = {
		.status = message->status,
		.header_lines = lines,
		.body = message->body,
		.body_size = message->body_size,
		.close = reach_cut_off(tier),
	};

	if (lines)
		mc_h1_respond(tier->h1, request->caller, &answer);
	else
		reply_refuse(tier, request->caller, MC_ERR_OUTCOME_UNKNOWN);
	free(lines);
}

mc_err_t reply_add_signature(request_t *request, const char *signature)
{
	size_t size = strlen(signature);
	size_t wanted = request->signatures_size + size + strlen(", ") + 1;
	size_t capacity = request->signatures_capacity
				  ? request->signatures_capacity
				  : SIGNATURES_AT_FIRST;
	char *grown;

	if (wanted > request->signatures_capacity) {
		while (capacity < wanted)
			capacity *= 2;
		grown = realloc(request->signatures, capacity);
		if (!grown)
			return mc_fail(MC_ERR_NO_MEMORY,
				       "no memory for signatures");
		request->signatures = grown;
		request->signatures_capacity = capacity;
	}
	request->signatures_size += (size_t)sprintf(
		request->signatures + request->signatures_size, "%s%s",
		request->signatures_size ? ", " : "", signature);
	return MC_OK;
}

void reply_merged(request_t *request)
{
	tier_t *tier = request->tier;
	const char *name = tier->dialect->signatures_header;
	const mc_records_progress_t *coming = &request->coming;
	size_t size = request->signatures_size + strlen(name) + LINES_SIZE;
	char *lines = malloc(size);
	mc_h1_response_t answer = {
		.status = STATUS_OK,
		.header_lines = lines,
		.close = reach_cut_off(tier),
	};
	size_t used;

	if (!lines) {
		reply_refuse(tier, request->caller, MC_ERR_OUTCOME_UNKNOWN);
		return;
	}
	used = (size_t)snprintf(lines, size, "%s: %s\r\n", name,
				request->signatures);
	tier->dialect->write_missing_parts_header(
		lines + used, size - used, coming->total - coming->received);
	mc_records_sort(&request->records);
	answer.body = (const char *)request->records.rows;
	answer.body_size = (size_t)request->records.count * MC_RECORD_SIZE;
	mc_h1_respond(tier->h1, request->caller, &answer);
	free(lines);
}
