/*
 * System tests of roll-outs: operators order that a service moves to a new
 * version, whose searchers run beside the old ones. Whatever fails meanwhile, a
 * bad version must get a small share of the requests, and the order must end.
 */
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include "mc/base.h"
#include "site.h"

enum {
	TIME_LEFT_MS = 1500,
	INSTANCES = 3,
	NEW_REPLICAS = 2,
	/* Numbers of the new version's searchers start here. */
	NEW_FIRST = 10,
	/* Number of the searcher of a second new version. */
	NEXT_NUMBER = 20,
	DURATION_S = 8,
	MS_PER_S = 1000,
	/* Pause between two requests, ms. */
	REQUEST_GAP_MS = 5,
	/* What the users allow a bad version: a share of all requests of the
	 * service until the order's time is over, and a number besides. */
	EXPOSURE_PERCENT = 10,
	EXPOSURE_SLACK = 50,
	PERCENT = 100,
	/* What a bad version may get after so many bad answers: nothing that
	 * was sent later than this, ms. */
	BAD_ANSWERS = 50,
	ROLLBACK_MS = 5000,
	STATE_SIZE = 32,
};

/* Each test case that runs in parallel uses its own directory. */
static const char *site_name = "rollout";

typedef struct {
	site_t *site;
	searcher_t *new[NEW_REPLICAS];
	/* When the order was written, ms. */
	mc_ms_t ordered_at;
	/* Requests sent, and those answered with a success. */
	uint32_t sent;
	uint32_t served;
	/* When the version had given BAD_ANSWERS bad answers, ms; 0 before. */
	mc_ms_t bad_at;
	/* Requests that had reached it ROLLBACK_MS later. */
	uint32_t exposed_at_end;
} rollout_t;

static int set_up(void **state)
{
	rollout_t *rollout = calloc(1, sizeof(*rollout));

	rollout->site = site_create(site_name, INSTANCES);
	*state = rollout;
	return 0;
}

static int tear_down(void **state)
{
	rollout_t *rollout = *state;
	int i;

	site_destroy(rollout->site);
	for (i = 0; i < NEW_REPLICAS; i++)
		searcher_stop(rollout->new[i]);
	free(rollout);
	return 0;
}

static void start_new_version(rollout_t *rollout, const char *version)
{
	int i;

	for (i = 0; i < NEW_REPLICAS; i++) {
		searcher_stop(rollout->new[i]);
		rollout->new[i] = searcher_start("single", i ? "dc1" : "dc0",
						 NEW_FIRST + i);
		searcher_set_version(rollout->new[i], version);
	}
}

static void register_new_version(rollout_t *rollout, const char *state)
{
	int i;

	for (i = 0; i < NEW_REPLICAS; i++)
		searcher_register(rollout->new[i], rollout->site->object_store,
				  state);
}

static void order(rollout_t *rollout, const char *version)
{
	object_store_put(rollout->site->object_store, "rollouts", "single",
			 json_pack("{ss ss si}", "backend", "single",
				   "targetVersion", version, "durationS",
				   DURATION_S));
	rollout->ordered_at = harness_now();
}

static bool has_state(const rollout_t *rollout, const char *wanted)
{
	char state[STATE_SIZE];

	object_store_get_state(rollout->site->object_store, "rollouts",
			       "single", state, sizeof(state));
	return !strcmp(state, wanted);
}

static uint32_t exposed(rollout_t *rollout)
{
	uint32_t count = 0;
	int i;

	for (i = 0; i < NEW_REPLICAS; i++)
		count += searcher_count_requests(rollout->new[i]);
	return count;
}

static uint32_t bad_answers(rollout_t *rollout)
{
	uint32_t count = 0;
	int i;

	for (i = 0; i < NEW_REPLICAS; i++)
		count += searcher_count_bad_answers(rollout->new[i]);
	return count;
}

static void note_bad_answers(rollout_t *rollout)
{
	if (!rollout->bad_at && bad_answers(rollout) >= BAD_ANSWERS)
		rollout->bad_at = harness_now();
	if (rollout->bad_at && !rollout->exposed_at_end &&
	    harness_now() - rollout->bad_at > ROLLBACK_MS)
		rollout->exposed_at_end = exposed(rollout);
}

