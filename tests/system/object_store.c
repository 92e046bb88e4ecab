/*
 * Object store stand-in. All objects are in one array; each change gets the
 * next revision. A watch waits on a condition variable for a change.
 */
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "object_store_private.h"

enum {
	/* Small, so that tests read lists of several pages. */
	PAGE_SIZE = 7,
	/* Size of a response that is longer than clients take, bytes. */
	LONG_BODY_SIZE = 5 << 20,
	MS_PER_S = 1000,
	NS_PER_MS = 1000000,
};

object_t *object_store_find(object_store_t *store, const char *kind,
			    const char *name)
{
	uint32_t i;

	for (i = 0; i < store->object_count; i++)
		if (!strcmp(store->objects[i].kind, kind) &&
		    !strcmp(store->objects[i].name, name))
			return &store->objects[i];
	return NULL;
}

static json_t *object_json(const object_t *object)
{
	return json_pack("{s:{s:s, s:I, s:I, s:[], s:b}, s:O, s:O}", "meta",
			 "name", object->name, "revision",
			 (json_int_t)object->revision, "created",
			 (json_int_t)object->created, "finalizers", "deleting",
			 0, "spec", object->spec ? object->spec : json_null(),
			 "status",
			 object->status ? object->status : json_null());
}

/* Is called before each change, for lists that may be stale. */
static void keep_former(const object_store_t *store, object_t *object)
{
	if (object->revision && object->revision <= store->stale_revision &&
	    !object->former)
		object->former = object_json(object);
}

bool object_store_write(object_store_t *store, const char *kind,
			const char *name, json_t *spec, bool only_new)
{
	object_t *object = object_store_find(store, kind, name);

	if (only_new && object && !object->removed) {
		json_decref(spec);
		return false;
	}
	if (!object) {
		if (store->object_count == OBJECTS_MAX)
			abort();
		object = &store->objects[store->object_count++];
		snprintf(object->kind, NAME_SIZE, "%s", kind);
		snprintf(object->name, NAME_SIZE, "%s", name);
	}
	keep_former(store, object);
	json_decref(object->spec);
	object->spec = spec;
	object->revision = ++store->revision;
	if (!object->created || object->removed)
		object->created = object->revision;
	object->removed = false;
	pthread_cond_broadcast(&store->changed);
	return true;
}

void object_store_put(object_store_t *store, const char *kind, const char *name,
		      json_t *spec)
{
	pthread_mutex_lock(&store->lock);
	object_store_write(store, kind, name, spec, false);
	pthread_mutex_unlock(&store->lock);
}

void object_store_delete(object_store_t *store, object_t *object)
{
	keep_former(store, object);
	object->removed = true;
	object->revision = ++store->revision;
	pthread_cond_broadcast(&store->changed);
}

uint64_t object_store_revision(object_store_t *store, const char *kind,
			       const char *name)
{
	const object_t *object;
	uint64_t revision = 0;

	pthread_mutex_lock(&store->lock);
	object = object_store_find(store, kind, name);
	if (object && !object->removed)
		revision = object->revision;
	pthread_mutex_unlock(&store->lock);
	return revision;
}

void object_store_remove(object_store_t *store, const char *kind,
			 const char *name)
{
	object_t *object;

	pthread_mutex_lock(&store->lock);
	object = object_store_find(store, kind, name);
	if (object)
		object_store_delete(store, object);
	pthread_mutex_unlock(&store->lock);
}

void object_store_get_status(object_store_t *store, const char *kind,
			     const char *name, const char *key, char *value,
			     size_t size)
{
	const object_t *object;
	const char *text = NULL;

	pthread_mutex_lock(&store->lock);
	object = object_store_find(store, kind, name);
	if (object && !object->removed)
		text = json_string_value(json_object_get(object->status, key));
	snprintf(value, size, "%s", text ? text : "");
	pthread_mutex_unlock(&store->lock);
}

void object_store_get_state(object_store_t *store, const char *kind,
			    const char *name, char *state, size_t size)
{
	object_store_get_status(store, kind, name, "state", state, size);
}

