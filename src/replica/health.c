/*
 * Health by evidence. Faults in a row, or a large share of them, take a target
 * out for a time that doubles; after it one request at a time finds out whether
 * it is good again. Slowness fades, so that a target that was slow is tried
 * again by itself.
 */
#include "mc/replica.h"

#include <math.h>

enum {
	/* Shortest and longest time out, ms. */
	OUT_MIN_MS = 300,
	OUT_MAX_MS = 2400,
	/* A target that was replaced is out until its entry changes, ms. */
	OUT_REPLACED_MS = 10000,
	/* Faults in a row that take a target out, but for the surest ones. */
	FAULTS_OUT = 3,
	/* Requests in a row that were given up when overdue that do so. */
	UNANSWERED_OUT = 2,
	/* A request is overdue after so many times the usual latency, ... */
	OVERDUE_TIMES = 4,
	/* ... but not before this, ms. */
	OVERDUE_MIN_MS = 40,
	/* Slowness halves in this time, ms. */
	SLOW_HALF_LIFE_MS = 1500,
	/* Requests that are waited for longer than this many times the usual
	 * count as this many. */
	SLOW_MOST = 8,
};

/* Weight of the newest latency, and of the newest failure. */
static const double slow_weight = 0.25;
static const double failing_weight = 0.15;
/* Share of failures that takes a target out. */
static const double failing_out = 0.35;

double mc_health_slowness(const mc_health_t *health, mc_ms_t now)
{
	double age = (double)(now - health->updated);

	if (health->slowness <= 0)
		return 1;
	return 1 + health->slowness * exp2(-age / SLOW_HALF_LIFE_MS);
}

static void add_latency(mc_health_t *health, mc_ms_t latency, double usual,
			mc_ms_t now)
{
	double before = mc_health_slowness(health, now) - 1;
	double ratio;

	if (usual < 1)
		return;
	ratio = fmin((double)latency / usual, SLOW_MOST) - 1;
	if (ratio < 0)
		ratio = 0;
	health->slowness = before + (ratio - before) * slow_weight;
	health->updated = now;
}

static double overdue(double usual)
{
	return fmax(usual * OVERDUE_TIMES, OVERDUE_MIN_MS);
}

void mc_health_answered(mc_health_t *health, mc_ms_t latency, double usual,
			mc_ms_t now)
{
	health->faults = 0;
	health->unanswered = 0;
	health->failing -= health->failing * failing_weight;
	if (health->out_until) {
		health->out_until = 0;
		health->failing = 0;
	}
	if (health->failing < failing_weight)
		health->out_time = 0;
	add_latency(health, latency, usual, now);
}

bool mc_health_waited(mc_health_t *health, mc_ms_t waited, double usual,
		      mc_ms_t now)
{
	double before = mc_health_slowness(health, now);

	/* It would have taken at least so long. */
	if ((double)waited > usual * before)
		add_latency(health, waited, usual, now);
	if ((double)waited <= overdue(usual))
		return false;
	return ++health->unanswered >= UNANSWERED_OUT;
}

void mc_health_reached(mc_health_t *health)
{
	/* After other faults a connection proves little. */
	if (!health->unreachable)
		return;
	health->out_until = 0;
	health->faults = 0;
}

static void take_out(mc_health_t *health, mc_ms_t time, mc_ms_t now)
{
	health->out_time = time;
	health->out_until = now + time;
}

bool mc_health_failed(mc_health_t *health, mc_replica_fault_t fault,
		      mc_ms_t now)
{
	bool was_out = health->out_until > now;
	bool sure;
	mc_ms_t time = health->out_time ? health->out_time * 2 : OUT_MIN_MS;

	health->faults++;
	health->failing += (1 - health->failing) * failing_weight;
	if (time > OUT_MAX_MS)
		time = OUT_MAX_MS;
	if (fault == MC_REPLICA_REPLACED) {
		take_out(health, OUT_REPLACED_MS, now);
		return !was_out;
	}
	if (was_out)
		return false;
	health->unreachable = fault == MC_REPLICA_UNREACHABLE;
	sure = fault == MC_REPLICA_UNREACHABLE ||
	       (fault == MC_REPLICA_NO_ANSWER &&
		health->unanswered >= UNANSWERED_OUT);
	if (!sure && health->faults < FAULTS_OUT &&
	    health->failing < failing_out && !health->out_until)
		return false;
	take_out(health, time, now);
	return true;
}

void mc_health_probed(mc_health_t *health, mc_ms_t now)
{
	if (health->out_until)
		health->out_until = now + health->out_time;
}

mc_replica_level_t mc_health_level(const mc_health_t *health, mc_ms_t oldest,
				   double usual, mc_ms_t now)
{
	if (health->out_until > now)
		return MC_REPLICA_OUT;
	if ((double)oldest > overdue(usual))
		return MC_REPLICA_SILENT;
	if (health->out_until)
		return MC_REPLICA_PROBE;
	return MC_REPLICA_GOOD;
}
