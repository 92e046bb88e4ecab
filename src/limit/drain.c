/*
 * The rate is that of an exponentially weighted count.
 */
#include "mc/drain.h"

#include <math.h>

enum {
	/* Time constant of the count's decay, ms. */
	DECAY_MS = 500,
};

static double decayed_count(const mc_drain_t *drain, mc_ms_t now)
{
	return drain->count * exp((double)(drain->updated_at - now) / DECAY_MS);
}

void mc_drain_record(mc_drain_t *drain, mc_ms_t now)
{
	drain->count = decayed_count(drain, now) + 1;
	drain->updated_at = now;
}

mc_ms_t mc_drain_wait(const mc_drain_t *drain, uint32_t ahead,
		      uint32_t in_flight, double latency, mc_ms_t now)
{
	double rate = decayed_count(drain, now) / DECAY_MS;

	if (!ahead || latency <= 0)
		return 0;
	rate = fmax(rate, in_flight / latency);
	return rate > 0 ? (mc_ms_t)((ahead + 1) / rate) : 0;
}

bool mc_drain_refuses(mc_ms_t wait, double latency, mc_ms_t left)
{
	return wait > 0 && (double)wait + latency > (double)left;
}
