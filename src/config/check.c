/*
 * Validation of a complete configuration, after its rows and indexes are
 * built. Each check visits every row, or every target of a shard, a fixed
 * number of times.
 */
#include "read.h"

#include <string.h>

static const char *layout_service_name(const mc_config_t *config,
				       mc_row_t layout)
{
	return config->services[config->layouts[layout].service].name;
}

static void check_addresses(config_reader_t *reader)
{
	const mc_config_t *config = &reader->object->config;
	const mc_row_t *targets_by_key = reader->object->index.targets_by_key;
	uint32_t i;

	for (i = 1; i < config->target_count; i++) {
		mc_row_t row = targets_by_key[i], other = targets_by_key[i - 1];

		if (config->targets[row].key != config->targets[other].key)
			continue;
		config_add_row_error(
			reader, SECTION_TARGET, row, KEY_ADDRESS,
			"the target in line %u has the same address "
			"%s; expected a unique address, or remove one "
			"of them",
			reader->raw_tables[SECTION_TARGET].rows[other].line,
			config->targets[row].address);
	}
}

/*
 * Returns a data centre of a shard's targets if all of them are in data centres
 * that are out of service; else MC_ROW_NONE.
 */
static mc_row_t find_out_of_service_data_center(const mc_config_t *config,
						const mc_row_t *targets,
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
	const mc_config_t *config = &reader->object->config;
	const char *name = config->layouts[layout].name;
	const mc_row_t *targets;
	mc_row_t out;
	uint32_t count;

	targets = mc_config_shard_targets(config, layout, shard, &count);
	if (!count) {
		config_add_row_error(
			reader, SECTION_LAYOUT, layout, KEY_DOCUMENTS,
			"shard %u of layout %s of %s has no target; "
			"expected at least one; add a [[target]]",
			shard, name, layout_service_name(config, layout));
		return;
	}
	out = find_out_of_service_data_center(config, targets, count);
	if (out != MC_ROW_NONE)
		config_add_row_error(
			reader, SECTION_DATA_CENTER, out, KEY_STATE,
			"shard %u of layout %s of %s has targets only "
			"in data centres that are out of service; add "
			"a target elsewhere, or set %s to \"in\"",
			shard, name, layout_service_name(config, layout),
			config->data_centers[out].name);
}

static void check_shards(config_reader_t *reader)
{
	const mc_config_t *config = &reader->object->config;
	uint32_t i, shard;

	for (i = 0; i < config->layout_count; i++)
		for (shard = 0; shard < config->layouts[i].shard_count; shard++)
			check_shard(reader, i, shard);
}

/* Compares all pairs of ids; the caller allows at most 64 snapshots. */
static void check_snapshot_ids(config_reader_t *reader, const mc_row_t *rows,
			       uint32_t count)
{
	const mc_snapshot_t *snapshots = reader->object->config.snapshots;
	uint32_t i, j;

	for (i = 0; i < count; i++)
		for (j = 0; j < i; j++)
			if (!strcmp(snapshots[rows[i]].id,
				    snapshots[rows[j]].id))
				config_add_row_error(
					reader, SECTION_SNAPSHOT, rows[i],
					KEY_ID,
					"id %s is used twice; expected a "
					"unique id for each snapshot of a "
					"service",
					snapshots[rows[i]].id);
}

static void check_snapshots(config_reader_t *reader)
{
	const mc_config_t *config = &reader->object->config;
	const mc_row_t *rows;
	uint32_t i, count;

	for (i = 0; i < config->service_count; i++) {
		rows = mc_config_service_snapshots(config, i, &count);
		if (count <= MC_SNAPSHOTS_PER_SERVICE_MAX) {
			check_snapshot_ids(reader, rows, count);
			continue;
		}
		config_add_row_error(reader, SECTION_SNAPSHOT,
				     rows[MC_SNAPSHOTS_PER_SERVICE_MAX],
				     KEY_NONE,
				     "expected at most %d snapshots of %s, got "
				     "%u; remove the oldest",
				     MC_SNAPSHOTS_PER_SERVICE_MAX,
				     config->services[i].name, count);
	}
}

static bool any_target_has_version(const mc_config_t *config,
				   const mc_row_t *targets, uint32_t count,
				   const char *version)
{
	uint32_t i;

	for (i = 0; i < count; i++)
		if (!strcmp(config->targets[targets[i]].version, version))
			return true;
	return false;
}

/* Reports the first shard of a layout without a target of a move's version. */
static void check_version_targets(config_reader_t *reader, mc_row_t move,
				  mc_row_t layout, config_key_t key)
{
	const mc_config_t *config = &reader->object->config;
	const mc_layout_t *row = &config->layouts[layout];
	const char *version = key == KEY_FROM ? config->moves[move].from
					      : config->moves[move].to;
	uint32_t shard, count;

	for (shard = 0; shard < row->shard_count; shard++) {
		const mc_row_t *targets =
			mc_config_shard_targets(config, layout, shard, &count);

		if (!count ||
		    any_target_has_version(config, targets, count, version))
			continue;
		config_add_row_error(
			reader, SECTION_MOVE, move, key,
			"shard %u of layout %s of %s has no target "
			"of version %s; expected one for each shard; "
			"add targets or correct the version",
			shard, row->name, layout_service_name(config, layout),
			version);
		return;
	}
}

static void check_move_versions(config_reader_t *reader)
{
	const mc_config_t *config = &reader->object->config;
	uint32_t i;

	for (i = 0; i < config->layout_count; i++) {
		mc_row_t move = mc_config_service_move(
			config, config->layouts[i].service);

		if (move == MC_ROW_NONE)
			continue;
		check_version_targets(reader, move, i, KEY_FROM);
		check_version_targets(reader, move, i, KEY_TO);
	}
}

static void check_move(config_reader_t *reader, mc_row_t row)
{
	const mc_move_t *move = &reader->object->config.moves[row];

	if (!strcmp(move->from, move->to))
		config_add_row_error(reader, SECTION_MOVE, row, KEY_TO,
				     "expected a version other than %s, which "
				     "is the value of \"from\"",
				     move->from);
	if (move->done_by <= move->start)
		config_add_row_error(reader, SECTION_MOVE, row, KEY_DONE_BY,
				     "expected a time after start; set a later "
				     "one");
	/*
	 * A move that was taken back remains valid after its time: it keeps
	 * the traffic at the old version.
	 */
	if (reader->now && move->done_by <= reader->now && !move->taken_back)
		config_add_row_error(
			reader, SECTION_MOVE, row, KEY_DONE_BY,
			"expected a time in the future; set a later one, "
			"or remove the move if it is done");
}

void config_check(config_reader_t *reader)
{
	uint32_t i;

	check_addresses(reader);
	check_shards(reader);
	check_snapshots(reader);
	check_move_versions(reader);
	for (i = 0; i < reader->object->config.move_count; i++)
		check_move(reader, i);
}
