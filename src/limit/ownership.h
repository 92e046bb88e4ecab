/*
 * An owner's share of a target's concurrency. Slots are dealt out to the owners
 * in turn, by rank, so that the shares add up to the concurrency. When the
 * owners change, a larger share takes effect only after the handover time, in
 * which requests of former owners end; a smaller one takes effect at once.
 */
#ifndef MC_LIMIT_OWNERSHIP_H
#define MC_LIMIT_OWNERSHIP_H

#include "mc/base.h"

/**
 * struct mc_place_t - a place among the owners
 * @rank: rank, from 0
 * @owners: number of owners; 0 for "not an owner"
 */
typedef struct mc_place_t {
	uint32_t rank;
	uint32_t owners;
} mc_place_t;

/**
 * struct mc_ownership_t - the current place and a bound from earlier ones
 * @place: the current place
 * @bound: the share is no larger than this place's until @bound_until
 * @bound_until: end of the handover, ms
 */
typedef struct mc_ownership_t {
	mc_place_t place;
	mc_place_t bound;
	mc_ms_t bound_until;
} mc_ownership_t;

/** mc_ownership_set() - Change the place; @handover is in ms */
void mc_ownership_set(mc_ownership_t *ownership, mc_place_t place,
		      mc_ms_t handover, mc_ms_t now);

/**
 * mc_ownership_share() - Number of slots of @concurrency that may be used at
 * @now
 */
uint32_t mc_ownership_share(const mc_ownership_t *ownership,
			    uint32_t concurrency, mc_ms_t now);

#endif
