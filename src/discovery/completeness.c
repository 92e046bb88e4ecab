/*
 * Up to when the records of each kind are known to be complete, and the check
 * of open watches. Each response of the store tells the store's revision. A
 * kind that is known up to that of a current response lacks no change that was
 * acknowledged before the call was begun; a response that may be stale doesn't
 * show that. A kind that is known less far than any response tells has not
 * changed since, or its watch hangs, as the response to it was lost: a call
 * that does not wait shows which. While the store's revision stays, nothing is
 * asked.
 */
#include "discovery_private.h"

enum {
	/* A kind is checked after this fraction of the time within which
	 * changes must be applied, if its watch has not told more by then. */
	CHECK_DIVISOR = 5,
	/* A watch that was open for this time has told what was new when it was
	 * begun, ms. */
	WATCH_SETTLED_MS = 250,
	/* Time left for a request that was sent at the end of a grace period to
	 * reach its target, ms. */
	SEND_MARGIN_MS = 400,
};

uint64_t completeness_known_until(const kind_sync_t *sync)
{
	return sync->checked_revision > sync->state.revision
		       ? sync->checked_revision
		       : sync->state.revision;
}

static bool is_behind(const kind_sync_t *sync)
{
	return completeness_known_until(sync) < sync->discovery->store_revision;
}

/* Whether a watch is open that should have told all changes. */
static bool has_settled_watch(const kind_sync_t *sync, mc_ms_t now)
{
	return discovery_is_following(sync) && sync->in_flight &&
	       sync->call == MC_READ_WATCH &&
	       now - sync->called_at >= WATCH_SETTLED_MS;
}

/* The route map is checked by each probe. */
static void check_kind(kind_sync_t *sync, mc_ms_t now)
{
	if (sync->kind == MC_SOURCE_ROUTEMAP || !is_behind(sync) ||
	    !has_settled_watch(sync, now))
		return;
	probe_poll(sync, true);
}

static void check_watches(mc_shard_t *shard, void *arg)
{
	mc_discovery_t *discovery = arg;
	mc_ms_t now = mc_shard_now(shard);
	uint32_t i;

	discovery->check_timer = MC_HANDLE_NONE;
	if (discovery->store_unavailable ||
	    discovery_relay_state(discovery) != MC_READ_NO_UPSTREAM)
		return;
	for (i = 0; i < MC_SOURCE_KIND_COUNT; i++)
		check_kind(&discovery->syncs[i], now);
}

static void schedule_check(mc_discovery_t *discovery)
{
	if (!discovery->check_timer.generation)
		discovery_set_timer(
			discovery,
			discovery_change_max(discovery) / CHECK_DIVISOR,
			check_watches, discovery, &discovery->check_timer);
}

/* Extends the kinds that lack nothing, and has the others checked. */
static void update_kinds(mc_discovery_t *discovery)
{
	bool has_behind = false;
	uint32_t i;

	for (i = 0; i < MC_SOURCE_KIND_COUNT; i++) {
		kind_sync_t *sync = &discovery->syncs[i];

		if (completeness_known_until(sync) >=
		    discovery->current_revision)
			completeness_extend(sync, discovery->current_at);
		has_behind = has_behind || is_behind(sync);
	}
	if (has_behind)
		schedule_check(discovery);
}

void completeness_note_response(mc_discovery_t *discovery, uint64_t revision,
				mc_ms_t begun_at)
{
	if (revision && begun_at > discovery->current_at) {
		discovery->current_revision = revision;
		discovery->current_at = begun_at;
	}
	completeness_note_revision(discovery, revision);
}

void completeness_note_revision(mc_discovery_t *discovery, uint64_t revision)
{
	if (revision > discovery->store_revision)
		discovery->store_revision = revision;
	update_kinds(discovery);
}

void completeness_note_check(kind_sync_t *sync, uint64_t revision)
{
	if (revision > sync->checked_revision)
		sync->checked_revision = revision;
}

void completeness_extend(kind_sync_t *sync, mc_ms_t at)
{
	if (at > sync->complete_at)
		sync->complete_at = at;
}

void completeness_begin_era(kind_sync_t *sync)
{
	sync->checked_revision = 0;
	sync->complete_at = mc_shard_now(sync->discovery->params.shard);
}

/* The part of @drain_period that is left beside the grace period. */
static mc_ms_t lateness_allowed(const mc_discovery_t *discovery)
{
	mc_ms_t left = discovery->params.drain_period - SEND_MARGIN_MS -
		       MC_REGISTRY_REMOVAL_GRACE_MS;

	return left > 0 ? left : 0;
}

mc_ms_t completeness_changed_since(const kind_sync_t *sync)
{
	const mc_discovery_t *discovery = sync->discovery;
	mc_ms_t now = mc_shard_now(discovery->params.shard);
	mc_ms_t since = sync->complete_at;

	/* While the records may be from before the start they were never
	 * published: a target that leaves then needs no grace period. */
	if (!discovery->start_passed &&
	    (!discovery->start_revision ||
	     sync->state.revision < discovery->start_revision))
		return 0;
	if (discovery->reached_again_at > since)
		since = discovery->reached_again_at;
	since += lateness_allowed(discovery);
	return since < now ? since : now;
}
