/*
 * Types of the operators' configuration: tables of rows that name each other
 * by row number. A configuration never changes once it is built, so that any
 * thread may read it.
 */
#ifndef MC_CONFIG_DEFS_H
#define MC_CONFIG_DEFS_H

#include "mc/base.h"

enum {
	/* Most bytes of a name, with its final zero. */
	MC_NAME_SIZE = 64,
	/* Most bytes of a configuration's text: the store's largest value. */
	MC_CONFIG_TEXT_MAX = 1 << 20,
	/* Most snapshots of one service; a bit mask holds them. */
	MC_SNAPSHOTS_PER_SERVICE_MAX = 64,
	/* Most shards of one layout. */
	MC_SHARDS_PER_LAYOUT_MAX = 4096,
};

/** MC_ROW_NONE - a row number that names no row */
#define MC_ROW_NONE UINT32_MAX

/** mc_row_t - row number in one of a configuration's tables */
typedef uint32_t mc_row_t;

/**
 * struct mc_data_center_t - a data centre
 * @name: unique name
 * @out: operators have taken it out: it gets no new work
 */
typedef struct mc_data_center_t {
	const char *name;
	bool out_of_service;
} mc_data_center_t;

/**
 * struct mc_service_t - a service that callers search
 * @name: unique name
 * @deadline: time that a request has if the caller names none, ms
 */
typedef struct mc_service_t {
	const char *name;
	mc_ms_t deadline;
} mc_service_t;

/**
 * struct mc_layout_t - how an index is split; a repartition is another layout
 * @service: row of the service
 * @name: unique within the service
 * @shard_count: number of shards, at least 1
 * @documents: documents of each shard
 */
typedef struct mc_layout_t {
	mc_row_t service;
	const char *name;
	uint32_t shard_count;
	const uint64_t *documents;
} mc_layout_t;

/**
 * struct mc_snapshot_t - one consistent state of a service's indexes
 * @service: row of the service
 * @layout: row of the layout that it is split by
 * @id: unique within the service
 * @order: larger is newer; unique within the service
 */
typedef struct mc_snapshot_t {
	mc_row_t service;
	mc_row_t layout;
	const char *id;
	uint64_t order;
} mc_snapshot_t;

/**
 * struct mc_target_t - one searcher process: a replica of one shard
 * @service: row of the service
 * @layout: row of the layout
 * @shard: shard of the layout, from 0
 * @data_center: row of its data centre
 * @version: version of its program
 * @address: IP number and port, unique
 * @key: hash of @address, its name between instances
 */
typedef struct mc_target_t {
	mc_row_t service;
	mc_row_t layout;
	uint32_t shard;
	mc_row_t data_center;
	const char *version;
	const char *address;
	uint64_t key;
} mc_target_t;

/** enum mc_move_default_t - what a move does at its time without evidence */
typedef enum mc_move_fallback_t {
	MC_MOVE_FALLBACK_TAKE_BACK,
	MC_MOVE_FALLBACK_FINISH,
} mc_move_fallback_t;

/**
 * struct mc_move_t - moves a service's traffic between versions of its targets
 * @service: row of the service
 * @from: version that has the traffic
 * @to: version that shall have it
 * @start: when the first share moves, ms since the Unix epoch
 * @done_by: when all traffic shall have moved, ms since the Unix epoch
 * @without_evidence: what happens at @done_by if too little was seen
 * @taken_back: the move was judged bad and stays at @from
 */
typedef struct mc_move_t {
	mc_row_t service;
	const char *from;
	const char *to;
	mc_ms_t start;
	mc_ms_t done_by;
	mc_move_fallback_t without_evidence;
	bool taken_back;
} mc_move_t;

/**
 * struct mc_config_t - a whole configuration
 * @version: the store's version of it; 0 before it was stored
 * @submission: id of the submission that wrote it; "" before that
 */
typedef struct mc_config_t {
	uint64_t version;
	const char *submission;
	uint32_t data_center_count;
	const mc_data_center_t *data_centers;
	uint32_t service_count;
	const mc_service_t *services;
	uint32_t layout_count;
	const mc_layout_t *layouts;
	uint32_t snapshot_count;
	const mc_snapshot_t *snapshots;
	uint32_t target_count;
	const mc_target_t *targets;
	uint32_t move_count;
	const mc_move_t *moves;
} mc_config_t;

#endif
