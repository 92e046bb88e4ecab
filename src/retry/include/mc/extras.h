/*
 * A budget of extra requests in sliding windows: a share of the requests of any
 * window, and some besides. Pure.
 */
#ifndef MC_EXTRAS_H
#define MC_EXTRAS_H

#include "mc/base.h"

enum {
	/* Slots that a window is counted in. */
	MC_EXTRAS_SLOTS = 10,
};

/**
 * struct mc_extras_limit_t - a budget, or a holder's part of one
 * @began: when the holder began, ms
 * @window: the span, ms
 * @share: extras per request of the span
 * @slack: extras besides, per span; a part of one is allowed
 */
typedef struct mc_extras_limit_t {
	mc_ms_t began;
	mc_ms_t window;
	double share;
	double slack;
} mc_extras_limit_t;

/**
 * struct mc_extras_t - what was sent lately; zeroed at the start
 * @slot: number of the newest slot since the holder began
 * @requests: requests of each slot, by its number modulo their count
 * @extras: extras of each slot
 */
typedef struct mc_extras_t {
	int64_t slot;
	uint32_t requests[MC_EXTRAS_SLOTS + 1];
	uint32_t extras[MC_EXTRAS_SLOTS + 1];
} mc_extras_t;

/** mc_extras_earn() - a request's first sending */
void mc_extras_earn(mc_extras_t *extras, const mc_extras_limit_t *limit,
		    mc_ms_t now);

/**
 * mc_extras_spend() - whether one extra may be sent; takes it if so
 * @extras: what was sent
 * @limit: the holder's part of the budget
 * @now: time, ms
 *
 * A holder that has just begun has a quarter of the slack, which grows to the
 * whole in its first window: another one that had its place may have used it.
 */
bool mc_extras_spend(mc_extras_t *extras, const mc_extras_limit_t *limit,
		     mc_ms_t now);

/** mc_extras_refund() - an extra that was taken just now was not sent */
void mc_extras_refund(mc_extras_t *extras);

#endif
