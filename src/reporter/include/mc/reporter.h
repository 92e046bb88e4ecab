/*
 * Public header of the reporter library: runs on the control shard. It keeps
 * what this instance has counted in the store, and, on the one instance that
 * holds the lease, reports the sum of all instances for each window. It makes
 * no calls before this instance has counted a request.
 */
#ifndef MC_REPORTER_H
#define MC_REPORTER_H

#include "mc/usage_store.h"

typedef struct mc_reporter_t mc_reporter_t;

/**
 * struct mc_reporter_params_t - Parameters of a reporter
 * @shard: the control shard
 * @ops: functions of the platform
 * @store_address: "IP:port" of the store
 * @report_address: "IP:port" to which windows are reported
 * @instance: name of this instance
 * @window_length: length of a window, ms
 * @report_max: a window is due so long after its end, ms
 * @lease_duration: how long a renewal of the lease is valid, ms
 */
typedef struct mc_reporter_params_t {
	mc_shard_t *shard;
	const mc_usage_store_ops_t *ops;
	const char *store_address;
	const char *report_address;
	const char *instance;
	mc_ms_t window_length;
	mc_ms_t report_max;
	mc_ms_t lease_duration;
} mc_reporter_params_t;

/**
 * mc_reporter_create() - Create a reporter; what @params points to is borrowed
 *
 * Return: the reporter, owned by the caller; NULL without memory.
 */
mc_reporter_t *mc_reporter_create(const mc_reporter_params_t *params);

/** mc_reporter_destroy() - Stop and free a reporter; NULL is allowed */
void mc_reporter_destroy(mc_reporter_t *reporter);

/**
 * mc_reporter_count() - Count a request that a target began
 * @reporter: the reporter
 * @customer: name of the customer
 * @began: when it began, ms of the shard's clock
 *
 * Must be called on the control shard.
 */
void mc_reporter_count(mc_reporter_t *reporter, const char *customer,
		       mc_ms_t began);

/** mc_reporter_set_instances() - Set how many instances there are */
void mc_reporter_set_instances(mc_reporter_t *reporter, uint32_t count);

/** mc_reporter_drain() - Write counts as soon as possible from now on, as the
 * process stops */
void mc_reporter_drain(mc_reporter_t *reporter);

#endif
