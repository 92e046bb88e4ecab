/*
 * The commands "front", "gather" and "tier": they read and validate the
 * settings and then run the process until it is stopped by a signal.
 */
#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>

#include "main_private.h"
#include "mc/front.h"
#include "mc/gather.h"
#include "mc/runtime.h"
#include "mc/platform.h"
#include "mc/tier.h"

enum {
	EXIT_FAILED = 1,
	SETTINGS_SIZE = 64 << 10,
	ERRORS_SIZE = 4096,
};

static int read_settings(const char *path, mc_role_t role,
			 mc_settings_t *settings)
{
	static const char format[] = "mangocove: %s: %s\n";
	char errors[ERRORS_SIZE];
	char *text = malloc(SETTINGS_SIZE);
	FILE *file = fopen(path, "r");
	size_t size = 0;
	int status = MC_CLI_IO;

	if (file && text)
		size = fread(text, 1, SETTINGS_SIZE, file);
	if (!file || !text || ferror(file)) {
		fprintf(stderr, format, path, "cannot be read");
	} else if (mc_settings_parse(text, size, role, settings, errors,
				     sizeof(errors))) {
		fprintf(stderr, format, path, "errors in the settings:");
		fputs(errors, stderr);
		status = MC_CLI_BAD_INPUT;
	} else {
		status = MC_CLI_OK;
	}
	if (file)
		fclose(file);
	free(text);
	return status;
}

/* A command that runs a process with a role. */
typedef struct {
	const char *name;
	mc_role_t role;
	int (*run)(const char *path, const mc_settings_t *settings,
		   mc_log_t *log);
} role_command_t;

static int run_with_settings(const role_command_t *command, const char *path,
			     const char *level)
{
	mc_settings_t *settings = calloc(1, sizeof(*settings));
	mc_log_t *log;
	int status;

	if (!settings)
		return EXIT_FAILED;
	mc_runtime_block_signals();
	status = read_settings(path, command->role, settings);
	if (!status && level &&
	    mc_log_level_parse(level, &settings->log_level)) {
		fprintf(stderr, "mangocove: %s\n", mc_last_error_message());
		status = MC_CLI_BAD_INPUT;
	}
	if (!status && mc_net_init())
		status = EXIT_FAILED;
	if (status) {
		free(settings);
		return status;
	}
	log = mc_log_create(mc_log_sink_stdout(), settings->log_level);
	mc_crash_log_to(log);
	status = command->run(path, settings, log);
	mc_crash_log_to(NULL);
	mc_log_destroy(log);
	free(settings);
	return status;
}

static int run_role(const role_command_t *command, int argc, char **argv)
{
	struct arg_lit *help = arg_lit0(NULL, "help", "show this help");
	struct arg_str *level = arg_str0(
		NULL, "log-level", "LEVEL",
		"error, warning, notice, info or debug; overrides the file");
	struct arg_file *path =
		arg_file1(NULL, NULL, "SETTINGS", "settings file (TOML)");
	struct arg_end *end = arg_end(8);
	void *table[] = { help, level, path, end };
	int errors = arg_parse(argc, argv, table);
	int status = MC_CLI_OK;

	if (help->count) {
		printf("Usage: mangocove %s", command->name);
		arg_print_syntax(stdout, table, "\n");
		arg_print_glossary(stdout, table, "  %-24s %s\n");
		printf("\nExample: mangocove %s %s.toml\n", command->name,
		       command->name);
	} else if (errors) {
		arg_print_errors(stderr, end, "mangocove");
		status = MC_CLI_BAD_INPUT;
	} else {
		status =
			run_with_settings(command, path->filename[0],
					  level->count ? level->sval[0] : NULL);
	}
	arg_freetable(table, MC_ARRAY_LEN(table));
	return status;
}

static int run_as_front(const char *path, const mc_settings_t *settings,
			mc_log_t *log)
{
	(void)path;
	return mc_process_run(mc_front_ops(), settings, log);
}

static int run_as_gather(const char *path, const mc_settings_t *settings,
			 mc_log_t *log)
{
	(void)path;
	return mc_process_run(mc_gather_ops(), settings, log);
}

static int run_as_tier(const char *path, const mc_settings_t *settings,
		       mc_log_t *log)
{
	const mc_tier_params_t params = {
		.protocol = mc_platform_protocol(),
		.source = mc_platform_source(),
		.usage_store = mc_platform_usage_store(),
		.settings_path = path,
		.log = log,
	};

	return mc_tier_run(&params, settings);
}

int run_front(int argc, char **argv)
{
	static const role_command_t command = { .name = "front",
						.role = MC_ROLE_FRONT,
						.run = run_as_front };

	return run_role(&command, argc, argv);
}

int run_gather(int argc, char **argv)
{
	static const role_command_t command = { .name = "gather",
						.role = MC_ROLE_GATHER,
						.run = run_as_gather };

	return run_role(&command, argc, argv);
}

int run_tier(int argc, char **argv)
{
	static const role_command_t command = { .name = "tier",
						.role = MC_ROLE_TIER,
						.run = run_as_tier };

	return run_role(&command, argc, argv);
}
