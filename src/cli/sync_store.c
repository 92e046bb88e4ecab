/*
 * Blocking client of the platform's store.
 */
#include "sync_store.h"

#include <pthread.h>
#include <stdlib.h>
#include <string.h>

enum {
	CALL_TIMEOUT_MS = 5000,
	MS_PER_SECOND = 1000,
	NS_PER_MS = 1000000,
};

struct sync_store_t {
	mc_shard_t *shard;
	mc_store_t *client;
	pthread_mutex_t lock;
	pthread_cond_t call_done;
};

typedef struct {
	sync_store_t *sync_store;
	const char *name;
	bool write;
	uint64_t expected;
	const char *data;
	bool done;
	sync_store_result_t result;
} call_t;

sync_store_t *sync_store_create(const char *address)
{
	const mc_shard_params_t params = {
		.seed = 1,
		.clock = mc_clock_system(),
	};
	sync_store_t *sync_store = calloc(1, sizeof(*sync_store));

	if (!sync_store)
		return NULL;
	pthread_mutex_init(&sync_store->lock, NULL);
	pthread_cond_init(&sync_store->call_done, NULL);
	if (!mc_net_init())
		sync_store->shard = mc_shard_create(&params);
	if (sync_store->shard)
		sync_store->client = mc_store_create(sync_store->shard, address,
						     CALL_TIMEOUT_MS);
	if (sync_store->client && !mc_shard_start(sync_store->shard))
		return sync_store;
	sync_store_destroy(sync_store);
	return NULL;
}

void sync_store_destroy(sync_store_t *sync_store)
{
	if (sync_store->shard)
		mc_shard_stop(sync_store->shard);
	mc_store_destroy(sync_store->client);
	mc_shard_destroy(sync_store->shard);
	pthread_cond_destroy(&sync_store->call_done);
	pthread_mutex_destroy(&sync_store->lock);
	free(sync_store);
}

void sync_store_sleep(sync_store_t *sync_store, mc_ms_t wait)
{
	mc_ms_t until = mc_clock_wall(mc_clock_system()) + wait;
	const struct timespec limit = {
		.tv_sec = until / MS_PER_SECOND,
		.tv_nsec = until % MS_PER_SECOND * NS_PER_MS,
	};
	int err = 0;

	pthread_mutex_lock(&sync_store->lock);
	while (!err)
		err = pthread_cond_timedwait(&sync_store->call_done,
					     &sync_store->lock, &limit);
	pthread_mutex_unlock(&sync_store->lock);
}

void sync_store_result_free(sync_store_result_t *result)
{
	free(result->data);
	result->data = NULL;
}

static void complete_call(call_t *call, const sync_store_result_t *result)
{
	pthread_mutex_lock(&call->sync_store->lock);
	call->result = *result;
	call->done = true;
	pthread_cond_signal(&call->sync_store->call_done);
	pthread_mutex_unlock(&call->sync_store->lock);
}

static void on_result(void *ctx, const mc_store_result_t *result)
{
	sync_store_result_t copy = {
		.err = result->err,
		.may_have_applied = result->may_have_applied,
		.version = result->version,
		.data = strndup(result->data ? result->data : "", result->size),
		.size = result->size,
	};

	complete_call(ctx, &copy);
}

static mc_err_t start_call(call_t *call)
{
	const mc_store_api_t *api = mc_store_http_api();
	mc_store_t *store = call->sync_store->client;

	if (!call->write)
		return api->read(store, call->name, on_result, call);
	if (!call->expected)
		return api->create(store, call->name, call->data,
				   strlen(call->data), on_result, call);
	return api->update(store, call->name, call->expected, call->data,
			   strlen(call->data), on_result, call);
}

static void run_call(mc_shard_t *shard, void *arg)
{
	const sync_store_result_t failed = { .err = MC_ERR_STORE_UNAVAILABLE };

	(void)shard;
	if (start_call(arg))
		complete_call(arg, &failed);
}

static sync_store_result_t wait_call(call_t *call)
{
	sync_store_t *sync_store = call->sync_store;

	if (mc_shard_post(sync_store->shard, run_call, call))
		return (sync_store_result_t){ .err = MC_ERR_NO_MEMORY };
	pthread_mutex_lock(&sync_store->lock);
	while (!call->done)
		pthread_cond_wait(&sync_store->call_done, &sync_store->lock);
	pthread_mutex_unlock(&sync_store->lock);
	return call->result;
}

sync_store_result_t sync_store_read(sync_store_t *sync_store, const char *name)
{
	call_t call = { .sync_store = sync_store, .name = name };

	return wait_call(&call);
}

sync_store_result_t sync_store_write(sync_store_t *sync_store, const char *name,
				     uint64_t expected, const char *data)
{
	call_t call = {
		.sync_store = sync_store,
		.name = name,
		.write = true,
		.expected = expected,
		.data = data,
	};

	return wait_call(&call);
}
