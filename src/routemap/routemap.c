/*
 * Route maps: rows are kept in arrays and strings in the route map's pool.
 * Routes are sorted by host and then from the longest prefix to the shortest,
 * so that the first route that matches has the longest prefix.
 */
#include "routemap_private.h"

#include <apr_strings.h>
#include <ctype.h>
#include <stdlib.h>
#include <string.h>

enum {
	HOST_SIZE = 256,
	ROWS_INITIAL = 16,
};

mc_routemap_t *mc_routemap_create(uint64_t version)
{
	mc_routemap_t *map = calloc(1, sizeof(*map));

	if (!map || apr_pool_create(&map->pool, NULL)) {
		free(map);
		return NULL;
	}
	map->refs = 1;
	map->version = version;
	map->routes = apr_array_make(map->pool, ROWS_INITIAL,
				     sizeof(mc_routemap_route_t));
	map->services = apr_array_make(map->pool, ROWS_INITIAL,
				       sizeof(mc_routemap_service_t));
	map->destinations = apr_array_make(map->pool, ROWS_INITIAL,
					   sizeof(mc_routemap_destination_t));
	map->service_rows = apr_hash_make(map->pool);
	map->customers =
		apr_array_make(map->pool, ROWS_INITIAL, sizeof(customer_row_t));
	map->customer_rows = apr_hash_make(map->pool);
	return map;
}

const mc_routemap_t *mc_routemap_ref(const mc_routemap_t *map)
{
	__atomic_fetch_add(&((mc_routemap_t *)map)->refs, 1, __ATOMIC_RELAXED);
	return map;
}

void mc_routemap_unref(const mc_routemap_t *map)
{
	mc_routemap_t *mutable_map = (mc_routemap_t *)map;

	if (!map || __atomic_sub_fetch(&mutable_map->refs, 1, __ATOMIC_ACQ_REL))
		return;
	mc_keyring_destroy(mutable_map->keyring);
	apr_pool_destroy(mutable_map->pool);
	free(mutable_map);
}

mc_err_t mc_routemap_add_service(mc_routemap_t *map,
				 const mc_routemap_service_t *service)
{
	mc_routemap_service_t *row;
	uintptr_t number;

	if (!service->name || !*service->name)
		return mc_fail(MC_ERR_BAD_CONFIG, "service without a name");
	if (apr_hash_get(map->service_rows, service->name, APR_HASH_KEY_STRING))
		return mc_fail(MC_ERR_BAD_CONFIG, "service %s: duplicate name",
			       service->name);
	if (map->services->nelts >= MC_ROUTEMAP_SERVICES_MAX)
		return mc_fail(MC_ERR_BAD_CONFIG,
			       "too many services: expected at most %d",
			       MC_ROUTEMAP_SERVICES_MAX);
	row = apr_array_push(map->services);
	*row = *service;
	row->name = apr_pstrdup(map->pool, service->name);
	number = (uintptr_t)map->services->nelts;
	apr_hash_set(map->service_rows, row->name, APR_HASH_KEY_STRING,
		     (const void *)number);
	return MC_OK;
}

static mc_err_t check_route(const mc_routemap_route_t *route, uint32_t count)
{
	size_t size = route->prefix ? strlen(route->prefix) : 0;

	if (!route->name || !route->host || !*route->host)
		return mc_fail(MC_ERR_BAD_CONFIG,
			       "route without a name or host");
	if (!size || route->prefix[0] != '/' || route->prefix[size - 1] != '/')
		return mc_fail(MC_ERR_BAD_CONFIG,
			       "route %s: prefix \"%s\": expected a slash at "
			       "both ends",
			       route->name, size ? route->prefix : "");
	if (!count || count > MC_ROUTEMAP_DESTINATIONS_MAX)
		return mc_fail(MC_ERR_BAD_CONFIG,
			       "route %s: %u services: expected 1 to %d",
			       route->name, count,
			       MC_ROUTEMAP_DESTINATIONS_MAX);
	if (route->timeout <= 0 || !route->attempts_max)
		return mc_fail(
			MC_ERR_BAD_CONFIG,
			"route %s: timeout and attempts: expected above 0",
			route->name);
	return MC_OK;
}

static mc_err_t add_destination(mc_routemap_t *map, const char *route,
				const mc_routemap_named_destination_t *named)
{
	mc_routemap_destination_t *destination;
	uintptr_t number = (uintptr_t)apr_hash_get(
		map->service_rows, named->service, APR_HASH_KEY_STRING);

	if (!number)
		return mc_fail(MC_ERR_BAD_CONFIG,
			       "route %s: service %s is not defined", route,
			       named->service);
	if (!(named->weight >= 0))
		return mc_fail(
			MC_ERR_BAD_CONFIG,
			"route %s: service %s: weight: expected 0 or more",
			route, named->service);
	destination = apr_array_push(map->destinations);
	destination->service = (uint32_t)number - 1;
	destination->weight = named->weight;
	return MC_OK;
}

