/*
 * Rendezvous hashing: each pair of target and member has a weight, and the
 * members of largest weight own the target.
 */
#include "mc/route.h"

#include <string.h>

typedef struct {
	uint64_t weight;
	uint64_t key;
	uint32_t index;
} place_t;

/* Equal weights are ordered by key, so that the order of members is no part. */
static bool comes_before(const place_t *a, const place_t *b)
{
	if (a->weight != b->weight)
		return a->weight > b->weight;
	return a->key < b->key;
}

/* Inserts @place into the sorted @places if it is among the first @max. */
static uint32_t insert_place(place_t *places, uint32_t count, uint32_t max,
			     place_t place)
{
	uint32_t at = count;

	while (at > 0 && comes_before(&place, &places[at - 1]))
		at--;
	if (at >= max)
		return count;
	if (count < max)
		count++;
	memmove(&places[at + 1], &places[at],
		(count - at - 1) * sizeof(*places));
	places[at] = place;
	return count;
}

uint32_t mc_route_find_owners(uint64_t target, const uint64_t *members,
			      uint32_t member_count, uint32_t *owners,
			      uint32_t max_owners)
{
	place_t places[MC_ROUTE_OWNERS_MAX];
	uint32_t count = 0;
	uint32_t i;

	if (max_owners > MC_ROUTE_OWNERS_MAX)
		max_owners = MC_ROUTE_OWNERS_MAX;
	for (i = 0; i < member_count; i++) {
		place_t place = {
			.weight = mc_hash_pair(target, members[i]),
			.key = members[i],
			.index = i,
		};

		count = insert_place(places, count, max_owners, place);
	}
	for (i = 0; i < count; i++)
		owners[i] = places[i].index;
	return count;
}
