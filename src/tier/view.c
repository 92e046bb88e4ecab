/*
 * Services and targets of the shard, updated from published views of the
 * registry. A target that restarted or changed its address or service is
 * replaced by a new one. A target that is no longer in the view is freed once
 * its last connection is closed.
 */
#include "tier_private.h"

#include <apr_strings.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "evidence.h"
#include "handover.h"
#include "rollout.h"
#include "target_notice.h"

enum {
	/* Percentage of the retry budget that is used: the number of instances
	 * known here may be out of date. */
	EXTRAS_USED_PERCENT = 80,
	/* Assumed number of instances while it is unknown. */
	INSTANCES_DEFAULT = 16,
	/* Percentage of a target's connection limit that is used. */
	CONNS_USED_PERCENT = 95,
	PERCENT = 100,
	/* Maximum number of requests of all instances in flight at a target,
	 * per slot of the target. */
	IN_FLIGHT_PER_SLOT = 8,
	/* Connections per target of a service that the map does not contain. */
	CONNS_DEFAULT = 2,
	TARGETS_INITIAL = 4,
	ROUTE_STATS_MAX = 65536,
};

uint32_t sharer_count(const tier_t *tier)
{
	uint32_t instances =
		tier->instances ? tier->instances : INSTANCES_DEFAULT;

	return instances * tier->process->settings.shards;
}

uint32_t sharer_index(const tier_t *tier)
{
	return tier->instance_index * tier->process->settings.shards +
	       mc_shard_index(tier->shard);
}

static service_t *find_or_add_service(tier_t *tier, const char *name)
{
	service_t *service =
		apr_hash_get(tier->service_names, name, APR_HASH_KEY_STRING);
	mc_handle_t handle;
	void *slot;
	uint32_t i;

	if (service)
		return service;
	if (mc_table_add(tier->services, &handle, &slot))
		return NULL;
	service = slot;
	service->tier = tier;
	service->handle = handle;
	snprintf(service->name, sizeof(service->name), "%s", name);
	service->conns_max = CONNS_DEFAULT;
	for (i = 0; i < TIER_PRIORITIES; i++)
		TAILQ_INIT(&service->waiting[i]);
	apr_hash_set(tier->service_names, service->name, APR_HASH_KEY_STRING,
		     service);
	return service;
}

static mc_err_t service_add_target(service_t *service, mc_handle_t target)
{
	uint32_t capacity = service->target_capacity
				    ? service->target_capacity * 2
				    : TARGETS_INITIAL;
	mc_handle_t *targets;

	if (service->target_count == service->target_capacity) {
		targets =
			realloc(service->targets, capacity * sizeof(*targets));
		if (!targets)
			return mc_fail(
				MC_ERR_NO_MEMORY,
				"out of memory for the targets of a service");
		service->targets = targets;
		service->target_capacity = capacity;
	}
	service->targets[service->target_count++] = target;
	return MC_OK;
}

static void service_remove_target(service_t *service, mc_handle_t target)
{
	uint32_t i;

	for (i = 0; i < service->target_count; i++)
		if (mc_handle_equal(service->targets[i], target))
			break;
	if (i == service->target_count)
		return;
	service->targets[i] = service->targets[--service->target_count];
}

static target_t *target_add(tier_t *tier, const mc_target_entry_t *entry)
{
	service_t *service = find_or_add_service(tier, entry->service);
	mc_handle_t handle;
	target_t *target;
	void *slot;

	if (!service || mc_table_add(tier->targets, &handle, &slot))
		return NULL;
	target = slot;
	target->handle = handle;
	target->service = service->handle;
	target->entry = *entry;
	target->evidence_key = evidence_key(entry);
	target->added_at = mc_shard_now(tier->shard);
	target_notice_recall(tier, target);
	TAILQ_INIT(&target->idle);
	TAILQ_INIT(&target->attempts);
	if (service_add_target(service, handle)) {
		mc_table_remove(tier->targets, handle);
		return NULL;
	}
	apr_hash_set(tier->target_ids, target->entry.id, APR_HASH_KEY_STRING,
		     target);
	return target;
}

