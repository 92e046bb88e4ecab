/*
 * Eras of the store. A store that has come back from an older copy says so by a
 * higher era in its responses: what was written since the copy is gone, and its
 * revisions are given out again. All kinds are listed anew; what was known
 * stays in force until then, and an older configuration never replaces a newer
 * one. A response of a former era, which arrives late, is not used.
 */
#include "discovery_private.h"

enum {
	/* A subscriber waits for this fraction of @apply_max for the lists that
	 * its upstream relays, before it reads them. */
	RELAYED_LISTS_DIVISOR = 6,
	/* Instances that the store has forgotten are kept for this time, ms, in
	 * which they write their records again. */
	INSTANCES_KEEP_MS = 3000,
};

/* Gives up what is known of a kind's revisions, and its open call. */
static void restart_sync(kind_sync_t *sync, mc_ms_t delay)
{
	mc_discovery_t *discovery = sync->discovery;
	/* A subscriber's list may be stale: its upstream knows what is new. */
	bool may_be_stale = sync->listed_once && peers_has_upstream(discovery);

	discovery_cancel_watch(sync);
	sync->is_void = sync->in_flight;
	sync->begins_era = true;
	sync->state = (mc_read_state_t){
		.needed = may_be_stale ? 0 : MC_READ_CURRENT,
	};
	sync->relisting_since = mc_shard_now(discovery->params.shard);
	sync->list_after[0] = '\0';
	completeness_begin_era(sync);
	discovery_set_timer(discovery, delay, discovery_continue_sync, sync,
			    &sync->timer);
}

static void begin_era(mc_discovery_t *discovery, uint64_t era)
{
	mc_ms_t delay =
		peers_has_upstream(discovery)
			? discovery->params.apply_max / RELAYED_LISTS_DIVISOR
			: 0;
	uint32_t i;

	mc_log(mc_shard_log(discovery->params.shard), MC_LOG_WARNING, "follow",
	       "store has come back with less than it knew: all is listed "
	       "again era=%llu former=%llu map=%llu",
	       (unsigned long long)era, (unsigned long long)discovery->era,
	       (unsigned long long)mc_registry_routemap_version(
		       discovery->registry));
	mc_counter_add(mc_shard_counters(discovery->params.shard),
		       MC_COUNTER_STORE_ERAS, 1);
	discovery->targets_revision = 0;
	discovery->store_revision = 0;
	discovery->current_revision = 0;
	discovery->current_at = 0;
	discovery->start_passed =
		discovery->syncs[MC_SOURCE_ROLLOUTS].listed_once;
	mc_registry_begin_era(discovery->registry);
	mc_rollouts_begin_era(discovery->rollouts);
	for (i = 0; i < MC_SOURCE_KIND_COUNT; i++)
		restart_sync(&discovery->syncs[i], delay);
}

/* Lists the instances without those whose records were not written again. */
static void relist_instances(mc_shard_t *shard, void *arg)
{
	mc_discovery_t *discovery = arg;
	kind_sync_t *sync = &discovery->syncs[MC_SOURCE_INSTANCES];

	(void)shard;
	discovery->instances_timer = MC_HANDLE_NONE;
	discovery_relist(sync, sync->state.revision);
}

void era_end_list(kind_sync_t *sync)
{
	mc_discovery_t *discovery = sync->discovery;

	if (!sync->begins_era)
		return;
	sync->begins_era = false;
	if (sync->kind != MC_SOURCE_INSTANCES)
		return;
	discovery_check_registration(discovery);
	discovery_set_timer(discovery, INSTANCES_KEEP_MS, relist_instances,
			    discovery, &discovery->instances_timer);
}

bool era_is_former(const mc_discovery_t *discovery, uint64_t era)
{
	return era && era < discovery->era;
}

bool era_accept(mc_discovery_t *discovery, uint64_t era)
{
	uint64_t former = discovery->era;

	if (!era || era == former)
		return true;
	if (era_is_former(discovery, era)) {
		mc_log(mc_shard_log(discovery->params.shard), MC_LOG_INFO,
		       "follow",
		       "response of a former era of the store ignored era=%llu "
		       "known=%llu",
		       (unsigned long long)era, (unsigned long long)former);
		return false;
	}
	if (former)
		begin_era(discovery, era);
	discovery->era = era;
	peers_set_era(discovery);
	return !former;
}
