/*
 * The fleet's targets in a table, found by id. An entry that goes may have a
 * time of grace; one that is put again in that time stays.
 */
#include "mc/registry.h"

#include <apr_hash.h>
#include <apr_pools.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

typedef struct {
	mc_handle_t handle;
	mc_target_entry_t entry;
	mc_ms_t cold_until;
	/* When it is taken as gone; MC_MS_NEVER while its entry stands. */
	mc_ms_t gone_at;
	bool listed;
} member_t;

struct mc_registry_t {
	apr_pool_t *pool;
	mc_table_t *targets;
	/* Records by their entry's id. */
	apr_hash_t *by_id;
	uint32_t out_count;
	char out[MC_REGISTRY_DATA_CENTERS_OUT_MAX][MC_REGISTRY_NAME_SIZE];
	uint32_t instances;
	const mc_routemap_t *map;
	bool changed;
};

mc_registry_t *mc_registry_create(void)
{
	mc_registry_t *fleet = calloc(1, sizeof(*fleet));

	if (!fleet)
		return NULL;
	fleet->targets =
		mc_table_create(sizeof(member_t), MC_REGISTRY_TARGETS_MAX);
	if (!fleet->targets || apr_pool_create(&fleet->pool, NULL)) {
		mc_registry_destroy(fleet);
		return NULL;
	}
	fleet->by_id = apr_hash_make(fleet->pool);
	return fleet;
}

void mc_registry_destroy(mc_registry_t *fleet)
{
	if (!fleet)
		return;
	mc_routemap_unref(fleet->map);
	mc_table_destroy(fleet->targets);
	if (fleet->pool)
		apr_pool_destroy(fleet->pool);
	free(fleet);
}

static member_t *find(const mc_registry_t *fleet, const char *id)
{
	return apr_hash_get(fleet->by_id, id, APR_HASH_KEY_STRING);
}

static member_t *add(mc_registry_t *fleet, const mc_target_entry_t *entry)
{
	mc_handle_t handle;
	member_t *member;
	void *slot;

	if (mc_table_add(fleet->targets, &handle, &slot))
		return NULL;
	member = slot;
	member->handle = handle;
	member->entry = *entry;
	member->gone_at = MC_MS_NEVER;
	apr_hash_set(fleet->by_id, member->entry.id, APR_HASH_KEY_STRING,
		     member);
	return member;
}

static void forget(mc_registry_t *fleet, member_t *member)
{
	apr_hash_set(fleet->by_id, member->entry.id, APR_HASH_KEY_STRING, NULL);
	mc_table_remove(fleet->targets, member->handle);
	fleet->changed = true;
}

mc_err_t mc_registry_put_target(mc_registry_t *fleet,
				const mc_target_entry_t *entry, mc_ms_t now)
{
	member_t *member = find(fleet, entry->id);
	bool repeated;

	/* It was leaving before this process knew of it. */
	if (!member && entry->draining)
		return MC_OK;
	if (!member)
		member = add(fleet, entry);
	if (!member)
		return mc_fail(MC_ERR_FULL, "no room for target %s", entry->id);
	member->listed = true;
	/* An older incarnation's entry may be read late. */
	if (entry->started_at < member->entry.started_at)
		return MC_OK;
	/* What was said before is not newer for being read again. */
	repeated = entry->started_at == member->entry.started_at &&
		   entry->warmup_left == member->entry.warmup_left &&
		   member->cold_until;
	if (!repeated)
		member->cold_until =
			entry->warmup_left > 0 ? now + entry->warmup_left : 0;
	member->entry = *entry;
	if (!entry->draining)
		member->gone_at = MC_MS_NEVER;
	else if (member->gone_at == MC_MS_NEVER)
		member->gone_at = now + MC_REGISTRY_REMOVAL_GRACE_MS;
	fleet->changed = true;
	return MC_OK;
}

static void leave(mc_registry_t *fleet, member_t *member, mc_ms_t now)
{
	if (member->gone_at != MC_MS_NEVER)
		return;
	member->gone_at = now + MC_REGISTRY_REMOVAL_GRACE_MS;
	fleet->changed = true;
}

void mc_registry_remove_target(mc_registry_t *fleet, const char *id,
			       mc_ms_t now)
{
	member_t *member = find(fleet, id);

	if (member)
		leave(fleet, member, now);
}

