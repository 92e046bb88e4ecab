/*
 * Brings the shard's services and targets in line with a world. A target whose
 * incarnation or address is another one is another target; one that is named no
 * longer is forgotten once its last connection is closed.
 */
#include "tier_private.h"

#include <apr_strings.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
	/* Part of the extras that is used, in percent: what instances know of
	 * each other lags. */
	EXTRAS_USED = 80,
	/* Assumed while the number of instances is not known. */
	INSTANCES_UNKNOWN = 16,
	/* Part of a target's connections that is used, in percent. */
	LINKS_USED = 95,
	PERCENT = 100,
	/* Requests that all instances send to a target at a time, per slot. */
	LOAD_TIMES = 8,
	/* For a service that the map does not name. */
	LINKS_DEFAULT = 2,
	TARGETS_AT_FIRST = 4,
	BOOKS_MAX = 65536,
};

static uint32_t sharers(const tier_t *tier)
{
	uint32_t instances =
		tier->instances ? tier->instances : INSTANCES_UNKNOWN;

	return instances * tier->process->settings.shards;
}

static service_t *service_of(tier_t *tier, const char *name)
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
	service->links_max = LINKS_DEFAULT;
	for (i = 0; i < TIER_RANKS; i++)
		TAILQ_INIT(&service->waiting[i]);
	apr_hash_set(tier->service_names, service->name, APR_HASH_KEY_STRING,
		     service);
	return service;
}

static mc_err_t service_add(service_t *service, mc_handle_t target)
{
	uint32_t capacity = service->target_capacity
				    ? service->target_capacity * 2
				    : TARGETS_AT_FIRST;
	mc_handle_t *targets;

	if (service->target_count == service->target_capacity) {
		targets =
			realloc(service->targets, capacity * sizeof(*targets));
		if (!targets)
			return mc_fail(MC_ERR_NO_MEMORY,
				       "no memory for targets");
		service->targets = targets;
		service->target_capacity = capacity;
	}
	service->targets[service->target_count++] = target;
	return MC_OK;
}

static void service_remove(service_t *service, mc_handle_t target)
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
	service_t *service = service_of(tier, entry->service);
	mc_handle_t handle;
	target_t *target;
	void *slot;

	if (!service || mc_table_add(tier->targets, &handle, &slot))
		return NULL;
	target = slot;
	target->handle = handle;
	target->service = service->handle;
	target->entry = *entry;
	TAILQ_INIT(&target->idle);
	TAILQ_INIT(&target->tries);
	if (service_add(service, handle)) {
		mc_table_remove(tier->targets, handle);
		return NULL;
	}
	apr_hash_set(tier->target_ids, target->entry.id, APR_HASH_KEY_STRING,
		     target);
	return target;
}

void world_target_done(tier_t *tier, target_t *target)
{
	if (target->listed || target->link_count)
		return;
	mc_table_remove(tier->targets, target->handle);
}

/* No new requests from now on; those under way go on. */
static void target_retire(tier_t *tier, target_t *target)
{
	service_t *service = mc_table_get(tier->services, target->service);
	mc_handle_t handle = target->handle;

	target->listed = false;
	if (service)
		service_remove(service, target->handle);
	if (apr_hash_get(tier->target_ids, target->entry.id,
			 APR_HASH_KEY_STRING) == target)
		apr_hash_set(tier->target_ids, target->entry.id,
			     APR_HASH_KEY_STRING, NULL);
	pool_close_idle(tier, target);
	/* It may have gone with its last connection. */
	if (mc_table_get(tier->targets, handle))
		world_target_done(tier, target);
}

static bool same_target(const mc_target_entry_t *a, const mc_target_entry_t *b)
{
	return a->started_at == b->started_at &&
	       !strcmp(a->address, b->address) &&
	       !strcmp(a->service, b->service);
}

/* This shard's part of what a target runs and lets wait. */
static uint32_t load_of(const tier_t *tier, const mc_target_entry_t *entry)
{
	uint32_t all = entry->slots * LOAD_TIMES;
	uint32_t own = (all + sharers(tier) - 1) / sharers(tier);

	return own ? own : 1;
}

static void take_target(tier_t *tier, const mc_registry_view_target_t *from)
{
	const char *own = tier->process->settings.data_center;
	target_t *target = apr_hash_get(tier->target_ids, from->entry.id,
					APR_HASH_KEY_STRING);

	if (target && !same_target(&target->entry, &from->entry)) {
		target_retire(tier, target);
		target = NULL;
	}
	if (!target)
		target = target_add(tier, &from->entry);
	if (!target) {
		mc_log(tier->log, MC_LOG_ERROR, "tier",
		       "target is not used target=%s reason=\"%s\"",
		       from->entry.id, mc_last_error_message());
		return;
	}
	target->entry = from->entry;
	target->listed = true;
	target->load_max = load_of(tier, &from->entry);
	target->local = !strcmp(from->entry.data_center, own);
	target->leaving = from->leaving;
	target->out = from->data_center_out;
	target->cold_until = from->warmup_until;
}

