/* Smoothed latency and its low watermark. */
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

void mc_latency_add(mc_latency_t *latency, mc_ms_t sample, mc_ms_t forget,
		    mc_ms_t now)
{
	double elapsed = (double)(now - latency->last);
	double value = sample > 0 ? (double)sample : 0;

	if (!latency->known) {
		*latency = (mc_latency_t){
			.smooth = value,
			.low = value,
			.last = now,
			.known = true,
		};
		return;
	}
	latency->last = now;
	latency->smooth += (value - latency->smooth) * smooth_weight;
	if (latency->smooth < latency->low || elapsed >= (double)forget)
		latency->low = latency->smooth;
	else if (elapsed > 0)
		latency->low += (latency->smooth - latency->low) * elapsed /
				(double)forget;
}

bool mc_latency_near(const mc_latency_t *latency)
{
	return latency->smooth <= latency->low * near_factor + near_slack_ms;
}

bool mc_latency_high(const mc_latency_t *latency)
{
	return latency->smooth > latency->low * high_factor + high_slack_ms;
}

bool mc_latency_jumped(const mc_latency_t *latency)
{
	return latency->smooth > latency->low * jump_factor + jump_slack_ms;
}
