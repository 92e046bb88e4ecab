/*
 * Stand-in for the platform's store: objects by kind and name, a revision
 * counter, lists, watches, and writes under a condition. What an operator or a
 * searcher writes is kept as the JSON text that it is.
 */
#include "harness.h"

#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "net.h"

enum {
	OBJECTS_MAX = 1024,
	EVENTS_MAX = 8192,
	TEXT_MAX = 1 << 20,
	PAGE_MAX = 500,
};

typedef struct {
	bool used;
	char kind[NAME_SIZE];
	char name[NAME_SIZE];
	char *spec;
	char *status;
	uint64_t revision;
	uint64_t created;
} object_t;

typedef struct {
	char kind[NAME_SIZE];
	uint64_t revision;
	bool removed;
	char *object;
} event_t;

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed = PTHREAD_COND_INITIALIZER;
static object_t objects[OBJECTS_MAX];
static event_t events[EVENTS_MAX];
static int event_count;
static uint64_t revision = 100;
static int port;

static object_t *find(const char *kind, const char *name)
{
	int i;

	for (i = 0; i < OBJECTS_MAX; i++)
		if (objects[i].used && !strcmp(objects[i].kind, kind) &&
		    !strcmp(objects[i].name, name))
			return &objects[i];
	return NULL;
}

static char *object_text(const object_t *object)
{
	size_t size = strlen(object->spec) +
		      (object->status ? strlen(object->status) : 0) + 512;
	char *text = malloc(size);

	snprintf(text, size,
		 "{\"meta\":{\"name\":\"%s\",\"revision\":%llu,"
		 "\"created\":%llu,\"finalizers\":[],\"deleting\":false},"
		 "\"spec\":%s%s%s}",
		 object->name, (unsigned long long)object->revision,
		 (unsigned long long)object->created, object->spec,
		 object->status ? ",\"status\":" : "",
		 object->status ? object->status : "");
	return text;
}

static void add_event(const object_t *object, bool removed)
{
	if (event_count == EVENTS_MAX)
		harness_exit(EXIT_NOT_RUN, "too many events at the store");
	events[event_count] = (event_t){
		.revision = revision,
		.removed = removed,
		.object = object_text(object),
	};
	snprintf(events[event_count].kind, NAME_SIZE, "%s", object->kind);
	event_count++;
	pthread_cond_broadcast(&changed);
}

static object_t *put_object(const char *kind, const char *name)
{
	object_t *object = find(kind, name);
	int i;

	for (i = 0; !object && i < OBJECTS_MAX; i++)
		if (!objects[i].used)
			object = &objects[i];
	if (!object)
		harness_exit(EXIT_NOT_RUN, "too many objects at the store");
	revision++;
	if (!object->used) {
		*object = (object_t){ .used = true, .created = revision };
		snprintf(object->kind, NAME_SIZE, "%s", kind);
		snprintf(object->name, NAME_SIZE, "%s", name);
	}
	object->revision = revision;
	return object;
}

static void set_text(char **to, const char *text)
{
	free(*to);
	*to = strdup(text);
}

int64_t store_put(const char *kind, const char *name, const char *spec)
{
	object_t *object;

	pthread_mutex_lock(&lock);
	object = put_object(kind, name);
	set_text(&object->spec, spec);
	add_event(object, false);
	pthread_mutex_unlock(&lock);
	record("store: %s/%s is %.1500s", kind, name, spec);
	return now_ms();
}

int64_t store_remove(const char *kind, const char *name)
{
	object_t *object;

	pthread_mutex_lock(&lock);
	object = find(kind, name);
	if (object) {
		revision++;
		object->revision = revision;
		add_event(object, true);
		free(object->spec);
		free(object->status);
		*object = (object_t){ 0 };
	}
	pthread_mutex_unlock(&lock);
	record("store: %s/%s removed", kind, name);
	return now_ms();
}

int64_t config_put(int version)
{
	static const char route[] =
		"{\"name\":\"%s\",\"hostname\":\"search.example\","
		"\"pathPrefix\":\"/%s/\",\"routeType\":\"%s\","
		"\"timeoutMs\":4000,\"goalMs\":400,\"priority\":1,"
		"\"maxAttempts\":2,\"backend\":\"%s\"}";
	static const char service[] = "{\"name\":\"%s\",\"maxConns\":110,"
				      "\"healthPath\":\"/health\"}";
	char one[512], once[512], desk[512], plants[128], pots[128];
	char spec[4096];

	snprintf(one, sizeof(one), route, "one", "one", "idempotent", "plants");
	snprintf(once, sizeof(once), route, "once", "once", "non_idempotent",
		 "plants");
	snprintf(desk, sizeof(desk), route, "desk", "desk", "non_idempotent",
		 "desk");
	snprintf(plants, sizeof(plants), service, "plants");
	snprintf(pots, sizeof(pots), service, "desk");
	snprintf(spec, sizeof(spec),
		 "{\"version\":%d,\"routes\":[%s,%s,%s],\"services\":["
		 "%s,%s],\"limits\":{"
		 "\"maxHeaderBytes\":16384,\"maxBodyBytes\":65536,"
		 "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}",
		 version, one, once, desk, plants, pots);
	return store_put("config", "main", spec);
}

