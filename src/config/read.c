/*
 * Reads the rows of a text, validates each key against the schema, and runs
 * the further steps that build a configuration. The first step that finds
 * errors is the last one to run, so that a mistake is not reported again
 * through its consequences.
 */
#include "read.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mc/settings.h"

enum {
	/* Bytes of canonical text reserved for the submission key. */
	SUBMISSION_RESERVE = 256,
	DESCRIPTION_SIZE = 80,
	STRING_SHOWN_MAX = 64,
};

/* Keeps an error message on one line whatever the text contains. */
static void replace_control_characters(char *text)
{
	for (; *text; text++)
		if ((unsigned char)*text < ' ')
			*text = '?';
}

static void add_error(config_reader_t *reader, uint32_t line, const char *key,
		      const char *format, va_list args)
{
	mc_config_errors_t *errors = reader->errors;
	mc_config_error_t *error;

	if (errors->count++ >= MC_ARRAY_LEN(errors->list))
		return;
	error = &errors->list[errors->count - 1];
	error->line = line;
	snprintf(error->key, sizeof(error->key), "%s", key);
	vsnprintf(error->message, sizeof(error->message), format, args);
	replace_control_characters(error->key);
	replace_control_characters(error->message);
}

void config_add_error(config_reader_t *reader, uint32_t line, const char *key,
		      const char *format, ...)
{
	va_list args;

	va_start(args, format);
	add_error(reader, line, key, format, args);
	va_end(args);
}

void config_add_row_error(config_reader_t *reader, config_section_t section,
			  mc_row_t row, config_key_t key, const char *format,
			  ...)
{
	const config_raw_row_t *raw_row =
		&reader->raw_tables[section].rows[row];
	const char *table = config_section_info(section)->name;
	uint32_t line = raw_row->line;
	char path[MC_NAME_SIZE];
	va_list args;

	snprintf(path, sizeof(path), "%s", table);
	if (key != KEY_NONE) {
		snprintf(path, sizeof(path), "%s.%s", table,
			 config_key_info(key)->name);
		if (raw_row->values[key])
			line = raw_row->values[key]->line;
	}
	va_start(args, format);
	add_error(reader, line, path, format, args);
	va_end(args);
}

const char *config_row_string(const config_raw_row_t *raw_row, config_key_t key)
{
	return raw_row->values[key] ? raw_row->values[key]->string : NULL;
}

int64_t config_row_integer(const config_raw_row_t *raw_row, config_key_t key)
{
	return raw_row->values[key] ? raw_row->values[key]->integer : 0;
}

