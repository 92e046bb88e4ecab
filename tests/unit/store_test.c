/*
 * Unit tests of the store library. A fake server on a socket records one
 * request and sends a fixed response or none.
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
	/* Time limit for an event that must occur, in seconds. */
	EVENT_WAIT_S = 30,
	REQUEST_SIZE = 4096,
	ADDRESS_SIZE = 64,
};

#define CLOSED "Connection: close\r\n"
#define RESPONSE(status, headers, length, body)                            \
	"HTTP/1.1 " status "\r\n" CLOSED headers "Content-Length: " length \
	"\r\n\r\n" body

/*
 * The fake server. While its thread runs, only the thread may use the fields
 * other than the address.
 * @hold: keep the connection open after the response
 */
typedef struct fake_server_t {
	int listener;
	char address[ADDRESS_SIZE];
	const char *response;
	bool hold;
	char request[REQUEST_SIZE];
	int request_count;
	pthread_t thread;
} fake_server_t;

/* A call and its result. */
typedef struct call_t {
	mc_store_t *store;
	mc_err_t (*start)(struct call_t *call);
	mc_err_t err;
	bool may_have_applied;
	uint64_t version;
	char data[256];
	size_t size;
	int end_count;
	sem_t ended;
} call_t;

typedef struct fixture_t {
	mc_shard_t *shard;
	fake_server_t server;
} fixture_t;

static void server_bind(fake_server_t *server)
{
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	socklen_t size = sizeof(address);

	server->listener = socket(AF_INET, SOCK_STREAM, 0);
	assert_true(server->listener >= 0);
	assert_int_equal(bind(server->listener, (struct sockaddr *)&address,
			      sizeof(address)),
			 0);
	assert_int_equal(getsockname(server->listener,
				     (struct sockaddr *)&address, &size),
			 0);
	snprintf(server->address, sizeof(server->address), "127.0.0.1:%d",
		 ntohs(address.sin_port));
}

/* Returns the length of a request in bytes; 0 if its headers are incomplete. */
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

/* Reads a request; returns false if the connection ended before its end. */
static bool server_read_request(fake_server_t *server, int fd)
{
	size_t used = 0;
	ssize_t got;

	server->request[0] = '\0';
	while (used < sizeof(server->request) - 1) {
		got = read(fd, server->request + used,
			   sizeof(server->request) - 1 - used);
		if (got <= 0)
			return false;
		used += (size_t)got;
		server->request[used] = '\0';
		if (request_size(server->request) &&
		    used >= request_size(server->request))
			break;
	}
	server->request_count++;
	return true;
}

/*
 * Waits for the client to close first. Closing with unread input would reset
 * the connection and could cut off the response.
 */
static void server_close(fake_server_t *server, int fd)
{
	char byte;

	if (!server->hold)
		shutdown(fd, SHUT_WR);
	while (read(fd, &byte, 1) > 0)
		continue;
	close(fd);
}

static void server_respond(fake_server_t *server, int fd)
{
	if (!server_read_request(server, fd) || !server->response)
		return;
	if (write(fd, server->response, strlen(server->response)) < 0)
		return;
}

static void *server_run(void *arg)
{
	fake_server_t *server = arg;
	int fd = accept(server->listener, NULL, NULL);

	if (fd < 0)
		return NULL;
	server_respond(server, fd);
	server_close(server, fd);
	return NULL;
}

/*
 * Answers the first request and keeps its connection open. Reads each later
 * request and closes its connection without a response. Ends when the listener
 * is shut down.
 */
static void *server_run_keepalive(void *arg)
{
	fake_server_t *server = arg;
	int kept_fd = accept(server->listener, NULL, NULL);
	struct pollfd polls[] = {
		{ .fd = server->listener, .events = POLLIN },
		{ .fd = kept_fd, .events = POLLIN },
	};
	int fd;

	server_respond(server, kept_fd);
	while (poll(polls, 2, -1) > 0) {
		if (polls[1].revents) {
			server_read_request(server, kept_fd);
			close(kept_fd);
			polls[1].fd = -1;
			continue;
		}
		fd = accept(server->listener, NULL, NULL);
		if (fd < 0)
			break;
		server_read_request(server, fd);
		server_close(server, fd);
	}
	if (polls[1].fd >= 0)
		close(kept_fd);
	return NULL;
}

