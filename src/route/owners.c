/*
 * Rendezvous hashing: each pair of a target and a member has a weight, and the
 * members with the largest weights own the target.
 */
#include "mc/route.h"

#include <string.h>

typedef struct {
	uint64_t weight;
	uint64_t key;
	uint32_t index;
} ranked_member_t;

/*
 * Equal weights are ordered by key, so that the order of the members does not
 * affect the result.
 */
static bool ranks_before(const ranked_member_t *a, const ranked_member_t *b)
{
	if (a->weight != b->weight)
		return a->weight > b->weight;
	return a->key < b->key;
}

/* Inserts @member into the sorted @ranked if it is among the first @max. */
static uint32_t insert_ranked(ranked_member_t *ranked, uint32_t count,
			      uint32_t max, ranked_member_t member)
{
	uint32_t at = count;

	while (at > 0 && ranks_before(&member, &ranked[at - 1]))
		at--;
	if (at >= max)
		return count;
	if (count < max)
		count++;
	memmove(&ranked[at + 1], &ranked[at],
		(count - at - 1) * sizeof(*ranked));
	ranked[at] = member;
	return count;
}

uint32_t mc_route_find_owners(uint64_t target, const uint64_t *members,
			      uint32_t member_count, uint32_t *owners,
			      uint32_t max_owners)
{
	ranked_member_t ranked[MC_ROUTE_OWNERS_MAX];
	uint32_t count = 0;
	uint32_t i;

	if (max_owners > MC_ROUTE_OWNERS_MAX)
		max_owners = MC_ROUTE_OWNERS_MAX;
	for (i = 0; i < member_count; i++) {
		ranked_member_t member = {
			.weight = mc_hash_pair(target, members[i]),
			.key = members[i],
			.index = i,
		};

		count = insert_ranked(ranked, count, max_owners, member);
	}
	for (i = 0; i < count; i++)
		owners[i] = ranked[i].index;
	return count;
}
