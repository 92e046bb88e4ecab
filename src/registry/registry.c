/*
 * Keeps the registered targets in a table, indexed by id. A target whose entry
 * is removed is kept for a grace period, and stays if it is registered again
 * within that time. The store's revisions tell which of two entries, or of an
 * entry and a removal, is the later one, in whatever order they are read; but
 * for those of a store that has come back older.
 */
#include "mc/registry.h"

#include <apr_hash.h>
#include <apr_pools.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "departed.h"
#include "versions.h"

typedef struct {
	mc_handle_t handle;
	mc_target_entry_t entry;
	/* Revision of the store at which the entry was written; 0 if unknown.
	 */
	uint64_t revision;
	/* Entries up to this revision are known to be gone; 0 while the target
	 * is registered. */
	uint64_t removed_revision;
	mc_ms_t warmup_until;
	/* When the record is removed, ms; MC_MS_NEVER while the target is
	 * registered and not draining. */
	mc_ms_t remove_at;
	/* Its entry was part of the list being read. */
	bool listed;
	/* It was leaving before the store came back with older entries, and its
	 * entry was from this revision of the former era. */
	bool left_before;
	uint64_t left_revision;
	/* Its version is new to the service, and no roll-out is known. */
	bool unconfirmed;
	/* The orders of roll-outs are being read since it became known. */
	bool confirming;
} record_t;

typedef struct {
	char name[MC_REGISTRY_NAME_SIZE];
	/* When it is back in service unless it is set out again, ms;
	 * MC_MS_NEVER while the store has it. */
	mc_ms_t until;
} data_center_out_t;

struct mc_registry_t {
	apr_pool_t *pool;
	/* Records are record_t. */
	mc_table_t *targets;
	/* The same records by the id of their entry. */
	apr_hash_t *by_id;
	/* The data centres that are out of service. */
	uint32_t data_centers_out_count;
	data_center_out_t data_centers_out[MC_REGISTRY_DATA_CENTERS_OUT_MAX];
	uint32_t instance_count;
	uint32_t peer_count;
	mc_registry_peer_t *peers;
	/* Place of this instance among them, by name. */
	uint32_t instance_index;
	departed_t *departed;
	/* Versions of each service that are in use. */
	versions_t *versions;
	/* The first list of targets is complete. */
	bool listed_once;
	uint32_t rule_count;
	mc_rollout_rule_t rules[MC_ROLLOUTS_MAX];
	const mc_routemap_t *map;
	/* Something has changed since the last view was made. */
	bool changed;
};

mc_registry_t *mc_registry_create(void)
{
	mc_registry_t *registry = calloc(1, sizeof(*registry));

	if (!registry)
		return NULL;
	registry->targets =
		mc_table_create(sizeof(record_t), MC_REGISTRY_TARGETS_MAX);
	registry->versions = versions_create();
	registry->departed = departed_create();
	if (!registry->targets || !registry->versions || !registry->departed ||
	    apr_pool_create(&registry->pool, NULL)) {
		mc_registry_destroy(registry);
		return NULL;
	}
	registry->by_id = apr_hash_make(registry->pool);
	return registry;
}

void mc_registry_destroy(mc_registry_t *registry)
{
	if (!registry)
		return;
	mc_routemap_unref(registry->map);
	mc_table_destroy(registry->targets);
	versions_destroy(registry->versions);
	departed_destroy(registry->departed);
	if (registry->pool)
		apr_pool_destroy(registry->pool);
	free(registry);
}

static record_t *find_target(const mc_registry_t *registry, const char *id)
{
	return apr_hash_get(registry->by_id, id, APR_HASH_KEY_STRING);
}

static record_t *add_target(mc_registry_t *registry,
			    const mc_target_entry_t *entry)
{
	mc_handle_t handle;
	record_t *record;
	void *slot;

	if (mc_table_add(registry->targets, &handle, &slot))
		return NULL;
	record = slot;
	record->handle = handle;
	record->entry = *entry;
	record->remove_at = MC_MS_NEVER;
	apr_hash_set(registry->by_id, record->entry.id, APR_HASH_KEY_STRING,
		     record);
	return record;
}

static void remove_record(mc_registry_t *registry, record_t *record)
{
	departed_add(registry->departed, &record->entry,
		     record->left_before ? record->left_revision
					 : record->revision,
		     record->left_before);
	apr_hash_set(registry->by_id, record->entry.id, APR_HASH_KEY_STRING,
		     NULL);
	mc_table_remove(registry->targets, record->handle);
	registry->changed = true;
}

