/*
 * Schema of a configuration's text: the allowed keys of each table and the
 * bounds of their values.
 */
#include "keys.h"

#include <string.h>

#include "mc/settings.h"

enum {
	DEADLINE_MS_MAX = 600000,
};

/* With this bound, the sum over all shards of a layout is exact in a double. */
#define DOCUMENTS_MAX (INT64_C(1) << 40)

static bool is_name(const config_key_info_t *info, const mc_toml_node_t *node)
{
	(void)info;
	return node->kind == MC_TOML_STRING && mc_name_is_valid(node->string);
}

static bool is_address(const config_key_info_t *info,
		       const mc_toml_node_t *node)
{
	char host[MC_ADDRESS_SIZE];
	uint16_t port;

	(void)info;
	return node->kind == MC_TOML_STRING &&
	       mc_address_split(node->string, host, sizeof(host), &port) ==
		       MC_OK &&
	       port;
}

static bool is_number(const config_key_info_t *info, const mc_toml_node_t *node)
{
	return node->kind == MC_TOML_INTEGER && node->integer >= info->min &&
	       node->integer <= info->max;
}

static bool is_time(const config_key_info_t *info, const mc_toml_node_t *node)
{
	return node->kind == MC_TOML_TIME && node->integer >= info->min &&
	       node->integer <= info->max;
}

static bool is_boolean(const config_key_info_t *info,
		       const mc_toml_node_t *node)
{
	(void)info;
	return node->kind == MC_TOML_BOOLEAN;
}

static bool is_choice(const config_key_info_t *info, const mc_toml_node_t *node)
{
	const char *const *choice;

	if (node->kind != MC_TOML_STRING)
		return false;
	for (choice = info->choices; *choice; choice++)
		if (!strcmp(*choice, node->string))
			return true;
	return false;
}

static bool is_documents(const config_key_info_t *info,
			 const mc_toml_node_t *node)
{
	const mc_toml_node_t *child;
	uint32_t count = 0;

	if (node->kind != MC_TOML_ARRAY)
		return false;
	for (child = node->first; child; child = child->next) {
		if (!is_number(info, child))
			return false;
		count++;
	}
	return count >= 1 && count <= MC_SHARDS_PER_LAYOUT_MAX;
}

static const char *const states[] = { "in", "out", NULL };
static const char *const fallbacks[] = { "take_back", "finish", NULL };

#define NAME(key)                                                       \
	{                                                               \
		.name = (key), .is_valid = is_name,                     \
		.expected = "a name of 1 to 63 letters, digits or . _ " \
			    ": + -",                                    \
	}
#define TIME(key)                                                      \
	{                                                              \
		.name = (key), .is_valid = is_time,                    \
		.expected = "a time from 1970 to 9999 with an offset " \
			    "and without quotes, such as "             \
			    "2026-05-01T06:00:00Z",                    \
		.min = 0, .max = MC_TOML_TIME_MAX,                     \
	}

