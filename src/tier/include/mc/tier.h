/*
 * Public header of the tier library: a role that serves callers and faces
 * targets itself, in one process per instance. Requests go by the operators'
 * map to targets that have registered themselves; a request that asks several
 * services is merged from their records.
 */
#ifndef MC_TIER_H
#define MC_TIER_H

#include "mc/tier_protocol.h"
#include "mc/settings.h"
#include "mc/source.h"

/**
 * struct mc_tier_params_t - what a tier is made from
 * @dialect: how callers and targets speak
 * @source: where it learns of the map and of targets
 * @settings_path: settings file, read anew when it changes
 * @log: log
 */
typedef struct mc_tier_params_t {
	const mc_tier_protocol_t *protocol;
	const mc_source_ops_t *source;
	const char *settings_path;
	mc_log_t *log;
} mc_tier_params_t;

/**
 * mc_tier_run() - run until told to stop
 * @settings: checked settings
 *
 * Return: exit status: 0 after a planned stop, 1 when it could not start.
 */
int mc_tier_run(const mc_tier_params_t *params, const mc_settings_t *settings);

#endif
