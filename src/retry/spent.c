/*
 * The most time left that was seen in this window and the one before it.
 */
#include "mc/spent.h"

enum {
	/* Callers that give other times now are known after two of these, ms.
	 */
	WINDOW_MS = 30000,
};

static void turn_window(mc_spent_t *spent, mc_ms_t now)
{
	if (now - spent->began < WINDOW_MS)
		return;
	spent->most_before =
		now - spent->began < 2 * WINDOW_MS ? spent->most : 0;
	spent->most = 0;
	spent->began = now;
}

mc_ms_t mc_spent_note(mc_spent_t *spent, mc_ms_t time_left, mc_ms_t now)
{
	mc_ms_t most;

	turn_window(spent, now);
	if (time_left < 0)
		return 0;
	if (time_left > spent->most)
		spent->most = time_left;
	most = spent->most > spent->most_before ? spent->most
						: spent->most_before;
	return most - time_left;
}