static void send_one(rollout_t *rollout)
{
	site_t *site = rollout->site;
	uint32_t index = rollout->sent++ % INSTANCES;

	if (site_send_request(site, index, "GET", "/one/x", TIME_LEFT_MS)
		    .status == 200)
		rollout->served++;
	note_bad_answers(rollout);
	harness_sleep(REQUEST_GAP_MS);
}

/* Sends requests until @end, ms after the order. */
static void send_until(rollout_t *rollout, mc_ms_t end)
{
	while (harness_now() - rollout->ordered_at < end)
		send_one(rollout);
}

/* The number of requests that a bad version may get. */
static uint32_t allowed(const rollout_t *rollout)
{
	return rollout->sent * EXPOSURE_PERCENT / PERCENT + EXPOSURE_SLACK;
}

static void make_bad(rollout_t *rollout, unsigned int interval)
{
	int i;

	for (i = 0; i < NEW_REPLICAS; i++)
		searcher_set_failing_interval(rollout->new[i], interval);
}

static void make_slow(rollout_t *rollout, mc_ms_t delay)
{
	int i;

	for (i = 0; i < NEW_REPLICAS; i++)
		searcher_set_delay(rollout->new[i], delay);
}

static void check_rolled_back(rollout_t *rollout)
{
	uint32_t before;
	mc_ms_t end;

	print_message("exposed=%u allowed=%u sent=%u served=%u bad=%u\n",
		      exposed(rollout), allowed(rollout), rollout->sent,
		      rollout->served, bad_answers(rollout));
	assert_true(exposed(rollout) <= allowed(rollout));
	if (rollout->exposed_at_end)
		assert_int_equal(exposed(rollout), rollout->exposed_at_end);
	assert_true(has_state(rollout, "rolled_back"));
	/* Nothing reaches the version any more. */
	before = exposed(rollout);
	end = harness_now() - rollout->ordered_at + MS_PER_S;
	send_until(rollout, end);
	assert_int_equal(exposed(rollout), before);
}

/* A version that fails from its first request on gets too many of them. */
static void test_bad_at_once(void **state)
{
	rollout_t *rollout = *state;

	start_new_version(rollout, "v2");
	make_bad(rollout, 2);
	order(rollout, "v2");
	register_new_version(rollout, "ready");
	send_until(rollout, DURATION_S * MS_PER_S);
	check_rolled_back(rollout);
}

/* The searchers of a bad version are in use before the order is written. */
static void test_bad_before_order(void **state)
{
	rollout_t *rollout = *state;
	uint32_t before;

	start_new_version(rollout, "v2");
	register_new_version(rollout, "ready");
	harness_sleep(MS_PER_S);
	make_bad(rollout, 3);
	before = exposed(rollout);
	order(rollout, "v2");
	send_until(rollout, DURATION_S * MS_PER_S);
	assert_true(exposed(rollout) - before <= allowed(rollout));
	check_rolled_back(rollout);
}

/* A version that turns bad in the middle of its time keeps its requests. */
static void test_bad_later(void **state)
{
	rollout_t *rollout = *state;

	start_new_version(rollout, "v2");
	order(rollout, "v2");
	register_new_version(rollout, "ready");
	send_until(rollout, DURATION_S * MS_PER_S / 2);
	make_bad(rollout, 2);
	send_until(rollout, DURATION_S * MS_PER_S);
	check_rolled_back(rollout);
}

/* A version whose answers are right but several times slower. */
static void test_slow(void **state)
{
	rollout_t *rollout = *state;
	int i;

	for (i = 0; i < SITE_SINGLE_REPLICAS; i++)
		searcher_set_delay(rollout->site->single_replicas[i], 4);
	start_new_version(rollout, "v2");
	make_slow(rollout, 40);
	order(rollout, "v2");
	register_new_version(rollout, "ready");
	send_until(rollout, DURATION_S * MS_PER_S);
	check_rolled_back(rollout);
}

/*
 * Instances are killed with their part of the evidence, one starts again while
 * the order is in progress, and the store is down for a time.
 */
