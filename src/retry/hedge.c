/*
 * Hedging policies: the delay after which a sub-query without a response is
 * sent to a second target.
 */
#include "mc/retry.h"

#include <math.h>
#include <string.h>

enum {
	/* Samples required before an estimate is used. */
	SAMPLES_MIN = 20,
	/* Minimum hedging delay, ms. */
	DELAY_MIN_MS = 2,
};

/* Maximum hedging delay as a multiple of the 95th percentile of the service, so
 * that a shard whose target is always slow is hedged too. */
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
