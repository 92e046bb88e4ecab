/*
 * Tables are printed as Markdown, so that a documentation page can include them
 * unchanged. The main table is printed row by row; rows are kept for the tables
 * that follow it.
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
	ERRORS_SIZE = 256,
	DATE_SIZE = 32,
};

struct report_t {
	FILE *csv;
	FILE *markdown;
	uint32_t row_count;
	result_t rows[ROWS_MAX];
};

/* Prints to standard output and to the scenario's Markdown file. */
static void print_markdown(const report_t *report, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

static void print_markdown(const report_t *report, const char *format, ...)
{
	va_list args;

	va_start(args, format);
	vprintf(format, args);
	va_end(args);
	va_start(args, format);
	vfprintf(report->markdown, format, args);
	va_end(args);
	fflush(stdout);
	fflush(report->markdown);
}

void result_extra(result_t *result, const char *name, double value)
{
	if (result->extra_count < RESULT_EXTRAS_MAX)
		result->extras[result->extra_count++] =
			(result_extra_t){ .name = name, .value = value };
}

static FILE *open_file(const char *directory, const char *scenario,
		       const char *extension)
{
	char path[PATH_SIZE];

	snprintf(path, sizeof(path), "%s/%s.%s", directory, scenario,
		 extension);
	return fopen(path, "w");
}

static void print_title(const report_t *report, const char *scenario,
			const char *title, double duration_s)
{
	time_t now = time(NULL);
	char date[DATE_SIZE];
	double load_average = 0;

	getloadavg(&load_average, 1);
	strftime(date, sizeof(date), "%Y-%m-%d %H:%M UTC", gmtime(&now));
	print_markdown(
		report,
		"\n### %s: %s\n\n%s, %.0f s per variant, load average of the "
		"machine at the start: %.1f.\n\n",
		scenario, title, date, duration_s, load_average);
}

report_t *report_open(const char *directory, const char *scenario,
		      const char *title, double duration_s)
{
	report_t *report = calloc(1, sizeof(*report));

	if (!report)
		return NULL;
	report->csv = open_file(directory, scenario, "csv");
	report->markdown = open_file(directory, scenario, "md");
	if (!report->csv || !report->markdown) {
		if (report->csv)
			fclose(report->csv);
		if (report->markdown)
			fclose(report->markdown);
		free(report);
		return NULL;
	}
	print_title(report, scenario, title, duration_s);
	return report;
}

/* Formats the counts of errors as "KIND COUNT, ...", or "0" if there are none.
 */
static void format_error_counts(const result_t *result, const char *separator,
				char *text)
{
	size_t used = 0;
	size_t i;

	snprintf(text, ERRORS_SIZE, "0");
	if (result->failed)
		used += (size_t)snprintf(text, ERRORS_SIZE, "no_answer %zu",
					 result->failed);
	for (i = 0; i < MC_ERR_COUNT && used < ERRORS_SIZE; i++)
		if (result->refused[i])
			used += (size_t)snprintf(
				text + used, ERRORS_SIZE - used, "%s%s %zu",
				used ? separator : "",
				mc_error_name((mc_err_t)i), result->refused[i]);
}

static void print_main_header(const report_t *report)
{
	print_markdown(
		report,
		"| variant | searches/s | answered of sent | p50 ms | p99 ms | "
		"p99.9 ms | coverage | dishonest | extra load %% | refused | "
		"duplicates of runs | most in flight (bears) | breaches |\n"
		"| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | "
		"--- | --- | --- |\n");
}

static void print_main_row(const report_t *report, const result_t *row)
{
	char errors[ERRORS_SIZE];

	format_error_counts(row, ", ", errors);
	print_markdown(
		report,
		"| %s | %.0f | %zu of %zu | %.1f | %.1f | %.1f | %.4f | %zu | "
		"%.2f | %s | %zu of %zu | %lld (%lld) | %lld |\n",
		row->variant, row->search_rate, row->answered, row->sent,
		row->p50_ms, row->p99_ms, row->p999_ms, row->coverage,
		row->inconsistent, row->extra_percent, errors, row->duplicates,
		row->runs, (long long)row->max_in_flight,
		(long long)row->capacity, (long long)row->breaches);
	if (row->not_sent)
		print_markdown(
			report,
			"\n(%zu requests not sent: too many in flight at the tool)\n\n",
			row->not_sent);
}

static void write_csv_header(FILE *csv, const result_t *row)
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

static void write_csv_row(FILE *csv, const result_t *row)
{
	char errors[ERRORS_SIZE];
	uint32_t i;

	format_error_counts(row, "; ", errors);
	fprintf(csv,
		"%s,\"%s\",%.1f,%zu,%zu,%.2f,%zu,%.2f,%.2f,%.2f,%.5f,%zu,%zu,",
		row->scenario, row->variant, row->search_rate, row->sent,
		row->not_sent, row->late_ms, row->answered, row->p50_ms,
		row->p99_ms, row->p999_ms, row->coverage, row->partial,
		row->inconsistent);
	fprintf(csv, "%.3f,%.0f,%.0f,%.0f,%s,%zu,%zu,%lld,%lld,%lld,%lld,%lld,",
		row->extra_percent, row->hedges, row->retries, row->denied,
		errors, row->runs, row->duplicates,
		(long long)row->max_in_flight, (long long)row->capacity,
		(long long)row->breaches, (long long)row->cold_breaches,
		(long long)row->sheds);
	fprintf(csv, "%.2f,%.2f,%.2f,%.1f,%.1f,%.2f,%.2f,%.0f,%.2f,%.2f,%.2f",
		row->queries_per_request, row->front_us, row->gather_us,
		row->front_query_us, row->gather_query_us, row->front_rss_mb,
		row->gather_rss_mb, row->log_dropped, row->class_p99_ms[0],
		row->class_p99_ms[1], row->class_p99_ms[2]);
	for (i = 0; i < row->extra_count; i++)
		fprintf(csv, ",%.3f", row->extras[i].value);
	fprintf(csv, "\n");
	fflush(csv);
}

void report_row(report_t *report, const result_t *result)
{
	if (!report->row_count)
		write_csv_header(report->csv, result);
	if (!report->row_count && result->search_rate > 0)
		print_main_header(report);
	if (result->search_rate > 0)
		print_main_row(report, result);
	write_csv_row(report->csv, result);
	if (report->row_count < ROWS_MAX)
		report->rows[report->row_count++] = *result;
}

static void print_costs(const report_t *report)
{
	const result_t *row;
	uint32_t i;

	print_markdown(
		report,
		"\n| variant | front us per sub-query | gather us per sub-query "
		"| front us per search | gather us per search | front MB | "
		"gather MB | hedges | retries | denied | sheds | cold breaches | log "
		"lines dropped | latest send ms | sub-queries per request |\n"
		"| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | "
		"--- | --- | --- | --- | --- |\n");
	for (i = 0; i < report->row_count; i++) {
		row = &report->rows[i];
		print_markdown(
			report,
			"| %s | %.1f | %.1f | %.0f | %.0f | %.1f | %.1f | %.0f | %.0f "
			"| %.0f | %lld | %lld | %.0f | %.1f | %.2f |\n",
			row->variant, row->front_us, row->gather_us,
			row->front_query_us, row->gather_query_us,
			row->front_rss_mb, row->gather_rss_mb, row->hedges,
			row->retries, row->denied, (long long)row->sheds,
			(long long)row->cold_breaches, row->log_dropped,
			row->late_ms, row->queries_per_request);
	}
}

static void print_classes(const report_t *report)
{
	const result_t *row;
	uint32_t i;

	print_markdown(
		report,
		"\n| variant | urgent p99 ms | interactive p99 ms | report p99 "
		"ms | urgent refused | interactive refused | report refused |\n"
		"| --- | --- | --- | --- | --- | --- | --- |\n");
	for (i = 0; i < report->row_count; i++) {
		row = &report->rows[i];
		print_markdown(
			report,
			"| %s | %.1f | %.1f | %.1f | %zu of %zu | %zu of %zu | "
			"%zu of %zu |\n",
			row->variant, row->class_p99_ms[0],
			row->class_p99_ms[1], row->class_p99_ms[2],
			row->class_refused[0], row->class_sent[0],
			row->class_refused[1], row->class_sent[1],
			row->class_refused[2], row->class_sent[2]);
	}
}

static void print_extras(const report_t *report)
{
	const result_t *first_row = &report->rows[0];
	uint32_t i, j;

	print_markdown(report, "\n| variant |");
	for (j = 0; j < first_row->extra_count; j++)
		print_markdown(report, " %s |", first_row->extras[j].name);
	print_markdown(report, "\n| --- |");
	for (j = 0; j < first_row->extra_count; j++)
		print_markdown(report, " --- |");
	for (i = 0; i < report->row_count; i++) {
		print_markdown(report, "\n| %s |", report->rows[i].variant);
		for (j = 0; j < report->rows[i].extra_count; j++)
			print_markdown(report, " %.2f |",
				       report->rows[i].extras[j].value);
	}
	print_markdown(report, "\n");
}

void report_close(report_t *report)
{
	const result_t *first_row = &report->rows[0];

	if (report->row_count && first_row->search_rate > 0)
		print_costs(report);
	if (report->row_count && first_row->class_sent[0])
		print_classes(report);
	if (report->row_count && first_row->extra_count)
		print_extras(report);
	fclose(report->csv);
	fclose(report->markdown);
	free(report);
}
