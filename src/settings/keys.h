/*
 * Schema of a settings file: its keys and the kinds of their values. Shared by
 * the files of the settings library.
 */
#ifndef MC_SETTINGS_KEYS_H
#define MC_SETTINGS_KEYS_H

#include "mc/settings.h"
#include "mc/toml.h"

typedef struct settings_key_t settings_key_t;

/**
 * struct settings_kind_t - functions for values of one kind
 * @read: stores the value of @node in the field at @out; returns false if @key
 *	does not allow the value
 * @describe: writes a description of the values that @key allows, for error
 *	messages
 */
typedef struct settings_kind_t {
	bool (*read)(const settings_key_t *key, const mc_toml_node_t *node,
		     void *out);
	void (*describe)(const settings_key_t *key, char *text, size_t size);
} settings_kind_t;

/** enum settings_requirement_t - which processes require a key */
typedef enum settings_requirement_t {
	KEY_OPTIONAL,
	KEY_REQUIRED,
	KEY_REQUIRED_BY_FRONT,
	KEY_REQUIRED_BY_GATHER,
	KEY_REQUIRED_BY_TIER,
} settings_requirement_t;

/**
 * struct settings_key_t - a key and its allowed values
 * @table: name of its table; NULL for the root table
 * @name: name within the table
 * @kind: functions for its kind of value
 * @offset: offset of its field in mc_settings_t
 * @requirement: which processes require it
 * @min: lower bound of a number, or of the port of an address
 * @max: upper bound of a number
 * @choices: allowed strings, terminated by NULL; NULL for other kinds
 */
struct settings_key_t {
	const char *table;
	const char *name;
	const settings_kind_t *kind;
	size_t offset;
	settings_requirement_t requirement;
	int64_t min;
	int64_t max;
	const char *const *choices;
};

extern const settings_kind_t settings_kind_name;
extern const settings_kind_t settings_kind_address;
extern const settings_kind_t settings_kind_peers;
extern const settings_kind_t settings_kind_u32;
extern const settings_kind_t settings_kind_u64;
extern const settings_kind_t settings_kind_duration;
extern const settings_kind_t settings_kind_amount;
extern const settings_kind_t settings_kind_share;
extern const settings_kind_t settings_kind_level;
extern const settings_kind_t settings_kind_choice;

/** settings_key_count() - Get the number of keys. */
size_t settings_key_count(void);

/** settings_key_at() - Get a key by its index, which is below the count. */
const settings_key_t *settings_key_at(size_t index);

/** settings_key_find() - Find a key by table and name; NULL if unknown. */
const settings_key_t *settings_key_find(const char *table, const char *name);

/** settings_is_table() - Check whether @name is the name of a table. */
bool settings_is_table(const char *name);

/** settings_set_defaults() - Set all fields to their default values. */
void settings_set_defaults(mc_settings_t *settings);

#endif
