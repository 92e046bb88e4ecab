/*
 * The keys of a settings file, shared by the files of the settings library.
 */
#ifndef MC_SETTINGS_KEYS_H
#define MC_SETTINGS_KEYS_H

#include "mc/settings.h"
#include "mc/toml.h"

typedef struct settings_key_t settings_key_t;

/**
 * struct settings_kind_t - how values of one kind are read
 * @read: stores the value of @node in the field at @out; false if it is not
 *	one that @key allows
 * @describe: writes what @key allows, for messages
 */
typedef struct settings_kind_t {
	bool (*read)(const settings_key_t *key, const mc_toml_node_t *node,
		     void *out);
	void (*describe)(const settings_key_t *key, char *text, size_t size);
} settings_kind_t;

/** enum settings_need_t - when a key must be there */
typedef enum settings_need_t {
	NEED_NEVER,
	NEED_ALWAYS,
	NEED_FRONT,
	NEED_GATHER,
	NEED_TIER,
} settings_need_t;

/**
 * struct settings_key_t - one key
 * @table: name of its table; NULL for the root
 * @name: name within the table
 * @kind: how it is read
 * @offset: offset of its field in mc_settings_t
 * @need: when it must be there
 * @min: least number, or least port of an address
 * @max: greatest number
 * @choices: allowed strings, ended by NULL; NULL unless it is a choice
 */
struct settings_key_t {
	const char *table;
	const char *name;
	const settings_kind_t *kind;
	size_t offset;
	settings_need_t need;
	int64_t min;
	int64_t max;
	const char *const *choices;
};

extern const settings_kind_t settings_kind_name;
extern const settings_kind_t settings_kind_address;
extern const settings_kind_t settings_kind_peers;
extern const settings_kind_t settings_kind_u32;
extern const settings_kind_t settings_kind_u64;
extern const settings_kind_t settings_kind_share;
extern const settings_kind_t settings_kind_level;
extern const settings_kind_t settings_kind_choice;

/** settings_key_count() - number of keys */
size_t settings_key_count(void);

/** settings_key_at() - key @index, below the count */
const settings_key_t *settings_key_at(size_t index);

/** settings_key_find() - key @name of @table, or NULL */
const settings_key_t *settings_key_find(const char *table, const char *name);

/** settings_is_table() - whether a table has the name @name */
bool settings_is_table(const char *name);

/** settings_set_defaults() - fill in the values of absent keys */
void settings_set_defaults(mc_settings_t *settings);

#endif