/* Describes a value for an error message, with long strings cut short. */
static const char *describe_node(const mc_toml_node_t *node, char *text,
				 size_t size)
{
	if (node->kind == MC_TOML_STRING)
		snprintf(text, size, "\"%.*s\"", STRING_SHOWN_MAX,
			 node->string);
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

static void add_unknown_key_error(config_reader_t *reader, const char *table,
				  const mc_toml_node_t *node)
{
	char key[MC_NAME_SIZE];

	snprintf(key, sizeof(key), "%s%s%s", table, *table ? "." : "",
		 node->key);
	config_add_error(
		reader, node->line, key,
		"expected a known key, got \"%.64s\"; correct its name "
		"or remove it",
		node->key);
}

static void read_value(config_reader_t *reader, config_section_t section,
		       mc_row_t row, config_key_t key)
{
	const config_raw_row_t *raw_row =
		&reader->raw_tables[section].rows[row];
	const config_key_info_t *info = config_key_info(key);
	char description[DESCRIPTION_SIZE];

	if (info->is_valid(info, raw_row->values[key]))
		return;
	config_add_row_error(reader, section, row, key,
			     "expected %s, got %s; correct the value",
			     info->expected,
			     describe_node(raw_row->values[key], description,
					   sizeof(description)));
}

static void read_row(config_reader_t *reader, config_section_t section,
		     mc_row_t row, const mc_toml_node_t *table)
{
	const config_section_info_t *info = config_section_info(section);
	config_raw_row_t *raw_row = &reader->raw_tables[section].rows[row];
	const mc_toml_node_t *node;
	const config_key_t *key;

	raw_row->line = table->line;
	for (node = table->first; node; node = node->next) {
		config_key_t found = find_key(info->required, node->key);

		if (found == KEY_NONE)
			found = find_key(info->optional, node->key);
		if (found == KEY_NONE) {
			add_unknown_key_error(reader, info->name, node);
			continue;
		}
		raw_row->values[found] = node;
		read_value(reader, section, row, found);
	}
	for (key = info->required; *key != KEY_NONE; key++)
		if (!raw_row->values[*key])
			config_add_row_error(
				reader, section, row, *key,
				"expected %s, but the key is missing; "
				"add it",
				config_key_info(*key)->expected);
}

static mc_err_t read_section(config_reader_t *reader, config_section_t section,
			     const mc_toml_node_t *array)
{
	config_raw_table_t *raw_table = &reader->raw_tables[section];
	const mc_toml_node_t *node;
	uint32_t count = 0;

	for (node = array->first; node; node = node->next)
		count++;
	raw_table->rows = apr_pcalloc(reader->scratch,
				      sizeof(*raw_table->rows) * (count + 1));
	if (!raw_table->rows)
		return mc_fail(MC_ERR_NO_MEMORY,
			       "out of memory while reading the configuration");
	for (node = array->first; node; node = node->next) {
		if (array->kind == MC_TOML_ARRAY && node->kind == MC_TOML_TABLE)
			read_row(reader, section, raw_table->count++, node);
		else
			config_add_error(
				reader, node->line, array->key,
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
		config_add_error(reader, node->line, node->key,
				 "expected a name, got %s; remove the key, "
				 "which the submit command writes",
				 mc_toml_kind_name(node->kind));
}

static mc_err_t read_top_level_key(config_reader_t *reader,
				   const mc_toml_node_t *node)
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
		config_add_error(reader, node->line, name,
				 "expected tables [[%s]], got %s; write double "
				 "brackets",
				 name, mc_toml_kind_name(node->kind));
		return MC_OK;
	}
	add_unknown_key_error(reader, "", node);
	return MC_OK;
}

mc_err_t config_read_rows(config_reader_t *reader, const mc_toml_node_t *root)
{
	const mc_toml_node_t *node;
	mc_err_t err = MC_OK;

	for (node = root->first; !err && node; node = node->next)
		err = read_top_level_key(reader, node);
	return err;
}

/*
 * The canonical text may be longer than the input. It must fit in the store
 * together with a submission id of maximum length.
 */
static mc_err_t check_printed_size(const config_object_t *object)
{
	mc_config_t config = object->config;
	char *text;
	mc_err_t err;
	size_t size;

	config.submission = "";
	err = mc_config_print(&config, &text);
	if (err)
		return err;
	size = strlen(text);
	free(text);
	if (size <= MC_CONFIG_TEXT_MAX - SUBMISSION_RESERVE)
		return MC_OK;
	return mc_fail(MC_ERR_TOO_LARGE,
		       "canonical text has %zu bytes; expected at most %d",
		       size, MC_CONFIG_TEXT_MAX - SUBMISSION_RESERVE);
}

static mc_err_t run_steps(config_reader_t *reader, const mc_toml_node_t *root)
{
	mc_err_t err = config_read_rows(reader, root);

	if (!err && !reader->errors->count)
		err = config_build(reader);
	if (!err && !reader->errors->count)
		err = config_index_build(reader->object);
	if (!err && !reader->errors->count)
		config_check(reader);
	if (!err && !reader->errors->count)
		err = check_printed_size(reader->object);
	if (!err && reader->errors->count)
		err = mc_fail(MC_ERR_BAD_CONFIG, "line %u: %s: %s",
			      reader->errors->list[0].line,
			      reader->errors->list[0].key,
			      reader->errors->list[0].message);
	return err;
}

/* Creates a scratch pool and an empty configuration, and runs the steps. */
static mc_err_t read_root(config_reader_t *reader, const mc_toml_node_t *root,
			  uint64_t version, const mc_config_t **config)
{
	mc_err_t err = MC_ERR_NO_MEMORY;

	reader->scratch = config_pool_create();
	reader->object = config_object_create();
	if (reader->scratch && reader->object) {
		reader->object->config.version = version;
		err = run_steps(reader, root);
	}
	if (reader->scratch)
		apr_pool_destroy(reader->scratch);
	if (err)
		mc_config_unref(reader->object ? &reader->object->config
					       : NULL);
	else
		*config = &reader->object->config;
	return err;
}

static int compare_errors(const void *a, const void *b)
{
	const mc_config_error_t *first = a, *second = b;

	if (first->line != second->line)
		return first->line < second->line ? -1 : 1;
	return strcmp(first->key, second->key);
}

static void sort_errors(mc_config_errors_t *errors)
{
	size_t count = errors->count;

	if (count > MC_ARRAY_LEN(errors->list))
		count = MC_ARRAY_LEN(errors->list);
	qsort(errors->list, count, sizeof(errors->list[0]), compare_errors);
}

mc_err_t mc_config_parse(const char *text, size_t size, uint64_t version,
			 mc_ms_t now, const mc_config_t **config,
			 mc_config_errors_t *errors)
{
	config_reader_t reader = {
		.submission = "",
		.now = now,
		.errors = errors,
	};
	mc_toml_node_t *root;
	uint32_t line;
	mc_err_t err;

	*config = NULL;
	errors->count = 0;
	if (size > MC_CONFIG_TEXT_MAX)
		return mc_fail(MC_ERR_TOO_LARGE,
			       "text has %zu bytes; expected at most %d", size,
			       MC_CONFIG_TEXT_MAX);
	err = mc_toml_parse(text, size, &root, &line);
	if (err == MC_ERR_BAD_CONFIG)
		config_add_error(&reader, line, "file", "expected TOML: %s",
				 mc_last_error_message());
	if (err)
		return err;
	err = read_root(&reader, root, version, config);
	mc_toml_free(root);
	sort_errors(errors);
	return err;
}
