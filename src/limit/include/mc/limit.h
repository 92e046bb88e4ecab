/*
 * Public header of the limit library: limits the concurrency of each target,
 * and decides which requests a front admits. Pure: time and events are passed
 * in. A limiter belongs to the shard that owns the target.
 */
#ifndef MC_LIMIT_H
#define MC_LIMIT_H

#include "mc/base.h"

/**
 * struct mc_limit_params_t - parameters of a target's limiter
 * @initial: initial concurrency of the target, over all owners
 * @max: maximum concurrency of the target, over all owners
 * @ramp: whether a cold target starts at a concurrency of 1 that rises with its
 *	answers
 * @ramp_min: minimum duration of a ramp from 1 to @initial, ms
 * @handover: delay before a new owner may use its share, so that requests of
 *	the former owners end first, ms
 */
typedef struct mc_limit_params_t {
	uint32_t initial;
	uint32_t max;
	bool ramp;
	mc_ms_t ramp_min;
	mc_ms_t handover;
} mc_limit_params_t;

/** enum mc_limit_outcome_t - how a sub-query ended at the target */
typedef enum mc_limit_outcome_t {
	MC_LIMIT_ANSWERED,
	MC_LIMIT_SHED,
	MC_LIMIT_DEADLINE,
	MC_LIMIT_FAILED,
	MC_LIMIT_CANCELED,
} mc_limit_outcome_t;

typedef struct mc_limiter_t mc_limiter_t;

/**
 * struct mc_limit_policy_t - a concurrency limiting policy
 * @name: name in settings: "adaptive", "fixed" or "none"
 * @create: creates a limiter for a target at time @now, ms; NULL without memory
 */
typedef struct mc_limit_policy_t {
	const char *name;
	mc_limiter_t *(*create)(const mc_limit_params_t *params, mc_ms_t now);
} mc_limit_policy_t;

/** mc_limit_find_policy() - Find a policy by name; NULL when there is none */
const mc_limit_policy_t *mc_limit_find_policy(const char *name);

/** mc_limiter_destroy() - Free a limiter; NULL is allowed */
void mc_limiter_destroy(mc_limiter_t *limiter);

/**
 * mc_limiter_set_owners() - Set this instance's place among the target's owners
 * @limiter: the limiter
 * @rank: place among the owners, from 0. The target's concurrency is divided
 *	into slots that are dealt out to the owners by rank, so that their
 *	shares never add up to more than it. With fewer slots than owners, the
 *	first owners get one each.
 * @owners: maximum number of owners that may be active now: the larger of the
 *	old and the new number while membership changes; 0 when this instance is
 *	no longer an owner
 * @now: ms
 */
void mc_limiter_set_owners(mc_limiter_t *limiter, uint32_t rank,
			   uint32_t owners, mc_ms_t now);

/**
 * mc_limiter_set_start_id() - Process the start id that the target reported
 *
 * A new id means that the target has restarted and is cold, so the ramp
 * restarts. The ramp also restarts with the first id after creation and after
 * this instance became an owner again, because the target may have restarted in
 * between. The previous id is ignored, as it comes from late replies.
 *
 * Return: true when a ramp began.
 */
bool mc_limiter_set_start_id(mc_limiter_t *limiter, uint64_t start_id,
			     mc_ms_t now);

/**
 * mc_limiter_set_reported_load() - Process the load that the target reported,
 * in [0, 1]; it is only a hint, which can reduce the share, and pause a ramp or
 * set it back by one
 */
void mc_limiter_set_reported_load(mc_limiter_t *limiter, double load,
				  mc_ms_t now);

/**
 * mc_limiter_set_warmup() - Process the warm-up time that the target reported
 * @limiter: the limiter
 * @left: remaining warm-up time, ms; 0 or less when it is warm
 * @now: ms
 *
 * During the warm-up the target gets a single sub-query at a time from all its
 * owners together: owners don't know of each other's sub-queries, and a load
 * report does not show how much a cold target can handle. The ramp begins
 * afterwards.
 */
void mc_limiter_set_warmup(mc_limiter_t *limiter, mc_ms_t left, mc_ms_t now);

/**
 * mc_limiter_acquire() - Acquire a slot for one sub-query
 *
 * Return: true when a slot was acquired, false at the limit.
 */
bool mc_limiter_acquire(mc_limiter_t *limiter, mc_ms_t now);

