/*
 * An instance counts as cut off when at least half of its recent requests were
 * refused because their targets were unreachable, and until those targets are
 * reachable again.
 */
#include "mc/replica_isolation.h"

#include <math.h>

enum {
	/* The counts are halved after this time, ms. */
	HALF_LIFE_MS = 300,
	/* Minimum number of refused requests; fewer may be chance. */
	UNREACHABLE_MIN = 3,
	/* Longer than a pause of a target's process takes, ms. */
	SILENCE_MIN_MS = 400,
};

/* Silence that is too long for work, in typical latencies. */
static const double silence_factor = 2;

/* Fraction of refused requests at which callers should use another instance. */
static const double cut_off_ratio = 0.5;

static void decay_counts(mc_replica_isolation_t *isolation, mc_ms_t now)
{
	if (now - isolation->decayed_at < HALF_LIFE_MS)
		return;
	isolation->decayed_at = now;
	isolation->requests /= 2;
	isolation->unreachable /= 2;
}

void mc_replica_isolation_record(mc_replica_isolation_t *isolation,
				 bool reachable, mc_ms_t now)
{
	decay_counts(isolation, now);
	isolation->requests++;
	if (!reachable)
		isolation->unreachable++;
}

bool mc_replica_isolation_update(mc_replica_isolation_t *isolation,
				 bool still_unreachable, mc_ms_t now)
{
	bool before = isolation->cut_off;

	decay_counts(isolation, now);
	if (before)
		isolation->cut_off = still_unreachable;
	else
		isolation->cut_off =
			isolation->unreachable >= UNREACHABLE_MIN &&
			isolation->unreachable >=
				isolation->requests * cut_off_ratio;
	if (before && !isolation->cut_off) {
		isolation->requests = 0;
		isolation->unreachable = 0;
	}
	return isolation->cut_off != before;
}

mc_ms_t mc_replica_silence_max(double typical, mc_ms_t goal)
{
	double work = typical > 0 ? typical * silence_factor : (double)goal;

	return (mc_ms_t)fmax(work, SILENCE_MIN_MS);
}
