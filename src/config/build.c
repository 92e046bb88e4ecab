/*
 * Builds a configuration's tables from the rows of a text: sorts the rows,
 * finds duplicates among adjacent rows, and resolves names to row numbers.
 */
#include "read.h"

#include <stdlib.h>
#include <string.h>
#include <apr_strings.h>

/* Compares two rows by one key; snapshots with a larger order come first. */
static int compare_key(const config_raw_row_t *a, const config_raw_row_t *b,
		       config_key_t key)
{
	int64_t first, second;

	if (a->values[key]->kind == MC_TOML_STRING)
		return strcmp(config_row_string(a, key),
			      config_row_string(b, key));
	first = config_row_integer(a, key);
	second = config_row_integer(b, key);
	if (key == KEY_ORDER)
		return (first < second) - (first > second);
	return (first > second) - (first < second);
}

static int compare_rows(const void *a, const void *b, void *ctx)
{
	const config_section_info_t *info = ctx;
	const config_key_t *key;

	for (key = info->sort_keys; *key != KEY_NONE; key++) {
		int order = compare_key(a, b, *key);

		if (order)
			return order;
	}
	return 0;
}

/* Returns whether two rows have the same values in the unique keys. */
static bool are_duplicates(const config_section_info_t *info,
			   const config_raw_row_t *a, const config_raw_row_t *b)
{
	uint32_t i;

	for (i = 0; i < info->unique_key_count; i++)
		if (compare_key(a, b, info->sort_keys[i]))
			return false;
	return info->unique_key_count;
}

static void sort_section(config_reader_t *reader, config_section_t section)
{
	const config_section_info_t *info = config_section_info(section);
	config_raw_table_t *raw_table = &reader->raw_tables[section];
	config_key_t last;
	uint32_t i;

	if (!raw_table->count)
		return;
	qsort_r(raw_table->rows, raw_table->count, sizeof(*raw_table->rows),
		compare_rows, (void *)(uintptr_t)info);
	last = info->unique_key_count
		       ? info->sort_keys[info->unique_key_count - 1]
		       : KEY_NONE;
	for (i = 1; i < raw_table->count; i++)
		if (are_duplicates(info, &raw_table->rows[i - 1],
				   &raw_table->rows[i]))
			config_add_row_error(
				reader, section, i, last,
				"the %s in line %u has the same "
				"value; expected a unique value, or "
				"remove one of them",
				info->name, raw_table->rows[i - 1].line);
}

/*
 * Finds the row whose first sort key is @first and whose second is @second;
 * NULL for @second matches any.
 */
static mc_row_t find_row(const config_reader_t *reader,
			 config_section_t section, const char *first,
			 const char *second)
{
	const config_key_t *sort_keys = config_section_info(section)->sort_keys;
	const config_raw_table_t *raw_table = &reader->raw_tables[section];
	uint32_t low = 0, high = raw_table->count;

	while (low < high) {
		uint32_t middle = low + (high - low) / 2;
		const config_raw_row_t *raw_row = &raw_table->rows[middle];
		int order =
			strcmp(first, config_row_string(raw_row, sort_keys[0]));

		if (!order && second)
			order = strcmp(second, config_row_string(raw_row,
								 sort_keys[1]));
		if (!order)
			return middle;
		if (order < 0)
			high = middle;
		else
			low = middle + 1;
	}
	return MC_ROW_NONE;
}

static mc_row_t find_service(config_reader_t *reader, config_section_t section,
			     mc_row_t row)
{
	const config_raw_row_t *raw_row =
		&reader->raw_tables[section].rows[row];
	const char *name = config_row_string(raw_row, KEY_SERVICE);
	mc_row_t found = find_row(reader, SECTION_SERVICE, name, NULL);

	if (found == MC_ROW_NONE)
		config_add_row_error(
			reader, section, row, KEY_SERVICE,
			"expected the name of a service, got \"%s\"; "
			"add a [[service]] or correct the name",
			name);
	return found;
}

static mc_row_t find_layout(config_reader_t *reader, config_section_t section,
			    mc_row_t row)
{
	const config_raw_row_t *raw_row =
		&reader->raw_tables[section].rows[row];
	const char *service = config_row_string(raw_row, KEY_SERVICE);
	const char *name = config_row_string(raw_row, KEY_LAYOUT);
	mc_row_t found = find_row(reader, SECTION_LAYOUT, service, name);

	if (found == MC_ROW_NONE)
		config_add_row_error(
			reader, section, row, KEY_LAYOUT,
			"expected a layout of %s, got \"%s\"; add a "
			"[[layout]] or correct the name",
			service, name);
	return found;
}