static void server_start(fake_server_t *server, const char *response)
{
	server->response = response;
	assert_int_equal(listen(server->listener, 4), 0);
	assert_int_equal(
		pthread_create(&server->thread, NULL, server_run, server), 0);
}

static void on_done(void *ctx, const mc_store_result_t *result)
{
	call_t *call = ctx;

	call->err = result->err;
	call->may_have_applied = result->may_have_applied;
	call->version = result->version;
	call->end_count++;
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

/* Makes a call with a client of its own and waits for the result. */
static call_t make_call(fixture_t *fixture, mc_err_t (*start)(call_t *),
			mc_ms_t timeout)
{
	call_t call = { .start = start };

	sem_init(&call.ended, 0, 0);
	call.store = mc_store_create(fixture->shard, fixture->server.address,
				     timeout);
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
		       const char *response)
{
	call_t call;

	server_start(&fixture->server, response);
	call = make_call(fixture, start, TIMEOUT_MS);
	/* Stops the server's thread if there was no request. */
	shutdown(fixture->server.listener, SHUT_RDWR);
	pthread_join(fixture->server.thread, NULL);
	return call;
}

static void assert_sent(const fixture_t *fixture, const char *text)
{
	if (!strstr(fixture->server.request, text))
		fail_msg("\"%s\" is not in: %s", text, fixture->server.request);
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
			RESPONSE("200 OK", "ETag: \"9\"\r\n", "4", "text"));
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
			RESPONSE("404 Not Found", "", "0", ""));
	assert_int_equal(call.err, MC_ERR_NOT_FOUND);
	assert_false(call.may_have_applied);
	assert_int_equal(count_of(*state, MC_COUNTER_STORE_FAILURES), 0);
}

static void test_read_server_error(void **state)
{
	call_t call;

	call = exchange(*state, start_read,
			RESPONSE("503 Unavailable", "", "0", ""));
	assert_int_equal(call.err, MC_ERR_STORE_UNAVAILABLE);
	assert_false(call.may_have_applied);
	assert_int_equal(count_of(*state, MC_COUNTER_STORE_FAILURES), 1);
}

static void test_read_without_version(void **state)
{
	call_t call;

	call = exchange(*state, start_read,
			RESPONSE("200 OK", "ETag: \"x\"\r\n", "4", "text"));
	assert_int_equal(call.err, MC_ERR_STORE_UNAVAILABLE);
	assert_false(call.may_have_applied);
}

static void test_watch(void **state)
{
	fixture_t *fixture = *state;
	call_t call;

	call = exchange(fixture, start_watch,
			RESPONSE("200 OK", "ETag: \"8\"\r\n", "3", "new"));
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
			RESPONSE("201 Created", "ETag: \"1\"\r\n", "0", ""));
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
			RESPONSE("200 OK", "ETag: \"8\"\r\n", "0", ""));
	assert_int_equal(call.err, MC_OK);
	assert_int_equal(call.version, 8);
	assert_sent(fixture, "If-Match: \"7\"\r\n");
}

static void test_update_conflict(void **state)
{
	call_t call;

	call = exchange(*state, start_update,
			RESPONSE("412 Precondition Failed", "", "0", ""));
	assert_int_equal(call.err, MC_ERR_CONFLICT);
	assert_false(call.may_have_applied);
}

static void test_write_refused(void **state)
{
	call_t call;

	call = exchange(*state, start_update,
			RESPONSE("413 Too Large", "", "0", ""));
	assert_int_equal(call.err, MC_ERR_STORE_UNAVAILABLE);
	assert_false(call.may_have_applied);
}

