/*
 * Bodies and headers of callers' requests, checked whole. No decision is taken
 * here.
 */
#include "front_private.h"

#include <stdlib.h>
#include <string.h>

static mc_err_t parse_body(const mc_http_exchange_t *exchange, json_t **root)
{
	json_error_t error;

	if (exchange->too_large)
		return mc_fail(MC_ERR_TOO_LARGE, "body above %d bytes",
			       MC_HTTP_BODY_MAX);
	*root = json_loadb(exchange->body, exchange->body_size,
			   JSON_REJECT_DUPLICATES, &error);
	if (!*root)
		return mc_fail(MC_ERR_BAD_REQUEST, "body is no JSON: %s",
			       error.text);
	if (json_is_object(*root))
		return MC_OK;
	json_decref(*root);
	return mc_fail(MC_ERR_BAD_REQUEST, "body: expected a JSON object");
}

/* @time_left keeps its value when the caller names no deadline. */
static mc_err_t parse_deadline(const mc_http_exchange_t *exchange,
			       mc_ms_t *time_left)
{
	const char *text = mc_http_header(exchange, "Deadline-Ms");
	char *end;
	long long value;

	if (!text)
		return MC_OK;
	value = strtoll(text, &end, 10);
	if (!*text || *end || value > FRONT_DEADLINE_MAX_MS)
		return mc_fail(MC_ERR_BAD_REQUEST,
			       "Deadline-Ms: expected 1 to %d",
			       FRONT_DEADLINE_MAX_MS);
	if (value <= 0)
		return mc_fail(MC_ERR_DEADLINE_PAST,
			       "Deadline-Ms: the deadline has passed");
	*time_left = value;
	return MC_OK;
}

static mc_err_t find_service(const front_t *front, const json_t *name,
			     mc_row_t *row)
{
	const char *text = json_string_value(name);

	if (!text)
		return mc_fail(MC_ERR_BAD_REQUEST,
			       "service: expected a name or a list of names");
	*row = mc_config_find_service(front->view->config, text);
	if (*row == MC_ROW_NONE)
		return mc_fail(MC_ERR_UNKNOWN_SERVICE, "service \"%s\"", text);
	return MC_OK;
}

static bool names_twice(const search_request_t *request, mc_row_t service)
{
	uint32_t i;

	for (i = 0; i < request->service_count; i++)
		if (request->services[i] == service)
			return true;
	return false;
}

static mc_err_t parse_services(const front_t *front, const json_t *service,
			       search_request_t *request)
{
	size_t count = json_array_size(service);
	mc_row_t row = MC_ROW_NONE;
	mc_err_t err;
	size_t i;

	if (!json_is_array(service)) {
		request->service_count = 1;
		return find_service(front, service, &request->services[0]);
	}
	if (!count || count > FRONT_PARTS_MAX)
		return mc_fail(MC_ERR_BAD_REQUEST,
			       "service: expected 1 to %d names",
			       FRONT_PARTS_MAX);
	for (i = 0; i < count; i++) {
		err = find_service(front, json_array_get(service, i), &row);
		if (err)
			return err;
		if (names_twice(request, row))
			return mc_fail(MC_ERR_BAD_REQUEST,
				       "service: a name stands twice");
		request->services[request->service_count++] = row;
	}
	return MC_OK;
}

static mc_err_t parse_limit(const json_t *limit, search_request_t *request)
{
	request->limit = FRONT_LIMIT_DEFAULT;
	if (!limit)
		return MC_OK;
	if (!json_is_integer(limit) || json_integer_value(limit) < 1 ||
	    json_integer_value(limit) > FRONT_LIMIT_MAX)
		return mc_fail(MC_ERR_BAD_REQUEST, "limit: expected 1 to %d",
			       FRONT_LIMIT_MAX);
	request->limit = (uint32_t)json_integer_value(limit);
	return MC_OK;
}

static mc_err_t parse_class(const json_t *name, search_request_t *request)
{
	request->klass = MC_CLASS_INTERACTIVE;
	if (!name)
		return MC_OK;
	if (!json_is_string(name))
		return mc_fail(MC_ERR_BAD_REQUEST, "class: expected a name");
	return mc_request_class_from_name(json_string_value(name),
					  &request->klass);
}

