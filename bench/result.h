/*
 * What a variant of a scenario measured: a row of the table and of the CSV
 * file.
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

/** struct result_extra_t - a figure that only some scenarios have */
typedef struct result_extra_t {
	const char *name;
	double value;
} result_extra_t;

/**
 * struct result_t - figures of one variant
 * @scenario: name of the scenario
 * @variant: what differs from the other variants
 * @rate: searches per second that were planned
 * @sent: searches that were planned
 * @not_sent: requests that this tool could not send
 * @late_ms: most that a request left after its planned time
 * @answered: searches that were answered with status 200
 * @failed: searches without an answer of the protocol
 * @refused: searches that were answered with an error, by kind
 * @p50: quantiles of the time of answered searches, ms
 * @class_p99: the same for each class
 * @class_sent: searches of each class
 * @class_refused: searches of each class that were not answered
 * @coverage: mean share of shards in answers
 * @partial: answers that lack shards
 * @dishonest: answers whose coverage is not that of their hits or targets
 * @shards_asked: shards of all answered searches
 * @extra_percent: sub-queries at targets per shard asked, less 1, in percent
 * @hedges: counters of the fronts: sub-queries against stragglers
 * @retries: sub-queries sent again after a failure
 * @denied: hedges and retries that the budget did not allow
 * @runs: keys of runs that were sent, each to two fronts
 * @duplicates: keys that ran more than once
 * @max_in_flight: most in flight at a target
 * @bears: what a target bears, 0 without a limit
 * @breaches: sub-queries above what the target bore, cold or warm
 * @cold_breaches: those at a cold target
 * @sheds: sub-queries that targets shed
 * @per_request: sub-queries in one HTTP request to a target
 * @front_us: processor time of fronts per sub-query, microseconds
 * @gather_us: the same of gathers
 * @front_query_us: the same of fronts per answered search
 * @gather_query_us: the same of gathers per answered search
 * @front_rss: mean resident memory of a front, MB
 * @gather_rss: mean resident memory of a gather, MB
 * @log_dropped: log lines that fronts dropped
 * @extras: figures that only this scenario has
 */
typedef struct result_t {
	char scenario[RESULT_NAME_SIZE];
	char variant[RESULT_VARIANT_SIZE];
	double rate;
	size_t sent;
	size_t not_sent;
	double late_ms;
	size_t answered;
	size_t failed;
	size_t refused[MC_ERR_COUNT];
	double p50;
	double p99;
	double p999;
	double class_p99[LOAD_CLASSES];
	size_t class_sent[LOAD_CLASSES];
	size_t class_refused[LOAD_CLASSES];
	double coverage;
	size_t partial;
	size_t dishonest;
	double shards_asked;
	double extra_percent;
	double hedges;
	double retries;
	double denied;
	size_t runs;
	size_t duplicates;
	json_int_t max_in_flight;
	json_int_t bears;
	json_int_t breaches;
	json_int_t cold_breaches;
	json_int_t sheds;
	double per_request;
	double front_us;
	double gather_us;
	double front_query_us;
	double gather_query_us;
	double front_rss;
	double gather_rss;
	double log_dropped;
	uint32_t extra_count;
	result_extra_t extras[RESULT_EXTRAS_MAX];
} result_t;

/** result_extra() - add a figure that only this scenario has */
void result_extra(result_t *result, const char *name, double value);

typedef struct report_t report_t;

/**
 * report_open() - begin the table and the file of a scenario
 * @folder: where NAME.csv and NAME.md, the printed tables, are written
 * @scenario: name of the scenario
 * @title: what it shows
 * @seconds: length of each load
 *
 * Return: owned by the caller; NULL if a file can't be written.
 */
report_t *report_open(const char *folder, const char *scenario,
		      const char *title, double seconds);

/** report_row() - print a row of the table, and write it to the file */
void report_row(report_t *report, const result_t *result);

/** report_close() - print the rows' costs and classes, and free */
void report_close(report_t *report);

#endif
