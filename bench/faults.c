/*
 * Faults under a steady load: slow, killed and cold targets, and a data centre
 * that is taken out of service.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "scenario.h"
#include "trial.h"

enum {
	DELAY_MS = 5,
	STRAGGLER_FACTOR = 20,
	/* Concurrent sub-queries of a cold target. */
	COLD_CAPACITY = 2,
	OUT_DATA_CENTER = 1,
};

static const double run_rate = 5;

typedef struct variant_t {
	const char *name;
	const char *policy;
	uint32_t replicas;
	trial_hook_fn_t before_load;
} variant_t;

static void run_variants(const bench_t *bench, const trial_t *common,
			 const variant_t *variants, size_t count)
{
	result_t result;
	trial_t trial;
	size_t i;

	for (i = 0; i < count; i++) {
		trial = *common;
		trial.variant = variants[i].name;
		trial.policy = variants[i].policy;
		trial.replicas = variants[i].replicas;
		trial.before_load = variants[i].before_load;
		trial_run(&trial, &result);
		report_row(bench->report, &result);
	}
}

/*
 * Slows down one target in 50: one in each data centre, of different shards, so
 * that no shard has two slow targets.
 */
static void set_slow_targets(trial_t *trial)
{
	const cluster_t *cluster = trial->cluster;
	uint32_t shards = cluster->params.shards;
	uint32_t step = cluster->target_count / 2;
	char body[HARNESS_URL_SIZE];

	snprintf(body, sizeof(body), "{\"delay_ms\":%d}",
		 DELAY_MS * STRAGGLER_FACTOR);
	cluster_control_target(&cluster->targets[0], body);
	cluster_control_target(&cluster->targets[step + shards / 2], body);
}

/* Slows down each request with a probability of 2 %. */
static void set_slow_requests(trial_t *trial)
{
	cluster_control_all_targets(trial->cluster,
				    "{\"delay_factor\":20,\"slow_percent\":2}");
}

void scenario_straggler(const bench_t *bench)
{
	static const char no_hedge[] = "hedge = \"none\"\n";
	static const char round_robin[] = "replica = \"round_robin\"\n";
	static const char hash[] = "replica = \"hash\"\n";
	static const variant_t variants[] = {
		{ "no straggler", NULL, 1, NULL },
		{ "target x20; hedge p95", NULL, 1, set_slow_targets },
		{ "target x20; hedge none", no_hedge, 1, set_slow_targets },
		{ "requests 2% x20; hedge p95", NULL, 1, set_slow_requests },
		{ "requests 2% x20; hedge none", no_hedge, 1,
		  set_slow_requests },
		{ "2 local replicas; no straggler", NULL, 2, NULL },
		{ "2 local; target x20; two_choices", NULL, 2,
		  set_slow_targets },
		{ "2 local; target x20; round_robin", round_robin, 2,
		  set_slow_targets },
		{ "2 local; target x20; hash", hash, 2, set_slow_targets },
		{ "2 local; target x20; two_choices, hedge none", no_hedge, 2,
		  set_slow_targets },
		{ "2 local; target x20; round_robin, hedge none",
		  "replica = \"round_robin\"\nhedge = \"none\"\n", 2,
		  set_slow_targets },
	};
	const trial_t common = {
		.scenario = "straggler",
		.search_rate = bench->search_rate,
		.run_rate = run_rate,
		.duration_s = bench->duration_s,
	};

	run_variants(bench, &common, variants, MC_ARRAY_LEN(variants));
}

/* Kills a target at 1/4 of the load's duration and restarts it at 5/8. */
static void kill_and_restart_target(trial_t *trial)
{
	cluster_t *cluster = trial->cluster;
	cluster_target_t *target = &cluster->targets[0];

	trial_sleep(trial->duration_s / 4);
	trial->killed_shard = (int)target->shard;
	harness_stop(cluster->harness, target->process, SIGKILL);
	trial_sleep(trial->duration_s * 3 / 8);
	cluster_start_target(cluster, target);
	cluster_control_target(target, trial->target_behaviour);
}