static void test_bad_while_instances_and_store_fail(void **state)
{
	rollout_t *rollout = *state;
	site_t *site = rollout->site;

	start_new_version(rollout, "v2");
	make_bad(rollout, 2);
	order(rollout, "v2");
	register_new_version(rollout, "ready");
	send_until(rollout, MS_PER_S);
	harness_stop(site->harness, site->instances[0].process, SIGKILL);
	site_start_and_wait_ready(site, 0);
	send_until(rollout, 2 * MS_PER_S);
	object_store_set_down(site->object_store, true);
	send_until(rollout, 4 * MS_PER_S);
	object_store_set_down(site->object_store, false);
	send_until(rollout, DURATION_S * MS_PER_S);
	check_rolled_back(rollout);
}

/* The store answers nothing while the order is written and the version's
 * searchers register: both are read at once, in any order. */
static void test_order_while_store_is_silent(void **state)
{
	rollout_t *rollout = *state;
	site_t *site = rollout->site;

	start_new_version(rollout, "v2");
	make_bad(rollout, 2);
	object_store_set_unresponsive(site->object_store, true);
	order(rollout, "v2");
	register_new_version(rollout, "ready");
	send_until(rollout, 3 * MS_PER_S);
	object_store_set_unresponsive(site->object_store, false);
	send_until(rollout, DURATION_S * MS_PER_S);
	check_rolled_back(rollout);
}

/* A bad version's searchers are read before its order is: they look like any
 * others. */
static void test_order_read_late(void **state)
{
	rollout_t *rollout = *state;
	site_t *site = rollout->site;

	start_new_version(rollout, "v2");
	make_bad(rollout, 2);
	object_store_set_silent_kind(site->object_store, "rollouts");
	/* The watches that are open still end. */
	object_store_put(site->object_store, "rollouts", "none", json_object());
	harness_sleep(MS_PER_S / 2);
	order(rollout, "v2");
	register_new_version(rollout, "ready");
	send_until(rollout, 2 * MS_PER_S);
	assert_int_equal(exposed(rollout), 0);
	object_store_set_silent_kind(site->object_store, "");
	send_until(rollout, DURATION_S * MS_PER_S);
	assert_true(exposed(rollout) > 0);
	check_rolled_back(rollout);
}

/* An instance that starts after the roll-back, while the bad version's
 * searchers are still registered, takes them for others. */
static void test_instance_starts_after_verdict(void **state)
{
	rollout_t *rollout = *state;
	site_t *site = rollout->site;

	start_new_version(rollout, "v2");
	make_bad(rollout, 2);
	order(rollout, "v2");
	register_new_version(rollout, "ready");
	send_until(rollout, DURATION_S * MS_PER_S);
	check_rolled_back(rollout);
	harness_stop(site->harness, site->instances[1].process, SIGKILL);
	site_start_and_wait_ready(site, 1);
	check_rolled_back(rollout);
}

/* Two services are ordered at once; one new version is bad, the other good. */
static void test_two_orders(void **state)
{
	rollout_t *rollout = *state;
	site_t *site = rollout->site;
	char state_text[STATE_SIZE];
	searcher_t *shard;

	start_new_version(rollout, "v2");
	make_bad(rollout, 2);
	order(rollout, "v2");
	object_store_put(site->object_store, "rollouts", "shard0",
			 json_pack("{ss ss si}", "backend", "shard0",
				   "targetVersion", "v2", "durationS",
				   DURATION_S));
	register_new_version(rollout, "ready");
	shard = searcher_start("shard0", "dc0", NEW_FIRST);
	searcher_set_version(shard, "v2");
	searcher_register(shard, site->object_store, "ready");
	while (harness_now() - rollout->ordered_at < DURATION_S * MS_PER_S) {
		send_one(rollout);
		site_send_request(site, rollout->sent % INSTANCES, "GET",
				  "/all/x", TIME_LEFT_MS);
	}
	object_store_get_state(site->object_store, "rollouts", "shard0",
			       state_text, sizeof(state_text));
	assert_string_equal(state_text, "succeeded");
	check_rolled_back(rollout);
	searcher_stop(shard);
}

