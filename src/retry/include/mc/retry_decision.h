/*
 * Whether a request that failed at a target may be sent again. Pure.
 */
#ifndef MC_RETRY_DECISION_H
#define MC_RETRY_DECISION_H

#include "mc/base.h"

/** enum mc_end_t - how a request to a target ended without its answer */
typedef enum mc_retry_failure_t {
	/* No byte of it has left. */
	MC_RETRY_FAILURE_NOT_SENT,
	/* Another target has the address and did not run it. */
	MC_RETRY_FAILURE_REPLACED,
	/* The target says that it did not run it. */
	MC_RETRY_FAILURE_REFUSED,
	/* The target answered that it failed. */
	MC_RETRY_FAILURE_ERROR,
	/* The connection broke, or what came was no answer. */
	MC_RETRY_FAILURE_CONNECTION_LOST,
} mc_retry_failure_t;

/** enum mc_again_t - what to do then */
typedef enum mc_retry_decision_t {
	MC_RETRY_NO,
	/* It costs no target anything. */
	MC_RETRY_FREE,
	/* If the budget of extra requests allows it. */
	MC_RETRY_BUDGETED,
} mc_retry_decision_t;

/**
 * struct mc_tries_t - what was tried so far
 * @repeatable: the request may run more than once
 * @runs: targets that may have run it
 * @runs_max: most of those
 * @sends: targets that it was meant for, run or not
 */
typedef struct mc_retry_attempts_t {
	bool idempotent;
	uint32_t runs;
	uint32_t runs_max;
	uint32_t sends;
} mc_retry_attempts_t;

/** mc_end_ran() - whether the target may have run it */
bool mc_retry_may_have_run(mc_retry_failure_t end);

/** mc_again() - whether to send it again; @tries counts the one that ended */
mc_retry_decision_t mc_retry_decide(const mc_retry_attempts_t *tries,
				    mc_retry_failure_t end);

#endif