void target_release(tier_t *tier, target_t *target)
{
	if (target->listed || target->conn_count)
		return;
	mc_table_remove(tier->targets, target->handle);
}

/* Stops sending new requests to the target; those in flight continue. */
static void target_retire(tier_t *tier, target_t *target)
{
	service_t *service = mc_table_get(tier->services, target->service);
	mc_handle_t handle = target->handle;

	target->listed = false;
	if (service)
		service_remove_target(service, target->handle);
	if (apr_hash_get(tier->target_ids, target->entry.id,
			 APR_HASH_KEY_STRING) == target)
		apr_hash_set(tier->target_ids, target->entry.id,
			     APR_HASH_KEY_STRING, NULL);
	pool_close_idle(tier, target);
	/* Closing its last connection may have freed the target. */
	if (mc_table_get(tier->targets, handle))
		target_release(tier, target);
}

static bool is_same_target(const mc_target_entry_t *a,
			   const mc_target_entry_t *b)
{
	return a->started_at == b->started_at &&
	       !strcmp(a->address, b->address) &&
	       !strcmp(a->service, b->service);
}

/* This shard's share of the requests in flight at a target. */
static uint32_t in_flight_share(const tier_t *tier,
				const mc_target_entry_t *entry)
{
	uint32_t total = entry->slots * IN_FLIGHT_PER_SLOT;
	uint32_t own = (total + sharer_count(tier) - 1) / sharer_count(tier);

	return own ? own : 1;
}

static void update_target(tier_t *tier, const mc_registry_view_target_t *from)
{
	const char *own = tier->process->settings.data_center;
	target_t *target = apr_hash_get(tier->target_ids, from->entry.id,
					APR_HASH_KEY_STRING);

	if (target && !is_same_target(&target->entry, &from->entry)) {
		target_retire(tier, target);
		target = NULL;
	}
	if (!target)
		target = target_add(tier, &from->entry);
	if (!target) {
		mc_log(tier->log, MC_LOG_ERROR, "tier",
		       "target ignored: could not be added target=%s "
		       "reason=\"%s\"",
		       from->entry.id, mc_last_error_message());
		return;
	}
	target->entry = from->entry;
	target->listed = true;
	target->in_flight_max = in_flight_share(tier, &from->entry);
	target->local = !strcmp(from->entry.data_center, own);
	handover_update_target(tier, target);
	target->draining = from->leaving;
	target->data_center_out = from->data_center_out;
	target->version_barred = from->unconfirmed;
	target->warmup_until = from->warmup_until;
}

static void update_targets(tier_t *tier, const mc_registry_view_t *view)
{
	uint32_t cursor = 0;
	mc_handle_t handle;
	target_t *target;
	uint32_t i;

	while ((target = mc_table_next(tier->targets, &cursor, &handle)))
		target->listed = false;
	for (i = 0; i < view->target_count; i++)
		update_target(tier, &view->targets[i]);
	cursor = 0;
	while ((target = mc_table_next(tier->targets, &cursor, &handle)))
		if (!target->listed)
			target_retire(tier, target);
}

/* This shard's share of the connections allowed to each target. */
static uint32_t conns_share(const tier_t *tier,
			    const mc_routemap_service_t *map_service)
{
	uint32_t conns = map_service->connections_max * CONNS_USED_PERCENT /
			 PERCENT / sharer_count(tier);

	return conns ? conns : 1;
}

static mc_err_t apply_map(tier_t *tier, const mc_routemap_t *map)
{
	uint32_t count = mc_routemap_service_count(map);
	mc_handle_t *services = calloc(count + 1, sizeof(*services));
	uint32_t i;

	if (!services)
		return mc_fail(MC_ERR_NO_MEMORY,
			       "out of memory for the services of the map");
	for (i = 0; i < count; i++) {
		const mc_routemap_service_t *map_service =
			mc_routemap_service(map, i);
		service_t *service =
			find_or_add_service(tier, map_service->name);

		if (!service) {
			free(services);
			return MC_ERR_FULL;
		}
		service->conns_max = conns_share(tier, map_service);
		service->owned_conns_max = handover_conns_share(
			map_service->connections_max * CONNS_USED_PERCENT /
				PERCENT,
			sharer_count(tier), service->conns_max);
		service->warmup_rate = map_service->warmup_rate;
		services[i] = service->handle;
	}
	free(tier->map_services);
	tier->map_services = services;
	return MC_OK;
}