/* Whether an entry was read late: a later one, or its removal, is known. */
static bool is_outdated(const record_t *record, uint64_t revision)
{
	if (!revision)
		return false;
	return revision < record->revision ||
	       revision <= record->removed_revision;
}

/* The warm-up counts from the first time that an entry is read; reading the
 * same entry again must not prolong it. */
static void update_warmup(record_t *record, const mc_target_entry_t *entry,
			  mc_ms_t now)
{
	bool repeated = entry->started_at == record->entry.started_at &&
			entry->warmup_left == record->entry.warmup_left &&
			record->warmup_until;

	if (!repeated)
		record->warmup_until =
			entry->warmup_left > 0 ? now + entry->warmup_left : 0;
}

/* Whether an entry is from before the target began to leave, which the store
 * has forgotten. */
static bool is_forgotten(const record_t *record, const mc_target_entry_t *entry,
			 uint64_t revision)
{
	return record->left_before && !entry->draining &&
	       departed_is_forgotten(&record->entry, record->left_revision,
				     entry, revision);
}

mc_err_t mc_registry_put_target(mc_registry_t *registry,
				const mc_target_entry_t *entry,
				uint64_t revision, mc_ms_t now)
{
	record_t *record = find_target(registry, entry->id);

	/* A target that was already draining when first read is not used. */
	if (!record && (entry->draining ||
			departed_has(registry->departed, entry, revision)))
		return MC_OK;
	if (!record)
		record = add_target(registry, entry);
	if (!record)
		return mc_fail(MC_ERR_FULL, "no room for target %s", entry->id);
	record->listed = true;
	if (is_outdated(record, revision) ||
	    is_forgotten(record, entry, revision))
		return MC_OK;
	record->left_before = false;
	update_warmup(record, entry, now);
	record->entry = *entry;
	record->revision = revision;
	record->removed_revision = 0;
	record->unconfirmed =
		!versions_accept_known(registry->versions, entry->service,
				       entry->version, !registry->listed_once);
	if (!entry->draining)
		record->remove_at = MC_MS_NEVER;
	else if (record->remove_at == MC_MS_NEVER)
		record->remove_at = now + MC_REGISTRY_REMOVAL_GRACE_MS;
	registry->changed = true;
	return MC_OK;
}

/* Returns false if the entry is later than the removal, which is ignored. */
static bool begin_removal(mc_registry_t *registry, record_t *record,
			  uint64_t revision, mc_ms_t now)
{
	if (!revision)
		revision = record->revision;
	if (revision < record->revision)
		return false;
	if (record->removed_revision < revision)
		record->removed_revision = revision;
	if (record->remove_at != MC_MS_NEVER)
		return true;
	record->remove_at = now + MC_REGISTRY_REMOVAL_GRACE_MS;
	registry->changed = true;
	return true;
}

bool mc_registry_remove_target(mc_registry_t *registry, const char *id,
			       uint64_t revision, mc_ms_t now)
{
	record_t *record = find_target(registry, id);

	return record && begin_removal(registry, record, revision, now);
}

void mc_registry_list_begin(mc_registry_t *registry)
{
	uint32_t cursor = 0;
	mc_handle_t handle;
	record_t *record;

	while ((record = mc_table_next(registry->targets, &cursor, &handle)))
		record->listed = false;
}

void mc_registry_list_end(mc_registry_t *registry, uint64_t revision,
			  mc_ms_t now)
{
	uint32_t cursor = 0;
	mc_handle_t handle;
	record_t *record;

	while ((record = mc_table_next(registry->targets, &cursor, &handle)))
		if (!record->listed)
			begin_removal(registry, record, revision, now);
	if (!registry->listed_once)
		registry->changed = true;
	registry->listed_once = true;
}

void mc_registry_accept_version(mc_registry_t *registry, const char *service,
				const char *version)
{
	versions_accept(registry->versions, service, version);
}

bool mc_registry_has_unconfirmed(const mc_registry_t *registry)
{
	uint32_t cursor = 0;
	mc_handle_t handle;
	const record_t *record;

	while ((record = mc_table_next(registry->targets, &cursor, &handle)))
		if (record->unconfirmed)
			return true;
	return false;
}