/* After a roll-back a second order brings another bad version. */
static void test_second_order(void **state)
{
	rollout_t *rollout = *state;
	uint32_t sent;

	start_new_version(rollout, "v2");
	make_bad(rollout, 1);
	order(rollout, "v2");
	register_new_version(rollout, "ready");
	send_until(rollout, DURATION_S * MS_PER_S);
	check_rolled_back(rollout);
	/* The searchers of the first one have left. */
	register_new_version(rollout, "draining");
	harness_sleep(DURATION_S / 2 * MS_PER_S);
	sent = rollout->sent;
	start_new_version(rollout, "v3");
	make_bad(rollout, 1);
	order(rollout, "v3");
	register_new_version(rollout, "ready");
	send_until(rollout, DURATION_S * MS_PER_S);
	assert_true(exposed(rollout) <=
		    allowed(rollout) - sent * EXPOSURE_PERCENT / PERCENT);
	check_rolled_back(rollout);
}

/*
 * An order is replaced before its end, and its version turns bad then. It must
 * get nothing more, as nobody judges it any longer, and the state in the store
 * must be that of the new order's version.
 */
static void test_replaced_order(void **state)
{
	rollout_t *rollout = *state;
	site_t *site = rollout->site;
	searcher_t *next = searcher_start("single", "dc0", NEXT_NUMBER);
	char version[STATE_SIZE];
	uint32_t before;

	start_new_version(rollout, "v2");
	order(rollout, "v2");
	register_new_version(rollout, "ready");
	send_until(rollout, DURATION_S * MS_PER_S / 2);
	assert_true(exposed(rollout) > 0);
	searcher_set_version(next, "v3");
	order(rollout, "v3");
	searcher_register(next, site->object_store, "ready");
	harness_sleep(MS_PER_S);
	before = exposed(rollout);
	make_bad(rollout, 2);
	send_until(rollout, DURATION_S * MS_PER_S);
	print_message("exposed=%u before=%u sent=%u served=%u next=%u\n",
		      exposed(rollout), before, rollout->sent, rollout->served,
		      searcher_count_requests(next));
	assert_int_equal(exposed(rollout), before);
	assert_true(has_state(rollout, "succeeded"));
	object_store_get_status(site->object_store, "rollouts", "single",
				"targetVersion", version, sizeof(version));
	assert_string_equal(version, "v3");
	assert_true(searcher_count_requests(next) > 0);
	searcher_stop(next);
}

/* A good version has all requests, and the order ends, when its time is over.
 */
static void test_good(void **state)
{
	rollout_t *rollout = *state;
	site_t *site = rollout->site;
	uint32_t before, i;

	start_new_version(rollout, "v2");
	order(rollout, "v2");
	register_new_version(rollout, "ready");
	harness_sleep(MS_PER_S / 2);
	assert_false(has_state(rollout, ""));
	send_until(rollout, DURATION_S * MS_PER_S / 2);
	assert_true(has_state(rollout, "in_progress"));
	send_until(rollout, DURATION_S * MS_PER_S);
	assert_true(has_state(rollout, "succeeded"));
	/* The old searchers are stopped without a notice. */
	for (i = 0; i < SITE_SINGLE_REPLICAS; i++) {
		object_store_remove(site->object_store, "servers",
				    searcher_id(site->single_replicas[i]));
		searcher_set_down(site->single_replicas[i], true);
	}
	before = exposed(rollout);
	send_until(rollout, (DURATION_S + 1) * MS_PER_S);
	assert_int_equal(rollout->served, rollout->sent);
	assert_true(exposed(rollout) > before);
}

int main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_bad_at_once, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(test_bad_before_order, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(test_bad_later, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(test_slow, set_up, tear_down),
		cmocka_unit_test_setup_teardown(
			test_bad_while_instances_and_store_fail, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			test_order_while_store_is_silent, set_up, tear_down),
		cmocka_unit_test_setup_teardown(test_order_read_late, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(
			test_instance_starts_after_verdict, set_up, tear_down),
		cmocka_unit_test_setup_teardown(test_two_orders, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(test_second_order, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(test_replaced_order, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(test_good, set_up, tear_down),
	};

	if (argc > 1) {
		cmocka_set_test_filter(argv[1]);
		site_name = argv[1];
	}
	return cmocka_run_group_tests_name("rollout", tests, NULL, NULL);
}
