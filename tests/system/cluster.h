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
} cluster_t;

/** cluster_create() - nothing is started yet; NULL without memory */
cluster_t *cluster_create(const cluster_params_t *params);

/** cluster_destroy() - kill all processes and free */
void cluster_destroy(cluster_t *cluster);

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

#endif
