/*
 * A trial: an installation of its own, a short load that is not counted, the
 * load that is, and what it cost the processes and the targets.
 */
#ifndef BENCH_TRIAL_H
#define BENCH_TRIAL_H

#include "cluster.h"
#include "load.h"
#include "result.h"

struct trial_t;

/** trial_event_fn_t - what happens while the load runs; may take its time */
typedef void (*trial_event_fn_t)(struct trial_t *trial);

/**
 * struct trial_t - what to try
 * @scenario: name of the scenario
 * @variant: what differs from the other variants
 * @policy: lines of the table [policy]; NULL for defaults
 * @log_level: of fronts and gathers; NULL for "warning"
 * @data_centers: 0 for 2
 * @instances: of each data centre; 0 for 2
 * @shards: 0 for 50
 * @replicas: of a shard in each data centre; 0 for 1
 * @targets_per_process: 0 for 10
 * @behaviour: JSON set at all targets; NULL for the usual delay
 * @bears: what @behaviour lets a target bear; 0 for no limit
 * @rate: searches per second; 0 for an idle installation
 * @runs: runs per second
 * @seconds: length of the load
 * @share: percent of searches of each class; zeros for interactive only
 * @prepare: called before the load, or NULL
 * @event: called while the load runs, or NULL
 * @cluster: the installation, for @prepare and @event
 * @lost: set by @event: shard of a target that was killed; -1 for none
 * @ctx: of @prepare and @event
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
	const char *behaviour;
	json_int_t bears;
	double rate;
	double runs;
	double seconds;
	uint32_t share[LOAD_CLASSES];
	trial_event_fn_t prepare;
	trial_event_fn_t event;
	cluster_t *cluster;
	int lost;
	void *ctx;
} trial_t;

/** trial_run() - run it and fill its row */
void trial_run(trial_t *trial, result_t *result);

/** trial_pause() - wait for @seconds */
void trial_pause(double seconds);

#endif
