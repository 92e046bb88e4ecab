/*
 * System tests of what searchers say of themselves in their answers: that they
 * leave, and that they want no requests for a time.
 */
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
	REQUEST_GAP_MS = 5,
	MS_PER_S = 1000,
	/* Nothing that a caller sent later than this after a searcher had said
	 * that it leaves may reach it, ms. */
	DRAIN_MS = 3000,
	/* Between this time after a searcher has asked for a pause, ms, and the
	 * end of the pause so many requests may reach it. */
	PAUSE_OBEY_MS = 500,
	PAUSE_REQUESTS = 2,
	/* A refusal that comes later than this has waited in vain, ms. */
	REFUSAL_MS = 200,
};

/* Each test case that runs in parallel uses its own directory. */
static const char *site_name = "notice";

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

typedef struct {
	uint32_t sent, served, refused, refused_late, wait_changes;
	char last_wait[32];
} outcomes_t;

static outcomes_t send_for(site_t *site, mc_ms_t time)
{
	outcomes_t outcomes = { 0 };
	mc_ms_t end = harness_now() + time, start;

	while (harness_now() < end) {
		char wait[32] = "";
		site_answer_t answer;

		start = harness_now();
		answer = site_send_request(site, 0, "GET", "/one/x",
					   TIME_LEFT_MS);
		outcomes.sent++;
		outcomes.served += answer.status == 200;
		outcomes.refused += answer.status == 503;
		outcomes.refused_late += answer.status == 503 &&
					 harness_now() - start > REFUSAL_MS;
		raw_get_header(answer.head, "Retry-After", wait, sizeof(wait));
		outcomes.wait_changes += strcmp(wait, outcomes.last_wait) != 0;
		memcpy(outcomes.last_wait, wait, sizeof(wait));
		harness_sleep(REQUEST_GAP_MS);
	}
	print_message("sent %u served %u refused %u (late %u)\n", outcomes.sent,
		      outcomes.served, outcomes.refused, outcomes.refused_late);
	return outcomes;
}

static uint32_t requests_at(site_t *site, uint32_t replica)
{
	return searcher_count_requests(site->single_replicas[replica]);
}

static void let_leave(site_t *site, uint32_t replica)
{
	searcher_set_header(site->single_replicas[replica], "Server-Leaving",
			    "1");
}

/* The store does not know that a searcher leaves; its answers tell. */
static void test_leaves_while_store_is_silent(void **state)
{
	site_t *site = *state;
	outcomes_t outcomes;
	uint32_t before;

	object_store_set_unresponsive(site->object_store, true);
	let_leave(site, 0);
	send_for(site, DRAIN_MS);
	before = requests_at(site, 0);
	outcomes = send_for(site, 2 * MS_PER_S);
	assert_int_equal(requests_at(site, 0), before);
	assert_int_equal(outcomes.served, outcomes.sent);
	assert_true(site_metric(site, 0, "mangocove_targets_leaving") == 1);
	object_store_set_unresponsive(site->object_store, false);
}

/* An entry of the store that is older than the answer brings it back. */
static void test_old_entry_after_leaving(void **state)
{
	site_t *site = *state;
	searcher_t *searcher = site->single_replicas[0];
	uint32_t before;

	let_leave(site, 0);
	send_for(site, DRAIN_MS);
	before = requests_at(site, 0);
	object_store_remove(site->object_store, "servers",
			    searcher_id(searcher));
	send_for(site, DRAIN_MS);
	searcher_register(searcher, site->object_store, "ready");
	send_for(site, 2 * MS_PER_S);
	assert_int_equal(requests_at(site, 0), before);
	/* Under the same id it is a new one once it has started again. */
	searcher_restart(searcher);
	searcher_register(searcher, site->object_store, "ready");
	send_for(site, 2 * MS_PER_S);
	assert_true(requests_at(site, 0) > before);
}

/* Where all searchers of a service have left, requests are refused at once. */
static void test_last_searchers_leave(void **state)
{
	site_t *site = *state;
	outcomes_t outcomes;
	uint32_t before;

	let_leave(site, 0);
	let_leave(site, 1);
	send_for(site, DRAIN_MS);
	before = requests_at(site, 0) + requests_at(site, 1);
	outcomes = send_for(site, 2 * MS_PER_S);
	assert_int_equal(requests_at(site, 0) + requests_at(site, 1), before);
	assert_int_equal(outcomes.refused, outcomes.sent);
	assert_int_equal(outcomes.refused_late, 0);
}

