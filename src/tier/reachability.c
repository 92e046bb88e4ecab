/*
 * A target is unresponsive when it accepts no connections, or has a request and
 * has not responded to any for longer than a pause of its process or the work
 * on a request takes, until it responds, accepts a probe connection or refuses
 * a connection; a refusal counts, as it comes from the target's host. One that
 * responds to other requests meanwhile is only busy. This is separate from the
 * health state of the replica library, which compares the age of a request with
 * the typical latency. A service is reachable while some target of it is
 * responsive. Probe connections detect when targets are back, so that no
 * caller's request is risked for it, and an instance that gets no requests can
 * detect that it is no longer cut off.
 */
#include "reachability.h"

enum {
	/* The isolation state is cached for this time, ms. */
	ISOLATION_VALID_MS = 100,
	/* Interval of probes of unresponsive targets, ms. */
	PROBE_INTERVAL_MS = 250,
	/* A target counts as unresponsive for this time after it was last found
	 * so, ms. */
	UNRESPONSIVE_TTL_MS = 1500,
};

/* Since when a request has waited without any response of its target. */
static mc_ms_t silent_since(const target_t *target, const attempt_t *attempt)
{
	return attempt->sent_at > target->last_seen ? attempt->sent_at
						    : target->last_seen;
}

bool reachability_is_silent(const target_t *target, const attempt_t *attempt,
			    mc_ms_t now)
{
	return now - silent_since(target, attempt) > attempt->silence_max;
}

/* Since when a target is unresponsive; MC_MS_NEVER if it is responsive. */
static mc_ms_t target_unresponsive_since(const target_t *target, mc_ms_t now)
{
	const attempt_t *oldest = TAILQ_FIRST(&target->attempts);

	if (oldest && reachability_is_silent(target, oldest, now))
		return silent_since(target, oldest);
	if (target->unresponsive_since <= target->last_seen ||
	    now - target->unresponsive_confirmed > UNRESPONSIVE_TTL_MS)
		return MC_MS_NEVER;
	return target->unresponsive_since;
}

/* When the first of a service's unresponsive targets became so; MC_MS_NEVER if
 * none is. Stores the number of responsive ones in @responsive_count. */
static mc_ms_t first_unresponsive_since(const tier_t *tier,
					const service_t *service,
					uint32_t *responsive_count)
{
	mc_ms_t now = mc_shard_now(tier->shard), first = MC_MS_NEVER, since;
	uint32_t i;

	*responsive_count = 0;
	for (i = 0; i < service->target_count; i++) {
		const target_t *target =
			mc_table_get(tier->targets, service->targets[i]);

		if (!target || target->data_center_out || target->replaced)
			continue;
		since = target_unresponsive_since(target, now);
		if (since == MC_MS_NEVER)
			(*responsive_count)++;
		else if (since < first)
			first = since;
	}
	return first;
}

bool reachability_has_target(tier_t *tier, const service_t *service)
{
	uint32_t responsive_count;

	if (first_unresponsive_since(tier, service, &responsive_count) !=
	    MC_MS_NEVER)
		reachability_schedule_probe(tier);
	return responsive_count > 0;
}

/* Whether enough of a route's services are reachable for a response. */
static bool is_route_reachable(tier_t *tier, const mc_routemap_t *map,
			       const mc_routemap_route_t *route)
{
	bool fan_out = route->dispatch == MC_ROUTEMAP_FAN_OUT;
	uint32_t reachable_count = 0, i;

	for (i = 0; i < route->destination_count; i++) {
		const service_t *service =
			mc_table_get(tier->services,
				     tier->map_services[mc_routemap_destination(
								map, route, i)
								->service]);

		if (service && reachability_has_target(tier, service))
			reachable_count++;
	}
	return reachable_count &&
	       (!fan_out ||
		reachable_count >=
			route->coverage_min * route->destination_count);
}

bool reachability_check_request(tier_t *tier, const request_t *request)
{
	bool reachable = is_route_reachable(tier, request->map, request->route);

	mc_replica_isolation_record(&tier->isolation, reachable,
				    mc_shard_now(tier->shard));
	if (request->stats)
		request->stats->unreachable = !reachable;
	return reachable;
}

