/*
 * Public header of the registry library: the registered targets, the data
 * centres that operators have taken out of service, and the number of instances
 * that share the targets. A registry holds what one process knows of these and
 * is used only by the control shard of the process. A registry view is an
 * immutable copy that is published to the data shards and shared by reference
 * count. Pure.
 */
#ifndef MC_REGISTRY_H
#define MC_REGISTRY_H

#include "mc/rollout.h"
#include "mc/routemap.h"

enum {
	/* Most targets, and most data centres that are out of service. */
	MC_REGISTRY_TARGETS_MAX = 65536,
	MC_REGISTRY_DATA_CENTERS_OUT_MAX = 256,
	/* Most versions of a service that are known to be in use. */
	MC_REGISTRY_VERSIONS_MAX = 8,
	/* Most bytes of an id, a name or an address, with the final zero. */
	MC_REGISTRY_NAME_SIZE = 64,
	/*
	 * How long a target that is draining, or whose entry was removed, may
	 * still be used where no other target is left, ms. Shorter than the
	 * time for which draining targets keep serving, and longer than an
	 * expired entry takes to be registered again.
	 */
	MC_REGISTRY_REMOVAL_GRACE_MS = 2300,
};

/**
 * struct mc_target_entry_t - A target's registration, as the target wrote it
 * @id: id, unique among running targets
 * @service: name of its service
 * @address: "IP:port"; another target may have had it before
 * @data_center: name of its data centre
 * @version: version of its program
 * @slots: number of requests that it runs concurrently
 * @draining: it will stop soon
 * @warmup_left: remaining warm-up time, ms; 0 when it is warm
 * @started_at: start time by the target's clock, ms since the Unix epoch; an
 *	entry with the same id and another start time belongs to another
 *	incarnation of the target, which may be the later one even if its time
 *	is earlier, as clocks are set back
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

/**
 * mc_registry_create() - Create an empty registry
 *
 * Return: the registry, owned by the caller; NULL without memory.
 */
mc_registry_t *mc_registry_create(void);

/** mc_registry_destroy() - Free a registry; NULL is allowed */
void mc_registry_destroy(mc_registry_t *registry);

/**
 * mc_registry_put_target() - Add or update a target from its entry
 * @registry: the registry
 * @entry: the entry; copied
 * @revision: revision of the store at which it was written; 0 if unknown
 * @now: time from which its warm-up and, if it is draining, its grace period
 *	count, ms
 *
 * Revisions alone tell which entry of a target is the later one. An entry that
 * is older than the known one, or than its removal, was read late and is
 * ignored, and so is an entry of an unknown target that is already draining, or
 * has left before the store came back older.
 *
 * Return: MC_OK; MC_ERR_FULL with a last message.
 */
mc_err_t mc_registry_put_target(mc_registry_t *registry,
				const mc_target_entry_t *entry,
				uint64_t revision, mc_ms_t now);

/**
 * mc_registry_remove_target() - Handle the removal of a target's entry
 * @registry: the registry
 * @id: id of the target; an unknown one is ignored
 * @revision: revision of the removal, or of the last entry before it; 0 if
 *	unknown. A removal that is older than the known entry is ignored
 * @now: time from which the grace period counts, ms
 *
 * The target is kept, marked as leaving, for MC_REGISTRY_REMOVAL_GRACE_MS: it
 * may still serve, and where its entry only expired in an outage of the store,
 * it registers again.
 *
 * Return: whether the target is leaving; false if it was ignored.
 */
bool mc_registry_remove_target(mc_registry_t *registry, const char *id,
			       uint64_t revision, mc_ms_t now);

/** mc_registry_list_begin() - Begin a full list of entries */
void mc_registry_list_begin(mc_registry_t *registry);

/**
 * mc_registry_list_end() - End a full list of entries
 * @registry: the registry
 * @revision: revision of the store up to which the list is complete; 0 if
 *	unknown
 * @now: time from which grace periods count, ms
 *
 * A target whose entry was not put since mc_registry_list_begin() is removed as
 * with mc_registry_remove_target().
 */
void mc_registry_list_end(mc_registry_t *registry, uint64_t revision,
			  mc_ms_t now);

/** mc_registry_accept_version() - Note that a version of a service may be used,
 * as far as no rule forbids it */
void mc_registry_accept_version(mc_registry_t *registry, const char *service,
				const char *version);

/** mc_registry_has_unconfirmed() - Whether there are targets to confirm */
bool mc_registry_has_unconfirmed(const mc_registry_t *registry);

/**
 * mc_registry_begin_confirmation() - Begin to confirm targets of new versions
 *
 * A target whose version is new to its service may belong to a roll-out whose
 * order was not read yet. It is not used until the orders have been read by a
 * call that began after its entry was read, which is when this is called.
 */
void mc_registry_begin_confirmation(mc_registry_t *registry);

/**
 * mc_registry_end_confirmation() - Confirm the targets that were known at
 * mc_registry_begin_confirmation(), as the orders have been read since then
 *
 * Return: whether further targets have come since then.
 */
bool mc_registry_end_confirmation(mc_registry_t *registry);

/**
 * mc_registry_capacity() - Count the slots of a service by version
 * @registry: the registry
 * @service: name of the service
 * @version: the version that counts as new
 *
 * Return: slots of the targets that are not leaving.
 */
mc_rollout_capacity_t mc_registry_capacity(const mc_registry_t *registry,
					   const char *service,
					   const char *version);

