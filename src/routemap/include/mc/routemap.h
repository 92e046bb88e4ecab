/*
 * Public header of the routemap library: the operators' configuration, which
 * decides which services get a request. A route map holds routes by host and
 * path, the services that they name, the limits for callers, and the customers
 * with the digests of their keys. It is immutable once it is built and shared
 * by reference count; its rows refer to each other by row number. Pure.
 */
#ifndef MC_ROUTEMAP_H
#define MC_ROUTEMAP_H

#include "mc/keyring.h"

enum {
	/* Most routes and most services of a route map. */
	MC_ROUTEMAP_ROUTES_MAX = 65536,
	MC_ROUTEMAP_SERVICES_MAX = 65536,
	/* Most services of one route. */
	MC_ROUTEMAP_DESTINATIONS_MAX = 4096,
	/* Most customers of a route map. */
	MC_ROUTEMAP_CUSTOMERS_MAX = 65536,
	/* Most bytes of a customer's name. */
	MC_ROUTEMAP_CUSTOMER_NAME_MAX = 256,
};

/** enum mc_routemap_dispatch_t - Which services of a route get a request */
typedef enum mc_routemap_dispatch_t {
	/* One service, picked by weight. */
	MC_ROUTEMAP_WEIGHTED,
	/* All services; the records of their responses are merged into one
	 * answer. */
	MC_ROUTEMAP_FAN_OUT,
} mc_routemap_dispatch_t;

/**
 * struct mc_routemap_destination_t - A service of a route
 * @service: row of the service
 * @weight: its share of the route's requests, relative to the other weights; 1
 *	for a fan-out route
 */
typedef struct mc_routemap_destination_t {
	uint32_t service;
	double weight;
} mc_routemap_destination_t;

/**
 * struct mc_routemap_customer_t - A customer, who owns requests
 * @name: unique name, told to targets
 * @priority: 0 is the most urgent; goes before the priority of a route
 * @has_no_priority: @priority is not set; that of the route holds
 */
typedef struct mc_routemap_customer_t {
	const char *name;
	uint32_t priority;
	bool has_no_priority;
} mc_routemap_customer_t;

/**
 * struct mc_routemap_customer_faults_t - What of the customers can't be used
 * @customers: customers without a name that a header line can carry; their keys
 *	are unknown
 * @names: entries with the name of an earlier customer; their keys are added to
 *	those of that customer
 * @keys: keys that no header line can carry, or that are no text
 * @shared_keys: times that a key was found at a second customer; it belongs to
 *	nobody
 * @without_keys: customers that name no key, or none that can be used
 */
typedef struct mc_routemap_customer_faults_t {
	uint32_t customers;
	uint32_t names;
	uint32_t keys;
	uint32_t shared_keys;
	uint32_t without_keys;
} mc_routemap_customer_faults_t;

/**
 * struct mc_routemap_route_t - A route
 * @name: name, for logs and metrics
 * @host: host, in lower case
 * @prefix: path prefix, with a slash at both ends
 * @idempotent: a request may run more than once
 * @timeout: longest time that a request may wait for its response, ms
 * @latency_goal: latency up to which a response has its full value, ms
 * @priority: 0 is the most urgent
 * @attempts_max: most targets that may run one request, for each service
 * @dispatch: which of the services get a request
 * @first_destination: row of its first destination
 * @destination_count: number of its destinations, at least 1
 * @records_max: most records of a merged answer
 * @coverage_min: least share of services that a merged answer must cover
 * @is_public: a request needs no key of a customer, and belongs to none
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
	bool is_public;
} mc_routemap_route_t;

/**
 * struct mc_routemap_service_t - A service
 * @name: unique name
 * @connections_max: most connections that one of its targets accepts from all
 *	instances together
 * @warmup_time: how long a target warms up after its start, ms
 * @warmup_rate: most requests per second that a target gets from all instances
 *	together while it warms up; 0 for as many as a warm target gets
 */
