/*
 * Chooses a replica of a shard and one of its owning gathers. Replicas that
 * cannot be used are skipped; of the rest, only those of the best rank become
 * candidates of the policy.
 */
#include "router.h"

/* Makes the version choice independent of other uses of the request hash. */
static const uint64_t VERSION_SALT = UINT64_C(0x76657273696f6e);

/*
 * A replica's rank; the lowest is preferred. The bits are in order of
 * increasing weight: it is in another data centre, it is far slower than the
 * fastest replica, it is at its limit, it does not have the version chosen for
 * the request, it failed recently. A replica of RANK_NONE is never chosen.
 */
enum {
	RANK_REMOTE = 1 << 0,
	RANK_SLOW = 1 << 1,
	RANK_BUSY = 1 << 2,
	RANK_OTHER_VERSION = 1 << 3,
	RANK_FAILED = 1 << 4,
	RANK_NONE = 1 << 5,
};

/*
 * A replica is slow when its latency exceeds SLOW_FACTOR times that of the
 * fastest replica, plus SLOW_MARGIN_MS.
 */
static const double SLOW_FACTOR = 2;
static const double SLOW_MARGIN_MS = 5;

/*
 * Returns whether the request is assigned to the new version of its service's
 * move.
 */
static bool wants_new_version(const mc_router_t *router,
			      const mc_route_query_t *query)
{
	mc_row_t service = router->config->layouts[query->layout].service;
	uint64_t hash = mc_hash_pair(query->request_hash, VERSION_SALT);
	/* 53 bits, the precision of a double. */
	double unit = (double)(hash >> 11) * 0x1p-53;

	return unit < router->services[service].share;
}

/* A request assigned to the old version never uses the new one. */
static uint32_t rank_version(mc_version_class_t version, bool wants_new)
{
	switch (version) {
	case MC_VERSION_ANY:
		return 0;
	case MC_VERSION_FROM:
		return wants_new ? RANK_OTHER_VERSION : 0;
	case MC_VERSION_TO:
		return wants_new ? 0 : RANK_NONE;
	default:
		return RANK_NONE;
	}
}

static bool is_excluded(const mc_route_query_t *query, mc_row_t target)
{
	uint32_t i;

	for (i = 0; i < query->exclude_count; i++)
		if (query->exclude[i] == target)
			return true;
	return false;
}

static bool is_eligible(const mc_router_t *router,
			const mc_route_query_t *query, mc_row_t target)
{
	if (is_excluded(query, target) ||
	    !mc_router_is_target_usable(router, target))
		return false;
	return !query->serves || query->serves(query->serves_ctx, target);
}

/* Lowest known latency of the replicas that can be used; 0 if none is known. */
static double find_min_latency(const mc_router_t *router,
			       const mc_route_query_t *query,
			       const mc_row_t *targets, uint32_t count)
{
	double min_latency = 0;
	uint32_t i;

	for (i = 0; i < count; i++) {
		double latency = router->targets[targets[i]].latency;

		if (latency > 0 &&
		    (min_latency <= 0 || latency < min_latency) &&
		    is_eligible(router, query, targets[i]))
			min_latency = latency;
	}
	return min_latency;
}

static bool is_slow(const mc_target_record_t *record, double min_latency)
{
	return min_latency > 0 &&
	       record->latency > min_latency * SLOW_FACTOR + SLOW_MARGIN_MS;
}

static uint32_t rank_target(const mc_router_t *router,
			    const mc_route_query_t *query, bool wants_new,
			    mc_row_t target, double min_latency)
{
	const mc_target_record_t *record = &router->targets[target];
	uint32_t rank;

	if (!is_eligible(router, query, target))
		return RANK_NONE;
	rank = rank_version(router->targets[target].version, wants_new);
	if (rank == RANK_NONE)
		return RANK_NONE;
	if (query->now < record->failed_until)
		rank |= RANK_FAILED;
	if (query->now < record->busy_until)
		rank |= RANK_BUSY;
	if (is_slow(record, min_latency))
		rank |= RANK_SLOW;
	if (router->config->targets[target].data_center != router->data_center)
		rank |= RANK_REMOTE;
	return rank;
}

static mc_route_candidate_t make_candidate(const mc_router_t *router,
					   mc_row_t target)
{
	const mc_target_record_t *record = &router->targets[target];
	const mc_target_t *row = &router->config->targets[target];

	return (mc_route_candidate_t){
		.target = target,
		.key = row->key,
		.in_flight = record->in_flight,
		.latency = record->latency,
		.last_chosen = record->last_chosen,
		.local = row->data_center == router->data_center,
	};
}

