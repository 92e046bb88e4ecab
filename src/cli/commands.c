/*
 * The commands "check" and "print".
 */
#include "command.h"

#include <stdio.h>
#include <stdlib.h>

static mc_cli_exit_t flush_output(void)
{
	if (!fflush(stdout) && !ferror(stdout))
		return MC_CLI_OK;
	fputs("standard output could not be written\n", stderr);
	return MC_CLI_IO;
}

static mc_cli_exit_t run_check(const mc_config_t *config)
{
	printf("ok: %u data centres, %u services, %u layouts, %u snapshots, "
	       "%u targets, %u moves\n",
	       config->data_center_count, config->service_count,
	       config->layout_count, config->snapshot_count,
	       config->target_count, config->move_count);
	return flush_output();
}

static mc_cli_exit_t run_print(const mc_config_t *config)
{
	char *text;

	if (mc_config_print(config, &text)) {
		fprintf(stderr, "%s\n", mc_last_error_message());
		return MC_CLI_IO;
	}
	fputs(text, stdout);
	free(text);
	return flush_output();
}

int mc_cli_check(int argc, char **argv)
{
	const cli_command_t command = {
		.name = "check",
		.purpose = "Validates a configuration for submission.",
		.example = "mangocove check garden.toml",
		.now = mc_clock_wall(mc_clock_system()),
		.run = run_check,
	};

	return cli_run(&command, argc, argv);
}

int mc_cli_print(int argc, char **argv)
{
	const cli_command_t command = {
		.name = "print",
		.purpose = "Prints a configuration as canonical TOML.",
		.example = "./garden | mangocove print -",
		.run = run_print,
	};

	return cli_run(&command, argc, argv);
}
