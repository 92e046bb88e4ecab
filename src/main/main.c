/*
 * Entry point: dispatches to the commands.
 */
#include <stdio.h>
#include <string.h>

#include "main_private.h"

static const command_t commands[] = {
	{ "front", run_front, "serve callers" },
	{ "gather", run_gather, "serve fronts and query targets" },
	{ "tier", run_tier, "serve callers and query targets of a platform" },
	{ "check", mc_cli_check, "validate a configuration" },
	{ "print", mc_cli_print, "print a configuration in canonical form" },
	{ "submit", mc_cli_submit, "submit a configuration to the store" },
	{ "status", mc_cli_status,
	  "show the state of the cluster as fronts see it" },
};

static void print_help(FILE *out)
{
	size_t i;

	fprintf(out, "Usage: mangocove COMMAND [ARGUMENTS]\n\n"
		     "Commands:\n");
	for (i = 0; i < MC_ARRAY_LEN(commands); i++)
		fprintf(out, "  %-8s %s\n", commands[i].name, commands[i].help);
	fprintf(out,
		"\n"
		"  --help, --version\n\n"
		"\"mangocove COMMAND --help\" shows the usage of a command.\n\n"
		"Exit status: 0 success; 1 failure; 2 invalid arguments, "
		"settings or configuration;\n"
		"3 a file or the platform cannot be accessed; 4 conflict with "
		"another change;\n"
		"5 outcome unknown\n");
}

int main(int argc, char **argv)
{
	size_t i;

	if (argc < 2) {
		print_help(stderr);
		return MC_CLI_BAD_INPUT;
	}
	if (!strcmp(argv[1], "--help")) {
		print_help(stdout);
		return MC_CLI_OK;
	}
	if (!strcmp(argv[1], "--version")) {
		printf("mangocove %s\n", MC_VERSION);
		return MC_CLI_OK;
	}
	for (i = 0; i < MC_ARRAY_LEN(commands); i++)
		if (!strcmp(argv[1], commands[i].name))
			return commands[i].run(argc - 1, argv + 1);
	fprintf(stderr, "mangocove: unknown command \"%s\"; see --help\n",
		argv[1]);
	return MC_CLI_BAD_INPUT;
}
