/*
 * Helpers of the commands, shared by the files of the cli library: parsing of
 * arguments, reading of configuration files, and commands that take one file.
 */
#ifndef MC_CLI_COMMAND_H
#define MC_CLI_COMMAND_H

#include <argtable2.h>

#include "mc/cli.h"
#include "mc/config.h"

/**
 * struct cli_usage_t - arguments of a command and its usage text
 * @name: name of the command
 * @purpose: one sentence about what it does
 * @example: example of a command line
 * @table: argument table for argtable, contains @help and @end
 * @help: option that prints the usage text
 * @end: last entry of the table
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
 * cli_parse() - Parse arguments.
 * @usage: the command
 * @argc: number of arguments
 * @argv: arguments, beginning with the command's name
 * @status: receives the exit status if the result is false
 *
 * Return: true if the command is to run; false after the usage text or errors
 * were printed.
 */
bool cli_parse(const cli_usage_t *usage, int argc, char **argv,
	       mc_cli_exit_t *status);

/**
 * cli_read_config() - Read and validate a configuration file. Errors are
 * printed.
 * @name: file name, or "-" for standard input
 * @now: time against which moves are checked, ms since the Unix epoch; 0 skips
 *	the check
 * @config: receives the configuration with one reference, owned by the caller
 *
 * Return: exit status.
 */
mc_cli_exit_t cli_read_config(const char *name, mc_ms_t now,
			      const mc_config_t **config);

/**
 * struct cli_command_t - a command that takes one configuration file
 * @name: name of the command
 * @purpose: one sentence about what it does, for the usage text
 * @example: example of a command line, for the usage text
 * @now: time against which moves are checked, ms since the Unix epoch; 0 skips
 *	the check
 * @run: runs the command on a valid configuration; returns its exit status
 */
typedef struct cli_command_t {
	const char *name;
	const char *purpose;
	const char *example;
	mc_ms_t now;
	mc_cli_exit_t (*run)(const mc_config_t *config);
} cli_command_t;

/**
 * cli_run() - Parse the arguments, read the file and run the command on it.
 *
 * Return: exit status.
 */
mc_cli_exit_t cli_run(const cli_command_t *command, int argc, char **argv);

#endif
