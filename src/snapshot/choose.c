/*
 * Chooses the snapshot that a query pins. Snapshots are tried from the newest
 * on; the first one that is served whole ends the search.
 */
#include "catalogue.h"

typedef struct {
	uint32_t shards_served;
	uint32_t shards_total;
	uint64_t documents_served;
	uint64_t documents_total;
} reach_t;

static bool shard_served(const mc_catalogue_t *catalogue,
			 const mc_snapshot_target_filter_t *usable,
			 mc_row_t layout, uint32_t shard, uint64_t mask)
{
	const mc_row_t *targets;
	uint32_t i, count;

	targets = mc_config_shard_targets(catalogue->config, layout, shard,
					  &count);
	for (i = 0; i < count; i++)
		if (catalogue->targets[targets[i]].mask & mask &&
		    usable->is_usable(usable->ctx, targets[i]))
			return true;
	return false;
}

static reach_t measure_reach(const mc_catalogue_t *catalogue,
			     const mc_snapshot_target_filter_t *usable,
			     mc_row_t snapshot)
{
	mc_row_t row = catalogue->config->snapshots[snapshot].layout;
	const mc_layout_t *layout = &catalogue->config->layouts[row];
	uint64_t mask = UINT64_C(1) << catalogue->bits[snapshot];
	reach_t reach = { .shards_total = layout->shard_count };
	uint32_t shard;

	for (shard = 0; shard < layout->shard_count; shard++) {
		reach.documents_total += layout->documents[shard];
		if (!shard_served(catalogue, usable, row, shard, mask))
			continue;
		reach.shards_served++;
		reach.documents_served += layout->documents[shard];
	}
	return reach;
}

static double share_of_documents(const reach_t *reach)
{
	if (!reach->documents_total)
		return 0;
	return (double)reach->documents_served / (double)reach->documents_total;
}

mc_err_t mc_catalogue_choose_snapshot(const mc_catalogue_t *catalogue,
				      mc_row_t service,
				      const mc_snapshot_target_filter_t *usable,
				      mc_row_t *snapshot)
{
	double best_share = -1;
	const mc_row_t *rows;
	uint32_t i, count;

	rows = mc_config_service_snapshots(catalogue->config, service, &count);
	for (i = 0; i < count && i < MC_SNAPSHOTS_PER_SERVICE_MAX; i++) {
		reach_t reach = measure_reach(catalogue, usable, rows[i]);
		double share = share_of_documents(&reach);

		if (reach.shards_served == reach.shards_total) {
			*snapshot = rows[i];
			return MC_OK;
		}
		if (reach.shards_served == 0 || share <= best_share)
			continue;
		best_share = share;
		*snapshot = rows[i];
	}
	if (best_share >= 0)
		return MC_OK;
	return mc_fail(MC_ERR_NO_SNAPSHOT,
		       "no shard of any snapshot of service %s can be served",
		       catalogue->config->services[service].name);
}
