/*
 * The catalogue's tables: which snapshots each target can serve, by its
 * reports or, before the first one, by its layout.
 */
#include "catalogue.h"

#include <stdlib.h>
#include <string.h>

static uint64_t bit_mask(uint32_t bit)
{
	return bit < MC_SNAPSHOTS_PER_SERVICE_MAX ? UINT64_C(1) << bit : 0;
}

static void number_snapshots(mc_catalogue_t *catalogue)
{
	const mc_config_t *config = catalogue->config;
	uint32_t service, bit, count;

	memset(catalogue->bits, MC_SNAPSHOTS_PER_SERVICE_MAX,
	       config->snapshot_count);
	for (service = 0; service < config->service_count; service++) {
		const mc_row_t *rows;

		rows = mc_config_service_snapshots(config, service, &count);
		for (bit = 0; bit < count && bit < MC_SNAPSHOTS_PER_SERVICE_MAX;
		     bit++)
			catalogue->bits[rows[bit]] = (uint8_t)bit;
	}
}

static void fill_layouts(mc_catalogue_t *catalogue)
{
	const mc_config_t *config = catalogue->config;
	uint32_t i;

	for (i = 0; i < config->snapshot_count; i++)
		catalogue->layouts[config->snapshots[i].layout] |=
			bit_mask(catalogue->bits[i]);
}

static mc_served_t unreported(const mc_catalogue_t *catalogue, mc_row_t target)
{
	mc_row_t layout = catalogue->config->targets[target].layout;

	return (mc_served_t){ .mask = catalogue->layouts[layout] };
}

mc_catalogue_t *mc_catalogue_create(const mc_config_t *config,
				    const mc_catalogue_t *previous)
{
	mc_catalogue_t *catalogue = calloc(1, sizeof(*catalogue));
	uint32_t i;

	if (!catalogue)
		return NULL;
	catalogue->config = mc_config_ref(config);
	catalogue->bits = calloc(config->snapshot_count + 1, 1);
	catalogue->layouts =
		calloc(config->layout_count + 1, sizeof(*catalogue->layouts));
	catalogue->targets =
		calloc(config->target_count + 1, sizeof(*catalogue->targets));
	if (!catalogue->bits || !catalogue->layouts || !catalogue->targets) {
		mc_catalogue_destroy(catalogue);
		return NULL;
	}
	number_snapshots(catalogue);
	fill_layouts(catalogue);
	for (i = 0; i < config->target_count; i++)
		catalogue->targets[i] = unreported(catalogue, i);
	if (previous)
		mc_catalogue_carry(catalogue, previous);
	return catalogue;
}

void mc_catalogue_destroy(mc_catalogue_t *catalogue)
{
	if (!catalogue)
		return;
	free(catalogue->bits);
	free(catalogue->layouts);
	free(catalogue->targets);
	mc_config_unref(catalogue->config);
	free(catalogue);
}

static uint64_t mask_of_id(const mc_catalogue_t *catalogue, mc_row_t service,
			   const char *id)
{
	const mc_config_t *config = catalogue->config;
	const mc_row_t *rows;
	uint32_t i, count;

	rows = mc_config_service_snapshots(config, service, &count);
	for (i = 0; i < count; i++)
		if (!strcmp(config->snapshots[rows[i]].id, id))
			return bit_mask(i);
	return 0;
}

static bool set_served(mc_catalogue_t *catalogue, mc_row_t target,
		       mc_served_t served)
{
	bool changed = catalogue->targets[target].mask != served.mask;

	catalogue->targets[target] = served;
	return changed;
}

bool mc_catalogue_set_served(mc_catalogue_t *catalogue, mc_row_t target,
			     const char *const *ids, uint32_t count)
{
	mc_served_t served = { .reported = true };
	const mc_target_t *row;
	uint32_t i;

	if (target >= catalogue->config->target_count)
		return false;
	row = &catalogue->config->targets[target];
	for (i = 0; i < count; i++)
		served.mask |= mask_of_id(catalogue, row->service, ids[i]);
	served.mask &= catalogue->layouts[row->layout];
	return set_served(catalogue, target, served);
}

void mc_catalogue_reset_served(mc_catalogue_t *catalogue, mc_row_t target)
{
	if (target < catalogue->config->target_count)
		set_served(catalogue, target, unreported(catalogue, target));
}

bool mc_catalogue_serves(const mc_catalogue_t *catalogue, mc_row_t target,
			 mc_row_t snapshot)
{
	const mc_config_t *config = catalogue->config;

	if (target >= config->target_count ||
	    snapshot >= config->snapshot_count ||
	    config->targets[target].service !=
		    config->snapshots[snapshot].service)
		return false;
	return catalogue->targets[target].mask &
	       bit_mask(catalogue->bits[snapshot]);
}