/**
 * mc_registry_set_rules() - Set what versions in a roll-out may get
 * @registry: the registry
 * @rules: the rules; copied
 * @count: number of @rules, at most MC_ROLLOUTS_MAX
 */
void mc_registry_set_rules(mc_registry_t *registry,
			   const mc_rollout_rule_t *rules, uint32_t count);

/**
 * mc_registry_set_data_center_out() - Take a data centre out or back in
 *
 * Without effect when MC_REGISTRY_DATA_CENTERS_OUT_MAX are out already, or when
 * the name is too long.
 */
void mc_registry_set_data_center_out(mc_registry_t *registry,
				     const char *data_center, bool out);

/**
 * mc_registry_clear_data_centers_out() - Take all data centres back in
 *
 * Called before a full list of those that are out.
 */
void mc_registry_clear_data_centers_out(mc_registry_t *registry);

/**
 * mc_registry_keep_data_centers_out() - Keep those that are out for some time
 * @registry: the registry
 * @until: those that are not set out again are in service from then on, ms
 *
 * Called in place of mc_registry_clear_data_centers_out() before the first list
 * of a store that has forgotten what it knew, as it may be written again.
 */
void mc_registry_keep_data_centers_out(mc_registry_t *registry, mc_ms_t until);

/**
 * mc_registry_begin_era() - The store has come back with older records
 *
 * Revisions that are known can't be compared with those to come. A target that
 * is leaving, or has left, is not used again because of an entry from before it
 * left: the target has to start or to register again.
 */
void mc_registry_begin_era(mc_registry_t *registry);

/**
 * mc_registry_set_instances() - Set how many instances share the targets
 * @registry: the registry
 * @count: number of instances, with this one
 * @index: place of this instance among them by name, from 0
 */
void mc_registry_set_instances(mc_registry_t *registry, uint32_t count,
			       uint32_t index);

/** mc_registry_set_routemap() - Put a route map in force and take its ref */
void mc_registry_set_routemap(mc_registry_t *registry,
			      const mc_routemap_t *map);

/**
 * mc_registry_routemap_version() - Get the version of the route map in force
 *
 * Return: the version, or 0 without a route map.
 */
uint64_t mc_registry_routemap_version(const mc_registry_t *registry);

/** mc_registry_target_count() - Count the targets, with those leaving */
uint32_t mc_registry_target_count(const mc_registry_t *registry);

/**
 * mc_registry_expire() - Remove leaving targets whose grace period is over
 * @registry: the registry
 * @now: time, ms
 * @next: receives when the next target is due, ms; MC_MS_NEVER if none is
 *	leaving
 *
 * Return: whether anything has changed since the last mc_registry_make_view().
 */
bool mc_registry_expire(mc_registry_t *registry, mc_ms_t now, mc_ms_t *next);

/** struct mc_registry_peer_t - Another instance of this data centre */
typedef struct mc_registry_peer_t {
	char name[MC_REGISTRY_NAME_SIZE];
	char address[MC_REGISTRY_NAME_SIZE];
} mc_registry_peer_t;

/**
 * struct mc_registry_view_target_t - A target in a view
 * @entry: its registration
 * @warmup_until: end of its warm-up, ms; 0 if it was registered warm
 * @leaving: it is draining or its entry was removed; to be used only where no
 *	other target is left
 * @data_center_out: its data centre is out of service
 * @unconfirmed: it must not be used before the orders of roll-outs were read
 */
typedef struct mc_registry_view_target_t {
	mc_target_entry_t entry;
	mc_ms_t warmup_until;
	bool leaving;
	bool data_center_out;
	bool unconfirmed;
} mc_registry_view_target_t;

/**
 * struct mc_registry_view_t - An immutable copy of a registry
 * @refs: number of references
 * @map: route map in force; NULL before the first one was read
 * @instance_count: number of instances that share the targets; 0 if unknown
 * @instance_index: place of this instance among them, from 0
 * @targets_complete: all targets were listed; false while the first list of
 *	them is being read
 * @rule_count: number of @rules
 * @rules: what versions in a roll-out may get
 * @target_count: number of @targets
 * @targets: targets in no particular order
 */
typedef struct mc_registry_view_t {
	/* Instances of this data centre that relay, without this one. */
	uint32_t peer_count;
	struct mc_registry_peer_t *peers;
	uint32_t refs;
	const mc_routemap_t *map;
	uint32_t instance_count;
	uint32_t instance_index;
	bool targets_complete;
	uint32_t rule_count;
	mc_rollout_rule_t *rules;
	uint32_t target_count;
	mc_registry_view_target_t targets[];
} mc_registry_view_t;

/**
 * mc_registry_make_view() - Copy the current state into a view
 *
 * Return: the view, to be released with mc_registry_view_unref(); NULL without
 * memory.
 */
const mc_registry_view_t *mc_registry_make_view(mc_registry_t *registry);

/** mc_registry_set_peers() - Set the other instances of the data centre */
void mc_registry_set_peers(mc_registry_t *registry,
			   const mc_registry_peer_t *peers, uint32_t count);

/** mc_registry_view_ref() - Take a reference to a view; any thread */
const mc_registry_view_t *mc_registry_view_ref(const mc_registry_view_t *view);

/** mc_registry_view_unref() - Release a reference to a view; NULL is allowed */
void mc_registry_view_unref(const mc_registry_view_t *view);

#endif
