/*
 * The steps from a text to a configuration, shared by the files of the config
 * library: read the rows with their line numbers, sort them and find
 * duplicates, build the tables with references between rows, and validate the
 * result as a whole.
 */
#ifndef MC_CONFIG_READ_H
#define MC_CONFIG_READ_H

#include "keys.h"
#include "config_private.h"

/**
 * struct config_raw_row_t - one row as written in the text
 * @line: line of the row's table header
 * @values: values by key; NULL for an absent key
 */
typedef struct config_raw_row_t {
	uint32_t line;
	const mc_toml_node_t *values[KEY_COUNT];
} config_raw_row_t;

/** struct config_raw_table_t - all rows of one table as written in the text */
typedef struct config_raw_table_t {
	uint32_t count;
	config_raw_row_t *rows;
} config_raw_table_t;

/**
 * struct config_reader_t - state of the parser
 * @scratch: memory pool that is destroyed at the end of the parse
 * @raw_tables: rows as written in the text; sorted by config_build()
 * @submission: id of the submission; "" if there is none
 * @object: the configuration under construction; row N of its tables is row N
 *	of the sorted @raw_tables
 * @now: time against which moves are checked, ms since the Unix epoch; 0 skips
 *	the check
 * @errors: errors found so far
 * @no_memory: memory ran out while a string was copied
 */
typedef struct config_reader_t {
	apr_pool_t *scratch;
	config_raw_table_t raw_tables[SECTION_COUNT];
	const char *submission;
	config_object_t *object;
	mc_ms_t now;
	mc_config_errors_t *errors;
	bool no_memory;
} config_reader_t;

/** config_add_error() - Add an error. If the list is full, only count it. */
void config_add_error(config_reader_t *reader, uint32_t line, const char *key,
		      const char *format, ...)
	__attribute__((format(printf, 4, 5)));

/**
 * config_add_row_error() - Add an error about a key of a row, or about the
 * whole row if @key is KEY_NONE.
 */
void config_add_row_error(config_reader_t *reader, config_section_t section,
			  mc_row_t row, config_key_t key, const char *format,
			  ...) __attribute__((format(printf, 5, 6)));

/** config_row_string() - Get the string value of a key; NULL if absent. */
const char *config_row_string(const config_raw_row_t *raw_row,
			      config_key_t key);

/**
 * config_row_integer() - Get the integer, boolean or time value of a key; 0 if
 * absent.
 */
int64_t config_row_integer(const config_raw_row_t *raw_row, config_key_t key);

/**
 * config_read_rows() - Read all rows and validate each key.
 *
 * Return: MC_OK, also if errors were added, or MC_ERR_NO_MEMORY.
 */
mc_err_t config_read_rows(config_reader_t *reader, const mc_toml_node_t *root);

/**
 * config_build() - Sort the rows and build the configuration's tables.
 *
 * Return: MC_OK, also if errors were added, or MC_ERR_NO_MEMORY.
 */
mc_err_t config_build(config_reader_t *reader);

/** config_check() - Validate the complete configuration. */
void config_check(config_reader_t *reader);

#endif