static void take_targets(tier_t *tier, const mc_registry_view_t *world)
{
	uint32_t cursor = 0;
	mc_handle_t handle;
	target_t *target;
	uint32_t i;

	while ((target = mc_table_next(tier->targets, &cursor, &handle)))
		target->listed = false;
	for (i = 0; i < world->target_count; i++)
		take_target(tier, &world->targets[i]);
	cursor = 0;
	while ((target = mc_table_next(tier->targets, &cursor, &handle)))
		if (!target->listed)
			target_retire(tier, target);
}

static uint32_t links_of(const tier_t *tier, const mc_routemap_service_t *row)
{
	uint32_t links =
		row->connections_max * LINKS_USED / PERCENT / sharers(tier);

	return links ? links : 1;
}

static mc_err_t take_map(tier_t *tier, const mc_routemap_t *map)
{
	uint32_t count = mc_routemap_service_count(map);
	mc_handle_t *rows = calloc(count + 1, sizeof(*rows));
	uint32_t i;

	if (!rows)
		return mc_fail(MC_ERR_NO_MEMORY, "no memory for services");
	for (i = 0; i < count; i++) {
		const mc_routemap_service_t *row = mc_routemap_service(map, i);
		service_t *service = service_of(tier, row->name);

		if (!service) {
			free(rows);
			return MC_ERR_FULL;
		}
		service->links_max = links_of(tier, row);
		service->cold_rate = row->warmup_rate / sharers(tier);
		rows[i] = service->handle;
	}
	free(tier->rows);
	tier->rows = rows;
	return MC_OK;
}

static void take_limits(tier_t *tier, const mc_routemap_limits_t *limits)
{
	const mc_h1_limits_t set = {
		.head_bytes_max = limits->head_bytes_max,
		.body_bytes_max = limits->body_bytes_max,
		.request_timeout = limits->head_timeout,
		.idle_timeout = limits->idle_timeout,
	};

	mc_h1_set_limits(tier->h1, &set);
}

static void share_extras(tier_t *tier)
{
	const mc_retry_window_limit_t *all = &tier->extras_all;

	tier->extras.window = all->window;
	tier->extras.ratio = all->ratio * EXTRAS_USED / PERCENT;
	tier->extras.slack = all->slack * EXTRAS_USED / PERCENT / sharers(tier);
}

void world_extras(tier_t *tier, const mc_settings_t *settings)
{
	tier->extras_all = (mc_retry_window_limit_t){
		.window = settings->extra_window,
		.ratio = settings->extra_share,
		.slack = settings->extra_slack,
	};
	share_extras(tier);
}

static void take_instances(tier_t *tier, uint32_t instances)
{
	if (instances == tier->instances)
		return;
	mc_log(tier->log, MC_LOG_NOTICE, "tier",
	       "instances that share targets count=%u former=%u", instances,
	       tier->instances);
	tier->instances = instances;
	share_extras(tier);
}

void world_adopt(tier_t *tier, const mc_registry_view_t *world)
{
	const mc_registry_view_t *former = tier->world;
	uint32_t cursor = 0;
	mc_handle_t handle;
	service_t *service;

	take_instances(tier, world->instance_count);
	if (world->map && take_map(tier, world->map)) {
		mc_log(tier->log, MC_LOG_ERROR, "tier",
		       "world is not taken reason=\"%s\"",
		       mc_last_error_message());
		mc_registry_view_unref(world);
		return;
	}
	if (world->map)
		take_limits(tier, mc_routemap_limits(world->map));
	take_targets(tier, world);
	tier->world = world;
	mc_registry_view_unref(former);
	while ((service = mc_table_next(tier->services, &cursor, &handle)))
		service_wake(tier, service);
}

book_t *world_book(tier_t *tier, const mc_routemap_route_t *route)
{
	book_t *book =
		apr_hash_get(tier->books, route->name, APR_HASH_KEY_STRING);

	if (book || apr_hash_count(tier->books) >= BOOKS_MAX)
		return book;
	book = apr_pcalloc(tier->pool, sizeof(*book));
	book->metrics = metrics_row(&tier->process->metrics_rows, route->name);
	apr_hash_set(tier->books, apr_pstrdup(tier->pool, route->name),
		     APR_HASH_KEY_STRING, book);
	return book;
}
