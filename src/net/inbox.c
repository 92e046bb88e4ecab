/*
 * Lists of calls: those that any thread posts to a shard's inbox, and those
 * that handlers defer to the end of a turn.
 */
#include "net_private.h"

#include <stdlib.h>

enum {
	CALLS_CAPACITY_MIN = 64,
};

mc_err_t call_list_add(call_list_t *calls, call_t call)
{
	if (calls->count == calls->capacity) {
		uint32_t capacity = calls->capacity ? calls->capacity * 2
						    : CALLS_CAPACITY_MIN;
		call_t *list = realloc(calls->list, capacity * sizeof(*list));

		if (!list)
			return mc_fail(MC_ERR_NO_MEMORY, "no memory for calls");
		calls->list = list;
		calls->capacity = capacity;
	}
	calls->list[calls->count++] = call;
	return MC_OK;
}

bool call_list_run(call_list_t *calls, mc_shard_t *shard)
{
	call_list_t taken = *calls;
	uint32_t i;

	if (!taken.count)
		return false;
	*calls = (call_list_t){ 0 };
	for (i = 0; i < taken.count; i++)
		taken.list[i].run(shard, taken.list[i].arg);
	if (calls->list) {
		free(taken.list);
		return true;
	}
	taken.count = 0;
	*calls = taken;
	return true;
}

void inbox_init(inbox_t *inbox)
{
	pthread_mutex_init(&inbox->lock, NULL);
}

void inbox_destroy(inbox_t *inbox)
{
	free(inbox->calls.list);
	pthread_mutex_destroy(&inbox->lock);
}

bool inbox_run(inbox_t *inbox, mc_shard_t *shard)
{
	call_list_t taken;
	uint32_t i;

	pthread_mutex_lock(&inbox->lock);
	taken = inbox->calls;
	inbox->calls = (call_list_t){ 0 };
	pthread_mutex_unlock(&inbox->lock);
	for (i = 0; i < taken.count; i++)
		taken.list[i].run(shard, taken.list[i].arg);
	free(taken.list);
	return taken.count > 0;
}

mc_err_t mc_shard_post(mc_shard_t *shard,
		       void (*run)(mc_shard_t *shard, void *arg), void *arg)
{
	call_t call = { .run = run, .arg = arg };
	bool first;
	mc_err_t err;

	pthread_mutex_lock(&shard->inbox.lock);
	first = !shard->inbox.calls.count;
	err = call_list_add(&shard->inbox.calls, call);
	pthread_mutex_unlock(&shard->inbox.lock);
	if (!err && first)
		apr_pollset_wakeup(shard->watches.pollset);
	return err;
}
