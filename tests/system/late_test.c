/*
 * System tests of changes that instances learn of late: the store has
 * acknowledged them, and the way by which an instance hears of them is
 * disturbed. Bounds count from the store's acknowledgement.
 */
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include "mc/base.h"
#include "relay_pair.h"

enum {
	TIME_LEFT_MS = 1500,
	REQUEST_GAP_MS = 5,
	/* No request may reach a target later than this after it has said that
	 * it leaves, ms. */
	DRAIN_MS = 3000,
	/* The same after its data centre was taken out, ms. */
	DATA_CENTER_OUT_MS = 5000,
	/* The store is stable again after this time without a fault, ms. */
	STABLE_AFTER_MS = 4000,
	/* A pause of an instance that its subscriber doesn't notice, and how
	 * long it has lasted when a target leaves, ms. */
	PAUSE_MS = 900,
	PAUSE_LEAD_MS = 20,
	/* How long requests are sent after a bound, ms. */
	WATCHED_MS = 1500,
};

/* Each test case that runs in parallel uses its own directory. */
static const char *site_name = "late";

static int set_up(void **state)
{
	*state = site_create(site_name, 1);
	return 0;
}

static int set_up_pair(void **state)
{
	*state = site_create(site_name, 3);
	return 0;
}

static int tear_down(void **state)
{
	site_destroy(*state);
	return 0;
}

/* Sends requests to an instance until a time, one after the other. Each is
 * served, or refused where no target is left. */
static void send_until(site_t *site, uint32_t instance, mc_ms_t end)
{
	while (harness_now() < end) {
		int status = site_send_request(site, instance, "GET", "/one/x",
					       TIME_LEFT_MS)
				     .status;

		assert_true(status == 200 || status == 503);
		harness_sleep(REQUEST_GAP_MS);
	}
}

static bool is_only_target(void *ctx)
{
	site_t *site = ctx;
	uint32_t before = searcher_count_requests(site->single_replicas[1]);

	send_until(site, 0, harness_now() + TIME_LEFT_MS);
	return searcher_count_requests(site->single_replicas[1]) == before;
}

/* Leaves the first replica of "single" alone: a target that leaves is used for
 * its grace period only where there is no other. */
static void leave_only_target(site_t *site)
{
	object_store_remove(site->object_store, "servers",
			    searcher_id(site->single_replicas[1]));
	harness_wait_until("a single target", is_only_target, site);
}

/* Checks that no request reaches the first replica of "single" later than @end,
 * ms. */
static void check_unused_after(site_t *site, uint32_t instance, mc_ms_t end)
{
	searcher_t *replica = site->single_replicas[0];
	uint32_t count;

	send_until(site, instance, end);
	count = searcher_count_requests(replica);
	send_until(site, instance, end + WATCHED_MS);
	assert_int_equal(searcher_count_requests(replica), count);
}

static bool has_lost_watch(void *ctx)
{
	return object_store_has_lost_watch(((site_t *)ctx)->object_store);
}

/* Loses the response to the watch of a kind, which brings the change of an
 * object, and waits until the store is stable again. */
static void lose_watch(site_t *site, const char *kind, const char *name)
{
	object_store_lose_watch(site->object_store, kind);
	object_store_put(site->object_store, kind, name, json_object());
	harness_wait_until("the lost response", has_lost_watch, site);
	send_until(site, 0, harness_now() + STABLE_AFTER_MS);
}

/* review/6: one response to the watch of the targets is lost. What changes
 * later is known in time, however long that watch waits. */
static void test_target_leaves(void **state)
{
	site_t *site = *state;

	leave_only_target(site);
	lose_watch(site, "servers", "unreadable");
	searcher_register(site->single_replicas[0], site->object_store,
			  "draining");
	check_unused_after(site, 0, harness_now() + DRAIN_MS);
}

/* No watch is answered, and reads that may be stale show nothing: a target that
 * leaves is known in time by current ones. */
static void test_target_leaves_stale(void **state)
{
	site_t *site = *state;

	leave_only_target(site);
	object_store_hang_watches(site->object_store, true);
	object_store_set_stale(site->object_store, true);
	send_until(site, 0, harness_now() + STABLE_AFTER_MS);
	searcher_register(site->single_replicas[0], site->object_store,
			  "draining");
	check_unused_after(site, 0, harness_now() + DRAIN_MS);
}

/* As test_target_leaves, of the data centres that are out of service. */
static void test_data_center_out(void **state)
{
	site_t *site = *state;

	lose_watch(site, "evacuations", "dc7");
	object_store_put(site->object_store, "evacuations", "dc0",
			 json_object());
	check_unused_after(site, 0, harness_now() + DATA_CENTER_OUT_MS);
}

static bool knows_both_instances(void *ctx)
{
	return site_metric(ctx, 0, "mangocove_instances") == 2;
}

/* As test_target_leaves, of the instances, whose number divides what targets
 * bear. */
static void test_instance_joins(void **state)
{
	site_t *site = *state;
	mc_ms_t joined_at;

	object_store_lose_watch(site->object_store, "mangocove-instances");
	site_start_instance(site, 1);
	harness_wait_until("the lost response", has_lost_watch, site);
	joined_at = harness_now();
	harness_wait_until("both instances", knows_both_instances, site);
	assert_true(harness_now() - joined_at < STABLE_AFTER_MS);
}

/*
 * review/8: the instance that relays changes to another one is paused for less
 * time than the other one notices, and a target leaves meanwhile. The other one
 * is told late, and its grace period doesn't count from then.
 */
static void test_upstream_paused(void **state)
{
	relay_pair_t relay = { .site = *state };
	site_t *site = relay.site;
	mc_handle_t upstream;
	mc_ms_t left_at;

	leave_only_target(site);
	relay_pair_wait(&relay);
	upstream = site->instances[relay.upstream].process;
	harness_signal(site->harness, upstream, SIGSTOP);
	harness_sleep(PAUSE_LEAD_MS);
	searcher_register(site->single_replicas[0], site->object_store,
			  "draining");
	left_at = harness_now();
	send_until(site, relay.subscriber, left_at + PAUSE_MS);
	harness_signal(site->harness, upstream, SIGCONT);
	check_unused_after(site, relay.subscriber, left_at + DRAIN_MS);
}

#define LATE_TEST(test) cmocka_unit_test_setup_teardown(test, set_up, tear_down)

int main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		LATE_TEST(test_target_leaves),
		LATE_TEST(test_target_leaves_stale),
		LATE_TEST(test_data_center_out),
		LATE_TEST(test_instance_joins),
		cmocka_unit_test_setup_teardown(test_upstream_paused,
						set_up_pair, tear_down),
	};

	if (argc > 1) {
		site_name = argv[1];
		cmocka_set_test_filter(argv[1]);
	}
	return cmocka_run_group_tests(tests, NULL, NULL);
}
