/*
 * No faults: time of answers at several rates, what a sub-query costs, and
 * what log lines cost.
 */
#include <stdio.h>

#include "scenario.h"
#include "trial.h"

static const double rates[] = { 50, 100, 200, 400, 800 };
static const double run_rate = 5;

static void run_rate_of(const bench_t *bench, double rate, const char *level)
{
	char variant[RESULT_VARIANT_SIZE];
	trial_t trial = {
		.scenario = "steady",
		.variant = variant,
		.log_level = level,
		.rate = rate,
		.runs = run_rate,
		.seconds = bench->seconds,
	};
	result_t result;

	snprintf(variant, sizeof(variant), "%.0f/s log %s", rate, level);
	trial_run(&trial, &result);
	report_row(bench->report, &result);
}

void scenario_steady(const bench_t *bench)
{
	size_t i;

	for (i = 0; i < MC_ARRAY_LEN(rates); i++)
		run_rate_of(bench, rates[i], "warning");
	run_rate_of(bench, bench->rate, "info");
}