static bool get_query_value(const char *target, const char *key, char *value)
{
	const char *part = strchr(target, '?');
	size_t len = strlen(key);

	for (; part; part = strchr(part + 1, '&')) {
		if (strncmp(part + 1, key, len) || part[1 + len] != '=')
			continue;
		part += 1 + len + 1;
		snprintf(value, NAME_SIZE, "%.*s", (int)strcspn(part, "&"),
			 part);
		return true;
	}
	return false;
}

static int compare_names(const void *a, const void *b)
{
	return strcmp((*(object_t *const *)a)->name,
		      (*(object_t *const *)b)->name);
}

/* Whether the object existed at a revision. */
static bool existed(const object_t *object, uint64_t revision)
{
	return object->created <= revision &&
	       !(object->removed && object->revision <= revision);
}

static json_t *list_json(object_store_t *store, const char *kind,
			 const char *after, uint64_t revision)
{
	static object_t *found[OBJECTS_MAX];
	json_t *items = json_array();
	size_t count = 0, i;

	for (i = 0; i < store->object_count; i++) {
		object_t *object = &store->objects[i];

		if (!strcmp(object->kind, kind) && existed(object, revision) &&
		    strcmp(object->name, after) > 0)
			found[count++] = object;
	}
	qsort(found, count, sizeof(found) / OBJECTS_MAX, compare_names);
	for (i = 0; i < count && i < PAGE_SIZE; i++)
		json_array_append_new(
			items, found[i]->former && found[i]->revision > revision
				       ? json_incref(found[i]->former)
				       : object_json(found[i]));
	return json_pack("{s:o, s:b, s:I}", "items", items, "hasMore",
			 count > PAGE_SIZE, "asOf", (json_int_t)revision);
}

static json_t *events_json(object_store_t *store, const char *kind,
			   uint64_t revision, uint64_t until)
{
	json_t *events = json_array();
	uint32_t i;

	for (i = 0; i < store->object_count; i++) {
		const object_t *object = &store->objects[i];

		if (!strcmp(object->kind, kind) &&
		    object->revision > revision && object->revision <= until)
			json_array_append_new(events,
					      json_pack("{s:b, s:o}", "removed",
							(int)object->removed,
							"object",
							object_json(object)));
	}
	return json_pack("{s:o, s:I}", "events", events, "asOf",
			 (json_int_t)until);
}

static bool has_events(const object_store_t *store, const char *kind,
		       uint64_t revision)
{
	uint32_t i;

	for (i = 0; i < store->object_count; i++)
		if (!strcmp(store->objects[i].kind, kind) &&
		    store->objects[i].revision > revision)
			return true;
	return false;
}

static struct timespec deadline_after_ms(long wait_ms)
{
	struct timespec deadline;

	clock_gettime(CLOCK_REALTIME, &deadline);
	deadline.tv_sec += wait_ms / MS_PER_S;
	deadline.tv_nsec += wait_ms % MS_PER_S * NS_PER_MS;
	if (deadline.tv_nsec >= MS_PER_S * NS_PER_MS) {
		deadline.tv_sec++;
		deadline.tv_nsec -= MS_PER_S * NS_PER_MS;
	}
	return deadline;
}

/* Revision at which a request is answered. */
static uint64_t read_revision(const object_store_t *store, const char *target)
{
	char value[NAME_SIZE];
	bool may_be_stale = get_query_value(target, "serializable", value);

	return store->stale_revision && may_be_stale ? store->stale_revision
						     : store->revision;
}

/* Whether the changes after a revision are known. */
static bool has_history(const object_store_t *store, uint64_t revision)
{
	return revision >= store->history_start && revision <= store->revision;
}

/* Whether a watch that may wait for @wait_ms is not to be answered. */
static bool is_hanging(const object_store_t *store, const char *wait_ms)
{
	return store->hangs_watches && strtol(wait_ms, NULL, 10) > 0;
}

