/*
 * Private state of a router: tables of targets, gathers and services. router.c
 * builds them, state.c updates them and choose.c reads them.
 */
#ifndef MC_ROUTE_ROUTER_H
#define MC_ROUTE_ROUTER_H

#include "mc/route.h"

/** MC_ROUTE_LATENCY_MIN - minimum smoothed latency, ms; 0 means unknown */
#define MC_ROUTE_LATENCY_MIN 0.5

/** enum mc_version_class_t - a target's side in its service's version move */
typedef enum mc_version_class_t {
	MC_VERSION_ANY,
	MC_VERSION_FROM,
	MC_VERSION_TO,
	MC_VERSION_OTHER,
} mc_version_class_t;

/**
 * struct mc_target_record_t - state of a target
 * @in_flight: sub-queries in flight to it from this shard
 * @latency: smoothed latency, ms; 0 when unknown
 * @last_chosen: sequence number of the choice that last chose it; 0 if none did
 * @failed_until: end of the time in which it counts as failed, ms
 * @busy_until: end of the time in which it counts as at its limit, ms
 * @draining: whether it gets no new sub-queries
 * @passed_over: whether the last choice for its shard skipped it as slow or
 *	preferred another candidate; its latency decays when that choice is sent
 * @version: its side in its service's version move
 * @owner_count: number of its owners
 */
typedef struct mc_target_record_t {
	uint32_t in_flight;
	double latency;
	uint64_t last_chosen;
	mc_ms_t failed_until;
	mc_ms_t busy_until;
	bool draining;
	bool passed_over;
	mc_version_class_t version;
	uint32_t owner_count;
} mc_target_record_t;

/**
 * struct mc_gather_record_t - state of a gather
 * @gather: the gather; in_flight and usable are kept up to date
 * @last_request: number of the last request that used it
 */
typedef struct mc_gather_record_t {
	mc_route_gather_t gather;
	uint64_t last_request;
} mc_gather_record_t;

/**
 * struct mc_service_record_t - state of a service
 * @share: share of requests for the new version of its move, in [0, 1]
 */
typedef struct mc_service_record_t {
	double share;
} mc_service_record_t;

/**
 * struct mc_router_t - the router
 * @config: the router holds one reference
 * @policy: policy for choosing a replica
 * @data_center: row of the local data centre
 * @targets: a record for each target row
 * @owners: owning gathers, @owners_max entries for each target row
 * @owners_max: maximum number of owners of a target
 * @gathers: a record for each gather
 * @gather_count: number of gathers
 * @services: a record for each service row
 * @candidates: scratch space for the replicas of one shard
 * @choice_count: number of choices made
 * @request: number of the request that is being planned
 */
struct mc_router_t {
	const mc_config_t *config;
	const mc_route_policy_t *policy;
	mc_row_t data_center;
	mc_target_record_t *targets;
	uint32_t *owners;
	uint32_t owners_max;
	mc_gather_record_t *gathers;
	uint32_t gather_count;
	mc_service_record_t *services;
	mc_route_candidate_t *candidates;
	uint64_t choice_count;
	uint64_t request;
};

#endif
