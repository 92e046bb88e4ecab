/*
 * System tests of limits that searchers name in their answers: requests a
 * second from all instances together.
 */
#include <pthread.h>
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include "mc/base.h"
#include "site.h"

enum {
	TIME_LEFT_MS = 1500,
	INSTANCES = 4,
	REQUEST_GAP_MS = 5,
	MS_PER_S = 1000,
	/* What the users allow: in any window one and a half times the limit,
	 * and a number of requests besides. */
	WINDOW_MS = 4000,
	LIMIT_SLACK = 5,
	/* An instance obeys a limit this long after it was told, ms. */
	OBEY_MS = 500,
	RUN_MS = 9000,
	/* A refusal that comes later than this has waited in vain, ms. */
	REFUSAL_MS = 200,
	CALLERS = 8,
	/* More requests than a test sends in SHED_RUN_MS. */
	SHED_MAX = 1 << 20,
	SHED_RUN_MS = 3000,
};

static const double limit_factor = 1.5;

/* Each test case that runs in parallel uses its own directory. */
static const char *site_name = "limit";

static int set_up(void **state)
{
	*state = site_create(site_name, INSTANCES);
	return 0;
}

static int tear_down(void **state)
{
	site_destroy(*state);
	return 0;
}

/* Outcomes of the requests of one test. */
typedef struct {
	uint32_t sent, served, refused, failed, refused_late, unanswered;
	mc_ms_t slowest_refusal;
	/* Distinct times to come back, and the requests that named one. */
	uint32_t waits, wait_changes;
	char last_wait[32];
} outcomes_t;

static void send_one_to(site_t *site, uint32_t index, const char *path,
			outcomes_t *outcomes)
{
	mc_ms_t start = harness_now();
	site_answer_t answer =
		site_send_request(site, index, "GET", path, TIME_LEFT_MS);
	char wait[32] = "";

	outcomes->sent++;
	if (answer.status == 200)
		outcomes->served++;
	else if (answer.status == 503)
		outcomes->refused++;
	else
		outcomes->failed++;
	outcomes->unanswered += !answer.status;
	if (answer.status == 503 &&
	    harness_now() - start > outcomes->slowest_refusal)
		outcomes->slowest_refusal = harness_now() - start;
	if (answer.status == 503 && harness_now() - start > REFUSAL_MS)
		outcomes->refused_late++;
	if (answer.status == 503 &&
	    raw_get_header(answer.head, "Retry-After", wait, sizeof(wait))) {
		outcomes->waits++;
		outcomes->wait_changes +=
			strcmp(wait, outcomes->last_wait) != 0;
		memcpy(outcomes->last_wait, wait, sizeof(wait));
	}
	harness_sleep(REQUEST_GAP_MS);
}

static void send_one(site_t *site, const char *path, outcomes_t *outcomes)
{
	send_one_to(site, outcomes->sent % INSTANCES, path, outcomes);
}

static outcomes_t send_for(site_t *site, const char *path, mc_ms_t time)
{
	outcomes_t outcomes = { 0 };
	mc_ms_t end = harness_now() + time;

	while (harness_now() < end)
		send_one(site, path, &outcomes);
	return outcomes;
}

static void check_limit(searcher_t *searcher, mc_ms_t told, double limit)
{
	uint32_t most =
		searcher_most_requests(searcher, told + OBEY_MS, WINDOW_MS);
	double allowed =
		limit * limit_factor * WINDOW_MS / MS_PER_S + LIMIT_SLACK;

	print_message("%s: limit %.1f: %u requests in 4 s, allowed %.0f\n",
		      searcher_id(searcher), limit, most, allowed);
	assert_true(most <= allowed);
}

static void set_limits(site_t *site, double limit)
{
	char text[32];
	int i;

	snprintf(text, sizeof(text), "%.2f", limit);
	for (i = 0; i < SITE_SINGLE_REPLICAS; i++)
		searcher_set_header(site->single_replicas[i], "Server-Limit",
				    text);
}

