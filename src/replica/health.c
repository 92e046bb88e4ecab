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

double mc_replica_health_latency_ratio(const mc_replica_health_t *health,
				       mc_ms_t now)
{
	double age = (double)(now - health->latency_updated);

	if (health->excess_latency <= 0)
		return 1;
	return 1 + health->excess_latency * exp2(-age / SLOW_HALF_LIFE_MS);
}

static void add_latency(mc_replica_health_t *health, mc_ms_t latency,
			double usual, mc_ms_t now)
{
	double before = mc_replica_health_latency_ratio(health, now) - 1;
	double ratio;

	if (usual < 1)
		return;
	ratio = fmin((double)latency / usual, SLOW_MOST) - 1;
	if (ratio < 0)
		ratio = 0;
	health->excess_latency = before + (ratio - before) * slow_weight;
	health->latency_updated = now;
}

static double overdue(double usual)
{
	return fmax(usual * OVERDUE_TIMES, OVERDUE_MIN_MS);
}

void mc_replica_health_record_success(mc_replica_health_t *health,
				      mc_ms_t latency, double usual,
				      mc_ms_t now)
{
	health->consecutive_faults = 0;
	health->consecutive_overdue = 0;
	health->failure_rate -= health->failure_rate * failing_weight;
	if (health->ejected_until) {
		health->ejected_until = 0;
		health->failure_rate = 0;
	}
	if (health->failure_rate < failing_weight)
		health->ejection_time = 0;
	add_latency(health, latency, usual, now);
}

bool mc_replica_health_record_cancel(mc_replica_health_t *health,
				     mc_ms_t waited, double usual, mc_ms_t now)
{
	double before = mc_replica_health_latency_ratio(health, now);

	/* It would have taken at least so long. */
	if ((double)waited > usual * before)
		add_latency(health, waited, usual, now);
	if ((double)waited <= overdue(usual))
		return false;
	return ++health->consecutive_overdue >= UNANSWERED_OUT;
}

void mc_replica_health_record_connect(mc_replica_health_t *health)
{
	/* After other faults a connection proves little. */
	if (!health->unreachable)
		return;
	health->ejected_until = 0;
	health->consecutive_faults = 0;
}

static void take_out(mc_replica_health_t *health, mc_ms_t time, mc_ms_t now)
{
	health->ejection_time = time;
	health->ejected_until = now + time;
}

bool mc_replica_health_record_fault(mc_replica_health_t *health,
				    mc_replica_fault_t fault, mc_ms_t now)
{
	bool was_out = health->ejected_until > now;
	bool sure;
	mc_ms_t time =
		health->ejection_time ? health->ejection_time * 2 : OUT_MIN_MS;

	health->consecutive_faults++;
	health->failure_rate += (1 - health->failure_rate) * failing_weight;
	if (time > OUT_MAX_MS)
		time = OUT_MAX_MS;
	if (fault == MC_REPLICA_FAULT_REPLACED) {
		take_out(health, OUT_REPLACED_MS, now);
		return !was_out;
	}
	if (was_out)
		return false;
	health->unreachable = fault == MC_REPLICA_FAULT_UNREACHABLE;
	sure = fault == MC_REPLICA_FAULT_UNREACHABLE ||
	       (fault == MC_REPLICA_FAULT_NO_RESPONSE &&
		health->consecutive_overdue >= UNANSWERED_OUT);
	if (!sure && health->consecutive_faults < FAULTS_OUT &&
	    health->failure_rate < failing_out && !health->ejected_until)
		return false;
	take_out(health, time, now);
	return true;
}

void mc_replica_health_record_probe(mc_replica_health_t *health, mc_ms_t now)
{
	if (health->ejected_until)
		health->ejected_until = now + health->ejection_time;
}

mc_replica_state_t mc_replica_health_state(const mc_replica_health_t *health,
					   mc_ms_t oldest, double usual,
					   mc_ms_t now)
{
	if (health->ejected_until > now)
		return MC_REPLICA_EJECTED;
	if ((double)oldest > overdue(usual))
		return MC_REPLICA_UNRESPONSIVE;
	if (health->ejected_until)
		return MC_REPLICA_PROBE_DUE;
	return MC_REPLICA_HEALTHY;
}
