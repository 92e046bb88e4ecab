/*
 * Schema of a configuration's text: its tables and their keys. Shared by the
 * files of the config library.
 */
#ifndef MC_CONFIG_KEYS_H
#define MC_CONFIG_KEYS_H

#include "mc/config.h"
#include "mc/toml.h"

/** enum config_key_t - keys of all tables */
typedef enum config_key_t {
	KEY_NONE,
	KEY_NAME,
	KEY_STATE,
	KEY_DEADLINE,
	KEY_SERVICE,
	KEY_DOCUMENTS,
	KEY_ID,
	KEY_LAYOUT,
	KEY_ORDER,
	KEY_SHARD,
	KEY_DATA_CENTER,
	KEY_VERSION,
	KEY_ADDRESS,
	KEY_FROM,
	KEY_TO,
	KEY_START,
	KEY_DONE_BY,
	KEY_WITHOUT_EVIDENCE,
	KEY_TAKEN_BACK,
	KEY_COUNT,
} config_key_t;

/** enum config_section_t - all tables, in the order of canonical text */
typedef enum config_section_t {
	SECTION_DATA_CENTER,
	SECTION_SERVICE,
	SECTION_LAYOUT,
	SECTION_SNAPSHOT,
	SECTION_TARGET,
	SECTION_MOVE,
	SECTION_COUNT,
} config_section_t;

typedef struct config_key_info_t config_key_info_t;

/**
 * struct config_key_info_t - a key and its allowed values
 * @name: name of the key
 * @is_valid: returns whether @node is an allowed value
 * @expected: description of the allowed values, for error messages
 * @min: lower bound of a number or time
 * @max: upper bound of a number or time
 * @choices: allowed strings, terminated by NULL
 */
struct config_key_info_t {
	const char *name;
	bool (*is_valid)(const config_key_info_t *info,
			 const mc_toml_node_t *node);
	const char *expected;
	int64_t min;
	int64_t max;
	const char *const *choices;
};

/**
 * struct config_section_info_t - a table and the keys of its rows
 * @name: name of the table
 * @required: keys that each row must have, terminated by KEY_NONE
 * @optional: keys that a row may have, terminated by KEY_NONE
 * @sort_keys: keys by which the rows are sorted, terminated by KEY_NONE
 * @unique_key_count: the first so many of @sort_keys must together be unique
 *	among the rows; 0 for no such rule
 */
typedef struct config_section_info_t {
	const char *name;
	const config_key_t *required;
	const config_key_t *optional;
	const config_key_t *sort_keys;
	uint32_t unique_key_count;
} config_section_info_t;

/** config_key_info() - Get the schema entry of a key. */
const config_key_info_t *config_key_info(config_key_t key);

/** config_section_info() - Get the schema entry of a table. */
const config_section_info_t *config_section_info(config_section_t section);

#endif
