/*
 * An instance is cut off when most of its recent requests lacked reach, and
 * until what they needed is reached.
 */
#include "mc/belief.h"

enum {
	/* Recent requests count half after this time, ms. */
	HALF_LIFE_MS = 300,
	/* Fewer refusals than that say nothing of the instance. */
	LACKING_MIN = 3,
};

/* Share of requests refused for want of reach from which on callers do better
 * elsewhere. */
static const double lacking_share = 0.5;

static void fade(mc_belief_t *belief, mc_ms_t now)
{
	if (now - belief->faded < HALF_LIFE_MS)
		return;
	belief->faded = now;
	belief->recent /= 2;
	belief->lacking /= 2;
}

void mc_belief_note(mc_belief_t *belief, bool enough, mc_ms_t now)
{
	fade(belief, now);
	belief->recent++;
	if (!enough)
		belief->lacking++;
}

bool mc_belief_update(mc_belief_t *belief, bool still_lacking, mc_ms_t now)
{
	bool before = belief->cut_off;

	fade(belief, now);
	if (before)
		belief->cut_off = still_lacking;
	else
		belief->cut_off =
			belief->lacking >= LACKING_MIN &&
			belief->lacking >= belief->recent * lacking_share;
	if (before && !belief->cut_off) {
		belief->recent = 0;
		belief->lacking = 0;
	}
	return belief->cut_off != before;
}
