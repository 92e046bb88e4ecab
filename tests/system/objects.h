/*
 * A stand-in of the platform's store of objects: lists in pages, watches,
 * conditions, and ways to misbehave.
 */
#ifndef OBJECTS_H
#define OBJECTS_H

#include "raw_http.h"

typedef struct objects_t objects_t;

/** objects_start() - an empty store on 127.0.0.1 */
objects_t *objects_start(void);

/** objects_stop() - end and free it; NULL is allowed */
void objects_stop(objects_t *objects);

uint16_t objects_port(const objects_t *objects);

/** objects_put() - write an object; the reference to @spec is taken */
void objects_put(objects_t *objects, const char *kind, const char *name,
		 json_t *spec);

/** objects_remove() - remove an object */
void objects_remove(objects_t *objects, const char *kind, const char *name);

/** objects_forget() - drop the history: watches below now are answered 410 */
void objects_forget(objects_t *objects);

/** objects_silence() - take calls and never answer them while @silent */
void objects_silence(objects_t *objects, bool silent);

/** objects_down() - refuse connections and cut those that are open */
void objects_down(objects_t *objects, bool down);

/** objects_calls() - calls that were answered so far */
uint32_t objects_calls(objects_t *objects);

#endif
