/*
 * System tests of the relay of store updates between instances of one data
 * centre: a subscriber makes no store calls while its upstream instance relays
 * the updates, and misses no update when the upstream fails.
 */
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include "customers.h"
#include "relay_pair.h"

/* Each test case that runs in parallel uses its own directory. */
static const char *site_name = "peers";

static int set_up(void **state)
{
	*state = site_create(site_name, 3);
	return 0;
}

static int tear_down(void **state)
{
	site_destroy(*state);
	return 0;
}

static bool has_version(void *ctx)
{
	const relay_pair_t *relay = ctx;

	return site_metric(relay->site, relay->subscriber,
			   "mangocove_map_version") ==
	       (double)relay->site->version;
}

/* A subscriber applies relayed maps and makes no store calls. */
static void test_subscriber_makes_no_store_calls(void **state)
{
	relay_pair_t relay = { .site = *state };
	double calls;
	int i;

	relay_pair_wait(&relay);
	calls = relay_pair_store_calls(&relay);
	for (i = 0; i < 5; i++) {
		site_put_config(relay.site, NULL);
		harness_wait_until("the relayed map", has_version, &relay);
	}
	assert_true(relay_pair_makes_no_calls(&relay));
	assert_true(relay_pair_store_calls(&relay) == calls);
}

static double taken_by_subscriber(const relay_pair_t *relay)
{
	return relay_pair_updates_taken(relay, relay->subscriber);
}

static int send_with_key(const relay_pair_t *relay, const char *key_line)
{
	return site_send_headers(relay->site, relay->subscriber, "GET",
				 "/one/x", CUSTOMERS_TIME_LEFT_MS, key_line)
		.status;
}

/* Keys of customers are not relayed: a subscriber hears that there is another
 * map and reads it from the store, also while lists that may be stale lack it.
 * A map without customers is relayed again. */
static void test_keys_are_not_relayed(void **state)
{
	static const char one[] = "Api-Key: " KEY_ONE "\r\n";
	static const char two[] = "Api-Key: " KEY_TWO "\r\n";
	relay_pair_t relay = { .site = *state };
	site_t *site = relay.site;
	double taken;

	relay_pair_wait(&relay);
	taken = taken_by_subscriber(&relay);
	site->customers = json_array();
	customers_add(site, "one", KEY_ONE, 1);
	customers_put_and_wait(site);
	assert_int_equal(send_with_key(&relay, one), 200);
	assert_int_equal(send_with_key(&relay, two), 401);
	object_store_set_stale(site->object_store, true);
	json_array_clear(site->customers);
	customers_add(site, "two", KEY_TWO, 1);
	customers_put_and_wait(site);
	assert_int_equal(send_with_key(&relay, one), 401);
	assert_int_equal(send_with_key(&relay, two), 200);
	object_store_set_stale(site->object_store, false);
	assert_true(taken_by_subscriber(&relay) == taken);
	json_decref(site->customers);
	site->customers = NULL;
	customers_put_and_wait(site);
	assert_true(taken_by_subscriber(&relay) > taken);
}

/* Changes still arrive while the upstream is paused, after it resumes, and
 * after it is killed. */
static void test_peer_fails(void **state)
{
	relay_pair_t relay = { .site = *state };
	site_t *site = relay.site;
	mc_handle_t upstream;
	mc_ms_t start;

	relay_pair_wait(&relay);
	upstream = site->instances[relay.upstream].process;
	harness_signal(site->harness, upstream, SIGSTOP);
	site_put_config(site, NULL);
	start = harness_now();
	harness_wait_until("the map while the upstream is paused", has_version,
			   &relay);
	/* Time limit for applying a map in the site's settings. */
	assert_true(harness_now() - start < 3000);
	harness_signal(site->harness, upstream, SIGCONT);
	relay_pair_wait(&relay);
	site_put_config(site, NULL);
	harness_wait_until("the relayed map", has_version, &relay);
	harness_signal(site->harness, upstream, SIGKILL);
	site_put_config(site, NULL);
	harness_wait_until("the map after the upstream was killed", has_version,
			   &relay);
}

/* The store stops responding for a while and drops its change history: both
 * instances still get the latest map. */