typedef struct mc_routemap_service_t {
	const char *name;
	uint32_t connections_max;
	mc_ms_t warmup_time;
	double warmup_rate;
} mc_routemap_service_t;

/**
 * struct mc_routemap_limits_t - Limits for callers
 * @head_bytes_max: most bytes of a request's head
 * @body_bytes_max: most bytes of a request's body
 * @head_timeout: longest time for receiving a request's head, ms
 * @idle_timeout: longest time between two requests of a connection, ms
 */
typedef struct mc_routemap_limits_t {
	uint32_t head_bytes_max;
	uint32_t body_bytes_max;
	mc_ms_t head_timeout;
	mc_ms_t idle_timeout;
} mc_routemap_limits_t;

typedef struct mc_routemap_t mc_routemap_t;

/**
 * mc_routemap_create() - Create an empty route map
 * @version: version that the operators have given it; a larger one is newer
 *
 * Return: the route map with one reference; NULL without memory.
 */
mc_routemap_t *mc_routemap_create(uint64_t version);

/**
 * mc_routemap_add_service() - Add a service; its name is copied
 *
 * Return: MC_OK; MC_ERR_BAD_CONFIG with a last message.
 */
mc_err_t mc_routemap_add_service(mc_routemap_t *map,
				 const mc_routemap_service_t *service);

/**
 * struct mc_routemap_named_destination_t - A destination, by the service's name
 * @service: name of the service
 * @weight: see struct mc_routemap_destination_t
 */
typedef struct mc_routemap_named_destination_t {
	const char *service;
	double weight;
} mc_routemap_named_destination_t;

/**
 * mc_routemap_add_route() - Add a route; its services must be added before it
 * @map: the route map
 * @route: the route; its strings are copied, and @first_destination and
 *	@destination_count are ignored and set in the copy
 * @destinations: its destinations
 * @count: number of @destinations
 *
 * Return: MC_OK; MC_ERR_BAD_CONFIG with a last message.
 */
mc_err_t mc_routemap_add_route(
	mc_routemap_t *map, const mc_routemap_route_t *route,
	const mc_routemap_named_destination_t *destinations, uint32_t count);

/**
 * mc_routemap_require_keys() - Let requests need the key of a customer, except
 * on public routes; to be called before the first customer is added
 * @map: the route map
 * @secret: keys the digests of the keys
 *
 * Return: MC_OK; MC_ERR_NO_MEMORY.
 */
mc_err_t mc_routemap_require_keys(mc_routemap_t *map,
				  const mc_keyring_secret_t *secret);

/**
 * mc_routemap_add_customer() - Add a customer
 * @map: the route map
 * @customer: the customer; its name is copied, NULL for one that can't be read
 * @row: receives its row
 *
 * A second entry of a name adds to the first one, whose priority stays.
 *
 * Return: MC_OK; MC_ERR_BAD_CONFIG with a last message, which is counted as a
 * fault: the customer is left out, and the map can be used.
 */
mc_err_t mc_routemap_add_customer(mc_routemap_t *map,
				  const mc_routemap_customer_t *customer,
				  uint32_t *row);

/**
 * mc_routemap_add_key() - Add a key of a customer
 * @map: the route map
 * @customer: row of the customer
 * @key: the key, of which only a digest is kept; NULL for one that can't be
 *	read
 * @size: bytes of @key
 *
 * Return: MC_OK, also for a key that can't be used or that another customer has
 * too, which are counted as faults; MC_ERR_FULL, MC_ERR_NO_MEMORY.
 */
mc_err_t mc_routemap_add_key(mc_routemap_t *map, uint32_t customer,
			     const char *key, size_t size);

/** mc_routemap_set_limits() - Set the limits for callers */
void mc_routemap_set_limits(mc_routemap_t *map,
			    const mc_routemap_limits_t *limits);

