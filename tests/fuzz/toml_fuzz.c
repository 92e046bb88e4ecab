/*
 * Fuzzes the toml library. The first byte selects the test: the remaining bytes
 * as text, whose tree must be well-formed, or a generated text, whose tree must
 * contain the generated values.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mc/toml.h"

enum {
	KEYS_MAX = 64,
	TEXT_SIZE = 1 << 16,
	/* Above the library's limits on dots and nesting together. */
	DEPTH_MAX = 400,
};

#define REQUIRE(condition) ((condition) ? (void)0 : abort())

/*
 * Checks a tree: siblings are in the order of the text, only the children of
 * tables have keys, and the keys of a table are unique.
 */
static void check_tree(const mc_toml_node_t *node, uint32_t lines, int depth)
{
	const mc_toml_node_t *child, *other;

	REQUIRE(depth < DEPTH_MAX);
	REQUIRE(node->line >= 1 && node->line <= lines);
	REQUIRE((node->kind == MC_TOML_STRING) == !!node->string);
	for (child = node->first; child; child = child->next) {
		REQUIRE(node->kind <= MC_TOML_ARRAY);
		REQUIRE((node->kind == MC_TOML_TABLE) == !!child->key);
		REQUIRE(!child->next || child->line <= child->next->line);
		for (other = node->first; child->key && other != child;
		     other = other->next)
			REQUIRE(strcmp(other->key, child->key));
		check_tree(child, lines, depth + 1);
	}
}

static void fuzz_bytes(const char *text, size_t size)
{
	uint32_t lines = 1, line = 0;
	mc_toml_node_t *root;
	mc_err_t err;
	size_t i;

	for (i = 0; i < size; i++)
		lines += text[i] == '\n';
	err = mc_toml_parse(text, size, &root, &line);
	REQUIRE(!err == !!root);
	if (root)
		check_tree(root, lines, 0);
	else
		REQUIRE(err == MC_ERR_BAD_CONFIG && line <= lines + 1);
	mc_toml_free(root);
}

/* Writes the value that is derived from byte @b: a string or a time. */
static void write_value(FILE *out, uint8_t b)
{
	if (b % 2)
		fprintf(out, "\"\\u%04x\\n\"", b + 1);
	else
		fprintf(out, "1970-01-01T00:00:%02d.%03d+00:01", b % 60, b);
}

static void check_value(const mc_toml_node_t *node, uint8_t b)
{
	if (b % 2)
		REQUIRE(strlen(node->string) == (b + 1 < 128 ? 2 : 3));
	else
		REQUIRE(node->kind == MC_TOML_TIME &&
			node->integer == (b % 60 - 60) * 1000 + b);
}

/*
 * Generates a key per byte, with names in descending order; a byte with bit 6
 * set ends the row.
 */
static void fuzz_model(const uint8_t *data, size_t size)
{
	size_t count = size < KEYS_MAX ? size : KEYS_MAX, used, i;
	char *text = NULL;
	FILE *out = open_memstream(&text, &used);
	const mc_toml_node_t *row, *node;
	mc_toml_node_t *root;
	uint32_t line;

	fputs("[[row]]\n", out);
	for (i = 0; i < count; i++) {
		fprintf(out, "k%zu = ", KEYS_MAX - i);
		write_value(out, data[i]);
		fputs(data[i] & 64 ? "\n[[row]]\n" : " # .\n", out);
	}
	fclose(out);
	REQUIRE(!mc_toml_parse(text, used, &root, &line));
	row = root->first->first;
	for (i = 0, node = row->first, line = 2; i < count; i++, line++) {
		REQUIRE(node->line == line);
		check_value(node, data[i]);
		node = node->next;
		if (!(data[i] & 64))
			continue;
		REQUIRE(!node);
		row = row->next;
		node = row->first;
		line++;
	}
	REQUIRE(!node && !row->next);
	mc_toml_free(root);
	free(text);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	if (size && data[0] % 2)
		fuzz_model(data + 1, size - 1);
	else if (size)
		fuzz_bytes((const char *)data + 1, size - 1);
	return 0;
}
