/*
 * Public header of the replica library: what requests show of a target's
 * health, and which of a service's targets gets the next request. Pure: times
 * and events are passed in.
 */
#ifndef MC_REPLICA_H
#define MC_REPLICA_H

#include "mc/base.h"

/** enum mc_replica_level_t - how far a target can be relied on */
typedef enum mc_replica_state_t {
	MC_REPLICA_HEALTHY,
	/* It was out; one request may find out whether it is good again. */
	MC_REPLICA_PROBE_DUE,
	/* A request has waited long for its answer. */
	MC_REPLICA_UNRESPONSIVE,
	MC_REPLICA_EJECTED,
} mc_replica_state_t;

/** enum mc_replica_fault_t - ways in which a request fails by its target */
typedef enum mc_replica_fault_t {
	/* No connection could be made. */
	MC_REPLICA_FAULT_UNREACHABLE,
	/* The connection broke, or what came was no answer. */
	MC_REPLICA_FAULT_CONNECTION_LOST,
	/* No answer came in a time in which others answer. */
	MC_REPLICA_FAULT_NO_RESPONSE,
	/* It answered that it failed. */
	MC_REPLICA_FAULT_ERROR,
	/* Another target has its address. */
	MC_REPLICA_FAULT_REPLACED,
} mc_replica_fault_t;

/**
 * struct mc_health_t - health of one target; zeroed at the start
 * @slowness: smoothed ratio of its latency to its service's, less 1
 * @failing: smoothed share of requests that failed
 * @faults: faults in a row
 * @unanswered: requests in a row that were given up when they were overdue
 * @out_time: how long it was taken out the last time, ms
 * @out_until: it is out until then, ms; 0 when it is not
 * @unreachable: it is out as no connection could be made
 * @updated: when @slowness was last set, ms
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
 * mc_health_answered() - it answered after @latency, ms
 * @usual: latency that is usual for this kind of request, ms; 0 if unknown
 */
void mc_replica_health_record_success(mc_replica_health_t *health,
				      mc_ms_t latency, double usual,
				      mc_ms_t now);

/**
 * mc_health_waited() - a request was given up after @waited ms
 *
 * Return: true when so many were given up long after others would have been
 * answered that this counts as a fault, MC_REPLICA_NO_ANSWER.
 */
bool mc_replica_health_record_cancel(mc_replica_health_t *health,
				     mc_ms_t waited, double usual, mc_ms_t now);

/**
 * mc_health_failed() - a request failed by its fault
 *
 * Return: true when it is taken out by this.
 */
bool mc_replica_health_record_fault(mc_replica_health_t *health,
				    mc_replica_fault_t fault, mc_ms_t now);

/** mc_health_reached() - a connection was made while it was out */
void mc_replica_health_record_connect(mc_replica_health_t *health);

/** mc_health_probed() - a request goes to it while it is to be probed */
void mc_replica_health_record_probe(mc_replica_health_t *health, mc_ms_t now);

/**
 * mc_health_level() - how far it can be relied on
 * @oldest: how long its oldest request has waited, ms; 0 without one
 * @usual: latency that is usual for its service's requests, ms
 */
mc_replica_state_t mc_replica_health_state(const mc_replica_health_t *health,
					   mc_ms_t oldest, double usual,
					   mc_ms_t now);

/** mc_health_slowness() - ratio of its latency to the usual one, at least 1 */
double mc_replica_health_latency_ratio(const mc_replica_health_t *health,
				       mc_ms_t now);

/**
 * struct mc_candidate_t - a target that could get a request
 * @level: how far it can be relied on
 * @room: it may get one more request now
 * @leaving: it will be gone soon
 * @local: it is in this instance's data centre
 * @tried: this request was sent to it before
 * @load: requests that it has, in units of those that it runs at a time
 * @slowness: from mc_health_slowness()
 */
typedef struct mc_replica_candidate_t {
	mc_replica_state_t state;
	bool has_capacity;
	bool draining;
	bool local;
	bool tried;
	double load;
	double latency_ratio;
} mc_replica_candidate_t;

/** MC_PICK_NONE - no target can get the request now */
#define MC_REPLICA_NONE UINT32_MAX

/**
 * mc_replica_pick() - the target of a request
 * @candidates: targets of the service
 * @count: number of those
 * @careful: the request may run only once, so it finds nothing out
 * @random: breaks ties
 *
 * Return: index, or MC_PICK_NONE.
 */
uint32_t mc_replica_pick(const mc_replica_candidate_t *candidates,
			 uint32_t count, bool careful, mc_random_t *random);

#endif
