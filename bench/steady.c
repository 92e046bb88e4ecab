/*
 * Load without faults: latency at several search rates, CPU time per sub-query,
 * and the cost of logging at level "info".
 */
#include <stdio.h>

#include "scenario.h"
#include "trial.h"

static const double search_rates[] = { 50, 100, 200, 400, 800 };
static const double run_rate = 5;

static void run_at_rate(const bench_t *bench, double search_rate,
			const char *log_level)
{
	char variant[RESULT_VARIANT_SIZE];
	trial_t trial = {
		.scenario = "steady",
		.variant = variant,
		.log_level = log_level,
		.search_rate = search_rate,
		.run_rate = run_rate,
		.duration_s = bench->duration_s,
	};
	result_t result;

	snprintf(variant, sizeof(variant), "%.0f/s log %s", search_rate,
		 log_level);
	trial_run(&trial, &result);
	report_row(bench->report, &result);
}

void scenario_steady(const bench_t *bench)
{
	size_t i;

	for (i = 0; i < MC_ARRAY_LEN(search_rates); i++)
		run_at_rate(bench, search_rates[i], "warning");
	run_at_rate(bench, bench->search_rate, "info");
}
