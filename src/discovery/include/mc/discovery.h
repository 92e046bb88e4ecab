/*
 * Public header of the follow library: keeps a fleet up to date from a source,
 * on a process's control shard, and publishes a world when it changes. Each
 * kind of record is listed once and then watched; with the store away the last
 * world stays.
 */
#ifndef MC_DISCOVERY_H
#define MC_DISCOVERY_H

#include "mc/net.h"
#include "mc/source.h"

typedef struct mc_discovery_t mc_discovery_t;

/**
 * struct mc_follow_params_t - what it works with
 * @shard: the control shard
 * @source: functions to reach the store
 * @address: "IP:port" of the store
 * @instance: name of this instance
 * @data_center: its data centre
 * @peers: "IP:port" where other instances hear what the store says; "" when
 *	each asks the store itself
 * @apply: a new map is to be in force by then, ms
 * @drain: a target serves on so long after its entry says that it leaves, ms
 * @history: the store remembers changes for so long, ms
 * @publish: a new world, the receiver's to unref; on the control shard
 * @ctx: passed to @publish
 */
typedef struct mc_discovery_params_t {
	mc_shard_t *shard;
	const mc_source_ops_t *source;
	const char *store_address;
	const char *instance_name;
	const char *data_center;
	const char *relay_address;
	mc_ms_t apply_max;
	mc_ms_t drain_period;
	mc_ms_t history_period;
	void (*publish)(void *ctx, const mc_registry_view_t *world);
	void *ctx;
} mc_discovery_params_t;

/** mc_follow_create() - begins when the shard runs; NULL without memory */
mc_discovery_t *mc_discovery_create(const mc_discovery_params_t *params);

/** mc_follow_destroy() - NULL is allowed */
void mc_discovery_destroy(mc_discovery_t *follow);

#endif
