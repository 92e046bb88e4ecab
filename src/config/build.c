/*
 * Builds a configuration's tables from the rows of a text: sorts the rows,
 * finds duplicates among neighbours, and turns names into row numbers.
 */
#include "read.h"

#include <stdlib.h>
#include <string.h>
#include <apr_strings.h>

/* Orders two rows by one key; snapshots with a larger order come first. */
static int compare_key(const config_raw_t *a, const config_raw_t *b,
		       config_key_t key)
{
	int64_t first, second;

	if (a->values[key]->kind == MC_TOML_STRING)
		return strcmp(config_text(a, key), config_text(b, key));
	first = config_number(a, key);
	second = config_number(b, key);
	if (key == KEY_ORDER)
		return (first < second) - (first > second);
	return (first > second) - (first < second);
}

static int compare_rows(const void *a, const void *b, void *ctx)
{
	const config_section_info_t *info = ctx;
	const config_key_t *key;

	for (key = info->sort; *key != KEY_NONE; key++) {
		int order = compare_key(a, b, *key);

		if (order)
			return order;
	}
	return 0;
}

/* Whether two rows share the values that must be unique. */
static bool are_duplicates(const config_section_info_t *info,
			   const config_raw_t *a, const config_raw_t *b)
{
	uint32_t i;

	for (i = 0; i < info->unique; i++)
		if (compare_key(a, b, info->sort[i]))
			return false;
	return info->unique;
}

static void sort_section(config_reader_t *reader, config_section_t section)
{
	const config_section_info_t *info = config_section_info(section);
	config_raws_t *raws = &reader->raws[section];
	config_key_t last;
	uint32_t i;

	if (!raws->count)
		return;
	qsort_r(raws->rows, raws->count, sizeof(*raws->rows), compare_rows,
		(void *)(uintptr_t)info);
	last = info->unique ? info->sort[info->unique - 1] : KEY_NONE;
	for (i = 1; i < raws->count; i++)
		if (are_duplicates(info, &raws->rows[i - 1], &raws->rows[i]))
			config_row_fault(reader, section, i, last,
					 "the %s of line %u has the same; "
					 "expected another value, or remove "
					 "one of them",
					 info->name, raws->rows[i - 1].line);
}

