/*
 * Stand-in for the platform's object store: paged lists, watches, writes that
 * create only new objects, and faults that a test switches on.
 */
#ifndef OBJECT_STORE_H
#define OBJECT_STORE_H

#include "raw_http.h"

typedef struct object_store_t object_store_t;

/**
 * object_store_start() - Start an empty store on 127.0.0.1
 *
 * Return: the store, to be freed with object_store_stop().
 */
object_store_t *object_store_start(void);

/** object_store_stop() - Stop and free @store, which may be NULL */
void object_store_stop(object_store_t *store);

/** object_store_port() - Return the port of the store */
uint16_t object_store_port(const object_store_t *store);

/**
 * object_store_put() - Create or replace an object
 * @store: the store
 * @kind: kind of the object
 * @name: name of the object
 * @spec: content; the store takes over the reference
 */
void object_store_put(object_store_t *store, const char *kind, const char *name,
		      json_t *spec);

/**
 * object_store_get_status() - Read a text of an object's status
 * @store: the store
 * @kind: kind of the object
 * @name: name of the object
 * @key: key of the text
 * @value: receives the text; "" without one
 * @size: size of @value, bytes
 */
void object_store_get_status(object_store_t *store, const char *kind,
			     const char *name, const char *key, char *value,
			     size_t size);

/**
 * object_store_get_state() - Read the "state" of an object's status
 * @store: the store
 * @kind: kind of the object
 * @name: name of the object
 * @state: receives the state; "" without a status
 * @size: size of @state, bytes
 */
void object_store_get_state(object_store_t *store, const char *kind,
			    const char *name, char *state, size_t size);

/** object_store_revision() - Return the revision of an object; 0 if there is
 * none */
uint64_t object_store_revision(object_store_t *store, const char *kind,
			       const char *name);

/** object_store_remove() - Remove an object; an unknown one is ignored */
void object_store_remove(object_store_t *store, const char *kind,
			 const char *name);

/**
 * object_store_drop_history() - Drop the history of changes
 * @store: the store
 *
 * Watches that start at an earlier revision get status 410.
 */
void object_store_drop_history(object_store_t *store);

/**
 * object_store_set_unresponsive() - Stop or resume answering requests
 * @store: the store
 * @unresponsive: true holds back the responses to all requests until it is set
 *	to false
 */
void object_store_set_unresponsive(object_store_t *store, bool unresponsive);

/** object_store_begin_eras() - Tell the era in all responses; it is 1 at first
 */
void object_store_begin_eras(object_store_t *store);

/** object_store_take_copy() - Keep a copy of all objects as they are now */
void object_store_take_copy(object_store_t *store);

/**
 * object_store_restore_copy() - Go back to the copy that was taken last
 *
 * What was written since is gone, its revisions are given out again, the
 * history begins with the copy, and the era rises by one. Open watches are
 * answered as any other that begins now.
 */
void object_store_restore_copy(object_store_t *store);

/**
 * object_store_write_again() - Write again what was lost of a kind
 * @store: the store, which has gone back to a copy
 * @kind: the kind
 *
 * Objects are written, and removed, that were so before the store went back.
 * Their status is not written.
 */
void object_store_write_again(object_store_t *store, const char *kind);

/**
 * object_store_hang_watches() - Leave watches without a response
 * @store: the store
 * @hang: true: watches that wait are not answered, whatever changes, until it
 *	is set to false
 *
 * Lists, and watches that don't wait, are answered.
 */
void object_store_hang_watches(object_store_t *store, bool hang);

/** object_store_lose_watch() - Lose the next response to a watch of a kind that
 * brings a change: that watch is never answered */
void object_store_lose_watch(object_store_t *store, const char *kind);

/** object_store_has_lost_watch() - Whether that response was lost */
bool object_store_has_lost_watch(object_store_t *store);

/** object_store_set_silent_kind() - Hold back the responses to new requests for
 * a kind of objects; "" for none */
void object_store_set_silent_kind(object_store_t *store, const char *kind);

/** object_store_hold_later_pages() - Hold back the pages of lists after the
 * first one, or serve them again */
void object_store_hold_later_pages(object_store_t *store, bool hold);

/** object_store_hold_watches() - Let watches tell nothing until they time out,
 * or again what is new */
void object_store_hold_watches(object_store_t *store, bool hold);

/**
 * object_store_set_stale() - Serve lists that may be stale as of now
 * @store: the store
 * @stale: false: serve them up to date again
 *
 * So are watches that may be stale; other lists and watches stay up to date. A
 * list that may be stale shows each object as it was.
 */
void object_store_set_stale(object_store_t *store, bool stale);

/**
 * object_store_make_changes_long() - Make the changes of a kind until now many
 * @store: the store
 * @kind: kind of the objects
 *
 * A watch that begins before the current revision gets a response of 5 MiB;
 * lists and later watches are as usual.
 */
void object_store_make_changes_long(object_store_t *store, const char *kind);

/** object_store_long_response_count() - Return the number of such responses */
uint32_t object_store_long_response_count(object_store_t *store);

/**
 * object_store_set_down() - Make the store unreachable, or reachable again
 * @store: the store
 * @down: true closes open connections and refuses new ones; false accepts new
 *	ones again
 */
void object_store_set_down(object_store_t *store, bool down);

/** object_store_request_count() - Return the number of requests served */
uint32_t object_store_request_count(object_store_t *store);

#endif
