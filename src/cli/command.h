/*
 * What the commands on files have in common, shared by the files of the cli
 * library.
 */
#ifndef MC_CLI_COMMAND_H
#define MC_CLI_COMMAND_H

#include "mc/cli.h"
#include "mc/config.h"

/**
 * struct cli_command_t - one command on a file
 * @name: its name
 * @purpose: what it does, for the usage
 * @example: a call of it, for the usage
 * @now: time for the check of moves, ms since the Unix epoch; 0 skips it
 * @run: does the work on a valid configuration
 */
typedef struct cli_command_t {
	const char *name;
	const char *purpose;
	const char *example;
	mc_ms_t now;
	mc_cli_exit_t (*run)(const mc_config_t *config);
} cli_command_t;

/** cli_run() - read the arguments and the file, and run @command on it */
mc_cli_exit_t cli_run(const cli_command_t *command, int argc, char **argv);

#endif
