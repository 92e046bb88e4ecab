/*
 * The least costly target. What a request could cost at a target that leaves,
 * is silent or out is far above any load, so that such targets are used only
 * where no other is left.
 */
#include "mc/replica.h"

/* Costs, in units of the time that a request takes at an idle target. */
static const double cost_remote = 0.8;
static const double cost_tie = 0.1;
static const double cost_leaving = 100;
static const double cost_silent = 200;
static const double cost_out = 1000;
static const double cost_tried = 10000;

static double cost_of(const mc_replica_candidate_t *candidate, bool careful)
{
	double cost = candidate->latency_ratio * (1 + candidate->load);

	if (!candidate->local)
		cost += cost_remote;
	if (candidate->draining)
		cost += cost_leaving;
	if (candidate->tried)
		cost += cost_tried;
	switch (candidate->state) {
	case MC_REPLICA_HEALTHY:
		break;
	case MC_REPLICA_PROBE_DUE:
		/* Something must find out; a request that may be repeated. */
		cost = careful ? cost + cost_silent : 0;
		break;
	case MC_REPLICA_UNRESPONSIVE:
		cost += cost_silent;
		break;
	case MC_REPLICA_EJECTED:
		cost += cost_out;
		break;
	}
	return cost;
}

uint32_t mc_replica_pick(const mc_replica_candidate_t *candidates,
			 uint32_t count, bool careful, mc_random_t *random)
{
	uint32_t best = MC_REPLICA_NONE;
	double least = 0;
	uint32_t i;

	for (i = 0; i < count; i++) {
		double cost;

		if (!candidates[i].has_capacity)
			continue;
		cost = cost_of(&candidates[i], careful) +
		       cost_tie * mc_random_unit(random);
		if (best != MC_REPLICA_NONE && cost >= least)
			continue;
		best = i;
		least = cost;
	}
	return best;
}
