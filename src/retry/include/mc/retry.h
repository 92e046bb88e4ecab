/*
 * Public header of the retry library: retry budgets, hedging policies, latency
 * quantiles, and the state machine of an at-most-once request. Performs no I/O.
 */
#ifndef MC_RETRY_H
#define MC_RETRY_H

#include "mc/base.h"

/**
 * struct mc_retry_budget_t - token bucket that limits extra sub-queries
 * (retries and hedges) to a percentage of the first ones
 * @percent: extra sub-queries per 100 first ones
 * @tokens: tokens available, in hundredths of an extra sub-query
 * @max_tokens: capacity of the bucket, in the same unit
 * @unbounded: allow every extra sub-query (a baseline for measurements)
 */
typedef struct mc_retry_budget_t {
	uint32_t percent;
	uint32_t tokens;
	uint32_t max_tokens;
	bool unbounded;
} mc_retry_budget_t;

/**
 * mc_retry_budget_init() - Initialize a full bucket
 * @budget: the budget
 * @percent: extra sub-queries per 100 first ones
 * @burst: capacity of the bucket, in extra sub-queries
 */
void mc_retry_budget_init(mc_retry_budget_t *budget, uint32_t percent,
			  uint32_t burst);

/** mc_retry_budget_deposit() - Add the tokens of @count first sub-queries */
void mc_retry_budget_deposit(mc_retry_budget_t *budget, uint32_t count);

/** mc_retry_budget_withdraw() - Take the tokens of one extra sub-query; false
 * if there are too few */
bool mc_retry_budget_withdraw(mc_retry_budget_t *budget);

/** mc_retry_budget_refund() - Return the tokens of an extra sub-query that was
 * withdrawn but not sent */
void mc_retry_budget_refund(mc_retry_budget_t *budget);

/**
 * struct mc_quantile_t - streaming estimate of one latency quantile;
 * zero-initialized
 * @value: the estimate, ms
 * @step: current step size of the estimate, ms
 * @samples: number of samples seen
 */
typedef struct mc_quantile_t {
	double value;
	double step;
	uint32_t samples;
} mc_quantile_t;

/** mc_quantile_add() - Add a latency in ms; @q is the quantile, in (0, 1) */
void mc_quantile_add(mc_quantile_t *quantile, double q, mc_ms_t latency);

/**
 * mc_quantile_add_batch() - Move the estimate toward the quantile of a batch
 * @quantile: the estimate
 * @q: the quantile, in (0, 1)
 * @samples: latencies in ascending order, ms
 * @count: number of @samples
 * @total: size of the complete batch; missing samples count as larger than all
 *	others
 *
 * The parts of one request complete in the order of their latencies; adding
 * them one by one would leave the estimate biased toward the slowest.
 */
void mc_quantile_add_batch(mc_quantile_t *quantile, double q,
			   const mc_ms_t *samples, uint32_t count,
			   uint32_t total);

typedef struct mc_hedge_policy_t mc_hedge_policy_t;

/**
 * mc_hedge_policy() - Look up a policy by name, "p95" or "none"; NULL if it is
 * unknown
 */
const mc_hedge_policy_t *mc_hedge_policy(const char *name);

/**
 * struct mc_hedge_policy_t - when to send a second sub-query for a shard
 * @name: name in settings
 * @delay: returns the delay after the first sub-query, ms, or MC_MS_NEVER to
 *	send none. @shard: 95th percentile of the shard's latency; @service:
 *	that of all shards of its service, which also detects a shard whose
 *	target is always slow; @time_left: time until the deadline, ms
 */
struct mc_hedge_policy_t {
	const char *name;
	mc_ms_t (*delay)(const mc_quantile_t *shard,
			 const mc_quantile_t *service, mc_ms_t time_left);
};

/**
 * mc_retry_is_eligible() - Tell whether a failed sub-query may be retried
 * @reason: error of the failed sub-query
 * @attempts: sub-queries sent for the shard so far
 * @time_left: time until the deadline, ms
 *
 * The retry budget is checked separately.
 */
bool mc_retry_is_eligible(mc_err_t reason, uint32_t attempts,
			  mc_ms_t time_left);

/**
 * enum mc_once_state_t - state of an at-most-once request
 *
 * In NEW, CLAIMING and CLAIMED no byte of it has been sent to a target; in
 * REFUSED it is certain that it has not run.
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

/** enum mc_once_event_t - input of the state machine */
typedef enum mc_once_event_t {
	/* The idempotency key needs to be claimed in the store. */
	MC_ONCE_EV_CLAIM,
	/* The store created the claim, or a read showed that this request
	 * holds it. */
	MC_ONCE_EV_CLAIM_GRANTED,
	/* Another request holds the claim: the key was used before. */
	MC_ONCE_EV_CLAIM_CONFLICT,
	/* It is unknown whether the store created the claim. */
	MC_ONCE_EV_CLAIM_FAILED,
	/* The request is about to be sent to a target. */
	MC_ONCE_EV_DISPATCH,
	/* The target responded. */
	MC_ONCE_EV_ANSWER,
	/* It is certain that the target did not run it. */
	MC_ONCE_EV_NOT_RUN,
	/* The response was lost, or the deadline passed. */
	MC_ONCE_EV_LOST,
} mc_once_event_t;

/** enum mc_once_action_t - what the user of the library must do next */
typedef enum mc_once_action_t {
	MC_ONCE_DO_NOTHING,
	MC_ONCE_DO_CLAIM,
	MC_ONCE_DO_DISPATCH,
	MC_ONCE_DO_ANSWER,
	/* Respond with the error in mc_once_t.reason. */
	MC_ONCE_DO_REFUSE,
} mc_once_action_t;

/**
 * struct mc_once_t - an at-most-once request; zero-initialized
 * @state: current state
 * @reason: error kind of the response after MC_ONCE_DO_REFUSE
 * @dispatches: number of sends to a target: 0 or 1
 */
typedef struct mc_once_t {
	mc_once_state_t state;
	mc_err_t reason;
	uint32_t dispatches;
} mc_once_t;

/**
 * mc_once_step() - Apply an event to the state machine
 * @once: the request
 * @event: the event; a late or duplicate one changes nothing
 * @reason: error kind that comes with the event, MC_OK if none
 *
 * Return: the action to take. MC_ONCE_DO_DISPATCH is returned at most once for
 * each @once. The error kind of a refusal promises "not run" only if no byte
 * can have been sent or the target confirmed it; otherwise it is
 * MC_ERR_OUTCOME_UNKNOWN, or MC_ERR_DUPLICATE for a key that was used before.
 */
mc_once_action_t mc_once_step(mc_once_t *once, mc_once_event_t event,
			      mc_err_t reason);

#endif
