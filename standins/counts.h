/*
 * Counters by kind and name: a hash table that stores only the hashes of the
 * names, so that its memory stays small during long measurements.
 */
#ifndef STANDIN_COUNTS_H
#define STANDIN_COUNTS_H

#include <stddef.h>
#include <stdint.h>

/**
 * struct count_slot_t - slot of the hash table
 * @hash: hash of kind and name; 0 for a free slot
 * @count: value of the counter
 */
typedef struct count_slot_t {
	uint64_t hash;
	uint32_t count;
} count_slot_t;

/**
 * struct counts_t - set of counters; all zero when empty
 * @slots: the slots
 * @size: number of @slots, 0 or a power of two
 * @used: number of slots in use
 */
typedef struct counts_t {
	count_slot_t *slots;
	size_t size;
	size_t used;
} counts_t;

/**
 * counts_increment() - Add one to the counter of @kind and @name
 * @counts: the counters
 * @kind: kind of the event
 * @name: name that the event belongs to
 *
 * Aborts the process if memory runs out.
 */
void counts_increment(counts_t *counts, const char *kind, const char *name);

/** counts_get() - Return the counter of @kind and @name; 0 if never counted */
uint32_t counts_get(const counts_t *counts, const char *kind, const char *name);

#endif
