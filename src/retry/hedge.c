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

static mc_ms_t delay_p95(const mc_quantile_t *p95, mc_ms_t time_left)
{
	mc_ms_t delay = (mc_ms_t)ceil(p95->value);

	if (p95->samples < SAMPLES_MIN)
		return MC_MS_NEVER;
	if (delay < DELAY_MIN_MS)
		delay = DELAY_MIN_MS;
	return delay < time_left ? delay : MC_MS_NEVER;
}

static mc_ms_t delay_none(const mc_quantile_t *p95, mc_ms_t time_left)
{
	(void)p95;
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
