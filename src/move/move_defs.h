/*
 * Private types and functions of the move library. A controller is a table of
 * moves; each move has a table of counts per origin, and their sums.
 */
#ifndef MC_MOVE_DEFS_H
#define MC_MOVE_DEFS_H

#include "mc/move.h"

enum {
	/* Maximum number of moves in a configuration. */
	MC_MOVES_MAX = 256,
	/* Maximum number of origins whose counts are kept for a move. */
	MC_MOVE_ORIGINS_MAX = 1024,
	/* Number of marks in a window. */
	MC_MOVE_MARKS = 10,
	/* Number of marks in a block. */
	MC_MOVE_BLOCK_MARKS = 2,
	/* Indexes of the versions in counts. */
	MC_MOVE_OLD = 0,
	MC_MOVE_NEW = 1,
	MC_MOVE_VERSIONS = 2,
};

/** struct mc_move_sums_t - counts of both versions on all routes */
typedef struct mc_move_sums_t {
	mc_move_counts_t counts[MC_MOVE_VERSIONS][MC_MOVE_ROUTES];
} mc_move_sums_t;

/**
 * struct mc_move_window_t - sums at earlier times, to compute recent counts
 * @step: time between two marks, ms
 * @last: when the newest mark was set, wall-clock ms
 * @next: index of the oldest mark, which is overwritten next
 * @marks: sums when the marks were set; zero before the first ones
 */
typedef struct mc_move_window_t {
	mc_ms_t step;
	mc_ms_t last;
	uint32_t next;
	mc_move_sums_t marks[MC_MOVE_MARKS];
} mc_move_window_t;

/**
 * struct mc_move_block_t - sums of a route at earlier numbers of samples
 * @marks: the last mark but one, and the last mark; per version
 */
typedef struct mc_move_block_t {
	mc_move_counts_t marks[MC_MOVE_BLOCK_MARKS][MC_MOVE_VERSIONS];
} mc_move_block_t;

/**
 * struct mc_move_record_t - record of a move
 * @hash: hash that identifies the move on all instances
 * @service: row of the service in the configuration in force
 * @from: old version
 * @to: new version
 * @start: when the new version gets its first share, wall-clock ms
 * @done_by: when it is to have all traffic, wall-clock ms
 * @without_evidence: what to do at @done_by with too few outcomes
 * @first_seen: when this process learned of the move, wall-clock ms
 * @old_version_gone: whether the configuration has no target of the old version
 * @judged_good: whether enough outcomes were seen and the new version was good
 * @judged_good_by_peer: whether a peer judged it good; then too few outcomes in
 *	this process at @done_by are no reason to take the move back
 * @judged_at: when it was judged good, wall-clock ms
 * @taken_back: the verdict; never reset
 * @share: share of the new version, in [0, 1]
 * @state: progress of the move
 * @reason: the last decision and its reason
 * @slow_since: since when a route has been slower, wall-clock ms; 0 if it is
 *	not
 * @origins: table of mc_move_sums_t
 * @origin_keys: keys of the origins, this process's first
 * @origin_handles: handles of their records
 * @origin_count: number of origins
 * @total: sum over the origins
 * @short_window: window of the last minute
 * @long_window: window of the last ten minutes
 * @blocks: last samples of each route
 */
typedef struct mc_move_record_t {
	uint64_t hash;
	mc_row_t service;
	char from[MC_NAME_SIZE];
	char to[MC_NAME_SIZE];
	mc_ms_t start;
	mc_ms_t done_by;
	mc_move_fallback_t without_evidence;
	mc_ms_t first_seen;
	bool old_version_gone;
	bool judged_good;
	bool judged_good_by_peer;
	mc_ms_t judged_at;
	bool taken_back;
	double share;
	mc_move_state_t state;
	char reason[96];
	mc_ms_t slow_since[MC_MOVE_ROUTES];
	mc_table_t *origins;
	uint64_t origin_keys[MC_MOVE_ORIGINS_MAX];
	mc_handle_t origin_handles[MC_MOVE_ORIGINS_MAX];
	uint32_t origin_count;
	mc_move_sums_t total;
	mc_move_window_t short_window;
	mc_move_window_t long_window;
	mc_move_block_t blocks[MC_MOVE_ROUTES];
} mc_move_record_t;

/**
 * struct mc_move_controller_t - a move controller
 * @origin: key of this process
 * @moves: table of mc_move_record_t
 * @order: handles of the moves, in the configuration's order
 * @count: number of moves in @order
 * @by_service: handle of the move of each service row
 * @service_count: length of @by_service
 */
struct mc_move_controller_t {
	uint64_t origin;
	mc_table_t *moves;
	mc_handle_t order[MC_MOVES_MAX];
	uint32_t count;
	mc_handle_t *by_service;
	uint32_t service_count;
};

/* Confidence bounds of rates: move_bound.c */

/**
 * mc_move_rate_lower() - Lower confidence bound of the rate of @hits in
 * @samples
 */
double mc_move_rate_lower(uint64_t hits, uint64_t samples);

/**
 * mc_move_rate_upper() - Upper confidence bound of the rate of @hits in
 * @samples
 */
double mc_move_rate_upper(uint64_t hits, uint64_t samples);

/* Counts per origin and their sums: move_counts.c */

/**
 * mc_move_counts_init() - Initialize the counts; this process's origin is the
 * first
 */
mc_err_t mc_move_counts_init(mc_move_record_t *move, uint64_t origin,
			     mc_ms_t wall);

/** mc_move_counts_add() - Count an outcome that this process has seen */
void mc_move_counts_add(mc_move_record_t *move, uint32_t version,
			uint32_t route, bool failed, mc_ms_t latency);

/** mc_move_counts_merge() - Merge a peer's counts by maximum */
void mc_move_counts_merge(mc_move_record_t *move,
			  const mc_move_digest_t *digest);

/** mc_move_counts_get_local() - Return the counts of this process */
const mc_move_sums_t *mc_move_counts_get_local(const mc_move_record_t *move);

/** mc_move_counts_mark() - Set the marks that are due by time or samples */
void mc_move_counts_mark(mc_move_record_t *move, mc_ms_t wall);

/**
 * mc_move_counts_restart() - Restart all windows and blocks
 *
 * Call it when the share changes. Over a span that includes an earlier share, a
 * fault of both versions would count more against one of them.
 */
void mc_move_counts_restart(mc_move_record_t *move, mc_ms_t wall);

/** mc_move_count_samples() - Number of outcomes in @counts */
uint64_t mc_move_count_samples(const mc_move_counts_t *counts);

/** mc_move_counts_since() - Subtract the counts at a mark from the total */
void mc_move_counts_since(const mc_move_counts_t *total,
			  const mc_move_counts_t *mark,
			  mc_move_counts_t *recent);

/** mc_move_bucket_bound() - Upper bound of a latency bucket, ms */
mc_ms_t mc_move_bucket_bound(uint32_t bucket);

/* Judgement of the new version: move_judge.c */

/**
 * mc_move_judge_route() - Take the move back if the new version is worse on
 * @route
 */
void mc_move_judge_route(mc_move_record_t *move, uint32_t route, mc_ms_t wall);

/** mc_move_judge() - Judge all routes; sets the judgement, good or bad */
void mc_move_judge(mc_move_record_t *move, mc_ms_t wall);

/** mc_move_take_back() - Take the move back for @reason */
void mc_move_take_back(mc_move_record_t *move, const char *reason);

/* Schedule: move_schedule.c */

/** mc_move_schedule() - Set the share and the state for the time @wall */
void mc_move_schedule(mc_move_record_t *move, mc_ms_t wall);

#endif
