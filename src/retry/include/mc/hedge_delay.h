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

/**
 * struct mc_hedge_search_t - progress of a request to several services
 * @total: all its parts
 * @received: parts that are done
 * @half_latency: latency of the part with which half of them were done, ms; 0
 *	before that
 */
typedef struct mc_hedge_search_t {
	uint32_t total;
	uint32_t received;
	mc_ms_t half_latency;
} mc_hedge_search_t;

/**
 * mc_hedge_search_delay() - Adapt the hedging delay to the parts of one search
 * @usual: delay by the latencies of earlier requests, ms
 * @goal: latency goal of the whole response, ms
 * @search: progress of the search
 *
 * Load: a few targets of a search pause, or have long work, while nearly all
 * its parts are done and the goal leaves little time for a second target. The
 * parts that are missing hold the answer up and are hedged as soon as they have
 * taken clearly longer than the others.
 *
 * Load: most targets of a search are slow at once. While fewer than half of its
 * parts are done, second targets would be as slow, so its hedges wait; then
 * they follow the latency of its own parts.
 *
 * Return: delay in ms, at least 1.
 */
mc_ms_t mc_hedge_search_delay(mc_ms_t usual, mc_ms_t goal,
			      const mc_hedge_search_t *search);

/** mc_hedge_search_changes() - Tell whether the delay may have changed with the
 * last part that was done */
bool mc_hedge_search_changes(const mc_hedge_search_t *search);

/**
 * mc_hedge_keep() - Number of extra requests that a hedge leaves to others
 * @received: parts of the request that are done
 * @total: all its parts
 * @coverage_min: fraction of its parts that it needs
 *
 * Load: many targets are slow at once, and the extra requests that a service
 * may get are used up by requests that would have been answered without them.
 * A request that has the parts it needs leaves the last one to a request that
 * would be late or fail without it.
 */
uint32_t mc_hedge_keep(uint32_t received, uint32_t total, double coverage_min);

#endif
