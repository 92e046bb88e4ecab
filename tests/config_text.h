/*
 * Helpers to write and parse configurations in tests.
 */
#ifndef MC_TESTS_CONFIG_TEXT_H
#define MC_TESTS_CONFIG_TEXT_H

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mc/config.h"

enum {
	CONFIG_TEXT_SIZE = MC_CONFIG_TEXT_MAX,
};

/**
 * struct config_text_t - text of a configuration; zero-initialize it
 * @used: length of @data in bytes
 * @data: the text, allocated by config_text_add(); NULL at first
 */
typedef struct config_text_t {
	size_t used;
	char *data;
} config_text_t;

/** config_text_add() - Append formatted text. */
__attribute__((format(printf, 2, 3))) static inline void config_text_add(
	config_text_t *text, const char *format, ...)
{
	va_list args;

	if (!text->data)
		text->data = malloc(CONFIG_TEXT_SIZE);
	va_start(args, format);
	text->used +=
		(size_t)vsnprintf(text->data + text->used,
				  CONFIG_TEXT_SIZE - text->used, format, args);
	va_end(args);
}

/**
 * config_text_parse() - Parse a text, which must be valid, and free it.
 *
 * Return: the configuration with one reference, owned by the caller.
 */
static inline const mc_config_t *config_text_parse(config_text_t *text)
{
	mc_config_errors_t errors = { 0 };
	const mc_config_t *config;

	if (mc_config_parse(text->data, text->used, 1, 0, &config, &errors)) {
		fprintf(stderr, "%s\n%s\n", mc_last_error_message(),
			text->data);
		abort();
	}
	free(text->data);
	*text = (config_text_t){ 0 };
	return config;
}

/** config_target_at() - Get the row of a target, which must exist. */
static inline mc_row_t config_target_at(const mc_config_t *config,
					const char *address)
{
	mc_row_t i;

	for (i = 0; i < config->target_count; i++)
		if (!strcmp(config->targets[i].address, address))
			return i;
	abort();
}

#endif
