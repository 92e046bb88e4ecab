/*
 * Calls to the platform's store that wait for their result, for commands. A
 * shard of its own makes them; the command's thread sleeps meanwhile.
 */
#ifndef MC_CLI_STORE_CALL_H
#define MC_CLI_STORE_CALL_H

#include "mc/store.h"

typedef struct store_caller_t store_caller_t;

/**
 * struct store_reply_t - how a call ended
 * @err: as in mc_store_result_t
 * @maybe: a write may have taken effect
 * @version: version of the object
 * @data: zero-terminated content; owned by the reply, see store_reply_free()
 * @size: bytes of @data
 */
typedef struct store_reply_t {
	mc_err_t err;
	bool maybe;
	uint64_t version;
	char *data;
	size_t size;
} store_reply_t;

/* A caller of the platform at @address; NULL with a last message. */
store_caller_t *store_caller_create(const char *address);
void store_caller_destroy(store_caller_t *caller);

/* Sleeps before a call is made again. */
void store_caller_wait(store_caller_t *caller, mc_ms_t wait);

void store_reply_free(store_reply_t *reply);

/* Reads an object. */
store_reply_t store_call_read(store_caller_t *caller, const char *name);
/* Writes an object if its version is @expected; 0 for one that is absent. */
store_reply_t store_call_write(store_caller_t *caller, const char *name,
			       uint64_t expected, const char *data);

#endif
