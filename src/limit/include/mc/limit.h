/*
 * Public header of the limit library: how much work a target may get from one
 * owner, and which requests a front admits. Pure: time and events are passed
 * in. A limiter belongs to the shard that owns the target.
 */
#ifndef MC_LIMIT_H
#define MC_LIMIT_H

#include "mc/base.h"

/**
 * struct mc_limit_params_t - parameters of a target's limiter
 * @initial: concurrency of the whole target at first
 * @max: most concurrency of the whole target
 * @ramp: a cold target starts at concurrency 1 and rises with its answers
 * @ramp_min: shortest time of a ramp from 1 to @initial, ms
 * @handover: time for which a new owner waits before its share counts, so that
 *	former owners' requests end first, ms
 */
typedef struct mc_limit_params_t {
	uint32_t initial;
	uint32_t max;
	bool ramp;
	mc_ms_t ramp_min;
	mc_ms_t handover;
} mc_limit_params_t;

/** enum mc_limit_outcome_t - how a sub-query at the target ended */
typedef enum mc_limit_outcome_t {
	MC_LIMIT_ANSWERED,
	MC_LIMIT_SHED,
	MC_LIMIT_DEADLINE,
	MC_LIMIT_FAILED,
	MC_LIMIT_CANCELED,
} mc_limit_outcome_t;

typedef struct mc_limiter_t mc_limiter_t;

/**
 * struct mc_limit_policy_t - a way to limit
 * @name: name in settings: "adaptive", "fixed", "none"
 * @create: makes a limiter of a target at time @now, ms
 */
typedef struct mc_limit_policy_t {
	const char *name;
	mc_limiter_t *(*create)(const mc_limit_params_t *params, mc_ms_t now);
} mc_limit_policy_t;

/** mc_limit_policy() - policy by name, or NULL */
const mc_limit_policy_t *mc_limit_find_policy(const char *name);

/** mc_limiter_destroy() - free; NULL is allowed */
void mc_limiter_destroy(mc_limiter_t *limiter);

/**
 * mc_limiter_owners() - this instance is one of @owners owners of the target
 * @limiter: the limiter
 * @rank: place among the owners, from 0; the whole concurrency is dealt out
 *	to owners by rank, so that the owners' shares never add up to more than
 *	it. With fewer slots than owners, the first owners have one each.
 * @owners: most owners that could be active now: the larger of the old and the
 *	new number while membership changes; 0 when this instance owns it no
 *	longer
 * @now: ms
 */
void mc_limiter_set_owners(mc_limiter_t *limiter, uint32_t rank,
			   uint32_t owners, mc_ms_t now);

/**
 * mc_limiter_started() - the target named its start id
 *
 * Another id than before means that the target is cold: the ramp restarts. So
 * does the first id after creation or after this instance became an owner
 * anew, as the target may have started since. The id before the present one
 * comes from late replies and is ignored.
 *
 * Return: true when a ramp began.
 */
bool mc_limiter_set_start_id(mc_limiter_t *limiter, uint64_t start_id,
			     mc_ms_t now);

/** mc_limiter_hint() - the target's own load report, in [0, 1]; only a hint */
void mc_limiter_set_reported_load(mc_limiter_t *limiter, double load,
				  mc_ms_t now);

/**
 * mc_limiter_cold() - the target says how much longer it is cold
 * @limiter: the limiter
 * @left: ms; 0 or less when it is warm
 * @now: ms
 *
 * Until then the whole target gets one sub-query at a time: owners don't see
 * each other's, and a load report does not tell what a cold target bears. The
 * ramp begins after that.
 */
void mc_limiter_set_warmup(mc_limiter_t *limiter, mc_ms_t left, mc_ms_t now);

/**
 * mc_limiter_take() - ask to send one sub-query now
 *
 * Return: true and one more in flight, or false at the limit.
 */
bool mc_limiter_acquire(mc_limiter_t *limiter, mc_ms_t now);

