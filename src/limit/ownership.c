/*
 * An owner's share of a target's concurrency.
 */
#include "ownership.h"

/*
 * Slots that a place gets of @concurrency; fewer for a higher rank or more
 * owners.
 */
static uint32_t slot_count(mc_place_t place, uint32_t concurrency)
{
	if (!place.owners || place.rank >= concurrency)
		return 0;
	return (concurrency - place.rank - 1) / place.owners + 1;
}

/*
 * Returns whether @a never gets more slots than @b, whatever the concurrency.
 */
static bool is_never_larger(mc_place_t a, mc_place_t b)
{
	if (!a.owners)
		return true;
	return b.owners && a.rank >= b.rank && a.owners >= b.owners;
}

/* Returns a place that never gets more slots than either. */
static mc_place_t common_bound(mc_place_t a, mc_place_t b)
{
	if (!a.owners || !b.owners)
		return (mc_place_t){ 0 };
	return (mc_place_t){
		.rank = a.rank > b.rank ? a.rank : b.rank,
		.owners = a.owners > b.owners ? a.owners : b.owners,
	};
}

void mc_ownership_set(mc_ownership_t *ownership, mc_place_t place,
		      mc_ms_t handover, mc_ms_t now)
{
	mc_place_t bound = ownership->place;

	if (place.rank == bound.rank && place.owners == bound.owners)
		return;
	if (now < ownership->bound_until)
		bound = common_bound(bound, ownership->bound);
	ownership->place = place;
	ownership->bound = bound;
	ownership->bound_until =
		is_never_larger(place, bound) ? now : now + handover;
}

uint32_t mc_ownership_share(const mc_ownership_t *ownership,
			    uint32_t concurrency, mc_ms_t now)
{
	uint32_t share = slot_count(ownership->place, concurrency);
	uint32_t bound = slot_count(ownership->bound, concurrency);

	return now < ownership->bound_until && bound < share ? bound : share;
}
