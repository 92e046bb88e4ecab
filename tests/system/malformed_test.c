/*
 * System tests of malformed messages at the tier: at its ports for callers,
 * peers, readiness and metrics, and in the store's records; and of what the
 * store may well say, but rarely does. None of them may end the process or keep
 * it from serving.
 */
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>
#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>
#include <cmocka.h>

#include "site.h"

enum {
	TIME_LEFT_MS = 1500,
	RANDOM_MESSAGES = 40,
	MESSAGE_MAX = 4096,
	SEED = 7,
	/* Number of a searcher that starts later, not used by the site's. */
	LATE_NUMBER = 10,
	/* Over-long responses in a row after which an instance would ask for
	 * them for ever. */
	LONG_RESPONSES_MAX = 3,
};

/* Each test case that runs in parallel uses its own directory. */
static const char *site_name = "malformed";

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

static bool serves(void *ctx)
{
	return site_send_request(ctx, 0, "GET", "/all/x", TIME_LEFT_MS)
		       .status == 200;
}

/* The process has not been replaced, and serves. */
static void check_alive(site_t *site)
{
	assert_true(
		harness_is_running(site->harness, site->instances[0].process));
	harness_wait_until("requests are served", serves, site);
}

/* Sends bytes and waits until the instance closes the connection, or has had
 * all of them. */
static void send_bytes(uint16_t port, const char *data, size_t size)
{
	char byte;
	int fd = raw_connect(port);

	assert_true(fd >= 0);
	send(fd, data, size, MSG_NOSIGNAL);
	shutdown(fd, SHUT_WR);
	while (recv(fd, &byte, sizeof(byte), 0) > 0)
		;
	close(fd);
}

static void send_to_all_ports(const site_t *site, const char *data, size_t size)
{
	const site_instance_t *instance = &site->instances[0];

	send_bytes(instance->caller_port, data, size);
	send_bytes(instance->ready_port, data, size);
	send_bytes(instance->metrics_port, data, size);
	send_bytes(instance->peer_port, data, size);
}

static void test_bytes_at_ports(void **state)
{
	static const char *const texts[] = {
		"\r\n\r\n",
		"GET",
		"GET / HTTP/9.9\r\n\r\n",
		"GET /all/x HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
		"GET /all/x HTTP/1.1\r\nContent-Length: "
		"99999999999999999999\r\n\r\n",
		"POST /all/x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
		"ffffffffffffffff\r\n",
		"GET /all/x HTTP/1.1\r\nHost: site.example\r\n"
		"Mangocove-Deadline-Ms: 9999999999999999999999\r\n\r\n",
		"GET /all/x HTTP/1.1\r\nHost: site.example\r\n"
		"Mangocove-Deadline-Ms: -5\r\n\r\n",
		"\xff\xff\xff\xff\xff\xff\xff\xff",
	};
	site_t *site = *state;
	char message[MESSAGE_MAX];
	mc_random_t random;
	size_t i, j, size;

	for (i = 0; i < MC_ARRAY_LEN(texts); i++)
		send_to_all_ports(site, texts[i], strlen(texts[i]));
	mc_random_seed(&random, SEED);
	for (i = 0; i < RANDOM_MESSAGES; i++) {
		size = 1 + mc_random_below(&random, MESSAGE_MAX - 1);
		for (j = 0; j < size; j++)
			message[j] = (char)mc_random_below(&random, 256);
		/* Half of the frames at the port for peers get a length that
		 * fits. */
		if (i % 2 && size > 4)
			memcpy(message,
			       &(uint32_t){ htonl((uint32_t)size - 4) }, 4);
		send_to_all_ports(site, message, size);
	}
	check_alive(site);
}

/* Returns a value that no field of a record has, by number; NULL at the end. */
static json_t *bad_spec(int number)
{
	switch (number) {
	case 0:
		return json_null();
	case 1:
		return json_array();
	case 2:
		return json_string("text");
	case 3:
		return json_object();
	case 4:
		return json_pack("{s:[i], s:{}, s:i, s:s, s:b, s:f}", "backend",
				 1, "address", "slots", -1, "state", "none",
				 "born", 1, "warmupLeftMs", 1e300);
	case 5:
		return json_pack("{s:s, s:[{s:i}, n], s:[n], s:i, s:s}",
				 "version", "x", "routes", "name", 1,
				 "services", "limits", 7, "durationS", "long");
	case 6:
		return json_pack("{s:s, s:s, s:[[], {}, i]}", "dataCenter", "",
				 "address", "no address", "rollouts", -1);
	default:
		return NULL;
	}
}

