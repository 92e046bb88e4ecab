/*
 * System tests of the news between instances of one data centre: a hearer asks
 * the store nothing, and misses nothing when the one that it hears fails.
 */
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include "site.h"

/* Cases that run at the same time have a folder each. */
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

/* Instances 0 and 2 are in one data centre; one of them hears the other. */
typedef struct {
	site_t *site;
	uint32_t hearer;
	uint32_t teller;
} news_t;

static double taken_by(const news_t *news, uint32_t index)
{
	return site_metric(news->site, index, "mangocove_news_taken_total");
}

/* Whether a change is told by one to the other, and to whom. */
static bool has_hearer(void *ctx)
{
	news_t *news = ctx;
	double before[] = { taken_by(news, 0), 0, taken_by(news, 2) };

	site_configure(news->site, NULL);
	harness_sleep(200);
	news->hearer = taken_by(news, 0) > before[0] ? 0 : 2;
	news->teller = 2 - news->hearer;
	return taken_by(news, news->hearer) > before[news->hearer];
}

static double calls_of(const news_t *news)
{
	return site_metric(news->site, news->hearer,
			   "mangocove_store_calls_total");
}

static bool asks_nothing(void *ctx)
{
	double before = calls_of(ctx);

	/* Longer than one watch of the map. */
	harness_sleep(2500);
	return calls_of(ctx) == before;
}

/* The hearer's own watches end one by one. */
static void wait_hearer(news_t *news)
{
	harness_wait("a hearer", has_hearer, news);
	harness_wait("a hearer that asks nothing", asks_nothing, news);
}

static bool has_version(void *ctx)
{
	const news_t *news = ctx;

	return site_metric(news->site, news->hearer, "mangocove_map_version") ==
	       (double)news->site->version;
}

/* An instance that hears another one asks the store nothing. */
static void test_hears_peer(void **state)
{
	news_t news = { .site = *state };
	double calls;
	int i;

	wait_hearer(&news);
	calls = calls_of(&news);
	for (i = 0; i < 5; i++) {
		site_configure(news.site, NULL);
		harness_wait("the map is told", has_version, &news);
	}
	assert_true(asks_nothing(&news));
	assert_true(calls_of(&news) == calls);
}

/* Whoever it hears is paused, is back, or dies: changes go on arriving. */
static void test_peer_fails(void **state)
{
	news_t news = { .site = *state };
	site_t *site = news.site;
	mc_handle_t teller;
	mc_ms_t start;

	wait_hearer(&news);
	teller = site->instances[news.teller].process;
	harness_signal(site->harness, teller, SIGSTOP);
	site_configure(site, NULL);
	start = mc_clock_now(mc_clock_system());
	harness_wait("the map without the other", has_version, &news);
	/* The bound of the site's settings for a map. */
	assert_true(mc_clock_now(mc_clock_system()) - start < 3000);
	harness_signal(site->harness, teller, SIGCONT);
	wait_hearer(&news);
	site_configure(site, NULL);
	harness_wait("the map is told", has_version, &news);
	harness_signal(site->harness, teller, SIGKILL);
	site_configure(site, NULL);
	harness_wait("the map after a death", has_version, &news);
}

/* The store says nothing for a while and forgets: none stays behind. */
static void test_store_silent(void **state)
{
	news_t news = { .site = *state };
	site_t *site = news.site;

	wait_hearer(&news);
	objects_silence(site->objects, true);
	site_configure(site, NULL);
	harness_sleep(2500);
	objects_forget(site->objects);
	objects_silence(site->objects, false);
	harness_wait("the map of the hearer", has_version, &news);
	news.hearer = news.teller;
	harness_wait("the map of the other", has_version, &news);
	site_configure(site, NULL);
	harness_wait("the next map", has_version, &news);
}

#define PEERS_TEST(test) \
	cmocka_unit_test_setup_teardown(test, set_up, tear_down)

int main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		PEERS_TEST(test_hears_peer),
		PEERS_TEST(test_peer_fails),
		PEERS_TEST(test_store_silent),
	};

	if (argc > 1) {
		site_name = argv[1];
		cmocka_set_test_filter(argv[1]);
	}
	return cmocka_run_group_tests(tests, NULL, NULL);
}
