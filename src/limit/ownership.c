/* An owner's share of a target's concurrency. */
#include "ownership.h"

/*
 * Slots that a place gets of @concurrency; fewer for a higher rank or more
 * owners.
 */
static uint32_t slots(mc_place_t place, uint32_t whole)
{
	if (!place.owners || place.rank >= whole)
		return 0;
	return (whole - place.rank - 1) / place.owners + 1;
}

/*
 * Returns whether @a never gets more slots than @b, whatever the concurrency.
 */
static bool never_more(mc_place_t a, mc_place_t b)
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
	mc_place_t held = ownership->place;

	if (place.rank == held.rank && place.owners == held.owners)
		return;
	if (now < ownership->held_until)
		held = common_bound(held, ownership->held);
	ownership->place = place;
	ownership->held = held;
	ownership->held_until = never_more(place, held) ? now : now + handover;
}

uint32_t mc_ownership_share(const mc_ownership_t *ownership, uint32_t whole,
			    mc_ms_t now)
{
	uint32_t share = slots(ownership->place, whole);
	uint32_t held = slots(ownership->held, whole);

	return now < ownership->held_until && held < share ? held : share;
}
