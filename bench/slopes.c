/*
 * How cost grows with the number of shards, gathers, targets and members, for
 * docs/CAPACITY.md.
 */
#include <stdio.h>

#include "scenario.h"
#include "trial.h"

enum {
	SUB_QUERIES_PER_S = 5000,
	DATA_CENTERS = 2,
};

static void run_size(const bench_t *bench, uint32_t shards, uint32_t instances)
{
	char variant[RESULT_VARIANT_SIZE];
	trial_t trial = {
		.scenario = "slopes",
		.variant = variant,
		.rate = (double)SUB_QUERIES_PER_S / shards,
		.seconds = bench->seconds,
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
		run_size(bench, shards[i], 2);
	for (i = 0; i < MC_ARRAY_LEN(instances); i++)
		run_size(bench, 50, instances[i]);
}

static void run_members(const bench_t *bench, uint32_t count)
{
	char variant[RESULT_VARIANT_SIZE];
	trial_t trial = {
		.scenario = "members",
		.variant = variant,
		.seconds = bench->seconds,
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
		run_members(bench, counts[i]);
}
