/*
 * Public header of the toml library: parses TOML into a tree of nodes with line
 * numbers, and writes single values. The parser is toml++ behind a C interface.
 */
#ifndef MC_TOML_H
#define MC_TOML_H

#include <stdio.h>

#include "mc/base.h"

/** MC_TOML_TIME_LOCAL - value of a date or time without a UTC offset */
#define MC_TOML_TIME_LOCAL INT64_MIN

/** MC_TOML_TIME_MAX - 9999-12-31T23:59:59.999Z, ms since the Unix epoch */
#define MC_TOML_TIME_MAX INT64_C(253402300799999)

/** enum mc_toml_kind_t - kinds of nodes */
typedef enum mc_toml_kind_t {
	MC_TOML_TABLE,
	MC_TOML_ARRAY,
	MC_TOML_STRING,
	MC_TOML_INTEGER,
	MC_TOML_FLOAT,
	MC_TOML_BOOLEAN,
	MC_TOML_TIME,
} mc_toml_kind_t;

/**
 * struct mc_toml_node_t - a node of the tree
 * @kind: kind of the node
 * @line: line in the text, from 1
 * @key: key in the parent table; NULL in an array
 * @string: NUL-terminated value of a string
 * @integer: value of an integer or boolean; value of a time in ms since the
 *	Unix epoch, or MC_TOML_TIME_LOCAL if it has no UTC offset
 * @real: value of a float
 * @next: next sibling, in the order of the text
 * @first: first child of a table or array
 */
typedef struct mc_toml_node_t {
	mc_toml_kind_t kind;
	uint32_t line;
	const char *key;
	const char *string;
	int64_t integer;
	double real;
	struct mc_toml_node_t *next;
	struct mc_toml_node_t *first;
} mc_toml_node_t;

/**
 * mc_toml_parse() - Parse a text.
 * @text: TOML text; only comments may contain non-ASCII characters, and the
 *	nesting of keys and values is limited
 * @size: length of @text in bytes
 * @root: receives the root table, to be freed with mc_toml_free(); NULL on
 *	failure
 * @line: receives the line of a syntax error
 *
 * Return: MC_OK, MC_ERR_BAD_CONFIG, MC_ERR_NO_MEMORY.
 */
mc_err_t mc_toml_parse(const char *text, size_t size, mc_toml_node_t **root,
		       uint32_t *line);

/** mc_toml_free() - Free a tree. NULL is allowed. */
void mc_toml_free(mc_toml_node_t *root);

/** mc_toml_kind_name() - Get a kind's name for messages, such as "a table". */
const char *mc_toml_kind_name(mc_toml_kind_t kind);

/**
 * mc_toml_write_string() - Write a line with a key and a string.
 * @out: stream
 * @key: bare key
 * @value: any text; each byte that is not printable ASCII is escaped separately
 */
void mc_toml_write_string(FILE *out, const char *key, const char *value);

/**
 * mc_toml_write_time() - Write a line with a key and a time in UTC.
 * @out: stream
 * @key: bare key
 * @value: ms since the Unix epoch; written as an integer if it is outside of
 *	0..MC_TOML_TIME_MAX, which TOML cannot express as a time
 */
void mc_toml_write_time(FILE *out, const char *key, mc_ms_t value);

#endif
