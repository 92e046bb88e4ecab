/*
 * Load at twice the capacity of the targets, in three request classes. A target
 * executes 4 sub-queries of 40 ms concurrently, that is 100 per second. Two
 * data centres with one target per shard each therefore sustain 200 searches
 * per second.
 */
#include "scenario.h"
#include "trial.h"

enum {
	/* Concurrent sub-queries of a target. */
	TARGET_CAPACITY = 4,
	/* Searches per second of the whole installation. */
	SEARCH_CAPACITY = 200,
};

static const double run_rate = 5;
static const double half_load = 0.5;
static const double double_load = 2;

typedef struct overload_variant_t {
	const char *name;
	const char *policy;
	double load_factor;
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
		.target_behaviour =
			"{\"delay_ms\":40,\"bears\":4,\"shed\":true}",
		.target_capacity = TARGET_CAPACITY,
		.run_rate = run_rate,
		.duration_s = bench->duration_s,
		.class_percent = { 10, 60, 30 },
	};
	result_t result;
	size_t i;

	for (i = 0; i < MC_ARRAY_LEN(variants); i++) {
		trial.variant = variants[i].name;
		trial.policy = variants[i].policy;
		trial.search_rate = variants[i].load_factor * SEARCH_CAPACITY;
		trial_run(&trial, &result);
		report_row(bench->report, &result);
	}
}
