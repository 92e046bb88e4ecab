/*
 * Takes reports over from the catalogue of an earlier configuration, in which
 * rows and bits may have been others.
 */
#include "catalogue.h"

#include <string.h>

static bool same_shard(const mc_config_t *config, const mc_target_t *target,
		       const mc_config_t *old_config, const mc_target_t *old)
{
	return target->shard == old->shard &&
	       !strcmp(config->services[target->service].name,
		       old_config->services[old->service].name) &&
	       !strcmp(config->layouts[target->layout].name,
		       old_config->layouts[old->layout].name);
}

/* Reports what @old_target of the earlier catalogue can serve. */
static void carry_target(mc_catalogue_t *catalogue, mc_row_t target,
			 const mc_catalogue_t *previous, mc_row_t old_target)
{
	const mc_config_t *config = previous->config;
	const char *ids[MC_SNAPSHOTS_PER_SERVICE_MAX];
	uint64_t mask = previous->targets[old_target].mask;
	uint32_t i, snapshot_count, count = 0;
	const mc_row_t *rows;

	rows = mc_config_service_snapshots(
		config, config->targets[old_target].service, &snapshot_count);
	for (i = 0; i < snapshot_count && i < MC_SNAPSHOTS_PER_SERVICE_MAX; i++)
		if (mask & UINT64_C(1) << i)
			ids[count++] = config->snapshots[rows[i]].id;
	mc_catalogue_set_served(catalogue, target, ids, count);
}

void mc_catalogue_carry(mc_catalogue_t *catalogue,
			const mc_catalogue_t *previous)
{
	const mc_config_t *config = catalogue->config;
	const mc_config_t *old_config = previous->config;
	mc_row_t target, old;

	for (target = 0; target < config->target_count; target++) {
		old = mc_config_find_target(old_config,
					    config->targets[target].key);
		if (old == MC_ROW_NONE || !previous->targets[old].reported)
			continue;
		if (same_shard(config, &config->targets[target], old_config,
			       &old_config->targets[old]))
			carry_target(catalogue, target, previous, old);
	}
}
