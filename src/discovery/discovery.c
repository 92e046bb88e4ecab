/*
 * Life cycle of a discovery. Publishes a view at the end of a turn of the loop
 * when anything has changed. sync.c reads the records, results.c and records.c
 * apply what was read, probe.c and completeness.c find out what a watch has
 * missed, availability.c tells whether the store responds, era.c whether it has
 * come back older.
 */
#include "discovery_private.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
	/* Back-off after the first failure, ms, and how often it is doubled. */
	BACKOFF_MIN_MS = 100,
	BACKOFF_DOUBLINGS_MAX = 4,
};

mc_ms_t discovery_backoff(mc_discovery_t *discovery, uint32_t failures)
{
	uint32_t doublings = failures < BACKOFF_DOUBLINGS_MAX
				     ? failures
				     : BACKOFF_DOUBLINGS_MAX;
	mc_ms_t pause = (mc_ms_t)BACKOFF_MIN_MS << doublings;

	if (pause > DISCOVERY_BACKOFF_MAX_MS)
		pause = DISCOVERY_BACKOFF_MAX_MS;
	return pause / 2 +
	       mc_random_below(mc_shard_random(discovery->params.shard),
			       (uint32_t)pause / 2);
}

void discovery_set_timer(mc_discovery_t *discovery, mc_ms_t delay,
			 mc_timer_fn_t fire, void *arg, mc_handle_t *timer)
{
	mc_shard_t *shard = discovery->params.shard;

	mc_timer_cancel(shard, *timer);
	if (mc_timer_set(shard, mc_shard_now(shard) + delay, fire, arg, timer))
		mc_log(mc_shard_log(shard), MC_LOG_ERROR, "follow",
		       "timer not set: %s", mc_last_error_message());
}

/*
 * Before the orders are known, a version in a roll-out can't be told from
 * others. A list from before the start may name targets that have left since,
 * or lack a data centre that is out of service.
 */
static bool may_publish(const mc_discovery_t *discovery)
{
	uint32_t i;

	if (!discovery->syncs[MC_SOURCE_ROLLOUTS].listed_once ||
	    !discovery->syncs[MC_SOURCE_DATA_CENTERS_OUT].listed_once)
		return false;
	for (i = 0; i < MC_SOURCE_KIND_COUNT; i++)
		if (discovery->syncs[i].listed_once &&
		    discovery_predates_start(&discovery->syncs[i]))
			return false;
	return true;
}

static void publish_view(mc_shard_t *shard, void *arg)
{
	mc_discovery_t *discovery = arg;
	const mc_registry_view_t *view;
	mc_ms_t now = mc_shard_now(shard);
	mc_ms_t next;

	discovery->publish_pending = false;
	if (!may_publish(discovery))
		return;
	if (mc_registry_expire(discovery->registry, now, &next)) {
		view = mc_registry_make_view(discovery->registry);
		if (view)
			discovery->params.publish(discovery->params.ctx, view);
		else
			next = now + DISCOVERY_BACKOFF_MAX_MS;
	}
	if (next != MC_MS_NEVER)
		discovery_set_timer(discovery, next > now ? next - now : 1,
				    publish_view, discovery,
				    &discovery->publish_timer);
}

void discovery_schedule_publish(mc_discovery_t *discovery)
{
	if (discovery->publish_pending)
		return;
	discovery->publish_pending = true;
	if (mc_shard_defer(discovery->params.shard, publish_view, discovery))
		discovery->publish_pending = false;
}

/* The instances are listed once this one has tried to register. */
static void start_sync(mc_shard_t *shard, void *arg)
{
	mc_discovery_t *discovery = arg;
	uint32_t i;

	discovery_expect_upstream(discovery);
	for (i = 0; i < MC_SOURCE_KIND_COUNT; i++)
		if (i != MC_SOURCE_INSTANCES)
			discovery_resume_sync(&discovery->syncs[i]);
	discovery_register(shard, discovery);
}

static mc_err_t init_discovery(mc_discovery_t *discovery)
{
	const mc_discovery_params_t *params = &discovery->params;
	uint32_t i;

	discovery->registry = mc_registry_create();
	discovery->rollouts = mc_rollouts_create(params->instance_name,
						 params->rollout_share);
	discovery->source =
		params->source->create(params->shard, params->store_address);
	if (!discovery->registry || !discovery->rollouts ||
	    !discovery->source || apr_pool_create(&discovery->pool, NULL))
		return mc_fail(MC_ERR_NO_MEMORY,
			       "no memory for service discovery");
	discovery->instances = apr_hash_make(discovery->pool);
	for (i = 0; i < MC_SOURCE_KIND_COUNT; i++)
		discovery->syncs[i] = (kind_sync_t){
			.discovery = discovery,
			.kind = (mc_source_kind_t)i,
			.relisting_since = MC_MS_NEVER,
			.missing_since = MC_MS_NEVER,
		};
	discovery->syncs[MC_SOURCE_ROLLOUTS].state.needed = MC_READ_CURRENT;
	if (peers_create(discovery))
		return MC_ERR_IO;
	return mc_shard_defer(params->shard, start_sync, discovery);
}

mc_discovery_t *mc_discovery_create(const mc_discovery_params_t *params)
{
	mc_discovery_t *discovery = calloc(1, sizeof(*discovery));

	if (!discovery)
		return NULL;
	discovery->params = *params;
	if (init_discovery(discovery)) {
		mc_discovery_destroy(discovery);
		return NULL;
	}
	return discovery;
}

void mc_discovery_destroy(mc_discovery_t *discovery)
{
	if (!discovery)
		return;
	peers_destroy(discovery);
	if (discovery->source)
		discovery->params.source->destroy(discovery->source);
	mc_registry_destroy(discovery->registry);
	mc_rollouts_destroy(discovery->rollouts);
	if (discovery->pool)
		apr_pool_destroy(discovery->pool);
	free(discovery);
}
