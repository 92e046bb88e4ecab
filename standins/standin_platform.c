/*
 * Stand-in of the platform: objects with versions, conditional writes and
 * watches, and the list of instances. Its protocol is in docs/PROTOCOL.md. One
 * lock guards everything; a watch is a delayed request that a write wakes.
 */
#include <pthread.h>
#include <stdlib.h>
#include <stdio.h>
#include <string.h>

#include "mc/base.h"
#include "standin.h"

#define OBJECTS_PATH "/objects/"

enum {
	BUCKETS = 4096,
	ETAG_SIZE = 32,
	/* Most bytes of an object. */
	VALUE_MAX = 1 << 20,
};

typedef struct object_t {
	struct object_t *next;
	char *name;
	char *data;
	size_t size;
	uint64_t version;
} object_t;

/* A request's progress; a watch is in the list while it waits. */
typedef struct work_t {
	standin_exchange_t *exchange;
	unsigned int status;
	uint64_t version;
	char *body;
	size_t size;
	bool close;
	bool watching;
	int64_t watch_end;
	uint64_t above;
	char *name;
	TAILQ_ENTRY(work_t) entry;
} work_t;

TAILQ_HEAD(works_t, work_t);

typedef struct platform_t {
	pthread_mutex_t lock;
	object_t *buckets[BUCKETS];
	struct works_t watches;
	json_t *instances;
	bool down;
	int64_t slow;
	json_int_t lose_answers;
	json_int_t reads;
	json_int_t writes;
	json_int_t conflicts;
	json_int_t watch_calls;
	json_int_t lists;
} platform_t;

static platform_t platform = { .lock = PTHREAD_MUTEX_INITIALIZER };

static object_t **object_slot(const char *name)
{
	object_t **slot;

	slot = &platform.buckets[mc_hash_string(name) % BUCKETS];
	while (*slot && strcmp((*slot)->name, name) != 0)
		slot = &(*slot)->next;
	return slot;
}

static void work_free(void *arg)
{
	work_t *work = arg;

	pthread_mutex_lock(&platform.lock);
	if (work->watching)
		TAILQ_REMOVE(&platform.watches, work, entry);
	pthread_mutex_unlock(&platform.lock);
	free(work->body);
	free(work->name);
	free(work);
}

static void work_set_object(work_t *work, const object_t *object)
{
	work->status = MHD_HTTP_OK;
	work->version = object->version;
	work->body = malloc(object->size);
	if (work->body || !object->size) {
		memcpy(work->body, object->data, object->size);
		work->size = object->size;
	}
}

static void wake_watches(const char *name)
{
	work_t *watch;

	TAILQ_FOREACH(watch, &platform.watches, entry)
	if (!name || !strcmp(watch->name, name))
		standin_wake(watch->exchange);
}

