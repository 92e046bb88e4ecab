/*
 * Lifetime of an intent, and its print: the rows are read back as a
 * configuration, so that an intent is checked by the same rules as a text.
 */
#include "builder.h"

#include <stdlib.h>
#include <string.h>

enum {
	EXIT_FAULTS = 2,
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

/* Prints line @number of the rows, as the caller has not seen them. */
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

static void print_faults(const mc_intent_t *intent,
			 const mc_config_errors_t *faults)
{
	uint32_t i;

	for (i = 0; i < faults->count && i < MC_ARRAY_LEN(faults->list); i++) {
		const mc_config_error_t *fault = &faults->list[i];

		fprintf(stderr, "line %u: %s: %s\n", fault->line, fault->key,
			fault->message);
		print_line(intent, fault->line);
	}
	if (i < faults->count)
		fprintf(stderr, "%u more faults\n", faults->count - i);
}

static mc_err_t print_config(const mc_config_t *config, FILE *out)
{
	char *text;
	mc_err_t err = mc_config_print(config, &text);

	if (err)
		return err;
	if (fputs(text, out) < 0 || fflush(out))
		err = mc_fail(MC_ERR_IO, "the text could not be written");
	free(text);
	return err;
}

int mc_intent_print(const mc_intent_t *intent, FILE *out)
{
	mc_config_errors_t faults = { 0 };
	const mc_config_t *config;
	mc_err_t err;

	if (fflush(intent->out) || ferror(intent->out)) {
		fputs("no memory for the intent\n", stderr);
		return EXIT_FAULTS;
	}
	err = mc_config_parse(intent->text, intent->size, 0, 0, &config,
			      &faults);
	if (!err) {
		err = print_config(config, out);
		mc_config_unref(config);
	}
	print_faults(intent, &faults);
	if (err && !faults.count)
		fprintf(stderr, "%s\n", mc_last_error_message());
	return err ? EXIT_FAULTS : 0;
}
