/*
 * A trial measures one variant: it starts an installation, applies a warm-up
 * load that is not measured, then the measured load, and collects the answers,
 * the resource usage of the processes and the counters of the targets.
 */
#ifndef BENCH_TRIAL_H
#define BENCH_TRIAL_H

#include "cluster.h"
#include "load.h"
#include "result.h"

struct trial_t;

/** trial_hook_fn_t - action before or during the load; may block */
typedef void (*trial_hook_fn_t)(struct trial_t *trial);

/**
 * struct trial_t - parameters of a trial
 * @scenario: name of the scenario
 * @variant: name of the variant
 * @policy: lines of the settings table [policy]; NULL for defaults
 * @log_level: log level of fronts and gathers; NULL for "warning"
 * @data_centers: number of data centres; 0 for 2
 * @instances: instances per data centre; 0 for 2
 * @shards: shards of the service; 0 for 50
 * @replicas: replicas of a shard in each data centre; 0 for 1
 * @targets_per_process: targets that one process serves; 0 for 10
 * @target_behaviour: JSON body that sets the behaviour of all targets; NULL for
 *	a delay of 5 ms
 * @target_capacity: concurrent sub-queries that @target_behaviour lets a target
 *	execute; 0 for no limit
 * @search_rate: searches per second; 0 to measure an idle installation
 * @run_rate: runs per second
 * @duration_s: length of the load, s
 * @class_percent: percentage of searches in each class; all zero for class
 *	"interactive" only
 * @before_load: called before the warm-up load; NULL for none
 * @during_load: called while the measured load runs; NULL for none
 * @cluster: the running installation, set by trial_run() for the hooks
 * @killed_shard: set by @during_load to the shard of a target that it killed;
 *	-1 for none
 * @ctx: context of the hooks
 */
typedef struct trial_t {
	const char *scenario;
	const char *variant;
	const char *policy;
	const char *log_level;
	uint32_t data_centers;
	uint32_t instances;
	uint32_t shards;
	uint32_t replicas;
	uint32_t targets_per_process;
	const char *target_behaviour;
	json_int_t target_capacity;
	double search_rate;
	double run_rate;
	double duration_s;
	uint32_t class_percent[LOAD_CLASS_COUNT];
	trial_hook_fn_t before_load;
	trial_hook_fn_t during_load;
	cluster_t *cluster;
	int killed_shard;
	void *ctx;
} trial_t;

/**
 * trial_run() - Run a trial and fill its row.
 * @trial: the parameters
 * @result: receives the figures
 *
 * Ends the program if the installation or the load can't be started.
 */
void trial_run(trial_t *trial, result_t *result);

/** trial_sleep() - Sleep for @seconds. */
void trial_sleep(double seconds);

#endif
