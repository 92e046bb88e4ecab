/*
 * The best hits so far, up to a limit. The worst one kept is the root of a
 * binary heap, so that rejecting a worse hit costs one comparison.
 */
#ifndef MC_ANSWER_TOP_HITS_H
#define MC_ANSWER_TOP_HITS_H

#include "mc/answer.h"

/**
 * struct mc_top_hits_t - a bounded heap of hits
 * @hits: the heap; the ids of the hits are owned by others
 * @count: number of hits kept
 * @capacity: number of hits that @hits has room for
 * @limit: maximum number of hits to keep
 */
typedef struct mc_top_hits_t {
	mc_hit_t *hits;
	uint32_t count;
	uint32_t capacity;
	uint32_t limit;
} mc_top_hits_t;

/** mc_top_hits_reserve() - Make room for @more hits, up to the limit */
mc_err_t mc_top_hits_reserve(mc_top_hits_t *top_hits, uint32_t more);

/** mc_top_hits_accepts() - Return whether @hit is among the best so far */
bool mc_top_hits_accepts(const mc_top_hits_t *top_hits, const mc_hit_t *hit);

/**
 * mc_top_hits_add() - Keep @hit if it is among the best so far
 * @top_hits: the heap, with room for the hit
 * @hit: the hit
 * @dropped: receives the hit that is dropped instead, which may be @hit
 *
 * Return: true when a hit was dropped.
 */
bool mc_top_hits_add(mc_top_hits_t *top_hits, const mc_hit_t *hit,
		     mc_hit_t *dropped);

/**
 * mc_top_hits_sort() - Sort the hits, best first; none may be added afterwards
 */
void mc_top_hits_sort(mc_top_hits_t *top_hits);

/** mc_top_hits_free() - Free the array of hits */
void mc_top_hits_free(mc_top_hits_t *top_hits);

#endif
