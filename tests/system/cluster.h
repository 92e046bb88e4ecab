/*
 * A small installation for the system tests: the platform stand-in, target
 * stand-ins, and instances with one front and one gather each. Data centre i is
 * named "dcI"; each instance has its own loopback IP address.
 */
#ifndef CLUSTER_H
#define CLUSTER_H

#include "harness.h"

enum {
	CLUSTER_DATA_CENTERS_MAX = 4,
	CLUSTER_INSTANCES_MAX = 32,
	CLUSTER_TARGETS_MAX = 256,
	CLUSTER_ADDRESS_SIZE = 64,
	/* Shard i has (i + 1) times this number of documents. */
	CLUSTER_DOCUMENTS = 100,
	/* Deadline that callers send with their requests, ms. */
	CLUSTER_DEADLINE_MS = 3000,
};

/** CLUSTER_SERVICE - Name of the only service in the configuration */
#define CLUSTER_SERVICE "pots"

/**
 * struct cluster_params_t - size and settings of an installation
 * @name: name of the test
 * @data_centers: number of data centres
 * @instances: number of instances in each data centre
 * @shards: number of shards of the service; each shard has targets in every
 *	data centre
 * @policy: lines for the table [policy] of all settings files; NULL for none
 * @snapshots: number of snapshots "s1", "s2" ... in the configuration
 * @replicas: targets per shard, data centre and version; 0 means 1
 * @targets_per_process: number of targets that one process serves; 0 means 1
 * @log_level: log level of fronts and gathers; NULL means "info"
 * @versions: number of versions "v1", "v2" ... of targets; each version has
 *	@replicas targets per shard and data centre; 0 means 1
 * @grace: time that fronts and gathers have for a planned stop, ms; 0 means
 *	the default of the settings
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
	mc_ms_t grace;
} cluster_params_t;

/**
 * struct cluster_target_t - one target
 * @process: process that serves the target, possibly with other targets
 * @data_center: index of the data centre
 * @shard: number of the shard
 * @version: number of the version; 1 for "v1"
 * @url: "http://IP:PORT" of the target
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
 * @front: process of the front
 * @gather: process of the gather
 * @data_center: index of the data centre
 * @ip: IP address of the instance
 * @url: "http://IP:PORT" where the front serves callers
 * @caller_address: IP:PORT of @url
 * @front_peer_address: IP:PORT where the front accepts connections of peers
 * @gather_peer_address: IP:PORT where the gather accepts connections of fronts
 *	and
 *	peers
 */
typedef struct cluster_instance_t {
	mc_handle_t front;
	mc_handle_t gather;
	uint32_t data_center;
	char ip[CLUSTER_ADDRESS_SIZE / 2];
	char url[HARNESS_URL_SIZE];
	char caller_address[CLUSTER_ADDRESS_SIZE];
	char front_peer_address[CLUSTER_ADDRESS_SIZE];
	char gather_peer_address[CLUSTER_ADDRESS_SIZE];
} cluster_instance_t;

/**
 * struct cluster_t - a running installation
 * @params: parameters of cluster_create()
 * @harness: owner of the processes
 * @platform: process of the platform
 * @platform_address: IP:PORT of the platform; empty before its first start
 * @config_version: version of the configuration that was written last; 0 for
 *	none
 * @move_start: start of a move from v1 to v2 that cluster_format_config() adds
 *	to the
 *	configuration, ms since the Unix epoch; 0 for no move
 * @move_done_by: time by which that move must be done, ms since the Unix epoch
 * @target_count: number of @targets in use
 * @targets: the targets
 * @instance_count: number of @instances in use
 * @instances: the instances
 * @load: state of the running cluster_load_t; NULL for none
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

/**
 * cluster_create() - Create an installation without starting it
 * @params: parameters; copied, but not the strings that they point to
 *
 * Return: the installation, to be freed with cluster_destroy(); NULL if memory
 * runs out.
 */
cluster_t *cluster_create(const cluster_params_t *params);

/** cluster_destroy() - Stop the load, kill all processes and free @cluster */
void cluster_destroy(cluster_t *cluster);

/** cluster_tear_down() - Destroy the cluster @state points to, for cmocka */
int cluster_tear_down(void **state);

/**
 * cluster_start() - Start all processes and wait until all fronts are ready
 * @cluster: the installation
 *
 * Also writes the configuration and the list of instances to the platform.
 */
void cluster_start(cluster_t *cluster);

/**
 * cluster_start_target() - Restart a stopped target on the same port
 * @cluster: the installation
 * @target: the target; it must be the only one of its process
 */
void cluster_start_target(cluster_t *cluster, cluster_target_t *target);

