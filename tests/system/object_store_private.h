/*
 * State of the object store stand-in, which its files share. Callers of the
 * functions hold the lock.
 */
#ifndef OBJECT_STORE_PRIVATE_H
#define OBJECT_STORE_PRIVATE_H

#include "object_store.h"

enum {
	OBJECTS_MAX = 8192,
	NAME_SIZE = 128,
};

typedef struct {
	char kind[NAME_SIZE];
	char name[NAME_SIZE];
	json_t *spec;
	json_t *status;
	/* The object at the revision of lists that may be stale; NULL where it
	 * has not been changed since. */
	json_t *former;
	uint64_t created;
	uint64_t revision;
	bool removed;
} object_t;

/* Objects and revision as they were at one time. */
typedef struct {
	uint64_t revision;
	uint32_t object_count;
	object_t *objects;
} copy_t;

struct object_store_t {
	pthread_mutex_t lock;
	pthread_cond_t changed;
	raw_server_t *server;
	uint64_t revision;
	uint64_t history_start;
	/* Sent with all responses; 0 for none. */
	uint64_t era;
	copy_t copy;
	/* What the store knew before it went back to the copy. */
	copy_t lost;
	/* Revision of lists that may be stale; 0 for the current one. */
	uint64_t stale_revision;
	/* Kind whose changes up to a revision are too many for a client; "" for
	 * none. */
	char long_kind[NAME_SIZE];
	uint64_t long_until;
	uint32_t long_responses;
	bool unresponsive;
	/* Watches that wait are not answered, whatever changes. */
	bool hangs_watches;
	/* Kind of which the next watch that brings a change is not answered; ""
	 * for none. */
	char lost_kind[NAME_SIZE];
	/* Watches are not told of changes. */
	bool watches_held;
	/* Lists after their first page are held back. */
	bool later_pages_held;
	/* Kind whose requests are held back; "" for none. */
	char silent_kind[NAME_SIZE];
	bool stopping;
	uint32_t request_count;
	uint32_t object_count;
	object_t objects[OBJECTS_MAX];
};

/** object_store_find() - Find an object, which may be a removed one; NULL if
 * there was never one */
object_t *object_store_find(object_store_t *store, const char *kind,
			    const char *name);

/**
 * object_store_write() - Write an object and take over the reference to @spec
 *
 * Return: false if @only_new is set and the object exists.
 */
bool object_store_write(object_store_t *store, const char *kind,
			const char *name, json_t *spec, bool only_new);

/** object_store_delete() - Remove an object, which exists */
void object_store_delete(object_store_t *store, object_t *object);

/** object_store_free_objects() - Free what objects hold */
void object_store_free_objects(object_t *objects, uint32_t count);

/** object_store_free_copy() - Free a copy, which is empty then */
void object_store_free_copy(copy_t *copy);

#endif
