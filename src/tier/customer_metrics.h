/*
 * Counts of requests by customer, updated by all data shards and printed at the
 * metrics address. Their size is fixed: the customers with the most requests
 * have a row each, all others share one.
 */
#ifndef MC_TIER_CUSTOMER_METRICS_H
#define MC_TIER_CUSTOMER_METRICS_H

#include <pthread.h>
#include <stdio.h>

#include "mc/frequent.h"
#include "metrics.h"

/**
 * struct customer_counts_t - requests of a customer that have ended
 * @requests: all of them
 * @served: of these, those with an answer that is complete or enough
 * @refused: of these, those refused with the promise that they have not run, by
 *	error kind
 */
typedef struct customer_counts_t {
	uint64_t requests;
	uint64_t served;
	uint64_t refused[MC_ERR_COUNT];
} customer_counts_t;

/**
 * struct customer_metrics_t - metrics of all customers of the process
 * @lock: guards the other members
 * @names: customers that have a row; NULL until a request of one has ended
 * @rows: the rows, and after them that of all other customers
 */
typedef struct customer_metrics_t {
	pthread_mutex_t lock;
	mc_frequent_t *names;
	customer_counts_t rows[MC_FREQUENT_ROWS + 1];
} customer_metrics_t;

/** customer_metrics_init() - Begin without counts */
void customer_metrics_init(customer_metrics_t *metrics);

/** customer_metrics_free() - Free what belongs to @metrics */
void customer_metrics_free(customer_metrics_t *metrics);

/**
 * customer_metrics_count() - Count a request that has ended; any thread
 * @metrics: the metrics
 * @customer: name of its customer
 * @outcome: its outcome
 * @reason: error kind if @outcome is METRICS_REFUSED
 */
void customer_metrics_count(customer_metrics_t *metrics, const char *customer,
			    metrics_outcome_t outcome, mc_err_t reason);

/**
 * customer_metrics_print() - Print all rows in the Prometheus text format;
 * nothing before a request of a customer has ended
 */
void customer_metrics_print(customer_metrics_t *metrics, FILE *out);

#endif