static bool condition_holds(const standin_exchange_t *exchange,
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

static object_t *object_add(object_t **slot, const char *name)
{
	*slot = calloc(1, sizeof(**slot));
	if (*slot)
		(*slot)->name = strdup(name);
	return *slot;
}

static void do_write(work_t *work)
{
	standin_exchange_t *exchange = work->exchange;
	object_t **slot = object_slot(work->name);
	object_t *object = *slot;

	platform.writes++;
	if (exchange->size > VALUE_MAX) {
		work->status = MHD_HTTP_CONTENT_TOO_LARGE;
		return;
	}
	if (!condition_holds(exchange, object)) {
		platform.conflicts++;
		work->status = MHD_HTTP_PRECONDITION_FAILED;
		return;
	}
	work->status = object ? MHD_HTTP_OK : MHD_HTTP_CREATED;
	if (!object)
		object = object_add(slot, work->name);
	free(object->data);
	object->data = malloc(exchange->size + 1);
	memcpy(object->data, exchange->body, exchange->size);
	object->size = exchange->size;
	work->version = ++object->version;
	wake_watches(work->name);
	if (platform.lose_answers > 0) {
		platform.lose_answers--;
		work->close = true;
	}
}

static void do_read(work_t *work)
{
	const object_t *object = *object_slot(work->name);

	work->status = MHD_HTTP_NOT_FOUND;
	if (object)
		work_set_object(work, object);
}

/* Return: whether the watch has to wait on. */
static bool do_watch(work_t *work)
{
	const object_t *object = *object_slot(work->name);

	if (object && object->version > work->above) {
		work_set_object(work, object);
		return false;
	}
	work->status = MHD_HTTP_NOT_MODIFIED;
	return standin_now_us() < work->watch_end && !platform.down;
}

static void do_list(work_t *work)
{
	platform.lists++;
	work->status = MHD_HTTP_OK;
	work->body = json_dumps(platform.instances, JSON_COMPACT);
	work->size = work->body ? strlen(work->body) : 0;
}

static bool begin_watch(work_t *work, const char *above)
{
	const char *wait = standin_argument(work->exchange, "wait_ms");
	int64_t wait_us;

	wait_us = wait ? strtoll(wait, NULL, 10) * STANDIN_US_PER_MS : 0;
	platform.watch_calls++;
	work->above = strtoull(above, NULL, 10);
	work->watch_end = standin_now_us() + wait_us;
	if (!do_watch(work))
		return false;
	work->watching = true;
	TAILQ_INSERT_TAIL(&platform.watches, work, entry);
	return true;
}

/* Return: whether it is a watch that has to wait. */
static bool work_begin(work_t *work)
{
	standin_exchange_t *exchange = work->exchange;
	const char *above = standin_argument(exchange, "above");

	work->status = MHD_HTTP_NOT_FOUND;
	if (!strcmp(exchange->path, "/instances")) {
		do_list(work);
		return false;
	}
	if (strncmp(exchange->path, OBJECTS_PATH, strlen(OBJECTS_PATH)) != 0)
		return false;
	work->name = strdup(exchange->path + strlen(OBJECTS_PATH));
	if (!strcmp(exchange->method, MHD_HTTP_METHOD_PUT)) {
		do_write(work);
		return false;
	}
	if (above)
		return begin_watch(work, above);
	platform.reads++;
	do_read(work);
	return false;
}

static enum MHD_Result work_reply(work_t *work)
{
	char etag[ETAG_SIZE];

	if (platform.down || work->close)
		return MHD_NO;
	snprintf(etag, sizeof(etag), "\"%llu\"",
		 (unsigned long long)work->version);
	return standin_reply(work->exchange, work->status,
			     work->version ? etag : NULL,
			     work->body ? work->body : "", work->size);
}

/* With the lock held; @work may be NULL at the first call. */
static enum MHD_Result serve(standin_exchange_t *exchange)
{
	work_t *work = exchange->work;
	bool first = !work;

	if (first) {
		if (platform.down)
			return MHD_NO;
		work = calloc(1, sizeof(*work));
		if (!work)
			return MHD_NO;
		work->exchange = exchange;
		exchange->work = work;
		exchange->free_work = work_free;
		if (work_begin(work))
			return standin_delay(exchange, work->watch_end);
		if (platform.slow)
			return standin_delay(exchange,
					     standin_now_us() + platform.slow);
	}
	if (work->watching && do_watch(work))
		return standin_delay(exchange, work->watch_end);
	return work_reply(work);
}

static void control(const json_t *json)
{
	json_t *value;

	value = json_object_get(json, "down");
	if (value)
		platform.down = json_is_true(value);
	value = json_object_get(json, "slow_ms");
	if (value)
		platform.slow =
			(int64_t)(json_number_value(value) * STANDIN_US_PER_MS);
	value = json_object_get(json, "lose_answers");
	if (value)
		platform.lose_answers = json_integer_value(value);
	value = json_object_get(json, "instances");
	if (value) {
		json_decref(platform.instances);
		platform.instances = json_incref(value);
	}
	if (platform.down)
		wake_watches(NULL);
}

static enum MHD_Result serve_control(standin_exchange_t *exchange)
{
	json_t *json;

	if (!strcmp(exchange->method, MHD_HTTP_METHOD_POST)) {
		json = json_loadb(exchange->body, exchange->size, 0, NULL);
		if (!json)
			return standin_reply(exchange, MHD_HTTP_BAD_REQUEST,
					     NULL, "{}", 2);
		control(json);
		json_decref(json);
	}
	json = json_pack("{sI sI sI sI sI}", "reads", platform.reads, "writes",
			 platform.writes, "conflicts", platform.conflicts,
			 "watches", platform.watch_calls, "lists",
			 platform.lists);
	return standin_reply_json(exchange, MHD_HTTP_OK, json);
}

static enum MHD_Result handle(void *ctx, standin_exchange_t *exchange)
{
	enum MHD_Result result;

	(void)ctx;
	pthread_mutex_lock(&platform.lock);
	if (!strcmp(exchange->path, "/standin"))
		result = serve_control(exchange);
	else
		result = serve(exchange);
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
	standin_print_port(standin_serve(port, handle, NULL));
	standin_wait_end();
}
