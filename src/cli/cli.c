/*
 * Parsing of arguments, reading of files and printing of errors for commands.
 */
#include "command.h"

#include <argtable2.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* One byte more than is allowed, so that the parser detects a longer file. */
#define READ_MAX ((size_t)MC_CONFIG_TEXT_MAX + 1)

static void print_usage(FILE *out, const cli_usage_t *usage)
{
	fprintf(out, "Usage: mangocove %s", usage->name);
	arg_print_syntax(out, usage->table, "\n");
	fprintf(out, "%s\n\n", usage->purpose);
	arg_print_glossary(out, usage->table, "  %-20s %s\n");
	fprintf(out, "\nExample: %s\n", usage->example);
}

static mc_cli_exit_t report_read_error(const char *name)
{
	fprintf(stderr, "%s: %s\n", name, strerror(errno));
	return MC_CLI_IO;
}

/* Reads at most READ_MAX bytes into a buffer that the caller frees. */
static mc_cli_exit_t read_stream(FILE *in, const char *name, char **text,
				 size_t *size)
{
	*text = malloc(READ_MAX);
	if (!*text)
		return report_read_error(name);
	*size = fread(*text, 1, READ_MAX, in);
	if (!ferror(in))
		return MC_CLI_OK;
	free(*text);
	return report_read_error(name);
}

static mc_cli_exit_t read_file(const char *name, char **text, size_t *size)
{
	mc_cli_exit_t status;
	FILE *in;

	if (!strcmp(name, "-"))
		return read_stream(stdin, name, text, size);
	in = fopen(name, "r");
	if (!in)
		return report_read_error(name);
	status = read_stream(in, name, text, size);
	fclose(in);
	return status;
}

static void print_errors(const char *name, const mc_config_errors_t *errors)
{
	uint32_t i;

	for (i = 0; i < errors->count && i < MC_ARRAY_LEN(errors->list); i++)
		fprintf(stderr, "%s:%u: %s: %s\n", name, errors->list[i].line,
			errors->list[i].key, errors->list[i].message);
	if (i < errors->count)
		fprintf(stderr, "%s: %u more errors\n", name,
			errors->count - i);
	if (!errors->count)
		fprintf(stderr, "%s: %s\n", name, mc_last_error_message());
}

bool cli_parse(const cli_usage_t *usage, int argc, char **argv,
	       mc_cli_exit_t *status)
{
	int errors;

	*status = MC_CLI_OK;
	if (arg_nullcheck(usage->table)) {
		fputs("out of memory while parsing the arguments\n", stderr);
		*status = MC_CLI_IO;
		return false;
	}
	errors = arg_parse(argc, argv, usage->table);
	if (usage->help->count) {
		print_usage(stdout, usage);
		return false;
	}
	if (!errors)
		return true;
	arg_print_errors(stderr, usage->end, usage->name);
	print_usage(stderr, usage);
	*status = MC_CLI_BAD_INPUT;
	return false;
}

mc_cli_exit_t cli_read_config(const char *name, mc_ms_t now,
			      const mc_config_t **config)
{
	mc_config_errors_t errors;
	mc_cli_exit_t status;
	char *text;
	size_t size;

	status = read_file(name, &text, &size);
	if (status)
		return status;
	if (mc_config_parse(text, size, 0, now, config, &errors)) {
		print_errors(name, &errors);
		status = MC_CLI_BAD_INPUT;
	}
	free(text);
	return status;
}

mc_cli_exit_t cli_run(const cli_command_t *command, int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "print this help");
	struct arg_file *file = arg_file1(NULL, NULL, "FILE|-",
					  "configuration; - is standard input");
	struct arg_end *end = arg_end(1);
	void *table[] = { help, file, end };
	const cli_usage_t usage = {
		.name = command->name,
		.purpose = command->purpose,
		.example = command->example,
		.table = table,
		.help = help,
		.end = end,
	};
	const mc_config_t *config;
	mc_cli_exit_t status;

	if (cli_parse(&usage, argc, argv, &status))
		status = cli_read_config(file->filename[0], command->now,
					 &config);
	if (!status && !help->count) {
		status = command->run(config);
		mc_config_unref(config);
	}
	arg_freetable(table, MC_ARRAY_LEN(table));
	return status;
}
