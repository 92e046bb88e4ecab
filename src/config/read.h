/*
 * The steps from a text to a configuration, shared by the files of the config
 * library: rows are read with their lines, sorted and checked for duplicates,
 * built with their references, and then checked together.
 */
#ifndef MC_CONFIG_READ_H
#define MC_CONFIG_READ_H

#include "keys.h"
#include "config_private.h"

/**
 * struct config_raw_t - one row as it stands in the text
 * @line: line of its table
 * @values: its values; NULL where a key is absent
 */
typedef struct config_raw_t {
	uint32_t line;
	const mc_toml_node_t *values[KEY_COUNT];
} config_raw_t;

/** struct config_raws_t - all rows of one table */
typedef struct config_raws_t {
	uint32_t count;
	config_raw_t *rows;
} config_raws_t;

/**
 * struct config_reader_t - state while a text is read
 * @scratch: pool that goes when the text is read
 * @raws: rows as they stand in the text
 * @submission: id of the submission; "" if there is none
 * @whole: the configuration that is built; row N of its tables is row N of
 *	the sorted @raws
 * @now: time for the check of moves, ms since the Unix epoch; 0 skips it
 * @faults: every fault
 * @no_memory: a row's text could not be copied
 */
typedef struct config_reader_t {
	apr_pool_t *scratch;
	config_raws_t raws[SECTION_COUNT];
	const char *submission;
	config_whole_t *whole;
	mc_ms_t now;
	mc_config_errors_t *faults;
	bool no_memory;
} config_reader_t;

/** config_fault() - add a fault; it is only counted when the list is full */
void config_fault(config_reader_t *reader, uint32_t line, const char *key,
		  const char *format, ...)
	__attribute__((format(printf, 4, 5)));

/** config_row_fault() - add a fault of @key in a row; KEY_NONE for the row */
void config_row_fault(config_reader_t *reader, config_section_t section,
		      mc_row_t row, config_key_t key, const char *format, ...)
	__attribute__((format(printf, 5, 6)));

/** config_text() - string of @key in a row; NULL if absent */
const char *config_text(const config_raw_t *raw, config_key_t key);

/** config_number() - number, flag or time of @key in a row; 0 if absent */
int64_t config_number(const config_raw_t *raw, config_key_t key);

/**
 * config_read_rows() - read every row and check its keys
 *
 * Return: MC_OK, also with faults, or MC_ERR_NO_MEMORY.
 */
mc_err_t config_read_rows(config_reader_t *reader, const mc_toml_node_t *root);

/**
 * config_build() - sort the rows and build the configuration from them
 *
 * Return: MC_OK, also with faults, or MC_ERR_NO_MEMORY.
 */
mc_err_t config_build(config_reader_t *reader);

/** config_check() - check the built configuration as a whole */
void config_check(config_reader_t *reader);

#endif
