/*
 * Counts and latencies of each route, which all data shards add to and the
 * metrics address shows. A row is named once, under a lock, and is then added
 * to without one.
 */
#ifndef MC_TIER_METRICS_H
#define MC_TIER_METRICS_H

#include <pthread.h>
#include <stdio.h>

#include "mc/base.h"

enum {
	/* Routes that are told apart; the last row holds the rest. */
	METRICS_ROUTES_MAX = 128,
	METRICS_NAME_SIZE = 64,
	METRICS_BUCKETS = 14,
};

/** enum metrics_outcome_t - how a request ended for its caller */
typedef enum metrics_outcome_t {
	METRICS_COMPLETE,
	METRICS_PARTIAL,
	/* A target's answer that is no success. */
	METRICS_FAILED_BY_TARGET,
	/* Told that it has not run. */
	METRICS_REFUSED,
	/* Its outcome is not known, or no target answered in time. */
	METRICS_UNKNOWN,
	METRICS_CALLER_GONE,
	METRICS_OUTCOME_COUNT
} metrics_outcome_t;

/** struct metrics_histogram_t - latencies; buckets are not cumulative */
typedef struct metrics_histogram_t {
	uint64_t buckets[METRICS_BUCKETS];
	uint64_t sum;
} metrics_histogram_t;

/**
 * struct metrics_row_t - a route
 * @name: its name
 * @outcomes: requests by how they ended
 * @total: from a request's first byte to its answer
 * @target: from a send to a target to its answer
 * @waited: in which a part waited for room at its targets
 */
typedef struct metrics_row_t {
	char name[METRICS_NAME_SIZE];
	uint64_t outcomes[METRICS_OUTCOME_COUNT];
	metrics_histogram_t total;
	metrics_histogram_t target;
	metrics_histogram_t waited;
} metrics_row_t;

/** struct metrics_t - the process's routes */
typedef struct metrics_t {
	pthread_mutex_t lock;
	uint32_t count;
	metrics_row_t rows[METRICS_ROUTES_MAX];
} metrics_t;

void metrics_init(metrics_t *metrics);

/** metrics_row() - the row of a route; never NULL */
metrics_row_t *metrics_row(metrics_t *metrics, const char *route);

/** metrics_add() - a latency in ms; any thread */
void metrics_add(metrics_histogram_t *histogram, mc_ms_t latency);

/** metrics_count() - a request ended; any thread */
void metrics_count(metrics_row_t *row, metrics_outcome_t outcome);

/** metrics_print() - all rows in the exposition format */
void metrics_print(metrics_t *metrics, FILE *out);

#endif
