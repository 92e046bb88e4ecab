/*
 * Public header of the route library: which instances own a target, which
 * replica of a shard and which gather a sub-query goes to. Pure. A router
 * belongs to one shard of a process and is guarded by its lock.
 */
#ifndef MC_ROUTE_H
#define MC_ROUTE_H

#include "mc/config.h"

/**
 * struct mc_gather_t - a gather that may get work
 * @key: hash of its address, its name in rendezvous order
 * @data_center: row of its data centre
 * @usable: alive, not leaving and connected
 * @in_flight: sub-queries that this shard has out at it
 */
typedef struct mc_route_gather_t {
	uint64_t key;
	mc_row_t data_center;
	bool usable;
	uint32_t in_flight;
} mc_route_gather_t;

/**
 * mc_route_owners() - owners of a target in rendezvous order
 * @target: key of the target
 * @members: keys of the gathers of the target's data centre that are alive
 * @member_count: number of keys
 * @owners: receives indexes into @members, the first owner first
 * @max_owners: owners wanted, at most MC_ROUTE_OWNERS_MAX
 *
 * Every instance that sees the same members finds the same owners. When one
 * member comes or goes, no owner changes but for that member's place.
 *
 * Return: number of owners.
 */
uint32_t mc_route_find_owners(uint64_t target, const uint64_t *members,
			      uint32_t member_count, uint32_t *owners,
			      uint32_t max_owners);

enum {
	MC_ROUTE_OWNERS_MAX = 64,
	/* Time for which a target that failed is avoided. */
	MC_ROUTE_FAILED_MS = 1000,
	/* Time for which a target at its limit is passed over for others. */
	MC_ROUTE_BUSY_MS = 100,
};

/**
 * struct mc_route_policy_t - replica choice
 * @name: name in settings
 * @choose: index into @candidates of the target to use
 *
 * @choose gets at least one candidate.
 */
typedef struct mc_route_candidate_t mc_route_candidate_t;
typedef struct mc_route_policy_t {
	const char *name;
	uint32_t (*choose)(const mc_route_candidate_t *candidates,
			   uint32_t count, uint64_t request_hash,
			   mc_random_t *random);
} mc_route_policy_t;

/**
 * struct mc_route_target_t - what a choice knows of a candidate
 * @target: row of the target
 * @key: the target's key, the same on every instance
 * @in_flight: sub-queries that this shard has out at it
 * @latency: smoothed latency, ms; 0 when unknown
 * @turn: number of the choice that chose it last; 0 before the first one
 * @local: in this front's own data centre
 */
struct mc_route_candidate_t {
	mc_row_t target;
	uint64_t key;
	uint32_t in_flight;
	double latency;
	uint64_t last_chosen;
	bool local;
};

/**
 * mc_route_policy() - policy by name: "two_choices", "round_robin", "hash"
 *
 * Return: the policy, or NULL.
 */
const mc_route_policy_t *mc_route_find_policy(const char *name);

typedef struct mc_router_t mc_router_t;

/**
 * struct mc_router_params_t - what a router is made from
 * @config: configuration; one reference is taken
 * @policy: replica choice
 * @owners: owners of each target
 * @data_center: row of the own data centre
 * @gathers: gathers of all data centres; copied
 * @gather_count: number of gathers
 * @previous: state of targets that both name is carried over; may be NULL
 */
typedef struct mc_router_params_t {
	const mc_config_t *config;
	const mc_route_policy_t *policy;
	uint32_t owners_per_target;
	mc_row_t data_center;
	const mc_route_gather_t *gathers;
	uint32_t gather_count;
	const mc_router_t *previous;
} mc_router_params_t;

/** mc_router_create() - a router, owned by the caller; NULL without memory */
mc_router_t *mc_router_create(const mc_router_params_t *params);

/** mc_router_destroy() - free; NULL is allowed */
void mc_router_destroy(mc_router_t *router);

/** mc_router_gather_usable() - a gather can or can't get work from now on */
void mc_router_set_gather_usable(mc_router_t *router, uint32_t gather,
				 bool usable);

/**
 * mc_router_version_share() - share of a service's requests for a version
 * @router: the router
 * @service: row of the service
 * @from: version that has the rest
 * @to: version that has the share
 * @share: in [0, 1]
 *
 * Services without a call use targets of every version; with one, targets of
 * versions other than these two get no work. A request that shall use @to falls
 * back to @from where no replica of @to is left, and never the reverse. Shares
 * are not carried over to the next router.
 */
