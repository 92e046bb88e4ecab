/*
 * The schedule of a move. Its share rises in steps between start and done_by,
 * but stays small until the new version was judged. The steps after that are
 * spread over the time that is left. All times keep a distance for clocks of
 * instances that differ by some seconds.
 */
#include "move_defs.h"

#include <stdio.h>

enum {
	/* Most that clocks of two instances differ, ms. */
	CLOCK_SKEW_MS = 5 * 1000,
	/* But no more than this part of the move's time. */
	CLOCK_SKEW_PARTS = 10,
	/* The second step, in percent of the move's time. */
	SECOND_STEP_PERCENT = 15,
	/* The first step after the judgement, likewise. */
	JUDGED_STEP_PERCENT = 25,
	/* Parts of the time left, one for each step after the judgement. */
	JUDGED_STEPS = 3,
	/* The old version is kept and watched against for so long, ms. */
	SETTLE_MS = 15 * 60 * 1000,
	/* Time that is enough to have seen what evidence there is, ms. */
	WATCH_MS = 60 * 1000,
	/* But no more than this part of the move's time. */
	WATCH_PARTS = 4,
	/* A newcomer hears of a verdict from peers within this time, ms. */
	NEWCOMER_MS = 30 * 1000,
	PERCENT = 100,
};

static const double SHARE_FIRST = 0.01;
static const double SHARE_UNJUDGED = 0.05;
static const double SHARE_JUDGED[JUDGED_STEPS] = { 0.25, 0.5, 1 };

static mc_ms_t smaller(mc_ms_t a, mc_ms_t b)
{
	return a < b ? a : b;
}

static mc_ms_t duration(const mc_mover_move_t *move)
{
	return move->done_by - move->start;
}

static mc_ms_t skew(const mc_mover_move_t *move)
{
	return smaller(CLOCK_SKEW_MS, duration(move) / CLOCK_SKEW_PARTS);
}

/* Share that the schedule allows without a judgement. */
static double unjudged_share(const mc_mover_move_t *move, mc_ms_t wall)
{
	mc_ms_t second =
		move->start + duration(move) * SECOND_STEP_PERCENT / PERCENT;

	if (wall < move->start + skew(move))
		return 0;
	return wall < second ? SHARE_FIRST : SHARE_UNJUDGED;
}

static double judged_share(const mc_mover_move_t *move, mc_ms_t wall)
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

/* Whether this process has watched the move long enough before its time. */
static bool has_watched(const mc_mover_move_t *move)
{
	mc_ms_t needed = smaller(WATCH_MS, duration(move) / WATCH_PARTS);

	return move->first_seen <= move->done_by - needed;
}

/* The time is over and too little was seen. */
static double overdue_share(mc_mover_move_t *move, mc_ms_t wall)
{
	if (wall >= move->done_by + SETTLE_MS)
		return 1;
	if (!has_watched(move))
		return wall >= move->first_seen + NEWCOMER_MS ? 1
							      : SHARE_UNJUDGED;
	if (move->without_evidence == MC_MOVE_FALLBACK_FINISH ||
	    move->judged_by_peer)
		return 1;
	mc_move_take_back(move, "too little evidence at its time");
	return 0;
}

static double scheduled_share(mc_mover_move_t *move, mc_ms_t wall)
{
	if (move->old_gone)
		return 1;
	if (move->judged)
		return judged_share(move, wall);
	if (wall >= move->done_by + skew(move))
		return overdue_share(move, wall);
	return unjudged_share(move, wall);
}

static mc_move_state_t state_at(const mc_mover_move_t *move, mc_ms_t wall)
{
	if (move->state == MC_MOVE_FINISHED)
		return MC_MOVE_FINISHED;
	if (move->share <= 0)
		return MC_MOVE_WAITING;
	if (move->share < 1)
		return MC_MOVE_SHIFTING;
	if (move->old_gone || wall >= move->done_by + SETTLE_MS)
		return MC_MOVE_FINISHED;
	return MC_MOVE_SETTLING;
}

void mc_move_schedule(mc_mover_move_t *move, mc_ms_t wall)
{
	double share;

	if (move->taken_back)
		return;
	share = scheduled_share(move, wall);
	if (move->taken_back)
		return;
	if (share > move->share) {
		move->share = share;
		mc_move_evidence_restart(move, wall);
		snprintf(move->reason, sizeof(move->reason),
			 "share raised to %.0f%%, %s", share * PERCENT,
			 move->judged ? "judged good" : "not judged yet");
	}
	move->state = state_at(move, wall);
}
