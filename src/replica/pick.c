/*
 * Selects the target with the lowest expected cost. The penalties for draining,
 * unresponsive, ejected and already tried targets are far above the cost of any
 * load, so these targets are used only if no other is left.
 */
#include "mc/replica.h"

/* Penalties, in units of the time that a request takes at an idle target. */
static const double cost_remote = 0.8;
static const double cost_tie = 0.1;
static const double cost_draining = 100;
static const double cost_unresponsive = 200;
static const double cost_ejected = 1000;
static const double cost_tried = 10000;

static double cost_of(const mc_replica_candidate_t *candidate,
		      bool at_most_once)
{
	double cost = candidate->latency_ratio * (1 + candidate->load) +
		      candidate->hold;

	if (!candidate->local)
		cost += cost_remote;
	if (candidate->draining)
		cost += cost_draining;
	if (candidate->tried)
		cost += cost_tried;
	switch (candidate->state) {
	case MC_REPLICA_HEALTHY:
		break;
	case MC_REPLICA_PROBE_DUE:
		/* Send the next request here as the probe, but only one that
		 * may be repeated. */
		cost = at_most_once ? cost + cost_unresponsive : 0;
		break;
	case MC_REPLICA_OVERDUE:
		cost += cost_unresponsive;
		break;
	case MC_REPLICA_EJECTED:
		cost += cost_ejected;
		break;
	}
	return cost;
}

uint32_t mc_replica_pick(const mc_replica_candidate_t *candidates,
			 uint32_t count, bool at_most_once, mc_random_t *random)
{
	uint32_t best = MC_REPLICA_NONE;
	double best_cost = 0;
	uint32_t i;

	for (i = 0; i < count; i++) {
		double cost;

		if (!candidates[i].has_capacity)
			continue;
		cost = cost_of(&candidates[i], at_most_once) +
		       cost_tie * mc_random_unit(random);
		if (best != MC_REPLICA_NONE && cost >= best_cost)
			continue;
		best = i;
		best_cost = cost;
	}
	return best;
}
