/*
 * Whether a request that failed at one target may be sent to another. Performs
 * no I/O.
 */
#ifndef MC_RETRY_DECISION_H
#define MC_RETRY_DECISION_H

#include "mc/base.h"

/** enum mc_retry_failure_t - how an attempt at a target failed */
typedef enum mc_retry_failure_t {
	/* No byte of the request was sent. */
	MC_RETRY_FAILURE_NOT_SENT,
	/* Another target has taken over the address; it did not run the
	 * request. */
	MC_RETRY_FAILURE_REPLACED,
	/* The target responded that it did not run the request. */
	MC_RETRY_FAILURE_REFUSED,
	/* The target responded with an error; it may have run the request. */
	MC_RETRY_FAILURE_ERROR,
	/* The connection was lost or the response was invalid; the target may
	 * have run the request. */
	MC_RETRY_FAILURE_CONNECTION_LOST,
} mc_retry_failure_t;

/** enum mc_retry_decision_t - whether to retry, and at what cost */
typedef enum mc_retry_decision_t {
	MC_RETRY_NO,
	/* Retry outside the retry budget: the failed attempt cost no target
	 * any work. */
	MC_RETRY_FREE,
	/* Retry if the retry budget allows it. */
	MC_RETRY_BUDGETED,
} mc_retry_decision_t;

/**
 * struct mc_retry_attempts_t - attempts of one request so far
 * @idempotent: the request may run more than once
 * @runs: targets that may have run it and have not ended since
 * @runs_max: maximum of @runs; one of these targets may run it again
 * @sends: all attempts, run or not
 */
typedef struct mc_retry_attempts_t {
	bool idempotent;
	uint32_t runs;
	uint32_t runs_max;
	uint32_t sends;
} mc_retry_attempts_t;

/** mc_retry_may_have_run() - Tell whether the target may have run the request
 */
bool mc_retry_may_have_run(mc_retry_failure_t failure);

/**
 * mc_retry_decide() - Decide whether to retry after an attempt has failed
 * @attempts: attempts so far, including the failed one
 * @failure: how the last attempt failed
 */
mc_retry_decision_t mc_retry_decide(const mc_retry_attempts_t *attempts,
				    mc_retry_failure_t failure);

#endif
