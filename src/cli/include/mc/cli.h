/*
 * Public header of the cli library: the commands for operators. Each takes the
 * arguments of main() beginning with the command's name, and writes its result
 * to standard output and errors to standard error.
 */
#ifndef MC_CLI_H
#define MC_CLI_H

/** enum mc_cli_exit_t - exit statuses of the commands */
typedef enum mc_cli_exit_t {
	MC_CLI_OK = 0,
	/* The arguments or the configuration are invalid. */
	MC_CLI_BAD_INPUT = 2,
	/* A file, a front or the store could not be read or written. */
	MC_CLI_IO = 3,
	/* The store held another version; nothing was written. */
	MC_CLI_CONFLICT = 4,
	/* The store's response was lost; the change may have been accepted. */
	MC_CLI_OUTCOME_UNKNOWN = 5,
} mc_cli_exit_t;

/**
 * mc_cli_check() - Run "check FILE|-": validate a configuration for submission.
 * @argc: number of arguments
 * @argv: "check" and a file name, or "-" for standard input
 *
 * Return: an exit status.
 */
int mc_cli_check(int argc, char **argv);

/**
 * mc_cli_print() - Run "print FILE|-": print a configuration as canonical TOML.
 * @argc: number of arguments
 * @argv: "print" and a file name, or "-" for standard input
 *
 * Return: an exit status.
 */
int mc_cli_print(int argc, char **argv);

/**
 * mc_cli_submit() - Run "submit --platform IP:PORT FILE|-": submit a
 * configuration.
 * @argc: number of arguments
 * @argv: "submit" and its arguments
 *
 * Prints "accepted" only if the store has certainly accepted the configuration.
 *
 * Return: an exit status.
 */
int mc_cli_submit(int argc, char **argv);

/**
 * mc_cli_status() - Run "status IP:PORT...": show the state of the cluster as
 * seen by fronts.
 * @argc: number of arguments
 * @argv: "status" and its arguments
 *
 * Return: an exit status.
 */
int mc_cli_status(int argc, char **argv);

#endif
