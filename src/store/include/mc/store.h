/*
 * Public header of the store library: the client of the platform's object
 * store and of its list of instances. It runs on one shard's loop. A write
 * whose answer was lost is read back by its writer, who looks for an id of its
 * own in the object.
 */
#ifndef MC_STORE_H
#define MC_STORE_H

#include "mc/net.h"

/** MC_STORE_CONFIG - name of the object that holds the configuration */
#define MC_STORE_CONFIG_NAME "mangocove/config"
/** MC_STORE_CLAIMS - prefix of claims of requests that may run only once */
#define MC_STORE_CLAIM_PREFIX "mangocove/claims/"

typedef struct mc_store_t mc_store_t;

/**
 * struct mc_store_result_t - how a call ended
 * @err: MC_OK; MC_ERR_NOT_FOUND (read); MC_ERR_CONFLICT (a conditional write
 *	found another version); MC_ERR_TIMED_OUT (a watch saw no change);
 *	MC_ERR_STORE_UNAVAILABLE
 * @maybe: with MC_ERR_STORE_UNAVAILABLE: a write may have taken effect
 * @version: version of the object, from 1
 * @data: content, valid during the call; zero-terminated
 * @size: bytes of @data
 */
typedef struct mc_store_result_t {
	mc_err_t err;
	bool may_have_applied;
	uint64_t version;
	const char *data;
	size_t size;
} mc_store_result_t;

/** mc_store_done_fn_t - called once per call that returned MC_OK */
typedef void (*mc_store_done_fn_t)(void *ctx, const mc_store_result_t *result);

/**
 * struct mc_store_api_t - a way to reach a store
 *
 * All functions return MC_OK, or MC_ERR_FULL or MC_ERR_NO_MEMORY, after which
 * the handler is not called.
 *
 * @read: read an object
 * @watch: wait until an object's version is above @above, at most @wait ms;
 *	0 for an object that does not exist
 * @create: write an object if it does not exist
 * @update: write an object if its version is @expected
 * @list: read the platform's list of instances: JSON
 *	[{"address": IP, "data_center": NAME, "state": "live" | "leaving"}]
 */
typedef struct mc_store_api_t {
	mc_err_t (*read)(mc_store_t *store, const char *name,
			 mc_store_done_fn_t done, void *ctx);
	mc_err_t (*watch)(mc_store_t *store, const char *name, uint64_t above,
			  mc_ms_t wait, mc_store_done_fn_t done, void *ctx);
	mc_err_t (*create)(mc_store_t *store, const char *name,
			   const char *data, size_t size,
			   mc_store_done_fn_t done, void *ctx);
	mc_err_t (*update)(mc_store_t *store, const char *name,
			   uint64_t expected, const char *data, size_t size,
			   mc_store_done_fn_t done, void *ctx);
	mc_err_t (*list_instances)(mc_store_t *store, mc_store_done_fn_t done,
				   void *ctx);
} mc_store_api_t;

/** mc_store_http() - the functions that speak the platform's HTTP */
const mc_store_api_t *mc_store_http_api(void);

/**
 * mc_store_create() - a client
 * @shard: its calls are made and answered on this shard
 * @address: "IP:port" of the platform
 * @timeout: of each call but a watch, ms
 *
 * Return: owned by the caller; NULL without memory. It must outlive its calls.
 */
mc_store_t *mc_store_create(mc_shard_t *shard, const char *address,
			    mc_ms_t timeout);

/** mc_store_destroy() - cancel open calls and free; NULL is allowed */
void mc_store_destroy(mc_store_t *store);

#endif