static void test_store_silent(void **state)
{
	relay_pair_t relay = { .site = *state };
	site_t *site = relay.site;

	relay_pair_wait(&relay);
	object_store_set_unresponsive(site->object_store, true);
	site_put_config(site, NULL);
	harness_sleep(2500);
	object_store_drop_history(site->object_store);
	object_store_set_unresponsive(site->object_store, false);
	harness_wait_until("the map of the subscriber", has_version, &relay);
	relay.subscriber = relay.upstream;
	harness_wait_until("the map of the upstream", has_version, &relay);
	site_put_config(site, NULL);
	harness_wait_until("the next map", has_version, &relay);
}

static bool upstream_has_version(void *ctx)
{
	const relay_pair_t *relay = ctx;

	return site_metric(relay->site, relay->upstream,
			   "mangocove_map_version") ==
	       (double)relay->site->version;
}

/*
 * The store drops its history. The upstream lists the records anew and relays
 * the lists: hundreds of subscribers would else list them at the same time.
 * Only the list of targets has several pages, which are not relayed.
 */
static void test_history_gone(void **state)
{
	relay_pair_t relay = { .site = *state };
	site_t *site = relay.site;
	double calls;

	relay_pair_wait(&relay);
	calls = relay_pair_store_calls(&relay);
	object_store_drop_history(site->object_store);
	site_put_config(site, NULL);
	harness_wait_until("the map of the upstream", upstream_has_version,
			   &relay);
	harness_wait_until("the map of the subscriber", has_version, &relay);
	harness_wait_until("no more calls", relay_pair_makes_no_calls, &relay);
	assert_in_range((unsigned long)(relay_pair_store_calls(&relay) - calls),
			0, 2);
}

static double upstream_failures(const relay_pair_t *relay)
{
	return site_metric(relay->site, relay->upstream,
			   "mangocove_store_failures_total");
}

/*
 * The store drops its history and leaves the open watches without a response. A
 * change gets through before the upstream's watch times out, which would be
 * later than the change must be in force.
 */
static void test_watch_hangs(void **state)
{
	relay_pair_t relay = { .site = *state };
	site_t *site = relay.site;
	double failures;

	relay_pair_wait(&relay);
	failures = upstream_failures(&relay);
	object_store_hang_watches(site->object_store, true);
	object_store_drop_history(site->object_store);
	site_put_config(site, NULL);
	harness_wait_until("the map of the upstream", upstream_has_version,
			   &relay);
	harness_wait_until("the map of the subscriber", has_version, &relay);
	assert_true(upstream_failures(&relay) == failures);
	object_store_hang_watches(site->object_store, false);
	site_put_config(site, NULL);
	harness_wait_until("the next map", has_version, &relay);
}

/*
 * The watches hang, and what may be stale is answered as it was: neither the
 * watch nor a probe brings a change. A current read does within the time limit
 * for applying a map in the site's settings.
 */
static void test_watch_hangs_stale(void **state)
{
	relay_pair_t relay = { .site = *state };
	site_t *site = relay.site;
	mc_ms_t start;

	relay_pair_wait(&relay);
	object_store_hang_watches(site->object_store, true);
	object_store_set_stale(site->object_store, true);
	site_put_config(site, NULL);
	start = harness_now();
	harness_wait_until("the map of the upstream", upstream_has_version,
			   &relay);
	harness_wait_until("the map of the subscriber", has_version, &relay);
	assert_true(harness_now() - start < 3000);
	object_store_set_stale(site->object_store, false);
	object_store_hang_watches(site->object_store, false);
	site_put_config(site, NULL);
	harness_wait_until("the next map", has_version, &relay);
}

#define PEERS_TEST(test) \
	cmocka_unit_test_setup_teardown(test, set_up, tear_down)

int main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		PEERS_TEST(test_subscriber_makes_no_store_calls),
		PEERS_TEST(test_keys_are_not_relayed),
		PEERS_TEST(test_peer_fails),
		PEERS_TEST(test_store_silent),
		PEERS_TEST(test_history_gone),
		PEERS_TEST(test_watch_hangs),
		PEERS_TEST(test_watch_hangs_stale),
	};

	if (argc > 1) {
		site_name = argv[1];
		cmocka_set_test_filter(argv[1]);
	}
	return cmocka_run_group_tests(tests, NULL, NULL);
}