/* Holds back the response to a watch for good, if it is the one to be lost. */
static void lose_response(object_store_t *store, const char *kind,
			  const char *wait_ms)
{
	if (strcmp(store->lost_kind, kind) || strtol(wait_ms, NULL, 10) <= 0)
		return;
	*store->lost_kind = '\0';
	while (!store->stopping)
		pthread_cond_wait(&store->changed, &store->lock);
}

static json_t *wait_for_events(object_store_t *store, const char *kind,
			       const char *target, uint64_t revision,
			       int *status)
{
	char wait_ms[NAME_SIZE] = "0";
	struct timespec deadline;
	int timed_out = 0;

	get_query_value(target, "waitMs", wait_ms);
	deadline = deadline_after_ms(strtol(wait_ms, NULL, 10));
	while (!store->stopping) {
		if (is_hanging(store, wait_ms)) {
			pthread_cond_wait(&store->changed, &store->lock);
			continue;
		}
		if (timed_out || !has_history(store, revision) ||
		    (!store->watches_held && has_events(store, kind, revision)))
			break;
		timed_out =
			pthread_cond_timedwait(&store->changed, &store->lock,
					       &deadline) == ETIMEDOUT;
	}
	if (!has_history(store, revision)) {
		*status = 410;
		return json_object();
	}
	if (has_events(store, kind, revision))
		lose_response(store, kind, wait_ms);
	return events_json(store, kind, revision, read_revision(store, target));
}

/*
 * Replaces the spec or the status of an object. A revision in the request must
 * be the object's. The caller holds the lock.
 */
static json_t *serve_put(object_store_t *store, const char *kind,
			 const raw_request_t *request, int *status)
{
	char name[NAME_SIZE] = "", part[NAME_SIZE] = "";
	json_t *json = json_loads(request->body, 0, NULL);
	json_t *revision =
		json_object_get(json_object_get(json, "meta"), "revision");
	object_t *object;

	sscanf(request->target, "/v1/objects/%*[^/]/%127[^/?]/%127s", name,
	       part);
	object = object_store_find(store, kind, name);
	*status = object && !object->removed ? 200 : 404;
	if (*status == 200 && revision &&
	    (uint64_t)json_integer_value(revision) != object->revision)
		*status = 409;
	if (*status == 200 && !strcmp(part, "status")) {
		keep_former(store, object);
		json_decref(object->status);
		object->status = json_incref(json_object_get(json, "status"));
		object->revision = ++store->revision;
		pthread_cond_broadcast(&store->changed);
	} else if (*status == 200) {
		object_store_write(store, kind, name,
				   json_incref(json_object_get(json, "spec")),
				   false);
	}
	json_decref(json);
	return object ? object_json(object) : json_object();
}

/* Removes an object, if it has the revision in the request. The caller holds
 * the lock. */
static json_t *serve_delete(object_store_t *store, const char *kind,
			    const raw_request_t *request, int *status)
{
	char name[NAME_SIZE] = "", revision[NAME_SIZE];
	object_t *object;

	sscanf(request->target, "/v1/objects/%*[^/]/%127[^/?]", name);
	object = object_store_find(store, kind, name);
	*status = object && !object->removed ? 200 : 404;
	if (*status == 200 &&
	    get_query_value(request->target, "revision", revision) &&
	    strtoull(revision, NULL, 10) != object->revision)
		*status = 409;
	if (*status == 200)
		object_store_delete(store, object);
	return object ? object_json(object) : json_object();
}