/* All instances send to a searcher up to their own idea of its limit. */
static void check_all_limited(site_t *site, double limit)
{
	outcomes_t outcomes;
	mc_ms_t told = harness_now();
	int i;

	set_limits(site, limit);
	outcomes = send_for(site, "/one/x", RUN_MS);
	print_message("sent %u served %u refused %u (late %u) failed %u\n",
		      outcomes.sent, outcomes.served, outcomes.refused,
		      outcomes.refused_late, outcomes.failed);
	for (i = 0; i < SITE_SINGLE_REPLICAS; i++)
		check_limit(site->single_replicas[i], told, limit);
	assert_int_equal(outcomes.failed, 0);
	/* Most of what the searchers take is sent to them. */
	assert_true(outcomes.served >
		    limit * SITE_SINGLE_REPLICAS * RUN_MS / MS_PER_S / 2);
	/* Callers do not come back all at once. */
	assert_true(outcomes.wait_changes > outcomes.waits / 2);
}

static void test_all_limited(void **state)
{
	check_all_limited(*state, 12.5);
}

/* A part of a small limit is less than one request in the window. */
static void test_small_limit(void **state)
{
	check_all_limited(*state, 0.8);
}

/* While one searcher is limited, the other one takes the rest. */
static void test_other_takes_the_rest(void **state)
{
	site_t *site = *state;
	outcomes_t outcomes;
	mc_ms_t told = harness_now();

	searcher_set_header(site->single_replicas[0], "Server-Limit", "10");
	outcomes = send_for(site, "/one/x", RUN_MS);
	check_limit(site->single_replicas[0], told, 10);
	assert_int_equal(outcomes.served, outcomes.sent);
}

/* A limit is over when an answer no longer names it. */
static void test_limit_ends(void **state)
{
	site_t *site = *state;
	uint32_t before;

	searcher_set_header(site->single_replicas[0], "Server-Limit", "10");
	send_for(site, "/one/x", 2 * MS_PER_S);
	searcher_set_header(site->single_replicas[0], "Server-Limit", "");
	send_for(site, "/one/x", 3 * MS_PER_S);
	before = searcher_count_requests(site->single_replicas[0]);
	send_for(site, "/one/x", 2 * MS_PER_S);
	assert_true(searcher_count_requests(site->single_replicas[0]) - before >
		    2 * 20);
}

/* A request to all shards that can't reach its least share because of limits is
 * refused before it is sent to any of them. */
static void test_no_shard_works_in_vain(void **state)
{
	site_t *site = *state;
	uint32_t before, i, j;
	outcomes_t outcomes;
	mc_ms_t told = harness_now();

	for (i = 0; i < 2; i++)
		for (j = 0; j < SITE_REPLICAS; j++)
			searcher_set_header(site->shards[i][j], "Server-Limit",
					    "8");
	send_for(site, "/all/x", MS_PER_S);
	before = searcher_count_requests(site->shards[3][0]) +
		 searcher_count_requests(site->shards[3][1]);
	outcomes = send_for(site, "/all/x", RUN_MS);
	print_message("sent %u served %u refused %u (late %u) failed %u\n",
		      outcomes.sent, outcomes.served, outcomes.refused,
		      outcomes.refused_late, outcomes.failed);
	for (i = 0; i < 2; i++)
		for (j = 0; j < SITE_REPLICAS; j++)
			check_limit(site->shards[i][j], told, 8);
	assert_true(outcomes.served > 8 * RUN_MS / MS_PER_S);
	assert_int_equal(outcomes.refused_late, 0);
	assert_true(outcomes.failed * 20 <= outcomes.sent);
	assert_true(searcher_count_requests(site->shards[3][0]) +
			    searcher_count_requests(site->shards[3][1]) -
			    before <=
		    (outcomes.served + outcomes.failed) * 11 / 10);
}

/* An instance that starts again does not know a limit that the others obey. */
static void test_instance_starts_again(void **state)
{
	site_t *site = *state;
	mc_ms_t told = harness_now();
	int i;

	set_limits(site, 6);
	send_for(site, "/one/x", 2 * MS_PER_S);
	harness_stop(site->harness, site->instances[0].process, SIGKILL);
	site_start_and_wait_ready(site, 0);
	send_for(site, "/one/x", RUN_MS);
	for (i = 0; i < SITE_SINGLE_REPLICAS; i++)
		check_limit(site->single_replicas[i], told, 6);
}

static void set_shedding(searcher_t *searcher)
{
	searcher_set_header(searcher, "Server-Limit", "2");
	searcher_set_fault(searcher, SEARCHER_FAULT_SHED, SHED_MAX);
}

