/*
 * The decision rests on revisions alone, so that it does not matter which
 * instance or call they came from.
 */
#include "mc/readplan.h"

enum {
	/* After this many stale lists in a row that were too old, the next one
	 * must be current. */
	STALE_LISTS_MAX = 3,
	/* The pause after the first of them is this fraction of the bound; it
	 * is doubled with each. */
	STALE_PAUSE_DIVISOR = 12,
	/* Longest pause while the instance can't serve yet, ms: the current
	 * list is read after STALE_LISTS_MAX of them. */
	START_PAUSE_MAX_MS = 300,
	/* Shares of the bound: for which a watch waits, but not less than
	 * WATCH_WAIT_MIN_MS, as each is paid, and not more than the longest;
	 * and for which its answer may then be under way before it is late. */
	WATCH_WAIT_PERCENT = 57,
	WATCH_WAIT_MAX_PERCENT = 67,
	WATCH_WAIT_MIN_MS = 2000,
	WATCH_ANSWER_PERCENT = 3,
	PERCENT = 100,
};

bool mc_read_is_behind(const mc_read_state_t *state)
{
	return !state->is_listed || state->revision < state->needed;
}

mc_read_call_t mc_read_next_call(const mc_read_state_t *state,
				 mc_read_relay_t relay)
{
	if (state->needed == MC_READ_CURRENT)
		return MC_READ_LIST;
	/* A watch brings what is missing, too. */
	if (state->is_listed && relay == MC_READ_NO_UPSTREAM)
		return state->watch_is_late ? MC_READ_CHANGES : MC_READ_WATCH;
	if (!mc_read_is_behind(state))
		return MC_READ_NONE;
	return state->stale_lists < STALE_LISTS_MAX ? MC_READ_STALE_LIST
						    : MC_READ_LIST;
}

bool mc_read_accepts_list(const mc_read_state_t *state, uint64_t revision,
			  bool is_stale)
{
	return !is_stale ||
	       (revision >= state->needed && revision >= state->revision);
}

mc_ms_t mc_read_stale_pause(const mc_read_state_t *state, mc_ms_t bound)
{
	uint32_t doublings = state->stale_lists ? state->stale_lists - 1 : 0;

	if (doublings >= STALE_LISTS_MAX)
		doublings = STALE_LISTS_MAX - 1;
	return bound / STALE_PAUSE_DIVISOR << doublings;
}

mc_ms_t mc_read_start_pause(const mc_read_state_t *state, mc_ms_t bound)
{
	mc_ms_t pause = mc_read_stale_pause(state, bound);

	return pause < START_PAUSE_MAX_MS ? pause : START_PAUSE_MAX_MS;
}

mc_ms_t mc_read_watch_wait(mc_ms_t bound)
{
	mc_ms_t longest = bound * WATCH_WAIT_MAX_PERCENT / PERCENT;
	mc_ms_t wait = bound * WATCH_WAIT_PERCENT / PERCENT;

	if (wait < WATCH_WAIT_MIN_MS)
		wait = WATCH_WAIT_MIN_MS;
	return wait < longest ? wait : longest;
}

static mc_ms_t watch_answer_time(mc_ms_t bound)
{
	return bound * WATCH_ANSWER_PERCENT / PERCENT;
}

mc_ms_t mc_read_watch_late_after(mc_ms_t bound)
{
	return mc_read_watch_wait(bound) + watch_answer_time(bound);
}

bool mc_read_watches_hang(mc_ms_t bound, mc_ms_t took)
{
	return took < watch_answer_time(bound);
}
