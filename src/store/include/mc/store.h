/*
 * Public header of the store library: a client for the platform's object store
 * and its list of instances. It runs on the event loop of one shard. If the
 * response to a write is lost, the writer reads the object back and looks for
 * its own id in the content.
 */
#ifndef MC_STORE_H
#define MC_STORE_H

#include "mc/net.h"

/** MC_STORE_CONFIG_NAME - name of the object that holds the configuration */
#define MC_STORE_CONFIG_NAME "mangocove/config"
/**
 * MC_STORE_CLAIM_PREFIX - name prefix of objects that claim a request that may
 * run only once
 */
#define MC_STORE_CLAIM_PREFIX "mangocove/claims/"

typedef struct mc_store_t mc_store_t;

/**
 * struct mc_store_result_t - result of a call to the store
 * @err: MC_OK; MC_ERR_NOT_FOUND (read: no such object); MC_ERR_CONFLICT
 *	(write: the object has another version than expected);
 *	MC_ERR_TIMED_OUT (watch: no change within the wait);
 *	MC_ERR_STORE_UNAVAILABLE
 * @may_have_applied: with MC_ERR_STORE_UNAVAILABLE: the write may have taken
 *	effect
 * @version: version of the object, from 1
 * @data: NUL-terminated content, valid while the handler runs
 * @size: length of @data in bytes
 */
typedef struct mc_store_result_t {
	mc_err_t err;
	bool may_have_applied;
	uint64_t version;
	const char *data;
	size_t size;
} mc_store_result_t;

/**
 * mc_store_done_fn_t - handler of a result; called once for each call that was
 * started, unless the client is destroyed before
 */
typedef void (*mc_store_done_fn_t)(void *ctx, const mc_store_result_t *result);

/**
 * struct mc_store_api_t - operations of a store
 *
 * Each function returns MC_OK if the call was started. Otherwise it returns
 * MC_ERR_FULL or MC_ERR_NO_MEMORY and the handler is not called.
 *
 * @read: read an object
 * @watch: wait up to @wait ms until the version of an object is above @above;
 *	an object that does not exist has version 0
 * @create: write an object if it does not exist
 * @update: write an object if its version is @expected
 * @list_instances: read the platform's list of instances: JSON
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

/** mc_store_http_api() - Get the operations over the platform's HTTP API. */
const mc_store_api_t *mc_store_http_api(void);

/**
 * mc_store_create() - Create a client.
 * @shard: shard that makes the calls and runs their handlers
 * @address: "IP:port" of the platform
 * @timeout: maximum time of a call, ms; a watch adds its own wait
 *
 * Return: the client, owned by the caller, which must outlive its calls; NULL
 * if memory is exhausted.
 */
mc_store_t *mc_store_create(mc_shard_t *shard, const char *address,
			    mc_ms_t timeout);

/**
 * mc_store_destroy() - Cancel calls in progress and free the client. Their
 * handlers are not called. NULL is allowed.
 */
void mc_store_destroy(mc_store_t *store);

#endif
