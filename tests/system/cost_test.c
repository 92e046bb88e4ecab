/*
 * System test of the control plane's costs while the system is idle: calls to
 * the store, bytes sent to peers, processor time and memory. Calls and bytes
 * are checked against bounds; processor time and memory are only printed.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <cmocka.h>

#include "fleet.h"

enum {
	DATA_CENTERS = 2,
	/* Instances of each data centre, in the two systems compared. */
	INSTANCES_SMALL = 2,
	INSTANCES_LARGE = 4,
	/* Wait after the start, so that its traffic is not measured, ms. */
	SETTLE_MS = 3000,
	/* Time between the two samples, ms. */
	MEASURE_MS = 6000,
	MS_PER_SECOND = 1000,
	/* Upper bound of the control traffic of a front, bytes/s. */
	CONTROL_BYTES_MAX = 3000,
	PATH_SIZE = 64,
	LINE_SIZE = 1024,
	/* Fields of /proc/PID/stat between program name and user time. */
	STAT_FIELDS_SKIPPED = 11,
	KIB = 1024,
};

/* Counters read at @taken_at (ms), summed over all instances. */
typedef struct sample_t {
	mc_ms_t taken_at;
	json_int_t store_calls;
	json_int_t store_lists;
	json_int_t control_bytes;
	long front_ticks;
	long gather_ticks;
} sample_t;

/* Returns the processor time that a process has used, in clock ticks. */
static long read_cpu_ticks(harness_t *harness, mc_handle_t process)
{
	char path[PATH_SIZE], line[LINE_SIZE] = "";
	const char *field;
	long user, system;
	char *end;
	FILE *file;
	int i;

	snprintf(path, sizeof(path), "/proc/%d/stat",
		 harness_pid(harness, process));
	file = fopen(path, "r");
	assert_non_null(file);
	assert_non_null(fgets(line, sizeof(line), file));
	fclose(file);
	field = strrchr(line, ')');
	assert_non_null(field);
	field++;
	for (i = 0; i < STAT_FIELDS_SKIPPED; i++)
		field = strchr(field + 1, ' ');
	user = strtol(field, &end, 10);
	system = strtol(end, NULL, 10);
	return user + system;
}

/* Returns the resident memory of a process, KiB. */
static long read_resident_kib(harness_t *harness, mc_handle_t process)
{
	char path[PATH_SIZE], line[LINE_SIZE] = "";
	char *end;
	FILE *file;

	snprintf(path, sizeof(path), "/proc/%d/statm",
		 harness_pid(harness, process));
	file = fopen(path, "r");
	assert_non_null(file);
	assert_non_null(fgets(line, sizeof(line), file));
	fclose(file);
	strtol(line, &end, 10);
	return strtol(end, NULL, 10) * sysconf(_SC_PAGESIZE) / KIB;
}

static sample_t take_sample(const cluster_t *cluster)
{
	const cluster_instance_t *instance;
	json_t *counts = cluster_control_platform(cluster, "{}");
	sample_t sample = {
		.taken_at = harness_now(),
		.store_calls = fleet_status_number(counts, "reads") +
			       fleet_status_number(counts, "writes") +
			       fleet_status_number(counts, "watches"),
		.store_lists = fleet_status_number(counts, "lists"),
	};
	uint32_t i;

	json_decref(counts);
	for (i = 0; i < cluster->instance_count; i++) {
		instance = &cluster->instances[i];
		sample.control_bytes +=
			fleet_front_metric(instance, "control_bytes");
		sample.front_ticks +=
			read_cpu_ticks(cluster->harness, instance->front);
		sample.gather_ticks +=
			read_cpu_ticks(cluster->harness, instance->gather);
	}
	return sample;
}

static double per_second(double count, const sample_t *from, const sample_t *to)
{
	return count * MS_PER_SECOND / (double)(to->taken_at - from->taken_at);
}

static void print_costs(const cluster_t *cluster, const sample_t *from,
			const sample_t *to)
{
	const cluster_instance_t *first = &cluster->instances[0];
	double tick = 1 / (double)sysconf(_SC_CLK_TCK) /
		      (double)cluster->instance_count;

	print_message("%u instances: store calls %.2f/s and lists %.2f/s\n",
		      cluster->instance_count,
		      per_second((double)(to->store_calls - from->store_calls),
				 from, to),
		      per_second((double)(to->store_lists - from->store_lists),
				 from, to));
	print_message(
		"front: cpu %.4f s/s, %ld KiB; gather: cpu %.4f s/s, %ld KiB\n",
		per_second((double)(to->front_ticks - from->front_ticks) * tick,
			   from, to),
		read_resident_kib(cluster->harness, first->front),
		per_second((double)(to->gather_ticks - from->gather_ticks) *
				   tick,
			   from, to),
		read_resident_kib(cluster->harness, first->gather));
}

/*
 * Starts a cluster, leaves it idle, prints its costs and checks the control
 * traffic. Returns all calls to the store per second, lists included.
 */
static double measure_store_calls(uint32_t instances)
{
	const cluster_params_t params = {
		.name = "cost",
		.data_centers = DATA_CENTERS,
		.instances = instances,
		.shards = 1,
		.snapshots = 1,
	};
	cluster_t *cluster = cluster_create(&params);
	sample_t from, to;
	double bytes, calls;

	assert_non_null(cluster);
	cluster_start(cluster);
	harness_sleep(SETTLE_MS);
	from = take_sample(cluster);
	harness_sleep(MEASURE_MS);
	to = take_sample(cluster);
	print_costs(cluster, &from, &to);
	bytes = per_second((double)(to.control_bytes - from.control_bytes),
			   &from, &to) /
		cluster->instance_count;
	print_message("control traffic of a front: %.0f bytes/s\n", bytes);
	calls = per_second((double)(to.store_calls + to.store_lists -
				    from.store_calls - from.store_lists),
			   &from, &to);
	cluster_destroy(cluster);
	assert_true(bytes > 0 && bytes <= CONTROL_BYTES_MAX);
	return calls;
}

/*
 * Guards against store calls that grow with the number of instances: a system
 * twice as large may call the store at most 1.5 times as often, which allows
 * for random variation.
 */
static void test_idle_costs(void **state)
{
	double small = measure_store_calls(INSTANCES_SMALL);
	double large = measure_store_calls(INSTANCES_LARGE);

	(void)state;
	assert_true(small > 0);
	assert_true(large <= small * 1.5);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_idle_costs),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