/**
 * mc_routemap_finish() - Complete the route map after its last row
 *
 * Sorts the routes; look-ups work only after it.
 *
 * Return: MC_OK; MC_ERR_BAD_CONFIG when two routes have the same host and
 * prefix, or when there are entries of customers of which none can be read.
 */
mc_err_t mc_routemap_finish(mc_routemap_t *map);

/** mc_routemap_ref() - Take a reference; any thread */
const mc_routemap_t *mc_routemap_ref(const mc_routemap_t *map);

/** mc_routemap_unref() - Release a reference; NULL is allowed */
void mc_routemap_unref(const mc_routemap_t *map);

/** mc_routemap_version() - Get the version; a larger one is newer */
uint64_t mc_routemap_version(const mc_routemap_t *map);

/** mc_routemap_limits() - Get the limits for callers */
const mc_routemap_limits_t *mc_routemap_limits(const mc_routemap_t *map);

/** mc_routemap_route_count() - Count the routes */
uint32_t mc_routemap_route_count(const mc_routemap_t *map);

/** mc_routemap_route() - Get route @row, below the count; order is arbitrary */
const mc_routemap_route_t *mc_routemap_route(const mc_routemap_t *map,
					     uint32_t row);

/** mc_routemap_service_count() - Count the services */
uint32_t mc_routemap_service_count(const mc_routemap_t *map);

/** mc_routemap_service() - Get service @row, below the count */
const mc_routemap_service_t *mc_routemap_service(const mc_routemap_t *map,
						 uint32_t row);

/** mc_routemap_destination() - Get a route's destination @index */
const mc_routemap_destination_t *mc_routemap_destination(
	const mc_routemap_t *map, const mc_routemap_route_t *route,
	uint32_t index);

/** mc_routemap_requires_keys() - Tell whether the map names customers, also if
 * there are none */
bool mc_routemap_requires_keys(const mc_routemap_t *map);

/** mc_routemap_customer_count() - Count the customers */
uint32_t mc_routemap_customer_count(const mc_routemap_t *map);

/** mc_routemap_customer() - Get customer @row, below the count */
const mc_routemap_customer_t *mc_routemap_customer(const mc_routemap_t *map,
						   uint32_t row);

/** mc_routemap_key_count() - Count the keys of all customers */
uint32_t mc_routemap_key_count(const mc_routemap_t *map);

/** mc_routemap_customer_faults() - Get what of the customers can't be used */
const mc_routemap_customer_faults_t *mc_routemap_customer_faults(
	const mc_routemap_t *map);

/**
 * mc_routemap_identify() - Decide for which customer a request is
 * @map: the route map
 * @route: the request's route
 * @key: the only key of the request; NULL if there is not exactly one
 * @customer: receives the customer; NULL on a public route, or where the map
 *	names no customers
 *
 * Return: MC_OK; MC_ERR_KEY_MISSING; MC_ERR_KEY_UNKNOWN when the key belongs to
 * no customer.
 */
mc_err_t mc_routemap_identify(const mc_routemap_t *map,
			      const mc_routemap_route_t *route, const char *key,
			      const mc_routemap_customer_t **customer);

/**
 * mc_routemap_match_route() - Find the route of a request
 * @map: the route map
 * @host: the request's host; case and port are ignored
 * @path: the request's path, with or without a query
 *
 * Return: the route of @host with the longest prefix of @path, or NULL.
 */
const mc_routemap_route_t *mc_routemap_match_route(const mc_routemap_t *map,
						   const char *host,
						   const char *path);

/**
 * mc_routemap_pick_destination() - Pick one of a route's services by weight
 * @map: the route map
 * @route: the route
 * @point: number in [0, 1); points that are spread evenly give each service its
 *	weighted share
 *
 * Return: index of the destination.
 */
uint32_t mc_routemap_pick_destination(const mc_routemap_t *map,
				      const mc_routemap_route_t *route,
				      double point);

#endif
