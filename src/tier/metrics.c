/*
 * Metrics of routes and their output.
 */
#include "metrics.h"

#include <string.h>

/* Upper bounds of the buckets, ms; the last bucket is unbounded. */
static const mc_ms_t bucket_bounds[METRICS_BUCKETS - 1] = {
	1, 2, 5, 10, 20, 50, 75, 100, 150, 250, 500, 1000, 5000,
};

static const char *const outcome_names[METRICS_OUTCOME_COUNT] = {
	[METRICS_COMPLETE] = "whole",
	[METRICS_PARTIAL] = "partial",
	[METRICS_FAILED_BY_TARGET] = "failed_by_target",
	[METRICS_REFUSED] = "refused",
	[METRICS_UNKNOWN] = "unknown",
	[METRICS_CALLER_GONE] = "caller_gone",
};

void metrics_init(metrics_t *metrics)
{
	pthread_mutex_init(&metrics->lock, NULL);
	metrics->count = 0;
}

metrics_row_t *metrics_row(metrics_t *metrics, const char *route)
{
	metrics_row_t *row = NULL;
	uint32_t i;

	pthread_mutex_lock(&metrics->lock);
	for (i = 0; i < metrics->count && !row; i++)
		if (!strncmp(metrics->rows[i].name, route,
			     METRICS_NAME_SIZE - 1))
			row = &metrics->rows[i];
	if (!row && metrics->count < METRICS_ROUTES_MAX) {
		row = &metrics->rows[metrics->count++];
		if (metrics->count == METRICS_ROUTES_MAX)
			route = "other";
		strncpy(row->name, route, METRICS_NAME_SIZE - 1);
	}
	if (!row)
		row = &metrics->rows[METRICS_ROUTES_MAX - 1];
	pthread_mutex_unlock(&metrics->lock);
	return row;
}

void metrics_add(metrics_histogram_t *histogram, mc_ms_t latency)
{
	uint32_t i = 0;

	while (i < METRICS_BUCKETS - 1 && latency > bucket_bounds[i])
		i++;
	__atomic_fetch_add(&histogram->buckets[i], 1, __ATOMIC_RELAXED);
	__atomic_fetch_add(&histogram->sum,
			   (uint64_t)(latency > 0 ? latency : 0),
			   __ATOMIC_RELAXED);
}

void metrics_count(metrics_row_t *row, metrics_outcome_t outcome)
{
	__atomic_fetch_add(&row->outcomes[outcome], 1, __ATOMIC_RELAXED);
}

void metrics_print_label(FILE *out, const char *value)
{
	for (; *value; value++) {
		if (*value == '\n') {
			fputs("\\n", out);
			continue;
		}
		if (*value == '"' || *value == '\\')
			fputc('\\', out);
		fputc(*value, out);
	}
}

/* Prints the start of a sample of a route, up to its label. */
static void print_start(FILE *out, const char *name, const char *suffix,
			const char *route)
{
	fprintf(out, "mangocove_%s_%s{route=\"", name, suffix);
	metrics_print_label(out, route);
	fputc('"', out);
}

static void print_histogram(FILE *out, const char *name, const char *route,
			    const metrics_histogram_t *histogram)
{
	uint64_t seen = 0;
	uint32_t i;

	for (i = 0; i < METRICS_BUCKETS; i++) {
		seen += __atomic_load_n(&histogram->buckets[i],
					__ATOMIC_RELAXED);
		print_start(out, name, "ms_bucket", route);
		if (i < METRICS_BUCKETS - 1)
			fprintf(out, ",le=\"%lld\"} %llu\n",
				(long long)bucket_bounds[i],
				(unsigned long long)seen);
		else
			fprintf(out, ",le=\"+Inf\"} %llu\n",
				(unsigned long long)seen);
	}
	print_start(out, name, "ms_sum", route);
	fprintf(out, "} %llu\n",
		(unsigned long long)__atomic_load_n(&histogram->sum,
						    __ATOMIC_RELAXED));
	print_start(out, name, "ms_count", route);
	fprintf(out, "} %llu\n", (unsigned long long)seen);
}

static void print_outcomes(FILE *out, const metrics_row_t *row)
{
	uint32_t i;

	for (i = 0; i < METRICS_OUTCOME_COUNT; i++) {
		print_start(out, "route", "requests_total", row->name);
		fprintf(out, ",outcome=\"%s\"} %llu\n", outcome_names[i],
			(unsigned long long)__atomic_load_n(&row->outcomes[i],
							    __ATOMIC_RELAXED));
	}
}

static const metrics_histogram_t *total_of(const metrics_row_t *row)
{
	return &row->total;
}

static const metrics_histogram_t *target_of(const metrics_row_t *row)
{
	return &row->target;
}

static const metrics_histogram_t *waited_of(const metrics_row_t *row)
{
	return &row->waited;
}

void metrics_print(metrics_t *metrics, FILE *out)
{
	static const struct {
		const char *name;
		const char *help;
		const metrics_histogram_t *(*of)(const metrics_row_t *row);
	} histograms[] = {
		{ "route", "from a request's first byte to its answer",
		  total_of },
		{ "target", "from a send to a target to its answer",
		  target_of },
		{ "waited", "in which a part waited for room at its targets",
		  waited_of },
	};
	uint32_t count, i, j;

	pthread_mutex_lock(&metrics->lock);
	count = metrics->count;
	pthread_mutex_unlock(&metrics->lock);
	fputs("# HELP mangocove_route_requests_total requests by outcome\n"
	      "# TYPE mangocove_route_requests_total counter\n",
	      out);
	for (i = 0; i < count; i++)
		print_outcomes(out, &metrics->rows[i]);
	for (j = 0; j < MC_ARRAY_LEN(histograms); j++) {
		fprintf(out,
			"# HELP mangocove_%s_ms %s\n"
			"# TYPE mangocove_%s_ms histogram\n",
			histograms[j].name, histograms[j].help,
			histograms[j].name);
		for (i = 0; i < count; i++)
			print_histogram(out, histograms[j].name,
					metrics->rows[i].name,
					histograms[j].of(&metrics->rows[i]));
	}
}