static const config_key_info_t keys[KEY_COUNT] = {
	[KEY_NAME] = NAME("name"),
	[KEY_SERVICE] = NAME("service"),
	[KEY_ID] = NAME("id"),
	[KEY_LAYOUT] = NAME("layout"),
	[KEY_DATA_CENTER] = NAME("data_center"),
	[KEY_VERSION] = NAME("version"),
	[KEY_FROM] = NAME("from"),
	[KEY_TO] = NAME("to"),
	[KEY_START] = TIME("start"),
	[KEY_DONE_BY] = TIME("done_by"),
	[KEY_STATE] = {
		.name = "state",
		.is_valid = is_choice,
		.expected = "\"in\" or \"out\"",
		.choices = states,
	},
	[KEY_DEADLINE] = {
		.name = "deadline_ms",
		.is_valid = is_number,
		.expected = "an integer from 1 to 600000 (ms)",
		.min = 1,
		.max = DEADLINE_MS_MAX,
	},
	[KEY_DOCUMENTS] = {
		.name = "documents",
		.is_valid = is_documents,
		.expected = "1 to 4096 integers from 0 to 2^40, the number "
			    "of documents in each shard",
		.min = 0,
		.max = DOCUMENTS_MAX,
	},
	[KEY_ORDER] = {
		.name = "order",
		.is_valid = is_number,
		.expected = "an integer of 0 or more, larger for newer snapshots",
		.min = 0,
		.max = INT64_MAX,
	},
	[KEY_SHARD] = {
		.name = "shard",
		.is_valid = is_number,
		.expected = "a shard number from 0 to 4095",
		.min = 0,
		.max = MC_SHARDS_PER_LAYOUT_MAX - 1,
	},
	[KEY_ADDRESS] = {
		.name = "address",
		.is_valid = is_address,
		.expected = "an IP address and a port, such as "
			    "\"10.0.0.1:9000\" or \"[fd00::1]:9000\"",
	},
	[KEY_WITHOUT_EVIDENCE] = {
		.name = "without_evidence",
		.is_valid = is_choice,
		.expected = "\"take_back\" or \"finish\"",
		.choices = fallbacks,
	},
	[KEY_TAKEN_BACK] = {
		.name = "taken_back",
		.is_valid = is_boolean,
		.expected = "true or false",
	},
};

#define KEYS(...) ((const config_key_t[]){ __VA_ARGS__, KEY_NONE })
#define NO_KEYS ((const config_key_t[]){ KEY_NONE })

static const config_section_info_t sections[SECTION_COUNT] = {
	[SECTION_DATA_CENTER] = {
		.name = "data_center",
		.required = KEYS(KEY_NAME),
		.optional = KEYS(KEY_STATE),
		.sort_keys = KEYS(KEY_NAME),
		.unique_key_count = 1,
	},
	[SECTION_SERVICE] = {
		.name = "service",
		.required = KEYS(KEY_NAME, KEY_DEADLINE),
		.optional = NO_KEYS,
		.sort_keys = KEYS(KEY_NAME),
		.unique_key_count = 1,
	},
	[SECTION_LAYOUT] = {
		.name = "layout",
		.required = KEYS(KEY_SERVICE, KEY_NAME, KEY_DOCUMENTS),
		.optional = NO_KEYS,
		.sort_keys = KEYS(KEY_SERVICE, KEY_NAME),
		.unique_key_count = 2,
	},
	[SECTION_SNAPSHOT] = {
		.name = "snapshot",
		.required = KEYS(KEY_SERVICE, KEY_ID, KEY_LAYOUT, KEY_ORDER),
		.optional = NO_KEYS,
		.sort_keys = KEYS(KEY_SERVICE, KEY_ORDER),
		.unique_key_count = 2,
	},
	[SECTION_TARGET] = {
		.name = "target",
		.required = KEYS(KEY_SERVICE, KEY_LAYOUT, KEY_SHARD,
				 KEY_DATA_CENTER, KEY_VERSION, KEY_ADDRESS),
		.optional = NO_KEYS,
		.sort_keys = KEYS(KEY_SERVICE, KEY_LAYOUT, KEY_SHARD,
			     KEY_DATA_CENTER, KEY_ADDRESS),
		.unique_key_count = 0,
	},
	[SECTION_MOVE] = {
		.name = "move",
		.required = KEYS(KEY_SERVICE, KEY_FROM, KEY_TO, KEY_START,
				 KEY_DONE_BY),
		.optional = KEYS(KEY_WITHOUT_EVIDENCE, KEY_TAKEN_BACK),
		.sort_keys = KEYS(KEY_SERVICE),
		.unique_key_count = 1,
	},
};

const config_key_info_t *config_key_info(config_key_t key)
{
	return &keys[key];
}

const config_section_info_t *config_section_info(config_section_t section)
{
	return &sections[section];
}
