/*
 * Unit tests of the store library against a server on a socket that plays one
 * exchange: it keeps the request and sends a fixed answer, or none.
 */
#include <arpa/inet.h>
#include <poll.h>
#include <pthread.h>
#include <semaphore.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>
#include <cmocka.h>

#include "mc/store.h"

enum {
	TIMEOUT_MS = 10000,
	SHORT_TIMEOUT_MS = 200,
	/* Bound of the wait for an event that must come, s. */
	EVENT_WAIT_S = 30,
	REQUEST_SIZE = 4096,
	ADDRESS_SIZE = 64,
};

#define CLOSED "Connection: close\r\n"
#define ANSWER(status, headers, length, body)                              \
	"HTTP/1.1 " status "\r\n" CLOSED headers "Content-Length: " length \
	"\r\n\r\n" body

/*
 * The server. Its fields but the address are its thread's until that ends.
 * @hold: the connection stays open after the answer
 */
typedef struct fake_t {
	int listener;
	char address[ADDRESS_SIZE];
	const char *answer;
	bool hold;
	char request[REQUEST_SIZE];
	int requests;
	pthread_t thread;
} fake_t;

/* A call and how it ended. */
typedef struct call_t {
	mc_store_t *store;
	mc_err_t (*start)(struct call_t *call);
	mc_err_t err;
	bool maybe;
	uint64_t version;
	char data[256];
	size_t size;
	int ends;
	sem_t ended;
} call_t;

typedef struct fixture_t {
	mc_shard_t *shard;
	fake_t fake;
} fixture_t;

static void fake_bind(fake_t *fake)
{
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	socklen_t size = sizeof(address);

	fake->listener = socket(AF_INET, SOCK_STREAM, 0);
	assert_true(fake->listener >= 0);
	assert_int_equal(bind(fake->listener, (struct sockaddr *)&address,
			      sizeof(address)),
			 0);
	assert_int_equal(
		getsockname(fake->listener, (struct sockaddr *)&address, &size),
		0);
	snprintf(fake->address, sizeof(fake->address), "127.0.0.1:%d",
		 ntohs(address.sin_port));
}

/* Bytes of a whole request; 0 while its headers are not whole. */
static size_t request_size(const char *request)
{
	const char *headers_end = strstr(request, "\r\n\r\n");
	const char *length = strstr(request, "Content-Length: ");
	size_t size;

	if (!headers_end)
		return 0;
	size = (size_t)(headers_end - request) + strlen("\r\n\r\n");
	if (length)
		size += strtoul(length + strlen("Content-Length: "), NULL, 10);
	return size;
}

/* Return: whether a whole request was read. */
static bool fake_read(fake_t *fake, int fd)
{
	size_t used = 0;
	ssize_t got;

	fake->request[0] = '\0';
	while (used < sizeof(fake->request) - 1) {
		got = read(fd, fake->request + used,
			   sizeof(fake->request) - 1 - used);
		if (got <= 0)
			return false;
		used += (size_t)got;
		fake->request[used] = '\0';
		if (request_size(fake->request) &&
		    used >= request_size(fake->request))
			break;
	}
	fake->requests++;
	return true;
}

/* The client closes first, so that no answer is cut by a reset. */
static void fake_close(fake_t *fake, int fd)
{
	char byte;

	if (!fake->hold)
		shutdown(fd, SHUT_WR);
	while (read(fd, &byte, 1) > 0)
		continue;
	close(fd);
}

static void fake_answer(fake_t *fake, int fd)
{
	if (!fake_read(fake, fd) || !fake->answer)
		return;
	if (write(fd, fake->answer, strlen(fake->answer)) < 0)
		return;
}

static void *fake_run(void *arg)
{
	fake_t *fake = arg;
	int fd = accept(fake->listener, NULL, NULL);

	if (fd < 0)
		return NULL;
	fake_answer(fake, fd);
	fake_close(fake, fd);
	return NULL;
}

/*
 * Answers the first request and keeps its connection. Every later request is
 * read and its connection closed. It ends when the listener is shut down.
 */
static void *fake_run_kept(void *arg)
{
	fake_t *fake = arg;
	int kept = accept(fake->listener, NULL, NULL);
	struct pollfd polls[] = {
		{ .fd = fake->listener, .events = POLLIN },
		{ .fd = kept, .events = POLLIN },
	};
	int fd;

	fake_answer(fake, kept);
	while (poll(polls, 2, -1) > 0) {
		if (polls[1].revents) {
			fake_read(fake, kept);
			close(kept);
			polls[1].fd = -1;
			continue;
		}
		fd = accept(fake->listener, NULL, NULL);
		if (fd < 0)
			break;
		fake_read(fake, fd);
		fake_close(fake, fd);
	}
	if (polls[1].fd >= 0)
		close(kept);
	return NULL;
}

