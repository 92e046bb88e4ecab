/*
 * Public header of the frequent library: decides which names of a stream get a
 * row of their own, for statistics of a fixed size over any number of names.
 * The caller keeps a row's counts, and one further row for the rest.
 *
 * It answers the load of many names with few occurrences each beside a few
 * with many: a name that makes up more than 1 / (MC_FREQUENT_TRACKED -
 * MC_FREQUENT_ROWS) of a long stream is tracked for good, and gets a row once
 * it is clearly more frequent than the least frequent one that has a row.
 */
#ifndef MC_FREQUENT_H
#define MC_FREQUENT_H

#include "mc/base.h"

enum {
	/* Names that have a row. */
	MC_FREQUENT_ROWS = 32,
	/* Names that are counted, with and without a row. */
	MC_FREQUENT_TRACKED = 256,
	/* Bytes of a name with its zero; what is longer is cut. */
	MC_FREQUENT_NAME_SIZE = 257,
	/* Row of a name that has none. */
	MC_FREQUENT_NO_ROW = MC_FREQUENT_ROWS,
};

typedef struct mc_frequent_t mc_frequent_t;

/**
 * struct mc_frequent_place_t - where an occurrence is counted
 * @row: the name's row, or MC_FREQUENT_NO_ROW: with the rest
 * @is_new: the name has got the row with this occurrence; if another name had
 *	it before, what was counted there belongs to the rest from now on
 */
typedef struct mc_frequent_place_t {
	uint32_t row;
	bool is_new;
} mc_frequent_place_t;

/**
 * mc_frequent_create() - Create a set without names
 *
 * Return: the set, to be freed with mc_frequent_free(); NULL if out of memory.
 * Its size never changes. Not thread-safe.
 */
mc_frequent_t *mc_frequent_create(void);

/** mc_frequent_free() - Free @set, which may be NULL */
void mc_frequent_free(mc_frequent_t *set);

/** mc_frequent_count() - Count an occurrence of @name */
mc_frequent_place_t mc_frequent_count(mc_frequent_t *set, const char *name);

/** mc_frequent_name() - Get the name that has @row; NULL if none has it. Valid
 * until the next call of mc_frequent_count() */
const char *mc_frequent_name(const mc_frequent_t *set, uint32_t row);

#endif
