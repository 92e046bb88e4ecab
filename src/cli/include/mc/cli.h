/*
 * Public header of the cli library: the operators' commands on files. Each
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
	/* A file could not be read or the result not be written. */
	MC_CLI_IO = 3,
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

#endif
