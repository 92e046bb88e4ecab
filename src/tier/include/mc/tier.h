/*
 * Public header of the tier library: a role that accepts requests from callers
 * and sends them to targets directly, in one process per instance. The
 * operators' map routes each request to services, whose targets have registered
 * themselves; the response to a request for several services is merged from
 * their records.
 */
#ifndef MC_TIER_H
#define MC_TIER_H

#include "mc/settings.h"
#include "mc/source.h"
#include "mc/tier_protocol.h"
#include "mc/usage_store.h"

/**
 * struct mc_tier_params_t - dependencies of a tier
 * @protocol: the platform's HTTP headers and status codes
 * @source: store client that provides the map and the targets
 * @usage_store: keeps and reports usage; NULL where it is not reported
 * @settings_path: settings file; reloaded when it changes
 * @log: log
 *
 * All are borrowed and must outlive mc_tier_run().
 */
typedef struct mc_tier_params_t {
	const mc_tier_protocol_t *protocol;
	const mc_source_ops_t *source;
	const mc_usage_store_ops_t *usage_store;
	const char *settings_path;
	mc_log_t *log;
} mc_tier_params_t;

/**
 * mc_tier_run() - Run the tier until a planned stop is complete
 * @params: dependencies
 * @settings: validated settings
 *
 * Return: exit status: 0 after a planned stop, 1 if it could not start.
 */
int mc_tier_run(const mc_tier_params_t *params, const mc_settings_t *settings);

#endif
