/*
 * Requests of callers to an installation, the reading of their replies, and
 * waits for their effects.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include "cluster.h"
#include "raw_http.h"

enum {
	HEADER_SIZE = 64,
	REQUEST_SIZE = 1024,
	REPLY_SIZE = 64 << 10,
};

#define SEARCH                                                            \
	"{\"service\":\"" CLUSTER_SERVICE "\",\"query\":{\"q\":\"dry\"}," \
	"\"limit\":6,\"class\":\"interactive\"}"
#define RUN                                                                 \
	"{\"service\":\"" CLUSTER_SERVICE "\",\"route_key\":\"balcony-7\"," \
	"\"query\":{\"pot\":7}}"

/* A request and the buffers for the strings that it points to. */
typedef struct prepared_request_t {
	char url[2 * HARNESS_URL_SIZE];
	char deadline[HEADER_SIZE];
	char key[HEADER_SIZE];
	harness_request_t request;
} prepared_request_t;

/* Prepares a run with the idempotency key @key, or a search if it is NULL. */
static void prepare_request(const cluster_instance_t *instance, const char *key,
			    mc_ms_t deadline, prepared_request_t *prepared)
{
	snprintf(prepared->url, sizeof(prepared->url), "%s/v1/%s",
		 instance->url, key ? "run" : "search");
	snprintf(prepared->deadline, sizeof(prepared->deadline),
		 "Deadline-Ms: %lld", (long long)deadline);
	snprintf(prepared->key, sizeof(prepared->key), "Idempotency-Key: %s",
		 key ? key : "");
	prepared->request = (harness_request_t){
		.method = "POST",
		.url = prepared->url,
		.headers = { prepared->deadline, key ? prepared->key : NULL },
		.body = key ? RUN : SEARCH,
	};
}

harness_call_t *cluster_start_request(const cluster_instance_t *instance,
				      const char *key, mc_ms_t deadline)
{
	prepared_request_t prepared;

	prepare_request(instance, key, deadline, &prepared);
	return harness_http_start(&prepared.request);
}

bool cluster_send_request(int fd, const cluster_instance_t *instance,
			  const char *key, mc_ms_t deadline)
{
	prepared_request_t prepared;
	char text[REQUEST_SIZE];

	prepare_request(instance, key, deadline, &prepared);
	snprintf(text, sizeof(text),
		 "POST /v1/%s HTTP/1.1\r\nHost: %s\r\n%s\r\n%s%s"
		 "Content-Length: %zu\r\n\r\n%s",
		 key ? "run" : "search", instance->caller_address,
		 prepared.deadline, key ? prepared.key : "", key ? "\r\n" : "",
		 strlen(prepared.request.body), prepared.request.body);
	return raw_send(fd, text);
}

harness_reply_t cluster_read_reply(int fd)
{
	harness_reply_t reply = { .connected = true };
	char head[RAW_HEAD_MAX];

	reply.body = calloc(1, REPLY_SIZE);
	assert_non_null(reply.body);
	reply.status = raw_read_response(fd, head, reply.body, REPLY_SIZE);
	reply.json = json_loads(reply.body, 0, NULL);
	return reply;
}

harness_call_t *cluster_search_start(const cluster_instance_t *instance)
{
	return cluster_start_request(instance, NULL, CLUSTER_DEADLINE_MS);
}

harness_call_t *cluster_run_start(const cluster_instance_t *instance,
				  const char *key)
{
	return cluster_start_request(instance, key, CLUSTER_DEADLINE_MS);
}

harness_reply_t cluster_search(const cluster_instance_t *instance)
{
	prepared_request_t prepared;

	prepare_request(instance, NULL, CLUSTER_DEADLINE_MS, &prepared);
	return harness_http(&prepared.request);
}

harness_reply_t cluster_run(const cluster_instance_t *instance, const char *key)
{
	prepared_request_t prepared;

	prepare_request(instance, key, CLUSTER_DEADLINE_MS, &prepared);
	return harness_http(&prepared.request);
}

