/*
 * How much of its time a request had used before it arrived: while its caller
 * connected, and in tries before this one. Pure.
 */
#ifndef MC_RETRY_ELAPSED_H
#define MC_RETRY_ELAPSED_H

#include "mc/base.h"

/**
 * struct mc_spent_t - what callers of one route give their requests; zeroed at
 * the start
 * @most: most time left of a request in the window under way, ms
 * @most_before: and in the one before it, ms
 * @began: when the window under way began, ms
 */
typedef struct mc_retry_elapsed_t {
	mc_ms_t max_left;
	mc_ms_t prev_max_left;
	mc_ms_t window_start;
} mc_retry_elapsed_t;

/**
 * mc_spent_note() - a request has arrived
 * @spent: the route's
 * @time_left: what its caller says that it will wait, ms; below 0 if unknown
 * @now: time of its first byte, ms
 *
 * Callers of a route mostly give it the same time, so that one with less than
 * the most that was seen lately has used up the difference.
 *
 * Return: what the request had used before, ms; 0 if unknown.
 */
mc_ms_t mc_retry_elapsed_estimate(mc_retry_elapsed_t *spent, mc_ms_t time_left,
				  mc_ms_t now);

#endif
