/*
 * Counters and resource usage are read before and after the measured load, so
 * that startup and warm-up of the installation are excluded.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "check.h"
#include "trial.h"
#include "usage.h"

enum {
	DATA_CENTERS_DEFAULT = 2,
	INSTANCES_DEFAULT = 2,
	SHARDS_DEFAULT = 50,
	TARGETS_PER_PROCESS_DEFAULT = 10,
	DEADLINE_MS = 1000,
	LIMIT = 10,
	/*
	 * The large limit exceeds the number of shards by this, so that the
	 * hits of a search with it include one of each shard.
	 */
	LIMIT_ABOVE_SHARDS = 10,
	PERCENT = 100,
	NS_PER_S = 1000000000,
	US_PER_MS = 1000,
	MS_PER_S = 1000,
	KB_PER_MB = 1024,
	LINE_SIZE = 128,
};

/* Duration of the warm-up load, s. */
static const double warmup_s = 2;
/* Wait after the load before counters are read again, s. */
static const double settle_s = 0.3;
static const char default_behaviour[] = "{\"delay_ms\":5}";

/* Sums of metrics over all fronts. */
typedef struct metrics_t {
	double hedges;
	double retries;
	double retries_denied;
	double log_dropped;
	double control_bytes;
} metrics_t;

typedef struct target_counters_t {
	json_int_t requests;
	json_int_t queries;
	json_int_t sheds;
	json_int_t breaches;
	json_int_t cold_breaches;
	json_int_t max_in_flight;
} target_counters_t;

/* State of the installation before or after the load. */
typedef struct measurement_t {
	usage_t fronts;
	usage_t gathers;
	metrics_t metrics;
	target_counters_t targets[CLUSTER_TARGETS_MAX];
} measurement_t;

void trial_sleep(double seconds)
{
	struct timespec pause;

	if (seconds <= 0)
		return;
	pause.tv_sec = (time_t)seconds;
	pause.tv_nsec = (long)((seconds - (double)pause.tv_sec) * NS_PER_S);
	nanosleep(&pause, NULL);
}

/* Adds the value of a line "NAME VALUE" of a front's metrics to its sum. */
static void add_metric(const char *line, metrics_t *metrics)
{
	char name[LINE_SIZE];
	double value;

	if (sscanf(line, "%127s %lf", name, &value) != 2)
		return;
	if (!strcmp(name, "hedges"))
		metrics->hedges += value;
	else if (!strcmp(name, "retries"))
		metrics->retries += value;
	else if (!strcmp(name, "retries_denied"))
		metrics->retries_denied += value;
	else if (!strcmp(name, "log_lines_dropped"))
		metrics->log_dropped += value;
	else if (!strcmp(name, "control_bytes"))
		metrics->control_bytes += value;
}

static void read_metrics(const cluster_instance_t *instance, metrics_t *metrics)
{
	char url[2 * HARNESS_URL_SIZE];
	harness_reply_t reply;
	char *rest, *line;

	snprintf(url, sizeof(url), "%s/v1/metrics", instance->url);
	reply = harness_http(
		&(harness_request_t){ .method = "GET", .url = url });
	rest = reply.body;
	while ((line = strsep(&rest, "\n")))
		add_metric(line, metrics);
	harness_reply_free(&reply);
}

static json_int_t get_integer(const json_t *json, const char *key)
{
	return json_integer_value(json_object_get(json, key));
}

static target_counters_t read_target_counters(const cluster_target_t *target)
{
	char url[2 * HARNESS_URL_SIZE];
	target_counters_t counters;
	json_t *json;

	snprintf(url, sizeof(url), "%s/standin", target->url);
	json = harness_get_json(url);
	counters = (target_counters_t){
		.requests = get_integer(json, "search_requests"),
		.queries = get_integer(json, "queries"),
		.sheds = get_integer(json, "sheds"),
		.breaches = get_integer(json, "breaches"),
		.cold_breaches = get_integer(json, "cold_breaches"),
		.max_in_flight = get_integer(json, "max_in_flight"),
	};
	json_decref(json);
	return counters;
}

static void add_usage(usage_t *sum, const cluster_t *cluster,
		      mc_handle_t process)
{
	usage_t usage = usage_read(harness_pid(cluster->harness, process));

	sum->cpu_time_ms += usage.cpu_time_ms;
	sum->resident_kb += usage.resident_kb;
}

