/*
 * The platform's store: objects by kind and name, lists, watches, conditional
 * writes, and one revision counter. All calls are answered at once, a watch as
 * soon as there is an event.
 */
#define _GNU_SOURCE
#include "kit.h"

#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
	OBJECTS_MAX = 512,
	EVENTS_MAX = 8192,
	PAGE = 500,
};

typedef struct {
	char kind[KIT_NAME];
	char name[2 * KIT_NAME];
	uint64_t revision;
	uint64_t created;
	char *spec;
	char *status;
} object_t;

typedef struct {
	char kind[KIT_NAME];
	uint64_t revision;
	char *text;
} event_t;

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed;
static object_t objects[OBJECTS_MAX];
static int object_count;
static event_t events[EVENTS_MAX];
static int event_count;
static uint64_t revision = 100;
/* Kind whose next watch that has events loses its answer; "" for none. */
static char lost_kind[KIT_NAME];

static object_t *find(const char *kind, const char *name)
{
	int i;

	for (i = 0; i < object_count; i++)
		if (!strcmp(objects[i].kind, kind) &&
		    !strcmp(objects[i].name, name))
			return &objects[i];
	return NULL;
}

static char *print_object(const object_t *object)
{
	char *text = NULL;

	if (asprintf(&text,
		     "{\"meta\":{\"name\":\"%s\",\"revision\":%llu,"
		     "\"created\":%llu,\"finalizers\":[],\"deleting\":false},"
		     "\"spec\":%s,\"status\":%s}",
		     object->name, (unsigned long long)object->revision,
		     (unsigned long long)object->created, object->spec,
		     object->status) < 0)
		abort();
	return text;
}

static void add_event(const object_t *object, bool removed)
{
	event_t *event = &events[event_count++];
	char *text = print_object(object);

	if (event_count == EVENTS_MAX)
		kit_end(KIT_NOT_RUN, "too many events in the store");
	snprintf(event->kind, sizeof(event->kind), "%s", object->kind);
	event->revision = revision;
	if (asprintf(&event->text, "{\"removed\":%s,\"object\":%s}",
		     removed ? "true" : "false", text) < 0)
		abort();
	free(text);
	pthread_cond_broadcast(&changed);
}

/* Writes an object; the caller holds the lock. NULL keeps the former text. */
static object_t *put(const char *kind, const char *name, const char *spec,
		     const char *status)
{
	object_t *object = find(kind, name);

	if (!object) {
		if (object_count == OBJECTS_MAX)
			kit_end(KIT_NOT_RUN, "too many objects in the store");
		object = &objects[object_count++];
		*object = (object_t){ .created = revision + 1 };
		snprintf(object->kind, sizeof(object->kind), "%s", kind);
		snprintf(object->name, sizeof(object->name), "%s", name);
		object->spec = strdup("null");
		object->status = strdup("null");
	} else if ((!spec || !strcmp(spec, object->spec)) &&
		   (!status || !strcmp(status, object->status))) {
		return object;
	}
	if (spec) {
		free(object->spec);
		object->spec = strdup(spec);
	}
	if (status) {
		free(object->status);
		object->status = strdup(status);
	}
	object->revision = ++revision;
	add_event(object, false);
	return object;
}

uint64_t kit_store_put(const char *kind, const char *name, const char *spec)
{
	uint64_t written;

	pthread_mutex_lock(&lock);
	written = put(kind, name, spec, NULL)->revision;
	pthread_mutex_unlock(&lock);
	return written;
}

void kit_store_remove(const char *kind, const char *name)
{
	object_t *object;

	pthread_mutex_lock(&lock);
	object = find(kind, name);
	if (object) {
		object->revision = ++revision;
		add_event(object, true);
		free(object->spec);
		free(object->status);
		*object = objects[--object_count];
	}
	pthread_mutex_unlock(&lock);
}

bool kit_store_status(const char *kind, const char *name, char *text,
		      size_t size)
{
	const object_t *object;

	pthread_mutex_lock(&lock);
	object = find(kind, name);
	if (object)
		snprintf(text, size, "%s", object->status);
	pthread_mutex_unlock(&lock);
	return object;
}

void kit_store_lose_watch(const char *kind)
{
	pthread_mutex_lock(&lock);
	snprintf(lost_kind, sizeof(lost_kind), "%s", kind);
	pthread_mutex_unlock(&lock);
}

/* Copies the value of a member of a JSON object's text, by its first place in
 * the text, to be freed; NULL without one. */
