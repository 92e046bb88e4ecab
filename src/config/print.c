/*
 * Prints canonical text: tables in a fixed order, rows in sorted order, and
 * every key, including those with default values.
 */
#include "mc/config.h"
#include "mc/toml.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

static void begin_row(FILE *out, const char *table)
{
	fprintf(out, "%s[[%s]]\n", ftell(out) > 0 ? "\n" : "", table);
}

static void print_number(FILE *out, const char *key, uint64_t value)
{
	fprintf(out, "%s = %" PRIu64 "\n", key, value);
}

static void print_data_centers(const mc_config_t *config, FILE *out)
{
	uint32_t i;

	for (i = 0; i < config->data_center_count; i++) {
		const mc_data_center_t *row = &config->data_centers[i];

		begin_row(out, "data_center");
		mc_toml_write_string(out, "name", row->name);
		mc_toml_write_string(out, "state",
				     row->out_of_service ? "out" : "in");
	}
}

static void print_services(const mc_config_t *config, FILE *out)
{
	uint32_t i;

	for (i = 0; i < config->service_count; i++) {
		const mc_service_t *row = &config->services[i];

		begin_row(out, "service");
		mc_toml_write_string(out, "name", row->name);
		print_number(out, "deadline_ms", (uint64_t)row->deadline);
	}
}

static void print_documents(const mc_layout_t *layout, FILE *out)
{
	uint32_t i;

	fputs("documents = [", out);
	for (i = 0; i < layout->shard_count; i++)
		fprintf(out, "%s%" PRIu64, i ? ", " : "", layout->documents[i]);
	fputs("]\n", out);
}

static void print_layouts(const mc_config_t *config, FILE *out)
{
	uint32_t i;

	for (i = 0; i < config->layout_count; i++) {
		const mc_layout_t *row = &config->layouts[i];

		begin_row(out, "layout");
		mc_toml_write_string(out, "service",
				     config->services[row->service].name);
		mc_toml_write_string(out, "name", row->name);
		print_documents(row, out);
	}
}

static void print_snapshots(const mc_config_t *config, FILE *out)
{
	uint32_t i;

	for (i = 0; i < config->snapshot_count; i++) {
		const mc_snapshot_t *row = &config->snapshots[i];

		begin_row(out, "snapshot");
		mc_toml_write_string(out, "service",
				     config->services[row->service].name);
		mc_toml_write_string(out, "id", row->id);
		mc_toml_write_string(out, "layout",
				     config->layouts[row->layout].name);
		print_number(out, "order", row->order);
	}
}

static void print_targets(const mc_config_t *config, FILE *out)
{
	uint32_t i;

	for (i = 0; i < config->target_count; i++) {
		const mc_target_t *row = &config->targets[i];

		begin_row(out, "target");
		mc_toml_write_string(out, "service",
				     config->services[row->service].name);
		mc_toml_write_string(out, "layout",
				     config->layouts[row->layout].name);
		print_number(out, "shard", row->shard);
		mc_toml_write_string(
			out, "data_center",
			config->data_centers[row->data_center].name);
		mc_toml_write_string(out, "version", row->version);
		mc_toml_write_string(out, "address", row->address);
	}
}

static void print_moves(const mc_config_t *config, FILE *out)
{
	uint32_t i;

	for (i = 0; i < config->move_count; i++) {
		const mc_move_t *row = &config->moves[i];

		begin_row(out, "move");
		mc_toml_write_string(out, "service",
				     config->services[row->service].name);
		mc_toml_write_string(out, "from", row->from);
		mc_toml_write_string(out, "to", row->to);
		mc_toml_write_time(out, "start", row->start);
		mc_toml_write_time(out, "done_by", row->done_by);
		mc_toml_write_string(out, "without_evidence",
				     row->without_evidence ==
						     MC_MOVE_FALLBACK_FINISH
					     ? "finish"
					     : "take_back");
		fprintf(out, "taken_back = %s\n",
			row->taken_back ? "true" : "false");
	}
}

mc_err_t mc_config_print(const mc_config_t *config, char **text)
{
	size_t size;
	FILE *out = open_memstream(text, &size);
	bool failed;

	if (!out)
		return mc_fail(
			MC_ERR_NO_MEMORY,
			"out of memory while printing the configuration");
	if (*config->submission)
		mc_toml_write_string(out, "submission", config->submission);
	print_data_centers(config, out);
	print_services(config, out);
	print_layouts(config, out);
	print_snapshots(config, out);
	print_targets(config, out);
	print_moves(config, out);
	failed = ferror(out);
	if (!fclose(out) && !failed)
		return MC_OK;
	free(*text);
	*text = NULL;
	return mc_fail(MC_ERR_NO_MEMORY,
		       "out of memory while printing the configuration");
}
