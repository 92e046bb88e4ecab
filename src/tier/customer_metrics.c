/*
 * Metrics of customers and their output. When a customer takes over the row of
 * another, the counts of that one move to the row of all other customers, so
 * that each request is in exactly one row, and no count of a customer, or of
 * the others, falls while it has its row.
 */
#include "customer_metrics.h"

#include <string.h>

/* The row of all customers that have none of their own. */
#define OTHER_ROW MC_FREQUENT_ROWS
static const char other_name[] = "other";

void customer_metrics_init(customer_metrics_t *metrics)
{
	*metrics = (customer_metrics_t){ 0 };
	pthread_mutex_init(&metrics->lock, NULL);
}

void customer_metrics_free(customer_metrics_t *metrics)
{
	mc_frequent_free(metrics->names);
	pthread_mutex_destroy(&metrics->lock);
}

static void add_counts(customer_counts_t *sum, const customer_counts_t *counts)
{
	uint32_t i;

	sum->requests += counts->requests;
	sum->served += counts->served;
	for (i = 0; i < MC_ERR_COUNT; i++)
		sum->refused[i] += counts->refused[i];
}

/* Returns the row of a customer. One that is named as the row of the others is
 * counted there: two rows of one name can't be told apart. */
static customer_counts_t *get_row(customer_metrics_t *metrics,
				  const char *customer)
{
	customer_counts_t *other = &metrics->rows[OTHER_ROW];
	mc_frequent_place_t place;

	if (!metrics->names)
		metrics->names = mc_frequent_create();
	if (!metrics->names || !strcmp(customer, other_name))
		return other;
	place = mc_frequent_count(metrics->names, customer);
	if (place.is_new) {
		add_counts(other, &metrics->rows[place.row]);
		metrics->rows[place.row] = (customer_counts_t){ 0 };
	}
	return &metrics->rows[place.row];
}

void customer_metrics_count(customer_metrics_t *metrics, const char *customer,
			    metrics_outcome_t outcome, mc_err_t reason)
{
	customer_counts_t *row;

	pthread_mutex_lock(&metrics->lock);
	row = get_row(metrics, customer);
	row->requests++;
	if (outcome == METRICS_COMPLETE || outcome == METRICS_PARTIAL)
		row->served++;
	else if (outcome == METRICS_REFUSED)
		row->refused[reason]++;
	pthread_mutex_unlock(&metrics->lock);
}

static const char *row_name(const customer_metrics_t *metrics, uint32_t row)
{
	if (row == OTHER_ROW)
		return other_name;
	return metrics->names ? mc_frequent_name(metrics->names, row) : NULL;
}

static void print_sample(FILE *out, const char *name, const char *customer,
			 const char *reason, uint64_t value)
{
	fprintf(out, "mangocove_customer_%s_total{customer=\"", name);
	metrics_print_label(out, customer);
	if (reason)
		fprintf(out, "\",reason=\"%s", reason);
	fprintf(out, "\"} %llu\n", (unsigned long long)value);
}

static void print_requests(FILE *out, const char *customer,
			   const customer_counts_t *counts)
{
	print_sample(out, "requests", customer, NULL, counts->requests);
}

static void print_served(FILE *out, const char *customer,
			 const customer_counts_t *counts)
{
	print_sample(out, "served", customer, NULL, counts->served);
}

static void print_refused(FILE *out, const char *customer,
			  const customer_counts_t *counts)
{
	uint32_t i;

	for (i = 0; i < MC_ERR_COUNT; i++)
		if (counts->refused[i])
			print_sample(out, "refused", customer,
				     mc_error_name((mc_err_t)i),
				     counts->refused[i]);
}

void customer_metrics_print(customer_metrics_t *metrics, FILE *out)
{
	static const struct {
		const char *name;
		const char *help;
		void (*print)(FILE *out, const char *customer,
			      const customer_counts_t *counts);
	} families[] = {
		{ "requests", "requests that have ended", print_requests },
		{ "served", "requests with an answer", print_served },
		{ "refused", "requests that were not run", print_refused },
	};
	uint32_t i, row;

	pthread_mutex_lock(&metrics->lock);
	for (i = 0; i < MC_ARRAY_LEN(families) && metrics->names; i++) {
		fprintf(out,
			"# HELP mangocove_customer_%s_total %s\n"
			"# TYPE mangocove_customer_%s_total counter\n",
			families[i].name, families[i].help, families[i].name);
		for (row = 0; row <= OTHER_ROW; row++) {
			const char *customer = row_name(metrics, row);

			if (customer)
				families[i].print(out, customer,
						  &metrics->rows[row]);
		}
	}
	pthread_mutex_unlock(&metrics->lock);
}
