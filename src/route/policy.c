/*
 * The replica policies and their table. A policy chooses among the usable
 * replicas of one shard that have the same rank (see choose.c).
 */
#include "mc/route.h"

#include <string.h>

/* Expected time until a new sub-query is answered, up to a constant factor. */
static double expected_wait(const mc_route_candidate_t *candidate)
{
	return candidate->latency * (candidate->in_flight + 1.0);
}

static bool is_better(const mc_route_candidate_t *a,
		      const mc_route_candidate_t *b)
{
	if (a->latency > 0 && b->latency > 0)
		return expected_wait(a) < expected_wait(b);
	return a->in_flight < b->in_flight;
}

static uint32_t choose_two(const mc_route_candidate_t *candidates,
			   uint32_t count, uint64_t request_hash,
			   mc_random_t *random)
{
	uint32_t first = mc_random_below(random, count);
	uint32_t second;

	(void)request_hash;
	if (count == 1)
		return 0;
	second = mc_random_below(random, count - 1);
	if (second >= first)
		second++;
	return is_better(&candidates[second], &candidates[first]) ? second
								  : first;
}

/* Chooses the candidate that was chosen longest ago. */
static uint32_t choose_round_robin(const mc_route_candidate_t *candidates,
				   uint32_t count, uint64_t request_hash,
				   mc_random_t *random)
{
	uint32_t best = 0;
	uint32_t i;

	(void)request_hash;
	(void)random;
	for (i = 1; i < count; i++)
		if (candidates[i].last_chosen < candidates[best].last_chosen)
			best = i;
	return best;
}

/*
 * Rendezvous hashing: when a candidate appears or disappears, only the requests
 * assigned to it move.
 */
static uint32_t choose_hash(const mc_route_candidate_t *candidates,
			    uint32_t count, uint64_t request_hash,
			    mc_random_t *random)
{
	uint64_t weight, best_weight = 0;
	uint32_t best = 0;
	uint32_t i;

	(void)random;
	for (i = 0; i < count; i++) {
		weight = mc_hash_pair(request_hash, candidates[i].key);
		if (i > 0 && weight <= best_weight)
			continue;
		best = i;
		best_weight = weight;
	}
	return best;
}

static const mc_route_policy_t policies[] = {
	{ .name = "two_choices", .choose = choose_two },
	{ .name = "round_robin", .choose = choose_round_robin },
	{ .name = "hash", .choose = choose_hash },
};

const mc_route_policy_t *mc_route_find_policy(const char *name)
{
	size_t i;

	for (i = 0; i < MC_ARRAY_LEN(policies); i++)
		if (!strcmp(policies[i].name, name))
			return &policies[i];
	return NULL;
}
