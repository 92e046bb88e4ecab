/*
 * The scenarios. Each runs its variants in sequence, with the mechanism under
 * test enabled and disabled.
 */
#ifndef BENCH_SCENARIO_H
#define BENCH_SCENARIO_H

#include "result.h"

/**
 * struct bench_t - parameters common to all variants
 * @duration_s: length of each load, s
 * @search_rate: searches per second in scenarios that use a single rate
 * @report: receives a row for each variant
 */
typedef struct bench_t {
	double duration_s;
	double search_rate;
	report_t *report;
} bench_t;

/**
 * struct scenario_t - entry of the table of scenarios
 * @name: name on the command line and of the files written
 * @title: one-line description, printed as a heading
 * @run: runs all variants
 */
typedef struct scenario_t {
	const char *name;
	const char *title;
	void (*run)(const bench_t *bench);
} scenario_t;

void scenario_steady(const bench_t *bench);
void scenario_straggler(const bench_t *bench);
void scenario_killed(const bench_t *bench);
void scenario_cold(const bench_t *bench);
void scenario_overload(const bench_t *bench);
void scenario_out(const bench_t *bench);
void scenario_slopes(const bench_t *bench);
void scenario_members(const bench_t *bench);

#endif
