/*
 * Chooses the snapshot to pin a query to. Snapshots are tried from the newest
 * to the oldest; the first one that is served completely ends the search.
 */
#include "catalogue.h"

typedef struct {
	uint32_t shards_served;
	uint32_t shards_total;
	uint64_t documents_served;
	uint64_t documents_total;
} coverage_t;

static bool is_shard_served(const mc_catalogue_t *catalogue,
			    const mc_snapshot_target_filter_t *filter,
			    mc_row_t layout, uint32_t shard, uint64_t mask)
{
	const mc_row_t *targets;
	uint32_t i, count;

	targets = mc_config_shard_targets(catalogue->config, layout, shard,
					  &count);
	for (i = 0; i < count; i++)
		if (catalogue->targets[targets[i]].mask & mask &&
		    filter->is_usable(filter->ctx, targets[i]))
			return true;
	return false;
}

static coverage_t measure_coverage(const mc_catalogue_t *catalogue,
				   const mc_snapshot_target_filter_t *filter,
				   mc_row_t snapshot)
{
	mc_row_t row = catalogue->config->snapshots[snapshot].layout;
	const mc_layout_t *layout = &catalogue->config->layouts[row];
	uint64_t mask = UINT64_C(1) << catalogue->bits[snapshot];
	coverage_t coverage = { .shards_total = layout->shard_count };
	uint32_t shard;

	for (shard = 0; shard < layout->shard_count; shard++) {
		coverage.documents_total += layout->documents[shard];
		if (!is_shard_served(catalogue, filter, row, shard, mask))
			continue;
		coverage.shards_served++;
		coverage.documents_served += layout->documents[shard];
	}
	return coverage;
}

static double document_share(const coverage_t *coverage)
{
	if (!coverage->documents_total)
		return 0;
	return (double)coverage->documents_served /
	       (double)coverage->documents_total;
}

mc_err_t mc_catalogue_choose_snapshot(const mc_catalogue_t *catalogue,
				      mc_row_t service,
				      const mc_snapshot_target_filter_t *filter,
				      mc_row_t *snapshot)
{
	double best_share = -1;
	const mc_row_t *rows;
	uint32_t i, count;

	rows = mc_config_service_snapshots(catalogue->config, service, &count);
	for (i = 0; i < count && i < MC_SNAPSHOTS_PER_SERVICE_MAX; i++) {
		coverage_t coverage =
			measure_coverage(catalogue, filter, rows[i]);
		double share = document_share(&coverage);

		if (coverage.shards_served == coverage.shards_total) {
			*snapshot = rows[i];
			return MC_OK;
		}
		if (coverage.shards_served == 0 || share <= best_share)
			continue;
		best_share = share;
		*snapshot = rows[i];
	}
	if (best_share >= 0)
		return MC_OK;
	return mc_fail(MC_ERR_NO_SNAPSHOT,
		       "no usable target serves any snapshot of service %s",
		       catalogue->config->services[service].name);
}
