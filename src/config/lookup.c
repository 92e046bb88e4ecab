/*
 * Lookups and their indexes, which are built once. Rows are sorted, so names
 * are found by binary search and lists of rows are parts of one sequence.
 */
#include "config_private.h"

#include <stdlib.h>
#include <string.h>

typedef const char *(*name_at_t)(const mc_config_t *config, mc_row_t row);

static const char *data_center_name(const mc_config_t *config, mc_row_t row)
{
	return config->data_centers[row].name;
}

static const char *service_name(const mc_config_t *config, mc_row_t row)
{
	return config->services[row].name;
}

static mc_row_t find_name(const mc_config_t *config, uint32_t count,
			  name_at_t name_at, const char *name)
{
	uint32_t low = 0, high = count;

	while (low < high) {
		uint32_t middle = low + (high - low) / 2;
		int order = strcmp(name, name_at(config, middle));

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
	return find_name(config, config->service_count, service_name, name);
}

mc_row_t mc_config_find_data_center(const mc_config_t *config, const char *name)
{
	return find_name(config, config->data_center_count, data_center_name,
			 name);
}

mc_row_t mc_config_find_target(const mc_config_t *config, uint64_t key)
{
	const mc_row_t *by_key = config_whole(config)->index.by_key;
	uint32_t low = 0, high = config->target_count;

	while (low < high) {
		uint32_t middle = low + (high - low) / 2;
		uint64_t found = config->targets[by_key[middle]].key;

		if (found == key)
			return by_key[middle];
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
	const config_index_t *index = &config_whole(config)->index;
	const uint32_t *first =
		&index->shard_first[index->layout_shards[layout] + shard];

	*count = first[1] - first[0];
	return index->rows + first[0];
}

const mc_row_t *mc_config_service_snapshots(const mc_config_t *config,
					    mc_row_t service, uint32_t *count)
{
	const config_index_t *index = &config_whole(config)->index;
	const uint32_t *first = &index->service_first[service];

	*count = first[1] - first[0];
	return index->rows + first[0];
}

mc_row_t mc_config_service_move(const mc_config_t *config, mc_row_t service)
{
	return config_whole(config)->index.service_move[service];
}

static int compare_keys(const void *a, const void *b, void *ctx)
{
	const mc_config_t *config = ctx;
	uint64_t first = config->targets[*(const mc_row_t *)a].key;
	uint64_t second = config->targets[*(const mc_row_t *)b].key;

	return (first > second) - (first < second);
}

/* An array of @count numbers and one more, so that none is empty. */
static uint32_t *new_numbers(config_whole_t *whole, uint32_t count)
{
	return apr_pcalloc(whole->pool, sizeof(uint32_t) * (count + 1));
}

static uint32_t *new_rows(config_whole_t *whole, uint32_t count)
{
	uint32_t *rows = new_numbers(whole, count);
	uint32_t i;

	for (i = 0; rows && i < count; i++)
		rows[i] = i;
	return rows;
}

static uint32_t *index_layouts(config_whole_t *whole, uint32_t *shards)
{
	const mc_config_t *config = &whole->config;
	uint32_t *first = new_numbers(whole, config->layout_count);
	uint32_t i;

	*shards = 0;
	for (i = 0; first && i < config->layout_count; i++) {
		first[i] = *shards;
		*shards += config->layouts[i].shard_count;
	}
	return first;
}

/* Turns counts, each one place to the right, into positions. */
static void sum_up(uint32_t *first, uint32_t count)
{
	uint32_t i;

	for (i = 0; i < count; i++)
		first[i + 1] += first[i];
}

static uint32_t *index_shards(config_whole_t *whole,
			      const uint32_t *layout_shards, uint32_t shards)
{
	const mc_config_t *config = &whole->config;
	uint32_t *first = new_numbers(whole, shards);
	uint32_t i;

	if (!first)
		return NULL;
	for (i = 0; i < config->target_count; i++) {
		const mc_target_t *target = &config->targets[i];

		first[layout_shards[target->layout] + target->shard + 1]++;
	}
	sum_up(first, shards);
	return first;
}

static uint32_t *index_snapshots(config_whole_t *whole)
{
	const mc_config_t *config = &whole->config;
	uint32_t *first = new_numbers(whole, config->service_count);
	uint32_t i;

	if (!first)
		return NULL;
	for (i = 0; i < config->snapshot_count; i++)
		first[config->snapshots[i].service + 1]++;
	sum_up(first, config->service_count);
	return first;
}

static mc_row_t *index_moves(config_whole_t *whole)
{
	const mc_config_t *config = &whole->config;
	mc_row_t *moves = new_numbers(whole, config->service_count);
	uint32_t i;

	if (!moves)
		return NULL;
	for (i = 0; i < config->service_count; i++)
		moves[i] = MC_ROW_NONE;
	for (i = 0; i < config->move_count; i++)
		moves[config->moves[i].service] = i;
	return moves;
}

mc_err_t config_index_build(config_whole_t *whole)
{
	mc_config_t *config = &whole->config;
	uint32_t *by_key = new_rows(whole, config->target_count);
	uint32_t longest = config->target_count > config->snapshot_count
				   ? config->target_count
				   : config->snapshot_count;
	uint32_t shards;
	uint32_t *layout_shards = index_layouts(whole, &shards);

	if (!by_key || !layout_shards)
		return mc_fail(MC_ERR_NO_MEMORY, "no memory for indexes");
	qsort_r(by_key, config->target_count, sizeof(*by_key), compare_keys,
		config);
	whole->index = (config_index_t){
		.rows = new_rows(whole, longest),
		.by_key = by_key,
		.layout_shards = layout_shards,
		.shard_first = index_shards(whole, layout_shards, shards),
		.service_first = index_snapshots(whole),
		.service_move = index_moves(whole),
	};
	if (!whole->index.rows || !whole->index.shard_first ||
	    !whole->index.service_first || !whole->index.service_move)
		return mc_fail(MC_ERR_NO_MEMORY, "no memory for indexes");
	return MC_OK;
}
