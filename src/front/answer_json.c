/*
 * Encodes responses to callers as JSON. This file only encodes; all decisions
 * are made by its callers.
 */
#include "front_private.h"

#include <stdlib.h>
#include <string.h>

enum {
	ASCII_MAX = 0x7f,
};

static const char content_type[] = "application/json";

static const char *service_name(const query_t *query, uint32_t slot)
{
	const service_part_t *part = &query->parts[query->slots[slot].part];

	return query->view->config->services[part->service].name;
}

static json_t *encode_snapshots(const query_t *query)
{
	const mc_config_t *config = query->view->config;
	json_t *snapshots = json_object();
	uint32_t i;

	for (i = 0; i < query->part_count; i++) {
		const service_part_t *part = &query->parts[i];

		json_object_set_new(
			snapshots, config->services[part->service].name,
			json_string(config->snapshots[part->snapshot].id));
	}
	return snapshots;
}

static json_t *encode_coverage(mc_coverage_t coverage)
{
	return json_pack(
		"{s:I, s:I, s:I, s:I}", "shards_answered",
		(json_int_t)coverage.shards_answered, "shards_total",
		(json_int_t)coverage.shards_total, "documents_answered",
		(json_int_t)coverage.documents_answered, "documents_total",
		(json_int_t)coverage.documents_total);
}

static json_t *encode_missing(const query_t *query)
{
	json_t *missing = json_array();
	uint32_t i;

	for (i = 0; i < query->slot_count; i++) {
		mc_err_t reason = mc_answer_missing_reason(query->answer, i);

		if (mc_answer_has_result(query->answer, i))
			continue;
		json_array_append_new(
			missing, json_pack("{s:s, s:I, s:s}", "service",
					   service_name(query, i), "shard",
					   (json_int_t)query->slots[i].shard,
					   "reason", mc_error_name(reason)));
	}
	return missing;
}

static json_t *encode_hits(const query_t *query)
{
	json_t *hits = json_array();
	const mc_hit_t *list;
	uint32_t count;
	uint32_t i;

	list = mc_answer_close(query->answer, &count);
	for (i = 0; i < count; i++)
		json_array_append_new(
			hits,
			json_pack(
				"{s:s, s:f, s:s, s:I}", "id", list[i].id,
				"score", list[i].score, "service",
				service_name(query, list[i].slot), "shard",
				(json_int_t)query->slots[list[i].slot].shard));
	return hits;
}

char *answer_encode_json(const query_t *query, mc_coverage_t coverage)
{
	bool complete = coverage.shards_answered == coverage.shards_total;
	json_t *root = json_pack(
		"{s:s, s:o, s:b, s:o, s:o, s:o}", "request", query->id,
		"snapshot", encode_snapshots(query), "complete", complete,
		"coverage", encode_coverage(coverage), "missing",
		encode_missing(query), "hits", encode_hits(query));
	char *text = json_dumps(root, JSON_COMPACT);

	json_decref(root);
	return text;
}

void front_reply_json(front_t *front, mc_handle_t exchange, int status,
		      const char *text)
{
	mc_http_reply(front->shard, exchange, status, content_type, text,
		      strlen(text));
}

/*
 * Encodes an error message. It may quote bytes of the caller or end within a
 * character; if it is not valid UTF-8, which JSON needs, all that is not ASCII
 * is replaced.
 */
static json_t *encode_message(const char *message)
{
	json_t *encoded = json_string(message);
	char *text, *at;

	if (encoded)
		return encoded;
	text = strdup(message);
	for (at = text; at && *at; at++)
		if ((unsigned char)*at > ASCII_MAX)
			*at = '?';
	encoded = json_string(text);
	free(text);
	return encoded;
}

void front_reply_error(front_t *front, mc_handle_t exchange, mc_err_t err,
		       const char *message, mc_ms_t retry_after)
{
	const mc_error_response_t *answer = mc_error_response(err);
	json_t *root;
	char *text;

	if (retry_after < 0)
		retry_after = answer->retry_after;
	root = json_pack("{s:{s:s, s:o, s:b, s:I}}", "error", "kind",
			 answer->name, "message", encode_message(message),
			 "not_run", answer->not_run, "retry_after_ms",
			 (json_int_t)retry_after);
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	mc_counter_add(mc_shard_counters(front->shard), MC_COUNTER_REFUSALS, 1);
	if (text)
		front_reply_json(front, exchange, answer->http_status, text);
	free(text);
}
