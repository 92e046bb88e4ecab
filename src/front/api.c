/*
 * The HTTP interface for callers: a table that maps method and path to a
 * handler.
 */
#include "front_private.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

typedef struct {
	const char *method;
	const char *path;
	void (*handle)(front_t *front, const mc_http_exchange_t *exchange);
} api_route_t;

void front_make_request_id(front_t *front, char id[FRONT_REQUEST_ID_SIZE])
{
	snprintf(id, FRONT_REQUEST_ID_SIZE, "%016llx-%u-%llu",
		 (unsigned long long)front->request_id_prefix,
		 mc_shard_index(front->shard),
		 (unsigned long long)front->next_request++);
}

mc_err_t front_check_ready(const front_t *front)
{
	mc_ms_t now = mc_shard_now(front->shard);

	if (!front->view || !front->router || !front->view->config->version)
		return mc_fail(MC_ERR_NOT_READY,
			       "no configuration received yet");
	if (now - front->view_confirmed_at > MC_VIEW_AGE_MAX_MS)
		return mc_fail(MC_ERR_NOT_READY,
			       "the view of the cluster is out of date");
	return MC_OK;
}

/* Returns MC_OK if a request that has arrived can be served. */
static mc_err_t check_accepting(const front_t *front)
{
	mc_err_t err = front_check_stopping(front);

	return err ? err : front_check_ready(front);
}

static void count_bad_input(front_t *front, mc_err_t err)
{
	if (err != MC_ERR_NOT_READY && err != MC_ERR_STOPPING)
		mc_counter_add(mc_shard_counters(front->shard),
			       MC_COUNTER_BAD_INPUT, 1);
}

static void handle_search(front_t *front, const mc_http_exchange_t *exchange)
{
	search_request_t request = { 0 };
	mc_err_t err = check_accepting(front);

	mc_counter_add(mc_shard_counters(front->shard), MC_COUNTER_REQUESTS, 1);
	if (!err)
		err = request_parse_search(front, exchange, &request);
	if (err) {
		count_bad_input(front, err);
		front_reply_error(front, exchange->exchange, err,
				  mc_last_error_message(), -1);
	} else {
		query_start(front, exchange->exchange, &request);
	}
	free(request.text);
}

static void handle_run(front_t *front, const mc_http_exchange_t *exchange)
{
	run_request_t request = { 0 };
	mc_err_t err = check_accepting(front);

	mc_counter_add(mc_shard_counters(front->shard), MC_COUNTER_REQUESTS, 1);
	if (!err)
		err = request_parse_run(front, exchange, &request);
	if (err) {
		count_bad_input(front, err);
		front_reply_error(front, exchange->exchange, err,
				  mc_last_error_message(), -1);
	} else {
		run_begin(front, exchange->exchange, &request);
	}
	free(request.text);
}

static void handle_ready(front_t *front, const mc_http_exchange_t *exchange)
{
	status_reply_ready(front, exchange->exchange);
}

static void handle_status(front_t *front, const mc_http_exchange_t *exchange)
{
	status_reply_status(front, exchange->exchange);
}

static void handle_metrics(front_t *front, const mc_http_exchange_t *exchange)
{
	status_reply_metrics(front, exchange->exchange);
}

static const api_route_t api_routes[] = {
	{ "POST", "/v1/search", handle_search },
	{ "POST", "/v1/run", handle_run },
	{ "GET", "/v1/ready", handle_ready },
	{ "GET", "/v1/status", handle_status },
	{ "GET", "/v1/metrics", handle_metrics },
};

void api_handle_request(void *ctx, const mc_http_exchange_t *exchange)
{
	front_t *front = ctx;
	mc_err_t err = MC_ERR_NOT_FOUND;
	size_t i;

	for (i = 0; i < MC_ARRAY_LEN(api_routes); i++) {
		const api_route_t *route = &api_routes[i];

		if (strcmp(route->path, exchange->path))
			continue;
		err = MC_ERR_BAD_METHOD;
		if (strcmp(route->method, exchange->method))
			continue;
		route->handle(front, exchange);
		return;
	}
	count_bad_input(front, err);
	front_reply_error(front, exchange->exchange, err, exchange->path, -1);
}