static mc_row_t find_data_center(config_reader_t *reader, mc_row_t row)
{
	const config_raw_row_t *raw_row =
		&reader->raw_tables[SECTION_TARGET].rows[row];
	const char *name = config_row_string(raw_row, KEY_DATA_CENTER);
	mc_row_t found = find_row(reader, SECTION_DATA_CENTER, name, NULL);

	if (found == MC_ROW_NONE)
		config_add_row_error(reader, SECTION_TARGET, row,
				     KEY_DATA_CENTER,
				     "expected the name of a data centre, got "
				     "\"%s\"; add a [[data_center]] or correct "
				     "the name",
				     name);
	return found;
}

static const char *copy_text(config_reader_t *reader,
			     const config_raw_row_t *raw_row, config_key_t key)
{
	const char *copy = apr_pstrdup(reader->object->pool,
				       config_row_string(raw_row, key));

	if (!copy)
		reader->no_memory = true;
	return copy;
}

static void *alloc_table(config_reader_t *reader, config_section_t section,
			 size_t row_size)
{
	return apr_pcalloc(reader->object->pool,
			   row_size * (reader->raw_tables[section].count + 1));
}

static bool build_data_centers(config_reader_t *reader)
{
	const config_raw_table_t *raw_table =
		&reader->raw_tables[SECTION_DATA_CENTER];
	mc_data_center_t *table =
		alloc_table(reader, SECTION_DATA_CENTER, sizeof(*table));
	uint32_t i;

	if (!table)
		return false;
	for (i = 0; i < raw_table->count; i++) {
		const char *state =
			config_row_string(&raw_table->rows[i], KEY_STATE);

		table[i] = (mc_data_center_t){
			.name = copy_text(reader, &raw_table->rows[i],
					  KEY_NAME),
			.out_of_service = state && !strcmp(state, "out"),
		};
	}
	reader->object->config.data_centers = table;
	reader->object->config.data_center_count = raw_table->count;
	return true;
}

static bool build_services(config_reader_t *reader)
{
	const config_raw_table_t *raw_table =
		&reader->raw_tables[SECTION_SERVICE];
	mc_service_t *table =
		alloc_table(reader, SECTION_SERVICE, sizeof(*table));
	uint32_t i;

	if (!table)
		return false;
	for (i = 0; i < raw_table->count; i++)
		table[i] = (mc_service_t){
			.name = copy_text(reader, &raw_table->rows[i],
					  KEY_NAME),
			.deadline = config_row_integer(&raw_table->rows[i],
						       KEY_DEADLINE),
		};
	reader->object->config.services = table;
	reader->object->config.service_count = raw_table->count;
	return true;
}

static bool fill_documents(config_reader_t *reader, mc_layout_t *layout,
			   const mc_toml_node_t *array)
{
	const mc_toml_node_t *node;
	uint64_t *documents;
	uint32_t i = 0;

	for (node = array->first; node; node = node->next)
		layout->shard_count++;
	documents = apr_palloc(reader->object->pool,
			       sizeof(*documents) * layout->shard_count);
	if (!documents)
		return false;
	for (node = array->first; node; node = node->next)
		documents[i++] = (uint64_t)node->integer;
	layout->documents = documents;
	return true;
}

static bool build_layouts(config_reader_t *reader)
{
	const config_raw_table_t *raw_table =
		&reader->raw_tables[SECTION_LAYOUT];
	mc_layout_t *table =
		alloc_table(reader, SECTION_LAYOUT, sizeof(*table));
	uint32_t i;

	if (!table)
		return false;
	for (i = 0; i < raw_table->count; i++) {
		const config_raw_row_t *raw_row = &raw_table->rows[i];

		table[i].service = find_service(reader, SECTION_LAYOUT, i);
		table[i].name = copy_text(reader, raw_row, KEY_NAME);
		if (!fill_documents(reader, &table[i],
				    raw_row->values[KEY_DOCUMENTS]))
			return false;
	}
	reader->object->config.layouts = table;
	reader->object->config.layout_count = raw_table->count;
	return true;
}

static bool build_snapshots(config_reader_t *reader)
{
	const config_raw_table_t *raw_table =
		&reader->raw_tables[SECTION_SNAPSHOT];
	mc_snapshot_t *table =
		alloc_table(reader, SECTION_SNAPSHOT, sizeof(*table));
	uint32_t i;

	if (!table)
		return false;
	for (i = 0; i < raw_table->count; i++) {
		const config_raw_row_t *raw_row = &raw_table->rows[i];

		table[i].service = find_service(reader, SECTION_SNAPSHOT, i);
		if (table[i].service != MC_ROW_NONE)
			table[i].layout =
				find_layout(reader, SECTION_SNAPSHOT, i);
		table[i].id = copy_text(reader, raw_row, KEY_ID);
		table[i].order =
			(uint64_t)config_row_integer(raw_row, KEY_ORDER);
	}
	reader->object->config.snapshots = table;
	reader->object->config.snapshot_count = raw_table->count;
	return true;
}

