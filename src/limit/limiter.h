/*
 * What all limiters have in common and the table of functions in which they
 * differ.
 */
#ifndef MC_LIMIT_LIMITER_H
#define MC_LIMIT_LIMITER_H

#include "mc/limit.h"
#include "ownership.h"

enum {
	/* A share that is used to this extent is a reason to raise it. */
	MC_USED_PERCENT = 75,
};

/**
 * struct mc_limiter_ops_t - what a kind of limiter does; all but @share may be
 * NULL
 * @share: most sub-queries of this owner at @now
 * @owned: this instance became an owner anew
 * @started: as mc_limiter_started()
 * @hint: as mc_limiter_hint()
 * @cold: as mc_limiter_cold()
 * @given: as mc_limiter_give(); the sub-query still counts as in flight
 */
typedef struct mc_limiter_ops_t {
	uint32_t (*share)(const mc_limiter_t *limiter, mc_ms_t now);
	void (*owned)(mc_limiter_t *limiter, mc_ms_t now);
	bool (*started)(mc_limiter_t *limiter, uint64_t start_id, mc_ms_t now);
	void (*hint)(mc_limiter_t *limiter, double load, mc_ms_t now);
	void (*cold)(mc_limiter_t *limiter, mc_ms_t left, mc_ms_t now);
	bool (*given)(mc_limiter_t *limiter, mc_limit_outcome_t outcome,
		      mc_ms_t latency, mc_ms_t now);
} mc_limiter_ops_t;

/**
 * struct mc_limiter_t - common head of every kind of limiter
 * @ops: its functions
 * @params: its parameters, made consistent
 * @ownership: place among the owners
 * @whole: concurrency of the whole target
 * @in_flight: sub-queries out now
 * @used_at: when the share was last used to MC_USED_PERCENT or more
 * @ramping: a cold-start ramp is under way
 */
struct mc_limiter_t {
	const mc_limiter_ops_t *ops;
	mc_limit_params_t params;
	mc_ownership_t ownership;
	double whole;
	uint32_t in_flight;
	mc_ms_t used_at;
	bool ramping;
};

/**
 * mc_limiter_alloc() - a zeroed limiter with its head filled in
 * @size: bytes of the kind's structure, which begins with mc_limiter_t
 * @ops: its functions
 * @params: its parameters
 *
 * Return: the limiter, or NULL without memory.
 */
void *mc_limiter_alloc(size_t size, const mc_limiter_ops_t *ops,
		       const mc_limit_params_t *params);

/** mc_limiter_create_adaptive() - follows latency and sheds */
mc_limiter_t *mc_limiter_create_adaptive(const mc_limit_params_t *params,
					 mc_ms_t now);

/** mc_limiter_create_fixed() - stays at the initial concurrency */
mc_limiter_t *mc_limiter_create_fixed(const mc_limit_params_t *params,
				      mc_ms_t now);

/** mc_limiter_create_none() - lets everything out */
mc_limiter_t *mc_limiter_create_none(const mc_limit_params_t *params,
				     mc_ms_t now);

#endif
