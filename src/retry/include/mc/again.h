/*
 * Whether a request that failed at one target may be sent to another. Performs
 * no I/O.
 */
#ifndef MC_AGAIN_H
#define MC_AGAIN_H

#include "mc/base.h"

/** enum mc_retry_failure_t - how an attempt at a target failed */
typedef enum mc_end_t {
	/* No byte of the request was sent. */
	MC_END_NOT_SENT,
	/* Another target has taken over the address; it did not run the
	 * request. */
	MC_END_REPLACED,
	/* The target responded that it did not run the request. */
	MC_END_REFUSED,
	/* The target responded with an error; it may have run the request. */
	MC_END_FAILED,
	/* The connection was lost or the response was invalid; the target may
	 * have run the request. */
	MC_END_BROKEN,
} mc_end_t;

/** enum mc_retry_decision_t - whether to retry, and at what cost */
typedef enum mc_again_t {
	MC_AGAIN_NO,
	/* Retry outside the retry budget: the failed attempt cost no target
	 * any work. */
	MC_AGAIN_FREE,
	/* Retry if the retry budget allows it. */
	MC_AGAIN_PAID,
} mc_again_t;

/**
 * struct mc_retry_attempts_t - attempts of one request so far
 * @idempotent: the request may run more than once
 * @runs: attempts that may have run at their target
 * @runs_max: maximum of @runs
 * @sends: all attempts, run or not
 */
typedef struct mc_tries_t {
	bool repeatable;
	uint32_t runs;
	uint32_t runs_max;
	uint32_t sends;
} mc_tries_t;

/** mc_retry_may_have_run() - Tell whether the target may have run the request
 */
bool mc_end_ran(mc_end_t failure);

/**
 * mc_retry_decide() - Decide whether to retry after an attempt has failed
 * @attempts: attempts so far, including the failed one
 * @failure: how the last attempt failed
 */
mc_again_t mc_again(const mc_tries_t *attempts, mc_end_t failure);

#endif
