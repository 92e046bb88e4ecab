/*
 * A small installation for the system tests: a platform, targets, and
 * instances with a front and a gather each. Data centre i is named "dcI"; the
 * instances have loopback IP numbers of their own.
 */
#ifndef CLUSTER_H
#define CLUSTER_H

#include "harness.h"

enum {
	CLUSTER_DATA_CENTERS_MAX = 4,
	CLUSTER_INSTANCES_MAX = 32,
	CLUSTER_TARGETS_MAX = 256,
	CLUSTER_ADDRESS_SIZE = 64,
	/* Documents of shard i are i + 1 times this. */
	CLUSTER_DOCUMENTS = 100,
	/* Deadline of callers, ms. */
	CLUSTER_DEADLINE_MS = 3000,
};

/** CLUSTER_SERVICE - the one service of the configuration */
#define CLUSTER_SERVICE "pots"

/**
 * struct cluster_params_t - what to start
 * @name: name of the test
 * @data_centers: number of data centres
 * @instances: instances of each data centre
 * @shards: shards of the service; each has targets in each data centre
 * @policy: lines for the table [policy] of all settings; NULL for none
 * @snapshots: number of snapshots "s1", "s2" ... in the configuration
 * @replicas: targets of a shard in each data centre; 0 means 1
 * @targets_per_process: targets that one process serves; 0 means 1
 * @log_level: log level of fronts and gathers; NULL means "info"
 * @versions: versions "v1", "v2" ... of targets, each of which has a target per
 *	shard and data centre; 0 is 1
 */
typedef struct cluster_params_t {
	const char *name;
	uint32_t data_centers;
	uint32_t instances;
	uint32_t shards;
	const char *policy;
	uint32_t snapshots;
	uint32_t replicas;
	uint32_t targets_per_process;
	const char *log_level;
	uint32_t versions;
} cluster_params_t;

/**
 * struct cluster_target_t - one target
 * @process: its process, which may serve others too
 * @data_center: index of its data centre
 * @shard: its shard
 * @version: 1 for "v1"
 * @url: "http://ADDRESS"
 */
typedef struct cluster_target_t {
	mc_handle_t process;
	uint32_t data_center;
	uint32_t shard;
	uint32_t version;
	char url[HARNESS_URL_SIZE];
} cluster_target_t;

/**
 * struct cluster_instance_t - one instance
 * @front: process of its front
 * @gather: process of its gather
 * @data_center: index of its data centre
 * @ip: its IP number
 * @url: "http://ADDRESS" of its front for callers
 * @callers: that address
 * @front_peer: address where peers reach the front
 * @gather_peer: address where fronts and peers reach the gather
 */
typedef struct cluster_instance_t {
	mc_handle_t front;
	mc_handle_t gather;
	uint32_t data_center;
	char ip[CLUSTER_ADDRESS_SIZE / 2];
	char url[HARNESS_URL_SIZE];
	char callers[CLUSTER_ADDRESS_SIZE];
	char front_peer[CLUSTER_ADDRESS_SIZE];
	char gather_peer[CLUSTER_ADDRESS_SIZE];
} cluster_instance_t;

/**
 * struct cluster_t - a running installation
 * @platform: process of the platform
 * @platform_address: its address
 * @config_version: version of the configuration that was put last
 * @move_start: start of a move from v1 to v2 that cluster_config() adds, ms
 *	since the Unix epoch; 0 for none
 * @move_done_by: when that shall be done, likewise
 * @load: steady load that has begun and not ended; NULL for none
 */
typedef struct cluster_t {
	cluster_params_t params;
	harness_t *harness;
	mc_handle_t platform;
	char platform_address[CLUSTER_ADDRESS_SIZE];
	uint64_t config_version;
	mc_ms_t move_start;
	mc_ms_t move_done_by;
	uint32_t target_count;
	cluster_target_t targets[CLUSTER_TARGETS_MAX];
	uint32_t instance_count;
	cluster_instance_t instances[CLUSTER_INSTANCES_MAX];
	struct cluster_load_state_t *load;
} cluster_t;

/** cluster_create() - nothing is started yet; NULL without memory */
cluster_t *cluster_create(const cluster_params_t *params);

/** cluster_destroy() - kill all processes and free */
void cluster_destroy(cluster_t *cluster);

/** cluster_tear_down() - the same, as cmocka's tear-down of a test */
int cluster_tear_down(void **state);

/** cluster_start() - start all, put the configuration, wait until ready */
void cluster_start(cluster_t *cluster);

/** cluster_start_target() - start again a target that has its own process */
void cluster_start_target(cluster_t *cluster, cluster_target_t *target);
/** cluster_start_platform() - start the platform, again at its old address */
void cluster_start_platform(cluster_t *cluster);

/** cluster_platform() - set the platform's behaviour; its counters */
json_t *cluster_platform(const cluster_t *cluster, const char *body);

/** cluster_start_front() - start an instance's front (again) */
void cluster_start_front(cluster_t *cluster, cluster_instance_t *instance);

/** cluster_start_gather() - start an instance's gather (again) */
void cluster_start_gather(cluster_t *cluster, cluster_instance_t *instance);

