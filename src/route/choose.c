/*
 * Chooses a replica of a shard and one of its gathers. Replicas that may not
 * be used are left out; of the others only those of the best rank are
 * candidates of the policy.
 */
#include "router.h"

/* Keeps the choice of the version apart from other uses of the hash. */
static const uint64_t VERSION_SALT = UINT64_C(0x76657273696f6e);

/*
 * A replica's rank; the lowest goes first. Bits in the order of their weight:
 * it failed lately, it has not the version that the request shall use, it is
 * at its limit, it is far slower than another, it is in another data centre.
 */
enum {
	RANK_REMOTE = 1 << 0,
	RANK_SLOW = 1 << 1,
	RANK_BUSY = 1 << 2,
	RANK_OTHER_VERSION = 1 << 3,
	RANK_FAILED = 1 << 4,
	RANK_NONE = 1 << 5,
};

/* Slow is what takes so many times the fastest replica's time, and this. */
static const double SLOW_FACTOR = 2;
static const double SLOW_MARGIN_MS = 5;

/* Whether the request shall use the new version of its service's move. */
static bool wants_new_version(const mc_router_t *router,
			      const mc_route_query_t *query)
{
	mc_row_t service = router->config->layouts[query->layout].service;
	uint64_t hash = mc_hash_pair(query->request_hash, VERSION_SALT);
	/* 53 bits, as many as a double holds. */
	double unit = (double)(hash >> 11) * 0x1p-53;

	return unit < router->services[service].share;
}

/* A request that shall use the old version never gets to the new one. */
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

static bool may_use(const mc_router_t *router, const mc_route_query_t *query,
		    mc_row_t target)
{
	if (is_excluded(query, target) ||
	    !mc_router_is_target_usable(router, target))
		return false;
	return !query->serves || query->serves(query->serves_ctx, target);
}

/* The least latency that is known of a replica that may be used. */
static double fastest(const mc_router_t *router, const mc_route_query_t *query,
		      const mc_row_t *targets, uint32_t count)
{
	double least = 0;
	uint32_t i;

	for (i = 0; i < count; i++) {
		double latency = router->targets[targets[i]].latency;

		if (latency > 0 && (least <= 0 || latency < least) &&
		    may_use(router, query, targets[i]))
			least = latency;
	}
	return least;
}

static bool is_slow(const mc_target_record_t *record, double least)
{
	return least > 0 &&
	       record->latency > least * SLOW_FACTOR + SLOW_MARGIN_MS;
}

static uint32_t rank_target(const mc_router_t *router,
			    const mc_route_query_t *query, bool wants_new,
			    mc_row_t target, double least)
{
	const mc_target_record_t *record = &router->targets[target];
	uint32_t rank;

	if (!may_use(router, query, target))
		return RANK_NONE;
	rank = rank_version(router->targets[target].version, wants_new);
	if (rank == RANK_NONE)
		return RANK_NONE;
	if (query->now < record->failed_until)
		rank |= RANK_FAILED;
	if (query->now < record->busy_until)
		rank |= RANK_BUSY;
	if (is_slow(record, least))
		rank |= RANK_SLOW;
	if (router->config->targets[target].data_center != router->data_center)
		rank |= RANK_REMOTE;
	return rank;
}

static mc_route_candidate_t describe_target(const mc_router_t *router,
					    mc_row_t target)
{
	const mc_target_record_t *record = &router->targets[target];
	const mc_target_t *row = &router->config->targets[target];

	return (mc_route_candidate_t){
		.target = target,
		.key = row->key,
		.in_flight = record->in_flight,
		.latency = record->latency,
		.last_chosen = record->turn,
		.local = row->data_center == router->data_center,
	};
}

/* Fills router->candidates with the replicas of the best rank. */
static uint32_t select_candidates(mc_router_t *router,
				  const mc_route_query_t *query,
				  const mc_row_t *targets, uint32_t count)
{
	bool wants_new = wants_new_version(router, query);
	double least = fastest(router, query, targets, count);
	uint32_t best = RANK_NONE;
	uint32_t found = 0;
	uint32_t i;

	for (i = 0; i < count; i++) {
		uint32_t rank = rank_target(router, query, wants_new,
					    targets[i], least);

		/* What is passed over as slow is so tried again later. */
		router->targets[targets[i]].passed =
			rank & RANK_SLOW && rank != RANK_NONE;
		if (rank == RANK_NONE || rank > best)
			continue;
		if (rank < best)
			found = 0;
		best = rank;
		router->candidates[found++] =
			describe_target(router, targets[i]);
	}
	return found;
}

/* Notes the choice, and the candidates that are passed over for it. */
static mc_row_t take_candidate(mc_router_t *router, uint32_t count,
			       uint32_t chosen)
{
	mc_row_t target = router->candidates[chosen].target;
	uint32_t i;

	for (i = 0; i < count; i++)
		router->targets[router->candidates[i].target].passed =
			i != chosen;
	router->targets[target].turn = ++router->turn;
	return target;
}

static bool is_better_gather(const mc_router_t *router, uint32_t a, uint32_t b)
{
	const mc_gather_record_t *first = &router->gathers[a];
	const mc_gather_record_t *second = &router->gathers[b];
	bool first_in_use = first->request == router->request;
	bool second_in_use = second->request == router->request;

	if (first_in_use != second_in_use)
		return first_in_use;
	return first->gather.in_flight < second->gather.in_flight;
}

/*
 * The target has a usable owner. Equal ones are taken at random, as the order
 * of owners is the same on every instance.
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
	router->gathers[best].request = router->request;
	return best;
}

static mc_err_t explain_none(const mc_router_t *router,
			     const mc_route_query_t *query,
			     const mc_row_t *targets, uint32_t count)
{
	const mc_config_t *config = router->config;
	uint32_t i, left = 0, out = 0;

	for (i = 0; i < count; i++) {
		mc_row_t row = config->targets[targets[i]].data_center;

		if (is_excluded(query, targets[i]))
			continue;
		left++;
		out += config->data_centers[row].out_of_service;
	}
	if (left > 0 && out == left)
		return mc_fail(MC_ERR_DATA_CENTER_OUT,
			       "data centres of shard %u are out",
			       query->shard);
	return mc_fail(MC_ERR_NO_TARGET, "no replica of shard %u is left",
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
		return mc_fail(MC_ERR_NO_TARGET, "there is no such shard");
	targets = mc_config_shard_targets(config, query->layout, query->shard,
					  &count);
	found = select_candidates(router, query, targets, count);
	if (!found)
		return explain_none(router, query, targets, count);
	chosen = router->policy->choose(router->candidates, found,
					query->request_hash, random);
	choice->target = take_candidate(router, found, chosen);
	choice->gather = choose_gather(router, choice->target, random);
	return MC_OK;
}
