/*
 * Public header of the toml library: a tree of nodes with line numbers, read
 * by toml++ behind one C file.
 */
#ifndef MC_TOML_H
#define MC_TOML_H

#include <stdio.h>

#include "mc/base.h"

/** MC_TOML_TIME_LOCAL - value of a time that has no offset */
#define MC_TOML_TIME_LOCAL INT64_MIN

/** MC_TOML_TIME_MAX - 9999-12-31T23:59:59.999Z, ms since the Unix epoch */
#define MC_TOML_TIME_MAX INT64_C(253402300799999)

/** enum mc_toml_kind_t - kind of a node */
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
 * struct mc_toml_node_t - one node of the tree
 * @kind: what it is
 * @line: its line in the text, from 1
 * @key: its key within a table; NULL within an array
 * @string: text of a string
 * @integer: value of an integer or boolean; of a time with an offset, ms since
 *	the Unix epoch, without one MC_TOML_TIME_LOCAL
 * @real: value of a float
 * @next: next node of the same table or array, in the order of the text
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
 * mc_toml_parse() - read a text
 * @text: TOML text; ASCII outside comments, keys and values of bounded depth
 * @size: bytes of @text
 * @root: receives the root table, to be freed with mc_toml_free()
 * @line: receives the line of a syntax error
 *
 * Return: MC_OK, MC_ERR_BAD_CONFIG with a last message, MC_ERR_NO_MEMORY.
 */
mc_err_t mc_toml_parse(const char *text, size_t size, mc_toml_node_t **root,
		       uint32_t *line);

/** mc_toml_free() - free a tree; NULL is allowed */
void mc_toml_free(mc_toml_node_t *root);

/** mc_toml_kind_name() - name of a kind for messages */
const char *mc_toml_kind_name(mc_toml_kind_t kind);

/**
 * mc_toml_write_string() - write a line with a key and a string
 * @out: stream
 * @key: bare key
 * @value: any text; bytes that are not printable ASCII are escaped one by one
 */
void mc_toml_write_string(FILE *out, const char *key, const char *value);

/**
 * mc_toml_write_time() - write a line with a key and a time in UTC
 * @out: stream
 * @key: bare key
 * @value: ms since the Unix epoch; outside 0..MC_TOML_TIME_MAX, which TOML
 *	can't express, it is written as an integer
 */
void mc_toml_write_time(FILE *out, const char *key, mc_ms_t value);

#endif
