/*
 * State of the targets that a stand-in process serves. Each target has its own
 * lock, which guards all its fields and its jobs.
 */
#ifndef STANDIN_TARGET_H
#define STANDIN_TARGET_H

#include <pthread.h>

#include "mc/base.h"
#include "counts.h"
#include "standin.h"

enum {
	TARGET_NAME_SIZE = 64,
};

/**
 * struct query_t - sub-query of a search, or a run
 * @request: request id
 * @shard: number of the shard to search
 * @snapshot: id of the snapshot to search
 * @limit: largest number of hits in the answer
 * @error: error in the answer; NULL for none
 * @canceled: whether it was canceled, so that no answer is sent
 * @counted: whether it is counted in in_flight of the target
 */
typedef struct query_t {
	char *request;
	json_int_t shard;
	char *snapshot;
	json_int_t limit;
	const char *error;
	bool canceled;
	bool counted;
} query_t;

/**
 * struct job_t - request to /search or /run that is being processed
 * @target: target that received the request
 * @exchange: the request
 * @count: number of @queries; 1 for a run
 * @queries: sub-queries of the search, or the run
 * @key: idempotency key of a run; NULL for a search
 * @entry: entry in the list of jobs of the target
 */
typedef struct job_t {
	struct target_t *target;
	standin_exchange_t *exchange;
	size_t count;
	query_t *queries;
	char *key;
	TAILQ_ENTRY(job_t) entry;
} job_t;

TAILQ_HEAD(jobs_t, job_t);

/**
 * struct behaviour_t - settings of a target by /standin; see docs/PROTOCOL.md
 * @delay_us: duration of each request, microseconds
 * @delay_factor: factor applied to @delay_us for slow requests
 * @slow_percent: percentage of requests that are slow
 * @capacity: largest number of sub-queries and runs in flight; 0 for no limit
 * @shed: whether requests beyond the capacity are rejected; if not, they are
 *	only counted
 * @cold_start_us: duration of a cold start, microseconds
 * @cold_capacity: as @capacity, during a cold start
 * @fail_search_percent: percentage of sub-queries that fail
 * @fail_run_percent: percentage of runs that are executed but answered with an
 *	error
 * @drop_run: whether runs are executed without a response
 * @draining: whether the target reports that it is draining, and rejects runs
 * @reported_load: load to report; negative reports the real load
 * @down: whether requests, except those to /standin, get their connection
 *	closed without a response
 * @version: version to report
 * @echo_snapshot: snapshot id in all answers; "" echoes that of the sub-query
 */
typedef struct behaviour_t {
	int64_t delay_us;
	double delay_factor;
	double slow_percent;
	json_int_t capacity;
	bool shed;
	int64_t cold_start_us;
	json_int_t cold_capacity;
	double fail_search_percent;
	double fail_run_percent;
	bool drop_run;
	bool draining;
	double reported_load;
	bool down;
	char version[TARGET_NAME_SIZE];
	char echo_snapshot[TARGET_NAME_SIZE];
} behaviour_t;

/**
 * struct totals_t - counters of a target since the start of the process
 * @search_requests: requests to /search
 * @queries: sub-queries received
 * @runs: runs executed
 * @sheds: sub-queries and runs rejected for lack of capacity
 * @over_capacity: sub-queries and runs received while the target was at its
 *	capacity
 * @cold_over_capacity: those of @over_capacity that came during a cold start
 * @canceled: sub-queries canceled
 * @draining_requests: searches and runs received while draining
 * @max_in_flight: largest number of sub-queries and runs in flight
 */
typedef struct totals_t {
	json_int_t search_requests;
	json_int_t queries;
	json_int_t runs;
	json_int_t sheds;
	json_int_t over_capacity;
	json_int_t cold_over_capacity;
	json_int_t canceled;
	json_int_t draining_requests;
	json_int_t max_in_flight;
} totals_t;

/**
 * struct target_t - one target
 * @lock: guards all fields
 * @port: port that the target listens on
 * @start_id: id of the latest start, unique for each start
 * @start_count: number of starts, simulated ones included
 * @cold_start_end: end of the cold start, as standin_now_us(); microseconds
 * @last_request_time: time of the last search or run, as standin_now_us();
 *	microseconds
 * @behaviour: settings by /standin
 * @snapshots: JSON array of the ids of the snapshots that the target has
 * @in_flight: number of sub-queries and runs in flight
 * @totals: counters
 * @jobs: requests that are being processed
 * @counts: numbers of admitted sub-queries ("search") and runs ("run") by
 *	request id, and of runs by idempotency key ("key")
 * @random: random generator for target_chance()
 */
typedef struct target_t {
	pthread_mutex_t lock;
	uint16_t port;
	char start_id[TARGET_NAME_SIZE];
	unsigned int start_count;
	int64_t cold_start_end;
	int64_t last_request_time;
	behaviour_t behaviour;
	json_t *snapshots;
	json_int_t in_flight;
	totals_t totals;
	struct jobs_t jobs;
	counts_t counts;
	mc_random_t random;
} target_t;

/** target_restart() - Simulate a restart: new start id and a cold start */
void target_restart(target_t *target);

/**
 * target_reported_load() - Return the load that the target reports
 * @target: the target
 *
 * Return: the load set by the test, else the share of the capacity that is in
 * flight; 0 if there is no limit.
 */
double target_reported_load(const target_t *target);

/** target_chance() - Return true with a probability of @percent in 100 */
bool target_chance(target_t *target, double percent);

/** target_serve_control() - Serve a request to /standin */
enum MHD_Result target_serve_control(target_t *target,
				     standin_exchange_t *exchange);

#endif
