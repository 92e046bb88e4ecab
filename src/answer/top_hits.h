/*
 * The best hits offered so far, at most a limit of them. The worst one kept is
 * the root of a binary heap, so that a worse offer costs one comparison.
 */
#ifndef MC_ANSWER_TOP_HITS_H
#define MC_ANSWER_TOP_HITS_H

#include "mc/answer.h"

/**
 * struct mc_best_t - a bounded heap of hits
 * @hits: the heap; ids are not owned by it
 * @count: hits kept
 * @room: hits that @hits can hold
 * @limit: most hits kept
 */
typedef struct mc_best_t {
	mc_hit_t *hits;
	uint32_t count;
	uint32_t room;
	uint32_t limit;
} mc_best_t;

/** mc_best_reserve() - make room for @more hits, up to the limit */
mc_err_t mc_best_reserve(mc_best_t *best, uint32_t more);

/** mc_best_accepts() - whether an offer of @hit would be kept */
bool mc_best_accepts(const mc_best_t *best, const mc_hit_t *hit);

/**
 * mc_best_offer() - keep @hit if it is among the best
 * @best: the heap, with room for the hit
 * @hit: the hit
 * @dropped: receives the hit that is no longer kept, which may be @hit
 *
 * Return: true when a hit was dropped.
 */
bool mc_best_offer(mc_best_t *best, const mc_hit_t *hit, mc_hit_t *dropped);

/** mc_best_sort() - sort the hits, best first; nothing is offered later */
void mc_best_sort(mc_best_t *best);

/** mc_best_free() - free the array of hits */
void mc_best_free(mc_best_t *best);

#endif
