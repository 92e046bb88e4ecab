/*
 * The store's objects are one list; each change has the next revision. A watch
 * waits on a condition variable.
 */
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "objects.h"

enum {
	OBJECTS_MAX = 8192,
	NAME_SIZE = 128,
	/* Small, so that lists have several pages. */
	PAGE = 7,
	MS_PER_S = 1000,
	NS_PER_MS = 1000000,
};

typedef struct {
	char kind[NAME_SIZE];
	char name[NAME_SIZE];
	json_t *spec;
	uint64_t created;
	uint64_t revision;
	bool removed;
} object_t;

struct objects_t {
	pthread_mutex_t lock;
	pthread_cond_t changed;
	raw_server_t *server;
	uint64_t revision;
	uint64_t forgotten;
	bool silent;
	bool stopping;
	uint32_t calls;
	uint32_t count;
	object_t list[OBJECTS_MAX];
};

static object_t *find(objects_t *objects, const char *kind, const char *name)
{
	uint32_t i;

	for (i = 0; i < objects->count; i++)
		if (!strcmp(objects->list[i].kind, kind) &&
		    !strcmp(objects->list[i].name, name))
			return &objects->list[i];
	return NULL;
}

/* With the lock held. Returns false when it is there and must not be. */
static bool write_object(objects_t *objects, const char *kind, const char *name,
			 json_t *spec, bool only_new)
{
	object_t *object = find(objects, kind, name);

	if (only_new && object && !object->removed) {
		json_decref(spec);
		return false;
	}
	if (!object) {
		if (objects->count == OBJECTS_MAX)
			abort();
		object = &objects->list[objects->count++];
		snprintf(object->kind, NAME_SIZE, "%s", kind);
		snprintf(object->name, NAME_SIZE, "%s", name);
	}
	json_decref(object->spec);
	object->spec = spec;
	object->revision = ++objects->revision;
	if (!object->created || object->removed)
		object->created = object->revision;
	object->removed = false;
	pthread_cond_broadcast(&objects->changed);
	return true;
}

void objects_put(objects_t *objects, const char *kind, const char *name,
		 json_t *spec)
{
	pthread_mutex_lock(&objects->lock);
	write_object(objects, kind, name, spec, false);
	pthread_mutex_unlock(&objects->lock);
}

void objects_remove(objects_t *objects, const char *kind, const char *name)
{
	object_t *object;

	pthread_mutex_lock(&objects->lock);
	object = find(objects, kind, name);
	if (object) {
		object->removed = true;
		object->revision = ++objects->revision;
		pthread_cond_broadcast(&objects->changed);
	}
	pthread_mutex_unlock(&objects->lock);
}

static json_t *object_json(const object_t *object)
{
	return json_pack("{s:{s:s, s:I, s:I, s:[], s:b}, s:O, s:n}", "meta",
			 "name", object->name, "revision",
			 (json_int_t)object->revision, "created",
			 (json_int_t)object->created, "finalizers", "deleting",
			 0, "spec", object->spec ? object->spec : json_null(),
			 "status");
}

static bool query_value(const char *target, const char *key, char *value)
{
	const char *at = strchr(target, '?');
	size_t size = strlen(key);

	for (; at; at = strchr(at + 1, '&')) {
		if (strncmp(at + 1, key, size) || at[1 + size] != '=')
			continue;
		at += 1 + size + 1;
		snprintf(value, NAME_SIZE, "%.*s", (int)strcspn(at, "&"), at);
		return true;
	}
	return false;
}

static int by_name(const void *a, const void *b)
{
	return strcmp((*(object_t *const *)a)->name,
		      (*(object_t *const *)b)->name);
}

static json_t *list_json(objects_t *objects, const char *kind,
			 const char *after)
{
	static object_t *found[OBJECTS_MAX];
	json_t *items = json_array();
	size_t count = 0, i;

	for (i = 0; i < objects->count; i++) {
		object_t *object = &objects->list[i];

		if (!strcmp(object->kind, kind) && !object->removed &&
		    strcmp(object->name, after) > 0)
			found[count++] = object;
	}
	qsort(found, count, sizeof(found) / OBJECTS_MAX, by_name);
	for (i = 0; i < count && i < PAGE; i++)
		json_array_append_new(items, object_json(found[i]));
	return json_pack("{s:o, s:b, s:I}", "items", items, "hasMore",
			 count > PAGE, "asOf", (json_int_t)objects->revision);
}

static json_t *events_json(objects_t *objects, const char *kind, uint64_t above)
{
	json_t *events = json_array();
	uint32_t i;

	for (i = 0; i < objects->count; i++) {
		const object_t *object = &objects->list[i];

		if (!strcmp(object->kind, kind) && object->revision > above)
			json_array_append_new(events,
					      json_pack("{s:b, s:o}", "removed",
							(int)object->removed,
							"object",
							object_json(object)));
	}
	return json_pack("{s:o, s:I}", "events", events, "asOf",
			 (json_int_t)objects->revision);
}

