/*
 * What tests of state that lasts and spreads share: operators' submissions, and
 * what fronts and gathers say of the configuration and of the fleet.
 */
#ifndef FLEET_H
#define FLEET_H

#include "cluster.h"

enum {
	FLEET_OUTPUT_SIZE = 8192,
	FLEET_ID_SIZE = 64,
};

/**
 * struct fleet_submission_t - how a call of "mangocove submit" ended
 * @status: its exit status
 * @version: version that it says it was accepted as, or 0
 * @id: the submission's id, or ""
 * @output: standard output
 */
typedef struct fleet_submission_t {
	int status;
	uint64_t version;
	char id[FLEET_ID_SIZE];
	char output[FLEET_OUTPUT_SIZE];
} fleet_submission_t;

/**
 * fleet_submit_begin() - start "mangocove submit"
 * @cluster: the installation
 * @name: names its files
 * @text: configuration
 *
 * Return: handle for fleet_submit_end().
 */
mc_handle_t fleet_submit_begin(cluster_t *cluster, const char *name,
			       const char *text);

/** fleet_submit_end() - wait for its end */
fleet_submission_t fleet_submit_end(cluster_t *cluster, mc_handle_t process);

/** fleet_query() - "mangocove submit --query ID" */
fleet_submission_t fleet_query(cluster_t *cluster, const char *id);

/**
 * fleet_change() - submit the installation's configuration, which differs from
 * the one before; it must be accepted
 *
 * Return: the version.
 */
uint64_t fleet_change(cluster_t *cluster);

/** fleet_status() - JSON of a front's /v1/status; NULL if it does not answer */
json_t *fleet_status(const cluster_instance_t *instance);

/** fleet_number() - a number of @status by "key" or "key.key" */
json_int_t fleet_number(const json_t *status, const char *path);

/** fleet_metric() - a counter of a front; 0 if it does not answer */
json_int_t fleet_metric(const cluster_instance_t *instance, const char *name);

/** fleet_in_force() - whether @version is in force at all fronts and gathers */
bool fleet_in_force(const cluster_t *cluster, uint64_t version);

/** fleet_wait_in_force() - wait for that; Return: how long it took, ms */
mc_ms_t fleet_wait_in_force(cluster_t *cluster, uint64_t version);

/**
 * fleet_log_version() - the last version that a process put into force
 * @cluster: the installation
 * @role: "front" or "gather"
 * @instance: the instance
 *
 * The test fails if the process ever went back.
 */
uint64_t fleet_log_version(const cluster_t *cluster, const char *role,
			   const cluster_instance_t *instance);

/** fleet_logged() - whether any front or gather has logged @text */
bool fleet_logged(const cluster_t *cluster, const char *text);

/** fleet_kill() - SIGKILL an instance's front and gather */
void fleet_kill(cluster_t *cluster, const cluster_instance_t *instance);

/** fleet_start() - start an instance's front and gather */
void fleet_start(cluster_t *cluster, cluster_instance_t *instance);

#endif
