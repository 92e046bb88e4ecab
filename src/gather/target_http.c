/*
 * Encodes requests to targets and decodes their responses. This file only
 * converts; all decisions are made by its callers.
 */
#include "gather_private.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
	URL_SIZE = 128,
	HEADER_SIZE = 64,
	TIMEOUT_MIN_MS = 1,
};

mc_err_t target_http_send(gather_t *gather, const target_t *target,
			  const char *path, const char *body, mc_ms_t timeout,
			  bool once, mc_http_done_fn_t done, void *ctx,
			  mc_handle_t *handle)
{
	char url[URL_SIZE];
	char deadline[HEADER_SIZE];
	mc_http_request_t request = {
		.method = body ? "POST" : "GET",
		.url = url,
		.header_count = body ? 2 : 0,
		.headers = { deadline, "Content-Type: application/json" },
		.body = body,
		.body_size = body ? strlen(body) : 0,
		.timeout = timeout < TIMEOUT_MIN_MS ? TIMEOUT_MIN_MS : timeout,
		.send_once = once,
	};

	snprintf(url, sizeof(url), "http://%s%s", target->address, path);
	snprintf(deadline, sizeof(deadline), "Deadline-Ms: %lld",
		 (long long)request.timeout);
	return mc_http_send(gather->shard, &request, done, ctx, handle);
}

static json_t *encode_sub_query(const sub_query_t *sub, mc_ms_t now)
{
	const mc_wire_query_t *query = &sub->shared->message->query;
	json_t *text = json_loads(query->query, JSON_DECODE_ANY, NULL);

	return json_pack("{s:s, s:i, s:s, s:o, s:i, s:I}", "request",
			 query->request, "shard", (int)sub->shard, "snapshot",
			 query->snapshot, "query", text ? text : json_null(),
			 "limit", (int)query->limit, "deadline_ms",
			 (json_int_t)(sub->deadline - now));
}

char *target_http_encode_search(gather_t *gather, const mc_handle_t *subs,
				uint32_t count)
{
	mc_ms_t now = mc_shard_now(gather->shard);
	json_t *queries = json_array();
	json_t *root = json_pack("{s:o}", "queries", queries);
	char *body;
	uint32_t i;

	for (i = 0; i < count; i++) {
		const sub_query_t *sub =
			mc_table_get(gather->sub_queries, subs[i]);

		if (sub)
			json_array_append_new(queries,
					      encode_sub_query(sub, now));
	}
	body = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	return body;
}

char *target_http_encode_run(const mc_wire_run_t *run)
{
	json_t *query = json_loads(run->query, JSON_DECODE_ANY, NULL);
	json_t *root =
		json_pack("{s:s, s:s, s:o}", "request", run->request, "key",
			  run->key, "query", query ? query : json_null());
	char *body = json_dumps(root, JSON_COMPACT);

	json_decref(root);
	return body;
}

char *target_http_encode_cancel(gather_t *gather, const mc_handle_t *subs,
				uint32_t count)
{
	json_t *requests = json_array();
	json_t *root = json_pack("{s:o}", "requests", requests);
	char *body;
	uint32_t i;

	for (i = 0; i < count; i++) {
		const sub_query_t *sub =
			mc_table_get(gather->sub_queries, subs[i]);

		if (sub)
			json_array_append_new(
				requests,
				json_pack("{s:s, s:i}", "request",
					  sub->shared->message->query.request,
					  "shard", (int)sub->shard));
	}
	body = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	return body;
}

const json_t *target_http_find_entry(const json_t *answers, const char *request,
				     uint32_t shard)
{
	const json_t *entry;
	size_t i;

	for (i = 0; i < json_array_size(answers); i++) {
		const char *id;
		const json_t *number;

		entry = json_array_get(answers, i);
		id = json_string_value(json_object_get(entry, "request"));
		number = json_object_get(entry, "shard");
		if (id && !strcmp(id, request) && json_is_integer(number) &&
		    json_integer_value(number) == (json_int_t)shard)
			return entry;
	}
	return NULL;
}

static mc_err_t error_from_name(const char *name)
{
	static const struct {
		const char *name;
		mc_err_t err;
	} errors[] = {
		{ "shed", MC_ERR_TARGET_SHED },
		{ "draining", MC_ERR_TARGET_DRAINING },
		{ "snapshot", MC_ERR_WRONG_SNAPSHOT },
		{ "deadline", MC_ERR_DEADLINE_EXCEEDED },
	};
	size_t i;

	for (i = 0; i < MC_ARRAY_LEN(errors); i++)
		if (!strcmp(errors[i].name, name))
			return errors[i].err;
	return MC_ERR_TARGET_FAILED;
}

static bool read_hit(const json_t *entry, mc_hit_t *hit)
{
	const json_t *score = json_object_get(entry, "score");
	const char *id = json_string_value(json_object_get(entry, "id"));

	if (!id || !json_is_number(score))
		return false;
	*hit = (mc_hit_t){ .id = id, .score = json_number_value(score) };
	return isfinite(hit->score);
}

void target_http_decode_result(const json_t *entry, mc_wire_result_t *result,
			       mc_hit_t *hits, uint32_t max_hits)
{
	const char *error = json_string_value(json_object_get(entry, "error"));
	const char *snapshot =
		json_string_value(json_object_get(entry, "snapshot"));
	const json_t *list = json_object_get(entry, "hits");
	size_t i;

	result->err = MC_ERR_TARGET_FAILED;
	if (error) {
		result->err = error_from_name(error);
		return;
	}
	if (!snapshot || !json_is_array(list))
		return;
	for (i = 0; i < json_array_size(list); i++) {
		if (result->hit_count == max_hits)
			break;
		if (!read_hit(json_array_get(list, i),
			      &hits[result->hit_count]))
			return;
		result->hit_count++;
	}
	result->err = MC_OK;
	result->snapshot = snapshot;
	result->hits = hits;
}
