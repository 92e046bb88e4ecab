/*
 * When to hedge a part of a request that has no response yet. Performs no I/O.
 */
#ifndef MC_HEDGE_DELAY_H
#define MC_HEDGE_DELAY_H

#include "mc/retry.h"

/**
 * mc_hedge_delay() - Compute how long to wait for a target before hedging
 * @median: median latency of this kind of request
 * @p95: 95th percentile of its latency
 * @goal: latency goal of the whole response, ms
 *
 * Return: delay in ms, at least 1.
 */
mc_ms_t mc_hedge_delay(const mc_quantile_t *median, const mc_quantile_t *p95,
		       mc_ms_t goal);

#endif