void mc_registry_begin_confirmation(mc_registry_t *registry)
{
	uint32_t cursor = 0;
	mc_handle_t handle;
	record_t *record;

	while ((record = mc_table_next(registry->targets, &cursor, &handle)))
		record->confirming = record->unconfirmed;
}

bool mc_registry_end_confirmation(mc_registry_t *registry)
{
	uint32_t cursor = 0;
	mc_handle_t handle;
	record_t *record;
	bool others = false;

	while ((record = mc_table_next(registry->targets, &cursor, &handle))) {
		if (!record->unconfirmed)
			continue;
		if (!record->confirming) {
			others = true;
			continue;
		}
		record->unconfirmed = record->confirming = false;
		versions_accept(registry->versions, record->entry.service,
				record->entry.version);
		registry->changed = true;
	}
	return others;
}

mc_rollout_capacity_t mc_registry_capacity(const mc_registry_t *registry,
					   const char *service,
					   const char *version)
{
	mc_rollout_capacity_t capacity = { .is_known = registry->listed_once };
	uint32_t cursor = 0;
	mc_handle_t handle;
	const record_t *record;

	while ((record = mc_table_next(registry->targets, &cursor, &handle))) {
		if (record->remove_at != MC_MS_NEVER ||
		    strcmp(record->entry.service, service))
			continue;
		if (strcmp(record->entry.version, version))
			capacity.old_slots += record->entry.slots;
		else
			capacity.new_slots += record->entry.slots;
	}
	return capacity;
}

void mc_registry_set_rules(mc_registry_t *registry,
			   const mc_rollout_rule_t *rules, uint32_t count)
{
	if (count > MC_ROLLOUTS_MAX)
		count = MC_ROLLOUTS_MAX;
	memcpy(registry->rules, rules, count * sizeof(*rules));
	registry->rule_count = count;
	registry->changed = true;
}

static uint32_t find_data_center_out(const mc_registry_t *registry,
				     const char *data_center)
{
	uint32_t i;

	for (i = 0; i < registry->data_centers_out_count; i++)
		if (!strcmp(registry->data_centers_out[i].name, data_center))
			return i;
	return registry->data_centers_out_count;
}

static void remove_data_center_out(mc_registry_t *registry, uint32_t index)
{
	registry->data_centers_out_count--;
	registry->data_centers_out[index] =
		registry->data_centers_out[registry->data_centers_out_count];
	registry->changed = true;
}

void mc_registry_set_data_center_out(mc_registry_t *registry,
				     const char *data_center, bool out)
{
	uint32_t index = find_data_center_out(registry, data_center);

	if (out && index == registry->data_centers_out_count &&
	    index < MC_REGISTRY_DATA_CENTERS_OUT_MAX &&
	    strlen(data_center) < MC_REGISTRY_NAME_SIZE) {
		snprintf(registry->data_centers_out[index].name,
			 MC_REGISTRY_NAME_SIZE, "%s", data_center);
		registry->data_centers_out_count++;
		registry->changed = true;
	}
	if (!out && index < registry->data_centers_out_count)
		remove_data_center_out(registry, index);
	else if (out && index < registry->data_centers_out_count)
		registry->data_centers_out[index].until = MC_MS_NEVER;
}

void mc_registry_clear_data_centers_out(mc_registry_t *registry)
{
	registry->changed =
		registry->changed || registry->data_centers_out_count;
	registry->data_centers_out_count = 0;
}

void mc_registry_keep_data_centers_out(mc_registry_t *registry, mc_ms_t until)
{
	uint32_t i;

	for (i = 0; i < registry->data_centers_out_count; i++)
		registry->data_centers_out[i].until = until;
}

void mc_registry_begin_era(mc_registry_t *registry)
{
	uint32_t cursor = 0;
	mc_handle_t handle;
	record_t *record;

	while ((record = mc_table_next(registry->targets, &cursor, &handle))) {
		if (!record->left_before)
			record->left_revision = record->revision;
		record->left_before = record->remove_at != MC_MS_NEVER;
		record->revision = 0;
		record->removed_revision = 0;
	}
	departed_begin_era(registry->departed);
}

void mc_registry_set_instances(mc_registry_t *registry, uint32_t count,
			       uint32_t index)
{
	if (registry->instance_count == count &&
	    registry->instance_index == index)
		return;
	registry->instance_count = count;
	registry->instance_index = index;
	registry->changed = true;
}