void mc_registry_list_begin(mc_registry_t *fleet)
{
	uint32_t cursor = 0;
	mc_handle_t handle;
	member_t *member;

	while ((member = mc_table_next(fleet->targets, &cursor, &handle)))
		member->listed = false;
}

void mc_registry_list_end(mc_registry_t *fleet, mc_ms_t now)
{
	uint32_t cursor = 0;
	mc_handle_t handle;
	member_t *member;

	while ((member = mc_table_next(fleet->targets, &cursor, &handle)))
		if (!member->listed)
			leave(fleet, member, now);
}

static uint32_t find_out(const mc_registry_t *fleet, const char *data_center)
{
	uint32_t i;

	for (i = 0; i < fleet->out_count; i++)
		if (!strcmp(fleet->out[i], data_center))
			return i;
	return fleet->out_count;
}

void mc_registry_set_data_center_out(mc_registry_t *fleet,
				     const char *data_center, bool out)
{
	uint32_t place = find_out(fleet, data_center);

	if (out && place == fleet->out_count &&
	    place < MC_REGISTRY_DATA_CENTERS_OUT_MAX &&
	    strlen(data_center) < MC_REGISTRY_NAME_SIZE) {
		snprintf(fleet->out[place], MC_REGISTRY_NAME_SIZE, "%s",
			 data_center);
		fleet->out_count++;
		fleet->changed = true;
	} else if (!out && place < fleet->out_count) {
		fleet->out_count--;
		memcpy(fleet->out[place], fleet->out[fleet->out_count],
		       MC_REGISTRY_NAME_SIZE);
		fleet->changed = true;
	}
}

void mc_registry_clear_data_centers_out(mc_registry_t *fleet)
{
	fleet->changed = fleet->changed || fleet->out_count;
	fleet->out_count = 0;
}

void mc_registry_set_instance_count(mc_registry_t *fleet, uint32_t count)
{
	fleet->changed = fleet->changed || fleet->instances != count;
	fleet->instances = count;
}

void mc_registry_set_routemap(mc_registry_t *fleet, const mc_routemap_t *map)
{
	mc_routemap_unref(fleet->map);
	fleet->map = map;
	fleet->changed = true;
}

uint64_t mc_registry_routemap_version(const mc_registry_t *fleet)
{
	return fleet->map ? mc_routemap_version(fleet->map) : 0;
}

uint32_t mc_registry_target_count(const mc_registry_t *fleet)
{
	return mc_table_count(fleet->targets);
}

bool mc_registry_expire(mc_registry_t *fleet, mc_ms_t now, mc_ms_t *next)
{
	uint32_t cursor = 0;
	mc_handle_t handle;
	member_t *member;

	*next = MC_MS_NEVER;
	while ((member = mc_table_next(fleet->targets, &cursor, &handle))) {
		if (member->gone_at <= now)
			forget(fleet, member);
		else if (member->gone_at < *next)
			*next = member->gone_at;
	}
	return fleet->changed;
}

const mc_registry_view_t *mc_registry_make_view(mc_registry_t *fleet)
{
	uint32_t count = mc_table_count(fleet->targets);
	mc_registry_view_t *world =
		calloc(1, sizeof(*world) + count * sizeof(world->targets[0]));
	uint32_t cursor = 0;
	mc_handle_t handle;
	member_t *member;

	if (!world)
		return NULL;
	world->refs = 1;
	world->map = fleet->map ? mc_routemap_ref(fleet->map) : NULL;
	world->instance_count = fleet->instances;
	while ((member = mc_table_next(fleet->targets, &cursor, &handle)))
		world->targets[world->target_count++] =
			(mc_registry_view_target_t){
				.entry = member->entry,
				.warmup_until = member->cold_until,
				.leaving = member->gone_at != MC_MS_NEVER,
				.data_center_out =
					find_out(fleet,
						 member->entry.data_center) <
					fleet->out_count,
			};
	fleet->changed = false;
	return world;
}

const mc_registry_view_t *mc_registry_view_ref(const mc_registry_view_t *world)
{
	__atomic_fetch_add(&((mc_registry_view_t *)world)->refs, 1,
			   __ATOMIC_RELAXED);
	return world;
}

void mc_registry_view_unref(const mc_registry_view_t *world)
{
	mc_registry_view_t *own = (mc_registry_view_t *)world;

	if (!world || __atomic_sub_fetch(&own->refs, 1, __ATOMIC_ACQ_REL))
		return;
	mc_routemap_unref(own->map);
	free(own);
}