static void fake_start(fake_t *fake, const char *answer)
{
	fake->answer = answer;
	assert_int_equal(listen(fake->listener, 4), 0);
	assert_int_equal(pthread_create(&fake->thread, NULL, fake_run, fake),
			 0);
}

static void on_done(void *ctx, const mc_store_result_t *result)
{
	call_t *call = ctx;

	call->err = result->err;
	call->maybe = result->may_have_applied;
	call->version = result->version;
	call->ends++;
	snprintf(call->data, sizeof(call->data), "%s", result->data);
	call->size = result->size;
	sem_post(&call->ended);
}

static void run_call(mc_shard_t *shard, void *arg)
{
	call_t *call = arg;

	(void)shard;
	call->err = call->start(call);
	if (call->err)
		sem_post(&call->ended);
}

static void wait_event(sem_t *event)
{
	struct timespec until;

	clock_gettime(CLOCK_REALTIME, &until);
	until.tv_sec += EVENT_WAIT_S;
	assert_int_equal(sem_timedwait(event, &until), 0);
}

/* Makes a call, waits for its end and frees its client. */
static call_t make_call(fixture_t *fixture, mc_err_t (*start)(call_t *),
			mc_ms_t timeout)
{
	call_t call = { .start = start };

	sem_init(&call.ended, 0, 0);
	call.store =
		mc_store_create(fixture->shard, fixture->fake.address, timeout);
	assert_non_null(call.store);
	assert_int_equal(mc_shard_post(fixture->shard, run_call, &call), MC_OK);
	wait_event(&call.ended);
	mc_shard_lock(fixture->shard);
	mc_store_destroy(call.store);
	mc_shard_unlock(fixture->shard);
	sem_destroy(&call.ended);
	return call;
}

static call_t exchange(fixture_t *fixture, mc_err_t (*start)(call_t *),
		       const char *answer)
{
	call_t call;

	fake_start(&fixture->fake, answer);
	call = make_call(fixture, start, TIMEOUT_MS);
	/* Ends the thread if no request came. */
	shutdown(fixture->fake.listener, SHUT_RDWR);
	pthread_join(fixture->fake.thread, NULL);
	return call;
}

static void assert_sent(const fixture_t *fixture, const char *text)
{
	if (!strstr(fixture->fake.request, text))
		fail_msg("\"%s\" is not in: %s", text, fixture->fake.request);
}

static uint64_t count_of(fixture_t *fixture, mc_counter_id_t id)
{
	uint64_t value;

	mc_shard_lock(fixture->shard);
	value = mc_shard_counters(fixture->shard)->values[id];
	mc_shard_unlock(fixture->shard);
	return value;
}

static mc_err_t start_read(call_t *call)
{
	return mc_store_http_api()->read(call->store, MC_STORE_CONFIG_NAME,
					 on_done, call);
}

static mc_err_t start_watch(call_t *call)
{
	return mc_store_http_api()->watch(call->store, MC_STORE_CONFIG_NAME, 7,
					  50, on_done, call);
}

static mc_err_t start_create(call_t *call)
{
	return mc_store_http_api()->create(
		call->store, MC_STORE_CLAIM_PREFIX "a b/%?#\xc3\xa9", "one", 3,
		on_done, call);
}

static mc_err_t start_update(call_t *call)
{
	return mc_store_http_api()->update(call->store, MC_STORE_CONFIG_NAME, 7,
					   "two", 3, on_done, call);
}

static mc_err_t start_list(call_t *call)
{
	return mc_store_http_api()->list_instances(call->store, on_done, call);
}

static void test_read(void **state)
{
	fixture_t *fixture = *state;
	call_t call;

	call = exchange(fixture, start_read,
			ANSWER("200 OK", "ETag: \"9\"\r\n", "4", "text"));
	assert_int_equal(call.err, MC_OK);
	assert_int_equal(call.version, 9);
	assert_string_equal(call.data, "text");
	assert_int_equal(call.size, 4);
	assert_sent(fixture, "GET /objects/mangocove/config HTTP/1.1\r\n");
	assert_int_equal(count_of(fixture, MC_COUNTER_STORE_CALLS), 1);
	assert_int_equal(count_of(fixture, MC_COUNTER_STORE_FAILURES), 0);
}