void mc_registry_set_peers(mc_registry_t *registry,
			   const mc_registry_peer_t *peers, uint32_t count)
{
	mc_registry_peer_t *copy;

	if (count == registry->peer_count &&
	    !memcmp(peers, registry->peers, count * sizeof(*peers)))
		return;
	copy = calloc(count + 1, sizeof(*copy));
	if (!copy)
		return;
	memcpy(copy, peers, count * sizeof(*peers));
	free(registry->peers);
	registry->peers = copy;
	registry->peer_count = count;
	registry->changed = true;
}

void mc_registry_set_routemap(mc_registry_t *registry, const mc_routemap_t *map)
{
	mc_routemap_unref(registry->map);
	registry->map = map;
	registry->changed = true;
}

uint64_t mc_registry_routemap_version(const mc_registry_t *registry)
{
	return registry->map ? mc_routemap_version(registry->map) : 0;
}

uint32_t mc_registry_target_count(const mc_registry_t *registry)
{
	return mc_table_count(registry->targets);
}

/* Takes back in the data centres that are not kept out any more. */
static void expire_data_centers_out(mc_registry_t *registry, mc_ms_t now,
				    mc_ms_t *next)
{
	uint32_t i = 0;

	while (i < registry->data_centers_out_count) {
		mc_ms_t until = registry->data_centers_out[i].until;

		if (until <= now) {
			remove_data_center_out(registry, i);
			continue;
		}
		if (until < *next)
			*next = until;
		i++;
	}
}

bool mc_registry_expire(mc_registry_t *registry, mc_ms_t now, mc_ms_t *next)
{
	uint32_t cursor = 0;
	mc_handle_t handle;
	record_t *record;

	*next = MC_MS_NEVER;
	while ((record = mc_table_next(registry->targets, &cursor, &handle))) {
		if (record->remove_at <= now)
			remove_record(registry, record);
		else if (record->remove_at < *next)
			*next = record->remove_at;
	}
	expire_data_centers_out(registry, now, next);
	return registry->changed;
}

const mc_registry_view_t *mc_registry_make_view(mc_registry_t *registry)
{
	uint32_t count = mc_table_count(registry->targets);
	mc_registry_view_t *view =
		calloc(1, sizeof(*view) + count * sizeof(view->targets[0]));
	uint32_t cursor = 0;
	mc_handle_t handle;
	record_t *record;

	if (!view)
		return NULL;
	view->refs = 1;
	view->rules = calloc(registry->rule_count + 1, sizeof(*view->rules));
	if (!view->rules) {
		free(view);
		return NULL;
	}
	view->peers = calloc(registry->peer_count + 1, sizeof(*view->peers));
	if (view->peers) {
		view->peer_count = registry->peer_count;
		memcpy(view->peers, registry->peers,
		       registry->peer_count * sizeof(*view->peers));
	}
	view->rule_count = registry->rule_count;
	memcpy(view->rules, registry->rules,
	       registry->rule_count * sizeof(*view->rules));
	view->map = registry->map ? mc_routemap_ref(registry->map) : NULL;
	view->instance_count = registry->instance_count;
	view->instance_index = registry->instance_index;
	view->targets_complete = registry->listed_once;
	while ((record = mc_table_next(registry->targets, &cursor, &handle)))
		view->targets[view->target_count++] =
			(mc_registry_view_target_t){
				.entry = record->entry,
				.warmup_until = record->warmup_until,
				.leaving = record->remove_at != MC_MS_NEVER,
				.unconfirmed = record->unconfirmed,
				.data_center_out =
					find_data_center_out(
						registry,
						record->entry.data_center) <
					registry->data_centers_out_count,
			};
	registry->changed = false;
	return view;
}

const mc_registry_view_t *mc_registry_view_ref(const mc_registry_view_t *view)
{
	__atomic_fetch_add(&((mc_registry_view_t *)view)->refs, 1,
			   __ATOMIC_RELAXED);
	return view;
}

void mc_registry_view_unref(const mc_registry_view_t *view)
{
	mc_registry_view_t *mutable_view = (mc_registry_view_t *)view;

	if (!view ||
	    __atomic_sub_fetch(&mutable_view->refs, 1, __ATOMIC_ACQ_REL))
		return;
	mc_routemap_unref(mutable_view->map);
	free(mutable_view->rules);
	free(mutable_view->peers);
	free(mutable_view);
}
