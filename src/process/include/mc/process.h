/*
 * Public header of the process library, shared by fronts and gathers. The
 * runtime library starts and stops a process and its shards; this library adds
 * a node on the control shard and passes its views to the data shards.
 */
#ifndef MC_PROCESS_H
#define MC_PROCESS_H

#include "mc/runtime.h"
#include "mc/node.h"

typedef struct mc_process_t mc_process_t;

/**
 * struct mc_role_ops_t - functions of a role on a data shard
 * @name: name for logs
 * @role: the role
 * @create_state: creates the role's state of a data shard, before the shard is
 *	started; returns NULL on failure, with an error message set
 * @destroy_state: frees the state, after the threads of all shards have ended
 * @set_view: receives a new view and owns a reference to it; runs on the shard
 * @confirm_view: the last view is still up to date; runs on the shard
 * @drain: a planned stop begins, and each request must be answered by
 *	@answer_by, ms; runs on the shard, and again with an earlier time if the
 *	process has to end sooner
 * @stop_accepting: refuse new requests from now on; runs on the shard, some
 *	time after @drain
 * @count_work: adds what is unfinished to @work; called with the shard's lock
 *	held
 */
typedef struct mc_role_ops_t {
	const char *name;
	mc_role_t role;
	void *(*create_state)(mc_process_t *process, mc_shard_t *shard);
	void (*destroy_state)(void *state);
	void (*set_view)(void *state, const mc_view_t *view);
	void (*confirm_view)(void *state, mc_ms_t now,
			     mc_ms_t config_confirmed_at);
	void (*drain)(void *state, mc_ms_t answer_by);
	void (*stop_accepting)(void *state);
	void (*count_work)(const void *state, mc_runtime_work_t *work);
} mc_role_ops_t;

/**
 * mc_process_run() - Run a process until it is stopped by a signal.
 * @ops: functions of the role; must outlive the process
 * @settings: validated settings
 * @log: log
 *
 * Return: exit status: 0 after a planned stop, 1 if the process could not
 * start.
 */
int mc_process_run(const mc_role_ops_t *ops, const mc_settings_t *settings,
		   mc_log_t *log);

/** mc_process_settings() - Get the settings. */
const mc_settings_t *mc_process_settings(const mc_process_t *process);

/** mc_process_node() - Get the node. */
mc_node_t *mc_process_node(const mc_process_t *process);

/** mc_process_store_api() - Get the operations of the store. */
const mc_store_api_t *mc_process_store_api(const mc_process_t *process);

/** mc_process_shard_count() - Get the number of data shards. */
uint32_t mc_process_shard_count(const mc_process_t *process);

/** mc_process_shard() - Get a data shard by its index. */
mc_shard_t *mc_process_shard(const mc_process_t *process, uint32_t index);

/** mc_process_role_state() - Get the role's state of a data shard. */
void *mc_process_role_state(const mc_process_t *process, uint32_t index);

/**
 * mc_process_caller_socket() - Get the listening socket for callers; -1 in a
 * gather.
 */
int mc_process_caller_socket(const mc_process_t *process);

/**
 * mc_process_sum_counters() - Sum the counters of all shards into @sum, which
 * is overwritten. Any thread may call it.
 */
void mc_process_sum_counters(const mc_process_t *process, mc_counters_t *sum);

/**
 * mc_process_listen_for_peers() - Accept control messages from peers on the
 * control shard.
 * @process: the process
 * @address: "IP:port" to listen on
 *
 * For a process whose data shards do not listen for peers themselves.
 *
 * Return: MC_OK or the error of the listening socket.
 */
mc_err_t mc_process_listen_for_peers(mc_process_t *process,
				     const char *address);

#endif