static void test_read_not_found(void **state)
{
	call_t call;

	call = exchange(*state, start_read,
			ANSWER("404 Not Found", "", "0", ""));
	assert_int_equal(call.err, MC_ERR_NOT_FOUND);
	assert_false(call.maybe);
	assert_int_equal(count_of(*state, MC_COUNTER_STORE_FAILURES), 0);
}

static void test_read_server_error(void **state)
{
	call_t call;

	call = exchange(*state, start_read,
			ANSWER("503 Unavailable", "", "0", ""));
	assert_int_equal(call.err, MC_ERR_STORE_UNAVAILABLE);
	assert_false(call.maybe);
	assert_int_equal(count_of(*state, MC_COUNTER_STORE_FAILURES), 1);
}

static void test_read_without_version(void **state)
{
	call_t call;

	call = exchange(*state, start_read,
			ANSWER("200 OK", "ETag: \"x\"\r\n", "4", "text"));
	assert_int_equal(call.err, MC_ERR_STORE_UNAVAILABLE);
	assert_false(call.maybe);
}

static void test_watch(void **state)
{
	fixture_t *fixture = *state;
	call_t call;

	call = exchange(fixture, start_watch,
			ANSWER("200 OK", "ETag: \"8\"\r\n", "3", "new"));
	assert_int_equal(call.err, MC_OK);
	assert_int_equal(call.version, 8);
	assert_string_equal(call.data, "new");
	assert_sent(fixture, "config?above=7&wait_ms=50 HTTP/1.1\r\n");
}

static void test_watch_no_change(void **state)
{
	call_t call;

	call = exchange(*state, start_watch,
			"HTTP/1.1 304 Not Modified\r\n" CLOSED "\r\n");
	assert_int_equal(call.err, MC_ERR_TIMED_OUT);
	assert_int_equal(count_of(*state, MC_COUNTER_STORE_FAILURES), 0);
}

static void test_create(void **state)
{
	fixture_t *fixture = *state;
	call_t call;

	call = exchange(fixture, start_create,
			ANSWER("201 Created", "ETag: \"1\"\r\n", "0", ""));
	assert_int_equal(call.err, MC_OK);
	assert_int_equal(call.version, 1);
	assert_sent(fixture, "PUT /objects/mangocove/claims/"
			     "a%20b/%25%3F%23%C3%A9 HTTP/1.1\r\n");
	assert_sent(fixture, "If-None-Match: *\r\n");
	assert_sent(fixture, "Content-Length: 3\r\n");
}

static void test_update(void **state)
{
	fixture_t *fixture = *state;
	call_t call;

	call = exchange(fixture, start_update,
			ANSWER("200 OK", "ETag: \"8\"\r\n", "0", ""));
	assert_int_equal(call.err, MC_OK);
	assert_int_equal(call.version, 8);
	assert_sent(fixture, "If-Match: \"7\"\r\n");
}

static void test_update_conflict(void **state)
{
	call_t call;

	call = exchange(*state, start_update,
			ANSWER("412 Precondition Failed", "", "0", ""));
	assert_int_equal(call.err, MC_ERR_CONFLICT);
	assert_false(call.maybe);
}

static void test_write_refused(void **state)
{
	call_t call;

	call = exchange(*state, start_update,
			ANSWER("413 Too Large", "", "0", ""));
	assert_int_equal(call.err, MC_ERR_STORE_UNAVAILABLE);
	assert_false(call.maybe);
}

static void test_write_server_error(void **state)
{
	call_t call;

	call = exchange(*state, start_update, ANSWER("500 Error", "", "0", ""));
	assert_int_equal(call.err, MC_ERR_STORE_UNAVAILABLE);
	assert_true(call.maybe);
}

static void test_write_answer_lost(void **state)
{
	call_t call;

	call = exchange(*state, start_create, NULL);
	assert_int_equal(call.err, MC_ERR_STORE_UNAVAILABLE);
	assert_true(call.maybe);
	assert_int_equal(call.ends, 1);
	assert_int_equal(count_of(*state, MC_COUNTER_STORE_FAILURES), 1);
}

