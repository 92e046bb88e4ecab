/*
 * The Space-Saving algorithm, with rows for the most frequent of the names that
 * it tracks. An untracked name takes the place of the least frequent one that
 * has no row, and takes over its estimate, so that names that go on to occur
 * aren't displaced by those that occur once. Rows go by the number of times
 * that a name has certainly occurred, and change hands only for a clearly
 * larger one: two names of about the same frequency don't take turns.
 */
#include "mc/frequent.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
	/* A name gets the row of another if it has certainly occurred more
	 * often than TAKE_OVER_NUMERATOR / TAKE_OVER_DENOMINATOR times as
	 * often. */
	TAKE_OVER_NUMERATOR = 5,
	TAKE_OVER_DENOMINATOR = 4,
};

typedef struct {
	char name[MC_FREQUENT_NAME_SIZE];
	uint32_t row;
} entry_t;

/* The arrays have an element for each tracked name; those that are searched are
 * apart from the names. */
struct mc_frequent_t {
	uint32_t count;
	uint32_t row_count;
	/* Index of the name that has the row. */
	uint32_t rows[MC_FREQUENT_ROWS];
	uint64_t hashes[MC_FREQUENT_TRACKED];
	/* Upper bound of a name's occurrences. */
	uint64_t estimates[MC_FREQUENT_TRACKED];
	/* How much of it may be other names' occurrences. */
	uint64_t errors[MC_FREQUENT_TRACKED];
	entry_t entries[MC_FREQUENT_TRACKED];
};

mc_frequent_t *mc_frequent_create(void)
{
	return calloc(1, sizeof(mc_frequent_t));
}

void mc_frequent_free(mc_frequent_t *set)
{
	free(set);
}

/* Returns the index of a tracked name, or the number of names. */
static uint32_t find(const mc_frequent_t *set, const char *name, uint64_t hash)
{
	uint32_t i;

	for (i = 0; i < set->count; i++)
		if (set->hashes[i] == hash &&
		    !strcmp(set->entries[i].name, name))
			break;
	return i;
}

static uint32_t find_least_without_row(const mc_frequent_t *set)
{
	uint32_t least = MC_FREQUENT_TRACKED, i;

	for (i = 0; i < set->count; i++)
		if (set->entries[i].row == MC_FREQUENT_NO_ROW &&
		    (least == MC_FREQUENT_TRACKED ||
		     set->estimates[i] < set->estimates[least]))
			least = i;
	return least;
}

static uint32_t track(mc_frequent_t *set, const char *name, uint64_t hash)
{
	uint32_t index = set->count < MC_FREQUENT_TRACKED
				 ? set->count++
				 : find_least_without_row(set);

	set->hashes[index] = hash;
	set->errors[index] = set->estimates[index];
	set->entries[index].row = MC_FREQUENT_NO_ROW;
	memcpy(set->entries[index].name, name, strlen(name) + 1);
	return index;
}

/* Returns how often a name has occurred at least. */
static uint64_t certain(const mc_frequent_t *set, uint32_t index)
{
	return set->estimates[index] - set->errors[index];
}

static uint32_t find_least_row(const mc_frequent_t *set)
{
	uint32_t least = 0, row;

	for (row = 1; row < MC_FREQUENT_ROWS; row++)
		if (certain(set, set->rows[row]) <
		    certain(set, set->rows[least]))
			least = row;
	return least;
}

static bool may_take_over(const mc_frequent_t *set, uint32_t index,
			  uint32_t former)
{
	return certain(set, index) * TAKE_OVER_DENOMINATOR >
	       certain(set, former) * TAKE_OVER_NUMERATOR;
}

/* Gives the name a row if it is frequent enough. */
static bool get_row(mc_frequent_t *set, uint32_t index)
{
	uint32_t row = set->row_count;

	if (row < MC_FREQUENT_ROWS) {
		set->row_count++;
	} else {
		row = find_least_row(set);
		if (!may_take_over(set, index, set->rows[row]))
			return false;
		set->entries[set->rows[row]].row = MC_FREQUENT_NO_ROW;
	}
	set->rows[row] = index;
	set->entries[index].row = row;
	return true;
}

mc_frequent_place_t mc_frequent_count(mc_frequent_t *set, const char *name)
{
	char cut[MC_FREQUENT_NAME_SIZE];
	mc_frequent_place_t place = { 0 };
	uint64_t hash;
	uint32_t index;

	snprintf(cut, sizeof(cut), "%s", name);
	hash = mc_hash_string(cut);
	index = find(set, cut, hash);
	if (index == set->count)
		index = track(set, cut, hash);
	set->estimates[index]++;
	if (set->entries[index].row == MC_FREQUENT_NO_ROW)
		place.is_new = get_row(set, index);
	place.row = set->entries[index].row;
	return place;
}

const char *mc_frequent_name(const mc_frequent_t *set, uint32_t row)
{
	return row < set->row_count ? set->entries[set->rows[row]].name : NULL;
}
