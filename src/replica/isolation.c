/*
 * An instance is cut off when most of its recent requests lacked reach, and
 * until what they needed is reached.
 */
#include "mc/replica_isolation.h"

enum {
	/* Recent requests count half after this time, ms. */
	HALF_LIFE_MS = 300,
	/* Fewer refusals than that say nothing of the instance. */
	LACKING_MIN = 3,
};

/* Share of requests refused for want of reach from which on callers do better
 * elsewhere. */
static const double lacking_share = 0.5;

static void fade(mc_replica_isolation_t *belief, mc_ms_t now)
{
	if (now - belief->decayed_at < HALF_LIFE_MS)
		return;
	belief->decayed_at = now;
	belief->requests /= 2;
	belief->unreachable /= 2;
}

void mc_replica_isolation_record(mc_replica_isolation_t *belief, bool enough,
				 mc_ms_t now)
{
	fade(belief, now);
	belief->requests++;
	if (!enough)
		belief->unreachable++;
}

bool mc_replica_isolation_update(mc_replica_isolation_t *belief,
				 bool still_lacking, mc_ms_t now)
{
	bool before = belief->cut_off;

	fade(belief, now);
	if (before)
		belief->cut_off = still_lacking;
	else
		belief->cut_off =
			belief->unreachable >= LACKING_MIN &&
			belief->unreachable >= belief->requests * lacking_share;
	if (before && !belief->cut_off) {
		belief->requests = 0;
		belief->unreachable = 0;
	}
	return belief->cut_off != before;
}