/* A kept connection that breaks must not make the client repeat a write. */
static void test_write_sent_once(void **state)
{
	fixture_t *fixture = *state;
	fake_t *fake = &fixture->fake;
	call_t call;

	fake->answer = "HTTP/1.1 200 OK\r\nETag: \"7\"\r\n"
		       "Content-Length: 0\r\n\r\n";
	assert_int_equal(listen(fake->listener, 4), 0);
	assert_int_equal(
		pthread_create(&fake->thread, NULL, fake_run_kept, fake), 0);
	call = make_call(fixture, start_read, TIMEOUT_MS);
	assert_int_equal(call.err, MC_OK);
	call = make_call(fixture, start_update, TIMEOUT_MS);
	shutdown(fake->listener, SHUT_RDWR);
	pthread_join(fake->thread, NULL);
	assert_int_equal(call.err, MC_ERR_STORE_UNAVAILABLE);
	assert_true(call.maybe);
	assert_int_equal(fake->requests, 2);
}

static void test_write_timeout(void **state)
{
	fixture_t *fixture = *state;
	call_t call;

	fixture->fake.hold = true;
	fake_start(&fixture->fake, "HTTP/1.1 200 OK\r\n");
	call = make_call(fixture, start_update, SHORT_TIMEOUT_MS);
	pthread_join(fixture->fake.thread, NULL);
	assert_int_equal(call.err, MC_ERR_STORE_UNAVAILABLE);
	assert_true(call.maybe);
}

/* Nothing listens, so the write has certainly not taken effect. */
static void test_write_refused_connection(void **state)
{
	call_t call;

	call = make_call(*state, start_update, TIMEOUT_MS);
	assert_int_equal(call.err, MC_ERR_STORE_UNAVAILABLE);
	assert_false(call.maybe);
}

static void test_list(void **state)
{
	fixture_t *fixture = *state;
	call_t call;

	call = exchange(fixture, start_list, ANSWER("200 OK", "", "2", "[]"));
	assert_int_equal(call.err, MC_OK);
	assert_string_equal(call.data, "[]");
	assert_sent(fixture, "GET /instances HTTP/1.1\r\n");
}

static void start_and_destroy(mc_shard_t *shard, void *arg)
{
	call_t *call = arg;

	(void)shard;
	call->err = start_create(call);
	mc_store_destroy(call->store);
	sem_post(&call->ended);
}

/* A second call that ends after it shows that the first has no handler left. */
static void test_destroy_cancels(void **state)
{
	fixture_t *fixture = *state;
	call_t call = { 0 };

	sem_init(&call.ended, 0, 0);
	call.store = mc_store_create(fixture->shard, fixture->fake.address,
				     TIMEOUT_MS);
	assert_int_equal(
		mc_shard_post(fixture->shard, start_and_destroy, &call), MC_OK);
	wait_event(&call.ended);
	assert_int_equal(call.err, MC_OK);
	make_call(fixture, start_update, TIMEOUT_MS);
	assert_int_equal(call.ends, 0);
	sem_destroy(&call.ended);
}

static int set_up(void **state)
{
	mc_shard_params_t params = { .seed = 1, .clock = mc_clock_system() };
	fixture_t *fixture = calloc(1, sizeof(*fixture));

	if (!fixture)
		return -1;
	fake_bind(&fixture->fake);
	fixture->shard = mc_shard_create(&params);
	*state = fixture;
	return fixture->shard ? (int)mc_shard_start(fixture->shard) : -1;
}

static int tear_down(void **state)
{
	fixture_t *fixture = *state;

	mc_shard_stop(fixture->shard);
	mc_shard_destroy(fixture->shard);
	close(fixture->fake.listener);
	free(fixture);
	return 0;
}

#define STORE_TEST(test) \
	cmocka_unit_test_setup_teardown(test, set_up, tear_down)

int main(void)
{
	const struct CMUnitTest tests[] = {
		STORE_TEST(test_read),
		STORE_TEST(test_read_not_found),
		STORE_TEST(test_read_server_error),
		STORE_TEST(test_read_without_version),
		STORE_TEST(test_watch),
		STORE_TEST(test_watch_no_change),
		STORE_TEST(test_create),
		STORE_TEST(test_update),
		STORE_TEST(test_update_conflict),
		STORE_TEST(test_write_refused),
		STORE_TEST(test_write_server_error),
		STORE_TEST(test_write_answer_lost),
		STORE_TEST(test_write_sent_once),
		STORE_TEST(test_write_timeout),
		STORE_TEST(test_write_refused_connection),
		STORE_TEST(test_list),
		STORE_TEST(test_destroy_cancels),
	};

	if (mc_net_init())
		return EXIT_FAILURE;
	return cmocka_run_group_tests(tests, NULL, NULL);
}