/**
 * mc_limiter_release() - Release the slot of a sub-query that has ended
 * @limiter: the limiter
 * @outcome: how it ended
 * @latency: ms since mc_limiter_acquire()
 * @now: ms
 *
 * Return: true when a ramp began because the target appears to have gone cold:
 * latency and sheds jumped.
 */
bool mc_limiter_release(mc_limiter_t *limiter, mc_limit_outcome_t outcome,
			mc_ms_t latency, mc_ms_t now);

/** mc_limiter_in_flight() - Number of slots in use */
uint32_t mc_limiter_in_flight(const mc_limiter_t *limiter);

/** mc_limiter_share() - Number of slots of this owner at @now */
uint32_t mc_limiter_share(const mc_limiter_t *limiter, mc_ms_t now);

/**
 * mc_limiter_concurrency() - This owner's estimate of the target's concurrency
 * over all owners
 */
uint32_t mc_limiter_concurrency(const mc_limiter_t *limiter);

/** mc_limiter_is_ramping() - Return whether a cold-start ramp is in progress */
bool mc_limiter_is_ramping(const mc_limiter_t *limiter);

/** enum mc_request_class_t - request classes, the most urgent first */
typedef enum mc_request_class_t {
	MC_CLASS_URGENT,
	MC_CLASS_INTERACTIVE,
	MC_CLASS_REPORT,
	MC_CLASS_COUNT
} mc_request_class_t;

/** mc_request_class_name() - Name of a class in requests, such as "urgent" */
const char *mc_request_class_name(mc_request_class_t klass);

/** mc_request_class_from_name() - Find a class; MC_OK or MC_ERR_BAD_REQUEST */
mc_err_t mc_request_class_from_name(const char *name,
				    mc_request_class_t *klass);

/**
 * struct mc_admission_params_t - parameters of admission control
 * @policy: "class" or "none"
 * @concurrency: maximum of the adaptive concurrency. The urgent class may use
 *	all of the adaptive concurrency, the interactive class 7/8 and the
 *	report class 1/2. Requests of a class and of more urgent classes count
 *	against its limit, those of less urgent ones do not, so up to 19/8 of
 *	the concurrency may be admitted in total.
 * @min_concurrency: minimum of the adaptive concurrency
 */
typedef struct mc_admission_params_t {
	const char *policy;
	uint32_t concurrency;
	uint32_t min_concurrency;
} mc_admission_params_t;

typedef struct mc_admission_t mc_admission_t;

/**
 * mc_admission_create() - Create an admission control, owned by the caller;
 * NULL without memory or for an unknown policy
 */
mc_admission_t *mc_admission_create(const mc_admission_params_t *params);

/** mc_admission_destroy() - Free an admission control; NULL is allowed */
void mc_admission_destroy(mc_admission_t *admission);

/**
 * mc_admission_enter() - Admit or refuse a request
 * @admission: the admission control
 * @klass: the request's class
 * @deadline: time until the request's deadline, ms
 * @now: ms
 * @retry_after: receives how long to wait before a retry when refused, ms; else
 *	0
 *
 * A request is refused when its class is at its limit, or when the time left is
 * less than what requests of the class currently take, so that it would miss
 * its deadline anyway. A class with no admitted request can have one as long as
 * more urgent ones leave room.
 *
 * Return: MC_OK when the request was admitted, MC_ERR_OVERLOADED or
 * MC_ERR_DEADLINE_PAST.
 */
mc_err_t mc_admission_enter(mc_admission_t *admission, mc_request_class_t klass,
			    mc_ms_t deadline, mc_ms_t now,
			    mc_ms_t *retry_after);

/**
 * mc_admission_leave() - Record that an admitted request has ended
 * @admission: the admission control
 * @klass: the request's class
 * @latency: ms
 * @overloaded: targets refused or shed so much that coverage was lost, or the
 *	deadline passed; the concurrency decreases
 * @now: ms
 */
void mc_admission_leave(mc_admission_t *admission, mc_request_class_t klass,
			mc_ms_t latency, bool overloaded, mc_ms_t now);

/** mc_admission_concurrency() - The adaptive concurrency */
uint32_t mc_admission_concurrency(const mc_admission_t *admission);

/** mc_admission_in_flight() - Number of admitted requests of a class */
uint32_t mc_admission_in_flight(const mc_admission_t *admission,
				mc_request_class_t klass);

#endif
