/*
 * Hedging delay for one part of a request: longer than most responses take, but
 * short enough for the second target to respond within the latency goal.
 */
#include "mc/hedge_delay.h"

#include <math.h>

enum {
	/* Samples required before the percentile is used. */
	SAMPLES_MIN = 20,
	/* Minimum hedging delay, ms. */
	HEDGE_MIN_MS = 4,
	/* Fewer parts say nothing of the search as a whole. */
	SEARCH_PARTS_MIN = 8,
	/* Nearly all parts are done when at most 1/n are missing. */
	FEW_MISSING_DIVISOR = 8,
	/* The goal leaves little time if, after the usual delay, it is nearer
	 * than this multiple of the typical latency: a second target may take
	 * that long. */
	SHORT_TIME_FACTOR = 5,
};

/* While most targets are slow, a search hedges no earlier than this fraction of
 * the goal. */
static const double crowd_goal_fraction = 0.6;

/* Maximum fraction of the goal to wait for the first target. */
static const double goal_fraction = 0.4;
/* Minimum delay as a multiple of the median; with less, most hedges would be
 * wasted. */
static const double median_factor = 1.5;

mc_ms_t mc_hedge_delay(const mc_quantile_t *median, const mc_quantile_t *p95,
		       mc_ms_t goal)
{
	double max = (double)goal * goal_fraction;
	double delay;

	if (p95->samples < SAMPLES_MIN)
		return (mc_ms_t)fmax(max, HEDGE_MIN_MS);
	delay = fmin(p95->value, max);
	delay = fmax(delay, median->value * median_factor);
	return (mc_ms_t)fmax(ceil(delay), HEDGE_MIN_MS);
}

static uint32_t half_of(const mc_hedge_search_t *search)
{
	return (search->total + 1) / 2;
}

static uint32_t nearly_all_of(const mc_hedge_search_t *search)
{
	return search->total - search->total / FEW_MISSING_DIVISOR;
}

mc_ms_t mc_hedge_search_delay(mc_ms_t usual, mc_ms_t goal,
			      const mc_hedge_search_t *search)
{
	double typical = (double)search->half_latency;
	double own = ceil(fmax(typical * median_factor, HEDGE_MIN_MS));

	if (search->total < SEARCH_PARTS_MIN)
		return usual;
	if (search->received < half_of(search))
		return (mc_ms_t)fmax((double)usual,
				     (double)goal * crowd_goal_fraction);
	if (search->received >= nearly_all_of(search) &&
	    (double)(goal - usual) < typical * SHORT_TIME_FACTOR)
		return (mc_ms_t)fmin((double)usual, own);
	return (mc_ms_t)fmax((double)usual, own);
}

bool mc_hedge_search_changes(const mc_hedge_search_t *search)
{
	return search->total >= SEARCH_PARTS_MIN &&
	       (search->received == half_of(search) ||
		search->received == nearly_all_of(search));
}

uint32_t mc_hedge_keep(uint32_t received, uint32_t total, double coverage_min)
{
	return received && received >= coverage_min * total ? 1 : 0;
}
