/*
 * Tables of records. Records are allocated in chunks that are never moved, and
 * free slots form a linked list. The generation of a slot is incremented
 * whenever the slot is allocated or freed: it is odd while the slot is in use,
 * and a handle from an earlier use does not match.
 */
#include "mc/base/table.h"

#include <stdlib.h>
#include <string.h>

enum {
	CHUNK_RECORDS = 64,
	HANDLE_SHIFT = 32,
	SLOT_NONE = UINT32_MAX,
};

typedef struct {
	uint32_t generation;
	uint32_t next_free;
} slot_t;

struct mc_table_t {
	size_t record_size;
	uint32_t max_records;
	uint32_t slot_count;
	uint32_t used;
	uint32_t first_free;
	slot_t *slots;
	char **chunks;
};

uint64_t mc_handle_pack(mc_handle_t handle)
{
	return (uint64_t)handle.generation << HANDLE_SHIFT | handle.index;
}

mc_handle_t mc_handle_unpack(uint64_t packed)
{
	return (mc_handle_t){
		.index = (uint32_t)packed,
		.generation = (uint32_t)(packed >> HANDLE_SHIFT),
	};
}

bool mc_handle_equal(mc_handle_t a, mc_handle_t b)
{
	return a.index == b.index && a.generation == b.generation;
}

mc_table_t *mc_table_create(size_t record_size, uint32_t max_records)
{
	mc_table_t *table = calloc(1, sizeof(*table));
	const size_t align = sizeof(max_align_t);

	if (!table)
		return NULL;
	table->record_size = (record_size + align - 1) / align * align;
	table->max_records = max_records;
	table->first_free = SLOT_NONE;
	return table;
}

void mc_table_destroy(mc_table_t *table)
{
	uint32_t i;

	if (!table)
		return;
	for (i = 0; i < table->slot_count / CHUNK_RECORDS; i++)
		free(table->chunks[i]);
	free(table->chunks);
	free(table->slots);
	free(table);
}

static void *record_at(const mc_table_t *table, uint32_t index)
{
	return table->chunks[index / CHUNK_RECORDS] +
	       (index % CHUNK_RECORDS) * table->record_size;
}

static mc_err_t add_chunk(mc_table_t *table)
{
	uint32_t old = table->slot_count;
	uint32_t count = old + CHUNK_RECORDS;
	slot_t *slots = realloc(table->slots, count * sizeof(*slots));
	char **chunks;
	uint32_t i;

	if (!slots)
		return mc_fail(MC_ERR_NO_MEMORY,
			       "out of memory for table slots");
	table->slots = slots;
	chunks =
		realloc(table->chunks, count / CHUNK_RECORDS * sizeof(*chunks));
	if (!chunks)
		return mc_fail(MC_ERR_NO_MEMORY,
			       "out of memory for table chunks");
	table->chunks = chunks;
	chunks[old / CHUNK_RECORDS] =
		malloc(CHUNK_RECORDS * table->record_size);
	if (!chunks[old / CHUNK_RECORDS])
		return mc_fail(MC_ERR_NO_MEMORY,
			       "out of memory for table records");
	for (i = old; i < count; i++)
		slots[i] = (slot_t){
			.next_free = i + 1 < count ? i + 1 : SLOT_NONE,
		};
	table->first_free = old;
	table->slot_count = count;
	return MC_OK;
}

mc_err_t mc_table_add(mc_table_t *table, mc_handle_t *handle, void **record)
{
	uint32_t index;
	mc_err_t err;

	if (table->used >= table->max_records)
		return mc_fail(MC_ERR_FULL, "table is full: %u records",
			       table->max_records);
	if (table->first_free == SLOT_NONE) {
		err = add_chunk(table);
		if (err)
			return err;
	}
	index = table->first_free;
	table->first_free = table->slots[index].next_free;
	table->slots[index].generation++;
	table->used++;
	*handle = (mc_handle_t){
		.index = index,
		.generation = table->slots[index].generation,
	};
	*record = record_at(table, index);
	memset(*record, 0, table->record_size);
	return MC_OK;
}

void *mc_table_get(const mc_table_t *table, mc_handle_t handle)
{
	if (handle.index >= table->slot_count || !(handle.generation & 1) ||
	    table->slots[handle.index].generation != handle.generation)
		return NULL;
	return record_at(table, handle.index);
}

mc_err_t mc_table_remove(mc_table_t *table, mc_handle_t handle)
{
	slot_t *slot;

	if (!mc_table_get(table, handle))
		return mc_fail(MC_ERR_STALE_HANDLE,
			       "handle with index %u is stale", handle.index);
	slot = &table->slots[handle.index];
	slot->generation++;
	slot->next_free = table->first_free;
	table->first_free = handle.index;
	table->used--;
	return MC_OK;
}

uint32_t mc_table_count(const mc_table_t *table)
{
	return table->used;
}

void *mc_table_next(const mc_table_t *table, uint32_t *cursor,
		    mc_handle_t *handle)
{
	while (*cursor < table->slot_count) {
		uint32_t index = (*cursor)++;

		if (!(table->slots[index].generation & 1))
			continue;
		*handle = (mc_handle_t){
			.index = index,
			.generation = table->slots[index].generation,
		};
		return record_at(table, index);
	}
	return NULL;
}