static char *copy_member(const char *text, const char *name)
{
	char key[KIT_NAME];
	const char *at, *end;
	int depth = 0;
	bool quoted = false;

	snprintf(key, sizeof(key), "\"%s\":", name);
	at = strstr(text, key);
	if (!at)
		return NULL;
	at += strlen(key);
	at += strspn(at, " ");
	for (end = at; *end; end++) {
		if (quoted) {
			if (*end == '\\')
				end++;
			else if (*end == '"')
				quoted = false;
			continue;
		}
		if (*end == '"')
			quoted = true;
		else if (strchr("{[", *end))
			depth++;
		else if (strchr("}]", *end) && !depth--)
			break;
		else if (*end == ',' && !depth)
			break;
	}
	return strndup(at, (size_t)(end - at));
}

static void respond(int fd, int status, const char *body)
{
	char head[256];
	int size =
		snprintf(head, sizeof(head),
			 "HTTP/1.1 %d %s\r\nContent-Type: application/json"
			 "\r\nContent-Length: %zu\r\n\r\n",
			 status, status < 300 ? "OK" : "Error", strlen(body));

	kit_write(fd, head, (size_t)size);
	kit_write(fd, body, strlen(body));
}

/* Adds to a growing text. */
static void append(char **text, size_t *size, const char *more)
{
	size_t length = strlen(more);

	*text = realloc(*text, *size + length + 1);
	memcpy(*text + *size, more, length + 1);
	*size += length;
}

static int compare_names(const void *a, const void *b)
{
	return strcmp((*(object_t *const *)a)->name,
		      (*(object_t *const *)b)->name);
}

static void answer_list(int fd, const char *kind, const char *after)
{
	object_t *sorted[OBJECTS_MAX];
	int count = 0, listed = 0, i;
	char *text = NULL, *one, tail[96];
	size_t size = 0;

	pthread_mutex_lock(&lock);
	for (i = 0; i < object_count; i++)
		if (!strcmp(objects[i].kind, kind) &&
		    strcmp(objects[i].name, after) > 0)
			sorted[count++] = &objects[i];
	qsort(sorted, (size_t)count, sizeof(*sorted), compare_names);
	append(&text, &size, "{\"items\":[");
	for (; listed < count && listed < PAGE; listed++) {
		one = print_object(sorted[listed]);
		append(&text, &size, listed ? "," : "");
		append(&text, &size, one);
		free(one);
	}
	snprintf(tail, sizeof(tail), "],\"hasMore\":%s,\"asOf\":%llu}",
		 listed < count ? "true" : "false",
		 (unsigned long long)revision);
	pthread_mutex_unlock(&lock);
	append(&text, &size, tail);
	respond(fd, 200, text);
	free(text);
}

static int first_event(const char *kind, uint64_t since)
{
	int i;

	for (i = 0; i < event_count; i++)
		if (events[i].revision > since && !strcmp(events[i].kind, kind))
			return i;
	return -1;
}

/* A connection on which an answer is lost returns nothing further. */
static void stay_silent(int fd)
{
	char byte;

	while (recv(fd, &byte, 1, 0) == 1)
		;
}

static void answer_watch(int fd, const char *kind, uint64_t since, int64_t wait)
{
	int64_t until = kit_now() + wait;
	struct timespec limit = { until / 1000, until % 1000 * 1000000 };
	char *text = NULL, tail[64];
	size_t size = 0;
	bool is_lost;
	int i;

	pthread_mutex_lock(&lock);
	while (first_event(kind, since) < 0 && kit_now() < until)
		pthread_cond_timedwait(&changed, &lock, &limit);
	append(&text, &size, "{\"events\":[");
	i = first_event(kind, since);
	is_lost = i >= 0 && !strcmp(kind, lost_kind);
	if (is_lost)
		lost_kind[0] = '\0';
	for (; i >= 0 && i < event_count; i++) {
		if (strcmp(events[i].kind, kind))
			continue;
		append(&text, &size, text[size - 1] == '[' ? "" : ",");
		append(&text, &size, events[i].text);
	}
	snprintf(tail, sizeof(tail), "],\"asOf\":%llu}",
		 (unsigned long long)revision);
	pthread_mutex_unlock(&lock);
	append(&text, &size, tail);
	if (is_lost) {
		kit_record("answer lost watch=%s since=%llu answer=%s", kind,
			   (unsigned long long)since, text);
		stay_silent(fd);
	} else {
		respond(fd, 200, text);
	}
	free(text);
}

