/*
 * Internals of a configuration that the public type does not show: its memory
 * pool, reference count and indexes. Shared by the files of the config library.
 */
#ifndef MC_CONFIG_PRIVATE_H
#define MC_CONFIG_PRIVATE_H

#include <stdatomic.h>
#include <apr_pools.h>

#include "mc/config.h"

/**
 * struct config_index_t - indexes of a configuration's rows
 *
 * Rows are sorted: data centres and services by name, layouts by service and
 * name, snapshots by service with the newest first, targets by service,
 * layout, shard, data centre and address, moves by service. The rows of one
 * shard or service are therefore consecutive, and a list of them is a slice of
 * @rows.
 *
 * @rows: the sequence 0, 1, 2, ...
 * @targets_by_key: rows of targets, sorted by key
 * @layout_first_shard: for each layout, index of its first shard in
 *	@shard_first_target
 * @shard_first_target: for each shard of all layouts, row of its first target;
 *	the last element is the end of the last shard
 * @service_first_snapshot: for each service, row of its first snapshot; the
 *	last element is the end of the last service
 * @service_move: for each service, row of its move or MC_ROW_NONE
 */
typedef struct config_index_t {
	const mc_row_t *rows;
	const mc_row_t *targets_by_key;
	const uint32_t *layout_first_shard;
	const uint32_t *shard_first_target;
	const uint32_t *service_first_snapshot;
	const mc_row_t *service_move;
} config_index_t;

/**
 * struct config_object_t - a configuration with its private state
 * @config: the public part; must be the first member
 * @index: indexes for lookups
 * @ref_count: number of references
 * @pool: owns all memory of the configuration, including this struct
 * @rows_owner: configuration that owns the rows if this one is a copy, with
 *	one reference held; NULL if the rows are its own
 */
typedef struct config_object_t {
	mc_config_t config;
	config_index_t index;
	atomic_uint ref_count;
	apr_pool_t *pool;
	const mc_config_t *rows_owner;
} config_object_t;

/**
 * config_pool_create() - Create a memory pool without a parent.
 *
 * Return: owned by the caller; NULL if memory is exhausted.
 */
apr_pool_t *config_pool_create(void);

/**
 * config_object_create() - Create a configuration without rows or indexes.
 *
 * Return: the configuration with one reference, owned by the caller; NULL if
 * memory is exhausted.
 */
config_object_t *config_object_create(void);

/** config_object_of() - Get the object whose public part is @config. */
const config_object_t *config_object_of(const mc_config_t *config);

/**
 * config_index_build() - Build the indexes. The rows must be sorted.
 *
 * Return: MC_OK or MC_ERR_NO_MEMORY.
 */
mc_err_t config_index_build(config_object_t *object);

#endif