/* Whether a route whose last request was refused as unreachable still is. */
static bool has_unreachable_route(tier_t *tier)
{
	const mc_routemap_t *map = tier->view ? tier->view->map : NULL;
	uint32_t i;

	for (i = 0; map && i < mc_routemap_route_count(map); i++) {
		const mc_routemap_route_t *route = mc_routemap_route(map, i);
		const route_stats_t *stats = apr_hash_get(
			tier->route_stats, route->name, APR_HASH_KEY_STRING);

		if (stats && stats->unreachable &&
		    !is_route_reachable(tier, map, route))
			return true;
	}
	return false;
}

/* Publishes a change of the shard's isolation state to the process and logs it.
 */
static void publish_isolation(tier_t *tier, double requests, double unreachable)
{
	uint64_t bit = UINT64_C(1) << mc_shard_index(tier->shard);

	if (tier->isolation.cut_off)
		__atomic_fetch_or(&tier->process->cut_off_shards, bit,
				  __ATOMIC_RELAXED);
	else
		__atomic_fetch_and(&tier->process->cut_off_shards, ~bit,
				   __ATOMIC_RELAXED);
	mc_log(tier->log,
	       tier->isolation.cut_off ? MC_LOG_WARNING : MC_LOG_NOTICE, "tier",
	       "%s recent_requests=%.0f lacking_reach=%.0f",
	       tier->isolation.cut_off
		       ? "instance cut off: too many targets unreachable"
		       : "instance no longer cut off: targets reachable again",
	       requests, unreachable);
	/* Requests can't detect the end of the isolation, as callers use other
	 * instances. */
	if (tier->isolation.cut_off)
		reachability_schedule_probe(tier);
}

bool reachability_is_cut_off(tier_t *tier)
{
	const mc_replica_isolation_t before = tier->isolation;
	mc_ms_t now = mc_shard_now(tier->shard);

	if (now < tier->isolation_valid_until)
		return before.cut_off;
	tier->isolation_valid_until = now + ISOLATION_VALID_MS;
	if (mc_replica_isolation_update(
		    &tier->isolation,
		    before.cut_off && has_unreachable_route(tier), now))
		publish_isolation(tier, before.requests, before.unreachable);
	return tier->isolation.cut_off;
}

/*
 * Whether to probe @target: when it is unresponsive, and once when another
 * target of its service is, to find out whether only that one is affected.
 */
static bool is_probe_due(const target_t *target,
			 mc_ms_t service_unresponsive_since, mc_ms_t now)
{
	if (now - target->last_probe < PROBE_INTERVAL_MS || target->in_flight ||
	    target->health.ejected_until > now)
		return false;
	if (target_unresponsive_since(target, now) != MC_MS_NEVER)
		return true;
	return target->last_seen < service_unresponsive_since &&
	       target->last_probe < service_unresponsive_since;
}

static bool probe_service(tier_t *tier, const service_t *service)
{
	mc_ms_t now = mc_shard_now(tier->shard);
	uint32_t responsive_count, i;
	mc_ms_t unresponsive_since =
		first_unresponsive_since(tier, service, &responsive_count);

	if (unresponsive_since == MC_MS_NEVER)
		return false;
	for (i = 0; i < service->target_count; i++) {
		target_t *target =
			mc_table_get(tier->targets, service->targets[i]);

		if (target && !target->data_center_out && !target->replaced &&
		    is_probe_due(target, unresponsive_since, now))
			pool_probe(tier, target);
	}
	return true;
}

static void on_probe_timer(mc_shard_t *shard, void *arg)
{
	tier_t *tier = arg;
	uint32_t cursor = 0;
	mc_handle_t handle;
	const service_t *service;
	bool more = tier->isolation.cut_off;

	(void)shard;
	tier->probe_timer = MC_HANDLE_NONE;
	while ((service = mc_table_next(tier->services, &cursor, &handle)))
		more = probe_service(tier, service) || more;
	if (more)
		reachability_schedule_probe(tier);
	reachability_is_cut_off(tier);
}

void reachability_schedule_probe(tier_t *tier)
{
	if (tier->probe_timer.generation)
		return;
	if (mc_timer_set(tier->shard,
			 mc_shard_now(tier->shard) + PROBE_INTERVAL_MS,
			 on_probe_timer, tier, &tier->probe_timer))
		mc_log(tier->log, MC_LOG_ERROR, "tier",
		       "unresponsive targets not probed: timer failed: %s",
		       mc_last_error_message());
}
