/*
 * Open addressing with linear probing; the table doubles when half full.
 */
#include <stdlib.h>

#include "mc/base.h"
#include "counts.h"

enum {
	INITIAL_SIZE = 1024,
};

/* Returns a non-zero hash, since 0 marks a free slot. */
static uint64_t hash_of(const char *kind, const char *name)
{
	return mc_hash_pair(mc_hash_string(kind), mc_hash_string(name)) | 1;
}

static count_slot_t *find_slot(const counts_t *counts, uint64_t hash)
{
	size_t i = (hash >> 1) & (counts->size - 1);

	while (counts->slots[i].hash && counts->slots[i].hash != hash)
		i = (i + 1) & (counts->size - 1);
	return &counts->slots[i];
}

static void grow(counts_t *counts)
{
	counts_t grown = { .size = counts->size ? counts->size * 2
						: INITIAL_SIZE,
			   .used = counts->used };
	size_t i;

	grown.slots = calloc(grown.size, sizeof(*grown.slots));
	if (!grown.slots)
		abort();
	for (i = 0; i < counts->size; i++)
		if (counts->slots[i].hash)
			*find_slot(&grown, counts->slots[i].hash) =
				counts->slots[i];
	free(counts->slots);
	*counts = grown;
}

void counts_increment(counts_t *counts, const char *kind, const char *name)
{
	uint64_t hash = hash_of(kind, name);
	count_slot_t *slot;

	if (counts->used * 2 >= counts->size)
		grow(counts);
	slot = find_slot(counts, hash);
	if (!slot->hash)
		counts->used++;
	slot->hash = hash;
	slot->count++;
}

uint32_t counts_get(const counts_t *counts, const char *kind, const char *name)
{
	if (!counts->size)
		return 0;
	return find_slot(counts, hash_of(kind, name))->count;
}
