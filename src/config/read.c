/*
 * Reads the rows of a text, each key against the table of keys, and leads
 * through the steps to a configuration. A step with faults is the last one,
 * so that one mistake isn't reported again by its consequences.
 */
#include "read.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mc/settings.h"

enum {
	/* Room for a submission and its key in a text of the largest size. */
	SUBMISSION_ROOM = 256,
	GOT_SIZE = 80,
	STRING_SHOWN = 64,
};

/* Keeps a fault on one line, whatever the text holds. */
static void mask_control(char *text)
{
	for (; *text; text++)
		if ((unsigned char)*text < ' ')
			*text = '?';
}

static void add_fault(config_reader_t *reader, uint32_t line, const char *key,
		      const char *format, va_list args)
{
	mc_config_errors_t *faults = reader->faults;
	mc_config_error_t *fault;

	if (faults->count++ >= MC_ARRAY_LEN(faults->list))
		return;
	fault = &faults->list[faults->count - 1];
	fault->line = line;
	snprintf(fault->key, sizeof(fault->key), "%s", key);
	vsnprintf(fault->message, sizeof(fault->message), format, args);
	mask_control(fault->key);
	mask_control(fault->message);
}

void config_fault(config_reader_t *reader, uint32_t line, const char *key,
		  const char *format, ...)
{
	va_list args;

	va_start(args, format);
	add_fault(reader, line, key, format, args);
	va_end(args);
}

void config_row_fault(config_reader_t *reader, config_section_t section,
		      mc_row_t row, config_key_t key, const char *format, ...)
{
	const config_raw_t *raw = &reader->raws[section].rows[row];
	const char *table = config_section_info(section)->name;
	uint32_t line = raw->line;
	char path[MC_NAME_SIZE];
	va_list args;

	snprintf(path, sizeof(path), "%s", table);
	if (key != KEY_NONE) {
		snprintf(path, sizeof(path), "%s.%s", table,
			 config_key_info(key)->name);
		if (raw->values[key])
			line = raw->values[key]->line;
	}
	va_start(args, format);
	add_fault(reader, line, path, format, args);
	va_end(args);
}

const char *config_text(const config_raw_t *raw, config_key_t key)
{
	return raw->values[key] ? raw->values[key]->string : NULL;
}

int64_t config_number(const config_raw_t *raw, config_key_t key)
{
	return raw->values[key] ? raw->values[key]->integer : 0;
}

/* What stands in the text, in short. */
static const char *describe_node(const mc_toml_node_t *node, char *text,
				 size_t size)
{
	if (node->kind == MC_TOML_STRING)
		snprintf(text, size, "\"%.*s\"", STRING_SHOWN, node->string);
	else if (node->kind == MC_TOML_INTEGER)
		snprintf(text, size, "%lld", (long long)node->integer);
	else
		snprintf(text, size, "%s", mc_toml_kind_name(node->kind));
	return text;
}

static config_key_t find_key(const config_key_t *list, const char *name)
{
	for (; *list != KEY_NONE; list++)
		if (!strcmp(config_key_info(*list)->name, name))
			break;
	return *list;
}

static void unknown_key(config_reader_t *reader, const char *table,
			const mc_toml_node_t *node)
{
	char key[MC_NAME_SIZE];

	snprintf(key, sizeof(key), "%s%s%s", table, *table ? "." : "",
		 node->key);
	config_fault(reader, node->line, key,
		     "expected a known key, got \"%.64s\"; correct its name "
		     "or remove it",
		     node->key);
}

static void read_value(config_reader_t *reader, config_section_t section,
		       mc_row_t row, config_key_t key)
{
	const config_raw_t *raw = &reader->raws[section].rows[row];
	const config_key_info_t *info = config_key_info(key);
	char got[GOT_SIZE];

	if (info->is_valid(info, raw->values[key]))
		return;
	config_row_fault(reader, section, row, key,
			 "expected %s, got %s; correct the value",
			 info->expected,
			 describe_node(raw->values[key], got, sizeof(got)));
}

static void read_row(config_reader_t *reader, config_section_t section,
		     mc_row_t row, const mc_toml_node_t *table)
{
	const config_section_info_t *info = config_section_info(section);
	config_raw_t *raw = &reader->raws[section].rows[row];
	const mc_toml_node_t *node;
	const config_key_t *key;

	raw->line = table->line;
	for (node = table->first; node; node = node->next) {
		config_key_t found = find_key(info->required, node->key);

		if (found == KEY_NONE)
			found = find_key(info->optional, node->key);
		if (found == KEY_NONE) {
			unknown_key(reader, info->name, node);
			continue;
		}
		raw->values[found] = node;
		read_value(reader, section, row, found);
	}
	for (key = info->required; *key != KEY_NONE; key++)
		if (!raw->values[*key])
			config_row_fault(reader, section, row, *key,
					 "expected %s, got nothing; add it",
					 config_key_info(*key)->expected);
}

static mc_err_t read_section(config_reader_t *reader, config_section_t section,
			     const mc_toml_node_t *array)
{
	config_raws_t *raws = &reader->raws[section];
	const mc_toml_node_t *node;
	uint32_t count = 0;

	for (node = array->first; node; node = node->next)
		count++;
	raws->rows =
		apr_pcalloc(reader->scratch, sizeof(*raws->rows) * (count + 1));
	if (!raws->rows)
		return mc_fail(MC_ERR_NO_MEMORY, "no memory for rows");
	for (node = array->first; node; node = node->next) {
		if (array->kind == MC_TOML_ARRAY && node->kind == MC_TOML_TABLE)
			read_row(reader, section, raws->count++, node);
		else
			config_fault(reader, node->line, array->key,
				     "expected a table [[%s]], got %s; write "
				     "one table for each row",
				     array->key, mc_toml_kind_name(node->kind));
	}
	return MC_OK;
}