static mc_err_t parse_query(const json_t *query, char **text)
{
	if (!query)
		return mc_fail(MC_ERR_BAD_REQUEST, "query: expected");
	*text = json_dumps(query, JSON_COMPACT | JSON_ENCODE_ANY);
	if (!*text)
		return mc_fail(MC_ERR_NO_MEMORY, "no memory for the query");
	if (strlen(*text) <= MC_WIRE_STRING_MAX)
		return MC_OK;
	free(*text);
	*text = NULL;
	return mc_fail(MC_ERR_TOO_LARGE, "query above %d bytes",
		       MC_WIRE_STRING_MAX);
}

/* The shortest default of the services that are asked. */
static mc_ms_t default_deadline(const front_t *front,
				const search_request_t *request)
{
	const mc_config_t *config = front->view->config;
	mc_ms_t least = FRONT_DEADLINE_MAX_MS;
	uint32_t i;

	for (i = 0; i < request->service_count; i++) {
		mc_ms_t own = config->services[request->services[i]].deadline;

		if (own < least)
			least = own;
	}
	return least;
}

static mc_err_t read_search(const front_t *front,
			    const mc_http_exchange_t *exchange,
			    const json_t *root, search_request_t *request)
{
	mc_err_t err = parse_services(front, json_object_get(root, "service"),
				      request);

	if (!err)
		err = parse_limit(json_object_get(root, "limit"), request);
	if (!err)
		err = parse_class(json_object_get(root, "class"), request);
	if (err)
		return err;
	request->time_left = default_deadline(front, request);
	err = parse_deadline(exchange, &request->time_left);
	if (!err)
		err = parse_query(json_object_get(root, "query"),
				  &request->text);
	return err;
}

mc_err_t request_parse_search(const front_t *front,
			      const mc_http_exchange_t *exchange,
			      search_request_t *request)
{
	json_t *root = NULL;
	mc_err_t err = parse_body(exchange, &root);

	memset(request, 0, sizeof(*request));
	if (err)
		return err;
	err = read_search(front, exchange, root, request);
	json_decref(root);
	return err;
}

static mc_err_t parse_key(const char *key, char *copy)
{
	static const char allowed[] = "abcdefghijklmnopqrstuvwxyz"
				      "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
				      "0123456789_-";

	if (!key || !*key || strlen(key) >= FRONT_KEY_SIZE ||
	    strspn(key, allowed) != strlen(key))
		return mc_fail(MC_ERR_BAD_REQUEST,
			       "Idempotency-Key: expected 1 to %d letters, "
			       "digits, '_' or '-'",
			       FRONT_KEY_SIZE - 1);
	memcpy(copy, key, strlen(key) + 1);
	return MC_OK;
}

static mc_err_t read_run(const front_t *front,
			 const mc_http_exchange_t *exchange, const json_t *root,
			 run_request_t *request)
{
	const char *route =
		json_string_value(json_object_get(root, "route_key"));
	mc_err_t err = find_service(front, json_object_get(root, "service"),
				    &request->service);

	if (err)
		return err;
	if (!route)
		return mc_fail(MC_ERR_BAD_REQUEST,
			       "route_key: expected a string");
	request->route_hash = mc_hash_string(route);
	request->time_left =
		front->view->config->services[request->service].deadline;
	err = parse_key(mc_http_header(exchange, "Idempotency-Key"),
			request->key);
	if (!err)
		err = parse_deadline(exchange, &request->time_left);
	if (!err)
		err = parse_query(json_object_get(root, "query"),
				  &request->text);
	return err;
}

mc_err_t request_parse_run(const front_t *front,
			   const mc_http_exchange_t *exchange,
			   run_request_t *request)
{
	json_t *root = NULL;
	mc_err_t err = parse_body(exchange, &root);

	memset(request, 0, sizeof(*request));
	if (err)
		return err;
	err = read_run(front, exchange, root, request);
	json_decref(root);
	return err;
}
