/*
 * What changes between two configurations. Each row has an identity and a
 * detail; the rows of a table are sorted by identity and merged.
 */
#include "config_private.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <apr_strings.h>

/* One row: what names it, and what may change. */
typedef struct item_t {
	const char *id;
	const char *detail;
} item_t;

/* One table: how many rows it has and how a row is described. */
typedef struct diff_table_t {
	const char *name;
	uint32_t (*count)(const mc_config_t *config);
	void (*describe)(const mc_config_t *config, mc_row_t row,
			 apr_pool_t *pool, item_t *item);
} diff_table_t;

static uint32_t count_data_centers(const mc_config_t *config)
{
	return config->data_center_count;
}

static void describe_data_center(const mc_config_t *config, mc_row_t row,
				 apr_pool_t *pool, item_t *item)
{
	(void)pool;
	item->id = config->data_centers[row].name;
	item->detail = config->data_centers[row].out_of_service ? "out" : "in";
}

static uint32_t count_services(const mc_config_t *config)
{
	return config->service_count;
}

static void describe_service(const mc_config_t *config, mc_row_t row,
			     apr_pool_t *pool, item_t *item)
{
	item->id = config->services[row].name;
	item->detail = apr_psprintf(pool, "%" PRId64 " ms",
				    config->services[row].deadline);
}

static uint32_t count_layouts(const mc_config_t *config)
{
	return config->layout_count;
}

static void describe_layout(const mc_config_t *config, mc_row_t row,
			    apr_pool_t *pool, item_t *item)
{
	const mc_layout_t *layout = &config->layouts[row];
	size_t room =
		(size_t)layout->shard_count * sizeof("18446744073709551615,");
	char *detail = apr_palloc(pool, room);
	size_t used = 0;
	uint32_t i;

	for (i = 0; i < layout->shard_count; i++)
		used += (size_t)snprintf(detail + used, room - used,
					 "%s%" PRIu64, i ? "," : "",
					 layout->documents[i]);
	item->id = apr_psprintf(pool, "%s/%s",
				config->services[layout->service].name,
				layout->name);
	item->detail = apr_psprintf(pool, "documents %s", detail);
}

static uint32_t count_snapshots(const mc_config_t *config)
{
	return config->snapshot_count;
}

static void describe_snapshot(const mc_config_t *config, mc_row_t row,
			      apr_pool_t *pool, item_t *item)
{
	const mc_snapshot_t *snapshot = &config->snapshots[row];

	item->id = apr_psprintf(pool, "%s/%s",
				config->services[snapshot->service].name,
				snapshot->id);
	item->detail = apr_psprintf(pool, "layout %s order %" PRIu64,
				    config->layouts[snapshot->layout].name,
				    snapshot->order);
}

static uint32_t count_targets(const mc_config_t *config)
{
	return config->target_count;
}

static void describe_target(const mc_config_t *config, mc_row_t row,
			    apr_pool_t *pool, item_t *item)
{
	const mc_target_t *target = &config->targets[row];

	item->id = target->address;
	item->detail = apr_psprintf(
		pool, "%s/%s/%u %s %s", config->services[target->service].name,
		config->layouts[target->layout].name, target->shard,
		config->data_centers[target->data_center].name,
		target->version);
}

static uint32_t count_moves(const mc_config_t *config)
{
	return config->move_count;
}

static void describe_move(const mc_config_t *config, mc_row_t row,
			  apr_pool_t *pool, item_t *item)
{
	const mc_move_t *move = &config->moves[row];

	item->id = config->services[move->service].name;
	item->detail = apr_psprintf(
		pool, "%s to %s start %" PRId64 " done_by %" PRId64 " %s%s",
		move->from, move->to, move->start, move->done_by,
		move->without_evidence == MC_MOVE_FALLBACK_FINISH ? "finish"
								  : "take_back",
		move->taken_back ? " taken back" : "");
}

static const diff_table_t tables[] = {
	{ "data_center", count_data_centers, describe_data_center },
	{ "service", count_services, describe_service },
	{ "layout", count_layouts, describe_layout },
	{ "snapshot", count_snapshots, describe_snapshot },
	{ "target", count_targets, describe_target },
	{ "move", count_moves, describe_move },
};

static int compare_items(const void *a, const void *b)
{
	return strcmp(((const item_t *)a)->id, ((const item_t *)b)->id);
}

static item_t *list_items(const diff_table_t *table, const mc_config_t *config,
			  apr_pool_t *pool)
{
	uint32_t count = table->count(config), i;
	item_t *items = apr_palloc(pool, sizeof(*items) * (count + 1));

	for (i = 0; i < count; i++)
		table->describe(config, i, pool, &items[i]);
	qsort(items, count, sizeof(*items), compare_items);
	items[count] = (item_t){ 0 };
	return items;
}

/* Prints what is in one list only, or in both with another detail. */
static void print_changes(FILE *out, const char *name, const item_t *before,
			  const item_t *after)
{
	while (before->id || after->id) {
		int order = !before->id	 ? 1
			    : !after->id ? -1
					 : strcmp(before->id, after->id);

		if (order < 0)
			fprintf(out, "- %s %s (%s)\n", name, before->id,
				before->detail);
		else if (order > 0)
			fprintf(out, "+ %s %s (%s)\n", name, after->id,
				after->detail);
		else if (strcmp(before->detail, after->detail))
			fprintf(out, "~ %s %s: %s -> %s\n", name, before->id,
				before->detail, after->detail);
		before += order <= 0;
		after += order >= 0;
	}
}

static mc_err_t no_memory(void)
{
	return mc_fail(MC_ERR_NO_MEMORY, "no memory for the differences");
}

static int abort_without_memory(int status)
{
	(void)status;
	abort();
}

static mc_err_t print_tables(const mc_config_t *before,
			     const mc_config_t *after, FILE *out)
{
	apr_pool_t *pool = config_pool_create();
	size_t i;

	if (!pool)
		return no_memory();
	apr_pool_abort_set(abort_without_memory, pool);
	for (i = 0; i < MC_ARRAY_LEN(tables); i++)
		print_changes(out, tables[i].name,
			      list_items(&tables[i], before, pool),
			      list_items(&tables[i], after, pool));
	apr_pool_destroy(pool);
	return MC_OK;
}

mc_err_t mc_config_diff(const mc_config_t *before, const mc_config_t *after,
			char **text)
{
	size_t size;
	FILE *out = open_memstream(text, &size);
	mc_err_t err;

	if (!out)
		return no_memory();
	err = print_tables(before, after, out);
	if (ferror(out) && !err)
		err = no_memory();
	if (fclose(out) && !err)
		err = no_memory();
	if (!err)
		return MC_OK;
	free(*text);
	*text = NULL;
	return err;
}
