/*
 * Tables of records named by small handles. A handle holds the record's index
 * and its generation: after a record is removed, its old handles are stale and
 * find nothing, so a late reply can't reach a slot that was used again.
 * Records never move while they live. A table is guarded by its owner's lock.
 */
#ifndef MC_BASE_TABLE_H
#define MC_BASE_TABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "mc/base/error.h"

/** struct mc_handle_t - names a record; generation 0 names none */
typedef struct mc_handle_t {
	uint32_t index;
	uint32_t generation;
} mc_handle_t;

#define MC_HANDLE_NONE ((mc_handle_t){ 0 })

typedef struct mc_table_t mc_table_t;

/** mc_handle_pack() - @handle as one number, for encoding */
uint64_t mc_handle_pack(mc_handle_t handle);

/** mc_handle_unpack() - reverse of mc_handle_pack() */
mc_handle_t mc_handle_unpack(uint64_t packed);

/** mc_handle_equal() - whether both name the same record */
bool mc_handle_equal(mc_handle_t a, mc_handle_t b);

/**
 * mc_table_create() - an empty table
 * @record_size: bytes of a record
 * @max_records: most records at a time
 *
 * Return: the table, owned by the caller; NULL without memory.
 */
mc_table_t *mc_table_create(size_t record_size, uint32_t max_records);

/** mc_table_destroy() - free @table and its records; NULL is allowed */
void mc_table_destroy(mc_table_t *table);

/**
 * mc_table_add() - take a zeroed record
 * @table: the table
 * @handle: receives the record's handle
 * @record: receives the record, owned by the table
 *
 * Return: MC_OK, MC_ERR_FULL at max_records, MC_ERR_NO_MEMORY.
 */
mc_err_t mc_table_add(mc_table_t *table, mc_handle_t *handle, void **record);

/** mc_table_get() - record of @handle; NULL when the handle is stale */
void *mc_table_get(const mc_table_t *table, mc_handle_t handle);

/**
 * mc_table_remove() - free the record of @handle
 *
 * Return: MC_OK or MC_ERR_STALE_HANDLE.
 */
mc_err_t mc_table_remove(mc_table_t *table, mc_handle_t handle);

/** mc_table_count() - number of records */
uint32_t mc_table_count(const mc_table_t *table);

/**
 * mc_table_next() - walk over the records
 * @table: the table; the current record may be removed during the walk
 * @cursor: 0 at the start; advanced
 * @handle: receives the record's handle
 *
 * Return: the next record, or NULL at the end.
 */
void *mc_table_next(const mc_table_t *table, uint32_t *cursor,
		    mc_handle_t *handle);

#endif
