/*
 * Lists the differences between two configurations. Each row is described by
 * an identity and its remaining values; the rows of both tables are sorted by
 * identity and merged.
 */
#include "config_private.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <apr_strings.h>

/* One row: the values that identify it, and those that may change. */
typedef struct diff_entry_t {
	const char *id;
	const char *detail;
} diff_entry_t;

/* One table: functions to count its rows and to describe one of them. */
typedef struct diff_table_t {
	const char *name;
	uint32_t (*count)(const mc_config_t *config);
	void (*describe)(const mc_config_t *config, mc_row_t row,
			 apr_pool_t *pool, diff_entry_t *entry);
} diff_table_t;

static uint32_t count_data_centers(const mc_config_t *config)
{
	return config->data_center_count;
}

static void describe_data_center(const mc_config_t *config, mc_row_t row,
				 apr_pool_t *pool, diff_entry_t *entry)
{
	(void)pool;
	entry->id = config->data_centers[row].name;
	entry->detail = config->data_centers[row].out_of_service ? "out" : "in";
}

static uint32_t count_services(const mc_config_t *config)
{
	return config->service_count;
}

static void describe_service(const mc_config_t *config, mc_row_t row,
			     apr_pool_t *pool, diff_entry_t *entry)
{
	entry->id = config->services[row].name;
	entry->detail = apr_psprintf(pool, "%" PRId64 " ms",
				     config->services[row].deadline);
}

static uint32_t count_layouts(const mc_config_t *config)
{
	return config->layout_count;
}

static void describe_layout(const mc_config_t *config, mc_row_t row,
			    apr_pool_t *pool, diff_entry_t *entry)
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
	entry->id = apr_psprintf(pool, "%s/%s",
				 config->services[layout->service].name,
				 layout->name);
	entry->detail = apr_psprintf(pool, "documents %s", detail);
}

static uint32_t count_snapshots(const mc_config_t *config)
{
	return config->snapshot_count;
}

static void describe_snapshot(const mc_config_t *config, mc_row_t row,
			      apr_pool_t *pool, diff_entry_t *entry)
{
	const mc_snapshot_t *snapshot = &config->snapshots[row];

	entry->id = apr_psprintf(pool, "%s/%s",
				 config->services[snapshot->service].name,
				 snapshot->id);
	entry->detail = apr_psprintf(pool, "layout %s order %" PRIu64,
				     config->layouts[snapshot->layout].name,
				     snapshot->order);
}

static uint32_t count_targets(const mc_config_t *config)
{
	return config->target_count;
}

static void describe_target(const mc_config_t *config, mc_row_t row,
			    apr_pool_t *pool, diff_entry_t *entry)
{
	const mc_target_t *target = &config->targets[row];

	entry->id = target->address;
	entry->detail = apr_psprintf(
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
			  apr_pool_t *pool, diff_entry_t *entry)
{
	const mc_move_t *move = &config->moves[row];

	entry->id = config->services[move->service].name;
	entry->detail = apr_psprintf(
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

static int compare_entries(const void *a, const void *b)
{
	return strcmp(((const diff_entry_t *)a)->id,
		      ((const diff_entry_t *)b)->id);
}

static diff_entry_t *list_entries(const diff_table_t *table,
				  const mc_config_t *config, apr_pool_t *pool)
{
	uint32_t count = table->count(config), i;
	diff_entry_t *entries =
		apr_palloc(pool, sizeof(*entries) * (count + 1));

	for (i = 0; i < count; i++)
		table->describe(config, i, pool, &entries[i]);
	qsort(entries, count, sizeof(*entries), compare_entries);
	entries[count] = (diff_entry_t){ 0 };
	return entries;
}

/* Prints rows that are in one list only or whose detail differs. */
static void print_changes(FILE *out, const char *name,
			  const diff_entry_t *before, const diff_entry_t *after)
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

static mc_err_t fail_out_of_memory(void)
{
	return mc_fail(MC_ERR_NO_MEMORY,
		       "out of memory while comparing configurations");
}

static int abort_on_out_of_memory(int status)
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
		return fail_out_of_memory();
	apr_pool_abort_set(abort_on_out_of_memory, pool);
	for (i = 0; i < MC_ARRAY_LEN(tables); i++)
		print_changes(out, tables[i].name,
			      list_entries(&tables[i], before, pool),
			      list_entries(&tables[i], after, pool));
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
		return fail_out_of_memory();
	err = print_tables(before, after, out);
	if (ferror(out) && !err)
		err = fail_out_of_memory();
	if (fclose(out) && !err)
		err = fail_out_of_memory();
	if (!err)
		return MC_OK;
	free(*text);
	*text = NULL;
	return err;
}
