/*
 * Limiters: the table of policies and what they have in common.
 */
#include "limiter.h"

#include <stdlib.h>
#include <string.h>

const mc_limit_policy_t *mc_limit_find_policy(const char *name)
{
	static const mc_limit_policy_t policies[] = {
		{ .name = "adaptive", .create = mc_limiter_create_adaptive },
		{ .name = "fixed", .create = mc_limiter_create_fixed },
		{ .name = "none", .create = mc_limiter_create_none },
	};
	size_t i;

	for (i = 0; i < MC_ARRAY_LEN(policies); i++)
		if (!strcmp(policies[i].name, name))
			return &policies[i];
	return NULL;
}

void *mc_limiter_alloc(size_t size, const mc_limiter_ops_t *ops,
		       const mc_limit_params_t *params)
{
	mc_limiter_t *limiter = calloc(1, size);

	if (!limiter)
		return NULL;
	limiter->ops = ops;
	limiter->params = *params;
	if (!limiter->params.max)
		limiter->params.max = 1;
	if (!limiter->params.initial)
		limiter->params.initial = 1;
	if (limiter->params.initial > limiter->params.max)
		limiter->params.initial = limiter->params.max;
	limiter->whole = limiter->params.initial;
	limiter->used_at = INT64_MIN;
	return limiter;
}

void mc_limiter_destroy(mc_limiter_t *limiter)
{
	free(limiter);
}

void mc_limiter_set_owners(mc_limiter_t *limiter, uint32_t rank,
			   uint32_t owners, mc_ms_t now)
{
	bool anew = owners && !limiter->ownership.place.owners;

	mc_ownership_set(
		&limiter->ownership,
		(mc_place_t){ .rank = owners ? rank : 0, .owners = owners },
		limiter->params.handover, now);
	if (anew && limiter->ops->owned)
		limiter->ops->owned(limiter, now);
}

bool mc_limiter_set_start_id(mc_limiter_t *limiter, uint64_t start_id,
			     mc_ms_t now)
{
	return limiter->ops->started &&
	       limiter->ops->started(limiter, start_id, now);
}

void mc_limiter_set_reported_load(mc_limiter_t *limiter, double load,
				  mc_ms_t now)
{
	if (limiter->ops->hint)
		limiter->ops->hint(limiter, load, now);
}

void mc_limiter_set_warmup(mc_limiter_t *limiter, mc_ms_t left, mc_ms_t now)
{
	if (limiter->ops->cold)
		limiter->ops->cold(limiter, left, now);
}

bool mc_limiter_acquire(mc_limiter_t *limiter, mc_ms_t now)
{
	uint64_t share = mc_limiter_share(limiter, now);

	if (limiter->in_flight >= share)
		return false;
	limiter->in_flight++;
	if (limiter->in_flight * 100ULL >= share * MC_USED_PERCENT)
		limiter->used_at = now;
	return true;
}

bool mc_limiter_release(mc_limiter_t *limiter, mc_limit_outcome_t outcome,
			mc_ms_t latency, mc_ms_t now)
{
	bool ramp = limiter->ops->given &&
		    limiter->ops->given(limiter, outcome, latency, now);

	if (limiter->in_flight)
		limiter->in_flight--;
	return ramp;
}

uint32_t mc_limiter_in_flight(const mc_limiter_t *limiter)
{
	return limiter->in_flight;
}

uint32_t mc_limiter_share(const mc_limiter_t *limiter, mc_ms_t now)
{
	return limiter->ops->share(limiter, now);
}

uint32_t mc_limiter_concurrency(const mc_limiter_t *limiter)
{
	return (uint32_t)limiter->whole;
}

bool mc_limiter_is_ramping(const mc_limiter_t *limiter)
{
	return limiter->ramping;
}