void scenario_killed(const bench_t *bench)
{
	static const variant_t variants[] = {
		{ "hedge p95, retry budget", NULL, 1, NULL },
		{ "hedge none, retry budget", "hedge = \"none\"\n", 1, NULL },
		{ "hedge p95, retry none", "retry = \"none\"\n", 1, NULL },
		{ "hedge none, retry none",
		  "hedge = \"none\"\nretry = \"none\"\n", 1, NULL },
	};
	const trial_t common = {
		.scenario = "killed",
		.target_behaviour = "{\"delay_ms\":5}",
		.search_rate = bench->search_rate,
		.run_rate = run_rate,
		.duration_s = bench->duration_s,
		.targets_per_process = 1,
		.during_load = kill_and_restart_target,
	};

	run_variants(bench, &common, variants, MC_ARRAY_LEN(variants));
}

/* Restarts five targets, which are then cold, at 1/4 of the duration. */
static void restart_five_targets(trial_t *trial)
{
	const cluster_t *cluster = trial->cluster;
	uint32_t i;

	trial_sleep(trial->duration_s / 4);
	for (i = 0; i < cluster->target_count; i += cluster->target_count / 5)
		cluster_control_target(&cluster->targets[i],
				       "{\"restart\":true}");
}

void scenario_cold(const bench_t *bench)
{
	static const variant_t variants[] = {
		{ "ramp on", NULL, 1, NULL },
		{ "ramp off", "ramp = \"off\"\n", 1, NULL },
		{ "ramp off, limit none", "ramp = \"off\"\nlimit = \"none\"\n",
		  1, NULL },
	};
	const trial_t common = {
		.scenario = "cold",
		.target_behaviour =
			"{\"delay_ms\":20,\"cold_ms\":2000,"
			"\"cold_bears\":2,\"bears\":64,\"shed\":true}",
		.target_capacity = COLD_CAPACITY,
		.search_rate = 2 * bench->search_rate,
		.run_rate = run_rate,
		.duration_s = bench->duration_s,
		.during_load = restart_five_targets,
	};

	run_variants(bench, &common, variants, MC_ARRAY_LEN(variants));
}

static void put_config(cluster_t *cluster, int out)
{
	char *text = cluster_format_config(cluster, out);

	cluster_put_config(cluster, text);
	free(text);
}

/*
 * Return: time since any target of the data centre last received work, ms; at
 * most HARNESS_WAIT_MS.
 */
static mc_ms_t data_center_idle_time(const cluster_t *cluster,
				     uint32_t data_center)
{
	mc_ms_t min_idle = HARNESS_WAIT_MS;
	mc_ms_t idle;
	uint32_t i;

	for (i = 0; i < cluster->target_count; i++) {
		if (cluster->targets[i].data_center != data_center)
			continue;
		idle = cluster_target_counter(&cluster->targets[i], "idle_ms");
		if (idle < min_idle)
			min_idle = idle;
	}
	return min_idle;
}

/*
 * Takes a data centre out of service at 1/4 of the load's duration and puts it
 * back at 5/8. Stores in trial_t.ctx how long after the configuration was
 * written the targets of the data centre still received work, ms.
 */
static void take_data_center_out(trial_t *trial)
{
	cluster_t *cluster = trial->cluster;
	const mc_clock_t *clock = mc_clock_system();
	mc_ms_t start, last;

	trial_sleep(trial->duration_s / 4);
	put_config(cluster, OUT_DATA_CENTER);
	start = mc_clock_now(clock);
	trial_sleep(trial->duration_s * 3 / 8);
	last = mc_clock_now(clock) -
	       data_center_idle_time(cluster, OUT_DATA_CENTER);
	*(double *)trial->ctx = (double)(last - start);
	put_config(cluster, -1);
}

void scenario_out(const bench_t *bench)
{
	double last_work_ms = 0;
	trial_t trial = {
		.scenario = "out",
		.variant = "no change",
		.search_rate = bench->search_rate,
		.run_rate = run_rate,
		.duration_s = bench->duration_s,
		.ctx = &last_work_ms,
	};
	result_t result;

	trial_run(&trial, &result);
	result_extra(&result, "last_new_work_ms", 0);
	report_row(bench->report, &result);
	trial.variant = "dc1 out and back";
	trial.during_load = take_data_center_out;
	trial_run(&trial, &result);
	result_extra(&result, "last_new_work_ms", last_work_ms);
	report_row(bench->report, &result);
}