mc_err_t mc_routemap_add_route(
	mc_routemap_t *map, const mc_routemap_route_t *route,
	const mc_routemap_named_destination_t *destinations, uint32_t count)
{
	uint32_t first = (uint32_t)map->destinations->nelts;
	mc_err_t err = check_route(route, count);
	mc_routemap_route_t *row;
	char *host;
	uint32_t i;

	if (!err && map->routes->nelts >= MC_ROUTEMAP_ROUTES_MAX)
		err = mc_fail(MC_ERR_BAD_CONFIG,
			      "too many routes: expected at most %d",
			      MC_ROUTEMAP_ROUTES_MAX);
	for (i = 0; !err && i < count; i++)
		err = add_destination(map, route->name, &destinations[i]);
	if (err)
		return err;
	row = apr_array_push(map->routes);
	*row = *route;
	row->name = apr_pstrdup(map->pool, route->name);
	row->prefix = apr_pstrdup(map->pool, route->prefix);
	host = apr_pstrdup(map->pool, route->host);
	row->host = host;
	for (; *host; host++)
		*host = (char)tolower((unsigned char)*host);
	row->first_destination = first;
	row->destination_count = count;
	return MC_OK;
}

void mc_routemap_set_limits(mc_routemap_t *map,
			    const mc_routemap_limits_t *limits)
{
	map->limits = *limits;
}

static int compare_routes(const void *a, const void *b)
{
	const mc_routemap_route_t *x = a, *y = b;
	int order = strcmp(x->host, y->host);
	size_t x_size = strlen(x->prefix), y_size = strlen(y->prefix);

	if (order)
		return order;
	if (x_size != y_size)
		return x_size > y_size ? -1 : 1;
	return strcmp(x->prefix, y->prefix);
}

mc_err_t mc_routemap_finish(mc_routemap_t *map)
{
	const mc_routemap_route_t *routes =
		(mc_routemap_route_t *)map->routes->elts;
	int i;

	qsort(map->routes->elts, (size_t)map->routes->nelts,
	      sizeof(mc_routemap_route_t), compare_routes);
	for (i = 1; i < map->routes->nelts; i++)
		if (!compare_routes(&routes[i - 1], &routes[i]))
			return mc_fail(MC_ERR_BAD_CONFIG,
				       "routes %s and %s: same host and prefix",
				       routes[i - 1].name, routes[i].name);
	return customers_finish(map);
}

uint64_t mc_routemap_version(const mc_routemap_t *map)
{
	return map->version;
}

const mc_routemap_limits_t *mc_routemap_limits(const mc_routemap_t *map)
{
	return &map->limits;
}

uint32_t mc_routemap_route_count(const mc_routemap_t *map)
{
	return (uint32_t)map->routes->nelts;
}

const mc_routemap_route_t *mc_routemap_route(const mc_routemap_t *map,
					     uint32_t row)
{
	return &((mc_routemap_route_t *)map->routes->elts)[row];
}

uint32_t mc_routemap_service_count(const mc_routemap_t *map)
{
	return (uint32_t)map->services->nelts;
}

const mc_routemap_service_t *mc_routemap_service(const mc_routemap_t *map,
						 uint32_t row)
{
	return &((mc_routemap_service_t *)map->services->elts)[row];
}

const mc_routemap_destination_t *mc_routemap_destination(
	const mc_routemap_t *map, const mc_routemap_route_t *route,
	uint32_t index)
{
	return &((mc_routemap_destination_t *)map->destinations
			 ->elts)[route->first_destination + index];
}

/*
 * Copies the host without its port and in lower case. Returns false when it is
 * too long for a host name.
 */
static bool normalize_host(const char *host, char *normalized)
{
	size_t i;

	for (i = 0; host[i] && host[i] != ':'; i++) {
		if (i == HOST_SIZE - 1)
			return false;
		normalized[i] = (char)tolower((unsigned char)host[i]);
	}
	normalized[i] = '\0';
	return true;
}

/* Finds the first route, in sort order, whose host is not below @host. */
static uint32_t lower_bound_of_host(const mc_routemap_t *map, const char *host)
{
	const mc_routemap_route_t *routes =
		(mc_routemap_route_t *)map->routes->elts;
	uint32_t low = 0, high = (uint32_t)map->routes->nelts;

	while (low < high) {
		uint32_t middle = low + (high - low) / 2;

		if (strcmp(routes[middle].host, host) < 0)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

const mc_routemap_route_t *mc_routemap_match_route(const mc_routemap_t *map,
						   const char *host,
						   const char *path)
{
	const mc_routemap_route_t *routes =
		(mc_routemap_route_t *)map->routes->elts;
	size_t size = strcspn(path, "?#");
	char normalized[HOST_SIZE];
	uint32_t i;

	if (!normalize_host(host, normalized))
		return NULL;
	for (i = lower_bound_of_host(map, normalized);
	     i < (uint32_t)map->routes->nelts &&
	     !strcmp(routes[i].host, normalized);
	     i++) {
		size_t prefix = strlen(routes[i].prefix);

		if (prefix <= size && !memcmp(routes[i].prefix, path, prefix))
			return &routes[i];
	}
	return NULL;
}

uint32_t mc_routemap_pick_destination(const mc_routemap_t *map,
				      const mc_routemap_route_t *route,
				      double point)
{
	const mc_routemap_destination_t *destinations =
		mc_routemap_destination(map, route, 0);
	double sum = 0;
	uint32_t i, last = 0;

	for (i = 0; i < route->destination_count; i++)
		sum += destinations[i].weight;
	point *= sum;
	for (i = 0; i < route->destination_count; i++) {
		if (destinations[i].weight <= 0)
			continue;
		last = i;
		if (point < destinations[i].weight)
			return i;
		point -= destinations[i].weight;
	}
	return last;
}
