/*
 * Checks of a whole configuration, once its rows and indexes are built. Each
 * looks at a row or a shard's targets a fixed number of times.
 */
#include "read.h"

#include <string.h>

static const char *service_of(const mc_config_t *config, mc_row_t layout)
{
	return config->services[config->layouts[layout].service].name;
}

static void check_addresses(config_reader_t *reader)
{
	const mc_config_t *config = &reader->whole->config;
	const mc_row_t *by_key = reader->whole->index.by_key;
	uint32_t i;

	for (i = 1; i < config->target_count; i++) {
		mc_row_t row = by_key[i], other = by_key[i - 1];

		if (config->targets[row].key != config->targets[other].key)
			continue;
		config_row_fault(reader, SECTION_TARGET, row, KEY_ADDRESS,
				 "the target of line %u has the same address "
				 "%s; expected another, or remove one of them",
				 reader->raws[SECTION_TARGET].rows[other].line,
				 config->targets[row].address);
	}
}

/* The data centre that leaves a shard without a target, or MC_ROW_NONE. */
static mc_row_t only_out(const mc_config_t *config, const mc_row_t *targets,
			 uint32_t count)
{
	mc_row_t out = MC_ROW_NONE;
	uint32_t i;

	for (i = 0; i < count; i++) {
		mc_row_t row = config->targets[targets[i]].data_center;

		if (!config->data_centers[row].out_of_service)
			return MC_ROW_NONE;
		out = row;
	}
	return out;
}

static void check_shard(config_reader_t *reader, mc_row_t layout,
			uint32_t shard)
{
	const mc_config_t *config = &reader->whole->config;
	const char *name = config->layouts[layout].name;
	const mc_row_t *targets;
	mc_row_t out;
	uint32_t count;

	targets = mc_config_shard_targets(config, layout, shard, &count);
	if (!count) {
		config_row_fault(reader, SECTION_LAYOUT, layout, KEY_DOCUMENTS,
				 "shard %u of layout %s of %s has no target; "
				 "expected at least one, so add a [[target]]",
				 shard, name, service_of(config, layout));
		return;
	}
	out = only_out(config, targets, count);
	if (out != MC_ROW_NONE)
		config_row_fault(reader, SECTION_DATA_CENTER, out, KEY_STATE,
				 "shard %u of layout %s of %s has targets only "
				 "in data centres that are out; expected one "
				 "elsewhere, so add a target or leave %s in",
				 shard, name, service_of(config, layout),
				 config->data_centers[out].name);
}

static void check_shards(config_reader_t *reader)
{
	const mc_config_t *config = &reader->whole->config;
	uint32_t i, shard;

	for (i = 0; i < config->layout_count; i++)
		for (shard = 0; shard < config->layouts[i].shard_count; shard++)
			check_shard(reader, i, shard);
}

/* Checks that ids differ; a service has at most 64 snapshots by then. */
static void check_ids(config_reader_t *reader, const mc_row_t *rows,
		      uint32_t count)
{
	const mc_snapshot_t *snapshots = reader->whole->config.snapshots;
	uint32_t i, j;

	for (i = 0; i < count; i++)
		for (j = 0; j < i; j++)
			if (!strcmp(snapshots[rows[i]].id,
				    snapshots[rows[j]].id))
				config_row_fault(
					reader, SECTION_SNAPSHOT, rows[i],
					KEY_ID,
					"id %s is there twice; expected an id "
					"of its own for each snapshot of a "
					"service",
					snapshots[rows[i]].id);
}

static void check_snapshots(config_reader_t *reader)
{
	const mc_config_t *config = &reader->whole->config;
	const mc_row_t *rows;
	uint32_t i, count;

	for (i = 0; i < config->service_count; i++) {
		rows = mc_config_service_snapshots(config, i, &count);
		if (count <= MC_SNAPSHOTS_PER_SERVICE_MAX) {
			check_ids(reader, rows, count);
			continue;
		}
		config_row_fault(reader, SECTION_SNAPSHOT,
				 rows[MC_SNAPSHOTS_PER_SERVICE_MAX], KEY_NONE,
				 "expected at most %d snapshots of %s, got "
				 "%u; remove the oldest",
				 MC_SNAPSHOTS_PER_SERVICE_MAX,
				 config->services[i].name, count);
	}
}

static bool has_version(const mc_config_t *config, const mc_row_t *targets,
			uint32_t count, const char *version)
{
	uint32_t i;

	for (i = 0; i < count; i++)
		if (!strcmp(config->targets[targets[i]].version, version))
			return true;
	return false;
}

/* Reports the first shard of a layout that no target of a version holds. */
static void check_version(config_reader_t *reader, mc_row_t move,
			  mc_row_t layout, config_key_t key)
{
	const mc_config_t *config = &reader->whole->config;
	const mc_layout_t *row = &config->layouts[layout];
	const char *version = key == KEY_FROM ? config->moves[move].from
					      : config->moves[move].to;
	uint32_t shard, count;

	for (shard = 0; shard < row->shard_count; shard++) {
		const mc_row_t *targets =
			mc_config_shard_targets(config, layout, shard, &count);

		if (!count || has_version(config, targets, count, version))
			continue;
		config_row_fault(reader, SECTION_MOVE, move, key,
				 "shard %u of layout %s of %s has no target "
				 "of version %s; expected one for each shard, "
				 "so add targets or correct the version",
				 shard, row->name, service_of(config, layout),
				 version);
		return;
	}
}

static void check_move_versions(config_reader_t *reader)
{
	const mc_config_t *config = &reader->whole->config;
	uint32_t i;

	for (i = 0; i < config->layout_count; i++) {
		mc_row_t move = mc_config_service_move(
			config, config->layouts[i].service);

		if (move == MC_ROW_NONE)
			continue;
		check_version(reader, move, i, KEY_FROM);
		check_version(reader, move, i, KEY_TO);
	}
}

static void check_move(config_reader_t *reader, mc_row_t row)
{
	const mc_move_t *move = &reader->whole->config.moves[row];

	if (!strcmp(move->from, move->to))
		config_row_fault(reader, SECTION_MOVE, row, KEY_TO,
				 "expected another version than %s, which "
				 "\"from\" names",
				 move->from);
	if (move->done_by <= move->start)
		config_row_fault(reader, SECTION_MOVE, row, KEY_DONE_BY,
				 "expected a time after start; set a later "
				 "one");
	/* A move that was taken back still holds the traffic where it was. */
	if (reader->now && move->done_by <= reader->now && !move->taken_back)
		config_row_fault(reader, SECTION_MOVE, row, KEY_DONE_BY,
				 "expected a time to come; set a later one, or "
				 "remove the move if it is done");
}

void config_check(config_reader_t *reader)
{
	uint32_t i;

	check_addresses(reader);
	check_shards(reader);
	check_snapshots(reader);
	check_move_versions(reader);
	for (i = 0; i < reader->whole->config.move_count; i++)
		check_move(reader, i);
}
