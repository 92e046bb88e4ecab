/*
 * Public header of the process library: what fronts and gathers have in
 * common beyond the life of a process: a node on the control shard, whose views
 * reach the data shards.
 */
#ifndef MC_PROCESS_H
#define MC_PROCESS_H

#include "mc/runtime.h"
#include "mc/node.h"

typedef struct mc_process_t mc_process_t;

/**
 * struct mc_role_ops_t - what a role does in each data shard
 * @name: name for logs
 * @role: the role
 * @create: state of a data shard that is not started yet; NULL with a last
 *	message
 * @destroy: free the state; no shard's thread runs any more
 * @view: a new view; the state's to unref; on the shard
 * @confirm: the view is still recent; on the shard
 * @drain: a planned stop begins; on the shard
 * @close: take no more new work; on the shard, some time after @drain
 * @idle: nothing is in flight; called with the shard's lock held
 */
typedef struct mc_role_ops_t {
	const char *name;
	mc_role_t role;
	void *(*create)(mc_process_t *process, mc_shard_t *shard);
	void (*destroy)(void *state);
	void (*set_view)(void *state, const mc_view_t *view);
	void (*confirm_view)(void *state, mc_ms_t now,
			     mc_ms_t config_confirmed);
	void (*drain)(void *state);
	void (*close)(void *state);
	bool (*is_idle)(void *state);
} mc_role_ops_t;

/**
 * mc_process_run() - run a process until it is told to stop
 * @ops: the role; must outlive the process
 * @settings: checked settings
 * @log: log
 *
 * Return: exit status: 0 after a planned stop, 1 when it could not start.
 */
int mc_process_run(const mc_role_ops_t *ops, const mc_settings_t *settings,
		   mc_log_t *log);

/** mc_process_settings() - the settings */
const mc_settings_t *mc_process_settings(const mc_process_t *process);

/** mc_process_node() - the node */
mc_node_t *mc_process_node(const mc_process_t *process);

/** mc_process_store() - functions to reach the store */
const mc_store_api_t *mc_process_store_api(const mc_process_t *process);

/** mc_process_shard_count() - number of data shards */
uint32_t mc_process_shard_count(const mc_process_t *process);

/** mc_process_shard() - data shard @index */
mc_shard_t *mc_process_shard(const mc_process_t *process, uint32_t index);

/** mc_process_state() - the role's state of the data shard @index */
void *mc_process_role_state(const mc_process_t *process, uint32_t index);

/** mc_process_callers() - listening socket for callers; -1 in a gather */
int mc_process_caller_socket(const mc_process_t *process);

/** mc_process_counters() - sum over all shards; any thread */
void mc_process_sum_counters(const mc_process_t *process, mc_counters_t *sum);

/**
 * mc_process_listen() - take control messages of peers on a shard
 *
 * For a process whose data shards do not listen for peers themselves.
 */
mc_err_t mc_process_listen_for_peers(mc_process_t *process,
				     const char *address);

#endif
