/*
 * Counts by name: a hash table that keeps only the hashes of names, so that a
 * long measurement stays small.
 */
#ifndef STANDIN_COUNTS_H
#define STANDIN_COUNTS_H

#include <stddef.h>
#include <stdint.h>

typedef struct count_slot_t {
	uint64_t hash;
	uint32_t count;
} count_slot_t;

/** struct counts_t - an empty one is all zero */
typedef struct counts_t {
	count_slot_t *slots;
	size_t size;
	size_t used;
} counts_t;

/** counts_add() - count one of @kind for @name */
void counts_increment(counts_t *counts, const char *kind, const char *name);

/** counts_get() - how many of @kind there were for @name */
uint32_t counts_get(const counts_t *counts, const char *kind, const char *name);

#endif