static void test_records_of_the_store(void **state)
{
	static const char *const kinds[] = { "config", "servers", "evacuations",
					     "mangocove-instances",
					     "rollouts" };
	site_t *site = *state;
	char name[32];
	json_t *spec;
	size_t kind;
	int i;

	for (kind = 0; kind < MC_ARRAY_LEN(kinds); kind++)
		for (i = 0; (spec = bad_spec(i)); i++) {
			snprintf(name, sizeof(name), "bad-%d", i);
			object_store_put(site->object_store, kinds[kind], name,
					 json_incref(spec));
			if (!strcmp(kinds[kind], "config"))
				object_store_put(site->object_store, "config",
						 "main", json_incref(spec));
			json_decref(spec);
		}
	harness_sleep(TIME_LEFT_MS);
	check_alive(site);
	/* A valid map is still put in force, also after a restart. */
	site_put_config(site, NULL);
	check_alive(site);
	harness_stop(site->harness, site->instances[0].process, SIGKILL);
	site_start_and_wait_ready(site, 0);
	check_alive(site);
}

typedef struct {
	site_t *site;
	searcher_t *searcher;
} late_searcher_t;

static bool reaches_late_searcher(void *ctx)
{
	const late_searcher_t *late = ctx;

	site_send_request(late->site, 0, "GET", "/one/x", TIME_LEFT_MS);
	return searcher_count_requests(late->searcher) > 0;
}

/*
 * The changes that were made while the store was unreachable are more than an
 * instance takes in one response. Asked for again and again they never come:
 * the targets must be listed instead.
 */
static void test_long_watch_response(void **state)
{
	site_t *site = *state;
	late_searcher_t late = { .site = site };

	late.searcher = searcher_start("single", "dc0", LATE_NUMBER);
	object_store_set_down(site->object_store, true);
	harness_sleep(TIME_LEFT_MS);
	searcher_register(late.searcher, site->object_store, "ready");
	object_store_make_changes_long(site->object_store, "servers");
	object_store_set_down(site->object_store, false);
	harness_wait_until("a target of the long response is used",
			   reaches_late_searcher, &late);
	assert_in_range(object_store_long_response_count(site->object_store), 1,
			LONG_RESPONSES_MAX);
	check_alive(site);
	searcher_stop(late.searcher);
}

/*
 * A target starts again under its id, at another address and with its clock set
 * back. Taken for a late entry of its former incarnation, it is never used.
 */
static void test_restart_with_clock_set_back(void **state)
{
	site_t *site = *state;
	searcher_t *former = site->single_replicas[0];
	late_searcher_t late = { .site = site };

	/* It starts later each time. */
	searcher_restart(former);
	searcher_register(former, site->object_store, "ready");
	late.searcher = searcher_start("single", "dc0", 0);
	assert_string_equal(searcher_id(late.searcher), searcher_id(former));
	searcher_set_down(former, true);
	harness_sleep(TIME_LEFT_MS);
	searcher_register(late.searcher, site->object_store, "ready");
	harness_wait_until("the next incarnation is used",
			   reaches_late_searcher, &late);
	check_alive(site);
	searcher_stop(late.searcher);
}

#define MALFORMED_TEST(test) \
	cmocka_unit_test_setup_teardown(test, set_up, tear_down)

int main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		MALFORMED_TEST(test_bytes_at_ports),
		MALFORMED_TEST(test_records_of_the_store),
		MALFORMED_TEST(test_long_watch_response),
		MALFORMED_TEST(test_restart_with_clock_set_back),
	};

	if (argc > 1) {
		site_name = argv[1];
		cmocka_set_test_filter(argv[1]);
	}
	return cmocka_run_group_tests(tests, NULL, NULL);
}
