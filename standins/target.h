/*
 * State of the targets of a stand-in process. Each target has its own lock.
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
 * struct query_t - one sub-query of a request
 * @request: request id
 * @shard: shard
 * @snapshot: snapshot that it asked for
 * @limit: most hits
 * @error: error of its answer, or NULL
 * @canceled: it has no answer
 * @counted: it counts in target_t's in_flight
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
 * struct job_t - a request to /search or /run that has begun
 * @exchange: the request
 * @count: number of @queries; 1 for a run
 * @queries: its sub-queries
 * @key: key of a run, NULL for a search
 * @entry: in target_t's jobs
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
 * struct behaviour_t - what a test can set; see docs/PROTOCOL.md
 * @delay: of each request, microseconds
 * @cold: length of a cold start, microseconds
 * @report_load: load to report; negative for the true one
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

/** struct totals_t - counters that a test reads */
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
 * @start: id of this start
 * @starts: number of starts
 * @cold_until: end of the cold start, microseconds
 * @last_work: when work came last, microseconds
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

/** target_restart() - take a new start id and begin a cold start */
void target_restart(target_t *target);

/** target_load() - load that it reports */
double target_reported_load(const target_t *target);

/** target_chance() - true @percent times in 100 */
bool target_chance(target_t *target, double percent);

/** target_control() - serve /standin */
enum MHD_Result target_serve_control(target_t *target,
				     standin_exchange_t *exchange);

#endif
