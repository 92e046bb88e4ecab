/*
 * What the commands on files have in common, shared by the files of the cli
 * library.
 */
#ifndef MC_CLI_COMMAND_H
#define MC_CLI_COMMAND_H

#include <argtable2.h>

#include "mc/cli.h"
#include "mc/config.h"

/**
 * struct cli_usage_t - a command's arguments and what its usage says
 * @name: its name
 * @purpose: what it does
 * @example: a call of it
 * @table: argtable's table, with @help and @end
 * @help: asks for the usage
 * @end: ends the table
 */
typedef struct cli_usage_t {
	const char *name;
	const char *purpose;
	const char *example;
	void **table;
	struct arg_lit *help;
	struct arg_end *end;
} cli_usage_t;

/**
 * cli_parse() - read arguments
 * @usage: the command
 * @argc: number of arguments
 * @argv: arguments, the command's name first
 * @status: receives the exit status when the command shall not go on
 *
 * Return: true to go on; false after the usage or faults were printed.
 */
bool cli_parse(const cli_usage_t *usage, int argc, char **argv,
	       mc_cli_exit_t *status);

/**
 * cli_read_config() - read and check a file; its faults are printed
 * @name: the file's name; "-" is standard input
 * @now: time for the check of moves, ms since the Unix epoch; 0 skips it
 * @config: receives the configuration, one reference held by the caller
 */
mc_cli_exit_t cli_read_config(const char *name, mc_ms_t now,
			      const mc_config_t **config);

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
