/*
 * Public header of the map library: which requests go where. A map is what the
 * operators have put in force: routes by host and path, the services that they
 * name, and limits of callers. It never changes once it is built, is shared by
 * reference count, and rows name each other by row number. Pure.
 */
#ifndef MC_ROUTEMAP_H
#define MC_ROUTEMAP_H

#include "mc/base.h"

enum {
	/* Most routes and services of a map. */
	MC_ROUTEMAP_ROUTES_MAX = 65536,
	MC_ROUTEMAP_SERVICES_MAX = 65536,
	/* Most services that one route names. */
	MC_ROUTEMAP_DESTINATIONS_MAX = 4096,
};

/** enum mc_map_shape_t - how the services of a route answer a request */
typedef enum mc_routemap_dispatch_t {
	/* One of them does, chosen by weight. */
	MC_ROUTEMAP_WEIGHTED,
	/* All of them do, and their records are merged. */
	MC_ROUTEMAP_FAN_OUT,
} mc_routemap_dispatch_t;

/**
 * struct mc_map_member_t - a service of a route
 * @service: row of the service
 * @weight: its part of the requests, in proportion to the others'; 1 for a
 *	route that asks all
 */
typedef struct mc_routemap_destination_t {
	uint32_t service;
	double weight;
} mc_routemap_destination_t;

/**
 * struct mc_map_route_t - a route
 * @name: name, for logs and metrics
 * @host: host, in lower case
 * @prefix: beginning of the path, with a slash at both ends
 * @repeatable: a request may run more than once
 * @timeout: longest time that a request may wait for its answer, ms
 * @goal: time within which an answer has its full worth, ms
 * @rank: 0 is the most urgent
 * @tries_max: most targets that may run one request, for each service
 * @shape: how the services answer
 * @first: first of its rows in the members' table
 * @count: number of those, at least 1
 * @records_max: most records of a merged answer
 * @coverage_min: least share of services that a merged answer needs
 */
typedef struct mc_routemap_route_t {
	const char *name;
	const char *host;
	const char *prefix;
	bool idempotent;
	mc_ms_t timeout;
	mc_ms_t latency_goal;
	uint32_t priority;
	uint32_t attempts_max;
	mc_routemap_dispatch_t dispatch;
	uint32_t first_destination;
	uint32_t destination_count;
	uint32_t records_max;
	double coverage_min;
} mc_routemap_route_t;

/**
 * struct mc_map_service_t - a service
 * @name: unique name
 * @connections_max: most connections that one of its targets takes from all
 *	instances
 * @cold_time: how long a target is cold after its start, ms
 * @cold_rate: requests a second that a cold target bears from all instances; 0
 *	when it bears what a warm one does
 */
typedef struct mc_routemap_service_t {
	const char *name;
	uint32_t connections_max;
	mc_ms_t warmup_time;
	double warmup_rate;
} mc_routemap_service_t;

/**
 * struct mc_map_limits_t - what callers may do
 * @head_bytes: most bytes of a request's head
 * @body_bytes: most bytes of its body
 * @head_time: for a request's head, ms
 * @idle_time: between two requests of a connection, ms
 */
typedef struct mc_routemap_limits_t {
	uint32_t head_bytes_max;
	uint32_t body_bytes_max;
	mc_ms_t head_timeout;
	mc_ms_t idle_timeout;
} mc_routemap_limits_t;

typedef struct mc_routemap_t mc_routemap_t;

/** mc_map_create() - an empty map of @version; NULL without memory */
mc_routemap_t *mc_routemap_create(uint64_t version);

/**
 * mc_map_add_service() - add a service; its name is copied
 *
 * Return: MC_OK, MC_ERR_BAD_CONFIG, MC_ERR_NO_MEMORY.
 */
mc_err_t mc_routemap_add_service(mc_routemap_t *map,
				 const mc_routemap_service_t *service);

/** struct mc_map_pair_t - a route's service by name, with its weight */
typedef struct mc_routemap_named_destination_t {
	const char *service;
	double weight;
} mc_routemap_named_destination_t;

/**
 * mc_map_add_route() - add a route after the services that it names
 * @map: the map
 * @route: the route; strings are copied, @first and @count are set here
 * @pairs: its services
 * @count: number of @pairs
 *
 * Return: MC_OK, MC_ERR_BAD_CONFIG with a last message, MC_ERR_NO_MEMORY.
 */
mc_err_t mc_routemap_add_route(mc_routemap_t *map,
			       const mc_routemap_route_t *route,
			       const mc_routemap_named_destination_t *pairs,
			       uint32_t count);

/** mc_map_set_limits() - what callers may do */
void mc_routemap_set_limits(mc_routemap_t *map,
			    const mc_routemap_limits_t *limits);

/** mc_map_finish() - no more rows will come; look-ups work from now on */
mc_err_t mc_routemap_finish(mc_routemap_t *map);

/** mc_map_ref() - one more owner; any thread */
const mc_routemap_t *mc_routemap_ref(const mc_routemap_t *map);

/** mc_map_unref() - one owner less; the last one frees it; NULL is allowed */
void mc_routemap_unref(const mc_routemap_t *map);

/** mc_map_version() - the operators' version; a larger one is newer */
uint64_t mc_routemap_version(const mc_routemap_t *map);

/** mc_map_limits() - what callers may do */
const mc_routemap_limits_t *mc_routemap_limits(const mc_routemap_t *map);

/** mc_map_route_count() - number of routes */
uint32_t mc_routemap_route_count(const mc_routemap_t *map);

/** mc_map_route() - route @row, below the count, in no useful order */
const mc_routemap_route_t *mc_routemap_route(const mc_routemap_t *map,
					     uint32_t row);

/** mc_map_service_count() - number of services */
uint32_t mc_routemap_service_count(const mc_routemap_t *map);

/** mc_map_service() - service @row, below the count */
const mc_routemap_service_t *mc_routemap_service(const mc_routemap_t *map,
						 uint32_t row);

/** mc_map_member() - member @index of @route, below its count */
const mc_routemap_destination_t *mc_routemap_destination(
	const mc_routemap_t *map, const mc_routemap_route_t *route,
	uint32_t index);

/**
 * mc_map_find() - the route of a request
 * @map: the map
 * @host: the request's host; case and a port don't matter
 * @path: path, with a query or without
 *
 * Return: the route with the longest prefix of @path, or NULL.
 */
const mc_routemap_route_t *mc_routemap_match_route(const mc_routemap_t *map,
						   const char *host,
						   const char *path);

/**
 * mc_map_choose() - one of a route's services by weight
 * @point: in [0, 1); evenly spread points give each service its weight
 *
 * Return: index of the member.
 */
uint32_t mc_routemap_pick_destination(const mc_routemap_t *map,
				      const mc_routemap_route_t *route,
				      double point);

#endif
