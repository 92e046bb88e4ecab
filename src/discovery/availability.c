/*
 * Whether the store responds, and whether an upstream may make it needless to
 * watch the store.
 */
#include "discovery_private.h"

enum {
	/* After the start, and after the store was unavailable, the store is
	 * not watched for this fraction of @apply_max if an upstream may be
	 * found. */
	EXPECT_DIVISOR = 3,
	/* After a longer time without the store, ms, grace periods count from
	 * its end: entries of targets that run may have expired meanwhile, and
	 * are back soon. */
	OUTAGE_MIN_MS = 1000,
};

/*
 * Restarts all open watches. A store that has stopped responding, or has
 * dropped its history, may never answer a watch that was open then, even when
 * it responds to new calls again.
 */
void discovery_restart_watches(mc_discovery_t *discovery)
{
	uint32_t i;

	for (i = 0; i < MC_SOURCE_KIND_COUNT; i++) {
		kind_sync_t *sync = &discovery->syncs[i];

		if (discovery_cancel_watch(sync))
			discovery_set_timer(discovery, 0,
					    discovery_continue_sync, sync,
					    &sync->timer);
	}
}

static void end_expectation(mc_shard_t *shard, void *arg)
{
	mc_discovery_t *discovery = arg;

	(void)shard;
	discovery->expect_timer = MC_HANDLE_NONE;
	discovery_resume_all(discovery);
}

/* Does not watch the store for some time, in which an upstream may be found. */
void discovery_expect_upstream(mc_discovery_t *discovery)
{
	mc_ms_t now = mc_shard_now(discovery->params.shard);
	mc_ms_t time = discovery->params.apply_max / EXPECT_DIVISOR;

	if (!discovery->relay)
		return;
	discovery->expect_until = now + time;
	discovery_set_timer(discovery, time, end_expectation, discovery,
			    &discovery->expect_timer);
}

void discovery_probe_first(mc_discovery_t *discovery)
{
	discovery->expect_until = 0;
	/* An open call will show it as well. */
	discovery->is_probing = !discovery->syncs[MC_SOURCE_ROUTEMAP].in_flight;
	discovery_resume_all(discovery);
}

/* Resumes the kinds that waited for the store to respond. */
static void resume_parked(mc_discovery_t *discovery)
{
	uint32_t i;

	for (i = 0; i < MC_SOURCE_KIND_COUNT; i++) {
		kind_sync_t *sync = &discovery->syncs[i];

		if (!sync->parked)
			continue;
		sync->parked = false;
		discovery_set_timer(discovery, 0, discovery_continue_sync, sync,
				    &sync->timer);
	}
}

static void note_outage(mc_discovery_t *discovery, bool unavailable)
{
	mc_ms_t now = mc_shard_now(discovery->params.shard);

	if (unavailable)
		discovery->unavailable_since = now;
	else if (now - discovery->unavailable_since >= OUTAGE_MIN_MS)
		discovery->reached_again_at = now;
}

/* Logs one line per change of the store's availability, not one per call. */
void discovery_note_store_result(mc_discovery_t *discovery, mc_err_t err)
{
	bool unavailable = err == MC_ERR_STORE_UNAVAILABLE;

	if (!unavailable)
		discovery->last_response =
			mc_shard_now(discovery->params.shard);
	if (discovery->is_probing) {
		discovery->is_probing = false;
		if (!unavailable)
			resume_parked(discovery);
	}
	if (unavailable)
		mc_counter_add(mc_shard_counters(discovery->params.shard),
			       MC_COUNTER_STORE_FAILURES, 1);
	if (unavailable == discovery->store_unavailable)
		return;
	discovery->store_unavailable = unavailable;
	note_outage(discovery, unavailable);
	discovery_restart_watches(discovery);
	if (!unavailable) {
		discovery_expect_upstream(discovery);
		resume_parked(discovery);
	}
	if (unavailable)
		mc_log(mc_shard_log(discovery->params.shard), MC_LOG_WARNING,
		       "follow",
		       "store became unavailable map=%llu reason=\"%s\"",
		       (unsigned long long)mc_registry_routemap_version(
			       discovery->registry),
		       mc_last_error_message());
	else
		mc_log(mc_shard_log(discovery->params.shard), MC_LOG_NOTICE,
		       "follow", "store available again map=%llu",
		       (unsigned long long)mc_registry_routemap_version(
			       discovery->registry));
}