static void take_measurement(const cluster_t *cluster,
			     measurement_t *measurement)
{
	const cluster_instance_t *instance;
	uint32_t i;

	memset(measurement, 0, sizeof(*measurement));
	for (i = 0; i < cluster->target_count; i++)
		measurement->targets[i] =
			read_target_counters(&cluster->targets[i]);
	for (i = 0; i < cluster->instance_count; i++) {
		instance = &cluster->instances[i];
		add_usage(&measurement->fronts, cluster, instance->front);
		add_usage(&measurement->gathers, cluster, instance->gather);
		read_metrics(instance, &measurement->metrics);
	}
}

static double ratio(double part, double whole)
{
	return whole > 0 ? part / whole : 0;
}

/*
 * Growth of a counter of a target. The counters of a target that was killed in
 * between have restarted from 0.
 */
static json_int_t counter_delta(json_int_t before, json_int_t after)
{
	return after < before ? after : after - before;
}

/* Return: sub-queries that targets received. */
static json_int_t fill_target_counts(const trial_t *trial,
				     const measurement_t *before,
				     const measurement_t *after,
				     result_t *result)
{
	json_int_t queries = 0, requests = 0;
	uint32_t i;

	for (i = 0; i < trial->cluster->target_count; i++) {
		const target_counters_t *old = &before->targets[i];
		const target_counters_t *new = &after->targets[i];

		queries += counter_delta(old->queries, new->queries);
		requests += counter_delta(old->requests, new->requests);
		result->sheds += counter_delta(old->sheds, new->sheds);
		result->breaches += counter_delta(old->breaches, new->breaches);
		result->cold_breaches +=
			counter_delta(old->cold_breaches, new->cold_breaches);
		if (new->max_in_flight > result->max_in_flight)
			result->max_in_flight = new->max_in_flight;
	}
	result->capacity = trial->target_capacity;
	result->queries_per_request = ratio((double)queries, (double)requests);
	return queries;
}

static void fill_costs(const trial_t *trial, const measurement_t *before,
		       const measurement_t *after, json_int_t queries,
		       result_t *result)
{
	double fronts = after->fronts.cpu_time_ms - before->fronts.cpu_time_ms;
	double gathers =
		after->gathers.cpu_time_ms - before->gathers.cpu_time_ms;
	double count = trial->cluster->instance_count;
	double answered = (double)result->answered;

	result->front_us = ratio(fronts * US_PER_MS, (double)queries);
	result->gather_us = ratio(gathers * US_PER_MS, (double)queries);
	result->front_query_us = ratio(fronts * US_PER_MS, answered);
	result->gather_query_us = ratio(gathers * US_PER_MS, answered);
	result->front_rss_mb = after->fronts.resident_kb / KB_PER_MB / count;
	result->gather_rss_mb = after->gathers.resident_kb / KB_PER_MB / count;
	result->hedges = after->metrics.hedges - before->metrics.hedges;
	result->retries = after->metrics.retries - before->metrics.retries;
	result->denied =
		after->metrics.retries_denied - before->metrics.retries_denied;
	result->log_dropped =
		after->metrics.log_dropped - before->metrics.log_dropped;
}

static void fill_idle_costs(const trial_t *trial, const measurement_t *before,
			    const measurement_t *after, result_t *result)
{
	double fronts = after->fronts.cpu_time_ms - before->fronts.cpu_time_ms;
	double gathers =
		after->gathers.cpu_time_ms - before->gathers.cpu_time_ms;
	double control =
		after->metrics.control_bytes - before->metrics.control_bytes;
	double count = trial->cluster->instance_count;
	double ms = trial->duration_s * MS_PER_S;

	result_extra(result, "front_idle_percent",
		     PERCENT * fronts / count / ms);
	result_extra(result, "gather_idle_percent",
		     PERCENT * gathers / count / ms);
	result_extra(result, "front_control_bytes_per_s",
		     control / count / trial->duration_s);
	result_extra(result, "front_idle_mb", result->front_rss_mb);
	result_extra(result, "gather_idle_mb", result->gather_rss_mb);
}

