/*
 * Estimates the time that a request has used before its arrival: the difference
 * between its remaining time and the maximum remaining time seen in the current
 * and the previous window.
 */
#include "mc/spent.h"

enum {
	/* A change of the timeout that callers use takes effect after at most
	 * two windows, ms. */
	WINDOW_MS = 30000,
};

static void rotate_window(mc_spent_t *state, mc_ms_t now)
{
	if (now - state->began < WINDOW_MS)
		return;
	state->most_before =
		now - state->began < 2 * WINDOW_MS ? state->most : 0;
	state->most = 0;
	state->began = now;
}

mc_ms_t mc_spent_note(mc_spent_t *state, mc_ms_t time_left, mc_ms_t now)
{
	mc_ms_t max;

	rotate_window(state, now);
	if (time_left < 0)
		return 0;
	if (time_left > state->most)
		state->most = time_left;
	max = state->most > state->most_before ? state->most
					       : state->most_before;
	return max - time_left;
}
