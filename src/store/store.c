/*
 * Client for the platform's object store over HTTP. A call in progress is a
 * record in the client's table. It ends exactly once: with its response, or
 * with the destruction of the client, in which case its handler is not called.
 * set_result() is the only place that maps HTTP statuses to errors.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mc/store.h"

enum {
	MAX_CALLS_IN_PROGRESS = 4096,
	HEADER_SIZE = 64,
	/* Bytes for "http://ADDRESS/objects/" and the query part of a URL. */
	URL_RESERVE = 192,
	/* Length of "%XX", the percent-encoding of one byte. */
	PERCENT_ENCODED_SIZE = 3,
	STATUS_OK = 200,
	STATUS_CREATED = 201,
	STATUS_NOT_MODIFIED = 304,
	STATUS_NOT_FOUND = 404,
	STATUS_PRECONDITION_FAILED = 412,
	STATUS_SERVER_ERROR = 500,
};

typedef enum call_kind_t {
	CALL_READ,
	CALL_WATCH,
	CALL_WRITE,
	CALL_LIST,
} call_kind_t;

/**
 * struct call_t - a call in progress
 * @store: client that made the call
 * @self: handle in the client's table
 * @http: handle of the HTTP request
 * @kind: operation
 * @done: handler of the result
 * @ctx: argument for @done
 */
typedef struct call_t {
	mc_store_t *store;
	mc_handle_t self;
	mc_handle_t http;
	call_kind_t kind;
	mc_store_done_fn_t done;
	void *ctx;
} call_t;

struct mc_store_t {
	mc_shard_t *shard;
	mc_ms_t timeout;
	mc_table_t *calls;
	char address[64];
};

static bool is_unescaped(char c)
{
	return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
	       (c >= '0' && c <= '9') || (c && strchr("-._~/", c));
}

/* Writes the percent-encoded name and returns its end. */
static char *encode_name(char *out, const char *name)
{
	for (; *name; name++) {
		if (is_unescaped(*name)) {
			*out++ = *name;
			continue;
		}
		snprintf(out, PERCENT_ENCODED_SIZE + 1, "%%%02X",
			 (unsigned char)*name);
		out += PERCENT_ENCODED_SIZE;
	}
	return out;
}

/* Returns the URL of an object, to be freed; NULL if memory is exhausted. */
static char *object_url(const mc_store_t *store, const char *name,
			const char *query)
{
	size_t size = strlen(name) * PERCENT_ENCODED_SIZE + URL_RESERVE;
	char *url = malloc(size);
	char *end;

	if (!url)
		return NULL;
	end = url + snprintf(url, size, "http://%s/objects/", store->address);
	end = encode_name(end, name);
	snprintf(end, size - (size_t)(end - url), "%s", query);
	return url;
}

/* Parses the version in an ETag; returns 0 if it is not a number. */
static uint64_t parse_version(const char *etag)
{
	char *end;
	uint64_t version = strtoull(etag, &end, 10);

	return *end ? 0 : version;
}

static void set_success(const call_t *call, const mc_http_response_t *response,
			mc_store_result_t *result)
{
	result->version = parse_version(response->etag);
	if (!result->version && call->kind != CALL_LIST) {
		result->err = mc_fail(MC_ERR_STORE_UNAVAILABLE,
				      "store's response has no version");
		result->may_have_applied = call->kind == CALL_WRITE;
		return;
	}
	result->err = MC_OK;
	if (call->kind == CALL_WRITE)
		return;
	result->data = response->body;
	result->size = response->body_size;
}

/*
 * A write with a status below 500 was certainly rejected. With a status of 500
 * or above, or an error after the request may have been sent, it may have been
 * applied.
 */
static void set_failure(const call_t *call, const mc_http_response_t *response,
			mc_store_result_t *result)
{
	bool may_have_applied =
		response->err ? response->maybe_sent
			      : response->status >= STATUS_SERVER_ERROR;

	result->may_have_applied = may_have_applied && call->kind == CALL_WRITE;
	result->err = mc_fail(MC_ERR_STORE_UNAVAILABLE,
			      "call to the store failed: %s, HTTP status %d",
			      mc_error_name(response->err), response->status);
}

static void set_result(const call_t *call, const mc_http_response_t *response,
		       mc_store_result_t *result)
{
	int status = response->err ? 0 : response->status;
	bool write = call->kind == CALL_WRITE;

	if (status == STATUS_OK || (write && status == STATUS_CREATED))
		set_success(call, response, result);
	else if (status == STATUS_NOT_MODIFIED && call->kind == CALL_WATCH)
		result->err = MC_ERR_TIMED_OUT;
	else if (status == STATUS_NOT_FOUND && !write)
		result->err = MC_ERR_NOT_FOUND;
	else if (status == STATUS_PRECONDITION_FAILED && write)
		result->err = MC_ERR_CONFLICT;
	else
		set_failure(call, response, result);
}

static void on_response(void *ctx, const mc_http_response_t *response)
{
	const call_t call = *(call_t *)ctx;
	mc_store_t *store = call.store;
	mc_store_result_t result = { .data = "" };

	/* Removed first: the handler may start calls or destroy the client. */
	mc_table_remove(store->calls, call.self);
	set_result(&call, response, &result);
	if (result.err == MC_ERR_STORE_UNAVAILABLE)
		mc_counter_add(mc_shard_counters(store->shard),
			       MC_COUNTER_STORE_FAILURES, 1);
	call.done(call.ctx, &result);
}

