/*
 * A target is missed when it takes no connections or has been silent for longer
 * than a pause of its own would take, until it is heard; a refused connection
 * is heard, as it comes from there. A service is reached while some target of
 * it is not missed. Whether targets are back is found out by connecting to
 * them, so that no caller's request finds out, and an instance that gets no
 * requests learns that it is no longer cut off.
 */
#include "reachability.h"

enum {
	/* A belief about all services is used again for so long, ms. */
	BELIEF_MS = 100,
	/* Targets that are out are looked at this often, ms. */
	PROBE_EVERY_MS = 250,
	/* A miss counts for so long, unless it is found anew, ms. */
	MISS_LIFE_MS = 1500,
};

static bool is_silent(const target_t *target, mc_ms_t now)
{
	const try_t *oldest = TAILQ_FIRST(&target->tries);

	return oldest && now - oldest->sent_at > TIER_SILENT_MS;
}

/* Since when nothing is heard of a target; MC_MS_NEVER if all is well. */
static mc_ms_t missed_since(const target_t *target, mc_ms_t now)
{
	if (is_silent(target, now))
		return TAILQ_FIRST(&target->tries)->sent_at;
	if (target->missed <= target->heard ||
	    now - target->missed_last > MISS_LIFE_MS)
		return MC_MS_NEVER;
	return target->missed;
}

/* When the first of a service's targets was missed; MC_MS_NEVER if none is. */
static mc_ms_t first_missed(const tier_t *tier, const service_t *service,
			    uint32_t *others)
{
	mc_ms_t now = mc_shard_now(tier->shard), first = MC_MS_NEVER, since;
	uint32_t i;

	*others = 0;
	for (i = 0; i < service->target_count; i++) {
		const target_t *target =
			mc_table_get(tier->targets, service->targets[i]);

		if (!target || target->out || target->replaced)
			continue;
		since = missed_since(target, now);
		if (since == MC_MS_NEVER)
			(*others)++;
		else if (since < first)
			first = since;
	}
	return first;
}

bool reach_service(tier_t *tier, const service_t *service)
{
	uint32_t others;

	if (first_missed(tier, service, &others) != MC_MS_NEVER)
		reach_probe_soon(tier);
	return others > 0;
}

/* Whether enough of a route's services are reached for an answer. */
static bool route_reached(tier_t *tier, const mc_routemap_t *map,
			  const mc_routemap_route_t *route)
{
	bool all = route->dispatch == MC_ROUTEMAP_FAN_OUT;
	uint32_t reached = 0, i;

	for (i = 0; i < route->destination_count; i++) {
		const service_t *service = mc_table_get(
			tier->services,
			tier->rows[mc_routemap_destination(map, route, i)
					   ->service]);

		if (service && reach_service(tier, service))
			reached++;
	}
	return reached && (!all || reached >= route->coverage_min *
						      route->destination_count);
}

bool reach_enough(tier_t *tier, const request_t *request)
{
	bool enough = route_reached(tier, request->map, request->route);

	mc_replica_isolation_record(&tier->belief, enough,
				    mc_shard_now(tier->shard));
	if (request->book)
		request->book->lacks = !enough;
	return enough;
}

/* Whether a route that was refused for want of reach still lacks it. */
static bool still_lacks(tier_t *tier)
{
	const mc_routemap_t *map = tier->world ? tier->world->map : NULL;
	uint32_t i;

	for (i = 0; map && i < mc_routemap_route_count(map); i++) {
		const mc_routemap_route_t *route = mc_routemap_route(map, i);
		const book_t *book = apr_hash_get(tier->books, route->name,
						  APR_HASH_KEY_STRING);

		if (book && book->lacks && !route_reached(tier, map, route))
			return true;
	}
	return false;
}

/* The belief has changed: the process is told, and the log. */
static void tell_belief(tier_t *tier, double recent, double lacking)
{
	uint64_t bit = UINT64_C(1) << mc_shard_index(tier->shard);

	if (tier->belief.cut_off)
		__atomic_fetch_or(&tier->process->cut_off_shards, bit,
				  __ATOMIC_RELAXED);
	else
		__atomic_fetch_and(&tier->process->cut_off_shards, ~bit,
				   __ATOMIC_RELAXED);
	mc_log(tier->log, tier->belief.cut_off ? MC_LOG_WARNING : MC_LOG_NOTICE,
	       "tier", "%s recent_requests=%.0f lacking_reach=%.0f",
	       tier->belief.cut_off ? "cut off from too many targets"
				    : "no longer cut off from targets",
	       recent, lacking);
	/* No request finds out that it is over: callers go elsewhere. */
	if (tier->belief.cut_off)
		reach_probe_soon(tier);
}

bool reach_cut_off(tier_t *tier)
{
	const mc_replica_isolation_t before = tier->belief;
	mc_ms_t now = mc_shard_now(tier->shard);

	if (now < tier->believed_until)
		return before.cut_off;
	tier->believed_until = now + BELIEF_MS;
	if (mc_replica_isolation_update(
		    &tier->belief, before.cut_off && still_lacks(tier), now))
		tell_belief(tier, before.requests, before.unreachable);
	return tier->belief.cut_off;
}

/*
 * Whether a new connection would tell something of @target: when it is missed,
 * and once when another target of its service is, so that it is known whether
 * that one alone is.
 */
static bool is_probe_due(const target_t *target, mc_ms_t service_missed,
			 mc_ms_t now)
{
	if (now - target->probed < PROBE_EVERY_MS || target->in_flight ||
	    target->health.ejected_until > now)
		return false;
	if (missed_since(target, now) != MC_MS_NEVER)
		return true;
	return target->heard < service_missed &&
	       target->probed < service_missed;
}

static bool probe_service(tier_t *tier, const service_t *service)
{
	mc_ms_t now = mc_shard_now(tier->shard);
	uint32_t others, i;
	mc_ms_t missed = first_missed(tier, service, &others);

	if (missed == MC_MS_NEVER)
		return false;
	for (i = 0; i < service->target_count; i++) {
		target_t *target =
			mc_table_get(tier->targets, service->targets[i]);

		if (target && !target->out && !target->replaced &&
		    is_probe_due(target, missed, now))
			pool_probe(tier, target);
	}
	return true;
}

static void probe(mc_shard_t *shard, void *arg)
{
	tier_t *tier = arg;
	uint32_t cursor = 0;
	mc_handle_t handle;
	const service_t *service;
	bool more = tier->belief.cut_off;

	(void)shard;
	tier->probe_timer = MC_HANDLE_NONE;
	while ((service = mc_table_next(tier->services, &cursor, &handle)))
		more = probe_service(tier, service) || more;
	if (more)
		reach_probe_soon(tier);
	reach_cut_off(tier);
}

void reach_probe_soon(tier_t *tier)
{
	if (tier->probe_timer.generation)
		return;
	if (mc_timer_set(tier->shard,
			 mc_shard_now(tier->shard) + PROBE_EVERY_MS, probe,
			 tier, &tier->probe_timer))
		mc_log(tier->log, MC_LOG_ERROR, "tier",
		       "targets that are out are not looked at: %s",
		       mc_last_error_message());
}