static void read_submission(config_reader_t *reader, const mc_toml_node_t *node)
{
	if (node->kind == MC_TOML_STRING && mc_name_is_valid(node->string))
		reader->submission = node->string;
	else
		config_fault(reader, node->line, node->key,
			     "expected a name, got %s; remove the key, as "
			     "submitting writes it",
			     mc_toml_kind_name(node->kind));
}

static mc_err_t read_top(config_reader_t *reader, const mc_toml_node_t *node)
{
	int i;

	if (!strcmp(node->key, "submission")) {
		read_submission(reader, node);
		return MC_OK;
	}
	for (i = 0; i < SECTION_COUNT; i++) {
		const char *name = config_section_info(i)->name;

		if (strcmp(node->key, name))
			continue;
		if (node->kind == MC_TOML_ARRAY)
			return read_section(reader, i, node);
		config_fault(reader, node->line, name,
			     "expected tables [[%s]], got %s; write double "
			     "brackets",
			     name, mc_toml_kind_name(node->kind));
		return MC_OK;
	}
	unknown_key(reader, "", node);
	return MC_OK;
}

mc_err_t config_read_rows(config_reader_t *reader, const mc_toml_node_t *root)
{
	const mc_toml_node_t *node;
	mc_err_t err = MC_OK;

	for (node = root->first; !err && node; node = node->next)
		err = read_top(reader, node);
	return err;
}

/* Canonical text must fit as well, with the longest submission id. */
static mc_err_t check_printed_size(const config_whole_t *whole)
{
	mc_config_t config = whole->config;
	char *text;
	mc_err_t err;
	size_t size;

	config.submission = "";
	err = mc_config_print(&config, &text);
	if (err)
		return err;
	size = strlen(text);
	free(text);
	if (size <= MC_CONFIG_TEXT_MAX - SUBMISSION_ROOM)
		return MC_OK;
	return mc_fail(MC_ERR_TOO_LARGE,
		       "canonical text of %zu bytes: expected at most %d", size,
		       MC_CONFIG_TEXT_MAX - SUBMISSION_ROOM);
}

static mc_err_t run_steps(config_reader_t *reader, const mc_toml_node_t *root)
{
	mc_err_t err = config_read_rows(reader, root);

	if (!err && !reader->faults->count)
		err = config_build(reader);
	if (!err && !reader->faults->count)
		err = config_index_build(reader->whole);
	if (!err && !reader->faults->count)
		config_check(reader);
	if (!err && !reader->faults->count)
		err = check_printed_size(reader->whole);
	if (!err && reader->faults->count)
		err = mc_fail(MC_ERR_BAD_CONFIG, "line %u: %s: %s",
			      reader->faults->list[0].line,
			      reader->faults->list[0].key,
			      reader->faults->list[0].message);
	return err;
}

/* Runs the steps with a scratch pool and an empty configuration to fill. */
static mc_err_t read_root(config_reader_t *reader, const mc_toml_node_t *root,
			  uint64_t version, const mc_config_t **config)
{
	mc_err_t err = MC_ERR_NO_MEMORY;

	reader->scratch = config_pool_create();
	reader->whole = config_whole_create();
	if (reader->scratch && reader->whole) {
		reader->whole->config.version = version;
		err = run_steps(reader, root);
	}
	if (reader->scratch)
		apr_pool_destroy(reader->scratch);
	if (err)
		mc_config_unref(reader->whole ? &reader->whole->config : NULL);
	else
		*config = &reader->whole->config;
	return err;
}

static int compare_faults(const void *a, const void *b)
{
	const mc_config_error_t *first = a, *second = b;

	if (first->line != second->line)
		return first->line < second->line ? -1 : 1;
	return strcmp(first->key, second->key);
}

static void sort_faults(mc_config_errors_t *faults)
{
	size_t count = faults->count;

	if (count > MC_ARRAY_LEN(faults->list))
		count = MC_ARRAY_LEN(faults->list);
	qsort(faults->list, count, sizeof(faults->list[0]), compare_faults);
}

mc_err_t mc_config_parse(const char *text, size_t size, uint64_t version,
			 mc_ms_t now, const mc_config_t **config,
			 mc_config_errors_t *faults)
{
	config_reader_t reader = {
		.submission = "",
		.now = now,
		.faults = faults,
	};
	mc_toml_node_t *root;
	uint32_t line;
	mc_err_t err;

	*config = NULL;
	faults->count = 0;
	if (size > MC_CONFIG_TEXT_MAX)
		return mc_fail(MC_ERR_TOO_LARGE,
			       "text of %zu bytes: expected at most %d", size,
			       MC_CONFIG_TEXT_MAX);
	err = mc_toml_parse(text, size, &root, &line);
	if (err == MC_ERR_BAD_CONFIG)
		config_fault(&reader, line, "file", "expected TOML: %s",
			     mc_last_error_message());
	if (err)
		return err;
	err = read_root(&reader, root, version, config);
	mc_toml_free(root);
	sort_faults(faults);
	return err;
}