static mc_err_t start_call(mc_store_t *store, const call_t *params,
			   const mc_http_request_t *request)
{
	mc_handle_t self;
	void *record;
	call_t *call;
	mc_err_t err;

	err = mc_table_add(store->calls, &self, &record);
	if (err)
		return err;
	call = record;
	*call = *params;
	call->store = store;
	call->self = self;
	err = mc_http_send(store->shard, request, on_response, call,
			   &call->http);
	if (err) {
		mc_table_remove(store->calls, self);
		return err;
	}
	mc_counter_add(mc_shard_counters(store->shard), MC_COUNTER_STORE_CALLS,
		       1);
	return MC_OK;
}

static mc_err_t http_get(mc_store_t *store, const call_t *params,
			 const char *url, mc_ms_t timeout)
{
	mc_http_request_t request = {
		.method = "GET",
		.url = url,
		.timeout = timeout,
	};

	return start_call(store, params, &request);
}

static mc_err_t http_read(mc_store_t *store, const char *name,
			  mc_store_done_fn_t done, void *ctx)
{
	call_t params = { .kind = CALL_READ, .done = done, .ctx = ctx };
	char *url = object_url(store, name, "");
	mc_err_t err;

	if (!url)
		return mc_fail(MC_ERR_NO_MEMORY,
			       "out of memory while building a URL");
	err = http_get(store, &params, url, store->timeout);
	free(url);
	return err;
}

static mc_err_t http_watch(mc_store_t *store, const char *name, uint64_t above,
			   mc_ms_t wait, mc_store_done_fn_t done, void *ctx)
{
	call_t params = { .kind = CALL_WATCH, .done = done, .ctx = ctx };
	char query[HEADER_SIZE];
	char *url;
	mc_err_t err;

	snprintf(query, sizeof(query), "?above=%" PRIu64 "&wait_ms=%" PRId64,
		 above, wait);
	url = object_url(store, name, query);
	if (!url)
		return mc_fail(MC_ERR_NO_MEMORY,
			       "out of memory while building a URL");
	err = http_get(store, &params, url, wait + store->timeout);
	free(url);
	return err;
}

/*
 * A write is never resent. If it were sent again after a broken connection, it
 * could find the version that the first copy wrote, and a write that took
 * effect would be reported as MC_ERR_CONFLICT.
 */
static mc_err_t http_put(mc_store_t *store, const char *name,
			 const char *condition, const char *data, size_t size,
			 mc_store_done_fn_t done, void *ctx)
{
	call_t params = { .kind = CALL_WRITE, .done = done, .ctx = ctx };
	mc_http_request_t request = {
		.method = "PUT",
		.header_count = 1,
		.headers = { condition },
		.body = data,
		.body_size = size,
		.timeout = store->timeout,
		.send_once = true,
	};
	char *url = object_url(store, name, "");
	mc_err_t err;

	if (!url)
		return mc_fail(MC_ERR_NO_MEMORY,
			       "out of memory while building a URL");
	request.url = url;
	err = start_call(store, &params, &request);
	free(url);
	return err;
}

static mc_err_t http_create(mc_store_t *store, const char *name,
			    const char *data, size_t size,
			    mc_store_done_fn_t done, void *ctx)
{
	return http_put(store, name, "If-None-Match: *", data, size, done, ctx);
}

static mc_err_t http_update(mc_store_t *store, const char *name,
			    uint64_t expected, const char *data, size_t size,
			    mc_store_done_fn_t done, void *ctx)
{
	char condition[HEADER_SIZE];

	snprintf(condition, sizeof(condition), "If-Match: \"%" PRIu64 "\"",
		 expected);
	return http_put(store, name, condition, data, size, done, ctx);
}

static mc_err_t http_list(mc_store_t *store, mc_store_done_fn_t done, void *ctx)
{
	call_t params = { .kind = CALL_LIST, .done = done, .ctx = ctx };
	char url[URL_RESERVE];

	snprintf(url, sizeof(url), "http://%s/instances", store->address);
	return http_get(store, &params, url, store->timeout);
}

const mc_store_api_t *mc_store_http_api(void)
{
	static const mc_store_api_t api = {
		.read = http_read,
		.watch = http_watch,
		.create = http_create,
		.update = http_update,
		.list_instances = http_list,
	};

	return &api;
}

mc_store_t *mc_store_create(mc_shard_t *shard, const char *address,
			    mc_ms_t timeout)
{
	mc_store_t *store = calloc(1, sizeof(*store));

	if (!store)
		return NULL;
	store->shard = shard;
	store->timeout = timeout;
	snprintf(store->address, sizeof(store->address), "%s", address);
	store->calls = mc_table_create(sizeof(call_t), MAX_CALLS_IN_PROGRESS);
	if (!store->calls) {
		free(store);
		return NULL;
	}
	return store;
}

void mc_store_destroy(mc_store_t *store)
{
	uint32_t cursor = 0;
	mc_handle_t handle;
	call_t *call;

	if (!store)
		return;
	while ((call = mc_table_next(store->calls, &cursor, &handle)))
		mc_http_cancel(store->shard, call->http);
	mc_table_destroy(store->calls);
	free(store);
}
