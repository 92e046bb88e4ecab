/*
 * An owner's share of a target's concurrency. Slots are dealt out to owners by
 * rank, one after the other, so that the shares add up to the whole. A share
 * that grows by a change of owners counts only after the handover time, in
 * which former owners' requests end; one that shrinks counts at once.
 */
#ifndef MC_LIMIT_OWNERSHIP_H
#define MC_LIMIT_OWNERSHIP_H

#include "mc/base.h"

/**
 * struct mc_place_t - a place among owners
 * @rank: place from 0
 * @owners: number of owners; 0 for "not an owner"
 */
typedef struct mc_place_t {
	uint32_t rank;
	uint32_t owners;
} mc_place_t;

/**
 * struct mc_ownership_t - the present place and the former ones' bound
 * @place: the present place
 * @held: no share is larger than this place's until @held_until
 * @held_until: ms
 */
typedef struct mc_ownership_t {
	mc_place_t place;
	mc_place_t held;
	mc_ms_t held_until;
} mc_ownership_t;

/** mc_ownership_set() - the place changed; @handover in ms */
void mc_ownership_set(mc_ownership_t *ownership, mc_place_t place,
		      mc_ms_t handover, mc_ms_t now);

/** mc_ownership_share() - slots of @whole that may be used at @now */
uint32_t mc_ownership_share(const mc_ownership_t *ownership, uint32_t whole,
			    mc_ms_t now);

#endif
