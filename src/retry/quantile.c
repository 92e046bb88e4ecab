/*
 * Streaming estimate of one quantile. A sample above the estimate moves it up
 * by q steps, a sample below moves it down by (1 - q) steps, so it settles
 * where a fraction q of the samples lies below it. The step size follows the
 * mean distance of the samples from the estimate. A move never overshoots the
 * sample that caused it.
 */
#include "mc/retry.h"

#include <math.h>

/* Step size as a fraction of the mean distance. */
static const double step_gain = 1.0 / 8;
/* Weight of a new distance in the moving average of distances. */
static const double distance_weight = 1.0 / 16;

/* Weight of a new batch of samples in the estimate. */
static const double batch_weight = 0.3;

void mc_quantile_add_batch(mc_quantile_t *quantile, double q,
			   const mc_ms_t *samples, uint32_t count,
			   uint32_t total)
{
	uint32_t rank = (uint32_t)(q * total);
	double value;

	if (!count)
		return;
	value = (double)samples[rank < count ? rank : count - 1];
	if (!quantile->samples)
		quantile->value = value;
	else
		quantile->value += (value - quantile->value) * batch_weight;
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