void mc_router_set_version_share(mc_router_t *router, mc_row_t service,
				 const char *from, const char *to,
				 double share);

/** enum mc_target_state_t - what a target or its gather said about it */
typedef enum mc_route_target_state_t {
	MC_ROUTE_TARGET_READY,
	MC_ROUTE_TARGET_DRAINING,
	MC_ROUTE_TARGET_FAILED,
	MC_ROUTE_TARGET_BUSY,
} mc_route_target_state_t;

/**
 * mc_router_target_state() - note a target's state
 * @router: the router
 * @target: row of the target
 * @state: DRAINING holds until READY; FAILED holds for MC_ROUTE_AVOID_MS,
 *	whatever is said meanwhile, unless no other replica is left; BUSY lets
 *	others go first for MC_ROUTE_BUSY_MS
 * @now: ms
 */
void mc_router_set_target_state(mc_router_t *router, mc_row_t target,
				mc_route_target_state_t state, mc_ms_t now);

/**
 * mc_router_usable() - whether a target may get new work
 *
 * False when its data centre is out, it drains, or no owner is usable. Versions
 * and failures are left to mc_router_choose().
 */
bool mc_router_is_target_usable(const mc_router_t *router, mc_row_t target);

/**
 * struct mc_route_query_t - a choice to be made
 * @layout: row of the pinned layout
 * @shard: shard of the layout
 * @request_hash: hash of the request's id; it decides the version, so that all
 *	shards of a request use one version where they can
 * @exclude: targets already tried
 * @exclude_count: number of those
 * @serves: which targets can serve the pinned snapshot; NULL for all
 * @serves_ctx: passed to @serves
 * @now: ms
 */
typedef struct mc_route_query_t {
	mc_row_t layout;
	uint32_t shard;
	uint64_t request_hash;
	const mc_row_t *exclude;
	uint32_t exclude_count;
	bool (*serves)(void *ctx, mc_row_t target);
	void *serves_ctx;
	mc_ms_t now;
} mc_route_query_t;

/**
 * struct mc_route_choice_t - where a sub-query goes
 * @target: row of the target
 * @gather: index of the gather
 */
typedef struct mc_route_choice_t {
	mc_row_t target;
	uint32_t gather;
} mc_route_choice_t;

/**
 * mc_router_choose() - choose a replica and one of its owners
 * @router: the router
 * @query: what is asked
 * @random: the shard's random state
 * @choice: receives the choice
 *
 * Prefers replicas in the own data centre while they are usable, not busy and
 * not far slower than the fastest one. Among a
 * target's usable owners it prefers a gather that this request uses already
 * (see mc_router_begin()), then the one with the fewest sub-queries out, then
 * one at random.
 *
 * Return: MC_OK; MC_ERR_NO_TARGET when no replica is left;
 * MC_ERR_DATA_CENTER_OUT when all that are not excluded are in data centres
 * that are out.
 */
mc_err_t mc_router_choose(mc_router_t *router, const mc_route_query_t *query,
			  mc_random_t *random, mc_route_choice_t *choice);

/** mc_router_begin() - a new request starts to be planned */
void mc_router_begin_request(mc_router_t *router);

/**
 * mc_router_sent() - a sub-query went out to @choice
 *
 * Counts of targets are carried over to the next router, those of gathers come
 * from its parameters. Choices name rows, so an open one has to be translated
 * by the keys of its target and gather when the router is replaced.
 */
void mc_router_record_sent(mc_router_t *router, mc_route_choice_t choice);

/**
 * mc_router_done() - a sub-query of @choice ended
 * @router: the router
 * @choice: as in mc_router_sent()
 * @latency: ms; negative when it gave no answer
 */
void mc_router_record_done(mc_router_t *router, mc_route_choice_t choice,
			   mc_ms_t latency);

/**
 * mc_router_canceled() - a sub-query of @choice is not awaited any more
 * @router: the router
 * @choice: as in mc_router_sent()
 * @elapsed: ms since it was sent: its target takes at least so long
 */
void mc_router_record_canceled(mc_router_t *router, mc_route_choice_t choice,
			       mc_ms_t elapsed);

#endif
