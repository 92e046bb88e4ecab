/*
 * An instance counts as cut off when at least half of its recent requests were
 * refused because their targets were unreachable, and until those targets are
 * reachable again.
 */
#include "mc/belief.h"

enum {
	/* The counts are halved after this time, ms. */
	HALF_LIFE_MS = 300,
	/* Minimum number of refused requests; fewer may be chance. */
	UNREACHABLE_MIN = 3,
};

/* Fraction of refused requests at which callers should use another instance. */
static const double cut_off_ratio = 0.5;

static void decay_counts(mc_belief_t *isolation, mc_ms_t now)
{
	if (now - isolation->faded < HALF_LIFE_MS)
		return;
	isolation->faded = now;
	isolation->recent /= 2;
	isolation->lacking /= 2;
}

void mc_belief_note(mc_belief_t *isolation, bool reachable, mc_ms_t now)
{
	decay_counts(isolation, now);
	isolation->recent++;
	if (!reachable)
		isolation->lacking++;
}

bool mc_belief_update(mc_belief_t *isolation, bool still_unreachable,
		      mc_ms_t now)
{
	bool before = isolation->cut_off;

	decay_counts(isolation, now);
	if (before)
		isolation->cut_off = still_unreachable;
	else
		isolation->cut_off =
			isolation->lacking >= UNREACHABLE_MIN &&
			isolation->lacking >= isolation->recent * cut_off_ratio;
	if (before && !isolation->cut_off) {
		isolation->recent = 0;
		isolation->lacking = 0;
	}
	return isolation->cut_off != before;
}
