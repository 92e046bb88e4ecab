/*
 * Estimates how much of its time a request had used before it arrived: while
 * its caller connected, and in earlier attempts. Performs no I/O.
 */
#ifndef MC_RETRY_ELAPSED_H
#define MC_RETRY_ELAPSED_H

#include "mc/base.h"

/**
 * struct mc_retry_elapsed_t - remaining times of the requests of one route;
 * zero-initialized
 * @max_left: maximum remaining time in the current window, ms
 * @prev_max_left: maximum remaining time in the previous window, ms
 * @window_start: start of the current window, ms
 */
typedef struct mc_retry_elapsed_t {
	mc_ms_t max_left;
	mc_ms_t prev_max_left;
	mc_ms_t window_start;
} mc_retry_elapsed_t;

/**
 * mc_retry_elapsed_estimate() - Estimate the time used before a request arrived
 * @state: state of the route; updated with this request
 * @time_left: how long its caller will still wait, ms; below 0 if unknown
 * @now: arrival of its first byte, ms
 *
 * Callers of a route mostly use the same timeout, so a request with less time
 * left than the recent maximum has already used up the difference.
 *
 * Return: time used before arrival, ms; 0 if unknown.
 */
mc_ms_t mc_retry_elapsed_estimate(mc_retry_elapsed_t *state, mc_ms_t time_left,
				  mc_ms_t now);

#endif
