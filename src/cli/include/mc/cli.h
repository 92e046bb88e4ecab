/*
 * Public header of the cli library: the operators' commands. Each
 * takes the arguments of main() from the command's name on, writes its result
 * to standard output and faults to standard error.
 */
#ifndef MC_CLI_H
#define MC_CLI_H

/** enum mc_cli_exit_t - exit statuses of the commands */
typedef enum mc_cli_exit_t {
	MC_CLI_OK = 0,
	/* The arguments or the configuration have faults. */
	MC_CLI_BAD_INPUT = 2,
	/* A file, a front or the store could not be read or written. */
	MC_CLI_IO = 3,
	/* Another change came first; nothing was accepted. */
	MC_CLI_CONFLICT = 4,
	/* The store's answer was lost; the change may be accepted. */
	MC_CLI_OUTCOME_UNKNOWN = 5,
} mc_cli_exit_t;

/**
 * mc_cli_check() - "check FILE|-": check a configuration as a submission
 * @argc: number of arguments
 * @argv: "check" and the file's name; "-" is standard input
 *
 * Return: an exit status.
 */
int mc_cli_check(int argc, char **argv);

/**
 * mc_cli_print() - "print FILE|-": print a configuration as canonical TOML
 * @argc: number of arguments
 * @argv: "print" and the file's name; "-" is standard input
 *
 * Return: an exit status.
 */
int mc_cli_print(int argc, char **argv);

/**
 * mc_cli_submit() - "submit --platform IP:PORT FILE|-": submit a configuration
 * @argc: number of arguments
 * @argv: "submit" and its arguments
 *
 * Says "accepted" only when that is known.
 *
 * Return: an exit status.
 */
int mc_cli_submit(int argc, char **argv);

/**
 * mc_cli_status() - "status IP:PORT...": show fronts' view of the fleet
 * @argc: number of arguments
 * @argv: "status" and its arguments
 *
 * Return: an exit status.
 */
int mc_cli_status(int argc, char **argv);

#endif
