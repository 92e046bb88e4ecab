/*
 * Unit tests of the h1 library: a shard serves, raw sockets send it what
 * libraries would not; and a shard's client talks to a raw server.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <arpa/inet.h>
#include <poll.h>
#include <pthread.h>
#include <sys/socket.h>
#include <unistd.h>
#include <cmocka.h>

#include "mc/h1.h"

enum {
	WAIT_MS = 20000,
	TEXT_SIZE = 64 << 10,
	IDLE_MS = 60000,
	REQUEST_MS = 60000,
	HEAD_BYTES = 4096,
	BODY_BYTES = 10000,
};

/* What the shard's handlers saw; read by the test under the shard's lock. */
typedef struct {
	mc_shard_t *shard;
	mc_h1_t *h1;
	int listen_fd;
	uint16_t port;
	/* As a server. */
	uint32_t requests;
	uint32_t gone;
	bool hold;
	mc_handle_t held;
	char last_target[256];
	char last_body[256];
	/* As a client. */
	mc_handle_t connection;
	uint32_t opened;
	uint32_t answers;
	uint32_t closed;
	bool closed_sent;
	bool await_first;
	mc_h1_message_t last;
	char last_answer[256];
} fixture_t;

static void on_request(void *ctx, mc_handle_t connection,
		       const mc_h1_message_t *message, mc_ms_t first_byte)
{
	fixture_t *fixture = ctx;
	const mc_h1_response_t answer = { .status = 200,
					  .body = "done",
					  .body_size = 4 };

	(void)first_byte;
	fixture->requests++;
	snprintf(fixture->last_target, sizeof(fixture->last_target), "%s %s",
		 message->method, message->uri);
	snprintf(fixture->last_body, sizeof(fixture->last_body), "%.*s",
		 (int)message->body_size, message->body);
	fixture->held = connection;
	if (!fixture->hold)
		mc_h1_respond(fixture->h1, connection, &answer);
}

static void on_gone(void *ctx, mc_handle_t connection)
{
	fixture_t *fixture = ctx;

	(void)connection;
	fixture->gone++;
}

static void on_open(void *ctx, mc_handle_t connection)
{
	fixture_t *fixture = ctx;

	(void)connection;
	fixture->opened++;
}

static void on_answer(void *ctx, mc_handle_t connection,
		      const mc_h1_message_t *message)
{
	fixture_t *fixture = ctx;

	fixture->answers++;
	fixture->last = *message;
	snprintf(fixture->last_answer, sizeof(fixture->last_answer), "%.*s",
		 (int)message->body_size, message->body);
	if (fixture->await_first && fixture->answers == 1)
		mc_h1_await_next_response(fixture->h1, connection);
}

static void on_closed(void *ctx, mc_handle_t connection, bool sent)
{
	fixture_t *fixture = ctx;

	(void)connection;
	fixture->closed++;
	fixture->closed_sent = sent;
}

static const mc_h1_server_handlers_t server = {
	.request = on_request,
	.disconnected = on_gone,
};

static const mc_h1_client_handlers_t client = {
	.connected = on_open,
	.response = on_answer,
	.closed = on_closed,
};

static int set_up(void **state)
{
	const mc_shard_params_t params = {
		.seed = 1,
		.clock = mc_clock_system(),
	};
	const mc_h1_limits_t limits = {
		.head_bytes_max = HEAD_BYTES,
		.body_bytes_max = BODY_BYTES,
		.request_timeout = REQUEST_MS,
		.idle_timeout = IDLE_MS,
	};
	fixture_t *fixture = calloc(1, sizeof(*fixture));

	assert_non_null(fixture);
	assert_int_equal(mc_net_init(), MC_OK);
	fixture->shard = mc_shard_create(&params);
	fixture->h1 = mc_h1_create(fixture->shard);
	mc_h1_set_limits(fixture->h1, &limits);
	assert_int_equal(mc_http_bind("127.0.0.1:0", &fixture->port,
				      &fixture->listen_fd),
			 MC_OK);
	assert_int_equal(
		mc_h1_serve(fixture->h1, fixture->listen_fd, &server, fixture),
		MC_OK);
	assert_int_equal(mc_shard_start(fixture->shard), MC_OK);
	*state = fixture;
	return 0;
}

static int tear_down(void **state)
{
	fixture_t *fixture = *state;

	mc_shard_stop(fixture->shard);
	mc_h1_destroy(fixture->h1);
	mc_shard_destroy(fixture->shard);
	close(fixture->listen_fd);
	free(fixture);
	return 0;
}

static int connect_to(uint16_t port)
{
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_port = htons(port),
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	assert_int_equal(
		connect(fd, (struct sockaddr *)&address, sizeof(address)), 0);
	return fd;
}

static void put(int fd, const char *text)
{
	size_t size = strlen(text);

	assert_int_equal(send(fd, text, size, MSG_NOSIGNAL), (ssize_t)size);
}