static void ask_for_pause(site_t *site, uint32_t replica, const char *seconds)
{
	searcher_set_header(site->single_replicas[replica], "Retry-After",
			    seconds);
	searcher_set_fault(site->single_replicas[replica], SEARCHER_FAULT_SHED,
			   1000000);
}

static void end_pause(site_t *site, uint32_t replica)
{
	searcher_set_header(site->single_replicas[replica], "Retry-After", "");
	searcher_set_fault(site->single_replicas[replica], SEARCHER_FAULT_NONE,
			   0);
}

/* A searcher that asks for a pause is asked again and again. */
static void test_pause(void **state)
{
	site_t *site = *state;
	outcomes_t outcomes;
	uint32_t before;

	ask_for_pause(site, 0, "4.5");
	send_for(site, PAUSE_OBEY_MS);
	before = requests_at(site, 0);
	assert_true(before > 0);
	outcomes = send_for(site, 3 * MS_PER_S);
	assert_true(requests_at(site, 0) - before <= PAUSE_REQUESTS);
	assert_int_equal(outcomes.served, outcomes.sent);
	end_pause(site, 0);
	send_for(site, 2 * MS_PER_S);
	before = requests_at(site, 0);
	send_for(site, MS_PER_S);
	assert_true(requests_at(site, 0) > before);
}

/* The entry of a searcher that has asked for a pause goes and comes back: the
 * pause goes on. */
static void test_pause_outlives_entry(void **state)
{
	site_t *site = *state;
	searcher_t *searcher = site->single_replicas[0];
	uint32_t before;
	int i;

	ask_for_pause(site, 0, "60");
	send_for(site, PAUSE_OBEY_MS);
	before = requests_at(site, 0);
	assert_true(before > 0);
	for (i = 0; i < PAUSE_REQUESTS + 1; i++) {
		object_store_remove(site->object_store, "servers",
				    searcher_id(searcher));
		send_for(site, DRAIN_MS);
		searcher_register(searcher, site->object_store, "ready");
		send_for(site, MS_PER_S);
	}
	assert_true(requests_at(site, 0) - before <= PAUSE_REQUESTS);
}

/* Where all searchers ask for a pause, requests are refused at once, and
 * callers are told to come back at different times after it. */
static void test_all_pause(void **state)
{
	site_t *site = *state;
	outcomes_t outcomes;
	uint32_t before;

	ask_for_pause(site, 0, "3");
	ask_for_pause(site, 1, "3");
	send_for(site, PAUSE_OBEY_MS);
	before = requests_at(site, 0) + requests_at(site, 1);
	outcomes = send_for(site, 2 * MS_PER_S);
	assert_true(requests_at(site, 0) + requests_at(site, 1) - before <=
		    2 * PAUSE_REQUESTS);
	assert_int_equal(outcomes.served, 0);
	assert_int_equal(outcomes.refused, outcomes.sent);
	assert_int_equal(outcomes.refused_late, 0);
	assert_true(outcomes.wait_changes > outcomes.sent / 2);
	end_pause(site, 0);
	end_pause(site, 1);
	send_for(site, 2 * MS_PER_S);
	outcomes = send_for(site, MS_PER_S);
	assert_int_equal(outcomes.served, outcomes.sent);
}

#define NOTICE_TEST(test) \
	cmocka_unit_test_setup_teardown(test, set_up, tear_down)

int main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		NOTICE_TEST(test_leaves_while_store_is_silent),
		NOTICE_TEST(test_old_entry_after_leaving),
		NOTICE_TEST(test_last_searchers_leave),
		NOTICE_TEST(test_pause),
		NOTICE_TEST(test_pause_outlives_entry),
		NOTICE_TEST(test_all_pause),
	};

	if (argc > 1) {
		cmocka_set_test_filter(argv[1]);
		site_name = argv[1];
	}
	return cmocka_run_group_tests_name("notice", tests, NULL, NULL);
}
