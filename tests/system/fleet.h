/*
 * Helpers for tests of the configuration and the fleet: operators' submissions,
 * and the configuration that fronts and gathers report as active.
 */
#ifndef FLEET_H
#define FLEET_H

#include "cluster.h"

enum {
	FLEET_OUTPUT_SIZE = 8192,
	FLEET_ID_SIZE = 64,
};

/**
 * struct fleet_submit_result_t - result of a call of "mangocove submit"
 * @status: exit status
 * @version: version as which the submission was accepted; 0 if it was not
 * @id: id of the submission; "" if none was printed
 * @output: standard output, zero-terminated
 */
typedef struct fleet_submit_result_t {
	int status;
	uint64_t version;
	char id[FLEET_ID_SIZE];
	char output[FLEET_OUTPUT_SIZE];
} fleet_submit_result_t;

/**
 * fleet_submit_start() - Start "mangocove submit" with a configuration
 * @cluster: the installation
 * @name: prefix of the names of the configuration file and the log file
 * @text: configuration
 *
 * Return: process, to be finished with fleet_submit_wait().
 */
mc_handle_t fleet_submit_start(cluster_t *cluster, const char *name,
			       const char *text);

/** fleet_submit_wait() - Wait until a submission exits and parse its output */
fleet_submit_result_t fleet_submit_wait(cluster_t *cluster,
					mc_handle_t process);

/**
 * fleet_query_submission() - Run "mangocove submit --query ID" and parse its
 * output
 */
fleet_submit_result_t fleet_query_submission(cluster_t *cluster,
					     const char *id);

/**
 * fleet_submit_change() - Submit a configuration that differs from the previous
 * one
 * @cluster: the installation; its number of snapshots is set to 1 or 2
 *
 * Fails the test if the configuration is not accepted.
 *
 * Return: the version of the configuration.
 */
uint64_t fleet_submit_change(cluster_t *cluster);

/**
 * fleet_status() - Read /v1/status of a front
 * @instance: the instance
 *
 * Return: the JSON, owned by the caller; NULL if the status is not 200.
 */
json_t *fleet_status(const cluster_instance_t *instance);

/** fleet_status_number() - Return the number at @path, "key" or "key.key" */
json_int_t fleet_status_number(const json_t *status, const char *path);

/** fleet_front_metric() - Read a metric of a front; 0 if it is unavailable */
json_int_t fleet_front_metric(const cluster_instance_t *instance,
			      const char *name);

/**
 * fleet_is_config_active() - Check whether all fronts and gathers use a
 * configuration
 * @cluster: the installation
 * @version: version of the configuration
 *
 * Return: whether each of them uses @version or a later version.
 */
bool fleet_is_config_active(const cluster_t *cluster, uint64_t version);

/**
 * fleet_wait_config_active() - Wait until fleet_is_config_active() returns true
 * @cluster: the installation
 * @version: version of the configuration
 *
 * Return: duration of the wait, ms.
 */
mc_ms_t fleet_wait_config_active(cluster_t *cluster, uint64_t version);

/**
 * fleet_last_logged_version() - Return the last configuration version in a log
 * @cluster: the installation
 * @role: "front" or "gather"
 * @instance: the instance whose process of this role wrote the log
 *
 * Fails the test if a version in the log is not above the one before it.
 *
 * Return: the version; 0 if the log has none.
 */
uint64_t fleet_last_logged_version(const cluster_t *cluster, const char *role,
				   const cluster_instance_t *instance);

/**
 * fleet_log_contains() - Return whether the log of a front or gather has @text
 */
bool fleet_log_contains(const cluster_t *cluster, const char *text);

/**
 * fleet_kill_instance() - Send SIGKILL to the front and gather of an instance
 */
void fleet_kill_instance(cluster_t *cluster,
			 const cluster_instance_t *instance);

/** fleet_start_instance() - Start the gather and front of an instance */
void fleet_start_instance(cluster_t *cluster, cluster_instance_t *instance);

#endif
