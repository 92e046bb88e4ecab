/*
 * Counters are read before and after the load, so that the start of the
 * installation and the warming up do not count.
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
	DATA_CENTERS = 2,
	INSTANCES = 2,
	SHARDS = 50,
	TARGETS_PER_PROCESS = 10,
	DEADLINE_MS = 1000,
	HITS = 10,
	/* Hits above the number of shards, so that each shard has one. */
	HITS_MORE = 10,
	PERCENT = 100,
	NS_PER_S = 1000000000,
	US_PER_MS = 1000,
	MS_PER_S = 1000,
	KB_PER_MB = 1024,
	LINE_SIZE = 128,
};

static const double warm_seconds = 2;
static const double settle_seconds = 0.3;
static const char usual_behaviour[] = "{\"delay_ms\":5}";

/* Counters that fronts serve. */
typedef struct metrics_t {
	double hedges;
	double retries;
	double denied;
	double log_dropped;
	double control_bytes;
} metrics_t;

typedef struct totals_t {
	json_int_t requests;
	json_int_t queries;
	json_int_t sheds;
	json_int_t breaches;
	json_int_t cold_breaches;
	json_int_t max_in_flight;
} totals_t;

/* What is read before and after the load. */
typedef struct reading_t {
	usage_t fronts;
	usage_t gathers;
	metrics_t metrics;
	totals_t targets[CLUSTER_TARGETS_MAX];
} reading_t;

void trial_pause(double seconds)
{
	struct timespec pause;

	if (seconds <= 0)
		return;
	pause.tv_sec = (time_t)seconds;
	pause.tv_nsec = (long)((seconds - (double)pause.tv_sec) * NS_PER_S);
	nanosleep(&pause, NULL);
}

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
		metrics->denied += value;
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

static json_int_t integer(const json_t *json, const char *key)
{
	return json_integer_value(json_object_get(json, key));
}

static totals_t read_totals(const cluster_target_t *target)
{
	char url[2 * HARNESS_URL_SIZE];
	totals_t totals;
	json_t *json;

	snprintf(url, sizeof(url), "%s/standin", target->url);
	json = harness_get(url);
	totals = (totals_t){
		.requests = integer(json, "search_requests"),
		.queries = integer(json, "queries"),
		.sheds = integer(json, "sheds"),
		.breaches = integer(json, "breaches"),
		.cold_breaches = integer(json, "cold_breaches"),
		.max_in_flight = integer(json, "max_in_flight"),
	};
	json_decref(json);
	return totals;
}

static void add_usage(usage_t *sum, const cluster_t *cluster,
		      mc_handle_t process)
{
	usage_t usage = usage_read(harness_pid(cluster->harness, process));

	sum->cpu_ms += usage.cpu_ms;
	sum->rss_kb += usage.rss_kb;
}

static void take_reading(const cluster_t *cluster, reading_t *reading)
{
	const cluster_instance_t *instance;
	uint32_t i;

	memset(reading, 0, sizeof(*reading));
	for (i = 0; i < cluster->target_count; i++)
		reading->targets[i] = read_totals(&cluster->targets[i]);
	for (i = 0; i < cluster->instance_count; i++) {
		instance = &cluster->instances[i];
		add_usage(&reading->fronts, cluster, instance->front);
		add_usage(&reading->gathers, cluster, instance->gather);
		read_metrics(instance, &reading->metrics);
	}
}

static double ratio(double part, double whole)
{
	return whole > 0 ? part / whole : 0;
}

/* A target that was killed in between counts from 0 again. */
static json_int_t grown(json_int_t before, json_int_t after)
{
	return after < before ? after : after - before;
}

/* Return: sub-queries that targets got. */
static json_int_t fill_targets(const trial_t *trial, const reading_t *before,
			       const reading_t *after, result_t *result)
{
	json_int_t queries = 0, requests = 0;
	uint32_t i;

	for (i = 0; i < trial->cluster->target_count; i++) {
		const totals_t *old = &before->targets[i];
		const totals_t *new = &after->targets[i];

		queries += grown(old->queries, new->queries);
		requests += grown(old->requests, new->requests);
		result->sheds += grown(old->sheds, new->sheds);
		result->breaches += grown(old->breaches, new->breaches);
		result->cold_breaches +=
			grown(old->cold_breaches, new->cold_breaches);
		if (new->max_in_flight > result->max_in_flight)
			result->max_in_flight = new->max_in_flight;
	}
	result->bears = trial->bears;
	result->per_request = ratio((double)queries, (double)requests);
	return queries;
}

static void fill_costs(const trial_t *trial, const reading_t *before,
		       const reading_t *after, json_int_t queries,
		       result_t *result)
{
	double fronts = after->fronts.cpu_ms - before->fronts.cpu_ms;
	double gathers = after->gathers.cpu_ms - before->gathers.cpu_ms;
	double count = trial->cluster->instance_count;
	double answered = (double)result->answered;

	result->front_us = ratio(fronts * US_PER_MS, (double)queries);
	result->gather_us = ratio(gathers * US_PER_MS, (double)queries);
	result->front_query_us = ratio(fronts * US_PER_MS, answered);
	result->gather_query_us = ratio(gathers * US_PER_MS, answered);
	result->front_rss = after->fronts.rss_kb / KB_PER_MB / count;
	result->gather_rss = after->gathers.rss_kb / KB_PER_MB / count;
	result->hedges = after->metrics.hedges - before->metrics.hedges;
	result->retries = after->metrics.retries - before->metrics.retries;
	result->denied = after->metrics.denied - before->metrics.denied;
	result->log_dropped =
		after->metrics.log_dropped - before->metrics.log_dropped;
}