/* Reads until @text has come @times times or the stream ends. */
static size_t read_until(int fd, char *out, const char *text, int times)
{
	size_t size = 0;

	out[0] = '\0';
	for (;;) {
		struct pollfd ready = { .fd = fd, .events = POLLIN };
		const char *at = out;
		ssize_t got;
		int seen = 0;

		while (text && (at = strstr(at, text))) {
			at += strlen(text);
			seen++;
		}
		if (text && seen >= times)
			return size;
		assert_int_equal(poll(&ready, 1, WAIT_MS), 1);
		got = recv(fd, out + size, TEXT_SIZE - 1 - size, 0);
		if (got <= 0)
			return size;
		size += (size_t)got;
		out[size] = '\0';
	}
}

static bool reached(fixture_t *fixture, const uint32_t *count, uint32_t wanted)
{
	bool is;

	mc_shard_lock(fixture->shard);
	is = *count >= wanted;
	mc_shard_unlock(fixture->shard);
	return is;
}

static void wait_for(fixture_t *fixture, const uint32_t *count, uint32_t wanted)
{
	mc_ms_t end = mc_clock_now(mc_clock_system()) + WAIT_MS;

	while (!reached(fixture, count, wanted)) {
		assert_true(mc_clock_now(mc_clock_system()) < end);
		usleep(1000);
	}
}

