/*
 * Lookups of rows and the indexes that they use, which are built once. Rows
 * are sorted, so names are found by binary search and every list of rows is a
 * slice of one sequence.
 */
#include "config_private.h"

#include <stdlib.h>
#include <string.h>

typedef const char *(*row_name_fn_t)(const mc_config_t *config, mc_row_t row);

static const char *get_data_center_name(const mc_config_t *config, mc_row_t row)
{
	return config->data_centers[row].name;
}

static const char *get_service_name(const mc_config_t *config, mc_row_t row)
{
	return config->services[row].name;
}

static mc_row_t find_name(const mc_config_t *config, uint32_t count,
			  row_name_fn_t row_name, const char *name)
{
	uint32_t low = 0, high = count;

	while (low < high) {
		uint32_t middle = low + (high - low) / 2;
		int order = strcmp(name, row_name(config, middle));

		if (!order)
			return middle;
		if (order < 0)
			high = middle;
		else
			low = middle + 1;
	}
	return MC_ROW_NONE;
}

mc_row_t mc_config_find_service(const mc_config_t *config, const char *name)
{
	return find_name(config, config->service_count, get_service_name, name);
}

mc_row_t mc_config_find_data_center(const mc_config_t *config, const char *name)
{
	return find_name(config, config->data_center_count,
			 get_data_center_name, name);
}

mc_row_t mc_config_find_target(const mc_config_t *config, uint64_t key)
{
	const mc_row_t *targets_by_key =
		config_object_of(config)->index.targets_by_key;
	uint32_t low = 0, high = config->target_count;

	while (low < high) {
		uint32_t middle = low + (high - low) / 2;
		uint64_t found = config->targets[targets_by_key[middle]].key;

		if (found == key)
			return targets_by_key[middle];
		if (key < found)
			high = middle;
		else
			low = middle + 1;
	}
	return MC_ROW_NONE;
}

const mc_row_t *mc_config_shard_targets(const mc_config_t *config,
					mc_row_t layout, uint32_t shard,
					uint32_t *count)
{
	const config_index_t *index = &config_object_of(config)->index;
	const uint32_t *first =
		&index->shard_first_target[index->layout_first_shard[layout] +
					   shard];

	*count = first[1] - first[0];
	return index->rows + first[0];
}

const mc_row_t *mc_config_service_snapshots(const mc_config_t *config,
					    mc_row_t service, uint32_t *count)
{
	const config_index_t *index = &config_object_of(config)->index;
	const uint32_t *first = &index->service_first_snapshot[service];

	*count = first[1] - first[0];
	return index->rows + first[0];
}

mc_row_t mc_config_service_move(const mc_config_t *config, mc_row_t service)
{
	return config_object_of(config)->index.service_move[service];
}

static int compare_keys(const void *a, const void *b, void *ctx)
{
	const mc_config_t *config = ctx;
	uint64_t first = config->targets[*(const mc_row_t *)a].key;
	uint64_t second = config->targets[*(const mc_row_t *)b].key;

	return (first > second) - (first < second);
}

/* Allocates @count + 1 zeroed numbers: one for the end, also if @count is 0. */
static uint32_t *alloc_numbers(config_object_t *object, uint32_t count)
{
	return apr_pcalloc(object->pool, sizeof(uint32_t) * (count + 1));
}

static uint32_t *alloc_row_sequence(config_object_t *object, uint32_t count)
{
	uint32_t *rows = alloc_numbers(object, count);
	uint32_t i;

	for (i = 0; rows && i < count; i++)
		rows[i] = i;
	return rows;
}

static uint32_t *build_layout_index(config_object_t *object, uint32_t *shards)
{
	const mc_config_t *config = &object->config;
	uint32_t *first = alloc_numbers(object, config->layout_count);
	uint32_t i;

	*shards = 0;
	for (i = 0; first && i < config->layout_count; i++) {
		first[i] = *shards;
		*shards += config->layouts[i].shard_count;
	}
	return first;
}

/*
 * Turns counts into start positions. The count of element i is in first[i + 1]
 * and first[0] is 0.
 */
static void accumulate_counts(uint32_t *first, uint32_t count)
{
	uint32_t i;

	for (i = 0; i < count; i++)
		first[i + 1] += first[i];
}

static uint32_t *build_shard_index(config_object_t *object,
				   const uint32_t *layout_first_shard,
				   uint32_t shards)
{
	const mc_config_t *config = &object->config;
	uint32_t *first = alloc_numbers(object, shards);
	uint32_t i;

	if (!first)
		return NULL;
	for (i = 0; i < config->target_count; i++) {
		const mc_target_t *target = &config->targets[i];

		first[layout_first_shard[target->layout] + target->shard + 1]++;
	}
	accumulate_counts(first, shards);
	return first;
}

static uint32_t *build_snapshot_index(config_object_t *object)
{
	const mc_config_t *config = &object->config;
	uint32_t *first = alloc_numbers(object, config->service_count);
	uint32_t i;

	if (!first)
		return NULL;
	for (i = 0; i < config->snapshot_count; i++)
		first[config->snapshots[i].service + 1]++;
	accumulate_counts(first, config->service_count);
	return first;
}

static mc_row_t *build_move_index(config_object_t *object)
{
	const mc_config_t *config = &object->config;
	mc_row_t *moves = alloc_numbers(object, config->service_count);
	uint32_t i;

	if (!moves)
		return NULL;
	for (i = 0; i < config->service_count; i++)
		moves[i] = MC_ROW_NONE;
	for (i = 0; i < config->move_count; i++)
		moves[config->moves[i].service] = i;
	return moves;
}

mc_err_t config_index_build(config_object_t *object)
{
	mc_config_t *config = &object->config;
	uint32_t *targets_by_key =
		alloc_row_sequence(object, config->target_count);
	uint32_t longest = config->target_count > config->snapshot_count
				   ? config->target_count
				   : config->snapshot_count;
	uint32_t shards;
	uint32_t *layout_first_shard = build_layout_index(object, &shards);

	if (!targets_by_key || !layout_first_shard)
		return mc_fail(
			MC_ERR_NO_MEMORY,
			"out of memory while indexing the configuration");
	qsort_r(targets_by_key, config->target_count, sizeof(*targets_by_key),
		compare_keys, config);
	object->index = (config_index_t){
		.rows = alloc_row_sequence(object, longest),
		.targets_by_key = targets_by_key,
		.layout_first_shard = layout_first_shard,
		.shard_first_target =
			build_shard_index(object, layout_first_shard, shards),
		.service_first_snapshot = build_snapshot_index(object),
		.service_move = build_move_index(object),
	};
	if (!object->index.rows || !object->index.shard_first_target ||
	    !object->index.service_first_snapshot ||
	    !object->index.service_move)
		return mc_fail(
			MC_ERR_NO_MEMORY,
			"out of memory while indexing the configuration");
	return MC_OK;
}
