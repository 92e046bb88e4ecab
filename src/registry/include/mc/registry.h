/*
 * Public header of the fleet library: the targets that have registered
 * themselves, data centres that operators have taken out, and how many
 * instances share the targets. A fleet is one process's belief, kept by its
 * control shard; a world is what it publishes to the data shards: it never
 * changes and is shared by reference count. Pure.
 */
#ifndef MC_REGISTRY_H
#define MC_REGISTRY_H

#include "mc/routemap.h"

enum {
	/* Most targets, and data centres that are out. */
	MC_REGISTRY_TARGETS_MAX = 65536,
	MC_REGISTRY_DATA_CENTERS_OUT_MAX = 256,
	/* Most bytes of an id, a name or an address, with its final zero. */
	MC_REGISTRY_NAME_SIZE = 64,
	/*
	 * How long a target that drains, or whose entry is gone, may still be
	 * used where no other is left, ms. Less than the time for which targets
	 * serve on, and more than lapsed entries take to come back.
	 */
	MC_REGISTRY_REMOVAL_GRACE_MS = 2300,
};

/**
 * struct mc_target_entry_t - what a target says of itself
 * @id: its id; unique among those that live
 * @service: name of its service
 * @address: "IP:port"; may have been another target's before
 * @data_center: name of its data centre
 * @version: version of its program
 * @slots: requests that it runs at a time
 * @draining: it will leave soon
 * @cold_left: how much longer it is cold, ms; 0 when it is warm
 * @started: its start, ms since the Unix epoch; another one under the same id
 *	is another incarnation
 */
typedef struct mc_target_entry_t {
	char id[MC_REGISTRY_NAME_SIZE];
	char service[MC_REGISTRY_NAME_SIZE];
	char address[MC_REGISTRY_NAME_SIZE];
	char data_center[MC_REGISTRY_NAME_SIZE];
	char version[MC_REGISTRY_NAME_SIZE];
	uint32_t slots;
	bool draining;
	mc_ms_t warmup_left;
	int64_t started_at;
} mc_target_entry_t;

typedef struct mc_registry_t mc_registry_t;

/** mc_fleet_create() - knows nothing; owned by the caller, or NULL */
mc_registry_t *mc_registry_create(void);

/** mc_fleet_destroy() - NULL is allowed */
void mc_registry_destroy(mc_registry_t *fleet);

/** mc_fleet_put() - a target's entry was seen at @now, ms */
mc_err_t mc_registry_put_target(mc_registry_t *fleet,
				const mc_target_entry_t *entry, mc_ms_t now);

/**
 * mc_fleet_drop() - a target's entry is gone
 *
 * The target is leaving for MC_FLEET_LEAVE_MS: it may serve on, and an entry
 * that lapsed with the store comes back.
 */
void mc_registry_remove_target(mc_registry_t *fleet, const char *id,
			       mc_ms_t now);

/** mc_fleet_list_begin() - a whole list of entries follows */
void mc_registry_list_begin(mc_registry_t *fleet);

/** mc_fleet_list_end() - what was not put since the begin is dropped */
void mc_registry_list_end(mc_registry_t *fleet, mc_ms_t now);

/** mc_fleet_out() - operators have taken a data centre out, or in again */
void mc_registry_set_data_center_out(mc_registry_t *fleet,
				     const char *data_center, bool out);

/** mc_fleet_out_none() - no data centre is out: a whole list follows */
void mc_registry_clear_data_centers_out(mc_registry_t *fleet);

/** mc_fleet_instances() - instances that share the targets, this one among
 * them */
void mc_registry_set_instance_count(mc_registry_t *fleet, uint32_t count);

/** mc_fleet_map() - a map came into force; the fleet's to unref */
void mc_registry_set_routemap(mc_registry_t *fleet, const mc_routemap_t *map);

/** mc_fleet_version() - version of the map in force; 0 without one */
uint64_t mc_registry_routemap_version(const mc_registry_t *fleet);

/** mc_fleet_targets() - number of targets, with those about to go */
uint32_t mc_registry_target_count(const mc_registry_t *fleet);

/**
 * mc_fleet_tick() - let targets go whose time has come
 * @next: receives when the next one goes, ms; MC_MS_NEVER if none does
 *
 * Return: whether anything has changed since the last mc_fleet_world().
 */
bool mc_registry_expire(mc_registry_t *fleet, mc_ms_t now, mc_ms_t *next);

/**
 * struct mc_world_target_t - a target as data shards see it
 * @entry: what it said
 * @cold_until: it is cold until then, ms
 * @leaving: it drains or its entry is gone: for use where no other is left
 * @out: its data centre is out
 */
typedef struct mc_registry_view_target_t {
	mc_target_entry_t entry;
	mc_ms_t warmup_until;
	bool leaving;
	bool data_center_out;
} mc_registry_view_target_t;

/**
 * struct mc_world_t - what a process believes
 * @refs: owners
 * @map: map in force; NULL before one is known
 * @instances: instances that share the targets; 0 when that is not known
 * @target_count: number of @targets
 * @targets: in no order
 */
typedef struct mc_registry_view_t {
	uint32_t refs;
	const mc_routemap_t *map;
	uint32_t instance_count;
	uint32_t target_count;
	mc_registry_view_target_t targets[];
} mc_registry_view_t;

/** mc_fleet_world() - what is believed now; the caller's to unref, or NULL */
const mc_registry_view_t *mc_registry_make_view(mc_registry_t *fleet);

/** mc_world_ref() - one more owner; any thread */
const mc_registry_view_t *mc_registry_view_ref(const mc_registry_view_t *world);

/** mc_world_unref() - one owner less; NULL is allowed */
void mc_registry_view_unref(const mc_registry_view_t *world);

#endif
