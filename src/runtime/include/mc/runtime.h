/*
 * Public header of the runtime library: the life cycle of a process. A runtime
 * has a control shard and a fixed number of data shards; the role of the
 * process keeps a state for each data shard. The runtime runs until SIGTERM or
 * SIGINT and then shuts down gracefully: it stops when no request is in flight
 * any more, or when the grace period ends. Each request that it has read gets
 * an answer: those still in flight shortly before the end get an error.
 */
#ifndef MC_RUNTIME_H
#define MC_RUNTIME_H

#include "mc/net.h"

enum {
	MC_RUNTIME_SHARDS_MAX = 64,
};

typedef struct mc_runtime_t mc_runtime_t;

/**
 * struct mc_runtime_work_t - Work that a process has not finished
 * @requests: requests in flight
 * @connections: open connections on which a request may still arrive, or the
 *	end of a response is on its way
 */
typedef struct mc_runtime_work_t {
	uint32_t requests;
	uint32_t connections;
} mc_runtime_work_t;

/**
 * struct mc_runtime_ops_t - Functions of a role
 * @name: name for logs
 * @init: initialize the role; all shards exist, but none runs yet
 * @cleanup: free what @init created; no shard runs any more, but the control
 *	shard still exists
 * @create_state: create the state of a data shard that does not run yet; NULL
 *	with a last message
 * @destroy_state: free the state of a data shard; no shard runs any more
 * @begin_shutdown: a graceful shutdown begins; called on the main thread; may
 *	be NULL
 * @drain: a graceful shutdown begins, and each request must be answered by
 *	@answer_by, ms; called on each data shard, and again with an earlier
 *	time if the process has to end sooner
 * @stop_accepting: accept no new work; called on each data shard, after the
 *	notice period that follows @drain
 * @count_work: add what the data shard has not finished to @work; called with
 *	the shard's lock held
 * @reload: SIGHUP was received; called on the main thread; may be NULL
 * @tick: called about every second on the main thread; may be NULL
 */
typedef struct mc_runtime_ops_t {
	const char *name;
	mc_err_t (*init)(void *role, mc_runtime_t *runtime);
	void (*cleanup)(void *role);
	void *(*create_state)(void *role, mc_runtime_t *runtime,
			      mc_shard_t *shard);
	void (*destroy_state)(void *state);
	void (*begin_shutdown)(void *role);
	void (*drain)(void *state, mc_ms_t answer_by);
	void (*stop_accepting)(void *state);
	void (*count_work)(const void *state, mc_runtime_work_t *work);
	void (*reload)(void *role);
	void (*tick)(void *role);
} mc_runtime_ops_t;

/**
 * struct mc_runtime_params_t - Parameters of a runtime
 * @ops: functions of the role; must outlive the runtime
 * @role: passed to the functions
 * @shard_count: number of data shards
 * @seed: seed of random choices
 * @log: log
 * @grace_period: longest duration of a graceful shutdown, ms
 * @notice_period: time from the start of a graceful shutdown until no new work
 *	is accepted, ms; at most half of @grace_period
 */
typedef struct mc_runtime_params_t {
	const mc_runtime_ops_t *ops;
	void *role;
	uint32_t shard_count;
	uint64_t seed;
	mc_log_t *log;
	mc_ms_t grace_period;
	mc_ms_t notice_period;
} mc_runtime_params_t;

/**
 * mc_runtime_block_signals() - Block the signals that mc_runtime_run() handles
 *
 * Must be called at the start of main(), as a signal that arrives earlier kills
 * the process. SIGPIPE is ignored from then on.
 */
void mc_runtime_block_signals(void);

/**
 * mc_runtime_run() - Run the process until SIGTERM or SIGINT
 *
 * Return: MC_OK after a shutdown; an error when the process could not start.
 */
mc_err_t mc_runtime_run(const mc_runtime_params_t *params);

/** mc_runtime_control_shard() - Get the control shard */
mc_shard_t *mc_runtime_control_shard(const mc_runtime_t *runtime);

/** mc_runtime_shard_count() - Get the number of data shards */
uint32_t mc_runtime_shard_count(const mc_runtime_t *runtime);

/** mc_runtime_shard() - Get the data shard @index */
mc_shard_t *mc_runtime_shard(const mc_runtime_t *runtime, uint32_t index);

/**
 * mc_runtime_shard_state() - Get the role's state of the data shard @index
 *
 * Return: the state; NULL when it does not exist.
 */
void *mc_runtime_shard_state(const mc_runtime_t *runtime, uint32_t index);

/** mc_runtime_sum_counters() - Sum the counters of all shards; any thread */
void mc_runtime_sum_counters(const mc_runtime_t *runtime, mc_counters_t *sum);

#endif
