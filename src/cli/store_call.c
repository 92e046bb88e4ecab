/*
 * Calls to the store that wait for their result.
 */
#include "store_call.h"

#include <pthread.h>
#include <stdlib.h>
#include <string.h>

enum {
	CALL_TIMEOUT_MS = 5000,
	MS_PER_SECOND = 1000,
	NS_PER_MS = 1000000,
};

struct store_caller_t {
	mc_shard_t *shard;
	mc_store_t *store;
	pthread_mutex_t lock;
	pthread_cond_t ended;
};

typedef struct {
	store_caller_t *caller;
	const char *name;
	bool write;
	uint64_t expected;
	const char *data;
	bool done;
	store_reply_t reply;
} call_t;

store_caller_t *store_caller_create(const char *address)
{
	const mc_shard_params_t params = {
		.seed = 1,
		.clock = mc_clock_system(),
	};
	store_caller_t *caller = calloc(1, sizeof(*caller));

	if (!caller)
		return NULL;
	pthread_mutex_init(&caller->lock, NULL);
	pthread_cond_init(&caller->ended, NULL);
	if (!mc_net_init())
		caller->shard = mc_shard_create(&params);
	if (caller->shard)
		caller->store = mc_store_create(caller->shard, address,
						CALL_TIMEOUT_MS);
	if (caller->store && !mc_shard_start(caller->shard))
		return caller;
	store_caller_destroy(caller);
	return NULL;
}

void store_caller_destroy(store_caller_t *caller)
{
	if (caller->shard)
		mc_shard_stop(caller->shard);
	mc_store_destroy(caller->store);
	mc_shard_destroy(caller->shard);
	pthread_cond_destroy(&caller->ended);
	pthread_mutex_destroy(&caller->lock);
	free(caller);
}

void store_caller_wait(store_caller_t *caller, mc_ms_t wait)
{
	mc_ms_t until = mc_clock_wall(mc_clock_system()) + wait;
	const struct timespec limit = {
		.tv_sec = until / MS_PER_SECOND,
		.tv_nsec = until % MS_PER_SECOND * NS_PER_MS,
	};
	int err = 0;

	pthread_mutex_lock(&caller->lock);
	while (!err)
		err = pthread_cond_timedwait(&caller->ended, &caller->lock,
					     &limit);
	pthread_mutex_unlock(&caller->lock);
}

void store_reply_free(store_reply_t *reply)
{
	free(reply->data);
	reply->data = NULL;
}

static void end_call(call_t *call, const store_reply_t *reply)
{
	pthread_mutex_lock(&call->caller->lock);
	call->reply = *reply;
	call->done = true;
	pthread_cond_signal(&call->caller->ended);
	pthread_mutex_unlock(&call->caller->lock);
}

static void on_result(void *ctx, const mc_store_result_t *result)
{
	store_reply_t reply = {
		.err = result->err,
		.maybe = result->may_have_applied,
		.version = result->version,
		.data = strndup(result->data ? result->data : "", result->size),
		.size = result->size,
	};

	end_call(ctx, &reply);
}

static mc_err_t start_call(call_t *call)
{
	const mc_store_api_t *api = mc_store_http_api();
	mc_store_t *store = call->caller->store;

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
	const store_reply_t failed = { .err = MC_ERR_STORE_UNAVAILABLE };

	(void)shard;
	if (start_call(arg))
		end_call(arg, &failed);
}

static store_reply_t wait_call(call_t *call)
{
	store_caller_t *caller = call->caller;

	if (mc_shard_post(caller->shard, run_call, call))
		return (store_reply_t){ .err = MC_ERR_NO_MEMORY };
	pthread_mutex_lock(&caller->lock);
	while (!call->done)
		pthread_cond_wait(&caller->ended, &caller->lock);
	pthread_mutex_unlock(&caller->lock);
	return call->reply;
}

store_reply_t store_call_read(store_caller_t *caller, const char *name)
{
	call_t call = { .caller = caller, .name = name };

	return wait_call(&call);
}

store_reply_t store_call_write(store_caller_t *caller, const char *name,
			       uint64_t expected, const char *data)
{
	call_t call = {
		.caller = caller,
		.name = name,
		.write = true,
		.expected = expected,
		.data = data,
	};

	return wait_call(&call);
}
