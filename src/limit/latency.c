/*
 * Smoothed latency and its low watermark.
 */
#include "latency.h"

/* Weight of the newest sample in the smoothed latency. */
static const double smooth_weight = 1.0 / 16;

/*
 * Thresholds as a multiple of the watermark plus some ms, which allow for the
 * coarse clock.
 */
static const double near_factor = 1.5;
static const double near_slack_ms = 2;
static const double high_factor = 2;
static const double high_slack_ms = 5;
static const double jump_factor = 4;
static const double jump_slack_ms = 20;

void mc_latency_add(mc_latency_t *latency, mc_ms_t sample, mc_ms_t rise_time,
		    mc_ms_t now)
{
	double elapsed = (double)(now - latency->updated_at);
	double value = sample > 0 ? (double)sample : 0;

	if (!latency->has_sample) {
		*latency = (mc_latency_t){
			.smoothed = value,
			.watermark = value,
			.updated_at = now,
			.has_sample = true,
		};
		return;
	}
	latency->updated_at = now;
	latency->smoothed += (value - latency->smoothed) * smooth_weight;
	if (latency->smoothed < latency->watermark ||
	    elapsed >= (double)rise_time)
		latency->watermark = latency->smoothed;
	else if (elapsed > 0)
		latency->watermark += (latency->smoothed - latency->watermark) *
				      elapsed / (double)rise_time;
}

bool mc_latency_is_near_watermark(const mc_latency_t *latency)
{
	return latency->smoothed <=
	       latency->watermark * near_factor + near_slack_ms;
}

bool mc_latency_is_high(const mc_latency_t *latency)
{
	return latency->smoothed >
	       latency->watermark * high_factor + high_slack_ms;
}

bool mc_latency_has_jumped(const mc_latency_t *latency)
{
	return latency->smoothed >
	       latency->watermark * jump_factor + jump_slack_ms;
}