/**
 * cluster_config() - text of the configuration
 * @cluster: the installation
 * @out: index of a data centre that is out, or -1
 *
 * Return: to be freed by the caller.
 */
char *cluster_config(const cluster_t *cluster, int out);

/** cluster_put_config() - write the configuration to the platform */
void cluster_put_config(cluster_t *cluster, const char *text);

/** cluster_standin() - set the behaviour of a target */
void cluster_standin(const cluster_target_t *target, const char *body);

/** cluster_standin_all() - set the behaviour of all targets */
void cluster_standin_all(const cluster_t *cluster, const char *body);

/** cluster_counter() - a counter of a target */
json_int_t cluster_counter(const cluster_target_t *target, const char *name);

/** cluster_counter_sum() - a counter, added up over all targets */
json_int_t cluster_counter_sum(const cluster_t *cluster, const char *name);

/** cluster_query() - sum over all targets of a count for "request=" or "key="
 */
json_int_t cluster_query(const cluster_t *cluster, const char *argument,
			 const char *name);

/** cluster_ready() - whether the instance's front says that it is ready */
bool cluster_instance_is_ready(const cluster_instance_t *instance);

/** cluster_search() - a search of the service by an instance's front */
harness_reply_t cluster_search(const cluster_instance_t *instance);

/** cluster_search_begin() - the same in a thread */
harness_call_t *cluster_search_begin(const cluster_instance_t *instance);

/** cluster_begin_within() - a search, or the run of @key, by a deadline, ms */
harness_call_t *cluster_begin_within(const cluster_instance_t *instance,
				     const char *key, mc_ms_t deadline);

/** cluster_platform_count() - set the platform's behaviour; a counter after it
 */
json_int_t cluster_platform_count(const cluster_t *cluster, const char *body,
				  const char *counter);

/** cluster_run() - a request that may run only once */
harness_reply_t cluster_run(const cluster_instance_t *instance,
			    const char *key);

/** cluster_run_begin() - the same in a thread */
harness_call_t *cluster_run_begin(const cluster_instance_t *instance,
				  const char *key);

/** cluster_complete() - whether the reply is an answer with all shards */
bool cluster_complete(const harness_reply_t *reply);

/** cluster_not_run() - whether the reply is an error that says "not run" */
bool cluster_not_run(const harness_reply_t *reply);

/** cluster_error() - kind of the reply's error; "" for none */
const char *cluster_error(const harness_reply_t *reply);

/** cluster_request() - id of the reply's request, in answers and errors */
const char *cluster_request(const harness_reply_t *reply);

/** cluster_wait_complete() - wait until all fronts give complete answers */
void cluster_wait_complete(cluster_t *cluster);

/** cluster_wait_run() - wait until all fronts have had a request run */
void cluster_wait_run(cluster_t *cluster);

/** cluster_wait_working() - wait for work in flight; the target that has it */
cluster_target_t *cluster_wait_working(cluster_t *cluster);

/** cluster_instance_of() - the first instance in the target's data centre */
cluster_instance_t *cluster_instance_of(cluster_t *cluster,
					const cluster_target_t *target);

/**
 * struct cluster_load_t - steady load of callers, and what came of it
 * @cluster: the installation
 * @first: index of the first front that is asked
 * @fronts: number of fronts that are asked in turn
 * @threads: callers, each with one request at a time
 * @pause_ms: wait of a caller between two requests, ms
 * @runs: every second request of a caller is one that may run only once
 * @ready_only: callers leave out a front that says that it is not ready
 * @complete: complete answers, and runs that were answered
 * @partial: answers that name shards as missing
 * @refused: errors
 * @broken: requests whose connection was made but that got no whole answer
 * @unreached: requests without a connection
 * @not_run: errors that say "not run"
 */
typedef struct cluster_load_t {
	cluster_t *cluster;
	uint32_t first;
	uint32_t fronts;
	uint32_t threads;
	uint32_t pause_ms;
	bool runs;
	bool ready_only;
	uint32_t complete;
	uint32_t partial;
	uint32_t refused;
	uint32_t broken;
	uint32_t unreached;
	uint32_t not_run;
	struct cluster_load_state_t *state;
} cluster_load_t;

/** cluster_load_begin() - start the callers; the parameters are set */
void cluster_load_begin(cluster_load_t *load);

/**
 * cluster_load_warm() - start the cluster and the callers
 * @load: its parameters are set
 * @body: behaviour of all targets
 * @answers: answers to wait for
 */
void cluster_load_warm(cluster_load_t *load, const char *body,
		       uint32_t answers);

/** cluster_print_counts() - print a target's counts of work and breaches */
void cluster_print_counts(const cluster_target_t *target, const char *when);

/** cluster_load_drop() - end the callers of a test that has failed */
void cluster_load_abort(cluster_t *cluster);

/** cluster_load_wait() - wait until so many more requests were answered */
void cluster_load_wait(cluster_load_t *load, uint32_t count);

/**
 * cluster_load_end() - end the callers, whose counts are set, and check that
 * no target counts a request that was told to be not run
 */
void cluster_load_end(cluster_load_t *load);

#endif
