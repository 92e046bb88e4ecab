/*
 * Whether a request that failed at a target may be sent again. Pure.
 */
#ifndef MC_AGAIN_H
#define MC_AGAIN_H

#include "mc/base.h"

/** enum mc_end_t - how a request to a target ended without its answer */
typedef enum mc_end_t {
	/* No byte of it has left. */
	MC_END_NOT_SENT,
	/* Another target has the address and did not run it. */
	MC_END_REPLACED,
	/* The target says that it did not run it. */
	MC_END_REFUSED,
	/* The target answered that it failed. */
	MC_END_FAILED,
	/* The connection broke, or what came was no answer. */
	MC_END_BROKEN,
} mc_end_t;

/** enum mc_again_t - what to do then */
typedef enum mc_again_t {
	MC_AGAIN_NO,
	/* It costs no target anything. */
	MC_AGAIN_FREE,
	/* If the budget of extra requests allows it. */
	MC_AGAIN_PAID,
} mc_again_t;

/**
 * struct mc_tries_t - what was tried so far
 * @repeatable: the request may run more than once
 * @runs: targets that may have run it
 * @runs_max: most of those
 * @sends: targets that it was meant for, run or not
 */
typedef struct mc_tries_t {
	bool repeatable;
	uint32_t runs;
	uint32_t runs_max;
	uint32_t sends;
} mc_tries_t;

/** mc_end_ran() - whether the target may have run it */
bool mc_end_ran(mc_end_t end);

/** mc_again() - whether to send it again; @tries counts the one that ended */
mc_again_t mc_again(const mc_tries_t *tries, mc_end_t end);

#endif
