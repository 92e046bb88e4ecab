/*
 * A budget of extra requests in sliding windows: a share of the requests of any
 * window, and some besides. Pure.
 */
#ifndef MC_RETRY_WINDOW_H
#define MC_RETRY_WINDOW_H

#include "mc/base.h"

enum {
	/* Slots that a window is counted in. */
	MC_RETRY_WINDOW_SLOTS = 10,
};

/**
 * struct mc_extras_limit_t - a budget, or a holder's part of one
 * @began: when the holder began, ms
 * @window: the span, ms
 * @share: extras per request of the span
 * @slack: extras besides, per span; a part of one is allowed
 */
typedef struct mc_retry_window_limit_t {
	mc_ms_t start;
	mc_ms_t window;
	double ratio;
	double slack;
} mc_retry_window_limit_t;

/**
 * struct mc_extras_t - what was sent lately; zeroed at the start
 * @slot: number of the newest slot since the holder began
 * @requests: requests of each slot, by its number modulo their count
 * @extras: extras of each slot
 */
typedef struct mc_retry_window_t {
	int64_t slot;
	uint32_t requests[MC_RETRY_WINDOW_SLOTS + 1];
	uint32_t extras[MC_RETRY_WINDOW_SLOTS + 1];
} mc_retry_window_t;

/** mc_extras_earn() - a request's first sending */
void mc_retry_window_deposit(mc_retry_window_t *extras,
			     const mc_retry_window_limit_t *limit, mc_ms_t now);

/**
 * mc_extras_spend() - whether one extra may be sent; takes it if so
 * @extras: what was sent
 * @limit: the holder's part of the budget
 * @now: time, ms
 *
 * A holder that has just begun has a quarter of the slack, which grows to the
 * whole in its first window: another one that had its place may have used it.
 */
bool mc_retry_window_withdraw(mc_retry_window_t *extras,
			      const mc_retry_window_limit_t *limit,
			      mc_ms_t now);

/** mc_extras_refund() - an extra that was taken just now was not sent */
void mc_retry_window_refund(mc_retry_window_t *extras);

#endif
