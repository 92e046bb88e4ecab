/*
 * Schedule of a move. The share rises in steps between start and done_by, but
 * stays small until the new version is judged good. The remaining steps are
 * spread over the time left. All times allow for clocks of instances that
 * differ by some seconds.
 */
#include "move_defs.h"

#include <stdio.h>

enum {
	/* Maximum difference between the clocks of two instances, ms. */
	CLOCK_SKEW_MS = 5 * 1000,
	/* CLOCK_SKEW_MS is limited to 1/n of the move's duration. */
	CLOCK_SKEW_PARTS = 10,
	/* When the second step begins, in percent of the move's duration. */
	SECOND_STEP_PERCENT = 15,
	/*
	 * Earliest time of the first step after a good judgement, in percent of
	 * the move's duration.
	 */
	JUDGED_STEP_PERCENT = 25,
	/*
	 * Number of steps after a good judgement; they share the time left
	 * equally.
	 */
	JUDGED_STEPS = 3,
	/*
	 * How long after done_by the old version is kept and compared with, ms.
	 */
	SETTLE_MS = 15 * 60 * 1000,
	/*
	 * A process that has known of the move for this long at done_by has
	 * seen all outcomes that there are, ms.
	 */
	OBSERVATION_MS = 60 * 1000,
	/* OBSERVATION_MS is limited to 1/n of the move's duration. */
	OBSERVATION_PARTS = 4,
	/*
	 * Time for a newly started process to learn a verdict from its peers,
	 * ms.
	 */
	NEW_PROCESS_MS = 30 * 1000,
	PERCENT = 100,
};

static const double SHARE_FIRST = 0.01;
static const double SHARE_UNJUDGED = 0.05;
static const double SHARE_JUDGED[JUDGED_STEPS] = { 0.25, 0.5, 1 };

static mc_ms_t min_time(mc_ms_t a, mc_ms_t b)
{
	return a < b ? a : b;
}

static mc_ms_t duration(const mc_move_record_t *move)
{
	return move->done_by - move->start;
}

static mc_ms_t skew(const mc_move_record_t *move)
{
	return min_time(CLOCK_SKEW_MS, duration(move) / CLOCK_SKEW_PARTS);
}

/* Returns the share that the schedule allows before a good judgement. */
static double unjudged_share(const mc_move_record_t *move, mc_ms_t wall)
{
	mc_ms_t second =
		move->start + duration(move) * SECOND_STEP_PERCENT / PERCENT;

	if (wall < move->start + skew(move))
		return 0;
	return wall < second ? SHARE_FIRST : SHARE_UNJUDGED;
}

static double judged_share(const mc_move_record_t *move, mc_ms_t wall)
{
	mc_ms_t end = move->done_by - skew(move);
	mc_ms_t begin =
		move->start + duration(move) * JUDGED_STEP_PERCENT / PERCENT;
	mc_ms_t step;

	if (begin < move->judged_at)
		begin = move->judged_at;
	if (wall >= end)
		return 1;
	if (wall < begin)
		return unjudged_share(move, wall);
	step = (end - begin) / JUDGED_STEPS;
	if (wall >= begin + 2 * step)
		return SHARE_JUDGED[2];
	return SHARE_JUDGED[wall >= begin + step ? 1 : 0];
}

/* Returns whether this process knew of the move long enough at done_by. */
static bool has_observed_enough(const mc_move_record_t *move)
{
	mc_ms_t needed =
		min_time(OBSERVATION_MS, duration(move) / OBSERVATION_PARTS);

	return move->first_seen <= move->done_by - needed;
}

/*
 * Returns the share after done_by when too few outcomes were seen. A process
 * that knows of the move only since shortly before done_by, or later, gives its
 * peers time to send a verdict and then completes the move.
 */
static double overdue_share(mc_move_record_t *move, mc_ms_t wall)
{
	if (wall >= move->done_by + SETTLE_MS)
		return 1;
	if (!has_observed_enough(move))
		return wall >= move->first_seen + NEW_PROCESS_MS
			       ? 1
			       : SHARE_UNJUDGED;
	if (move->without_evidence == MC_MOVE_FALLBACK_FINISH ||
	    move->judged_good_by_peer)
		return 1;
	mc_move_take_back(move, "too little evidence at its time");
	return 0;
}

static double scheduled_share(mc_move_record_t *move, mc_ms_t wall)
{
	if (move->old_version_gone)
		return 1;
	if (move->judged_good)
		return judged_share(move, wall);
	if (wall >= move->done_by + skew(move))
		return overdue_share(move, wall);
	return unjudged_share(move, wall);
}

static mc_move_state_t state_at(const mc_move_record_t *move, mc_ms_t wall)
{
	if (move->state == MC_MOVE_FINISHED)
		return MC_MOVE_FINISHED;
	if (move->share <= 0)
		return MC_MOVE_WAITING;
	if (move->share < 1)
		return MC_MOVE_SHIFTING;
	if (move->old_version_gone || wall >= move->done_by + SETTLE_MS)
		return MC_MOVE_FINISHED;
	return MC_MOVE_SETTLING;
}

void mc_move_schedule(mc_move_record_t *move, mc_ms_t wall)
{
	double share;

	if (move->taken_back)
		return;
	share = scheduled_share(move, wall);
	if (move->taken_back)
		return;
	if (share > move->share) {
		move->share = share;
		mc_move_counts_restart(move, wall);
		snprintf(move->reason, sizeof(move->reason),
			 "share raised to %.0f%%, %s", share * PERCENT,
			 move->judged_good ? "judged good" : "not judged yet");
	}
	move->state = state_at(move, wall);
}
