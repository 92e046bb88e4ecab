/*
 * Cost as a function of the number of shards, gathers, targets and instances;
 * the source of the figures in docs/CAPACITY.md.
 */
#include <stdio.h>

#include "scenario.h"
#include "trial.h"

enum {
	/* The same for all sizes: the search rate is this over the shards. */
	SUB_QUERIES_PER_S = 5000,
	DATA_CENTERS = 2,
};

static void run_with_shards(const bench_t *bench, uint32_t shards,
			    uint32_t instances)
{
	char variant[RESULT_VARIANT_SIZE];
	trial_t trial = {
		.scenario = "slopes",
		.variant = variant,
		.search_rate = (double)SUB_QUERIES_PER_S / shards,
		.duration_s = bench->duration_s,
		.shards = shards,
		.instances = instances,
	};
	result_t result;

	snprintf(variant, sizeof(variant), "%u shards; %u gathers each", shards,
		 instances);
	trial_run(&trial, &result);
	result_extra(&result, "shards", shards);
	result_extra(&result, "gathers_each", instances);
	result_extra(&result, "targets", (double)shards * DATA_CENTERS);
	report_row(bench->report, &result);
}

void scenario_slopes(const bench_t *bench)
{
	static const uint32_t shards[] = { 10, 25, 50, 100 };
	static const uint32_t instances[] = { 1, 4 };
	size_t i;

	for (i = 0; i < MC_ARRAY_LEN(shards); i++)
		run_with_shards(bench, shards[i], 2);
	for (i = 0; i < MC_ARRAY_LEN(instances); i++)
		run_with_shards(bench, 50, instances[i]);
}

static void run_idle_instances(const bench_t *bench, uint32_t count)
{
	char variant[RESULT_VARIANT_SIZE];
	trial_t trial = {
		.scenario = "members",
		.variant = variant,
		.duration_s = bench->duration_s,
		.shards = 10,
		.instances = count / DATA_CENTERS,
	};
	result_t result;

	snprintf(variant, sizeof(variant), "%u instances, idle", count);
	trial_run(&trial, &result);
	result_extra(&result, "instances", count);
	report_row(bench->report, &result);
}

void scenario_members(const bench_t *bench)
{
	static const uint32_t counts[] = { 2, 4, 8, 16, 32 };
	size_t i;

	for (i = 0; i < MC_ARRAY_LEN(counts); i++)
		run_idle_instances(bench, counts[i]);
}
