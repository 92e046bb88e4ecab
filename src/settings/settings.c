/*
 * Parses settings: looks up each key of the text in the schema, and writes one
 * line for each error.
 */
#include "keys.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

enum {
	EXPECTED_SIZE = 160,
	DESCRIPTION_SIZE = 96,
	PATH_SIZE = 64,
	STRING_SHOWN_MAX = 48,
	LINE_SIZE = 256,
	/* Upper bound of the number of keys in the schema. */
	KEYS_MAX = 64,
};

/* State of the parser: the error text so far and the keys found. */
typedef struct reader_t {
	mc_settings_t *settings;
	char *errors;
	size_t size;
	size_t used;
	uint32_t count;
	bool key_seen[KEYS_MAX];
} reader_t;

static void add_error(reader_t *reader, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

/* Keeps an error message on one line whatever the text contains. */
static void replace_control_characters(char *text)
{
	for (; *text; text++)
		if ((unsigned char)*text < ' ' && (*text != '\n' || text[1]))
			*text = '?';
}

static void add_error(reader_t *reader, const char *format, ...)
{
	size_t room = reader->size - reader->used;
	va_list args;
	char *start;
	int length;

	reader->count++;
	if (!room)
		return;
	start = reader->errors + reader->used;
	va_start(args, format);
	length = vsnprintf(start, room, format, args);
	va_end(args);
	if (length < 0 || (size_t)length >= room) {
		*start = '\0';
		return;
	}
	replace_control_characters(start);
	reader->used += (size_t)length;
}

/* Describes a value for an error message, with long strings cut short. */
static void describe_node(const mc_toml_node_t *node, char *text, size_t size)
{
	if (node->kind == MC_TOML_STRING)
		snprintf(text, size, "\"%.*s\"", STRING_SHOWN_MAX,
			 node->string);
	else if (node->kind == MC_TOML_INTEGER)
		snprintf(text, size, "%lld", (long long)node->integer);
	else
		snprintf(text, size, "%s", mc_toml_kind_name(node->kind));
}

static void key_path(const char *table, const char *name, char *path)
{
	snprintf(path, PATH_SIZE, "%s%s%s", table ? table : "",
		 table ? "." : "", name);
}

static void read_value(reader_t *reader, const settings_key_t *key,
		       const mc_toml_node_t *node)
{
	char *field = (char *)reader->settings + key->offset;
	char expected[EXPECTED_SIZE], description[DESCRIPTION_SIZE],
		path[PATH_SIZE];

	reader->key_seen[key - settings_key_at(0)] = true;
	if (key->kind->read(key, node, field))
		return;
	key->kind->describe(key, expected, sizeof(expected));
	describe_node(node, description, sizeof(description));
	key_path(key->table, key->name, path);
	add_error(reader, "line %u: %s: expected %s, got %s\n", node->line,
		  path, expected, description);
}

static void read_table(reader_t *reader, const char *table,
		       const mc_toml_node_t *node);

static void read_subtable(reader_t *reader, const mc_toml_node_t *node)
{
	if (node->kind == MC_TOML_TABLE)
		read_table(reader, node->key, node);
	else
		add_error(reader, "line %u: %s: expected a table, got %s\n",
			  node->line, node->key, mc_toml_kind_name(node->kind));
}

static void read_table(reader_t *reader, const char *table,
		       const mc_toml_node_t *node)
{
	const mc_toml_node_t *child;
	char path[PATH_SIZE];

	for (child = node->first; child; child = child->next) {
		const settings_key_t *key =
			settings_key_find(table, child->key);

		if (key) {
			read_value(reader, key, child);
			continue;
		}
		if (!table && settings_is_table(child->key)) {
			read_subtable(reader, child);
			continue;
		}
		key_path(table, child->key, path);
		add_error(reader, "line %u: %s: expected a known key, got %s\n",
			  child->line, path, mc_toml_kind_name(child->kind));
	}
}

static bool is_required(const settings_key_t *key, mc_role_t role)
{
	switch (key->requirement) {
	case KEY_REQUIRED:
		return true;
	case KEY_REQUIRED_BY_FRONT:
		return role == MC_ROLE_FRONT;
	case KEY_REQUIRED_BY_GATHER:
		return role == MC_ROLE_GATHER;
	case KEY_REQUIRED_BY_TIER:
		return role == MC_ROLE_TIER;
	case KEY_OPTIONAL:
		break;
	}
	return false;
}

/* Returns the line of a table's header, or 1 if there is none. */
static uint32_t table_line(const mc_toml_node_t *root, const char *table)
{
	const mc_toml_node_t *child;

	for (child = root->first; child; child = child->next)
		if (table && !strcmp(child->key, table))
			return child->line;
	return 1;
}

static void check_required_keys(reader_t *reader, const mc_toml_node_t *root,
				mc_role_t role)
{
	char expected[EXPECTED_SIZE], path[PATH_SIZE];
	size_t i;

	for (i = 0; i < settings_key_count(); i++) {
		const settings_key_t *key = settings_key_at(i);

		if (reader->key_seen[i] || !is_required(key, role))
			continue;
		key->kind->describe(key, expected, sizeof(expected));
		key_path(key->table, key->name, path);
		add_error(reader,
			  "line %u: %s: expected %s, but the key is missing\n",
			  table_line(root, key->table), path, expected);
	}
}

/* The first empty entry ends the list, because an address is never empty. */
static void count_peers(mc_settings_t *settings)
{
	while (settings->peer_count < MC_SEED_PEERS_MAX &&
	       settings->peers[settings->peer_count][0])
		settings->peer_count++;
}

/* Copies line @number of @text, which begins with 1. */
static void copy_line(const char *text, size_t size, uint32_t number,
		      char *line, size_t line_size)
{
	const char *end = text + size, *stop;
	size_t length;

	while (--number && (stop = memchr(text, '\n', (size_t)(end - text))))
		text = stop + 1;
	stop = memchr(text, '\n', (size_t)(end - text));
	length = (size_t)((stop ? stop : end) - text);
	snprintf(line, line_size, "%.*s", (int)length, text);
}

/* Length of a plain key or table name. */
static size_t name_length(const char *text)
{
	return strspn(text, "abcdefghijklmnopqrstuvwxyz_");
}

/* Writes the path of the key on a line that can't be parsed, "file" where the
 * line has none, so that an operator sees what to mend. */
static void find_broken_key(const char *text, size_t size, uint32_t number,
			    char *path)
{
	char line[LINE_SIZE], table[PATH_SIZE / 2] = "";
	size_t length;
	uint32_t i;

	for (i = 1; i < number; i++) {
		copy_line(text, size, i, line, sizeof(line));
		length = name_length(line + 1);
		if (line[0] == '[' && line[length + 1] == ']')
			snprintf(table, sizeof(table), "%.*s", (int)length,
				 line + 1);
	}
	copy_line(text, size, number, line, sizeof(line));
	length = name_length(line);
	if (!length || length >= PATH_SIZE / 2 ||
	    line[length + strspn(line + length, " \t")] != '=') {
		snprintf(path, PATH_SIZE, "file");
		return;
	}
	line[length] = '\0';
	key_path(*table ? table : NULL, line, path);
}

static void add_syntax_error(reader_t *reader, const char *text, size_t size,
			     uint32_t line)
{
	const char *reason = mc_last_error_message();
	char path[PATH_SIZE];

	find_broken_key(text, size, line, path);
	add_error(reader, "line %u: %s: expected TOML, got %s\n", line, path,
		  reason);
}

mc_err_t mc_settings_parse(const char *text, size_t size, mc_role_t role,
			   mc_settings_t *settings, char *errors,
			   size_t errors_size)
{
	reader_t reader = { .settings = settings,
			    .errors = errors,
			    .size = errors_size };
	mc_toml_node_t *root;
	uint32_t line;

	if (errors_size)
		errors[0] = '\0';
	settings_set_defaults(settings);
	if (mc_toml_parse(text, size, &root, &line)) {
		add_syntax_error(&reader, text, size, line);
	} else {
		read_table(&reader, NULL, root);
		check_required_keys(&reader, root, role);
		mc_toml_free(root);
		count_peers(settings);
	}
	if (!reader.count)
		return MC_OK;
	return mc_fail(MC_ERR_BAD_SETTINGS, "%u errors in the settings",
		       reader.count);
}