/* Resolves the names in a target's row and validates its shard number. */
static void resolve_target(config_reader_t *reader, mc_target_t *target,
			   mc_row_t row)
{
	const mc_layout_t *layout;

	target->service = find_service(reader, SECTION_TARGET, row);
	target->data_center = find_data_center(reader, row);
	if (target->service == MC_ROW_NONE)
		return;
	target->layout = find_layout(reader, SECTION_TARGET, row);
	if (target->layout == MC_ROW_NONE)
		return;
	layout = &reader->object->config.layouts[target->layout];
	if (target->shard >= layout->shard_count)
		config_add_row_error(reader, SECTION_TARGET, row, KEY_SHARD,
				     "expected a shard from 0 to %u of layout "
				     "%s, got %u; correct the number",
				     layout->shard_count - 1, layout->name,
				     target->shard);
}

static bool build_targets(config_reader_t *reader)
{
	const config_raw_table_t *raw_table =
		&reader->raw_tables[SECTION_TARGET];
	mc_target_t *table =
		alloc_table(reader, SECTION_TARGET, sizeof(*table));
	uint32_t i;

	if (!table)
		return false;
	for (i = 0; i < raw_table->count; i++) {
		const config_raw_row_t *raw_row = &raw_table->rows[i];

		table[i].shard =
			(uint32_t)config_row_integer(raw_row, KEY_SHARD);
		table[i].version = copy_text(reader, raw_row, KEY_VERSION);
		table[i].address = copy_text(reader, raw_row, KEY_ADDRESS);
		table[i].key =
			mc_hash_string(config_row_string(raw_row, KEY_ADDRESS));
		resolve_target(reader, &table[i], i);
	}
	reader->object->config.targets = table;
	reader->object->config.target_count = raw_table->count;
	return true;
}

static mc_move_fallback_t move_fallback(const config_raw_row_t *raw_row)
{
	const char *text = config_row_string(raw_row, KEY_WITHOUT_EVIDENCE);

	return text && !strcmp(text, "finish") ? MC_MOVE_FALLBACK_FINISH
					       : MC_MOVE_FALLBACK_TAKE_BACK;
}

static bool build_moves(config_reader_t *reader)
{
	const config_raw_table_t *raw_table = &reader->raw_tables[SECTION_MOVE];
	mc_move_t *table = alloc_table(reader, SECTION_MOVE, sizeof(*table));
	uint32_t i;

	if (!table)
		return false;
	for (i = 0; i < raw_table->count; i++) {
		const config_raw_row_t *raw_row = &raw_table->rows[i];

		table[i] = (mc_move_t){
			.service = find_service(reader, SECTION_MOVE, i),
			.from = copy_text(reader, raw_row, KEY_FROM),
			.to = copy_text(reader, raw_row, KEY_TO),
			.start = config_row_integer(raw_row, KEY_START),
			.done_by = config_row_integer(raw_row, KEY_DONE_BY),
			.without_evidence = move_fallback(raw_row),
			.taken_back =
				config_row_integer(raw_row, KEY_TAKEN_BACK),
		};
	}
	reader->object->config.moves = table;
	reader->object->config.move_count = raw_table->count;
	return true;
}

mc_err_t config_build(config_reader_t *reader)
{
	/*
	 * Builders run in the order of sections: a target's shard number is
	 * checked against the layouts that were built before.
	 */
	static bool (*const builders[])(config_reader_t *) = {
		[SECTION_DATA_CENTER] = build_data_centers,
		[SECTION_SERVICE] = build_services,
		[SECTION_LAYOUT] = build_layouts,
		[SECTION_SNAPSHOT] = build_snapshots,
		[SECTION_TARGET] = build_targets,
		[SECTION_MOVE] = build_moves,
	};
	config_object_t *object = reader->object;
	int i;

	object->config.submission =
		apr_pstrdup(object->pool, reader->submission);
	if (!object->config.submission)
		return mc_fail(
			MC_ERR_NO_MEMORY,
			"out of memory while building the configuration");
	for (i = 0; i < SECTION_COUNT; i++)
		sort_section(reader, i);
	for (i = 0; i < SECTION_COUNT; i++)
		if (!builders[i](reader) || reader->no_memory)
			return mc_fail(
				MC_ERR_NO_MEMORY,
				"out of memory while building the configuration");
	return MC_OK;
}
