/*
 * Counters of shards. The owner writes with relaxed atomic stores, so that a
 * reader on another thread never sees a torn value and the owner needs no
 * locked instruction.
 */
#include "mc/base/counter.h"

#include <math.h>

/* Ratio of the upper bounds of successive histogram buckets. */
static const double bucket_ratio = 1.15;

static void add_relaxed(uint64_t *value, uint64_t amount)
{
	uint64_t old = __atomic_load_n(value, __ATOMIC_RELAXED);

	__atomic_store_n(value, old + amount, __ATOMIC_RELAXED);
}

void mc_counter_add(mc_counters_t *counters, mc_counter_id_t id,
		    uint64_t amount)
{
	add_relaxed(&counters->values[id], amount);
}

static int find_bucket(mc_ms_t latency)
{
	int bucket;

	if (latency <= 1)
		return 0;
	bucket = (int)ceil(log((double)latency) / log(bucket_ratio));
	if (bucket >= MC_LATENCY_BUCKETS)
		bucket = MC_LATENCY_BUCKETS - 1;
	return bucket;
}

void mc_counters_record_latency(mc_counters_t *counters, mc_ms_t latency)
{
	add_relaxed(&counters->latency[find_bucket(latency)], 1);
}

void mc_counters_merge(mc_counters_t *sum, const mc_counters_t *from)
{
	int i;

	for (i = 0; i < MC_COUNTER_COUNT; i++)
		sum->values[i] +=
			__atomic_load_n(&from->values[i], __ATOMIC_RELAXED);
	for (i = 0; i < MC_LATENCY_BUCKETS; i++)
		sum->latency[i] +=
			__atomic_load_n(&from->latency[i], __ATOMIC_RELAXED);
}

mc_ms_t mc_counters_latency_quantile(const mc_counters_t *counters, double q)
{
	uint64_t total = 0;
	uint64_t seen = 0;
	int i;

	for (i = 0; i < MC_LATENCY_BUCKETS; i++)
		total += counters->latency[i];
	if (!total)
		return 0;
	for (i = 0; i < MC_LATENCY_BUCKETS - 1; i++) {
		seen += counters->latency[i];
		if ((double)seen >= q * (double)total)
			break;
	}
	return (mc_ms_t)ceil(pow(bucket_ratio, i));
}

const char *mc_counter_name(mc_counter_id_t id)
{
	static const char *const names[] = {
#define X(id, name, help) name,
		MC_COUNTERS(X)
#undef X
	};

	return id < MC_COUNTER_COUNT ? names[id] : "unknown";
}

const char *mc_counter_help(mc_counter_id_t id)
{
	static const char *const texts[] = {
#define X(id, name, help) help,
		MC_COUNTERS(X)
#undef X
	};

	return id < MC_COUNTER_COUNT ? texts[id] : "";
}

void mc_counters_print(const mc_counters_t *counters, FILE *out)
{
	static const char name[] = "mangocove_request_ms";
	uint64_t seen = 0;
	double bound = 1;
	int i;

	for (i = 0; i < MC_COUNTER_COUNT; i++)
		fprintf(out,
			"# HELP mangocove_%s_total %s\n"
			"# TYPE mangocove_%s_total counter\n"
			"mangocove_%s_total %llu\n",
			mc_counter_name(i), mc_counter_help(i),
			mc_counter_name(i), mc_counter_name(i),
			(unsigned long long)counters->values[i]);
	fprintf(out,
		"# HELP %s time from a request's first byte to its answer\n"
		"# TYPE %s histogram\n",
		name, name);
	for (i = 0; i < MC_LATENCY_BUCKETS; i++, bound *= bucket_ratio) {
		seen += counters->latency[i];
		if (counters->latency[i])
			fprintf(out, "%s_bucket{le=\"%.0f\"} %llu\n", name,
				floor(bound), (unsigned long long)seen);
	}
	fprintf(out, "%s_bucket{le=\"+Inf\"} %llu\n%s_count %llu\n", name,
		(unsigned long long)seen, name, (unsigned long long)seen);
}
