/*
 * A configuration with what belongs to it: its memory, its references and its
 * indexes. Shared by the files of the config library.
 */
#ifndef MC_CONFIG_PRIVATE_H
#define MC_CONFIG_PRIVATE_H

#include <stdatomic.h>
#include <apr_pools.h>

#include "mc/config.h"

/**
 * struct config_index_t - what the lookups read
 *
 * Rows are sorted: data centres and services by name, layouts by service and
 * name, snapshots by service with the newest first, targets by service,
 * layout, shard, data centre and address, moves by service. A list of rows is
 * therefore a part of @rows, which counts up from 0.
 *
 * @rows: 0, 1, 2, ...
 * @by_key: rows of targets, sorted by key
 * @layout_shards: for each layout, position of its first shard in @shard_first
 * @shard_first: for each shard of all layouts, its first target; one more at
 *	the end
 * @service_first: for each service, its first snapshot; one more at the end
 * @service_move: for each service, its move or MC_ROW_NONE
 */
typedef struct config_index_t {
	const mc_row_t *rows;
	const mc_row_t *by_key;
	const uint32_t *layout_shards;
	const uint32_t *shard_first;
	const uint32_t *service_first;
	const mc_row_t *service_move;
} config_index_t;

/**
 * struct config_whole_t - a configuration and what belongs to it
 * @config: what callers see
 * @index: the lookups
 * @refs: references held
 * @pool: owns all memory, this struct too
 * @owner: the configuration that this one was copied from and whose rows it
 *	uses; one reference held; NULL if it has its own
 */
typedef struct config_whole_t {
	mc_config_t config;
	config_index_t index;
	atomic_uint refs;
	apr_pool_t *pool;
	const mc_config_t *owner;
} config_whole_t;

/** config_pool_create() - a pool of its own; NULL without memory */
apr_pool_t *config_pool_create(void);

/** config_whole_create() - no rows, one reference; NULL without memory */
config_whole_t *config_whole_create(void);

/** config_whole() - the whole that @config is the face of */
const config_whole_t *config_whole(const mc_config_t *config);

/**
 * config_index_build() - build the indexes of sorted rows
 *
 * Return: MC_OK or MC_ERR_NO_MEMORY.
 */
mc_err_t config_index_build(config_whole_t *whole);

#endif