json_int_t cluster_platform_counter(const cluster_t *cluster, const char *body,
				    const char *counter)
{
	json_t *json = cluster_control_platform(cluster, body);
	json_int_t count = json_integer_value(json_object_get(json, counter));

	json_decref(json);
	return count;
}

bool cluster_reply_is_complete(const harness_reply_t *reply)
{
	return reply->status == 200 &&
	       json_is_true(json_object_get(reply->json, "complete"));
}

static const json_t *get_error_member(const harness_reply_t *reply,
				      const char *key)
{
	return json_object_get(json_object_get(reply->json, "error"), key);
}

bool cluster_reply_is_not_run(const harness_reply_t *reply)
{
	return json_is_true(get_error_member(reply, "not_run"));
}

const char *cluster_reply_error_kind(const harness_reply_t *reply)
{
	const char *kind = json_string_value(get_error_member(reply, "kind"));

	return kind ? kind : "";
}

/* The message of an error ends with "request ID". */
const char *cluster_reply_request_id(const harness_reply_t *reply)
{
	static const char prefix[] = "request ";
	const char *id =
		json_string_value(json_object_get(reply->json, "request"));
	const char *text =
		json_string_value(get_error_member(reply, "message"));

	if (id || !text)
		return id;
	id = strstr(text, prefix);
	return id ? id + strlen(prefix) : NULL;
}

static bool search_is_complete(void *ctx)
{
	harness_reply_t reply = cluster_search(ctx);
	bool complete = cluster_reply_is_complete(&reply);

	harness_reply_free(&reply);
	return complete;
}

void cluster_wait_complete_answers(cluster_t *cluster)
{
	uint32_t i;

	for (i = 0; i < cluster->instance_count; i++)
		harness_wait_until("search answer is complete",
				   search_is_complete, &cluster->instances[i]);
}

/*
 * State of cluster_wait_successful_runs(); @count makes the key of each attempt
 * unique.
 */
typedef struct run_attempts_t {
	const cluster_instance_t *instance;
	int count;
} run_attempts_t;

static bool attempt_run_succeeded(void *ctx)
{
	run_attempts_t *attempts = ctx;
	char key[HEADER_SIZE / 2];
	harness_reply_t reply;
	int status;

	snprintf(key, sizeof(key), "first-%s-%d",
		 strrchr(attempts->instance->ip, '.') + 1, attempts->count++);
	reply = cluster_run(attempts->instance, key);
	status = reply.status;
	assert_int_not_equal(status, 400);
	assert_true(status == 200 || cluster_reply_is_not_run(&reply));
	harness_reply_free(&reply);
	return status == 200;
}

void cluster_wait_successful_runs(cluster_t *cluster)
{
	uint32_t i;

	for (i = 0; i < cluster->instance_count; i++)
		harness_wait_until(
			"run has succeeded", attempt_run_succeeded,
			&(run_attempts_t){ .instance =
						   &cluster->instances[i] });
}

/* State of cluster_wait_busy_target(); find_busy_target() sets @target. */
typedef struct busy_target_search_t {
	cluster_t *cluster;
	cluster_target_t *target;
} busy_target_search_t;

static bool find_busy_target(void *ctx)
{
	busy_target_search_t *search = ctx;
	uint32_t i;

	for (i = 0; i < search->cluster->target_count; i++) {
		search->target = &search->cluster->targets[i];
		if (cluster_target_counter(search->target, "in_flight") > 0)
			return true;
	}
	return false;
}

cluster_target_t *cluster_wait_busy_target(cluster_t *cluster)
{
	busy_target_search_t search = { .cluster = cluster };

	harness_wait_until("target has requests in flight", find_busy_target,
			   &search);
	return search.target;
}

cluster_instance_t *cluster_find_local_instance(cluster_t *cluster,
						const cluster_target_t *target)
{
	uint32_t i;

	for (i = 0; i < cluster->instance_count; i++)
		if (cluster->instances[i].data_center == target->data_center)
			return &cluster->instances[i];
	fail_msg("target's data centre has no instance");
	return NULL;
}