/* Each request has one answer, at once, and no instance has ended. */
static outcomes_t check_answers(site_t *site, const char *path)
{
	outcomes_t outcomes = send_for(site, path, SHED_RUN_MS);
	uint32_t i;

	print_message("sent %u served %u refused %u (late %u) failed %u "
		      "(no answer %u)\n",
		      outcomes.sent, outcomes.served, outcomes.refused,
		      outcomes.refused_late, outcomes.failed,
		      outcomes.unanswered);
	for (i = 0; i < INSTANCES; i++)
		assert_true(harness_is_running(site->harness,
					       site->instances[i].process));
	assert_int_equal(outcomes.unanswered, 0);
	assert_int_equal(outcomes.served, 0);
	assert_int_equal(outcomes.refused_late, 0);
	return outcomes;
}

/*
 * All searchers of a service name a limit and shed requests. The retry of a
 * request has its turn too late, which fails the request while its failed
 * attempt is being handled: it must not be ended a second time after that.
 */
static void test_retry_has_no_turn(void **state)
{
	site_t *site = *state;
	outcomes_t outcomes;
	int i;

	for (i = 0; i < SITE_SINGLE_REPLICAS; i++)
		set_shedding(site->single_replicas[i]);
	outcomes = check_answers(site, "/one/x");
	assert_int_equal(outcomes.refused, outcomes.sent);
	assert_int_equal(outcomes.waits, outcomes.sent);
}

/* The same for a part of a request to several services, which then can't reach
 * its least share; the parts of other services may have run. */
static void test_retry_of_part_has_no_turn(void **state)
{
	site_t *site = *state;
	int i, j;

	for (i = 0; i < SITE_SHARDS / 2; i++)
		for (j = 0; j < SITE_REPLICAS; j++)
			set_shedding(site->shards[i][j]);
	check_answers(site, "/all/x");
}

/* What one of several callers saw. */
typedef struct {
	site_t *site;
	outcomes_t outcomes;
} caller_t;

static void *run_caller(void *arg)
{
	caller_t *caller = arg;
	mc_ms_t end = harness_now() + RUN_MS;

	while (harness_now() < end)
		send_one_to(caller->site, 0, "/one/x", &caller->outcomes);
	return NULL;
}

/* A request waits for its turn, which comes soon, when the limit shrinks: it
 * must not wait on until its deadline. */
static void test_limit_shrinks_while_waiting(void **state)
{
	caller_t callers[CALLERS] = { 0 };
	pthread_t threads[CALLERS];
	site_t *site = *state;
	mc_ms_t end = harness_now() + RUN_MS;
	int i;

	for (i = 0; i < CALLERS; i++) {
		callers[i].site = site;
		pthread_create(&threads[i], NULL, run_caller, &callers[i]);
	}
	while (harness_now() < end) {
		set_limits(site, 60);
		harness_sleep(MS_PER_S / 2);
		set_limits(site, 0.5);
		harness_sleep(MS_PER_S / 2);
	}
	for (i = 0; i < CALLERS; i++)
		pthread_join(threads[i], NULL);
	for (i = 0; i < CALLERS; i++) {
		print_message("refused late %u, slowest %lld ms\n",
			      callers[i].outcomes.refused_late,
			      (long long)callers[i].outcomes.slowest_refusal);
		assert_int_equal(callers[i].outcomes.failed, 0);
		assert_int_equal(callers[i].outcomes.refused_late, 0);
	}
}

int main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_all_limited, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(test_small_limit, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(test_other_takes_the_rest,
						set_up, tear_down),
		cmocka_unit_test_setup_teardown(test_limit_ends, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(test_no_shard_works_in_vain,
						set_up, tear_down),
		cmocka_unit_test_setup_teardown(
			test_limit_shrinks_while_waiting, set_up, tear_down),
		cmocka_unit_test_setup_teardown(test_instance_starts_again,
						set_up, tear_down),
		cmocka_unit_test_setup_teardown(test_retry_has_no_turn, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(test_retry_of_part_has_no_turn,
						set_up, tear_down),
	};

	if (argc > 1) {
		cmocka_set_test_filter(argv[1]);
		site_name = argv[1];
	}
	return cmocka_run_group_tests_name("limit", tests, NULL, NULL);
}
