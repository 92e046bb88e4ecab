/*
 * System test of what control costs while nothing happens: calls to the store,
 * bytes to peers, processor time and memory. Times and memory are only printed.
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
	FEW = 2,
	MANY = 4,
	/* The start is over, and then one measures for so long, ms. */
	SETTLE_MS = 3000,
	MEASURE_MS = 6000,
	MS_PER_SECOND = 1000,
	/* Bound of control traffic of a process, bytes/s. */
	CONTROL_MAX = 3000,
	PATH_SIZE = 64,
	LINE_SIZE = 1024,
	/* Fields between the program's name and its processor times. */
	STAT_SKIPPED = 11,
	KIB = 1024,
};

/* Counts at one time, added up over all instances. */
typedef struct sample_t {
	mc_ms_t at;
	json_int_t calls;
	json_int_t lists;
	json_int_t bytes;
	long front_ticks;
	long gather_ticks;
} sample_t;

/* Processor time that a process has used, in clock ticks. */
static long ticks_of(harness_t *harness, mc_handle_t process)
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
	for (i = 0; i < STAT_SKIPPED; i++)
		field = strchr(field + 1, ' ');
	user = strtol(field, &end, 10);
	system = strtol(end, NULL, 10);
	return user + system;
}

/* Resident memory, KiB. */
static long memory_of(harness_t *harness, mc_handle_t process)
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

static sample_t take(const cluster_t *cluster)
{
	const cluster_instance_t *instance;
	json_t *counts = cluster_platform(cluster, "{}");
	sample_t sample = {
		.at = mc_clock_now(mc_clock_system()),
		.calls = fleet_number(counts, "reads") +
			 fleet_number(counts, "writes") +
			 fleet_number(counts, "watches"),
		.lists = fleet_number(counts, "lists"),
	};
	uint32_t i;

	json_decref(counts);
	for (i = 0; i < cluster->instance_count; i++) {
		instance = &cluster->instances[i];
		sample.bytes += fleet_metric(instance, "control_bytes");
		sample.front_ticks +=
			ticks_of(cluster->harness, instance->front);
		sample.gather_ticks +=
			ticks_of(cluster->harness, instance->gather);
	}
	return sample;
}

static double per_second(double count, const sample_t *from, const sample_t *to)
{
	return count * MS_PER_SECOND / (double)(to->at - from->at);
}

static void print_costs(const cluster_t *cluster, const sample_t *from,
			const sample_t *to)
{
	const cluster_instance_t *first = &cluster->instances[0];
	double tick = 1 / (double)sysconf(_SC_CLK_TCK) /
		      (double)cluster->instance_count;

	print_message("%u instances: store calls %.2f/s and lists %.2f/s\n",
		      cluster->instance_count,
		      per_second((double)(to->calls - from->calls), from, to),
		      per_second((double)(to->lists - from->lists), from, to));
	print_message(
		"front: cpu %.4f s/s, %ld KiB; gather: cpu %.4f s/s, %ld KiB\n",
		per_second((double)(to->front_ticks - from->front_ticks) * tick,
			   from, to),
		memory_of(cluster->harness, first->front),
		per_second((double)(to->gather_ticks - from->gather_ticks) *
				   tick,
			   from, to),
		memory_of(cluster->harness, first->gather));
}

/* Return: calls to the store per second, lists included. */
static double measure(uint32_t instances)
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
	from = take(cluster);
	harness_sleep(MEASURE_MS);
	to = take(cluster);
	print_costs(cluster, &from, &to);
	bytes = per_second((double)(to.bytes - from.bytes), &from, &to) /
		cluster->instance_count;
	print_message("control bytes of a front: %.0f/s\n", bytes);
	calls = per_second(
		(double)(to.calls + to.lists - from.calls - from.lists), &from,
		&to);
	cluster_destroy(cluster);
	assert_true(bytes > 0 && bytes <= CONTROL_MAX);
	return calls;
}

/* Twice the fleet calls the store no more often, but for chance. */
static void test_idle(void **state)
{
	double few = measure(FEW);
	double many = measure(MANY);

	(void)state;
	assert_true(few > 0);
	assert_true(many <= few * 1.5);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_idle),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
