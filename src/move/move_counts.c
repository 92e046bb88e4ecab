/*
 * Counts of outcomes per origin, their sums, and marks of earlier sums. Counts
 * only grow and are merged by maximum, field by field, so that digests may
 * arrive in any order and any number of times.
 */
#include "move_defs.h"

#include <stddef.h>

enum {
	/* Time between two marks of a window of one minute, ms. */
	SHORT_STEP_MS = 6 * 1000,
	/* Time between two marks of a window of ten minutes, ms. */
	LONG_STEP_MS = 60 * 1000,
	/*
	 * Samples of the new version on a route between two marks of its block.
	 */
	BLOCK_SAMPLES = 16,
};

static const mc_ms_t BUCKET_BOUNDS_MS[MC_MOVE_BUCKETS] = {
	1, 2, 3, 5, 8, 12, 18, 27, 40, 60, 90, 135, 200, 300, 450, MC_MS_NEVER,
};

mc_ms_t mc_move_bucket_bound(uint32_t bucket)
{
	return BUCKET_BOUNDS_MS[bucket];
}

static uint32_t bucket_of(mc_ms_t latency)
{
	uint32_t bucket = 0;

	while (latency > BUCKET_BOUNDS_MS[bucket])
		bucket++;
	return bucket;
}

uint64_t mc_move_count_samples(const mc_move_counts_t *counts)
{
	return counts->answered + counts->failed;
}

void mc_move_counts_since(const mc_move_counts_t *total,
			  const mc_move_counts_t *mark,
			  mc_move_counts_t *recent)
{
	uint32_t i;

	recent->answered = total->answered - mark->answered;
	recent->failed = total->failed - mark->failed;
	for (i = 0; i < MC_MOVE_BUCKETS; i++)
		recent->latency[i] = total->latency[i] - mark->latency[i];
}

static mc_move_sums_t *add_origin(mc_move_record_t *move, uint64_t key)
{
	uint32_t at = move->origin_count;
	void *record;

	if (at == MC_MOVE_ORIGINS_MAX ||
	    mc_table_add(move->origins, &move->origin_handles[at], &record))
		return NULL;
	move->origin_keys[at] = key;
	move->origin_count++;
	return record;
}

static mc_move_sums_t *find_origin(mc_move_record_t *move, uint64_t key)
{
	uint32_t i;

	for (i = 0; i < move->origin_count; i++)
		if (move->origin_keys[i] == key)
			return mc_table_get(move->origins,
					    move->origin_handles[i]);
	return add_origin(move, key);
}

mc_err_t mc_move_counts_init(mc_move_record_t *move, uint64_t origin,
			     mc_ms_t wall)
{
	move->origins =
		mc_table_create(sizeof(mc_move_sums_t), MC_MOVE_ORIGINS_MAX);
	if (!move->origins || !add_origin(move, origin))
		return mc_fail(MC_ERR_NO_MEMORY,
			       "no memory for the counts of a move");
	move->short_window.step = SHORT_STEP_MS;
	move->short_window.last = wall;
	move->long_window.step = LONG_STEP_MS;
	move->long_window.last = wall;
	return MC_OK;
}

const mc_move_sums_t *mc_move_counts_get_local(const mc_move_record_t *move)
{
	return mc_table_get(move->origins, move->origin_handles[0]);
}

static void count_outcome(mc_move_counts_t *counts, bool failed,
			  uint32_t bucket)
{
	if (failed) {
		counts->failed++;
		return;
	}
	counts->answered++;
	counts->latency[bucket]++;
}

static void mark_block(mc_move_record_t *move, uint32_t route)
{
	mc_move_block_t *block = &move->blocks[route];
	uint32_t version;

	if (mc_move_count_samples(&move->total.counts[MC_MOVE_NEW][route]) <
	    mc_move_count_samples(&block->marks[1][MC_MOVE_NEW]) +
		    BLOCK_SAMPLES)
		return;
	for (version = 0; version < MC_MOVE_VERSIONS; version++) {
		block->marks[0][version] = block->marks[1][version];
		block->marks[1][version] = move->total.counts[version][route];
	}
}

void mc_move_counts_add(mc_move_record_t *move, uint32_t version,
			uint32_t route, bool failed, mc_ms_t latency)
{
	mc_move_sums_t *own =
		mc_table_get(move->origins, move->origin_handles[0]);
	uint32_t bucket = bucket_of(latency);

	count_outcome(&own->counts[version][route], failed, bucket);
	count_outcome(&move->total.counts[version][route], failed, bucket);
	mark_block(move, route);
}

/* Raises @known to @reported, and @total by the difference. */
static void merge_value(uint64_t *total, uint64_t *known, uint64_t reported)
{
	if (reported <= *known)
		return;
	*total += reported - *known;
	*known = reported;
}

static void merge_counts(mc_move_counts_t *total, mc_move_counts_t *known,
			 const mc_move_counts_t *reported)
{
	uint32_t i;

	merge_value(&total->answered, &known->answered, reported->answered);
	merge_value(&total->failed, &known->failed, reported->failed);
	for (i = 0; i < MC_MOVE_BUCKETS; i++)
		merge_value(&total->latency[i], &known->latency[i],
			    reported->latency[i]);
}

void mc_move_counts_merge(mc_move_record_t *move,
			  const mc_move_digest_t *digest)
{
	mc_move_sums_t *known;
	uint32_t version, route;

	if (digest->origin == move->origin_keys[0])
		return;
	known = find_origin(move, digest->origin);
	if (!known)
		return;
	for (version = 0; version < MC_MOVE_VERSIONS; version++)
		for (route = 0; route < MC_MOVE_ROUTES; route++)
			merge_counts(&move->total.counts[version][route],
				     &known->counts[version][route],
				     &digest->counts[version][route]);
}

static void restart_window(mc_move_record_t *move, mc_move_window_t *window,
			   mc_ms_t wall)
{
	uint32_t i;

	window->last = wall;
	for (i = 0; i < MC_MOVE_MARKS; i++)
		window->marks[i] = move->total;
}

void mc_move_counts_restart(mc_move_record_t *move, mc_ms_t wall)
{
	uint32_t route, version, i;

	restart_window(move, &move->short_window, wall);
	restart_window(move, &move->long_window, wall);
	for (route = 0; route < MC_MOVE_ROUTES; route++)
		for (version = 0; version < MC_MOVE_VERSIONS; version++)
			for (i = 0; i < MC_MOVE_BLOCK_MARKS; i++)
				move->blocks[route].marks[i][version] =
					move->total.counts[version][route];
}

static void mark_window(mc_move_record_t *move, mc_move_window_t *window,
			mc_ms_t wall)
{
	if (wall < window->last)
		window->last = wall;
	if (wall - window->last < window->step)
		return;
	window->last = wall;
	window->marks[window->next] = move->total;
	window->next = (window->next + 1) % MC_MOVE_MARKS;
}

void mc_move_counts_mark(mc_move_record_t *move, mc_ms_t wall)
{
	uint32_t route;

	mark_window(move, &move->short_window, wall);
	mark_window(move, &move->long_window, wall);
	for (route = 0; route < MC_MOVE_ROUTES; route++)
		mark_block(move, route);
}
