/*
 * Canonical text: tables in a fixed order, rows as they are sorted, every key
 * written out. Names hold no character that TOML would escape.
 */
#include "mc/config.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

enum {
	MS_PER_SECOND = 1000,
	TIME_SIZE = 32,
};

static void print_time(FILE *out, const char *key, mc_ms_t time)
{
	time_t seconds = (time_t)(time / MS_PER_SECOND);
	char text[TIME_SIZE];
	struct tm parts;

	gmtime_r(&seconds, &parts);
	strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%S", &parts);
	fprintf(out, "%s = %s", key, text);
	if (time % MS_PER_SECOND)
		fprintf(out, ".%03d", (int)(time % MS_PER_SECOND));
	fputs("Z\n", out);
}

static void print_text(FILE *out, const char *key, const char *value)
{
	fprintf(out, "%s = \"%s\"\n", key, value);
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

		fputs("\n[[data_center]]\n", out);
		print_text(out, "name", row->name);
		print_text(out, "state", row->out ? "out" : "in");
	}
}

static void print_services(const mc_config_t *config, FILE *out)
{
	uint32_t i;

	for (i = 0; i < config->service_count; i++) {
		const mc_service_t *row = &config->services[i];

		fputs("\n[[service]]\n", out);
		print_text(out, "name", row->name);
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

		fputs("\n[[layout]]\n", out);
		print_text(out, "service", config->services[row->service].name);
		print_text(out, "name", row->name);
		print_documents(row, out);
	}
}

static void print_snapshots(const mc_config_t *config, FILE *out)
{
	uint32_t i;

	for (i = 0; i < config->snapshot_count; i++) {
		const mc_snapshot_t *row = &config->snapshots[i];

		fputs("\n[[snapshot]]\n", out);
		print_text(out, "service", config->services[row->service].name);
		print_text(out, "id", row->id);
		print_text(out, "layout", config->layouts[row->layout].name);
		print_number(out, "order", row->order);
	}
}

static void print_targets(const mc_config_t *config, FILE *out)
{
	uint32_t i;

	for (i = 0; i < config->target_count; i++) {
		const mc_target_t *row = &config->targets[i];

		fputs("\n[[target]]\n", out);
		print_text(out, "service", config->services[row->service].name);
		print_text(out, "layout", config->layouts[row->layout].name);
		print_number(out, "shard", row->shard);
		print_text(out, "data_center",
			   config->data_centers[row->data_center].name);
		print_text(out, "version", row->version);
		print_text(out, "address", row->address);
	}
}

static void print_moves(const mc_config_t *config, FILE *out)
{
	uint32_t i;

	for (i = 0; i < config->move_count; i++) {
		const mc_move_t *row = &config->moves[i];

		fputs("\n[[move]]\n", out);
		print_text(out, "service", config->services[row->service].name);
		print_text(out, "from", row->from);
		print_text(out, "to", row->to);
		print_time(out, "start", row->start);
		print_time(out, "done_by", row->done_by);
		print_text(out, "without_evidence",
			   row->without_evidence == MC_MOVE_FINISH
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
		return mc_fail(MC_ERR_NO_MEMORY, "no memory for the text");
	if (*config->submission)
		print_text(out, "submission", config->submission);
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
	return mc_fail(MC_ERR_NO_MEMORY, "no memory for the text");
}