/**
 * cluster_start_platform() - Start or restart the platform
 * @cluster: the installation
 *
 * The kernel chooses the port at the first start; a restart uses it again.
 */
void cluster_start_platform(cluster_t *cluster);

/**
 * cluster_control_platform() - Set the behaviour of the platform stand-in
 * @cluster: the installation
 * @body: JSON of the settings to change
 *
 * Return: JSON object of the platform's counters, owned by the caller.
 */
json_t *cluster_control_platform(const cluster_t *cluster, const char *body);

/** cluster_start_front() - Start or restart the front of @instance */
void cluster_start_front(cluster_t *cluster, cluster_instance_t *instance);

/** cluster_start_gather() - Start or restart the gather of @instance */
void cluster_start_gather(cluster_t *cluster, cluster_instance_t *instance);

/**
 * cluster_format_config() - Format the configuration as TOML
 * @cluster: the installation
 * @out: index of the data centre with state "out"; -1 for none
 *
 * Return: the text, to be freed by the caller.
 */
char *cluster_format_config(const cluster_t *cluster, int out);

/**
 * cluster_put_config() - Write a configuration to the platform
 * @cluster: the installation; its config_version is updated
 * @text: the configuration
 *
 * Fails the test if the stored version is not @cluster->config_version.
 */
void cluster_put_config(cluster_t *cluster, const char *text);

/**
 * cluster_control_target() - Set the behaviour of a target stand-in
 * @target: the target
 * @body: JSON of the settings to change
 */
void cluster_control_target(const cluster_target_t *target, const char *body);

/**
 * cluster_control_all_targets() - Call cluster_control_target() for all targets
 */
void cluster_control_all_targets(const cluster_t *cluster, const char *body);

/** cluster_target_counter() - Read the counter @name of a target */
json_int_t cluster_target_counter(const cluster_target_t *target,
				  const char *name);

/**
 * cluster_target_counter_sum() - Return the sum of a counter over all targets
 */
json_int_t cluster_target_counter_sum(const cluster_t *cluster,
				      const char *name);

/**
 * cluster_execution_count() - Count how often the targets executed one request
 * @cluster: the installation
 * @argument: "request=ID" or "key=KEY", to select by request id or by
 *	idempotency key
 * @name: "search" or "run", the kind of execution to count
 *
 * Return: number of runs, or of sub-queries of a search, over all targets.
 */
json_int_t cluster_execution_count(const cluster_t *cluster,
				   const char *argument, const char *name);

/** cluster_instance_is_ready() - Return whether the front reports ready */
bool cluster_instance_is_ready(const cluster_instance_t *instance);

/**
 * cluster_search() - Send a search to the front of an instance
 * @instance: the instance
 *
 * Return: the reply, to be freed with harness_reply_free().
 */
harness_reply_t cluster_search(const cluster_instance_t *instance);

/** cluster_search_start() - Send a search with harness_http_start() */
harness_call_t *cluster_search_start(const cluster_instance_t *instance);

/**
 * cluster_start_request() - Send a request with a deadline, asynchronously
 * @instance: the instance whose front receives the request
 * @key: idempotency key of a run; NULL sends a search
 * @deadline: deadline sent with the request, ms from now
 *
 * Return: the call, to be finished with harness_http_wait().
 */
harness_call_t *cluster_start_request(const cluster_instance_t *instance,
				      const char *key, mc_ms_t deadline);

/**
 * cluster_send_request() - Send a request with a deadline on a connection
 * @fd: connection to the caller address of @instance, from
 *	raw_connect_address()
 * @instance: the instance whose front receives the request
 * @key: idempotency key of a run; NULL sends a search
 * @deadline: deadline sent with the request, ms from now
 *
 * Return: false if the connection failed.
 */
bool cluster_send_request(int fd, const cluster_instance_t *instance,
			  const char *key, mc_ms_t deadline);

/**
 * cluster_read_reply() - Read the response to cluster_send_request()
 * @fd: the connection
 *
 * Return: the reply, to be freed with harness_reply_free().
 */
harness_reply_t cluster_read_reply(int fd);

/**
 * cluster_platform_counter() - Set the platform's behaviour and read a counter
 * @cluster: the installation
 * @body: as for cluster_control_platform()
 * @counter: name of the counter
 *
 * Return: value of the counter after the change.
 */
json_int_t cluster_platform_counter(const cluster_t *cluster, const char *body,
				    const char *counter);

/**
 * cluster_run() - Send a run, a request that must not be executed twice
 * @instance: the instance whose front receives the request
 * @key: idempotency key
 *
 * Return: the reply, to be freed with harness_reply_free().
 */
