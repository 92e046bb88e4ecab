/*
 * Arguments, files and faults of the commands.
 */
#include "command.h"

#include <argtable2.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* One more byte than is allowed, so that a longer file is noticed. */
#define READ_MAX ((size_t)MC_CONFIG_TEXT_MAX + 1)

static void print_usage(FILE *out, const cli_command_t *command, void **table)
{
	fprintf(out, "Usage: mangocove %s", command->name);
	arg_print_syntax(out, table, "\n");
	fprintf(out, "%s\n\n", command->purpose);
	arg_print_glossary(out, table, "  %-14s %s\n");
	fprintf(out, "\nExample: %s\n", command->example);
}

static mc_cli_exit_t fail_read(const char *name)
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
		return fail_read(name);
	*size = fread(*text, 1, READ_MAX, in);
	if (!ferror(in))
		return MC_CLI_OK;
	free(*text);
	return fail_read(name);
}

static mc_cli_exit_t read_file(const char *name, char **text, size_t *size)
{
	mc_cli_exit_t status;
	FILE *in;

	if (!strcmp(name, "-"))
		return read_stream(stdin, name, text, size);
	in = fopen(name, "r");
	if (!in)
		return fail_read(name);
	status = read_stream(in, name, text, size);
	fclose(in);
	return status;
}

static void print_faults(const char *name, const mc_config_faults_t *faults)
{
	uint32_t i;

	for (i = 0; i < faults->count && i < MC_ARRAY_LEN(faults->list); i++)
		fprintf(stderr, "%s:%u: %s: %s\n", name, faults->list[i].line,
			faults->list[i].key, faults->list[i].message);
	if (i < faults->count)
		fprintf(stderr, "%s: %u more faults\n", name,
			faults->count - i);
	if (!faults->count)
		fprintf(stderr, "%s: %s\n", name, mc_last_message());
}

static mc_cli_exit_t run_on_file(const cli_command_t *command, const char *name)
{
	mc_config_faults_t faults;
	const mc_config_t *config;
	mc_cli_exit_t status;
	char *text;
	size_t size;

	status = read_file(name, &text, &size);
	if (status)
		return status;
	if (mc_config_parse(text, size, 0, command->now, &config, &faults)) {
		print_faults(name, &faults);
		status = MC_CLI_BAD_INPUT;
	} else {
		status = command->run(config);
		mc_config_unref(config);
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
	mc_cli_exit_t status = MC_CLI_OK;
	int faults;

	if (arg_nullcheck(table)) {
		fputs("no memory for the arguments\n", stderr);
		return MC_CLI_IO;
	}
	faults = arg_parse(argc, argv, table);
	if (help->count) {
		print_usage(stdout, command, table);
	} else if (faults) {
		arg_print_errors(stderr, end, command->name);
		print_usage(stderr, command, table);
		status = MC_CLI_BAD_INPUT;
	} else {
		status = run_on_file(command, file->filename[0]);
	}
	arg_freetable(table, MC_ARRAY_LEN(table));
	return status;
}
