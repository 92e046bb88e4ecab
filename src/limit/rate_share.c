/*
 * The period in which each sender has one turn follows from the limit and the
 * number of senders. In any span the turns of all are what the limit allows for
 * it, and those that had not lapsed when it began.
 */
#include "mc/rate_share.h"

#include <math.h>

enum {
	MS_PER_S = 1000,
	/* Time after which an unused turn lapses, ms, and what is added to it
	 * for small limits, ms, divided by the limit above 1 a second. */
	TURN_MS = 1000,
	TURN_ADDED_MS = 2500,
	/* Time after which an unused turn at a target that is warming up
	 * lapses, ms. Within a second it gets half of its rate more. */
	WARMUP_TURN_MS = 500,
};

/* A part of the turns stays unused, as traffic is uneven. */
static const double turns_per_limit = 1.2;
/* Least requests per second of all senders together. */
static const double probe_rate = 0.15;

mc_rate_share_params_t mc_rate_share_limit(double limit, uint32_t senders,
					   uint32_t index)
{
	return (mc_rate_share_params_t){
		.rate = fmax(limit * turns_per_limit, probe_rate),
		.turn_life = TURN_MS + TURN_ADDED_MS / fmax(limit, 1),
		.senders = senders,
		.index = index,
	};
}

mc_rate_share_params_t mc_rate_share_warmup(double limit, uint32_t senders,
					    uint32_t index)
{
	return (mc_rate_share_params_t){
		.rate = fmax(limit, probe_rate),
		.turn_life = WARMUP_TURN_MS,
		.senders = senders,
		.index = index,
	};
}

double mc_rate_share_period(const mc_rate_share_params_t *params)
{
	return params->senders * MS_PER_S / params->rate;
}

mc_ms_t mc_rate_share_wait(const mc_rate_share_t *share,
			   const mc_rate_share_params_t *params, mc_ms_t wall)
{
	double period = mc_rate_share_period(params);
	double place = period * params->index / params->senders;
	double age = fmod((double)wall - place, period);

	if (age < 0)
		age += period;
	if (age <= params->turn_life &&
	    (double)wall - age > (double)share->taken_at)
		return 0;
	return (mc_ms_t)ceil(fmax(period - age, 1));
}
