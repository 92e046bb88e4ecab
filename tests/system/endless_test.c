/*
 * System tests of targets whose responses have no end: an instance must keep
 * its memory, close what is no response, and serve other callers meanwhile.
 */
#include <pthread.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <cmocka.h>

#include "mc/base.h"
#include "site.h"

enum {
	TIME_LEFT_MS = 1500,
	CALLERS = 12,
	RUN_MS = 5000,
	/* Memory that an instance may use, as in its settings. */
	MEMORY_MB = SITE_MEMORY_MB,
	BYTES_PER_MB = 1 << 20,
	/* Requests of other callers, and how many of 100 must be served. */
	OTHER_REQUESTS = 40,
	SERVED_PERCENT = 90,
	PERCENT = 100,
};

/* Each test case that runs in parallel uses its own directory. */
static const char *site_name = "endless";

static int set_up(void **state)
{
	*state = site_create(site_name, 1);
	return 0;
}

static int tear_down(void **state)
{
	site_destroy(*state);
	return 0;
}

/* Most memory that instance 0 has had, MB; 0 if it has ended. */
static unsigned int peak_memory(site_t *site)
{
	char path[64], line[256];
	unsigned long kilobytes = 0;
	FILE *file;

	snprintf(path, sizeof(path), "/proc/%d/status",
		 (int)harness_pid(site->harness, site->instances[0].process));
	file = fopen(path, "r");
	while (file && fgets(line, sizeof(line), file))
		if (sscanf(line, "VmHWM: %lu kB", &kilobytes) == 1)
			break;
	if (file)
		fclose(file);
	return (unsigned int)(kilobytes / 1024);
}

static void *send_searches(void *arg)
{
	mc_ms_t end = harness_now() + RUN_MS;

	while (harness_now() < end)
		site_send_request(arg, 0, "GET", "/all/x", TIME_LEFT_MS);
	return NULL;
}

static uint32_t count_other_served(site_t *site)
{
	uint32_t served = 0, i;

	for (i = 0; i < OTHER_REQUESTS; i++) {
		if (site_send_request(site, 0, "GET", "/one/x", TIME_LEFT_MS)
			    .status == 200)
			served++;
		harness_sleep(RUN_MS / OTHER_REQUESTS / 2);
	}
	return served;
}

/* Sends searches whose responses are endless from many callers at once. */
static void check_endless(site_t *site, const searcher_fault_t *faults)
{
	pthread_t callers[CALLERS];
	unsigned int memory;
	uint32_t served, i, j;

	for (i = 0; i < SITE_SHARDS; i++)
		for (j = 0; j < SITE_REPLICAS; j++)
			searcher_set_fault(site->shards[i][j], faults[i],
					   1000000);
	for (i = 0; i < CALLERS; i++)
		pthread_create(&callers[i], NULL, send_searches, site);
	served = count_other_served(site);
	for (i = 0; i < CALLERS; i++)
		pthread_join(callers[i], NULL);
	memory = peak_memory(site);
	print_message("peak memory %u MB, others served %u of %u\n", memory,
		      served, OTHER_REQUESTS);
	assert_true(
		harness_is_running(site->harness, site->instances[0].process));
	assert_in_range(memory, 1, MEMORY_MB);
	assert_true(served * PERCENT >= OTHER_REQUESTS * SERVED_PERCENT);
	/* The targets serve again once their responses have an end. */
	for (i = 0; i < SITE_SHARDS; i++)
		for (j = 0; j < SITE_REPLICAS; j++)
			searcher_set_fault(site->shards[i][j],
					   SEARCHER_FAULT_NONE, 0);
	harness_sleep(RUN_MS / 2);
	for (i = 0; i < 100; i++)
		if (site_send_request(site, 0, "GET", "/all/x", TIME_LEFT_MS)
			    .status == 200)
			return;
	fail_msg("no search was served afterwards");
}

/* The bodies of many responses together fill the memory. */
static void test_endless_bodies(void **state)
{
	static const searcher_fault_t faults[SITE_SHARDS] = {
		SEARCHER_FAULT_ENDLESS_BODY,
		SEARCHER_FAULT_ENDLESS_BODY,
		SEARCHER_FAULT_ENDLESS_CHUNKS,
		SEARCHER_FAULT_ENDLESS_LENGTH,
	};

	check_endless(*state, faults);
}

/* Heads without end beside bodies. */
static void test_endless_heads(void **state)
{
	static const searcher_fault_t faults[SITE_SHARDS] = {
		SEARCHER_FAULT_ENDLESS_HEAD,
		SEARCHER_FAULT_ENDLESS_HEAD,
		SEARCHER_FAULT_ENDLESS_HEAD,
		SEARCHER_FAULT_ENDLESS_BODY,
	};

	check_endless(*state, faults);
}

int main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_endless_bodies, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(test_endless_heads, set_up,
						tear_down),
	};

	if (argc > 1) {
		cmocka_set_test_filter(argv[1]);
		site_name = argv[1];
	}
	return cmocka_run_group_tests_name("endless", tests, NULL, NULL);
}
