/*
 * Checks of mc_route_owners() alone: how many owners there are, that their
 * order among members does not matter, and that a member that leaves moves only
 * its own place.
 */
#ifndef FUZZ_OWNERS_H
#define FUZZ_OWNERS_H

#include <string.h>

#include "fuzz_input.h"
#include "mc/route.h"

enum {
	MAX_GATHERS = 8,
};

/* Owners by keys, in their order. */
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
	uint32_t gone = fuzz_below(input, count);
	uint32_t i, at, found;

	for (i = 0; i < count; i++)
		members[i] = mc_hash_pair(i, 6);
	found = find_owners(target, members, count, before, max);
	for (i = 0; i < count; i++)
		members[i] = mc_hash_pair((i + gone) % count, 6);
	find_owners(target, members, count, after, max);
	FUZZ_CHECK(!memcmp(before, after, found * sizeof(*before)),
		   "owners do not depend on the order of members");
	/* members[0] leaves; the others keep their order. */
	find_owners(target, members + 1, count - 1, after, max);
	for (i = 0, at = 0; i < found; i++)
		if (before[i] != members[0])
			FUZZ_CHECK(after[at++] == before[i],
				   "one member's leaving moves only its place");
}

#endif
