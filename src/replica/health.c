/*
 * Passive outlier detection. Consecutive faults, or a high failure rate, eject
 * a target for a time that doubles with each ejection; afterwards one request
 * at a time probes whether it has recovered. The excess latency decays with
 * time, so a target that was slow gets requests again without a probe.
 */
#include "mc/replica.h"

#include <math.h>

enum {
	/* Minimum and maximum length of an ejection, ms. */
	EJECT_MIN_MS = 300,
	EJECT_MAX_MS = 2400,
	/* A target whose address was taken over stays ejected until its entry
	 * changes, for at most this time, ms. */
	EJECT_REPLACED_MS = 10000,
	/* Consecutive faults that eject a target. A failed connection attempt
	 * and a series of overdue requests are conclusive and eject it at once,
	 * as does any fault while a probe is due. */
	EJECT_FAULTS = 3,
	/* Consecutive canceled requests, each overdue, that count as a fault
	 * and eject the target. */
	EJECT_OVERDUE = 2,
	/* A request is overdue after this multiple of the typical latency, ...
	 */
	OVERDUE_FACTOR = 4,
	/* ... but not before this, ms. */
	OVERDUE_MIN_MS = 40,
	/* Half-life of the excess latency, ms. */
	LATENCY_HALF_LIFE_MS = 1500,
	/* Upper limit of a latency sample, as a multiple of the typical
	 * latency. */
	LATENCY_RATIO_MAX = 8,
};

/* Weight of a new sample in the moving averages of latency and failures. */
static const double latency_weight = 0.25;
static const double failure_weight = 0.15;
/* Failure rate that ejects a target. */
static const double eject_failure_rate = 0.35;

double mc_replica_health_latency_ratio(const mc_replica_health_t *health,
				       mc_ms_t now)
{
	double age = (double)(now - health->latency_updated);

	if (health->excess_latency <= 0)
		return 1;
	return 1 + health->excess_latency * exp2(-age / LATENCY_HALF_LIFE_MS);
}

static void add_latency(mc_replica_health_t *health, mc_ms_t latency,
			double typical, mc_ms_t now)
{
	double before = mc_replica_health_latency_ratio(health, now) - 1;
	double ratio;

	if (typical < 1)
		return;
	ratio = fmin((double)latency / typical, LATENCY_RATIO_MAX) - 1;
	if (ratio < 0)
		ratio = 0;
	health->excess_latency = before + (ratio - before) * latency_weight;
	health->latency_updated = now;
}

static double overdue_after(double typical)
{
	return fmax(typical * OVERDUE_FACTOR, OVERDUE_MIN_MS);
}

void mc_replica_health_record_success(mc_replica_health_t *health,
				      mc_ms_t latency, double typical,
				      mc_ms_t now)
{
	health->consecutive_faults = 0;
	health->consecutive_overdue = 0;
	health->failure_rate -= health->failure_rate * failure_weight;
	if (health->ejected_until) {
		health->ejected_until = 0;
		health->failure_rate = 0;
	}
	if (health->failure_rate < failure_weight)
		health->ejection_time = 0;
	add_latency(health, latency, typical, now);
}

bool mc_replica_health_record_cancel(mc_replica_health_t *health,
				     mc_ms_t waited, double typical,
				     mc_ms_t now)
{
	double before = mc_replica_health_latency_ratio(health, now);

	/* The response would have taken at least as long as the wait. */
	if ((double)waited > typical * before)
		add_latency(health, waited, typical, now);
	if ((double)waited <= overdue_after(typical))
		return false;
	return ++health->consecutive_overdue >= EJECT_OVERDUE;
}

void mc_replica_health_record_connect(mc_replica_health_t *health)
{
	/* After a fault other than a failed connect, a new connection does not
	 * show that the target serves requests again. */
	if (!health->unreachable)
		return;
	health->ejected_until = 0;
	health->consecutive_faults = 0;
}

static void eject(mc_replica_health_t *health, mc_ms_t time, mc_ms_t now)
{
	health->ejection_time = time;
	health->ejected_until = now + time;
}

bool mc_replica_health_record_fault(mc_replica_health_t *health,
				    mc_replica_fault_t fault, mc_ms_t now)
{
	bool was_ejected = health->ejected_until > now;
	bool conclusive;
	mc_ms_t time = health->ejection_time ? health->ejection_time * 2
					     : EJECT_MIN_MS;

	health->consecutive_faults++;
	health->failure_rate += (1 - health->failure_rate) * failure_weight;
	if (time > EJECT_MAX_MS)
		time = EJECT_MAX_MS;
	if (fault == MC_REPLICA_FAULT_REPLACED) {
		eject(health, EJECT_REPLACED_MS, now);
		return !was_ejected;
	}
	if (was_ejected)
		return false;
	health->unreachable = fault == MC_REPLICA_FAULT_UNREACHABLE;
	conclusive = fault == MC_REPLICA_FAULT_UNREACHABLE ||
		     (fault == MC_REPLICA_FAULT_NO_RESPONSE &&
		      health->consecutive_overdue >= EJECT_OVERDUE);
	if (!conclusive && health->consecutive_faults < EJECT_FAULTS &&
	    health->failure_rate < eject_failure_rate && !health->ejected_until)
		return false;
	eject(health, time, now);
	return true;
}

void mc_replica_health_record_probe(mc_replica_health_t *health, mc_ms_t now)
{
	if (health->ejected_until)
		health->ejected_until = now + health->ejection_time;
}

mc_replica_state_t mc_replica_health_state(const mc_replica_health_t *health,
					   mc_ms_t oldest, double typical,
					   mc_ms_t now)
{
	if (health->ejected_until > now)
		return MC_REPLICA_EJECTED;
	if ((double)oldest > overdue_after(typical))
		return MC_REPLICA_OVERDUE;
	if (health->ejected_until)
		return MC_REPLICA_PROBE_DUE;
	return MC_REPLICA_HEALTHY;
}