/* Serves one request; returns the body. The caller holds the lock. */
static json_t *serve_request(object_store_t *store,
			     const raw_request_t *request, int *status)
{
	char kind[NAME_SIZE] = "", value[NAME_SIZE], name[NAME_SIZE] = "";
	json_t *json;
	const char *new_name;
	const object_t *object;

	*status = 200;
	if (sscanf(request->target, "/v1/objects/%127[^/?]", kind) != 1) {
		*status = 404;
		return json_object();
	}
	if (!strcmp(request->method, "POST")) {
		json = json_loads(request->body, 0, NULL);
		new_name = json_string_value(
			json_object_get(json_object_get(json, "meta"), "name"));
		if (!new_name ||
		    !object_store_write(
			    store, kind, new_name,
			    json_incref(json_object_get(json, "spec")), true))
			*status = new_name ? 409 : 400;
		object = new_name ? object_store_find(store, kind, new_name)
				  : NULL;
		json_decref(json);
		return object ? object_json(object) : json_object();
	}
	if (!strcmp(request->method, "PUT"))
		return serve_put(store, kind, request, status);
	if (!strcmp(request->method, "DELETE"))
		return serve_delete(store, kind, request, status);
	if (get_query_value(request->target, "watch", value))
		return wait_for_events(store, kind, request->target,
				       strtoull(value, NULL, 10), status);
	get_query_value(request->target, "after", name);
	return list_json(store, kind, name,
			 read_revision(store, request->target));
}

static bool is_held(const object_store_t *store, const raw_request_t *request)
{
	char kind[NAME_SIZE] = "", after[NAME_SIZE] = "";

	sscanf(request->target, "/v1/objects/%127[^/?]", kind);
	return store->unresponsive ||
	       (*store->silent_kind && !strcmp(kind, store->silent_kind)) ||
	       (store->later_pages_held &&
		get_query_value(request->target, "after", after) && *after);
}

/* Whether a request is a watch whose response is longer than clients take. */
static bool is_long(const object_store_t *store, const raw_request_t *request)
{
	char kind[NAME_SIZE] = "", value[NAME_SIZE];

	sscanf(request->target, "/v1/objects/%127[^/?]", kind);
	return *store->long_kind && !strcmp(kind, store->long_kind) &&
	       get_query_value(request->target, "watch", value) &&
	       strtoull(value, NULL, 10) < store->long_until;
}

/* Writes the start of a long response, whose end is repeated. */
static raw_connection_action_t begin_long_response(char *response, size_t *size)
{
	*size = (size_t)snprintf(response, RAW_RESPONSE_MAX,
				 "HTTP/1.1 200 X\r\nContent-Length: %d\r\n"
				 "Content-Type: application/json\r\n\r\n"
				 "{\"events\":[",
				 LONG_BODY_SIZE);
	memset(response + *size, ' ', RAW_FILLER_SIZE);
	*size += RAW_FILLER_SIZE;
	return RAW_ENDLESS;
}

static raw_connection_action_t handle_request(void *ctx,
					      const raw_request_t *request,
					      char *response, size_t *size)
{
	object_store_t *store = ctx;
	json_t *json;
	char era[NAME_SIZE] = "", *body;
	int status;

	pthread_mutex_lock(&store->lock);
	while (is_held(store, request) && !store->stopping)
		pthread_cond_wait(&store->changed, &store->lock);
	if (is_long(store, request)) {
		store->request_count++;
		store->long_responses++;
		pthread_mutex_unlock(&store->lock);
		return begin_long_response(response, size);
	}
	json = serve_request(store, request, &status);
	store->request_count++;
	/* The response shares parts with the objects. */
	body = json_dumps(json, JSON_COMPACT);
	json_decref(json);
	if (store->era)
		snprintf(era, sizeof(era), "Store-Era: %llu\r\n",
			 (unsigned long long)store->era);
	pthread_mutex_unlock(&store->lock);
	*size = (size_t)snprintf(response, RAW_RESPONSE_MAX,
				 "HTTP/1.1 %d X\r\nContent-Length: %zu\r\n"
				 "Content-Type: application/json\r\n%s\r\n%s",
				 status, strlen(body), era, body);
	free(body);
	return RAW_KEEP;
}

object_store_t *object_store_start(void)
{
	object_store_t *store = calloc(1, sizeof(*store));

	pthread_mutex_init(&store->lock, NULL);
	pthread_cond_init(&store->changed, NULL);
	store->revision = 10;
	store->server = raw_server_start(handle_request, store);
	return store;
}

