/*
 * The commands "front" and "gather": settings are read and checked whole, then
 * the process runs until it is told to stop.
 */
#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>

#include "main_private.h"
#include "mc/front.h"
#include "mc/gather.h"

enum {
	EXIT_FAILED = 1,
	SETTINGS_SIZE = 64 << 10,
	FAULTS_SIZE = 4096,
};

static int read_settings(const char *path, mc_role_t role,
			 mc_settings_t *settings)
{
	static const char how[] = "mangocove: %s: %s\n";
	char faults[FAULTS_SIZE];
	char *text = malloc(SETTINGS_SIZE);
	FILE *file = fopen(path, "r");
	size_t size = 0;
	int status = MC_CLI_IO;

	if (file && text)
		size = fread(text, 1, SETTINGS_SIZE, file);
	if (!file || !text || ferror(file)) {
		fprintf(stderr, how, path, "can't be read");
	} else if (mc_settings_parse(text, size, role, settings, faults,
				     sizeof(faults))) {
		fprintf(stderr, how, path, "faults in the settings:");
		fputs(faults, stderr);
		status = MC_CLI_BAD_INPUT;
	} else {
		status = MC_CLI_OK;
	}
	if (file)
		fclose(file);
	free(text);
	return status;
}

static int run(const mc_role_ops_t *ops, const char *path, const char *level)
{
	mc_settings_t *settings = calloc(1, sizeof(*settings));
	mc_log_t *log;
	int status;

	if (!settings)
		return EXIT_FAILED;
	status = read_settings(path, ops->role, settings);
	if (!status && level &&
	    mc_log_level_parse(level, &settings->log_level)) {
		fprintf(stderr, "mangocove: %s\n", mc_last_message());
		status = MC_CLI_BAD_INPUT;
	}
	if (!status && mc_net_init())
		status = EXIT_FAILED;
	if (status) {
		free(settings);
		return status;
	}
	log = mc_log_create(mc_log_sink_stderr(), settings->log_level);
	status = mc_process_run(ops, settings, log);
	mc_log_destroy(log);
	free(settings);
	return status;
}

static int run_role(const mc_role_ops_t *ops, int argc, char **argv)
{
	struct arg_lit *help = arg_lit0(NULL, "help", "show this help");
	struct arg_str *level = arg_str0(
		NULL, "log-level", "LEVEL",
		"error, warning, notice, info or debug, instead of the file's");
	struct arg_file *path =
		arg_file1(NULL, NULL, "SETTINGS", "settings in TOML");
	struct arg_end *end = arg_end(8);
	void *table[] = { help, level, path, end };
	int faults = arg_parse(argc, argv, table);
	int status = MC_CLI_OK;

	if (help->count) {
		printf("Usage: mangocove %s", ops->name);
		arg_print_syntax(stdout, table, "\n");
		arg_print_glossary(stdout, table, "  %-24s %s\n");
		printf("\nExample: mangocove %s %s.toml\n", ops->name,
		       ops->name);
	} else if (faults) {
		arg_print_errors(stderr, end, "mangocove");
		status = MC_CLI_BAD_INPUT;
	} else {
		status = run(ops, path->filename[0],
			     level->count ? level->sval[0] : NULL);
	}
	arg_freetable(table, MC_ARRAY_LEN(table));
	return status;
}

int run_front(int argc, char **argv)
{
	return run_role(mc_front_ops(), argc, argv);
}

int run_gather(int argc, char **argv)
{
	return run_role(mc_gather_ops(), argc, argv);
}
