/*
 * Runs load scenarios against an installation on the loopback address. Prints
 * the tables of each scenario and writes them to a Markdown file and the
 * figures to a CSV file.
 */
#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "scenario.h"

enum {
	ARGUMENT_COUNT = 5,
	SECONDS_MAX = 300,
	RATE_MAX = 5000,
};

static const scenario_t scenarios[] = {
	{ "steady", "latency and cost without faults", scenario_steady },
	{ "straggler", "one target, or request, in 50 is 20 times slower",
	  scenario_straggler },
	{ "killed", "a target is killed and started again", scenario_killed },
	{ "cold", "five targets restart cold under load", scenario_cold },
	{ "overload", "twice the capacity of the targets, in three classes",
	  scenario_overload },
	{ "out", "a data centre is taken out of service and put back",
	  scenario_out },
	{ "slopes", "cost against the number of shards, gathers and targets",
	  scenario_slopes },
	{ "members", "idle cost against the number of instances",
	  scenario_members },
};

static int run_scenario(const scenario_t *scenario, const char *directory,
			double seconds, double rate)
{
	bench_t bench = {
		.duration_s = seconds,
		.search_rate = rate,
		.report = report_open(directory, scenario->name,
				      scenario->title, seconds),
	};

	if (!bench.report) {
		fprintf(stderr, "bench: cannot write to directory %s\n",
			directory);
		return EXIT_FAILURE;
	}
	scenario->run(&bench);
	report_close(bench.report);
	return EXIT_SUCCESS;
}

static int print_usage(void)
{
	size_t i;

	fprintf(stderr,
		"usage: bench SCENARIO|all SECONDS RATE FOLDER\n"
		"SECONDS: 1 to %d; RATE: 1 to %d searches per second\n",
		SECONDS_MAX, RATE_MAX);
	for (i = 0; i < MC_ARRAY_LEN(scenarios); i++)
		fprintf(stderr, "  %-10s %s\n", scenarios[i].name,
			scenarios[i].title);
	return EXIT_FAILURE;
}

int main(int argc, char **argv)
{
	double seconds = argc == ARGUMENT_COUNT ? strtod(argv[2], NULL) : 0;
	double rate = argc == ARGUMENT_COUNT ? strtod(argv[3], NULL) : 0;
	int status = EXIT_SUCCESS;
	bool found = false;
	bool all;
	size_t i;

	if (seconds < 1 || seconds > SECONDS_MAX || rate < 1 || rate > RATE_MAX)
		return print_usage();
	curl_global_init(CURL_GLOBAL_ALL);
	all = !strcmp(argv[1], "all");
	for (i = 0; i < MC_ARRAY_LEN(scenarios) && !status; i++) {
		if (!all && strcmp(argv[1], scenarios[i].name) != 0)
			continue;
		found = true;
		status = run_scenario(&scenarios[i], argv[4], seconds, rate);
	}
	return found ? status : print_usage();
}
