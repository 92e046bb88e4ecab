/*
 * Builds a router: its tables, the owners of each target, and the state that
 * is carried over from the router before it.
 */
#include "router.h"

#include <stdlib.h>
#include <string.h>

/* Gathers of one data centre, in two arrays of equal order. */
typedef struct {
	uint64_t *keys;
	uint32_t *indexes;
	uint32_t count;
} members_t;

static void select_members(const mc_router_t *router, mc_row_t data_center,
			   members_t *members)
{
	uint32_t i;

	members->count = 0;
	for (i = 0; i < router->gather_count; i++) {
		const mc_route_gather_t *gather = &router->gathers[i].gather;

		if (gather->data_center != data_center)
			continue;
		members->keys[members->count] = gather->key;
		members->indexes[members->count++] = i;
	}
}

static void find_owners(mc_router_t *router, mc_row_t target,
			const members_t *members)
{
	mc_target_record_t *record = &router->targets[target];
	uint32_t *owners = &router->owners[(size_t)target * router->owners_max];
	uint32_t i;

	record->owner_count = mc_route_find_owners(
		router->config->targets[target].key, members->keys,
		members->count, owners, router->owners_max);
	for (i = 0; i < record->owner_count; i++)
		owners[i] = members->indexes[owners[i]];
}

static mc_err_t fill_owners(mc_router_t *router)
{
	const mc_config_t *config = router->config;
	members_t members = {
		.keys = calloc(router->gather_count + 1, sizeof(uint64_t)),
		.indexes = calloc(router->gather_count + 1, sizeof(uint32_t)),
	};
	mc_err_t err =
		members.keys && members.indexes ? MC_OK : MC_ERR_NO_MEMORY;
	mc_row_t data_center, target;

	for (data_center = 0; !err && data_center < config->data_center_count;
	     data_center++) {
		select_members(router, data_center, &members);
		for (target = 0; target < config->target_count; target++)
			if (config->targets[target].data_center == data_center)
				find_owners(router, target, &members);
	}
	free(members.keys);
	free(members.indexes);
	return err;
}

static uint32_t most_replicas(const mc_config_t *config)
{
	uint32_t count, most = 0;
	uint32_t i;

	for (i = 0; i < config->target_count; i++) {
		const mc_target_t *target = &config->targets[i];

		mc_config_shard_targets(config, target->layout, target->shard,
					&count);
		if (count > most)
			most = count;
	}
	return most;
}

static bool allocate_tables(mc_router_t *router)
{
	const mc_config_t *config = router->config;

	router->targets =
		calloc(config->target_count + 1, sizeof(*router->targets));
	router->owners =
		calloc((size_t)config->target_count * router->owners_max + 1,
		       sizeof(*router->owners));
	router->gathers =
		calloc(router->gather_count + 1, sizeof(*router->gathers));
	router->services =
		calloc(config->service_count + 1, sizeof(*router->services));
	router->candidates =
		calloc(most_replicas(config) + 1, sizeof(*router->candidates));
	return router->targets && router->owners && router->gathers &&
	       router->services && router->candidates;
}

static void carry_target(mc_target_record_t *record,
			 const mc_target_record_t *old)
{
	record->in_flight = old->in_flight;
	record->latency = old->latency;
	record->turn = old->turn;
	record->failed_until = old->failed_until;
	record->draining = old->draining;
}

static void carry_state(mc_router_t *router, const mc_router_t *previous)
{
	const mc_config_t *config = router->config;
	mc_row_t target, old;

	router->turn = previous->turn;
	for (target = 0; target < config->target_count; target++) {
		old = mc_config_find_target(previous->config,
					    config->targets[target].key);
		if (old != MC_ROW_NONE)
			carry_target(&router->targets[target],
				     &previous->targets[old]);
	}
}

mc_router_t *mc_router_create(const mc_router_params_t *params)
{
	mc_router_t *router = calloc(1, sizeof(*router));
	uint32_t i;

	if (!router)
		return NULL;
	router->config = mc_config_ref(params->config);
	router->policy = params->policy;
	router->data_center = params->data_center;
	router->gather_count = params->gather_count;
	router->owners_max = params->owners_per_target < MC_ROUTE_OWNERS_MAX
				     ? params->owners_per_target
				     : MC_ROUTE_OWNERS_MAX;
	if (!allocate_tables(router)) {
		mc_router_destroy(router);
		return NULL;
	}
	/* Gathers start with 0: no request uses them. */
	router->request = 1;
	for (i = 0; i < params->gather_count; i++)
		router->gathers[i].gather = params->gathers[i];
	if (fill_owners(router)) {
		mc_router_destroy(router);
		return NULL;
	}
	if (params->previous)
		carry_state(router, params->previous);
	return router;
}

void mc_router_destroy(mc_router_t *router)
{
	if (!router)
		return;
	free(router->targets);
	free(router->owners);
	free(router->gathers);
	free(router->services);
	free(router->candidates);
	mc_config_unref(router->config);
	free(router);
}
