/*
 * The bounded heap of hits and the one order of hits.
 */
#include "top_hits.h"

#include <stdlib.h>
#include <string.h>

/* Negative when @a is the better hit. */
static int compare_hits(const mc_hit_t *a, const mc_hit_t *b)
{
	int order;

	if (a->score != b->score)
		return a->score > b->score ? -1 : 1;
	order = strcmp(a->id, b->id);
	if (order)
		return order;
	return (a->slot > b->slot) - (a->slot < b->slot);
}

static int compare_entries(const void *a, const void *b)
{
	return compare_hits(a, b);
}

static void swap_hits(mc_hit_t *a, mc_hit_t *b)
{
	mc_hit_t hit = *a;

	*a = *b;
	*b = hit;
}

static void move_up(mc_best_t *best, uint32_t at)
{
	while (at > 0) {
		uint32_t parent = (at - 1) / 2;

		if (compare_hits(&best->hits[at], &best->hits[parent]) <= 0)
			break;
		swap_hits(&best->hits[at], &best->hits[parent]);
		at = parent;
	}
}

static uint32_t worse_child(const mc_best_t *best, uint32_t left)
{
	uint32_t right = left + 1;

	if (right < best->count &&
	    compare_hits(&best->hits[right], &best->hits[left]) > 0)
		return right;
	return left;
}

static void move_down(mc_best_t *best, uint32_t at)
{
	uint32_t left = 2 * at + 1;

	while (left < best->count) {
		uint32_t child = worse_child(best, left);

		if (compare_hits(&best->hits[child], &best->hits[at]) <= 0)
			break;
		swap_hits(&best->hits[child], &best->hits[at]);
		at = child;
		left = 2 * at + 1;
	}
}

mc_err_t mc_best_reserve(mc_best_t *best, uint32_t more)
{
	uint64_t room = (uint64_t)best->count + more;
	mc_hit_t *hits;

	if (room > best->limit)
		room = best->limit;
	if (room <= best->room)
		return MC_OK;
	if (room < 2 * (uint64_t)best->room)
		room = 2 * (uint64_t)best->room;
	if (room > best->limit)
		room = best->limit;
	hits = realloc(best->hits, room * sizeof(*hits));
	if (!hits)
		return mc_fail(MC_ERR_NO_MEMORY, "no memory for hits");
	best->hits = hits;
	best->room = (uint32_t)room;
	return MC_OK;
}

bool mc_best_accepts(const mc_best_t *best, const mc_hit_t *hit)
{
	if (best->count < best->limit)
		return true;
	return best->limit > 0 && compare_hits(hit, &best->hits[0]) < 0;
}

bool mc_best_offer(mc_best_t *best, const mc_hit_t *hit, mc_hit_t *dropped)
{
	if (!mc_best_accepts(best, hit)) {
		*dropped = *hit;
		return true;
	}
	if (best->count < best->limit) {
		best->hits[best->count] = *hit;
		move_up(best, best->count++);
		return false;
	}
	*dropped = best->hits[0];
	best->hits[0] = *hit;
	move_down(best, 0);
	return true;
}

void mc_best_sort(mc_best_t *best)
{
	if (best->count > 1)
		qsort(best->hits, best->count, sizeof(*best->hits),
		      compare_entries);
}

void mc_best_free(mc_best_t *best)
{
	free(best->hits);
	*best = (mc_best_t){ 0 };
}
