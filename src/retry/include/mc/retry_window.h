/*
 * Retry budget over a sliding window: the extra requests (retries and hedges)
 * of any window are limited to a fraction of its requests plus a constant.
 * Performs no I/O.
 */
#ifndef MC_RETRY_WINDOW_H
#define MC_RETRY_WINDOW_H

#include "mc/base.h"

enum {
	/* Time slots per window. */
	MC_RETRY_WINDOW_SLOTS = 10,
	/* Ranks that are told apart; less urgent ones count as the last. */
	MC_RETRY_WINDOW_RANKS = 8,
};

/**
 * struct mc_retry_window_limit_t - limit of extra requests, or one owner's
 * share of it
 * @start: when the owner started, ms
 * @window: length of the window, ms
 * @ratio: extra requests allowed per request of the window
 * @slack: extra requests allowed per window in addition; may be fractional
 * @rounding: fraction of an extra request, in [0, 1), that is added before the
 *	limit is rounded down; see mc_retry_window_rounding()
 */
typedef struct mc_retry_window_limit_t {
	mc_ms_t start;
	mc_ms_t window;
	double ratio;
	double slack;
	double rounding;
} mc_retry_window_limit_t;

/**
 * struct mc_retry_window_t - requests sent recently; zero-initialized
 * @length: length of the window for which they are counted, ms
 * @length_since: since when it has that length, ms
 * @slot: index of the newest time slot, counted from the owner's start
 * @requests: ring of requests per slot, indexed by the slot modulo its length,
 *	by their rank
 * @extras: ring of extra requests per slot
 */
typedef struct mc_retry_window_t {
	mc_ms_t length;
	mc_ms_t length_since;
	int64_t slot;
	uint32_t requests[MC_RETRY_WINDOW_SLOTS + 1][MC_RETRY_WINDOW_RANKS];
	uint32_t extras[MC_RETRY_WINDOW_SLOTS + 1];
} mc_retry_window_t;

/**
 * struct mc_retry_window_ask_t - an extra request that is asked for
 * @rank: rank of its request, 0 for the most urgent
 * @keep: extra requests that must stay available for others
 */
typedef struct mc_retry_window_ask_t {
	uint32_t rank;
	uint32_t keep;
} mc_retry_window_ask_t;

/**
 * mc_retry_window_rounding() - Where an owner's share of a limit is rounded
 * @owner: place of the owner among those that share the limit, from 0
 * @owners: number of owners; 0 counts as 1
 * @key: spreads the places by service, so that no owner is always last
 *
 * Load: many owners, each with room for two to four extra requests in a window.
 * If each rounded its share down, up to a third of the limit would stay unused.
 * Places spread evenly over [0, 1) make the rounded shares of all owners add up
 * to the whole limit and never to more, if the shares are equal.
 */
double mc_retry_window_rounding(uint32_t owner, uint32_t owners, uint64_t key);

/**
 * mc_retry_window_deposit() - Count the first send of a request
 * @window: requests sent recently
 * @limit: the owner's share of the budget
 * @rank: rank of the request, 0 for the most urgent
 * @now: time, ms
 */
void mc_retry_window_deposit(mc_retry_window_t *window,
			     const mc_retry_window_limit_t *limit,
			     uint32_t rank, mc_ms_t now);

/**
 * mc_retry_window_withdraw() - Reserve an extra request if the budget allows it
 * @window: requests sent recently
 * @limit: the owner's share of the budget
 * @ask: what is asked for
 * @now: time, ms
 *
 * An owner starts with a quarter of the slack, which grows to all of it during
 * its first window, because a predecessor may have just used the slack.
 *
 * Load: many targets are slow or fail, and many requests with plenty of time
 * use up the budget before a few urgent ones need it. The last extra request,
 * or an eighth of a budget of less than eight, is left to more urgent ranks.
 * Nothing is left to ranks without requests in the window, so with a single
 * rank all of the budget is open to it.
 *
 * Return: true if the extra request may be sent.
 */
bool mc_retry_window_withdraw(mc_retry_window_t *window,
			      const mc_retry_window_limit_t *limit,
			      const mc_retry_window_ask_t *ask, mc_ms_t now);

/**
 * mc_retry_window_charge() - Count an extra request that is sent in any case
 * @window: requests sent recently
 * @limit: the owner's share of the budget
 * @now: time, ms
 *
 * Load: a target is replaced under load, and the requests that have reached its
 * successor are sent again. They are extra requests of their service, so fewer
 * others follow.
 */
void mc_retry_window_charge(mc_retry_window_t *window,
			    const mc_retry_window_limit_t *limit, mc_ms_t now);

/**
 * mc_retry_window_refund() - Return an extra request that was not sent
 * @window: requests sent recently
 * @limit: the owner's share of the budget
 * @withdrawn_at: when it was withdrawn, ms
 *
 * It is taken off the slot in which it was counted, as others that were sent
 * later still count.
 *
 * Load: targets refuse connections, and the extra requests that were to go
 * there use up the budget of their service without reaching any target.
 */
void mc_retry_window_refund(mc_retry_window_t *window,
			    const mc_retry_window_limit_t *limit,
			    mc_ms_t withdrawn_at);

/**
 * mc_retry_window_send() - Count an extra request in the slot in which it is
 * sent
 * @window: requests sent recently
 * @limit: the owner's share of the budget
 * @withdrawn_at: when it was withdrawn, ms
 * @now: time, ms
 *
 * It counts for a whole window from then on. After a change of the window's
 * length the slot in which it was counted isn't known, and it counts twice. The
 * limit holds as long as none is sent more than a window after its withdrawal.
 *
 * Load: all targets are busy, and extra requests wait for room at the same time
 * as others that are allowed later.
 */
void mc_retry_window_send(mc_retry_window_t *window,
			  const mc_retry_window_limit_t *limit,
			  mc_ms_t withdrawn_at, mc_ms_t now);

#endif