/* Runs a load, calling @hook, if any, while it runs. */
static load_result_t run_load(trial_t *trial, const char *key_prefix,
			      double duration_s, trial_hook_fn_t hook)
{
	const cluster_t *cluster = trial->cluster;
	load_params_t params = {
		.service = CLUSTER_SERVICE,
		.search_rate = trial->search_rate,
		.run_rate = trial->run_rate,
		.duration_s = duration_s,
		.limit = LIMIT,
		.large_limit = cluster->params.shards + LIMIT_ABOVE_SHARDS,
		.deadline_ms = DEADLINE_MS,
		.class_percent = { trial->class_percent[0],
				   trial->class_percent[1],
				   trial->class_percent[2] },
		.key_prefix = key_prefix,
	};
	load_t *load;
	uint32_t i;

	if (!params.class_percent[0] && !params.class_percent[1])
		params.class_percent[1] = PERCENT;
	params.url_count = cluster->instance_count;
	for (i = 0; i < cluster->instance_count; i++)
		params.urls[i] = cluster->instances[i].url;
	load = load_start(&params);
	if (!load) {
		fprintf(stderr,
			"bench: cannot start the load: no memory or thread\n");
		exit(EXIT_FAILURE);
	}
	if (hook)
		hook(trial);
	return load_wait(load);
}

static uint32_t value_or_default(uint32_t value, uint32_t default_value)
{
	return value ? value : default_value;
}

static void start_cluster(trial_t *trial)
{
	const cluster_params_t params = {
		.name = "bench",
		.data_centers = value_or_default(trial->data_centers,
						 DATA_CENTERS_DEFAULT),
		.instances =
			value_or_default(trial->instances, INSTANCES_DEFAULT),
		.shards = value_or_default(trial->shards, SHARDS_DEFAULT),
		.policy = trial->policy,
		.snapshots = 1,
		.replicas = trial->replicas,
		.targets_per_process =
			value_or_default(trial->targets_per_process,
					 TARGETS_PER_PROCESS_DEFAULT),
		.log_level = trial->log_level ? trial->log_level : "warning",
	};

	trial->cluster = cluster_create(&params);
	if (!trial->cluster)
		exit(EXIT_FAILURE);
	cluster_start(trial->cluster);
	cluster_control_all_targets(trial->cluster,
				    trial->target_behaviour
					    ? trial->target_behaviour
					    : default_behaviour);
}

static void measure(trial_t *trial, measurement_t *before, measurement_t *after,
		    result_t *result)
{
	load_result_t load = { 0 };
	json_int_t queries;

	take_measurement(trial->cluster, before);
	if (trial->search_rate > 0)
		load = run_load(trial, "k", trial->duration_s,
				trial->during_load);
	else
		trial_sleep(trial->duration_s);
	trial_sleep(settle_s);
	take_measurement(trial->cluster, after);
	queries = fill_target_counts(trial, before, after, result);
	check_answers(trial->cluster, &load, trial->killed_shard, result);
	count_duplicate_runs(trial->cluster, &load, result);
	fill_costs(trial, before, after, queries, result);
	if (trial->search_rate <= 0)
		fill_idle_costs(trial, before, after, result);
	if (result->shards_requested > 0)
		result->extra_percent =
			PERCENT *
			((double)queries / result->shards_requested - 1);
	load_free(&load);
}

void trial_run(trial_t *trial, result_t *result)
{
	measurement_t *measurements = calloc(2, sizeof(*measurements));
	load_result_t warmup;

	if (!measurements)
		exit(EXIT_FAILURE);
	memset(result, 0, sizeof(*result));
	snprintf(result->scenario, sizeof(result->scenario), "%s",
		 trial->scenario);
	snprintf(result->variant, sizeof(result->variant), "%s",
		 trial->variant);
	result->search_rate = trial->search_rate;
	trial->killed_shard = -1;
	start_cluster(trial);
	if (trial->before_load)
		trial->before_load(trial);
	if (trial->search_rate > 0) {
		warmup = run_load(trial, "w", warmup_s, NULL);
		load_free(&warmup);
	} else {
		trial_sleep(warmup_s);
	}
	measure(trial, &measurements[0], &measurements[1], result);
	cluster_destroy(trial->cluster);
	trial->cluster = NULL;
	free(measurements);
}
