/*
 * Figures of one variant of a scenario, and the report that writes them: a row
 * of the Markdown tables and of the CSV file for each variant.
 */
#ifndef BENCH_RESULT_H
#define BENCH_RESULT_H

#include <jansson.h>

#include "mc/base.h"
#include "load.h"

enum {
	RESULT_NAME_SIZE = 32,
	RESULT_VARIANT_SIZE = 64,
	RESULT_EXTRAS_MAX = 12,
};

/** struct result_extra_t - named figure that only some scenarios have */
typedef struct result_extra_t {
	const char *name;
	double value;
} result_extra_t;

/**
 * struct result_t - figures of one variant
 * @scenario: name of the scenario
 * @variant: name of the variant
 * @search_rate: scheduled searches per second; 0 for an idle installation
 * @sent: scheduled searches, including those not sent
 * @not_sent: requests that the load generator dropped
 * @late_ms: longest delay of a request after its scheduled time, ms
 * @answered: searches answered with status 200
 * @failed: searches without a response, or with an error that has no kind
 * @refused: searches answered with an error, by kind
 * @p50_ms: median latency of answered searches, ms
 * @p99_ms: 99th percentile, ms
 * @p999_ms: 99.9th percentile, ms
 * @class_p99_ms: 99th percentile of each request class, ms
 * @class_sent: scheduled searches of each class
 * @class_refused: searches of each class that were not answered
 * @coverage: mean fraction of shards in answers, 0 to 1
 * @partial: answers with missing shards
 * @inconsistent: answers that contradict their hits or the targets' counters;
 *	the column "dishonest"
 * @shards_requested: sum of the shards of all answered searches
 * @extra_percent: sub-queries at targets above one per requested shard, percent
 * @hedges: sub-queries that fronts sent as hedges
 * @retries: sub-queries that fronts sent again after a failure
 * @denied: hedges and retries that the retry budget did not allow
 * @runs: keys of runs that were sent, each to two fronts
 * @duplicates: keys that ran more than once
 * @max_in_flight: highest number of concurrent sub-queries at a target
 * @capacity: concurrent sub-queries that a target can execute, 0 for no limit;
 *	the column "bears"
 * @breaches: sub-queries above the capacity of their target, cold or warm
 * @cold_breaches: those of @breaches at a cold target
 * @sheds: sub-queries that targets shed
 * @queries_per_request: sub-queries per HTTP request to a target
 * @front_us: CPU time of all fronts per sub-query, microseconds
 * @gather_us: CPU time of all gathers per sub-query, microseconds
 * @front_query_us: CPU time of all fronts per answered search, microseconds
 * @gather_query_us: CPU time of all gathers per answered search, microseconds
 * @front_rss_mb: mean resident memory of a front, MB
 * @gather_rss_mb: mean resident memory of a gather, MB
 * @log_dropped: log lines that fronts dropped
 * @extra_count: number of @extras
 * @extras: figures that only this scenario has
 */
typedef struct result_t {
	char scenario[RESULT_NAME_SIZE];
	char variant[RESULT_VARIANT_SIZE];
	double search_rate;
	size_t sent;
	size_t not_sent;
	double late_ms;
	size_t answered;
	size_t failed;
	size_t refused[MC_ERR_COUNT];
	double p50_ms;
	double p99_ms;
	double p999_ms;
	double class_p99_ms[LOAD_CLASS_COUNT];
	size_t class_sent[LOAD_CLASS_COUNT];
	size_t class_refused[LOAD_CLASS_COUNT];
	double coverage;
	size_t partial;
	size_t inconsistent;
	double shards_requested;
	double extra_percent;
	double hedges;
	double retries;
	double denied;
	size_t runs;
	size_t duplicates;
	json_int_t max_in_flight;
	json_int_t capacity;
	json_int_t breaches;
	json_int_t cold_breaches;
	json_int_t sheds;
	double queries_per_request;
	double front_us;
	double gather_us;
	double front_query_us;
	double gather_query_us;
	double front_rss_mb;
	double gather_rss_mb;
	double log_dropped;
	uint32_t extra_count;
	result_extra_t extras[RESULT_EXTRAS_MAX];
} result_t;

/**
 * result_extra() - Add a figure that only this scenario has.
 * @result: the row; a figure beyond RESULT_EXTRAS_MAX is ignored
 * @name: name of the column; borrowed, as rows are kept until report_close()
 * @value: the figure
 *
 * All rows of a scenario need the same names in the same order.
 */
void result_extra(result_t *result, const char *name, double value);

typedef struct report_t report_t;

/**
 * report_open() - Open the files of a scenario's report and print its heading.
 * @directory: existing directory that receives NAME.csv and NAME.md; the latter
 *	holds the printed tables
 * @scenario: name of the scenario
 * @title: one-line description
 * @duration_s: length of each load, s
 *
 * Return: owned by the caller; freed by report_close(). NULL if a file cannot
 * be opened or without memory.
 */
report_t *report_open(const char *directory, const char *scenario,
		      const char *title, double duration_s);

/** report_row() - Print a row of the main table and write it to the CSV file.
 */
void report_row(report_t *report, const result_t *result);

/**
 * report_close() - Print the remaining tables and free the report.
 * @report: the report
 *
 * The remaining tables are those of costs, request classes and figures that
 * only this scenario has.
 */
void report_close(report_t *report);

#endif