void store_status(const char *kind, const char *name, char *text, size_t size)
{
	const object_t *object;

	pthread_mutex_lock(&lock);
	object = find(kind, name);
	snprintf(text, size, "%s",
		 object && object->status ? object->status : "");
	pthread_mutex_unlock(&lock);
}

int store_port(void)
{
	return port;
}

/* Copies the text of the value of a key at the top level of an object. */
static bool json_member(const char *json, const char *key, char *out,
			size_t size)
{
	const char *at = json, *start;
	size_t length = strlen(key);
	int depth = 0;
	bool text = false, matches = false;

	out[0] = '\0';
	for (; *at; at++) {
		if (text) {
			if (*at == '\\')
				at++;
			else if (*at == '"')
				text = false;
			continue;
		}
		if (depth == 1 && *at == '"') {
			matches =
				!strncmp(at + 1, key, length) &&
				at[length + 1] == '"' &&
				at[length + 2 + strspn(at + length + 2, " ")] ==
					':';
			if (matches)
				break;
		}
		if (*at == '"')
			text = true;
		else if (*at == '{' || *at == '[')
			depth++;
		else if (*at == '}' || *at == ']')
			depth--;
	}
	if (!matches)
		return false;
	at = strchr(at + length + 1, ':') + 1;
	start = at;
	depth = 0;
	for (; *at; at++) {
		if (text) {
			if (*at == '\\')
				at++;
			else if (*at == '"')
				text = false;
			continue;
		}
		if (*at == '"')
			text = true;
		else if (*at == '{' || *at == '[')
			depth++;
		else if ((*at == '}' || *at == ']') && depth-- == 0)
			break;
		else if (*at == ',' && !depth)
			break;
	}
	snprintf(out, size, "%.*s", (int)(at - start), start);
	return true;
}

static void respond(int fd, int status, const char *body)
{
	char head[256];
	int size = snprintf(head, sizeof(head),
			    "HTTP/1.1 %d Status\r\n"
			    "Content-Type: application/json\r\n"
			    "Content-Length: %zu\r\n\r\n",
			    status, strlen(body));

	net_write(fd, head, (size_t)size);
	net_write(fd, body, strlen(body));
}

static uint64_t query_number(const char *path, const char *key,
			     uint64_t fallback)
{
	const char *at = strstr(path, key);

	return at ? strtoull(at + strlen(key), NULL, 10) : fallback;
}

/* Appends the events after @since; returns their number. */
static int append_events(FILE *out, const char *kind, uint64_t since)
{
	int count = 0, i;

	for (i = 0; i < event_count; i++) {
		if (events[i].revision <= since ||
		    strcmp(events[i].kind, kind) != 0)
			continue;
		fprintf(out, "%s{\"object\":%s,\"removed\":%s}",
			count ? "," : "", events[i].object,
			events[i].removed ? "true" : "false");
		count++;
	}
	return count;
}

static bool has_events(const char *kind, uint64_t since)
{
	int i;

	for (i = 0; i < event_count; i++)
		if (events[i].revision > since && !strcmp(events[i].kind, kind))
			return true;
	return false;
}

static void serve_watch(int fd, const char *kind, uint64_t since,
			uint64_t wait_ms)
{
	struct timespec until;
	char *text = NULL;
	size_t size;
	FILE *out;

	clock_gettime(CLOCK_REALTIME, &until);
	until.tv_sec += (time_t)(wait_ms / 1000);
	until.tv_nsec += (long)(wait_ms % 1000) * 1000000;
	if (until.tv_nsec >= 1000000000) {
		until.tv_sec++;
		until.tv_nsec -= 1000000000;
	}
	pthread_mutex_lock(&lock);
	while (!has_events(kind, since) &&
	       !pthread_cond_timedwait(&changed, &lock, &until))
		;
	out = open_memstream(&text, &size);
	fprintf(out, "{\"events\":[");
	append_events(out, kind, since);
	fprintf(out, "],\"asOf\":%llu}", (unsigned long long)revision);
	fclose(out);
	pthread_mutex_unlock(&lock);
	respond(fd, 200, text);
	free(text);
}

static int compare_names(const void *a, const void *b)
{
	return strcmp((*(object_t *const *)a)->name,
		      (*(object_t *const *)b)->name);
}

static void serve_list(int fd, const char *kind, const char *after)
{
	static object_t *found[OBJECTS_MAX];
	char *text = NULL, *object;
	size_t size;
	FILE *out;
	int count = 0, i;

	pthread_mutex_lock(&lock);
	for (i = 0; i < OBJECTS_MAX; i++)
		if (objects[i].used && !strcmp(objects[i].kind, kind) &&
		    strcmp(objects[i].name, after) > 0)
			found[count++] = &objects[i];
	qsort(found, (size_t)count, sizeof(found[0]), compare_names);
	out = open_memstream(&text, &size);
	fprintf(out, "{\"items\":[");
	for (i = 0; i < count && i < PAGE_MAX; i++) {
		object = object_text(found[i]);
		fprintf(out, "%s%s", i ? "," : "", object);
		free(object);
	}
	fprintf(out, "],\"hasMore\":%s,\"asOf\":%llu}",
		count > PAGE_MAX ? "true" : "false",
		(unsigned long long)revision);
	fclose(out);
	pthread_mutex_unlock(&lock);
	respond(fd, 200, text);
	free(text);
}

