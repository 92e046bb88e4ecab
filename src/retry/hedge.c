/*
 * Policies that say when a straggler gets a second sub-query.
 */
#include "mc/retry.h"

#include <math.h>
#include <string.h>

enum {
	/* Samples from which on the estimate is used. */
	SAMPLES_MIN = 20,
	/* Shortest delay of a hedge, ms. */
	DELAY_MIN_MS = 2,
};

/* A shard that takes longer than this many times its service's is slow. */
static const double service_factor = 2;

static mc_ms_t delay_p95(const mc_quantile_t *shard,
			 const mc_quantile_t *service, mc_ms_t time_left)
{
	double value = HUGE_VAL;
	mc_ms_t delay;

	if (shard->samples >= SAMPLES_MIN)
		value = shard->value;
	if (service->samples >= SAMPLES_MIN)
		value = fmin(value, service->value * service_factor);
	if (value >= (double)time_left)
		return MC_MS_NEVER;
	delay = (mc_ms_t)ceil(value);
	if (delay < DELAY_MIN_MS)
		delay = DELAY_MIN_MS;
	return delay < time_left ? delay : MC_MS_NEVER;
}

static mc_ms_t delay_none(const mc_quantile_t *shard,
			  const mc_quantile_t *service, mc_ms_t time_left)
{
	(void)shard;
	(void)service;
	(void)time_left;
	return MC_MS_NEVER;
}

const mc_hedge_policy_t *mc_hedge_policy(const char *name)
{
	static const mc_hedge_policy_t policies[] = {
		{ .name = "p95", .delay = delay_p95 },
		{ .name = "none", .delay = delay_none },
	};
	size_t i;

	for (i = 0; i < MC_ARRAY_LEN(policies); i++)
		if (!strcmp(policies[i].name, name))
			return &policies[i];
	return NULL;
}
