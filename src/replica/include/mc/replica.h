/*
 * Public header of the replica library: passive health checking of targets by
 * the outcome of their requests, and target selection. Performs no I/O: times
 * and events are passed in.
 */
#ifndef MC_REPLICA_H
#define MC_REPLICA_H

#include "mc/base.h"

/** enum mc_replica_state_t - health state of a target */
typedef enum mc_replica_state_t {
	MC_REPLICA_HEALTHY,
	/* The ejection is over; one request may probe whether the target has
	 * recovered. */
	MC_REPLICA_PROBE_DUE,
	/* The oldest request at the target is overdue. */
	MC_REPLICA_OVERDUE,
	MC_REPLICA_EJECTED,
} mc_replica_state_t;

/** enum mc_replica_fault_t - ways in which a target fails a request */
typedef enum mc_replica_fault_t {
	/* The connection could not be established. */
	MC_REPLICA_FAULT_UNREACHABLE,
	/* The connection was lost, or the response was invalid. */
	MC_REPLICA_FAULT_CONNECTION_LOST,
	/* No response came within a multiple of the typical latency. */
	MC_REPLICA_FAULT_NO_RESPONSE,
	/* The target responded with an error. */
	MC_REPLICA_FAULT_ERROR,
	/* Another target has taken over the address. */
	MC_REPLICA_FAULT_REPLACED,
} mc_replica_fault_t;

/**
 * struct mc_replica_health_t - health of one target; zero-initialized
 * @excess_latency: moving average of the ratio of its latency to the typical
 *	one, minus 1
 * @failure_rate: moving average of the fraction of failed requests
 * @consecutive_faults: faults since the last success
 * @consecutive_overdue: overdue requests canceled since the last success
 * @ejection_time: length of the last ejection, ms; reset to 0 when the failure
 *	rate is low again
 * @ejected_until: end of the ejection, ms; 0 unless ejected or due for a probe
 * @unreachable: it was ejected because no connection could be established
 * @latency_updated: when @excess_latency was last updated, ms
 */
typedef struct mc_replica_health_t {
	double excess_latency;
	double failure_rate;
	uint32_t consecutive_faults;
	uint32_t consecutive_overdue;
	mc_ms_t ejection_time;
	mc_ms_t ejected_until;
	bool unreachable;
	mc_ms_t latency_updated;
} mc_replica_health_t;

/**
 * mc_replica_health_record_success() - Record a successful response
 * @health: health of the target; ends its ejection
 * @latency: time from send to response, ms
 * @typical: typical latency of this kind of request, ms; 0 if unknown
 * @now: time, ms
 */
void mc_replica_health_record_success(mc_replica_health_t *health,
				      mc_ms_t latency, double typical,
				      mc_ms_t now);

/**
 * mc_replica_health_record_cancel() - Record a request canceled while waiting
 * @health: health of the target
 * @waited: time from send to cancellation, ms
 * @typical: typical latency of this kind of request, ms; 0 if unknown
 * @now: time, ms
 *
 * Return: true if so many requests in a row were canceled when overdue that
 * this counts as the fault MC_REPLICA_FAULT_NO_RESPONSE; the user of the
 * library records that fault.
 */
bool mc_replica_health_record_cancel(mc_replica_health_t *health,
				     mc_ms_t waited, double typical,
				     mc_ms_t now);

/**
 * mc_replica_health_record_fault() - Record a request that the target failed
 * @health: health of the target
 * @fault: how the request failed
 * @now: time, ms
 *
 * Return: true if this fault ejects the target.
 */
bool mc_replica_health_record_fault(mc_replica_health_t *health,
				    mc_replica_fault_t fault, mc_ms_t now);

/** mc_replica_health_record_connect() - Record a connection established while
 * the target was ejected; ends an ejection for being unreachable */
void mc_replica_health_record_connect(mc_replica_health_t *health);

/** mc_replica_health_record_probe() - Record that a request is sent as the
 * probe; no other is sent for another ejection time */
void mc_replica_health_record_probe(mc_replica_health_t *health, mc_ms_t now);

/**
 * mc_replica_health_state() - Get the health state of a target
 * @health: health of the target
 * @oldest: age of its oldest request in flight, ms; 0 without one
 * @typical: typical latency of that request, ms
 * @now: time, ms
 */
mc_replica_state_t mc_replica_health_state(const mc_replica_health_t *health,
					   mc_ms_t oldest, double typical,
					   mc_ms_t now);

/** mc_replica_health_latency_ratio() - Get the ratio of a target's latency to
 * the typical one; at least 1, and decays to 1 without new samples */
double mc_replica_health_latency_ratio(const mc_replica_health_t *health,
				       mc_ms_t now);

/**
 * struct mc_replica_candidate_t - a target eligible for a request
 * @state: health state
 * @has_capacity: it can take one more request now
 * @draining: it will stop serving soon; used only if no other target is left
 * @local: it is in this instance's data centre
 * @tried: an earlier attempt of this request was sent to it
 * @load: its requests in flight as a multiple of its concurrency limit
 * @latency_ratio: expected ratio of its latency to the typical one, from
 *	mc_replica_health_latency_ratio() and mc_replica_evidence_pace()
 * @hold: how much longer it is probably silent, as a multiple of the time that
 *	the request takes at an idle target
 */
typedef struct mc_replica_candidate_t {
	mc_replica_state_t state;
	bool has_capacity;
	bool draining;
	bool local;
	bool tried;
	double load;
	double latency_ratio;
	double hold;
} mc_replica_candidate_t;

/** MC_REPLICA_NONE - no target can take the request now */
#define MC_REPLICA_NONE UINT32_MAX

/**
 * mc_replica_pick() - Select the target of a request
 * @candidates: targets of the service
 * @count: number of @candidates
 * @at_most_once: the request may run only once and is not used as a probe
 * @random: breaks ties
 *
 * Return: index of the selected candidate, or MC_REPLICA_NONE.
 */
uint32_t mc_replica_pick(const mc_replica_candidate_t *candidates,
			 uint32_t count, bool at_most_once,
			 mc_random_t *random);

#endif
