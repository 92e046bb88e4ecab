/*
 * Creates and prints intents. To print an intent, its text is parsed as a
 * configuration, so that the same rules apply as for a file.
 */
#include "builder.h"

#include <stdlib.h>
#include <string.h>

enum {
	EXIT_INVALID = 2,
};

mc_intent_t *mc_intent_create(void)
{
	mc_intent_t *intent = calloc(1, sizeof(*intent));

	if (!intent)
		return NULL;
	intent->out = open_memstream(&intent->text, &intent->size);
	if (intent->out)
		return intent;
	free(intent);
	return NULL;
}

void mc_intent_destroy(mc_intent_t *intent)
{
	if (!intent)
		return;
	fclose(intent->out);
	free(intent->text);
	free(intent);
}

/* Prints a line of the generated text, which the operator has not seen. */
static void print_line(const mc_intent_t *intent, uint32_t number)
{
	const char *line = intent->text;
	const char *end = intent->text + intent->size;

	while (number > 1 && line < end) {
		const char *newline = memchr(line, '\n', (size_t)(end - line));

		line = newline ? newline + 1 : end;
		number--;
	}
	fprintf(stderr, "\t%.*s\n", (int)strcspn(line, "\n"), line);
}

static void print_errors(const mc_intent_t *intent,
			 const mc_config_errors_t *errors)
{
	uint32_t i;

	for (i = 0; i < errors->count && i < MC_ARRAY_LEN(errors->list); i++) {
		const mc_config_error_t *error = &errors->list[i];

		fprintf(stderr, "line %u: %s: %s\n", error->line, error->key,
			error->message);
		print_line(intent, error->line);
	}
	if (i < errors->count)
		fprintf(stderr, "%u more errors\n", errors->count - i);
}

static mc_err_t print_config(const mc_config_t *config, FILE *out)
{
	char *text;
	mc_err_t err = mc_config_print(config, &text);

	if (err)
		return err;
	if (fputs(text, out) < 0 || fflush(out))
		err = mc_fail(MC_ERR_IO, "configuration could not be written");
	free(text);
	return err;
}

int mc_intent_print(const mc_intent_t *intent, FILE *out)
{
	mc_config_errors_t errors = { 0 };
	const mc_config_t *config;
	mc_err_t err;

	if (fflush(intent->out) || ferror(intent->out)) {
		fputs("out of memory while building the intent\n", stderr);
		return EXIT_INVALID;
	}
	err = mc_config_parse(intent->text, intent->size, 0, 0, &config,
			      &errors);
	if (!err) {
		err = print_config(config, out);
		mc_config_unref(config);
	}
	print_errors(intent, &errors);
	if (err && !errors.count)
		fprintf(stderr, "%s\n", mc_last_error_message());
	return err ? EXIT_INVALID : 0;
}
