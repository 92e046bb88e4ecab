/*
 * Stand-in for the platform: versioned objects with conditional writes and
 * watches, and the list of instances. Its protocol is in docs/PROTOCOL.md. One
 * lock guards all state. A watch is a delayed request that a write resumes.
 */
#include <pthread.h>
#include <stdlib.h>
#include <stdio.h>
#include <string.h>

#include "mc/base.h"
#include "standin.h"

#define OBJECTS_PATH "/objects/"

enum {
	BUCKET_COUNT = 4096,
	ETAG_SIZE = 32,
	/* Largest size of an object, bytes. */
	OBJECT_SIZE_MAX = 1 << 20,
};

typedef struct object_t {
	struct object_t *next;
	char *name;
	char *data;
	size_t size;
	uint64_t version;
} object_t;

/*
 * State of a request and the response to send.
 * @version: version for the ETag header; 0 sends none
 * @close: close the connection instead of sending the response
 * @watching: the request is a watch and in the platform's list of watches
 * @watch_end: time at which the watch ends, as standin_now_us(); microseconds
 * @above_version: the watch waits for a version above this one
 */
typedef struct request_t {
	standin_exchange_t *exchange;
	unsigned int status;
	uint64_t version;
	char *body;
	size_t size;
	bool close;
	bool watching;
	int64_t watch_end;
	uint64_t above_version;
	char *name;
	TAILQ_ENTRY(request_t) entry;
} request_t;

TAILQ_HEAD(request_list_t, request_t);

/*
 * State of the platform.
 * @watches: watches that wait for a change
 * @instances: JSON array that is the list of instances
 * @down: close connections without a response, except those to /standin
 * @delay_us: delay of all requests except watches that wait, microseconds
 * @unanswered_writes: number of next successful writes that get no response
 * @reads, @writes, @conflicts, @watch_calls, @lists: counters of requests; a
 *	conflict is a write whose precondition failed
 */
typedef struct platform_t {
	pthread_mutex_t lock;
	object_t *buckets[BUCKET_COUNT];
	struct request_list_t watches;
	json_t *instances;
	bool down;
	int64_t delay_us;
	json_int_t unanswered_writes;
	json_int_t reads;
	json_int_t writes;
	json_int_t conflicts;
	json_int_t watch_calls;
	json_int_t lists;
} platform_t;

static platform_t platform = { .lock = PTHREAD_MUTEX_INITIALIZER };

static object_t **find_object_slot(const char *name)
{
	object_t **slot;

	slot = &platform.buckets[mc_hash_string(name) % BUCKET_COUNT];
	while (*slot && strcmp((*slot)->name, name) != 0)
		slot = &(*slot)->next;
	return slot;
}

static void request_free(void *arg)
{
	request_t *request = arg;

	pthread_mutex_lock(&platform.lock);
	if (request->watching)
		TAILQ_REMOVE(&platform.watches, request, entry);
	pthread_mutex_unlock(&platform.lock);
	free(request->body);
	free(request->name);
	free(request);
}

static void request_set_object(request_t *request, const object_t *object)
{
	request->status = MHD_HTTP_OK;
	request->version = object->version;
	request->body = malloc(object->size);
	if (request->body || !object->size) {
		memcpy(request->body, object->data, object->size);
		request->size = object->size;
	}
}

static void resume_watches(const char *name)
{
	request_t *watch;

	TAILQ_FOREACH(watch, &platform.watches, entry)
	if (!name || !strcmp(watch->name, name))
		standin_resume(watch->exchange);
}

static bool precondition_holds(const standin_exchange_t *exchange,
			       const object_t *object)
{
	const char *match = standin_header(exchange, MHD_HTTP_HEADER_IF_MATCH);
	const char *none =
		standin_header(exchange, MHD_HTTP_HEADER_IF_NONE_MATCH);

	if (none)
		return !object;
	if (!match)
		return true;
	if (*match == '"')
		match++;
	return object && strtoull(match, NULL, 10) == object->version;
}

static object_t *add_object(object_t **slot, const char *name)
{
	*slot = calloc(1, sizeof(**slot));
	if (*slot)
		(*slot)->name = strdup(name);
	return *slot;
}

static void write_object(request_t *request)
{
	standin_exchange_t *exchange = request->exchange;
	object_t **slot = find_object_slot(request->name);
	object_t *object = *slot;

	platform.writes++;
	if (exchange->size > OBJECT_SIZE_MAX) {
		request->status = MHD_HTTP_CONTENT_TOO_LARGE;
		return;
	}
	if (!precondition_holds(exchange, object)) {
		platform.conflicts++;
		request->status = MHD_HTTP_PRECONDITION_FAILED;
		return;
	}
	request->status = object ? MHD_HTTP_OK : MHD_HTTP_CREATED;
	if (!object)
		object = add_object(slot, request->name);
	free(object->data);
	object->data = malloc(exchange->size + 1);
	memcpy(object->data, exchange->body, exchange->size);
	object->size = exchange->size;
	request->version = ++object->version;
	resume_watches(request->name);
	if (platform.unanswered_writes > 0) {
		platform.unanswered_writes--;
		request->close = true;
	}
}

static void read_object(request_t *request)
{
	const object_t *object = *find_object_slot(request->name);

	request->status = MHD_HTTP_NOT_FOUND;
	if (object)
		request_set_object(request, object);
}

