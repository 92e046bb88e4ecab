/*
 * Tables are in Markdown, so that a page can hold them as printed. The main
 * table is printed row by row; the rows are kept for the tables after it.
 */
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "result.h"

enum {
	ROWS_MAX = 64,
	PATH_SIZE = 512,
	KINDS_SIZE = 256,
	DATE_SIZE = 32,
};

struct report_t {
	FILE *csv;
	FILE *page;
	uint32_t count;
	result_t rows[ROWS_MAX];
};

/* Prints to standard output and to the scenario's page. */
static void emit(const report_t *report, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

static void emit(const report_t *report, const char *format, ...)
{
	va_list args;

	va_start(args, format);
	vprintf(format, args);
	va_end(args);
	va_start(args, format);
	vfprintf(report->page, format, args);
	va_end(args);
	fflush(stdout);
	fflush(report->page);
}

void result_extra(result_t *result, const char *name, double value)
{
	if (result->extra_count < RESULT_EXTRAS_MAX)
		result->extras[result->extra_count++] =
			(result_extra_t){ .name = name, .value = value };
}

static FILE *open_file(const char *folder, const char *scenario,
		       const char *kind)
{
	char path[PATH_SIZE];

	snprintf(path, sizeof(path), "%s/%s.%s", folder, scenario, kind);
	return fopen(path, "w");
}

static void emit_title(const report_t *report, const char *scenario,
		       const char *title, double seconds)
{
	time_t now = time(NULL);
	char date[DATE_SIZE];
	double load = 0;

	getloadavg(&load, 1);
	strftime(date, sizeof(date), "%Y-%m-%d %H:%M UTC", gmtime(&now));
	emit(report,
	     "\n### %s: %s\n\n%s, %.0f s per variant, load average of the "
	     "machine before: %.1f.\n\n",
	     scenario, title, date, seconds, load);
}

report_t *report_open(const char *folder, const char *scenario,
		      const char *title, double seconds)
{
	report_t *report = calloc(1, sizeof(*report));

	if (!report)
		return NULL;
	report->csv = open_file(folder, scenario, "csv");
	report->page = open_file(folder, scenario, "md");
	if (!report->csv || !report->page) {
		if (report->csv)
			fclose(report->csv);
		if (report->page)
			fclose(report->page);
		free(report);
		return NULL;
	}
	emit_title(report, scenario, title, seconds);
	return report;
}

/* Writes "kind count, ..." or "0". */
static void write_kinds(const result_t *result, const char *separator,
			char *text)
{
	size_t used = 0;
	size_t i;

	snprintf(text, KINDS_SIZE, "0");
	if (result->failed)
		used += (size_t)snprintf(text, KINDS_SIZE, "no_answer %zu",
					 result->failed);
	for (i = 0; i < MC_ERR_COUNT && used < KINDS_SIZE; i++)
		if (result->refused[i])
			used += (size_t)snprintf(
				text + used, KINDS_SIZE - used, "%s%s %zu",
				used ? separator : "",
				mc_error_name((mc_err_t)i), result->refused[i]);
}

static void print_head(const report_t *report)
{
	emit(report,
	     "| variant | searches/s | answered of sent | p50 ms | p99 ms | "
	     "p99.9 ms | coverage | dishonest | extra load %% | refused | "
	     "duplicates of runs | most in flight (bears) | breaches |\n"
	     "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | "
	     "--- | --- | --- |\n");
}

static void print_row(const report_t *report, const result_t *row)
{
	char kinds[KINDS_SIZE];

	write_kinds(row, ", ", kinds);
	emit(report,
	     "| %s | %.0f | %zu of %zu | %.1f | %.1f | %.1f | %.4f | %zu | "
	     "%.2f | %s | %zu of %zu | %lld (%lld) | %lld |\n",
	     row->variant, row->rate, row->answered, row->sent, row->p50,
	     row->p99, row->p999, row->coverage, row->dishonest,
	     row->extra_percent, kinds, row->duplicates, row->runs,
	     (long long)row->max_in_flight, (long long)row->bears,
	     (long long)row->breaches);
	if (row->not_sent)
		emit(report,
		     "\n(%zu requests could not be sent by the tool)\n\n",
		     row->not_sent);
}

static void write_csv_head(FILE *csv, const result_t *row)
{
	uint32_t i;

	fprintf(csv,
		"scenario,variant,rate,sent,not_sent,late_ms,answered,"
		"p50_ms,p99_ms,p999_ms,coverage,partial,dishonest,"
		"extra_percent,hedges,retries,denied,refused,runs,duplicates,"
		"max_in_flight,bears,breaches,cold_breaches,sheds,per_request,"
		"front_us,gather_us,front_query_us,gather_query_us,"
		"front_rss_mb,gather_rss_mb,log_dropped,"
		"urgent_p99_ms,interactive_p99_ms,report_p99_ms");
	for (i = 0; i < row->extra_count; i++)
		fprintf(csv, ",%s", row->extras[i].name);
	fprintf(csv, "\n");
}

static void write_csv(FILE *csv, const result_t *row)
{
	char kinds[KINDS_SIZE];
	uint32_t i;

	write_kinds(row, "; ", kinds);
	fprintf(csv,
		"%s,\"%s\",%.1f,%zu,%zu,%.2f,%zu,%.2f,%.2f,%.2f,%.5f,%zu,%zu,",
		row->scenario, row->variant, row->rate, row->sent,
		row->not_sent, row->late_ms, row->answered, row->p50, row->p99,
		row->p999, row->coverage, row->partial, row->dishonest);
	fprintf(csv, "%.3f,%.0f,%.0f,%.0f,%s,%zu,%zu,%lld,%lld,%lld,%lld,%lld,",
		row->extra_percent, row->hedges, row->retries, row->denied,
		kinds, row->runs, row->duplicates,
		(long long)row->max_in_flight, (long long)row->bears,
		(long long)row->breaches, (long long)row->cold_breaches,
		(long long)row->sheds);
	fprintf(csv, "%.2f,%.2f,%.2f,%.1f,%.1f,%.2f,%.2f,%.0f,%.2f,%.2f,%.2f",
		row->per_request, row->front_us, row->gather_us,
		row->front_query_us, row->gather_query_us, row->front_rss,
		row->gather_rss, row->log_dropped, row->class_p99[0],
		row->class_p99[1], row->class_p99[2]);
	for (i = 0; i < row->extra_count; i++)
		fprintf(csv, ",%.3f", row->extras[i].value);
	fprintf(csv, "\n");
	fflush(csv);
}

void report_row(report_t *report, const result_t *result)
{
	if (!report->count)
		write_csv_head(report->csv, result);
	if (!report->count && result->rate > 0)
		print_head(report);
	if (result->rate > 0)
		print_row(report, result);
	write_csv(report->csv, result);
	if (report->count < ROWS_MAX)
		report->rows[report->count++] = *result;
}

static void print_costs(const report_t *report)
{
	const result_t *row;
	uint32_t i;

	emit(report,
	     "\n| variant | front us per sub-query | gather us per sub-query "
	     "| front us per search | gather us per search | front MB | "
	     "gather MB | hedges | retries | denied | sheds | cold breaches | log "
	     "lines dropped | latest send ms | sub-queries per request |\n"
	     "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | "
	     "--- | --- | --- | --- | --- |\n");
	for (i = 0; i < report->count; i++) {
		row = &report->rows[i];
		emit(report,
		     "| %s | %.1f | %.1f | %.0f | %.0f | %.1f | %.1f | %.0f | %.0f "
		     "| %.0f | %lld | %lld | %.0f | %.1f | %.2f |\n",
		     row->variant, row->front_us, row->gather_us,
		     row->front_query_us, row->gather_query_us, row->front_rss,
		     row->gather_rss, row->hedges, row->retries, row->denied,
		     (long long)row->sheds, (long long)row->cold_breaches,
		     row->log_dropped, row->late_ms, row->per_request);
	}
}

static void print_classes(const report_t *report)
{
	const result_t *row;
	uint32_t i;

	emit(report,
	     "\n| variant | urgent p99 ms | interactive p99 ms | report p99 "
	     "ms | urgent refused | interactive refused | report refused |\n"
	     "| --- | --- | --- | --- | --- | --- | --- |\n");
	for (i = 0; i < report->count; i++) {
		row = &report->rows[i];
		emit(report,
		     "| %s | %.1f | %.1f | %.1f | %zu of %zu | %zu of %zu | "
		     "%zu of %zu |\n",
		     row->variant, row->class_p99[0], row->class_p99[1],
		     row->class_p99[2], row->class_refused[0],
		     row->class_sent[0], row->class_refused[1],
		     row->class_sent[1], row->class_refused[2],
		     row->class_sent[2]);
	}
}

static void print_extras(const report_t *report)
{
	const result_t *first = &report->rows[0];
	uint32_t i, j;

	emit(report, "\n| variant |");
	for (j = 0; j < first->extra_count; j++)
		emit(report, " %s |", first->extras[j].name);
	emit(report, "\n| --- |");
	for (j = 0; j < first->extra_count; j++)
		emit(report, " --- |");
	for (i = 0; i < report->count; i++) {
		emit(report, "\n| %s |", report->rows[i].variant);
		for (j = 0; j < report->rows[i].extra_count; j++)
			emit(report, " %.2f |",
			     report->rows[i].extras[j].value);
	}
	emit(report, "\n");
}

void report_close(report_t *report)
{
	const result_t *first = &report->rows[0];

	if (report->count && first->rate > 0)
		print_costs(report);
	if (report->count && first->class_sent[0])
		print_classes(report);
	if (report->count && first->extra_count)
		print_extras(report);
	fclose(report->csv);
	fclose(report->page);
	free(report);
}
