/*
 * Public header of the discovery library: keeps a registry up to date from a
 * store, on the control shard of a process, and publishes a view whenever the
 * registry has changed. Each kind of record is listed once and then watched.
 * While the store is unavailable, the registry keeps what was last read.
 */
#ifndef MC_DISCOVERY_H
#define MC_DISCOVERY_H

#include "mc/net.h"
#include "mc/replica_evidence.h"
#include "mc/source.h"

typedef struct mc_discovery_t mc_discovery_t;

/**
 * struct mc_discovery_params_t - Parameters of a discovery
 * @shard: the control shard
 * @source: functions that access the store
 * @store_address: "IP:port" of the store
 * @instance_name: name of this instance
 * @data_center: data centre of this instance
 * @relay_address: "IP:port" at which this instance relays store changes to the
 *	other instances of its data centre; "" when every instance reads the
 *	store itself
 * @apply_max: time within which a new route map must be in force, ms
 * @drain_period: how long a target keeps serving after its entry says that it
 *	is draining, ms
 * @rollout_share: share of a service's requests that a version in a roll-out
 *	may get until it is proved
 * @history_period: how long the store keeps its history of changes, ms
 * @publish: called on the control shard with a new view, which the callee must
 *	unref
 * @receive_evidence: called on the control shard with what other instances of
 *the data centre have seen of targets; NULL when that is not used
 * @ctx: passed to @publish and @receive_evidence
 */
typedef struct mc_discovery_params_t {
	mc_shard_t *shard;
	const mc_source_ops_t *source;
	const char *store_address;
	const char *instance_name;
	const char *data_center;
	const char *relay_address;
	mc_ms_t apply_max;
	mc_ms_t drain_period;
	mc_ms_t history_period;
	double rollout_share;
	void (*publish)(void *ctx, const mc_registry_view_t *view);
	void (*receive_evidence)(void *ctx, const mc_replica_report_t *reports,
				 uint32_t count);
	void *ctx;
} mc_discovery_params_t;

/**
 * mc_discovery_create() - Create a discovery, which starts when the shard runs
 * @params: copied
 *
 * Return: the discovery, owned by the caller; NULL without memory or when
 * listening on @relay_address fails.
 */
mc_discovery_t *mc_discovery_create(const mc_discovery_params_t *params);

/** mc_discovery_destroy() - Stop and free a discovery; NULL is allowed */
void mc_discovery_destroy(mc_discovery_t *discovery);

/**
 * mc_discovery_report_outcomes() - Report outcomes of services in a roll-out
 * @discovery: the discovery
 * @outcomes: outcomes since the last report, one row per order and route
 * @count: number of @outcomes
 *
 * Must be called on the control shard.
 */
void mc_discovery_report_outcomes(mc_discovery_t *discovery,
				  const mc_rollout_evidence_t *outcomes,
				  uint32_t count);

/**
 * mc_discovery_send_evidence() - Send reports on targets to the other instances
 *	of the data centre
 * @discovery: the discovery
 * @reports: what was seen; copied
 * @count: number of @reports
 *
 * Must be called on the control shard. From the first call on, even with no
 * reports, this instance receives those of others.
 */
void mc_discovery_send_evidence(mc_discovery_t *discovery,
				const mc_replica_report_t *reports,
				uint32_t count);

#endif