static void test_write_server_error(void **state)
{
	call_t call;

	call = exchange(*state, start_update,
			RESPONSE("500 Error", "", "0", ""));
	assert_int_equal(call.err, MC_ERR_STORE_UNAVAILABLE);
	assert_true(call.may_have_applied);
}

static void test_write_answer_lost(void **state)
{
	call_t call;

	call = exchange(*state, start_create, NULL);
	assert_int_equal(call.err, MC_ERR_STORE_UNAVAILABLE);
	assert_true(call.may_have_applied);
	assert_int_equal(call.end_count, 1);
	assert_int_equal(count_of(*state, MC_COUNTER_STORE_FAILURES), 1);
}

/*
 * The server closes a reused connection after it has read a write. The client
 * must not send the write again.
 */
static void test_write_sent_once(void **state)
{
	fixture_t *fixture = *state;
	fake_server_t *server = &fixture->server;
	call_t call;

	server->response = "HTTP/1.1 200 OK\r\nETag: \"7\"\r\n"
			   "Content-Length: 0\r\n\r\n";
	assert_int_equal(listen(server->listener, 4), 0);
	assert_int_equal(pthread_create(&server->thread, NULL,
					server_run_keepalive, server),
			 0);
	call = make_call(fixture, start_read, TIMEOUT_MS);
	assert_int_equal(call.err, MC_OK);
	call = make_call(fixture, start_update, TIMEOUT_MS);
	shutdown(server->listener, SHUT_RDWR);
	pthread_join(server->thread, NULL);
	assert_int_equal(call.err, MC_ERR_STORE_UNAVAILABLE);
	assert_true(call.may_have_applied);
	assert_int_equal(server->request_count, 2);
}

static void test_write_timeout(void **state)
{
	fixture_t *fixture = *state;
	call_t call;

	fixture->server.hold = true;
	server_start(&fixture->server, "HTTP/1.1 200 OK\r\n");
	call = make_call(fixture, start_update, SHORT_TIMEOUT_MS);
	pthread_join(fixture->server.thread, NULL);
	assert_int_equal(call.err, MC_ERR_STORE_UNAVAILABLE);
	assert_true(call.may_have_applied);
}

/* No server listens, so the write has certainly not taken effect. */
static void test_write_refused_connection(void **state)
{
	call_t call;

	call = make_call(*state, start_update, TIMEOUT_MS);
	assert_int_equal(call.err, MC_ERR_STORE_UNAVAILABLE);
	assert_false(call.may_have_applied);
}

static void test_list(void **state)
{
	fixture_t *fixture = *state;
	call_t call;

	call = exchange(fixture, start_list, RESPONSE("200 OK", "", "2", "[]"));
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

/*
 * Destroying the client must cancel its call. The second call ends later than
 * the first could, so by then the first call's handler would have been called.
 */
static void test_destroy_cancels(void **state)
{
	fixture_t *fixture = *state;
	call_t call = { 0 };

	sem_init(&call.ended, 0, 0);
	call.store = mc_store_create(fixture->shard, fixture->server.address,
				     TIMEOUT_MS);
	assert_int_equal(
		mc_shard_post(fixture->shard, start_and_destroy, &call), MC_OK);
	wait_event(&call.ended);
	assert_int_equal(call.err, MC_OK);
	make_call(fixture, start_update, TIMEOUT_MS);
	assert_int_equal(call.end_count, 0);
	sem_destroy(&call.ended);
}

static int set_up(void **state)
{
	mc_shard_params_t params = { .seed = 1, .clock = mc_clock_system() };
	fixture_t *fixture = calloc(1, sizeof(*fixture));

	if (!fixture)
		return -1;
	server_bind(&fixture->server);
	fixture->shard = mc_shard_create(&params);
	*state = fixture;
	return fixture->shard ? (int)mc_shard_start(fixture->shard) : -1;
}

static int tear_down(void **state)
{
	fixture_t *fixture = *state;

	mc_shard_stop(fixture->shard);
	mc_shard_destroy(fixture->shard);
	close(fixture->server.listener);
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