/* Fills router->candidates with the replicas of the best rank. */
static uint32_t select_candidates(mc_router_t *router,
				  const mc_route_query_t *query,
				  const mc_row_t *targets, uint32_t count)
{
	bool wants_new = wants_new_version(router, query);
	double min_latency = find_min_latency(router, query, targets, count);
	uint32_t best = RANK_NONE;
	uint32_t found = 0;
	uint32_t i;

	for (i = 0; i < count; i++) {
		uint32_t rank = rank_target(router, query, wants_new,
					    targets[i], min_latency);

		/*
		 * The latency of a replica that is skipped as slow decays until
		 * it is tried again.
		 */
		router->targets[targets[i]].passed_over =
			rank & RANK_SLOW && rank != RANK_NONE;
		if (rank == RANK_NONE || rank > best)
			continue;
		if (rank < best)
			found = 0;
		best = rank;
		router->candidates[found++] =
			make_candidate(router, targets[i]);
	}
	return found;
}

/* Records the choice, and which other candidates were passed over. */
static mc_row_t record_choice(mc_router_t *router, uint32_t count,
			      uint32_t chosen)
{
	mc_row_t target = router->candidates[chosen].target;
	uint32_t i;

	for (i = 0; i < count; i++)
		router->targets[router->candidates[i].target].passed_over =
			i != chosen;
	router->targets[target].last_chosen = ++router->choice_count;
	return target;
}

static bool is_better_gather(const mc_router_t *router, uint32_t a, uint32_t b)
{
	const mc_gather_record_t *first = &router->gathers[a];
	const mc_gather_record_t *second = &router->gathers[b];
	bool first_in_use = first->last_request == router->request;
	bool second_in_use = second->last_request == router->request;

	if (first_in_use != second_in_use)
		return first_in_use;
	return first->gather.in_flight < second->gather.in_flight;
}

/*
 * The target must have a usable owner. Ties are broken at random: the order of
 * owners is the same on every instance, so that always taking the first one
 * would send the load of all instances to it.
 */
static uint32_t choose_gather(mc_router_t *router, mc_row_t target,
			      mc_random_t *random)
{
	const uint32_t *owners =
		&router->owners[(size_t)target * router->owners_max];
	uint32_t count = router->targets[target].owner_count;
	uint32_t first = mc_random_below(random, count);
	uint32_t best = UINT32_MAX;
	uint32_t i;

	for (i = 0; i < count; i++) {
		uint32_t owner = owners[(first + i) % count];

		if (!router->gathers[owner].gather.usable)
			continue;
		if (best == UINT32_MAX || is_better_gather(router, owner, best))
			best = owner;
	}
	router->gathers[best].last_request = router->request;
	return best;
}

static mc_err_t no_target_error(const mc_router_t *router,
				const mc_route_query_t *query,
				const mc_row_t *targets, uint32_t count)
{
	const mc_config_t *config = router->config;
	uint32_t i, remaining = 0, out = 0;

	for (i = 0; i < count; i++) {
		mc_row_t row = config->targets[targets[i]].data_center;

		if (is_excluded(query, targets[i]))
			continue;
		remaining++;
		out += config->data_centers[row].out_of_service;
	}
	if (remaining > 0 && out == remaining)
		return mc_fail(MC_ERR_DATA_CENTER_OUT,
			       "all data centres of shard %u's remaining "
			       "replicas are out",
			       query->shard);
	return mc_fail(MC_ERR_NO_TARGET, "no usable replica of shard %u",
		       query->shard);
}

mc_err_t mc_router_choose(mc_router_t *router, const mc_route_query_t *query,
			  mc_random_t *random, mc_route_choice_t *choice)
{
	const mc_config_t *config = router->config;
	const mc_row_t *targets;
	uint32_t count, found, chosen;

	if (query->layout >= config->layout_count ||
	    query->shard >= config->layouts[query->layout].shard_count)
		return mc_fail(MC_ERR_NO_TARGET, "unknown layout or shard");
	targets = mc_config_shard_targets(config, query->layout, query->shard,
					  &count);
	found = select_candidates(router, query, targets, count);
	if (!found)
		return no_target_error(router, query, targets, count);
	chosen = router->policy->choose(router->candidates, found,
					query->request_hash, random);
	choice->target = record_choice(router, found, chosen);
	choice->gather = choose_gather(router, choice->target, random);
	return MC_OK;
}
