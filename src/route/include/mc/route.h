/*
 * Public header of the route library: assigns targets to owning gathers, and
 * chooses the replica and the gather of each sub-query. Pure: no I/O, no clock
 * of its own. A router belongs to one shard of a process and is guarded by that
 * shard's lock.
 */
#ifndef MC_ROUTE_H
#define MC_ROUTE_H

#include "mc/config.h"

/**
 * struct mc_route_gather_t - a gather that sub-queries can be sent to
 * @key: hash of its address; identifies it in rendezvous hashing
 * @data_center: row of its data centre
 * @usable: alive, not leaving and connected
 * @in_flight: sub-queries in flight to it from this shard
 */
typedef struct mc_route_gather_t {
	uint64_t key;
	mc_row_t data_center;
	bool usable;
	uint32_t in_flight;
} mc_route_gather_t;

/**
 * mc_route_find_owners() - Find the owners of a target by rendezvous hashing
 * @target: key of the target
 * @members: keys of the live gathers in the target's data centre
 * @member_count: number of keys
 * @owners: receives indexes into @members, the first owner first
 * @max_owners: owners wanted, at most MC_ROUTE_OWNERS_MAX
 *
 * All instances that see the same members compute the same owners. When a
 * member joins or leaves, only the owner that it displaces or that replaces it
 * changes.
 *
 * Return: number of owners.
 */
uint32_t mc_route_find_owners(uint64_t target, const uint64_t *members,
			      uint32_t member_count, uint32_t *owners,
			      uint32_t max_owners);

enum {
	MC_ROUTE_OWNERS_MAX = 64,
	/* How long a failed target is avoided. */
	MC_ROUTE_FAILED_MS = 1000,
	/* How long a target at its concurrency limit is ranked below others. */
	MC_ROUTE_BUSY_MS = 100,
};

/**
 * struct mc_route_policy_t - a policy for choosing a replica
 * @name: name in settings
 * @choose: returns the index in @candidates of the target to use; @count is at
 *	least 1
 */
typedef struct mc_route_candidate_t mc_route_candidate_t;
typedef struct mc_route_policy_t {
	const char *name;
	uint32_t (*choose)(const mc_route_candidate_t *candidates,
			   uint32_t count, uint64_t request_hash,
			   mc_random_t *random);
} mc_route_policy_t;

/**
 * struct mc_route_candidate_t - a replica that a policy may choose
 * @target: row of the target
 * @key: the target's key, the same on every instance
 * @in_flight: sub-queries in flight to it from this shard
 * @latency: smoothed latency, ms; 0 when unknown
 * @last_chosen: sequence number of the choice that last chose it; 0 if none did
 * @local: whether it is in the front's data centre
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
 * mc_route_find_policy() - Find a policy: "two_choices", "round_robin" or
 * "hash"
 *
 * Return: the policy, or NULL when there is none of that name.
 */
const mc_route_policy_t *mc_route_find_policy(const char *name);

typedef struct mc_router_t mc_router_t;

/**
 * struct mc_router_params_t - parameters of a router
 * @config: configuration; the router takes a reference
 * @policy: policy for choosing a replica
 * @owners_per_target: number of owners of each target
 * @data_center: row of the local data centre
 * @gathers: gathers of all data centres; copied
 * @gather_count: number of gathers
 * @previous: router whose state is copied for targets that are in both
 *	configurations; may be NULL
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

/**
 * mc_router_create() - Create a router owned by the caller; NULL without memory
 */
mc_router_t *mc_router_create(const mc_router_params_t *params);

/** mc_router_destroy() - Free a router; NULL is allowed */
void mc_router_destroy(mc_router_t *router);

/** mc_router_set_gather_usable() - Set whether a gather can take sub-queries */
void mc_router_set_gather_usable(mc_router_t *router, uint32_t gather,
				 bool usable);

/**
 * mc_router_set_version_share() - Set a version's share of a service's requests
 * @router: the router
 * @service: row of the service
 * @from: version that gets the remaining requests
 * @to: version that gets the share
 * @share: in [0, 1]
 *
 * Without a call for a service, targets of all its versions are used. After
 * one, targets of versions other than these two get no requests. A request
 * assigned to @to falls back to @from when no replica of @to can be used, but
 * never the other way round. Shares are not copied from a previous router.
 */
