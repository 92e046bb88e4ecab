/*
 * The keys and tables of a configuration's text, shared by the files of the
 * config library.
 */
#ifndef MC_CONFIG_KEYS_H
#define MC_CONFIG_KEYS_H

#include "mc/config.h"
#include "mc/toml.h"

/** enum config_key_t - every key of every table */
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

/** enum config_section_t - every table, in the order of canonical text */
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
 * struct config_key_info_t - what a key's value must be
 * @name: the key
 * @is_valid: whether @node is an allowed value
 * @expected: what is allowed, for messages
 * @min: least number
 * @max: greatest number
 * @choices: allowed strings, ended by NULL
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
 * struct config_section_info_t - a table of the text
 * @name: its name
 * @required: keys that each row has, ended by KEY_NONE
 * @optional: keys that a row may have, ended by KEY_NONE
 * @sort: keys that rows are sorted by, ended by KEY_NONE
 * @unique: how many of @sort, from the first, no two rows share; 0 for none
 */
typedef struct config_section_info_t {
	const char *name;
	const config_key_t *required;
	const config_key_t *optional;
	const config_key_t *sort;
	uint32_t unique;
} config_section_info_t;

/** config_key_info() - the row of @key */
const config_key_info_t *config_key_info(config_key_t key);

/** config_section_info() - the row of @section */
const config_section_info_t *config_section_info(config_section_t section);

#endif
