/*
 * The policies "fixed" and "none": baselines to compare the adaptive one with.
 */
#include "limiter.h"

static uint32_t share_fixed(const mc_limiter_t *limiter, mc_ms_t now)
{
	return mc_ownership_share(&limiter->ownership, limiter->params.initial,
				  now);
}

static uint32_t share_none(const mc_limiter_t *limiter, mc_ms_t now)
{
	(void)limiter;
	(void)now;
	return UINT32_MAX;
}

mc_limiter_t *mc_limiter_create_fixed(const mc_limit_params_t *params,
				      mc_ms_t now)
{
	static const mc_limiter_ops_t ops = { .share = share_fixed };

	(void)now;
	return mc_limiter_alloc(sizeof(mc_limiter_t), &ops, params);
}

mc_limiter_t *mc_limiter_create_none(const mc_limit_params_t *params,
				     mc_ms_t now)
{
	static const mc_limiter_ops_t ops = { .share = share_none };

	(void)now;
	return mc_limiter_alloc(sizeof(mc_limiter_t), &ops, params);
}