harness_reply_t cluster_run(const cluster_instance_t *instance,
			    const char *key);

/** cluster_run_start() - Send a run with harness_http_start() */
harness_call_t *cluster_run_start(const cluster_instance_t *instance,
				  const char *key);

/**
 * cluster_reply_is_complete() - Return whether @reply has answers of all shards
 */
bool cluster_reply_is_complete(const harness_reply_t *reply);

/**
 * cluster_reply_is_not_run() - Return whether @reply is an error marked
 * "not_run"
 */
bool cluster_reply_is_not_run(const harness_reply_t *reply);

/**
 * cluster_reply_error_kind() - Return the error kind of @reply; "" without an
 * error
 */
const char *cluster_reply_error_kind(const harness_reply_t *reply);

/**
 * cluster_reply_request_id() - Return the request id of an answer or error
 * @reply: the reply, which owns the returned string
 *
 * Return: the id, zero-terminated; NULL if @reply has none.
 */
const char *cluster_reply_request_id(const harness_reply_t *reply);

/**
 * cluster_wait_complete_answers() - Wait until a search at each front is
 * complete
 * @cluster: the installation
 */
void cluster_wait_complete_answers(cluster_t *cluster);

/**
 * cluster_wait_successful_runs() - Wait until a run at each front has succeeded
 * @cluster: the installation
 *
 * A run that fails must be reported as not run, else the test fails.
 */
void cluster_wait_successful_runs(cluster_t *cluster);

/**
 * cluster_wait_busy_target() - Wait until a target has requests in flight
 * @cluster: the installation
 *
 * Return: the first such target.
 */
cluster_target_t *cluster_wait_busy_target(cluster_t *cluster);

/**
 * cluster_find_local_instance() - Return the first instance in a target's data
 * centre
 * @cluster: the installation
 * @target: the target
 */
cluster_instance_t *cluster_find_local_instance(cluster_t *cluster,
						const cluster_target_t *target);

/**
 * struct cluster_load_t - steady load of callers and counts of its outcomes
 * @cluster: the installation
 * @first_front: index of the first instance that receives requests
 * @front_count: number of fronts that each caller uses in rotation
 * @caller_count: number of callers; each sends one request at a time
 * @pause_ms: pause of a caller between two requests, ms
 * @include_runs: every second request of a caller is a run instead of a search
 * @skip_unready: callers skip a front that reports not ready
 * @complete: number of complete answers and of successful runs
 * @partial: number of answers that list missing shards
 * @error_replies: number of error responses
 * @connections_lost: number of requests whose connection was established but
 *	that got no
 *	complete response
 * @connect_failures: number of requests for which no connection could be
 *	established
 * @not_run: number of error responses marked "not_run"
 * @state: threads and counts of the running load; NULL after its end
 */
typedef struct cluster_load_t {
	cluster_t *cluster;
	uint32_t first_front;
	uint32_t front_count;
	uint32_t caller_count;
	uint32_t pause_ms;
	bool include_runs;
	bool skip_unready;
	uint32_t complete;
	uint32_t partial;
	uint32_t error_replies;
	uint32_t connections_lost;
	uint32_t connect_failures;
	uint32_t not_run;
	struct cluster_load_state_t *state;
} cluster_load_t;

/**
 * cluster_load_start() - Start the callers
 * @load: the load with its parameters set, the counts zero
 */
void cluster_load_start(cluster_load_t *load);

/**
 * cluster_start_with_load() - Start the installation and the callers
 * @load: the load with its parameters set, the counts zero
 * @body: JSON of the behaviour of all targets
 * @answers: number of responses to wait for before returning
 */
void cluster_start_with_load(cluster_load_t *load, const char *body,
			     uint32_t answers);

/**
 * cluster_print_target_counters() - Print a target's query and overload
 * counters
 * @target: the target
 * @when: label of the line
 */
void cluster_print_target_counters(const cluster_target_t *target,
				   const char *when);

/**
 * cluster_load_abort() - Stop the callers without checks, after a failed test
 * @cluster: the installation; nothing is done if it has no load
 */
void cluster_load_abort(cluster_t *cluster);

/**
 * cluster_load_wait_answered() - Wait until @count more requests got a response
 */
void cluster_load_wait_answered(cluster_load_t *load, uint32_t count);

/**
 * cluster_load_finish() - Stop the callers and check the "not_run" errors
 * @load: the load; receives the counts
 *
 * Fails the test if a target has executed a request whose error was marked
 * "not_run". Up to 100 such requests are checked.
 */
void cluster_load_finish(cluster_load_t *load);

#endif
