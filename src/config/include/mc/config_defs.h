/*
 * Types of the operators' configuration: tables whose rows refer to each other
 * by row number. A configuration is immutable once it is built, so any thread
 * may read it without a lock.
 */
#ifndef MC_CONFIG_DEFS_H
#define MC_CONFIG_DEFS_H

#include "mc/base.h"

enum {
	/* Size of a name's buffer in bytes, including the terminating NUL. */
	MC_NAME_SIZE = 64,
	/*
	 * Maximum size of a configuration's text in bytes; equals the store's
	 * limit for one value.
	 */
	MC_CONFIG_TEXT_MAX = 1 << 20,
	/* Each snapshot of a service is one bit of a 64-bit mask. */
	MC_SNAPSHOTS_PER_SERVICE_MAX = 64,
	MC_SHARDS_PER_LAYOUT_MAX = 4096,
};

/** MC_ROW_NONE - the row number that stands for "no row" */
#define MC_ROW_NONE UINT32_MAX

/** mc_row_t - number of a row in one of a configuration's tables */
typedef uint32_t mc_row_t;

/**
 * struct mc_data_center_t - a data centre
 * @name: unique name
 * @out_of_service: operators have taken it out of service; it gets no new
 *	requests
 */
typedef struct mc_data_center_t {
	const char *name;
	bool out_of_service;
} mc_data_center_t;

/**
 * struct mc_service_t - a service that callers send requests to
 * @name: unique name
 * @deadline: default deadline of a request whose caller sets none, ms
 */
typedef struct mc_service_t {
	const char *name;
	mc_ms_t deadline;
} mc_service_t;

/**
 * struct mc_layout_t - how an index is split into shards; repartitioning the
 * index needs another layout
 * @service: row of the service
 * @name: unique within the service
 * @shard_count: number of shards, at least 1
 * @documents: number of documents in each shard
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
 * @layout: row of the layout by which its indexes are split
 * @id: unique within the service
 * @order: sequence number, larger is newer; unique within the service
 */
typedef struct mc_snapshot_t {
	mc_row_t service;
	mc_row_t layout;
	const char *id;
	uint64_t order;
} mc_snapshot_t;

/**
 * struct mc_target_t - a process that holds a replica of one shard
 * @service: row of the service
 * @layout: row of the layout
 * @shard: number of the shard within the layout, from 0
 * @data_center: row of its data centre
 * @version: version of the program that it runs
 * @address: IP address and port, unique
 * @key: hash of @address; identifies the target in messages between instances
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

/**
 * enum mc_move_fallback_t - what to do with a move at its done_by if there are
 * too few outcomes to judge the new version
 * @MC_MOVE_FALLBACK_TAKE_BACK: take the move back, to the old version
 * @MC_MOVE_FALLBACK_FINISH: complete the move to the new version
 */
typedef enum mc_move_fallback_t {
	MC_MOVE_FALLBACK_TAKE_BACK,
	MC_MOVE_FALLBACK_FINISH,
} mc_move_fallback_t;

/**
 * struct mc_move_t - a gradual shift of a service's traffic from one version
 * of its targets to another
 * @service: row of the service
 * @from: version that serves the traffic at first
 * @to: version that serves all traffic afterwards
 * @start: when the first share of the traffic moves, ms since the Unix epoch
 * @done_by: when all traffic is due to have moved, ms since the Unix epoch
 * @without_evidence: what to do at @done_by if there are too few outcomes
 *	to judge the new version
 * @taken_back: the move was taken back; all traffic stays at @from
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
 * struct mc_config_t - a complete configuration
 * @version: version of the object in the store; 0 if it is not stored
 * @submission: id of the submission that wrote it; "" if it was not submitted
 *
 * The other fields are the tables and their numbers of rows.
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
