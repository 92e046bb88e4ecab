/*
 * Estimates the time that a request has used before its arrival: the difference
 * between its remaining time and the maximum remaining time seen in the current
 * and the previous window.
 */
#include "mc/retry_elapsed.h"

enum {
	/* A change of the timeout that callers use takes effect after at most
	 * two windows, ms. */
	WINDOW_MS = 30000,
};

static void rotate_window(mc_retry_elapsed_t *state, mc_ms_t now)
{
	if (now - state->window_start < WINDOW_MS)
		return;
	state->prev_max_left =
		now - state->window_start < 2 * WINDOW_MS ? state->max_left : 0;
	state->max_left = 0;
	state->window_start = now;
}

mc_ms_t mc_retry_elapsed_estimate(mc_retry_elapsed_t *state, mc_ms_t time_left,
				  mc_ms_t now)
{
	mc_ms_t max;

	rotate_window(state, now);
	if (time_left < 0)
		return 0;
	if (time_left > state->max_left)
		state->max_left = time_left;
	max = state->max_left > state->prev_max_left ? state->max_left
						     : state->prev_max_left;
	return max - time_left;
}