/* Finds the row whose first two sort keys have the given values. */
static mc_row_t find_row(const config_reader_t *reader,
			 config_section_t section, const char *first,
			 const char *second)
{
	const config_key_t *sort = config_section_info(section)->sort;
	const config_raws_t *raws = &reader->raws[section];
	uint32_t low = 0, high = raws->count;

	while (low < high) {
		uint32_t middle = low + (high - low) / 2;
		const config_raw_t *raw = &raws->rows[middle];
		int order = strcmp(first, config_text(raw, sort[0]));

		if (!order && second)
			order = strcmp(second, config_text(raw, sort[1]));
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
	const config_raw_t *raw = &reader->raws[section].rows[row];
	const char *name = config_text(raw, KEY_SERVICE);
	mc_row_t found = find_row(reader, SECTION_SERVICE, name, NULL);

	if (found == MC_ROW_NONE)
		config_row_fault(reader, section, row, KEY_SERVICE,
				 "expected the name of a service, got \"%s\"; "
				 "add a [[service]] or correct the name",
				 name);
	return found;
}

static mc_row_t find_layout(config_reader_t *reader, config_section_t section,
			    mc_row_t row)
{
	const config_raw_t *raw = &reader->raws[section].rows[row];
	const char *service = config_text(raw, KEY_SERVICE);
	const char *name = config_text(raw, KEY_LAYOUT);
	mc_row_t found = find_row(reader, SECTION_LAYOUT, service, name);

	if (found == MC_ROW_NONE)
		config_row_fault(reader, section, row, KEY_LAYOUT,
				 "expected a layout of %s, got \"%s\"; add a "
				 "[[layout]] or correct the name",
				 service, name);
	return found;
}

static mc_row_t find_data_center(config_reader_t *reader, mc_row_t row)
{
	const config_raw_t *raw = &reader->raws[SECTION_TARGET].rows[row];
	const char *name = config_text(raw, KEY_DATA_CENTER);
	mc_row_t found = find_row(reader, SECTION_DATA_CENTER, name, NULL);

	if (found == MC_ROW_NONE)
		config_row_fault(reader, SECTION_TARGET, row, KEY_DATA_CENTER,
				 "expected the name of a data centre, got "
				 "\"%s\"; add a [[data_center]] or correct "
				 "the name",
				 name);
	return found;
}

static const char *copy_text(config_reader_t *reader, const config_raw_t *raw,
			     config_key_t key)
{
	const char *copy =
		apr_pstrdup(reader->whole->pool, config_text(raw, key));

	if (!copy)
		reader->no_memory = true;
	return copy;
}

static void *new_table(config_reader_t *reader, config_section_t section,
		       size_t row_size)
{
	return apr_pcalloc(reader->whole->pool,
			   row_size * (reader->raws[section].count + 1));
}

static bool build_data_centers(config_reader_t *reader)
{
	const config_raws_t *raws = &reader->raws[SECTION_DATA_CENTER];
	mc_data_center_t *table =
		new_table(reader, SECTION_DATA_CENTER, sizeof(*table));
	uint32_t i;

	if (!table)
		return false;
	for (i = 0; i < raws->count; i++) {
		const char *state = config_text(&raws->rows[i], KEY_STATE);

		table[i] = (mc_data_center_t){
			.name = copy_text(reader, &raws->rows[i], KEY_NAME),
			.out_of_service = state && !strcmp(state, "out"),
		};
	}
	reader->whole->config.data_centers = table;
	reader->whole->config.data_center_count = raws->count;
	return true;
}

static bool build_services(config_reader_t *reader)
{
	const config_raws_t *raws = &reader->raws[SECTION_SERVICE];
	mc_service_t *table =
		new_table(reader, SECTION_SERVICE, sizeof(*table));
	uint32_t i;

	if (!table)
		return false;
	for (i = 0; i < raws->count; i++)
		table[i] = (mc_service_t){
			.name = copy_text(reader, &raws->rows[i], KEY_NAME),
			.deadline = config_number(&raws->rows[i], KEY_DEADLINE),
		};
	reader->whole->config.services = table;
	reader->whole->config.service_count = raws->count;
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
	documents = apr_palloc(reader->whole->pool,
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
	const config_raws_t *raws = &reader->raws[SECTION_LAYOUT];
	mc_layout_t *table = new_table(reader, SECTION_LAYOUT, sizeof(*table));
	uint32_t i;

	if (!table)
		return false;
	for (i = 0; i < raws->count; i++) {
		const config_raw_t *raw = &raws->rows[i];

		table[i].service = find_service(reader, SECTION_LAYOUT, i);
		table[i].name = copy_text(reader, raw, KEY_NAME);
		if (!fill_documents(reader, &table[i],
				    raw->values[KEY_DOCUMENTS]))
			return false;
	}
	reader->whole->config.layouts = table;
	reader->whole->config.layout_count = raws->count;
	return true;
}

static bool build_snapshots(config_reader_t *reader)
{
	const config_raws_t *raws = &reader->raws[SECTION_SNAPSHOT];
	mc_snapshot_t *table =
		new_table(reader, SECTION_SNAPSHOT, sizeof(*table));
	uint32_t i;

	if (!table)
		return false;
	for (i = 0; i < raws->count; i++) {
		const config_raw_t *raw = &raws->rows[i];

		table[i].service = find_service(reader, SECTION_SNAPSHOT, i);
		if (table[i].service != MC_ROW_NONE)
			table[i].layout =
				find_layout(reader, SECTION_SNAPSHOT, i);
		table[i].id = copy_text(reader, raw, KEY_ID);
		table[i].order = (uint64_t)config_number(raw, KEY_ORDER);
	}
	reader->whole->config.snapshots = table;
	reader->whole->config.snapshot_count = raws->count;
	return true;
}

/* Sets the rows that a target names and checks its shard's number. */
static void link_target(config_reader_t *reader, mc_target_t *target,
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
	layout = &reader->whole->config.layouts[target->layout];
	if (target->shard >= layout->shard_count)
		config_row_fault(reader, SECTION_TARGET, row, KEY_SHARD,
				 "expected a shard of 0 to %u of layout %s, "
				 "got %u; correct the number",
				 layout->shard_count - 1, layout->name,
				 target->shard);
}

static bool build_targets(config_reader_t *reader)
{
	const config_raws_t *raws = &reader->raws[SECTION_TARGET];
	mc_target_t *table = new_table(reader, SECTION_TARGET, sizeof(*table));
	uint32_t i;

	if (!table)
		return false;
	for (i = 0; i < raws->count; i++) {
		const config_raw_t *raw = &raws->rows[i];

		table[i].shard = (uint32_t)config_number(raw, KEY_SHARD);
		table[i].version = copy_text(reader, raw, KEY_VERSION);
		table[i].address = copy_text(reader, raw, KEY_ADDRESS);
		table[i].key = mc_hash_string(config_text(raw, KEY_ADDRESS));
		link_target(reader, &table[i], i);
	}
	reader->whole->config.targets = table;
	reader->whole->config.target_count = raws->count;
	return true;
}

static mc_move_fallback_t move_default(const config_raw_t *raw)
{
	const char *text = config_text(raw, KEY_WITHOUT_EVIDENCE);

	return text && !strcmp(text, "finish") ? MC_MOVE_FALLBACK_FINISH
					       : MC_MOVE_FALLBACK_TAKE_BACK;
}

static bool build_moves(config_reader_t *reader)
{
	const config_raws_t *raws = &reader->raws[SECTION_MOVE];
	mc_move_t *table = new_table(reader, SECTION_MOVE, sizeof(*table));
	uint32_t i;

	if (!table)
		return false;
	for (i = 0; i < raws->count; i++) {
		const config_raw_t *raw = &raws->rows[i];

		table[i] = (mc_move_t){
			.service = find_service(reader, SECTION_MOVE, i),
			.from = copy_text(reader, raw, KEY_FROM),
			.to = copy_text(reader, raw, KEY_TO),
			.start = config_number(raw, KEY_START),
			.done_by = config_number(raw, KEY_DONE_BY),
			.without_evidence = move_default(raw),
			.taken_back = config_number(raw, KEY_TAKEN_BACK),
		};
	}
	reader->whole->config.moves = table;
	reader->whole->config.move_count = raws->count;
	return true;
}

mc_err_t config_build(config_reader_t *reader)
{
	/* In this order, as a layout is found for a target by its row. */
	static bool (*const builders[])(config_reader_t *) = {
		[SECTION_DATA_CENTER] = build_data_centers,
		[SECTION_SERVICE] = build_services,
		[SECTION_LAYOUT] = build_layouts,
		[SECTION_SNAPSHOT] = build_snapshots,
		[SECTION_TARGET] = build_targets,
		[SECTION_MOVE] = build_moves,
	};
	config_whole_t *whole = reader->whole;
	int i;

	whole->config.submission = apr_pstrdup(whole->pool, reader->submission);
	if (!whole->config.submission)
		return mc_fail(MC_ERR_NO_MEMORY, "no memory for rows");
	for (i = 0; i < SECTION_COUNT; i++)
		sort_section(reader, i);
	for (i = 0; i < SECTION_COUNT; i++)
		if (!builders[i](reader) || reader->no_memory)
			return mc_fail(MC_ERR_NO_MEMORY, "no memory for rows");
	return MC_OK;
}
