/*
 * The most time left that was seen in this window and the one before it.
 */
#include "mc/retry_elapsed.h"

enum {
	/* Callers that give other times now are known after two of these, ms.
	 */
	WINDOW_MS = 30000,
};

static void turn_window(mc_retry_elapsed_t *spent, mc_ms_t now)
{
	if (now - spent->window_start < WINDOW_MS)
		return;
	spent->prev_max_left =
		now - spent->window_start < 2 * WINDOW_MS ? spent->max_left : 0;
	spent->max_left = 0;
	spent->window_start = now;
}

mc_ms_t mc_retry_elapsed_estimate(mc_retry_elapsed_t *spent, mc_ms_t time_left,
				  mc_ms_t now)
{
	mc_ms_t most;

	turn_window(spent, now);
	if (time_left < 0)
		return 0;
	if (time_left > spent->max_left)
		spent->max_left = time_left;
	most = spent->max_left > spent->prev_max_left ? spent->max_left
						      : spent->prev_max_left;
	return most - time_left;
}
