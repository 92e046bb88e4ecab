/*
 * The scenarios: each runs its variants one after the other, with the
 * mechanism that it is about on and off.
 */
#ifndef BENCH_SCENARIO_H
#define BENCH_SCENARIO_H

#include "result.h"

/**
 * struct bench_t - what is common to all variants
 * @seconds: length of each load
 * @rate: searches per second of the scenarios with one rate
 * @report: where rows go
 */
typedef struct bench_t {
	double seconds;
	double rate;
	report_t *report;
} bench_t;

/**
 * struct scenario_t - a scenario
 * @name: for SCENARIO= and its files
 * @title: what it shows
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
