/*
 * A running estimate of one quantile. The estimate moves up by q and down by
 * 1 - q of a step, so that it rests where a share q of the samples is below
 * it. The step follows the mean distance of the samples from the estimate; no
 * move goes past the sample that caused it.
 */
#include "mc/retry.h"

#include <math.h>

/* Share of the mean distance that one sample moves the estimate by. */
static const double step_gain = 1.0 / 8;
/* Weight of the newest distance in the mean distance. */
static const double distance_weight = 1.0 / 16;

/* Weight of the newest group of samples. */
static const double group_weight = 0.3;

void mc_quantile_add_batch(mc_quantile_t *quantile, double q,
			   const mc_ms_t *samples, uint32_t count,
			   uint32_t total)
{
	uint32_t at = (uint32_t)(q * total);
	double value;

	if (!count)
		return;
	value = (double)samples[at < count ? at : count - 1];
	if (!quantile->samples)
		quantile->value = value;
	else
		quantile->value += (value - quantile->value) * group_weight;
	quantile->samples = UINT32_MAX - quantile->samples > total
				    ? quantile->samples + total
				    : UINT32_MAX;
}

void mc_quantile_add(mc_quantile_t *quantile, double q, mc_ms_t latency)
{
	double sample = latency > 0 ? (double)latency : 0;
	double distance = sample - quantile->value;

	if (quantile->samples < UINT32_MAX)
		quantile->samples++;
	if (quantile->samples == 1) {
		quantile->value = sample;
		quantile->step = sample * step_gain;
		return;
	}
	quantile->step +=
		(fabs(distance) * step_gain - quantile->step) * distance_weight;
	if (distance > 0)
		quantile->value += fmin(quantile->step * q, distance);
	else
		quantile->value -= fmin(quantile->step * (1 - q), -distance);
}
