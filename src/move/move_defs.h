/*
 * Types that the files of the move library share. A mover is a table of moves;
 * each move has a table of counts per origin and their sums.
 */
#ifndef MC_MOVE_DEFS_H
#define MC_MOVE_DEFS_H

#include "mc/move.h"

enum {
	/* Most moves of one configuration. */
	MC_MOVES_MAX = 256,
	/* Most origins whose counts are kept for a move. */
	MC_MOVE_ORIGINS_MAX = 1024,
	/* Marks of a window. */
	MC_MOVE_MARKS = 10,
	/* Marks of a block. */
	MC_MOVE_BLOCK_MARKS = 2,
	/* Places of the versions in counts. */
	MC_MOVE_OLD = 0,
	MC_MOVE_NEW = 1,
	MC_MOVE_VERSIONS = 2,
};

/** struct mc_move_sums_t - counts of both versions on all routes */
typedef struct mc_move_sums_t {
	mc_move_counts_t counts[MC_MOVE_VERSIONS][MC_MOVE_ROUTES];
} mc_move_sums_t;

/**
 * struct mc_move_window_t - sums at earlier times, for what is recent
 * @step: time between two marks, ms
 * @last: when the newest mark was set, wall time
 * @next: place of the oldest mark, overwritten next
 * @marks: sums at the marks; zero before the first ones
 */
typedef struct mc_move_window_t {
	mc_ms_t step;
	mc_ms_t last;
	uint32_t next;
	mc_move_sums_t marks[MC_MOVE_MARKS];
} mc_move_window_t;

/**
 * struct mc_move_block_t - sums of a route at earlier numbers of samples
 * @marks: the one before the last, and the last; per version
 */
typedef struct mc_move_block_t {
	mc_move_counts_t marks[MC_MOVE_BLOCK_MARKS][MC_MOVE_VERSIONS];
} mc_move_block_t;

/**
 * struct mc_mover_move_t - record of a move
 * @hash: its name between instances
 * @service: row of the service in the configuration in force
 * @from: old version
 * @to: new version
 * @start: first share, wall time
 * @done_by: all traffic, wall time
 * @without_evidence: what happens at @done_by if too little was seen
 * @first_seen: when this process learned of it, wall time
 * @old_gone: the configuration has no target of the old version
 * @judged: there was enough evidence, and it was good
 * @judged_by_peer: a peer had such evidence: what this process lacks at the
 *	move's time is no reason to take it back
 * @judged_at: since when, wall time
 * @taken_back: verdict; never reset
 * @share: share of the new version
 * @state: where the move is
 * @reason: last decision
 * @slow_since: since when a route is slower, wall time; 0 if it is not
 * @origins: table of mc_move_sums_t
 * @origin_keys: keys of the origins, the own first
 * @origin_handles: their records
 * @origin_count: number of those
 * @total: sum over the origins
 * @minute: the last minute
 * @long_window: the last ten minutes
 * @blocks: the last samples of each route
 */
typedef struct mc_mover_move_t {
	uint64_t hash;
	mc_row_t service;
	char from[MC_NAME_SIZE];
	char to[MC_NAME_SIZE];
	mc_ms_t start;
	mc_ms_t done_by;
	mc_move_fallback_t without_evidence;
	mc_ms_t first_seen;
	bool old_gone;
	bool judged;
	bool judged_by_peer;
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
	mc_move_window_t minute;
	mc_move_window_t long_window;
	mc_move_block_t blocks[MC_MOVE_ROUTES];
} mc_mover_move_t;

/**
 * struct mc_mover_t - a mover
 * @origin: key of the own instance
 * @moves: table of mc_mover_move_t
 * @order: handles in the configuration's order
 * @count: number of those
 * @by_service: handle of each service's move, by the service's row
 * @service_count: rows of @by_service
 */
struct mc_move_controller_t {
	uint64_t origin;
	mc_table_t *moves;
	mc_handle_t order[MC_MOVES_MAX];
	uint32_t count;
	mc_handle_t *by_service;
	uint32_t service_count;
};

/* Bounds of rates: move_bound.c */

/** mc_move_rate_lower() - least rate that @hits of @samples are likely for */
double mc_move_rate_lower(uint64_t hits, uint64_t samples);

/** mc_move_rate_upper() - largest rate that @hits of @samples are likely for */
double mc_move_rate_upper(uint64_t hits, uint64_t samples);

/* Counts per origin and their sums: move_evidence.c */

/** mc_move_evidence_init() - no counts; the own origin is the first */
mc_err_t mc_move_evidence_init(mc_mover_move_t *move, uint64_t origin,
			       mc_ms_t wall);

/** mc_move_evidence_add() - count an outcome of the own instance */
void mc_move_evidence_add(mc_mover_move_t *move, uint32_t version,
			  uint32_t route, bool failed, mc_ms_t latency);

/** mc_move_evidence_merge() - take in a peer's counts by maximum */
void mc_move_evidence_merge(mc_mover_move_t *move,
			    const mc_move_digest_t *digest);

/** mc_move_evidence_own() - the own counts */
const mc_move_sums_t *mc_move_evidence_own(const mc_mover_move_t *move);

/** mc_move_evidence_mark() - set marks where time or samples have passed */
void mc_move_evidence_mark(mc_mover_move_t *move, mc_ms_t wall);

/**
 * mc_move_evidence_restart() - let all spans begin now
 *
 * The versions' parts of the traffic have changed: over a span with both parts
 * a fault that both share would count more against one of them.
 */
void mc_move_evidence_restart(mc_mover_move_t *move, mc_ms_t wall);

/** mc_move_samples() - outcomes in @counts */
uint64_t mc_move_samples(const mc_move_counts_t *counts);

/** mc_move_since() - @total less @mark */
void mc_move_since(const mc_move_counts_t *total, const mc_move_counts_t *mark,
		   mc_move_counts_t *recent);

/** mc_move_bucket_bound() - upper bound of a latency bucket, ms */
mc_ms_t mc_move_bucket_bound(uint32_t bucket);

/* Judgement: move_judge.c */

/** mc_move_judge_route() - take the move back if @route is worse */
void mc_move_judge_route(mc_mover_move_t *move, uint32_t route, mc_ms_t wall);

/** mc_move_judge() - judge all routes, bad or good */
void mc_move_judge(mc_mover_move_t *move, mc_ms_t wall);

/** mc_move_take_back() - set the verdict */
void mc_move_take_back(mc_mover_move_t *move, const char *reason);

/* Schedule: move_schedule.c */

/** mc_move_schedule() - set share and state for the time @wall */
void mc_move_schedule(mc_mover_move_t *move, mc_ms_t wall);

#endif
