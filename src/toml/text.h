/*
 * Checks of a text before it is parsed. The parser limits the nesting of values
 * but not the number of dots in keys, and it frees its trees recursively, so a
 * deep tree could overflow the stack. Some non-ASCII characters outside
 * comments cause undefined behaviour in the parser; no name or address needs
 * them.
 */
#ifndef MC_TOML_TEXT_H
#define MC_TOML_TEXT_H

#include <stddef.h>
#include <stdint.h>

#include "mc/base.h"

enum {
	/* Maximum number of dots in one key or table header. */
	MC_TOML_DOTS_MAX = 16,
	/* Maximum nesting of arrays and inline tables. */
	MC_TOML_NESTED_MAX = 16,
};

/**
 * mc_toml_check_text() - Reject deep keys and non-ASCII characters outside
 * comments.
 * @text: TOML text
 * @size: length of @text in bytes
 * @line: receives the line of the error
 *
 * Return: MC_OK or MC_ERR_BAD_CONFIG.
 */
mc_err_t mc_toml_check_text(const char *text, size_t size, uint32_t *line);

#endif
