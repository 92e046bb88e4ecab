/*
 * Twice the load that targets bear, in three classes. A target bears 4
 * sub-queries of 40 ms, so 100 a second; two data centres of one target per
 * shard bear 200 searches a second.
 */
#include "scenario.h"
#include "trial.h"

enum {
	BEARS = 4,
	CAPACITY = 200,
};

static const double run_rate = 5;
static const double half_load = 0.5;
static const double double_load = 2;

typedef struct overload_variant_t {
	const char *name;
	const char *policy;
	double load;
} overload_variant_t;

static const overload_variant_t variants[] = {
	{ "0.5x; defaults", NULL, half_load },
	{ "2x; admission class, limit adaptive", NULL, double_load },
	{ "2x; admission class, concurrency 4", "concurrency = 4\n",
	  double_load },
	{ "2x; admission none, limit adaptive", "admission = \"none\"\n",
	  double_load },
	{ "2x; admission class, limit fixed", "limit = \"fixed\"\n",
	  double_load },
	{ "2x; admission class, limit none", "limit = \"none\"\n",
	  double_load },
	{ "2x; admission none, limit none",
	  "admission = \"none\"\nlimit = \"none\"\n", double_load },
};

void scenario_overload(const bench_t *bench)
{
	trial_t trial = {
		.scenario = "overload",
		.behaviour = "{\"delay_ms\":40,\"bears\":4,\"shed\":true}",
		.bears = BEARS,
		.runs = run_rate,
		.seconds = bench->seconds,
		.share = { 10, 60, 30 },
	};
	result_t result;
	size_t i;

	for (i = 0; i < MC_ARRAY_LEN(variants); i++) {
		trial.variant = variants[i].name;
		trial.policy = variants[i].policy;
		trial.rate = variants[i].load * CAPACITY;
		trial_run(&trial, &result);
		report_row(bench->report, &result);
	}
}