void object_store_stop(object_store_t *store)
{
	if (!store)
		return;
	pthread_mutex_lock(&store->lock);
	store->stopping = true;
	pthread_cond_broadcast(&store->changed);
	pthread_mutex_unlock(&store->lock);
	raw_server_stop(store->server);
	object_store_free_objects(store->objects, store->object_count);
	object_store_free_copy(&store->copy);
	object_store_free_copy(&store->lost);
	free(store);
}

uint16_t object_store_port(const object_store_t *store)
{
	return raw_server_port(store->server);
}

void object_store_drop_history(object_store_t *store)
{
	pthread_mutex_lock(&store->lock);
	store->history_start = ++store->revision;
	pthread_cond_broadcast(&store->changed);
	pthread_mutex_unlock(&store->lock);
}

void object_store_set_unresponsive(object_store_t *store, bool unresponsive)
{
	pthread_mutex_lock(&store->lock);
	store->unresponsive = unresponsive;
	pthread_cond_broadcast(&store->changed);
	pthread_mutex_unlock(&store->lock);
}

void object_store_lose_watch(object_store_t *store, const char *kind)
{
	pthread_mutex_lock(&store->lock);
	snprintf(store->lost_kind, NAME_SIZE, "%s", kind);
	pthread_mutex_unlock(&store->lock);
}

bool object_store_has_lost_watch(object_store_t *store)
{
	bool has_lost;

	pthread_mutex_lock(&store->lock);
	has_lost = !*store->lost_kind;
	pthread_mutex_unlock(&store->lock);
	return has_lost;
}

void object_store_hang_watches(object_store_t *store, bool hang)
{
	pthread_mutex_lock(&store->lock);
	store->hangs_watches = hang;
	pthread_cond_broadcast(&store->changed);
	pthread_mutex_unlock(&store->lock);
}

void object_store_set_silent_kind(object_store_t *store, const char *kind)
{
	pthread_mutex_lock(&store->lock);
	snprintf(store->silent_kind, sizeof(store->silent_kind), "%s", kind);
	pthread_cond_broadcast(&store->changed);
	pthread_mutex_unlock(&store->lock);
}

void object_store_hold_later_pages(object_store_t *store, bool hold)
{
	pthread_mutex_lock(&store->lock);
	store->later_pages_held = hold;
	pthread_cond_broadcast(&store->changed);
	pthread_mutex_unlock(&store->lock);
}

void object_store_hold_watches(object_store_t *store, bool hold)
{
	pthread_mutex_lock(&store->lock);
	store->watches_held = hold;
	pthread_cond_broadcast(&store->changed);
	pthread_mutex_unlock(&store->lock);
}

void object_store_set_stale(object_store_t *store, bool stale)
{
	uint32_t i;

	pthread_mutex_lock(&store->lock);
	store->stale_revision = stale ? store->revision : 0;
	for (i = 0; i < store->object_count; i++) {
		json_decref(store->objects[i].former);
		store->objects[i].former = NULL;
	}
	pthread_mutex_unlock(&store->lock);
}

void object_store_make_changes_long(object_store_t *store, const char *kind)
{
	pthread_mutex_lock(&store->lock);
	snprintf(store->long_kind, sizeof(store->long_kind), "%s", kind);
	store->long_until = store->revision;
	pthread_mutex_unlock(&store->lock);
}

uint32_t object_store_long_response_count(object_store_t *store)
{
	uint32_t count;

	pthread_mutex_lock(&store->lock);
	count = store->long_responses;
	pthread_mutex_unlock(&store->lock);
	return count;
}

void object_store_set_down(object_store_t *store, bool down)
{
	raw_server_set_refusing(store->server, down);
	if (down)
		raw_server_drop_connections(store->server);
}

uint32_t object_store_request_count(object_store_t *store)
{
	uint32_t calls;

	pthread_mutex_lock(&store->lock);
	calls = store->request_count;
	pthread_mutex_unlock(&store->lock);
	return calls;
}
