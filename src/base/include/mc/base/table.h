/*
 * Tables of records that are referenced by small handles. A handle contains the
 * index of the record's slot and its generation. After a record is removed, its
 * handles are stale and no longer resolve, so a late reply cannot reach another
 * record in a reused slot. Records have stable addresses until they are
 * removed. The lock of the table's owner guards the table.
 */
#ifndef MC_BASE_TABLE_H
#define MC_BASE_TABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "mc/base/error.h"

/**
 * struct mc_handle_t - reference to a record
 * @index: index of the record's slot
 * @generation: generation of the slot; 0 for no record
 */
typedef struct mc_handle_t {
	uint32_t index;
	uint32_t generation;
} mc_handle_t;

#define MC_HANDLE_NONE ((mc_handle_t){ 0 })

typedef struct mc_table_t mc_table_t;

/** mc_handle_pack() - Pack a handle into one number, for messages. */
uint64_t mc_handle_pack(mc_handle_t handle);

/** mc_handle_unpack() - Unpack a handle packed by mc_handle_pack(). */
mc_handle_t mc_handle_unpack(uint64_t packed);

/** mc_handle_equal() - Check whether both refer to the same record. */
bool mc_handle_equal(mc_handle_t a, mc_handle_t b);

/**
 * mc_table_create() - Create an empty table.
 * @record_size: size of a record in bytes
 * @max_records: maximum number of records at a time
 *
 * Return: the table, owned by the caller; NULL if memory is exhausted.
 */
mc_table_t *mc_table_create(size_t record_size, uint32_t max_records);

/** mc_table_destroy() - Free a table and its records. NULL is allowed. */
void mc_table_destroy(mc_table_t *table);

/**
 * mc_table_add() - Allocate a zeroed record.
 * @table: the table
 * @handle: receives the record's handle
 * @record: receives the record, owned by the table
 *
 * Return: MC_OK, MC_ERR_FULL at max_records, MC_ERR_NO_MEMORY.
 */
mc_err_t mc_table_add(mc_table_t *table, mc_handle_t *handle, void **record);

/** mc_table_get() - Get a record; NULL if the handle is stale. */
void *mc_table_get(const mc_table_t *table, mc_handle_t handle);

/**
 * mc_table_remove() - Free a record. Its handles become stale.
 *
 * Return: MC_OK or MC_ERR_STALE_HANDLE.
 */
mc_err_t mc_table_remove(mc_table_t *table, mc_handle_t handle);

/** mc_table_count() - Get the number of records. */
uint32_t mc_table_count(const mc_table_t *table);

/**
 * mc_table_next() - Iterate over the records.
 * @table: the table; the current record may be removed during the iteration
 * @cursor: position, 0 at first; advanced by the call
 * @handle: receives the record's handle
 *
 * Return: the next record, or NULL at the end.
 */
void *mc_table_next(const mc_table_t *table, uint32_t *cursor,
		    mc_handle_t *handle);

#endif