static bool has_events(const objects_t *objects, const char *kind,
		       uint64_t above)
{
	uint32_t i;

	for (i = 0; i < objects->count; i++)
		if (!strcmp(objects->list[i].kind, kind) &&
		    objects->list[i].revision > above)
			return true;
	return false;
}

static struct timespec after_ms(long wait)
{
	struct timespec at;

	clock_gettime(CLOCK_REALTIME, &at);
	at.tv_sec += wait / MS_PER_S;
	at.tv_nsec += wait % MS_PER_S * NS_PER_MS;
	if (at.tv_nsec >= MS_PER_S * NS_PER_MS) {
		at.tv_sec++;
		at.tv_nsec -= MS_PER_S * NS_PER_MS;
	}
	return at;
}

static json_t *watch(objects_t *objects, const char *kind, const char *target,
		     uint64_t above, int *status)
{
	char wait[NAME_SIZE] = "0";
	struct timespec until;
	int late = 0;

	query_value(target, "waitMs", wait);
	until = after_ms(strtol(wait, NULL, 10));
	while (!late && !objects->stopping && above >= objects->forgotten &&
	       !has_events(objects, kind, above))
		late = pthread_cond_timedwait(&objects->changed, &objects->lock,
					      &until) == ETIMEDOUT;
	if (above < objects->forgotten) {
		*status = 410;
		return json_object();
	}
	return events_json(objects, kind, above);
}

/* Answers one call, with the lock held. */
static json_t *call(objects_t *objects, const raw_request_t *request,
		    int *status)
{
	char kind[NAME_SIZE] = "", value[NAME_SIZE], name[NAME_SIZE] = "";
	json_t *json, *answer;
	const char *text;

	*status = 200;
	if (sscanf(request->target, "/v1/objects/%127[^/?]", kind) != 1) {
		*status = 404;
		return json_object();
	}
	if (!strcmp(request->method, "POST")) {
		json = json_loads(request->body, 0, NULL);
		text = json_string_value(
			json_object_get(json_object_get(json, "meta"), "name"));
		if (!text ||
		    !write_object(objects, kind, text,
				  json_incref(json_object_get(json, "spec")),
				  true))
			*status = text ? 409 : 400;
		json_decref(json);
		return json_object();
	}
	if (query_value(request->target, "watch", value))
		return watch(objects, kind, request->target,
			     strtoull(value, NULL, 10), status);
	query_value(request->target, "after", name);
	answer = list_json(objects, kind, name);
	return answer;
}

static raw_next_t handle(void *ctx, const raw_request_t *request, char *answer,
			 size_t *size)
{
	objects_t *objects = ctx;
	json_t *json;
	char *body;
	int status;

	pthread_mutex_lock(&objects->lock);
	while (objects->silent && !objects->stopping)
		pthread_cond_wait(&objects->changed, &objects->lock);
	json = call(objects, request, &status);
	objects->calls++;
	pthread_mutex_unlock(&objects->lock);
	body = json_dumps(json, JSON_COMPACT);
	*size = (size_t)snprintf(answer, RAW_ANSWER_MAX,
				 "HTTP/1.1 %d X\r\nContent-Length: %zu\r\n"
				 "Content-Type: application/json\r\n\r\n%s",
				 status, strlen(body), body);
	free(body);
	json_decref(json);
	return RAW_KEEP;
}

objects_t *objects_start(void)
{
	objects_t *objects = calloc(1, sizeof(*objects));

	pthread_mutex_init(&objects->lock, NULL);
	pthread_cond_init(&objects->changed, NULL);
	objects->revision = 10;
	objects->server = raw_server_start(handle, objects);
	return objects;
}

void objects_stop(objects_t *objects)
{
	uint32_t i;

	if (!objects)
		return;
	pthread_mutex_lock(&objects->lock);
	objects->stopping = true;
	pthread_cond_broadcast(&objects->changed);
	pthread_mutex_unlock(&objects->lock);
	raw_server_stop(objects->server);
	for (i = 0; i < objects->count; i++)
		json_decref(objects->list[i].spec);
	free(objects);
}

uint16_t objects_port(const objects_t *objects)
{
	return raw_server_port(objects->server);
}

void objects_forget(objects_t *objects)
{
	pthread_mutex_lock(&objects->lock);
	objects->forgotten = ++objects->revision;
	pthread_cond_broadcast(&objects->changed);
	pthread_mutex_unlock(&objects->lock);
}

void objects_silence(objects_t *objects, bool silent)
{
	pthread_mutex_lock(&objects->lock);
	objects->silent = silent;
	pthread_cond_broadcast(&objects->changed);
	pthread_mutex_unlock(&objects->lock);
}

void objects_down(objects_t *objects, bool down)
{
	raw_server_refuse(objects->server, down);
	if (down)
		raw_server_cut(objects->server);
}

uint32_t objects_calls(objects_t *objects)
{
	uint32_t calls;

	pthread_mutex_lock(&objects->lock);
	calls = objects->calls;
	pthread_mutex_unlock(&objects->lock);
	return calls;
}