static void fill_idle(const trial_t *trial, const reading_t *before,
		      const reading_t *after, result_t *result)
{
	double fronts = after->fronts.cpu_ms - before->fronts.cpu_ms;
	double gathers = after->gathers.cpu_ms - before->gathers.cpu_ms;
	double control =
		after->metrics.control_bytes - before->metrics.control_bytes;
	double count = trial->cluster->instance_count;
	double ms = trial->seconds * MS_PER_S;

	result_extra(result, "front_idle_percent",
		     PERCENT * fronts / count / ms);
	result_extra(result, "gather_idle_percent",
		     PERCENT * gathers / count / ms);
	result_extra(result, "front_control_bytes_per_s",
		     control / count / trial->seconds);
	result_extra(result, "front_idle_mb", result->front_rss);
	result_extra(result, "gather_idle_mb", result->gather_rss);
}

static load_result_t run_load(trial_t *trial, const char *name, double seconds,
			      trial_event_fn_t event)
{
	const cluster_t *cluster = trial->cluster;
	load_params_t params = {
		.service = CLUSTER_SERVICE,
		.rate = trial->rate,
		.runs = trial->runs,
		.seconds = seconds,
		.limit = HITS,
		.full_limit = cluster->params.shards + HITS_MORE,
		.deadline_ms = DEADLINE_MS,
		.share = { trial->share[0], trial->share[1], trial->share[2] },
		.name = name,
	};
	load_t *load;
	uint32_t i;

	if (!params.share[0] && !params.share[1])
		params.share[1] = PERCENT;
	params.url_count = cluster->instance_count;
	for (i = 0; i < cluster->instance_count; i++)
		params.urls[i] = cluster->instances[i].url;
	load = load_start(&params);
	if (!load) {
		fprintf(stderr, "bench: can't start the load\n");
		exit(EXIT_FAILURE);
	}
	if (event)
		event(trial);
	return load_wait(load);
}

static uint32_t or_usual(uint32_t value, uint32_t usual)
{
	return value ? value : usual;
}

static void start_cluster(trial_t *trial)
{
	const cluster_params_t params = {
		.name = "bench",
		.data_centers = or_usual(trial->data_centers, DATA_CENTERS),
		.instances = or_usual(trial->instances, INSTANCES),
		.shards = or_usual(trial->shards, SHARDS),
		.policy = trial->policy,
		.snapshots = 1,
		.replicas = trial->replicas,
		.targets_per_process = or_usual(trial->targets_per_process,
						TARGETS_PER_PROCESS),
		.log_level = trial->log_level ? trial->log_level : "warning",
	};

	trial->cluster = cluster_create(&params);
	if (!trial->cluster)
		exit(EXIT_FAILURE);
	cluster_start(trial->cluster);
	cluster_standin_all(trial->cluster, trial->behaviour ? trial->behaviour
							     : usual_behaviour);
}

static void measure(trial_t *trial, reading_t *before, reading_t *after,
		    result_t *result)
{
	load_result_t load = { 0 };
	json_int_t queries;

	take_reading(trial->cluster, before);
	if (trial->rate > 0)
		load = run_load(trial, "k", trial->seconds, trial->event);
	else
		trial_pause(trial->seconds);
	trial_pause(settle_seconds);
	take_reading(trial->cluster, after);
	queries = fill_targets(trial, before, after, result);
	check_answers(trial->cluster, &load, trial->lost, result);
	check_runs(trial->cluster, &load, result);
	fill_costs(trial, before, after, queries, result);
	if (trial->rate <= 0)
		fill_idle(trial, before, after, result);
	if (result->shards_asked > 0)
		result->extra_percent =
			PERCENT * ((double)queries / result->shards_asked - 1);
	load_free(&load);
}

void trial_run(trial_t *trial, result_t *result)
{
	reading_t *readings = calloc(2, sizeof(*readings));
	load_result_t warm;

	if (!readings)
		exit(EXIT_FAILURE);
	memset(result, 0, sizeof(*result));
	snprintf(result->scenario, sizeof(result->scenario), "%s",
		 trial->scenario);
	snprintf(result->variant, sizeof(result->variant), "%s",
		 trial->variant);
	result->rate = trial->rate;
	trial->lost = -1;
	start_cluster(trial);
	if (trial->prepare)
		trial->prepare(trial);
	if (trial->rate > 0) {
		warm = run_load(trial, "w", warm_seconds, NULL);
		load_free(&warm);
	} else {
		trial_pause(warm_seconds);
	}
	measure(trial, &readings[0], &readings[1], result);
	cluster_destroy(trial->cluster);
	trial->cluster = NULL;
	free(readings);
}
