/*
 * Bound on the depth of dotted keys and table headers. The parser bounds the
 * nesting of values but not that of keys, and its trees are freed
 * recursively.
 */
#ifndef MC_TOML_DEPTH_H
#define MC_TOML_DEPTH_H

#include <stddef.h>
#include <stdint.h>

#include "mc/base.h"

enum {
	/* Most dots in one key or header. */
	MC_TOML_DOTS_MAX = 16,
	/* Most arrays and inline tables within each other. */
	MC_TOML_NESTED_MAX = 16,
};

/**
 * mc_toml_check_depth() - refuse keys with too many dots
 * @text: TOML text
 * @size: bytes of @text
 * @line: receives the line of the key that is too deep
 *
 * Return: MC_OK or MC_ERR_BAD_CONFIG with a last message.
 */
mc_err_t mc_toml_check_depth(const char *text, size_t size, uint32_t *line);

#endif
