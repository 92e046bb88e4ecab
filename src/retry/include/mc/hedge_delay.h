/*
 * When a part of a request that is still out gets a second target. Pure.
 */
#ifndef MC_HEDGE_DELAY_H
#define MC_HEDGE_DELAY_H

#include "mc/retry.h"

/**
 * mc_hedge_time() - how long to wait for a target before another one is asked
 * @usual: median latency of this kind of request
 * @high: its 95th percentile
 * @goal: time within which the whole answer has its full worth, ms
 *
 * Return: ms, from 1.
 */
mc_ms_t mc_hedge_delay(const mc_quantile_t *usual, const mc_quantile_t *high,
		       mc_ms_t goal);

#endif
