/*
 * A stand-in of the platform's store of store: lists in pages, watches,
 * conditions, and ways to misbehave.
 */
#ifndef OBJECT_STORE_H
#define OBJECT_STORE_H

#include "raw_http.h"

typedef struct object_store_t object_store_t;

/** objects_start() - an empty store on 127.0.0.1 */
object_store_t *object_store_start(void);

/** objects_stop() - end and free it; NULL is allowed */
void object_store_stop(object_store_t *store);

uint16_t objects_port(const object_store_t *store);

/** objects_put() - write an object; the reference to @spec is taken */
void object_store_put(object_store_t *store, const char *kind, const char *name,
		      json_t *spec);

/** objects_remove() - remove an object */
void objects_remove(object_store_t *store, const char *kind, const char *name);

/** objects_forget() - drop the history: watches below now are answered 410 */
void objects_forget(object_store_t *store);

/** objects_silence() - take calls and never answer them while @silent */
void objects_silence(object_store_t *store, bool silent);

/** objects_down() - refuse connections and cut those that are open */
void objects_down(object_store_t *store, bool down);

/** objects_calls() - calls that were answered so far */
uint32_t object_store_request_count(object_store_t *store);

#endif