/**
 * mc_limiter_give() - a sub-query that was taken has ended
 * @limiter: the limiter
 * @outcome: how it ended
 * @latency: ms since mc_limiter_take()
 * @now: ms
 *
 * Return: true when the target seems to have gone cold (latency and sheds
 * jumped) and a ramp began.
 */
bool mc_limiter_release(mc_limiter_t *limiter, mc_limit_outcome_t outcome,
			mc_ms_t latency, mc_ms_t now);

/** mc_limiter_in_flight() - sub-queries out now */
uint32_t mc_limiter_in_flight(const mc_limiter_t *limiter);

/** mc_limiter_share() - most sub-queries of this owner at @now */
uint32_t mc_limiter_share(const mc_limiter_t *limiter, mc_ms_t now);

/** mc_limiter_whole() - concurrency of the whole target as seen here */
uint32_t mc_limiter_concurrency(const mc_limiter_t *limiter);

/** mc_limiter_ramping() - whether a cold-start ramp is under way */
bool mc_limiter_is_ramping(const mc_limiter_t *limiter);

/** enum mc_class_t - classes of requests, the most urgent first */
typedef enum mc_request_class_t {
	MC_CLASS_URGENT,
	MC_CLASS_INTERACTIVE,
	MC_CLASS_REPORT,
	MC_CLASS_COUNT
} mc_request_class_t;

/** mc_class_name() - name of a class in requests: "urgent", ... */
const char *mc_request_class_name(mc_request_class_t klass);

/** mc_class_from_name() - MC_OK or MC_ERR_BAD_REQUEST */
mc_err_t mc_request_class_from_name(const char *name,
				    mc_request_class_t *klass);

/**
 * struct mc_admission_params_t - parameters of admission
 * @policy: "class" or "none"
 * @concurrency: most requests of a class and of more urgent ones at a time:
 *	the urgent class may use the whole, the interactive one 7/8 and reports
 *	1/2 of what adapts below it. Less urgent ones that are in don't count
 *	against a class, so that up to 19/8 of it may be in altogether.
 * @min_concurrency: the adaptive concurrency never falls below this
 */
typedef struct mc_admission_params_t {
	const char *policy;
	uint32_t concurrency;
	uint32_t min_concurrency;
} mc_admission_params_t;

typedef struct mc_admission_t mc_admission_t;

/**
 * mc_admission_create() - owned by the caller; NULL without memory or for an
 * unknown policy
 */
mc_admission_t *mc_admission_create(const mc_admission_params_t *params);

/** mc_admission_destroy() - free; NULL is allowed */
void mc_admission_destroy(mc_admission_t *admission);

/**
 * mc_admission_enter() - ask to run a request
 * @admission: the admission
 * @klass: its class
 * @deadline: time that the request has left, ms
 * @now: ms
 * @retry_after: receives when to try again if refused, ms
 *
 * Refuses when the class has no room, or when the time left is less than what
 * requests of the class take now, so that it could only fail late. A class of
 * which none is in has room for one if more urgent ones leave it.
 *
 * Return: MC_OK and one more request in, MC_ERR_OVERLOADED or
 * MC_ERR_DEADLINE_PAST.
 */
mc_err_t mc_admission_enter(mc_admission_t *admission, mc_request_class_t klass,
			    mc_ms_t deadline, mc_ms_t now,
			    mc_ms_t *retry_after);

/**
 * mc_admission_leave() - a request that entered has ended
 * @admission: the admission
 * @klass: its class
 * @latency: ms
 * @overloaded: targets refused or shed enough to lose coverage, or the
 *	deadline passed: concurrency shrinks
 * @now: ms
 */
void mc_admission_leave(mc_admission_t *admission, mc_request_class_t klass,
			mc_ms_t latency, bool overloaded, mc_ms_t now);

/** mc_admission_concurrency() - adaptive concurrency now */
uint32_t mc_admission_concurrency(const mc_admission_t *admission);

/** mc_admission_in() - requests of a class that are in */
uint32_t mc_admission_in_flight(const mc_admission_t *admission,
				mc_request_class_t klass);

#endif
