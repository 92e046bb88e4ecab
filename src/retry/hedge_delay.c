/*
 * Later than most answers, but early enough for the second target to answer
 * within the goal.
 */
#include "mc/hedge_delay.h"

#include <math.h>

enum {
	/* Fewer samples tell nothing. */
	SAMPLES_MIN = 20,
	HEDGE_MIN_MS = 4,
};

/* Most part of the goal that is spent on the first target. */
static const double goal_part = 0.4;
/* Sooner than so many times the median, most hedges would be for nothing. */
static const double usual_times = 1.5;

mc_ms_t mc_hedge_delay(const mc_quantile_t *usual, const mc_quantile_t *high,
		       mc_ms_t goal)
{
	double most = (double)goal * goal_part;
	double time;

	if (high->samples < SAMPLES_MIN)
		return (mc_ms_t)fmax(most, HEDGE_MIN_MS);
	time = fmin(high->value, most);
	time = fmax(time, usual->value * usual_times);
	return (mc_ms_t)fmax(ceil(time), HEDGE_MIN_MS);
}