void mc_router_set_version_share(mc_router_t *router, mc_row_t service,
				 const char *from, const char *to,
				 double share);

/**
 * enum mc_route_target_state_t - a target's state, reported by it or its gather
 */
typedef enum mc_route_target_state_t {
	MC_ROUTE_TARGET_READY,
	MC_ROUTE_TARGET_DRAINING,
	MC_ROUTE_TARGET_FAILED,
	MC_ROUTE_TARGET_BUSY,
} mc_route_target_state_t;

/**
 * mc_router_set_target_state() - Update a target's state
 * @router: the router
 * @target: row of the target
 * @state: DRAINING lasts until READY. FAILED lasts for MC_ROUTE_FAILED_MS
 *	whatever is reported meanwhile; a failed target is then used only when
 *	no other replica is left. BUSY ranks the target below others for
 *	MC_ROUTE_BUSY_MS.
 * @now: ms
 */
void mc_router_set_target_state(mc_router_t *router, mc_row_t target,
				mc_route_target_state_t state, mc_ms_t now);

/**
 * mc_router_is_target_usable() - Check whether a target can take new
 * sub-queries
 *
 * False when its data centre is out, it is draining, or none of its owners is
 * usable. Versions and failures are considered only by mc_router_choose().
 */
bool mc_router_is_target_usable(const mc_router_t *router, mc_row_t target);

/**
 * struct mc_route_query_t - what a replica is needed for
 * @layout: row of the pinned layout
 * @shard: shard of the layout
 * @request_hash: hash of the request's id; it decides the version, so that all
 *	shards of a request use the same version where possible
 * @exclude: targets that were already tried
 * @exclude_count: number of excluded targets
 * @serves: returns whether a target can serve the pinned snapshot; NULL if all
 *	can
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
 * struct mc_route_choice_t - destination of a sub-query
 * @target: row of the target
 * @gather: index of the gather
 */
typedef struct mc_route_choice_t {
	mc_row_t target;
	uint32_t gather;
} mc_route_choice_t;

/**
 * mc_router_choose() - Choose a replica and one of its owners
 * @router: the router
 * @query: what the replica is needed for
 * @random: the shard's random state
 * @choice: receives the choice
 *
 * Replicas in the local data centre are preferred unless they are unusable,
 * failed recently, are busy or are far slower than the fastest replica. Among a
 * target's usable owners, a gather that the current request already uses is
 * preferred (see mc_router_begin_request()), then the one with the fewest
 * sub-queries in flight, then a random one.
 *
 * Return: MC_OK; MC_ERR_NO_TARGET when no replica can be used;
 * MC_ERR_DATA_CENTER_OUT when all replicas that are not excluded are in data
 * centres that are out.
 */
mc_err_t mc_router_choose(mc_router_t *router, const mc_route_query_t *query,
			  mc_random_t *random, mc_route_choice_t *choice);

/**
 * mc_router_begin_request() - Start planning the sub-queries of a new request
 */
void mc_router_begin_request(mc_router_t *router);

/**
 * mc_router_record_sent() - Count a sub-query as in flight to @choice
 *
 * In-flight counts of targets are copied to the next router; those of gathers
 * come from its parameters. A choice holds rows, so when the router is
 * replaced, the caller must translate pending choices by the keys of their
 * target and gather.
 */
void mc_router_record_sent(mc_router_t *router, mc_route_choice_t choice);

/**
 * mc_router_record_done() - Record that a sub-query has ended
 * @router: the router
 * @choice: as in mc_router_record_sent()
 * @latency: ms; negative when there was no answer
 */
void mc_router_record_done(mc_router_t *router, mc_route_choice_t choice,
			   mc_ms_t latency);

/**
 * mc_router_record_canceled() - Record that a sub-query was cancelled
 * @router: the router
 * @choice: as in mc_router_record_sent()
 * @elapsed: ms since it was sent; a lower bound of the target's latency
 */
void mc_router_record_canceled(mc_router_t *router, mc_route_choice_t choice,
			       mc_ms_t elapsed);

#endif
