/*
 * Outcome counters and latency histograms of each route, updated by all data
 * shards and printed at the metrics address. A row is created under the lock;
 * its counters are then updated atomically without the lock.
 */
#ifndef MC_TIER_METRICS_H
#define MC_TIER_METRICS_H

#include <pthread.h>
#include <stdio.h>

#include "mc/base.h"

enum {
	/* Maximum number of rows; the last one is shared by all further routes.
	 */
	METRICS_ROUTES_MAX = 128,
	METRICS_NAME_SIZE = 64,
	METRICS_BUCKETS = 14,
};

/** enum metrics_outcome_t - outcome of a request for its caller */
typedef enum metrics_outcome_t {
	METRICS_COMPLETE,
	METRICS_PARTIAL,
	/* An unsuccessful response of a target was forwarded. */
	METRICS_FAILED_BY_TARGET,
	/* An error that promises that the request has not run. */
	METRICS_REFUSED,
	/* Any other error: the outcome is unknown, or no target responded in
	 * time. */
	METRICS_UNKNOWN,
	METRICS_CALLER_GONE,
	METRICS_OUTCOME_COUNT
} metrics_outcome_t;

/**
 * struct metrics_histogram_t - latency histogram
 * @buckets: number of latencies per bucket, not cumulative
 * @sum: sum of all latencies, ms
 */
typedef struct metrics_histogram_t {
	uint64_t buckets[METRICS_BUCKETS];
	uint64_t sum;
} metrics_histogram_t;

/**
 * struct metrics_row_t - metrics of a route
 * @name: name of the route
 * @outcomes: number of requests by outcome
 * @total: time from a request's first byte to its response
 * @target: time from an attempt's send to the target's response
 * @waited: time that a part waited for capacity at its targets
 */
typedef struct metrics_row_t {
	char name[METRICS_NAME_SIZE];
	uint64_t outcomes[METRICS_OUTCOME_COUNT];
	metrics_histogram_t total;
	metrics_histogram_t target;
	metrics_histogram_t waited;
} metrics_row_t;

/**
 * struct metrics_t - metrics of all routes of the process
 * @lock: guards @count and the names of the rows
 * @count: number of rows in use
 * @rows: one per route
 */
typedef struct metrics_t {
	pthread_mutex_t lock;
	uint32_t count;
	metrics_row_t rows[METRICS_ROUTES_MAX];
} metrics_t;

void metrics_init(metrics_t *metrics);

/** metrics_row() - Get or create the row of a route; never NULL, any thread */
metrics_row_t *metrics_row(metrics_t *metrics, const char *route);

/** metrics_add() - Add a latency in ms to a histogram; any thread */
void metrics_add(metrics_histogram_t *histogram, mc_ms_t latency);

/** metrics_count() - Count the outcome of a request; any thread */
void metrics_count(metrics_row_t *row, metrics_outcome_t outcome);

/** metrics_print_label() - Print the value of a label, with the characters
 * escaped that would end it */
void metrics_print_label(FILE *out, const char *value);

/** metrics_print() - Print all rows in the Prometheus text format */
void metrics_print(metrics_t *metrics, FILE *out);

#endif
