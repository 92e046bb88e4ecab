/*
 * Public header of the host library: the life of a process. A host has a
 * control shard and a fixed number of data shards, each with a state of the
 * role's. It runs until SIGTERM or SIGINT and then stops without cutting a
 * request in flight.
 */
#ifndef MC_RUNTIME_H
#define MC_RUNTIME_H

#include "mc/net.h"

enum {
	MC_RUNTIME_SHARDS_MAX = 64,
};

typedef struct mc_runtime_t mc_runtime_t;

/**
 * struct mc_host_ops_t - what a role does in its process
 * @name: name for logs
 * @open: called before any shard runs, after all are made
 * @closed: free what @open made; no shard's thread runs any more, but the
 *	control shard is still there
 * @create: state of a data shard that is not started yet; NULL with a last
 *	message
 * @destroy: free the state; no shard's thread runs any more
 * @leave: a planned stop begins; on the main thread; may be NULL
 * @drain: a planned stop begins; on each data shard
 * @close: take no more new work; on each data shard, some time after @drain
 * @idle: nothing is in flight; called with the data shard's lock held
 * @reload: SIGHUP came; on the main thread; may be NULL
 * @check: called about every second on the main thread; may be NULL
 */
typedef struct mc_runtime_ops_t {
	const char *name;
	mc_err_t (*init)(void *role, mc_runtime_t *host);
	void (*cleanup)(void *role);
	void *(*create_state)(void *role, mc_runtime_t *host,
			      mc_shard_t *shard);
	void (*destroy_state)(void *state);
	void (*begin_shutdown)(void *role);
	void (*drain)(void *state);
	void (*stop_accepting)(void *state);
	bool (*is_idle)(void *state);
	void (*reload)(void *role);
	void (*tick)(void *role);
} mc_runtime_ops_t;

/**
 * struct mc_host_params_t - what a host is made from
 * @ops: the role's functions; must outlive the host
 * @role: passed to them
 * @shards: number of data shards
 * @seed: of random choices
 * @log: log
 * @grace: time for a planned stop, ms
 * @notice: time from its begin until no more new work is taken, ms
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
 * mc_host_block_signals() - let signals wait for mc_host_run()
 *
 * For the begin of main(): one that comes earlier would end the process.
 */
void mc_runtime_block_signals(void);

/**
 * mc_host_run() - run a process until it is told to stop
 *
 * Return: MC_OK after a planned stop, else an error when it could not start.
 */
mc_err_t mc_runtime_run(const mc_runtime_params_t *params);

/** mc_host_control() - the control shard */
mc_shard_t *mc_runtime_control_shard(const mc_runtime_t *host);

/** mc_host_shard_count() - number of data shards */
uint32_t mc_runtime_shard_count(const mc_runtime_t *host);

/** mc_host_shard() - data shard @index */
mc_shard_t *mc_runtime_shard(const mc_runtime_t *host, uint32_t index);

/** mc_host_state() - the role's state of the data shard @index; or NULL */
void *mc_runtime_shard_state(const mc_runtime_t *host, uint32_t index);

/** mc_host_counters() - sum over all shards; any thread */
void mc_runtime_sum_counters(const mc_runtime_t *host, mc_counters_t *sum);

#endif
