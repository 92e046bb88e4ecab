/*
 * Inside of a router: tables of targets, gathers and services, which
 * router.c builds, state.c keeps up to date and choose.c reads.
 */
#ifndef MC_ROUTE_ROUTER_H
#define MC_ROUTE_ROUTER_H

#include "mc/route.h"

/** MC_ROUTE_LATENCY_MIN - least smoothed latency, ms, as 0 means unknown */
#define MC_ROUTE_LATENCY_MIN 0.5

/** enum mc_version_class_t - a target's place in its service's version move */
typedef enum mc_version_class_t {
	MC_VERSION_ANY,
	MC_VERSION_FROM,
	MC_VERSION_TO,
	MC_VERSION_OTHER,
} mc_version_class_t;

/**
 * struct mc_target_record_t - what a router knows of a target
 * @in_flight: sub-queries that this shard has out at it
 * @latency: smoothed latency, ms; 0 when unknown
 * @turn: number of the choice that chose it last
 * @failed_until: until when it is avoided, ms
 * @busy_until: until when others go first, ms
 * @draining: it gets no new work
 * @passed: the last choice of its shard passed it over, so that its latency
 *	fades when that choice is sent
 * @version: place in its service's version move
 * @owner_count: number of its owners
 */
typedef struct mc_target_record_t {
	uint32_t in_flight;
	double latency;
	uint64_t turn;
	mc_ms_t failed_until;
	mc_ms_t busy_until;
	bool draining;
	bool passed;
	mc_version_class_t version;
	uint32_t owner_count;
} mc_target_record_t;

/**
 * struct mc_gather_record_t - what a router knows of a gather
 * @gather: as it was passed in, with in_flight and usable kept up to date
 * @request: number of the last request that was sent to it
 */
typedef struct mc_gather_record_t {
	mc_route_gather_t gather;
	uint64_t request;
} mc_gather_record_t;

/**
 * struct mc_service_record_t - what a router knows of a service
 * @share: share of requests for the new version of its move, in [0, 1]
 */
typedef struct mc_service_record_t {
	double share;
} mc_service_record_t;

/**
 * struct mc_router_t - the router
 * @config: one reference is held
 * @policy: replica choice
 * @data_center: row of the own data centre
 * @targets: a record for each target row
 * @owners: gathers that own the targets, @owners_max for each target row
 * @owners_max: most owners of a target
 * @gathers: a record for each gather
 * @gather_count: number of gathers
 * @services: a record for each service row
 * @candidates: room for every replica of one shard
 * @turn: number of the last choice
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
	uint64_t turn;
	uint64_t request;
};

#endif