static bool query_value(const char *query, const char *name, char *value,
			size_t size)
{
	char key[KIT_NAME];
	const char *at;
	size_t used = 0;

	snprintf(key, sizeof(key), "%s=", name);
	at = query ? strstr(query, key) : NULL;
	if (!at)
		return false;
	for (at += strlen(key); *at && *at != '&' && used + 1 < size; at++) {
		unsigned int code;

		if (*at == '%' && sscanf(at + 1, "%2x", &code) == 1) {
			value[used++] = (char)code;
			at += 2;
		} else {
			value[used++] = *at;
		}
	}
	value[used] = '\0';
	return true;
}

static void answer_get(int fd, const char *kind, const char *name,
		       const char *query)
{
	char value[2 * KIT_NAME] = "", wait[32] = "0";
	object_t *object;
	char *text;

	if (name) {
		pthread_mutex_lock(&lock);
		object = find(kind, name);
		text = object ? print_object(object) : strdup("{}");
		pthread_mutex_unlock(&lock);
		respond(fd, object ? 200 : 404, text);
		free(text);
		return;
	}
	if (query_value(query, "watch", value, sizeof(value))) {
		query_value(query, "waitMs", wait, sizeof(wait));
		answer_watch(fd, kind, strtoull(value, NULL, 10),
			     strtoll(wait, NULL, 10));
		return;
	}
	query_value(query, "after", value, sizeof(value));
	answer_list(fd, kind, value);
}

static void answer_write(int fd, const char *method, const char *kind,
			 const char *name, bool is_status, const char *body)
{
	char *meta = copy_member(body, "meta");
	char *spec = copy_member(body, "spec");
	char *status = copy_member(body, "status");
	char *named = meta ? copy_member(meta, "name") : NULL;
	char *condition = meta ? copy_member(meta, "revision") : NULL;
	char plain[2 * KIT_NAME] = "", *text;
	object_t *object;
	int code = 200;

	if (named)
		snprintf(plain, sizeof(plain), "%.*s", (int)strlen(named) - 2,
			 named + 1);
	if (!name)
		name = plain;
	pthread_mutex_lock(&lock);
	object = find(kind, name);
	if (!strcmp(method, "POST") && object)
		code = 409;
	else if (strcmp(method, "POST") && !object)
		code = 404;
	else if (object && condition &&
		 strtoull(condition, NULL, 10) != object->revision)
		code = 409;
	else
		object = put(kind, name, is_status ? NULL : spec,
			     is_status ? status : NULL);
	text = object ? print_object(object) : strdup("{}");
	pthread_mutex_unlock(&lock);
	respond(fd, code, text);
	if (strcmp(kind, "mangocove-instances"))
		kit_record("store %s %s/%s%s status=%d body=%s", method, kind,
			   name, is_status ? "/status" : "", code, body);
	free(text);
	free(meta);
	free(spec);
	free(status);
	free(named);
	free(condition);
}

static void answer_call(int fd, kit_message_t *message)
{
	char method[16], target[1024];
	char *kind, *name, *query, *sub;

	if (sscanf(message->head, "%15s %1023s", method, target) != 2)
		return;
	query = strchr(target, '?');
	if (query)
		*query++ = '\0';
	if (strncmp(target, "/v1/objects/", 12)) {
		respond(fd, 404, "{}");
		return;
	}
	kind = target + 12;
	name = strchr(kind, '/');
	if (name)
		*name++ = '\0';
	sub = name ? strchr(name, '/') : NULL;
	if (sub)
		*sub++ = '\0';
	if (!strcmp(method, "GET"))
		answer_get(fd, kind, name, query);
	else
		answer_write(fd, method, kind, name, sub != NULL,
			     message->body);
}

static void *serve(void *arg)
{
	kit_message_t *message = calloc(1, sizeof(*message));
	int fd = (int)(intptr_t)arg;

	while (kit_read_message(fd, message)) {
		answer_call(fd, message);
		free(message->body);
	}
	close(fd);
	free(message);
	return NULL;
}

static void *accept_calls(void *arg)
{
	int listener = (int)(intptr_t)arg, fd;

	while ((fd = accept(listener, NULL, NULL)) >= 0)
		kit_thread(serve, (void *)(intptr_t)fd);
	return NULL;
}

uint16_t kit_store_start(void)
{
	pthread_condattr_t attributes;
	uint16_t port;
	int fd = kit_listen(&port);

	pthread_condattr_init(&attributes);
	pthread_condattr_setclock(&attributes, CLOCK_MONOTONIC);
	pthread_cond_init(&changed, &attributes);
	kit_thread(accept_calls, (void *)(intptr_t)fd);
	return port;
}
