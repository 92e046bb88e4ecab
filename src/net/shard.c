/*
 * The shard's thread. A turn of its loop waits for events and then, with the
 * shard's lock held, handles descriptors, the inbox, timers and deferred calls.
 */
#include "net_private.h"

#include <apr_general.h>
#include <stdlib.h>

mc_err_t mc_net_init(void)
{
	if (apr_initialize())
		return mc_fail(MC_ERR_INTERNAL, "APR initialization failed");
	if (curl_global_init(CURL_GLOBAL_ALL))
		return mc_fail(MC_ERR_INTERNAL,
			       "libcurl initialization failed");
	return MC_OK;
}

static mc_err_t init_components(mc_shard_t *shard)
{
	mc_err_t err = watches_init(&shard->watches);

	if (!err)
		err = timers_init(&shard->timers);
	if (!err)
		err = links_init(shard);
	if (!err)
		err = listeners_init(shard);
	if (!err)
		err = http_client_init(shard);
	if (!err)
		err = http_server_init(shard);
	return err;
}

mc_shard_t *mc_shard_create(const mc_shard_params_t *params)
{
	mc_shard_t *shard = calloc(1, sizeof(*shard));

	if (!shard)
		return NULL;
	shard->index = params->index;
	shard->clock = params->clock;
	shard->log = params->log;
	shard->now = mc_clock_now(params->clock);
	mc_random_seed(&shard->random, params->seed);
	pthread_mutex_init(&shard->lock, NULL);
	inbox_init(&shard->inbox);
	if (init_components(shard)) {
		mc_shard_destroy(shard);
		return NULL;
	}
	return shard;
}

void mc_shard_destroy(mc_shard_t *shard)
{
	if (!shard)
		return;
	inbox_run(&shard->inbox, shard);
	call_list_run(&shard->deferred, shard);
	http_server_destroy(shard);
	http_client_destroy(shard);
	listeners_destroy(shard);
	links_destroy(shard);
	timers_destroy(&shard->timers);
	watches_destroy(&shard->watches);
	free(shard->deferred.list);
	inbox_destroy(&shard->inbox);
	pthread_mutex_destroy(&shard->lock);
	free(shard);
}

static mc_ms_t poll_timeout(const mc_shard_t *shard)
{
	mc_ms_t next = timers_next(&shard->timers);
	mc_ms_t now;

	if (shard->deferred.count)
		return 0;
	if (next == MC_MS_NEVER)
		return MC_MS_NEVER;
	now = mc_clock_now(shard->clock);
	return next > now ? next - now : 0;
}

static void *run_shard(void *arg)
{
	mc_shard_t *shard = arg;

	while (!__atomic_load_n(&shard->stopping, __ATOMIC_ACQUIRE)) {
		watches_poll(shard, poll_timeout(shard));
		inbox_run(&shard->inbox, shard);
		timers_run(shard);
		call_list_run(&shard->deferred, shard);
		pthread_mutex_unlock(&shard->lock);
	}
	return NULL;
}

mc_err_t mc_shard_start(mc_shard_t *shard)
{
	if (pthread_create(&shard->thread, NULL, run_shard, shard))
		return mc_fail(MC_ERR_INTERNAL, "shard thread not started");
	shard->started = true;
	return MC_OK;
}

void mc_shard_stop(mc_shard_t *shard)
{
	if (!shard->started)
		return;
	__atomic_store_n(&shard->stopping, true, __ATOMIC_RELEASE);
	apr_pollset_wakeup(shard->watches.pollset);
	pthread_join(shard->thread, NULL);
	shard->started = false;
}

void mc_shard_lock(mc_shard_t *shard)
{
	pthread_mutex_lock(&shard->lock);
}

void mc_shard_unlock(mc_shard_t *shard)
{
	pthread_mutex_unlock(&shard->lock);
}

mc_ms_t mc_shard_now(const mc_shard_t *shard)
{
	return shard->now;
}

const mc_clock_t *mc_shard_clock(const mc_shard_t *shard)
{
	return shard->clock;
}

uint32_t mc_shard_index(const mc_shard_t *shard)
{
	return shard->index;
}

mc_random_t *mc_shard_random(mc_shard_t *shard)
{
	return &shard->random;
}

mc_counters_t *mc_shard_counters(mc_shard_t *shard)
{
	return &shard->counters;
}

mc_log_t *mc_shard_log(const mc_shard_t *shard)
{
	return shard->log;
}

mc_err_t mc_shard_defer(mc_shard_t *shard, mc_timer_fn_t run, void *arg)
{
	return call_list_add(&shard->deferred,
			     (call_t){ .run = run, .arg = arg });
}
