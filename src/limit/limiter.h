/*
 * State that all limiters share, and the function table in which they differ.
 */
#ifndef MC_LIMIT_LIMITER_H
#define MC_LIMIT_LIMITER_H

#include "mc/limit.h"
#include "ownership.h"

enum {
	/*
	 * Percentage of the share that must be in use for the concurrency to
	 * rise.
	 */
	MC_LIMITER_USED_PERCENT = 75,
};

/**
 * struct mc_limiter_ops_t - functions of a kind of limiter; all but @share may
 * be NULL
 * @share: number of slots of this owner at @now
 * @gained_ownership: this instance became an owner
 * @set_start_id: as mc_limiter_set_start_id()
 * @set_reported_load: as mc_limiter_set_reported_load()
 * @set_warmup: as mc_limiter_set_warmup()
 * @release: as mc_limiter_release(); the slot still counts as in use
 */
typedef struct mc_limiter_ops_t {
	uint32_t (*share)(const mc_limiter_t *limiter, mc_ms_t now);
	void (*gained_ownership)(mc_limiter_t *limiter, mc_ms_t now);
	bool (*set_start_id)(mc_limiter_t *limiter, uint64_t start_id,
			     mc_ms_t now);
	void (*set_reported_load)(mc_limiter_t *limiter, double load,
				  mc_ms_t now);
	void (*set_warmup)(mc_limiter_t *limiter, mc_ms_t left, mc_ms_t now);
	bool (*release)(mc_limiter_t *limiter, mc_limit_outcome_t outcome,
			mc_ms_t latency, mc_ms_t now);
} mc_limiter_ops_t;

/**
 * struct mc_limiter_t - common first member of every kind of limiter
 * @ops: its functions
 * @params: its parameters, clamped to consistent values
 * @ownership: place among the owners
 * @concurrency: concurrency of the target, over all owners
 * @in_flight: slots in use
 * @used_at: when at least MC_LIMITER_USED_PERCENT of the share was last in use,
 *	ms
 * @ramping: whether a cold-start ramp is in progress
 */
struct mc_limiter_t {
	const mc_limiter_ops_t *ops;
	mc_limit_params_t params;
	mc_ownership_t ownership;
	double concurrency;
	uint32_t in_flight;
	mc_ms_t used_at;
	bool ramping;
};

/**
 * mc_limiter_alloc() - Allocate a zeroed limiter and set its common members
 * @size: bytes of the kind's structure, whose first member is an mc_limiter_t
 * @ops: its functions
 * @params: its parameters
 *
 * Return: the limiter, owned by the caller; NULL without memory.
 */
void *mc_limiter_alloc(size_t size, const mc_limiter_ops_t *ops,
		       const mc_limit_params_t *params);

/**
 * mc_limiter_create_adaptive() - Create a limiter that follows latency and
 * sheds
 */
mc_limiter_t *mc_limiter_create_adaptive(const mc_limit_params_t *params,
					 mc_ms_t now);

/**
 * mc_limiter_create_fixed() - Create a limiter with the constant concurrency
 * @initial
 */
mc_limiter_t *mc_limiter_create_fixed(const mc_limit_params_t *params,
				      mc_ms_t now);

/** mc_limiter_create_none() - Create a limiter without a limit */
mc_limiter_t *mc_limiter_create_none(const mc_limit_params_t *params,
				     mc_ms_t now);

#endif