/* Requests sent ahead are answered in order, on one connection. */
static void test_serves_in_order(void **state)
{
	fixture_t *fixture = *state;
	char text[TEXT_SIZE];
	int fd = connect_to(fixture->port);

	put(fd, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
		"POST /b?c HTTP/1.1\r\nHost: h\r\n"
		"Transfer-Encoding: chunked\r\n\r\n"
		"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
	read_until(fd, text, "done", 2);
	assert_non_null(strstr(text, "HTTP/1.1 200 OK\r\n"));
	assert_int_equal(fixture->requests, 2);
	assert_string_equal(fixture->last_target, "POST /b?c");
	assert_string_equal(fixture->last_body, "abcde");
	close(fd);
}

/* What is too large, or no request, gets its status and a close. */
static void test_refuses(void **state)
{
	static const struct {
		const char *text;
		const char *status;
	} cases[] = {
		{ "POST / HTTP/1.1\r\nHost: h\r\n"
		  "Content-Length: 99999999999\r\n\r\n",
		  "413" },
		{ "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
		  "Transfer-Encoding: chunked\r\n\r\n"
		  "0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n",
		  "400" },
		{ "nonsense\r\n\r\n", "400" },
	};
	fixture_t *fixture = *state;
	char text[TEXT_SIZE];
	size_t i;

	for (i = 0; i < MC_ARRAY_LEN(cases); i++) {
		int fd = connect_to(fixture->port);

		put(fd, cases[i].text);
		read_until(fd, text, NULL, 0);
		assert_non_null(strstr(text, cases[i].status));
		assert_non_null(strstr(text, "Connection: close"));
		assert_null(strstr(text, "HTTP/1.1 200"));
		close(fd);
	}
	assert_int_equal(fixture->requests, 0);
}

static void test_refuses_large_head(void **state)
{
	fixture_t *fixture = *state;
	char text[TEXT_SIZE];
	int fd = connect_to(fixture->port);

	memset(text, 'a', HEAD_BYTES + 1);
	text[HEAD_BYTES + 1] = '\0';
	put(fd, "GET / HTTP/1.1\r\nX: ");
	put(fd, text);
	put(fd, "\r\n\r\n");
	read_until(fd, text, NULL, 0);
	assert_non_null(strstr(text, "431"));
	close(fd);
}

/* A caller that leaves while its request is handled is noticed. */
static void test_notices_gone(void **state)
{
	fixture_t *fixture = *state;
	const mc_h1_response_t answer = { .status = 200 };
	int fd;

	fixture->hold = true;
	fd = connect_to(fixture->port);
	put(fd, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
	wait_for(fixture, &fixture->requests, 1);
	close(fd);
	wait_for(fixture, &fixture->gone, 1);
	mc_shard_lock(fixture->shard);
	assert_int_equal(mc_h1_respond(fixture->h1, fixture->held, &answer),
			 MC_ERR_STALE_HANDLE);
	mc_shard_unlock(fixture->shard);
}

/* An answer while leaving asks for a close; idle callers are closed. */
static void test_leaves(void **state)
{
	fixture_t *fixture = *state;
	char text[TEXT_SIZE];
	int busy = connect_to(fixture->port);
	int idle = connect_to(fixture->port);

	put(idle, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
	read_until(idle, text, "done", 1);
	assert_null(strstr(text, "Connection: close"));
	mc_shard_lock(fixture->shard);
	mc_h1_start_draining(fixture->h1);
	mc_shard_unlock(fixture->shard);
	put(busy, "GET /b HTTP/1.1\r\nHost: h\r\n\r\n");
	read_until(busy, text, NULL, 0);
	assert_non_null(strstr(text, "Connection: close"));
	assert_non_null(strstr(text, "done"));
	mc_shard_lock(fixture->shard);
	mc_h1_close_idle(fixture->h1);
	mc_shard_unlock(fixture->shard);
	assert_int_equal(read_until(idle, text, NULL, 0), 0);
	close(busy);
	close(idle);
}

/* A raw server for the client's tests: a socket, and who has connected. */
static int raw_server(uint16_t *port)
{
	int fd;

	assert_int_equal(mc_http_bind("127.0.0.1:0", port, &fd), MC_OK);
	return fd;
}

static int raw_accept(int fd)
{
	struct pollfd ready = { .fd = fd, .events = POLLIN };

	assert_int_equal(poll(&ready, 1, WAIT_MS), 1);
	return accept(fd, NULL, NULL);
}

static void open_and_send(fixture_t *fixture, uint16_t port)
{
	static const char head[] = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";
	char address[64];

	snprintf(address, sizeof(address), "127.0.0.1:%u", port);
	mc_shard_lock(fixture->shard);
	assert_int_equal(mc_h1_connect(fixture->h1, address, &client, fixture,
				       &fixture->connection),
			 MC_OK);
	assert_int_equal(mc_h1_send_request(fixture->h1, fixture->connection,
					    head, sizeof(head) - 1, NULL, 0,
					    false),
			 MC_OK);
	mc_shard_unlock(fixture->shard);
}

/* Answers with and without a length; bytes behind an answer are told. */
static void test_client_reads(void **state)
{
	fixture_t *fixture = *state;
	char text[TEXT_SIZE];
	uint16_t port;
	int listener = raw_server(&port);
	int fd;

	open_and_send(fixture, port);
	fd = raw_accept(listener);
	read_until(fd, text, "\r\n\r\n", 1);
	put(fd, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc");
	wait_for(fixture, &fixture->answers, 1);
	assert_string_equal(fixture->last_answer, "abc");
	assert_true(fixture->last.keep_alive);
	assert_false(fixture->last.trailing_data);
	/* Bytes without a request close it; no request was under way. */
	put(fd, "HTTP/1.1 200 OK\r\n");
	wait_for(fixture, &fixture->closed, 1);
	assert_false(fixture->closed_sent);
	close(fd);
	open_and_send(fixture, port);
	fd = raw_accept(listener);
	read_until(fd, text, "\r\n\r\n", 1);
	put(fd, "HTTP/1.1 200 OK\r\n\r\nno length");
	close(fd);
	wait_for(fixture, &fixture->answers, 2);
	assert_string_equal(fixture->last_answer, "no length");
	assert_false(fixture->last.keep_alive);
	wait_for(fixture, &fixture->closed, 2);
	close(listener);
}

/* An answer that was another's is passed over; the next one is read. */
static void test_client_awaits(void **state)
{
	fixture_t *fixture = *state;
	char text[TEXT_SIZE];
	uint16_t port;
	int listener = raw_server(&port);
	int fd;

	fixture->await_first = true;
	open_and_send(fixture, port);
	fd = raw_accept(listener);
	read_until(fd, text, "\r\n\r\n", 1);
	put(fd, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold"
		"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nnew");
	wait_for(fixture, &fixture->answers, 2);
	assert_string_equal(fixture->last_answer, "new");
	close(fd);
	close(listener);
}

/* A reset in the middle of an answer without a length is no answer. */
static void test_client_reset(void **state)
{
	const struct linger reset = { .l_onoff = 1 };
	fixture_t *fixture = *state;
	char text[TEXT_SIZE];
	uint16_t port;
	int listener = raw_server(&port);
	int fd;

	open_and_send(fixture, port);
	fd = raw_accept(listener);
	read_until(fd, text, "\r\n\r\n", 1);
	put(fd, "HTTP/1.1 200 OK\r\n\r\nhalf");
	setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
	close(fd);
	wait_for(fixture, &fixture->closed, 1);
	assert_true(fixture->closed_sent);
	assert_int_equal(fixture->answers, 0);
	close(listener);
}

/* Nothing has left when nobody listens. */
static void test_client_refused(void **state)
{
	fixture_t *fixture = *state;
	uint16_t port;
	int listener = raw_server(&port);

	close(listener);
	open_and_send(fixture, port);
	wait_for(fixture, &fixture->closed, 1);
	assert_false(fixture->closed_sent);
}

#define H1_TEST(test) cmocka_unit_test_setup_teardown(test, set_up, tear_down)

int main(void)
{
	const struct CMUnitTest tests[] = {
		H1_TEST(test_serves_in_order),
		H1_TEST(test_refuses),
		H1_TEST(test_refuses_large_head),
		H1_TEST(test_notices_gone),
		H1_TEST(test_leaves),
		H1_TEST(test_client_reads),
		H1_TEST(test_client_awaits),
		H1_TEST(test_client_reset),
		H1_TEST(test_client_refused),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
