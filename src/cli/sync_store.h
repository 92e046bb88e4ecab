/*
 * Blocking client of the platform's store for commands. The calls run on a
 * shard of their own while the command's thread waits.
 */
#ifndef MC_CLI_SYNC_STORE_H
#define MC_CLI_SYNC_STORE_H

#include "mc/store.h"

typedef struct sync_store_t sync_store_t;

/**
 * struct sync_store_result_t - result of a call; the fields are those of
 * mc_store_result_t
 * @err: error
 * @may_have_applied: the write may have taken effect
 * @version: version of the object
 * @data: NUL-terminated content, freed by sync_store_result_free()
 * @size: length of @data in bytes
 */
typedef struct sync_store_result_t {
	mc_err_t err;
	bool may_have_applied;
	uint64_t version;
	char *data;
	size_t size;
} sync_store_result_t;

/*
 * Creates a client of the platform at @address, owned by the caller. Returns
 * NULL on failure.
 */
sync_store_t *sync_store_create(const char *address);
void sync_store_destroy(sync_store_t *sync_store);

/* Sleeps for @wait ms, before a call is repeated. */
void sync_store_sleep(sync_store_t *sync_store, mc_ms_t wait);

void sync_store_result_free(sync_store_result_t *result);

/* Reads an object. */
sync_store_result_t sync_store_read(sync_store_t *sync_store, const char *name);
/* Writes an object if its version is @expected; 0 if it must not exist. */
sync_store_result_t sync_store_write(sync_store_t *sync_store, const char *name,
				     uint64_t expected, const char *data);

#endif