/* Returns whether the watch must wait; else sets its response. */
static bool check_watch(request_t *request)
{
	const object_t *object = *find_object_slot(request->name);

	if (object && object->version > request->above_version) {
		request_set_object(request, object);
		return false;
	}
	request->status = MHD_HTTP_NOT_MODIFIED;
	return standin_now_us() < request->watch_end && !platform.down;
}

static void list_instances(request_t *request)
{
	platform.lists++;
	request->status = MHD_HTTP_OK;
	request->body = json_dumps(platform.instances, JSON_COMPACT);
	request->size = request->body ? strlen(request->body) : 0;
}

static bool start_watch(request_t *request, const char *above)
{
	const char *wait = standin_query_argument(request->exchange, "wait_ms");
	int64_t wait_us;

	wait_us = wait ? strtoll(wait, NULL, 10) * STANDIN_US_PER_MS : 0;
	platform.watch_calls++;
	request->above_version = strtoull(above, NULL, 10);
	request->watch_end = standin_now_us() + wait_us;
	if (!check_watch(request))
		return false;
	request->watching = true;
	TAILQ_INSERT_TAIL(&platform.watches, request, entry);
	return true;
}

/* Processes a new request; returns whether it is a watch that must wait. */
static bool start_request(request_t *request)
{
	standin_exchange_t *exchange = request->exchange;
	const char *above = standin_query_argument(exchange, "above");

	request->status = MHD_HTTP_NOT_FOUND;
	if (!strcmp(exchange->path, "/instances")) {
		list_instances(request);
		return false;
	}
	if (strncmp(exchange->path, OBJECTS_PATH, strlen(OBJECTS_PATH)) != 0)
		return false;
	request->name = strdup(exchange->path + strlen(OBJECTS_PATH));
	if (!strcmp(exchange->method, MHD_HTTP_METHOD_PUT)) {
		write_object(request);
		return false;
	}
	if (above)
		return start_watch(request, above);
	platform.reads++;
	read_object(request);
	return false;
}

static enum MHD_Result reply_to_request(request_t *request)
{
	char etag[ETAG_SIZE];

	if (platform.down || request->close)
		return MHD_NO;
	snprintf(etag, sizeof(etag), "\"%llu\"",
		 (unsigned long long)request->version);
	return standin_reply(request->exchange, request->status,
			     request->version ? etag : NULL,
			     request->body ? request->body : "", request->size);
}

/*
 * Serves a request at its start and again after each delay. The caller holds
 * the lock.
 */
static enum MHD_Result serve_request(standin_exchange_t *exchange)
{
	request_t *request = exchange->handler_data;
	bool first = !request;

	if (first) {
		if (platform.down)
			return MHD_NO;
		request = calloc(1, sizeof(*request));
		if (!request)
			return MHD_NO;
		request->exchange = exchange;
		exchange->handler_data = request;
		exchange->free_handler_data = request_free;
		if (start_request(request))
			return standin_delay(exchange, request->watch_end);
		if (platform.delay_us)
			return standin_delay(
				exchange, standin_now_us() + platform.delay_us);
	}
	if (request->watching && check_watch(request))
		return standin_delay(exchange, request->watch_end);
	return reply_to_request(request);
}

static void apply_control(const json_t *json)
{
	json_t *value;

	value = json_object_get(json, "down");
	if (value)
		platform.down = json_is_true(value);
	value = json_object_get(json, "slow_ms");
	if (value)
		platform.delay_us =
			(int64_t)(json_number_value(value) * STANDIN_US_PER_MS);
	value = json_object_get(json, "lose_answers");
	if (value)
		platform.unanswered_writes = json_integer_value(value);
	value = json_object_get(json, "instances");
	if (value) {
		json_decref(platform.instances);
		platform.instances = json_incref(value);
	}
	if (platform.down)
		resume_watches(NULL);
}

static enum MHD_Result serve_control(standin_exchange_t *exchange)
{
	json_t *json;

	if (!strcmp(exchange->method, MHD_HTTP_METHOD_POST)) {
		json = json_loadb(exchange->body, exchange->size, 0, NULL);
		if (!json)
			return standin_reply(exchange, MHD_HTTP_BAD_REQUEST,
					     NULL, "{}", 2);
		apply_control(json);
		json_decref(json);
	}
	json = json_pack("{sI sI sI sI sI}", "reads", platform.reads, "writes",
			 platform.writes, "conflicts", platform.conflicts,
			 "watches", platform.watch_calls, "lists",
			 platform.lists);
	return standin_reply_json(exchange, MHD_HTTP_OK, json);
}

static enum MHD_Result handle_request(void *ctx, standin_exchange_t *exchange)
{
	enum MHD_Result result;

	(void)ctx;
	pthread_mutex_lock(&platform.lock);
	if (!strcmp(exchange->path, "/standin"))
		result = serve_control(exchange);
	else
		result = serve_request(exchange);
	pthread_mutex_unlock(&platform.lock);
	return result;
}

int main(int argc, char **argv)
{
	uint16_t port = (uint16_t)standin_option(argc, argv, "--port", 0);

	standin_block_signals();
	standin_start_timers();
	TAILQ_INIT(&platform.watches);
	platform.instances = json_array();
	standin_print_port(standin_serve(port, handle_request, NULL));
	standin_wait_for_exit_signal();
}
