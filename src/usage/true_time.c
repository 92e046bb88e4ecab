/*
 * True time: the time of day at the start, corrected by what a server says.
 */
#include "mc/usage.h"

enum {
	MS_PER_S = 1000,
	/* The bounds are begun anew after this time, as clocks drift, ms. */
	BOUNDS_MAX_MS = 600000,
};

void mc_true_time_init(mc_true_time_t *time, mc_ms_t wall, mc_ms_t steady)
{
	*time = (mc_true_time_t){ .offset = wall - steady };
}

mc_ms_t mc_true_time_observe(mc_true_time_t *time, int64_t second,
			     mc_ms_t called, mc_ms_t answered)
{
	/* The server read its clock between the two steady times, and it was
	 * within the second. */
	mc_ms_t lowest = second * MS_PER_S - answered;
	mc_ms_t highest = (second + 1) * MS_PER_S - called;
	mc_ms_t before = time->offset;

	if (!time->has_bounds || answered - time->bounded_at > BOUNDS_MAX_MS ||
	    lowest > time->highest || highest < time->lowest) {
		time->lowest = lowest;
		time->highest = highest;
		time->bounded_at = answered;
		time->has_bounds = true;
	}
	if (lowest > time->lowest)
		time->lowest = lowest;
	if (highest < time->highest)
		time->highest = highest;
	if (time->offset < time->lowest)
		time->offset = time->lowest;
	if (time->offset > time->highest)
		time->offset = time->highest;
	return time->offset - before;
}

mc_ms_t mc_true_time_at(const mc_true_time_t *time, mc_ms_t steady)
{
	return steady + time->offset;
}