static void apply_limits(tier_t *tier, const mc_routemap_limits_t *limits)
{
	const mc_h1_limits_t h1_limits = {
		.head_bytes_max = limits->head_bytes_max,
		.body_bytes_max = limits->body_bytes_max,
		.request_timeout = limits->head_timeout,
		.idle_timeout = limits->idle_timeout,
	};

	mc_h1_set_limits(tier->h1, &h1_limits);
}

/* Recalculates this shard's share of the retry budget. */
static void update_extra_limit(tier_t *tier)
{
	const mc_retry_window_limit_t *total = &tier->extra_limit_total;

	tier->extra_limit.window = total->window;
	tier->extra_limit.ratio = total->ratio * EXTRAS_USED_PERCENT / PERCENT;
	tier->extra_limit.slack = total->slack * EXTRAS_USED_PERCENT / PERCENT /
				  sharer_count(tier);
}

void extra_limit_set(tier_t *tier, const mc_settings_t *settings)
{
	tier->extra_limit_total = (mc_retry_window_limit_t){
		.window = settings->extra_window,
		.ratio = settings->extra_share,
		.slack = settings->extra_slack,
	};
	update_extra_limit(tier);
}

static void update_instances(tier_t *tier, uint32_t instances)
{
	if (instances == tier->instances)
		return;
	mc_log(tier->log, MC_LOG_NOTICE, "tier",
	       "number of instances sharing the targets changed count=%u "
	       "former=%u",
	       instances, tier->instances);
	tier->instances = instances;
	update_extra_limit(tier);
}

/* Tells the process whether this shard can serve all callers. */
static void publish_informed(tier_t *tier, const mc_registry_view_t *view)
{
	uint64_t bit = UINT64_C(1) << mc_shard_index(tier->shard);

	if (view->map && view->target_count && view->targets_complete)
		__atomic_fetch_or(&tier->process->informed_shards, bit,
				  __ATOMIC_RELAXED);
	else
		__atomic_fetch_and(&tier->process->informed_shards, ~bit,
				   __ATOMIC_RELAXED);
}

void view_apply(tier_t *tier, const mc_registry_view_t *view)
{
	const mc_registry_view_t *previous = tier->view;
	uint32_t cursor = 0;
	mc_handle_t handle;
	service_t *service;

	update_instances(tier, view->instance_count);
	tier->instance_index = view->instance_index;
	if (view->map && apply_map(tier, view->map)) {
		mc_log(tier->log, MC_LOG_ERROR, "tier",
		       "registry view rejected: map not applied reason=\"%s\"",
		       mc_last_error_message());
		mc_registry_view_unref(view);
		return;
	}
	if (view->map)
		apply_limits(tier, mc_routemap_limits(view->map));
	handover_apply_view(tier, view);
	update_targets(tier, view);
	rollout_apply_rules(tier, view);
	tier->view = view;
	publish_informed(tier, view);
	mc_registry_view_unref(previous);
	while ((service = mc_table_next(tier->services, &cursor, &handle)))
		service_dispatch_waiting(tier, service);
}

route_stats_t *route_stats_get(tier_t *tier, const mc_routemap_route_t *route)
{
	route_stats_t *stats = apr_hash_get(tier->route_stats, route->name,
					    APR_HASH_KEY_STRING);

	if (stats || apr_hash_count(tier->route_stats) >= ROUTE_STATS_MAX)
		return stats;
	stats = apr_pcalloc(tier->pool, sizeof(*stats));
	stats->metrics =
		metrics_row(&tier->process->route_metrics, route->name);
	stats->name = apr_pstrdup(tier->pool, route->name);
	apr_hash_set(tier->route_stats, stats->name, APR_HASH_KEY_STRING,
		     stats);
	return stats;
}
