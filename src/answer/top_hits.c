/*
 * The bounded heap of hits, and the sort order of hits.
 */
#include "top_hits.h"

#include <stdlib.h>
#include <string.h>

/* Negative when @a ranks before @b. */
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

static void sift_up(mc_top_hits_t *top_hits, uint32_t at)
{
	while (at > 0) {
		uint32_t parent = (at - 1) / 2;

		if (compare_hits(&top_hits->hits[at],
				 &top_hits->hits[parent]) <= 0)
			break;
		swap_hits(&top_hits->hits[at], &top_hits->hits[parent]);
		at = parent;
	}
}

static uint32_t worse_child(const mc_top_hits_t *top_hits, uint32_t left)
{
	uint32_t right = left + 1;

	if (right < top_hits->count &&
	    compare_hits(&top_hits->hits[right], &top_hits->hits[left]) > 0)
		return right;
	return left;
}

static void sift_down(mc_top_hits_t *top_hits, uint32_t at)
{
	uint32_t left = 2 * at + 1;

	while (left < top_hits->count) {
		uint32_t child = worse_child(top_hits, left);

		if (compare_hits(&top_hits->hits[child], &top_hits->hits[at]) <=
		    0)
			break;
		swap_hits(&top_hits->hits[child], &top_hits->hits[at]);
		at = child;
		left = 2 * at + 1;
	}
}

mc_err_t mc_top_hits_reserve(mc_top_hits_t *top_hits, uint32_t more)
{
	uint64_t capacity = (uint64_t)top_hits->count + more;
	mc_hit_t *hits;

	if (capacity > top_hits->limit)
		capacity = top_hits->limit;
	if (capacity <= top_hits->capacity)
		return MC_OK;
	if (capacity < 2 * (uint64_t)top_hits->capacity)
		capacity = 2 * (uint64_t)top_hits->capacity;
	if (capacity > top_hits->limit)
		capacity = top_hits->limit;
	hits = realloc(top_hits->hits, capacity * sizeof(*hits));
	if (!hits)
		return mc_fail(MC_ERR_NO_MEMORY, "out of memory for hits");
	top_hits->hits = hits;
	top_hits->capacity = (uint32_t)capacity;
	return MC_OK;
}

bool mc_top_hits_accepts(const mc_top_hits_t *top_hits, const mc_hit_t *hit)
{
	if (top_hits->count < top_hits->limit)
		return true;
	return top_hits->limit > 0 && compare_hits(hit, &top_hits->hits[0]) < 0;
}

bool mc_top_hits_add(mc_top_hits_t *top_hits, const mc_hit_t *hit,
		     mc_hit_t *dropped)
{
	if (!mc_top_hits_accepts(top_hits, hit)) {
		*dropped = *hit;
		return true;
	}
	if (top_hits->count < top_hits->limit) {
		top_hits->hits[top_hits->count] = *hit;
		sift_up(top_hits, top_hits->count++);
		return false;
	}
	*dropped = top_hits->hits[0];
	top_hits->hits[0] = *hit;
	sift_down(top_hits, 0);
	return true;
}

void mc_top_hits_sort(mc_top_hits_t *top_hits)
{
	if (top_hits->count > 1)
		qsort(top_hits->hits, top_hits->count, sizeof(*top_hits->hits),
		      compare_entries);
}

void mc_top_hits_free(mc_top_hits_t *top_hits)
{
	free(top_hits->hits);
	*top_hits = (mc_top_hits_t){ 0 };
}
