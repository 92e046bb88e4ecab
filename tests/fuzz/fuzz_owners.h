/*
 * Checks of mc_route_find_owners() alone: the number of owners is right, the
 * owners don't depend on the order of members, and a member that leaves gives
 * up only its own place.
 */
#ifndef FUZZ_OWNERS_H
#define FUZZ_OWNERS_H

#include <string.h>

#include "fuzz_input.h"
#include "mc/route.h"

enum {
	MAX_GATHERS = 8,
};

/* Fills @keys with the owners' keys, in the order of the owners. */
static uint32_t find_owners(uint64_t target, const uint64_t *members,
			    uint32_t count, uint64_t *keys, uint32_t max)
{
	uint32_t owners[MAX_GATHERS];
	uint32_t i, found;

	found = mc_route_find_owners(target, members, count, owners, max);
	FUZZ_CHECK(found == (count < max ? count : max),
		   "there are as many owners as wanted and possible");
	for (i = 0; i < found; i++)
		keys[i] = members[owners[i]];
	return found;
}

static inline void check_owners(fuzz_input_t *input)
{
	uint64_t members[MAX_GATHERS], before[MAX_GATHERS], after[MAX_GATHERS];
	uint64_t target = mc_hash_pair(fuzz_below(input, 256), 5);
	uint32_t count = 1 + fuzz_below(input, MAX_GATHERS);
	uint32_t max = 1 + fuzz_below(input, MAX_GATHERS);
	uint32_t leaving = fuzz_below(input, count);
	uint32_t i, at, found;

	for (i = 0; i < count; i++)
		members[i] = mc_hash_pair(i, 6);
	found = find_owners(target, members, count, before, max);
	for (i = 0; i < count; i++)
		members[i] = mc_hash_pair((i + leaving) % count, 6);
	find_owners(target, members, count, after, max);
	FUZZ_CHECK(!memcmp(before, after, found * sizeof(*before)),
		   "owners do not depend on the order of members");
	/* members[0] leaves; the others keep their order. */
	find_owners(target, members + 1, count - 1, after, max);
	for (i = 0, at = 0; i < found; i++)
		if (before[i] != members[0])
			FUZZ_CHECK(
				after[at++] == before[i],
				"a member that leaves gives up only its place");
}

#endif