static void serve_get(int fd, const char *kind, const char *name,
		      const char *path)
{
	char after[NAME_SIZE] = "", *text = NULL;
	const char *at = strstr(path, "after=");
	object_t *object;

	if (!*name && strstr(path, "watch=")) {
		serve_watch(fd, kind, query_number(path, "watch=", 0),
			    query_number(path, "waitMs=", 0));
		return;
	}
	if (!*name) {
		if (at)
			snprintf(after, sizeof(after), "%.*s",
				 (int)strcspn(at + 6, "&"), at + 6);
		serve_list(fd, kind, after);
		return;
	}
	pthread_mutex_lock(&lock);
	object = find(kind, name);
	if (object)
		text = object_text(object);
	pthread_mutex_unlock(&lock);
	respond(fd, text ? 200 : 404, text ? text : "{\"error\":\"none\"}");
	free(text);
}

/* The condition of a write, in "meta" or in the query; 0 without one. */
static uint64_t condition_of(const char *path, const char *body)
{
	char meta[512], number[64];

	if (json_member(body, "meta", meta, sizeof(meta)) &&
	    json_member(meta, "revision", number, sizeof(number)))
		return strtoull(number, NULL, 10);
	return query_number(path, "revision=", 0);
}

static void serve_write(int fd, const message_t *request, const char *kind,
			const char *name, bool is_status)
{
	static __thread char text[BODY_SIZE];
	char quoted[NAME_SIZE + 2] = "", own[NAME_SIZE], *answer;
	char meta[512];
	uint64_t condition = condition_of(request->path, request->body);
	bool is_post = !strcmp(request->method, "POST");
	object_t *object;
	int status = 200;

	snprintf(own, sizeof(own), "%s", name);
	if (is_post && json_member(request->body, "meta", meta, sizeof(meta)) &&
	    json_member(meta, "name", quoted, sizeof(quoted)))
		snprintf(own, sizeof(own), "%.*s", (int)(strlen(quoted) - 2),
			 quoted + 1);
	pthread_mutex_lock(&lock);
	object = find(kind, own);
	if (is_post ? object != NULL
		    : condition && object && object->revision != condition) {
		status = 409;
	} else if (!is_post && !object) {
		status = 404;
	} else {
		object = put_object(kind, own);
		if (json_member(request->body, is_status ? "status" : "spec",
				text, sizeof(text)))
			set_text(is_status ? &object->status : &object->spec,
				 text);
		if (!object->spec)
			set_text(&object->spec, "{}");
		add_event(object, false);
		status = is_post ? 201 : 200;
	}
	answer = object ? object_text(object) : strdup("{}");
	pthread_mutex_unlock(&lock);
	record("store: %s %s by an instance, status %d: %.300s",
	       request->method, request->path, status, request->body);
	respond(fd, status, answer);
	free(answer);
}

static void serve(int fd, const message_t *request)
{
	char path[512], *kind, *name, *rest;

	snprintf(path, sizeof(path), "%.*s", (int)strcspn(request->path, "?"),
		 request->path);
	if (strncmp(path, "/v1/objects/", 12) != 0) {
		respond(fd, 404, "{\"error\":\"no such path\"}");
		return;
	}
	kind = path + 12;
	name = strchr(kind, '/');
	if (name)
		*name++ = '\0';
	rest = name ? strchr(name, '/') : NULL;
	if (rest)
		*rest++ = '\0';
	if (!strcmp(request->method, "GET"))
		serve_get(fd, kind, name ? name : "", request->path);
	else if (!strcmp(request->method, "POST") ||
		 !strcmp(request->method, "PUT"))
		serve_write(fd, request, kind, name ? name : "",
			    rest && !strcmp(rest, "status"));
	else
		respond(fd, 405, "{\"error\":\"method\"}");
}

static void *serve_connection(void *arg)
{
	int fd = (int)(intptr_t)arg;
	message_t *request = malloc(sizeof(*request));

	while (net_read_message(fd, request, false))
		serve(fd, request);
	free(request);
	close(fd);
	return NULL;
}

static void *accept_connections(void *arg)
{
	int listening = (int)(intptr_t)arg, fd;

	for (;;) {
		fd = accept4(listening, NULL, NULL, SOCK_CLOEXEC);
		if (fd >= 0)
			thread_start(serve_connection, (void *)(intptr_t)fd);
	}
	return NULL;
}

void store_start(void)
{
	int fd = net_listen(&port);

	thread_start(accept_connections, (void *)(intptr_t)fd);
}
