/*
 * Checks of a text before it is parsed. The parser bounds the nesting of
 * values but not that of keys, and its trees are freed recursively. Some
 * characters above ASCII lead it to undefined behaviour outside comments; no
 * name or address needs them.
 */
#ifndef MC_TOML_TEXT_H
#define MC_TOML_TEXT_H

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
 * mc_toml_check_text() - refuse deep keys, and non-ASCII but in comments
 * @text: TOML text
 * @size: bytes of @text
 * @line: receives the line of the fault
 *
 * Return: MC_OK or MC_ERR_BAD_CONFIG with a last message.
 */
mc_err_t mc_toml_check_text(const char *text, size_t size, uint32_t *line);

#endif
