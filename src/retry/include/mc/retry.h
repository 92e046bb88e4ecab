/*
 * Public header of the retry library: budgets of extra sub-queries, when to
 * hedge, and what is known of a request that may run only once. Pure.
 */
#ifndef MC_RETRY_H
#define MC_RETRY_H

#include "mc/base.h"

/**
 * struct mc_budget_t - a budget of extra sub-queries in proportion to first
 * ones
 * @percent: extras per 100 first sub-queries
 * @tokens: hundredths of an extra that are left
 * @max_tokens: most hundredths that can be saved up
 * @unbounded: every extra is allowed (a baseline for measurements)
 */
typedef struct mc_retry_budget_t {
	uint32_t percent;
	uint32_t tokens;
	uint32_t max_tokens;
	bool unbounded;
} mc_retry_budget_t;

/** mc_budget_init() - @burst: most extras that can be saved up */
void mc_retry_budget_init(mc_retry_budget_t *budget, uint32_t percent,
			  uint32_t burst);

/** mc_budget_earn() - @count first sub-queries were sent */
void mc_retry_budget_deposit(mc_retry_budget_t *budget, uint32_t count);

/** mc_budget_spend() - whether one extra may be sent; takes it if so */
bool mc_retry_budget_withdraw(mc_retry_budget_t *budget);

/** mc_budget_refund() - an extra that was taken was not sent after all */
void mc_retry_budget_refund(mc_retry_budget_t *budget);

/**
 * struct mc_quantile_t - a running estimate of one quantile of latencies
 * @value: the estimate, ms
 * @step: how far it moves with a sample
 * @samples: samples seen
 */
typedef struct mc_quantile_t {
	double value;
	double step;
	uint32_t samples;
} mc_quantile_t;

/** mc_quantile_add() - add a latency in ms; @q in (0, 1) */
void mc_quantile_add(mc_quantile_t *quantile, double q, mc_ms_t latency);

/**
 * mc_quantile_of() - add a quantile of samples that belong together
 * @quantile: the estimate
 * @q: in (0, 1)
 * @samples: sorted, the least first, ms
 * @count: number of @samples
 * @total: samples that there would be; those missing are above all others
 *
 * Parts of one request arrive in the order of their latencies, so that adding
 * one after the other would leave the estimate at the slowest.
 */
void mc_quantile_add_batch(mc_quantile_t *quantile, double q,
			   const mc_ms_t *samples, uint32_t count,
			   uint32_t total);

typedef struct mc_hedge_policy_t mc_hedge_policy_t;

/**
 * mc_hedge_policy() - policy by name: "p95", "none"; NULL if there is none
 */
const mc_hedge_policy_t *mc_hedge_policy(const char *name);

/**
 * struct mc_hedge_policy_t - when a straggler gets a second sub-query
 * @name: name in settings
 * @delay: delay after the first sub-query at which to hedge, ms; MC_MS_NEVER
 *	for not at all. @shard: 95th percentile of the shard; @service: of all
 *	shards of its service, so that a shard whose target is always slow is a
 *	straggler too; @time_left: until the deadline, ms
 */
struct mc_hedge_policy_t {
	const char *name;
	mc_ms_t (*delay)(const mc_quantile_t *shard,
			 const mc_quantile_t *service, mc_ms_t time_left);
};

/**
 * mc_retry_wanted() - whether a sub-query that failed may be sent again
 * @reason: how it failed
 * @tries: sub-queries sent for the shard so far
 * @time_left: until the deadline, ms
 *
 * The budget is asked separately.
 */
bool mc_retry_is_eligible(mc_err_t reason, uint32_t tries, mc_ms_t time_left);

/**
 * enum mc_once_state_t - a request that may run only once
 *
 * NEW, CLAIMING, CLAIMED and REFUSED: no byte of it has left for a target.
 */
typedef enum mc_once_state_t {
	MC_ONCE_NEW,
	MC_ONCE_CLAIMING,
	MC_ONCE_CLAIMED,
	MC_ONCE_DISPATCHED,
	MC_ONCE_ANSWERED,
	MC_ONCE_REFUSED,
	MC_ONCE_UNKNOWN,
} mc_once_state_t;

/** enum mc_once_event_t - what happens to it */
typedef enum mc_once_event_t {
	/* The key is to be claimed in the store. */
	MC_ONCE_EV_CLAIM,
	/* The store created the claim, or a read showed it to be ours. */
	MC_ONCE_EV_CLAIM_GRANTED,
	/* The claim is another's: the key was used before. */
	MC_ONCE_EV_CLAIM_CONFLICT,
	/* The store can't tell whether the claim was made. */
	MC_ONCE_EV_CLAIM_FAILED,
	/* The first byte may leave for a target now. */
	MC_ONCE_EV_DISPATCH,
	/* The target answered. */
	MC_ONCE_EV_ANSWER,
	/* It is certain that the target did not run it. */
	MC_ONCE_EV_NOT_RUN,
	/* The answer was lost, or the deadline passed. */
	MC_ONCE_EV_LOST,
} mc_once_event_t;

/** enum mc_once_action_t - what the caller of the library shall do */
typedef enum mc_once_action_t {
	MC_ONCE_DO_NOTHING,
	MC_ONCE_DO_CLAIM,
	MC_ONCE_DO_DISPATCH,
	MC_ONCE_DO_ANSWER,
	/* Answer with the error in mc_once_t.reason. */
	MC_ONCE_DO_REFUSE,
} mc_once_action_t;

/**
 * struct mc_once_t - state of one such request
 * @state: where it is
 * @reason: error kind of the answer after MC_ONCE_DO_REFUSE
 * @dispatches: times that it was let out to a target: 0 or 1
 */
typedef struct mc_once_t {
	mc_once_state_t state;
	mc_err_t reason;
	uint32_t dispatches;
} mc_once_t;

/**
 * mc_once_step() - an event happened
 * @once: the request, zeroed at the start
 * @event: the event; one that comes late or twice changes nothing
 * @reason: error kind that comes with a refusal, MC_OK if none
 *
 * Return: what to do. MC_ONCE_DO_DISPATCH is returned at most once in the life
 * of @once. A refusal's reason is a kind with "not run" only if no byte can
 * have left or the target said so; else MC_ERR_OUTCOME_UNKNOWN.
 */
mc_once_action_t mc_once_step(mc_once_t *once, mc_once_event_t event,
			      mc_err_t reason);

#endif
