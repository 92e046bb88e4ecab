/*
 * System tests of malformed input: invalid requests at a front's port for
 * callers, and bytes that are not valid frames at the ports for peers. A
 * request is refused with an error, a peer's connection is closed, each is
 * counted, and searches still succeed.
 */
#include <arpa/inet.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <cmocka.h>

#include "cluster.h"

enum {
	/* One byte above the largest body that a front accepts, 4 MiB. */
	LARGE_BODY_SIZE = (4 << 20) + 1,
	/* Connections to each port that send only part of a message. */
	PARTIAL_MESSAGES = 40,
	LONG_NAME_CHARACTERS = 600,
	LOG_SIZE = 1 << 20,
	PATH_SIZE = 512,
	RECEIVE_TIMEOUT_S = 30,
};

typedef struct bad_request_t {
	const char *method;
	const char *path;
	const char *header;
	const char *body;
	int status;
	const char *error;
} bad_request_t;

static void check_request_refused(const cluster_instance_t *instance,
				  const bad_request_t *bad)
{
	char url[2 * HARNESS_URL_SIZE];
	harness_reply_t reply;

	snprintf(url, sizeof(url), "%s%s", instance->url, bad->path);
	reply = harness_http(&(harness_request_t){ .method = bad->method,
						   .url = url,
						   .headers = { bad->header },
						   .body = bad->body });
	assert_int_equal(reply.status, bad->status);
	assert_string_equal(cluster_reply_error_kind(&reply), bad->error);
	assert_true(cluster_reply_is_not_run(&reply));
	harness_reply_free(&reply);
}

/* Returns the value of a counter that the front exports. */
static long read_metric(const cluster_instance_t *instance, const char *name)
{
	char url[2 * HARNESS_URL_SIZE], line[PATH_SIZE];
	harness_reply_t reply;
	const char *found;
	long value;

	snprintf(url, sizeof(url), "%s/v1/metrics", instance->url);
	reply = harness_http(
		&(harness_request_t){ .method = "GET", .url = url });
	snprintf(line, sizeof(line), "\n%s ", name);
	found = strstr(reply.body, line);
	assert_non_null(found);
	value = strtol(found + strlen(line), NULL, 10);
	harness_reply_free(&reply);
	return value;
}

/*
 * Formats a search for a service whose name is longer than an error message,
 * which is cut within a character of two bytes.
 */
static void format_long_name(char *text)
{
	int i;

	text += sprintf(text, "{\"service\":\"x");
	for (i = 0; i < LONG_NAME_CHARACTERS; i++)
		text += sprintf(text, "\xc3\xa9");
	sprintf(text, "\",\"query\":1}");
}

static void test_bad_requests(void **state)
{
	static char large[LARGE_BODY_SIZE + 1];
	char long_name[PATH_SIZE * 4];
	const bad_request_t cases[] = {
		{ "POST", "/v1/search", NULL, large, 413, "too_large" },
		{ "POST", "/v1/run", NULL, large, 413, "too_large" },
		{ "POST", "/v1/search", NULL, "{", 400, "bad_request" },
		{ "POST", "/v1/search", NULL, "[]", 400, "bad_request" },
		{ "POST", "/v1/search", NULL, "\xff\xfe{}", 400,
		  "bad_request" },
		{ "POST", "/v1/search", "Deadline-Ms: -x", "{}", 400,
		  "bad_request" },
		{ "POST", "/v1/search", NULL,
		  "{\"service\":\"none\",\"query\":1}", 404,
		  "unknown_service" },
		{ "POST", "/v1/run", NULL,
		  "{\"service\":\"" CLUSTER_SERVICE "\",\"query\":1}", 400,
		  "bad_request" },
		{ "GET", "/v1/search", NULL, NULL, 405, "bad_method" },
		{ "GET", "/v1/none", NULL, NULL, 404, "not_found" },
		{ "GET", "/v1/%ff", NULL, NULL, 404, "not_found" },
		{ "POST", "/v1/search", NULL, long_name, 404,
		  "unknown_service" },
	};
	cluster_t *cluster = *state;
	const cluster_instance_t *instance = &cluster->instances[0];
	size_t i;

	format_long_name(long_name);
	cluster_start(cluster);
	memset(large, '1', LARGE_BODY_SIZE);
	for (i = 0; i < MC_ARRAY_LEN(cases); i++)
		check_request_refused(instance, &cases[i]);
	assert_int_equal(read_metric(instance, "bad_input"),
			 MC_ARRAY_LEN(cases));
	cluster_wait_complete_answers(cluster);
}

/* Connects to @address, "IP:PORT", sends bytes and returns the socket. */
static int connect_and_send(const char *address, const char *bytes, size_t size)
{
	const struct timeval timeout = { .tv_sec = RECEIVE_TIMEOUT_S };
	struct sockaddr_in to = { .sin_family = AF_INET };
	const char *colon = strchr(address, ':');
	char ip[CLUSTER_ADDRESS_SIZE];
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	snprintf(ip, sizeof(ip), "%.*s", (int)(colon - address), address);
	assert_int_equal(inet_pton(AF_INET, ip, &to.sin_addr), 1);
	to.sin_port = htons((uint16_t)strtoul(colon + 1, NULL, 10));
	assert_true(fd >= 0);
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
	assert_int_equal(connect(fd, (struct sockaddr *)&to, sizeof(to)), 0);
	assert_int_equal(send(fd, bytes, size, MSG_NOSIGNAL), size);
	return fd;
}

/* Checks that the other side closes a connection that carries these bytes. */
static void check_closed_after(const char *address, const char *bytes,
			       size_t size)
{
	int fd = connect_and_send(address, bytes, size);
	char byte;

	while (recv(fd, &byte, 1, 0) > 0)
		;
	assert_int_equal(send(fd, "", 0, MSG_NOSIGNAL), 0);
	assert_int_not_equal(recv(fd, &byte, 1, MSG_DONTWAIT), 1);
	close(fd);
}

/* Returns how many links the gather's log shows closed after a bad frame. */
static int count_closed_links(const cluster_t *cluster)
{
	static char text[LOG_SIZE];
	char path[PATH_SIZE];
	const char *match = text;
	FILE *file;
	int count = 0;

	snprintf(path, sizeof(path), "%s/gather-%s.log",
		 harness_output_dir(cluster->harness),
		 cluster->instances[0].ip);
	file = fopen(path, "r");
	assert_non_null(file);
	text[fread(text, 1, LOG_SIZE - 1, file)] = '\0';
	fclose(file);
	while ((match = strstr(match, "link closed after a bad frame"))) {
		count++;
		match++;
	}
	return count;
}

typedef struct frame_bytes_t {
	const char *bytes;
	size_t size;
} frame_bytes_t;

#define FRAME(text)                                       \
	{                                                 \
		.bytes = (text), .size = sizeof(text) - 1 \
	}

static const frame_bytes_t bad_frames[] = {
	/* Lengths above the largest frame; the second from an HTTP request. */
	FRAME("\xff\xff\xff\xff"),
	FRAME("GET /v1/search HTTP/1.1\r\n\r\n"),
	/*
	 * Frames whose payload is not a message: empty, nil, a number, an array
	 * that ends early, an array of an unused type code.
	 */
	FRAME("\0\0\0\0"),
	FRAME("\0\0\0\1\xc0"),
	FRAME("\0\0\0\1\x07"),
	FRAME("\0\0\0\5\xdd\xff\xff\xff\xff"),
	FRAME("\0\0\0\4\x93\xc1\xc1\xc1"),
};

static void test_bad_frames(void **state)
{
	cluster_t *cluster = *state;
	const cluster_instance_t *instance = &cluster->instances[0];
	long before;
	size_t i;

	cluster_start(cluster);
	cluster_wait_complete_answers(cluster);
	before = read_metric(instance, "bad_frames");
	for (i = 0; i < MC_ARRAY_LEN(bad_frames); i++) {
		check_closed_after(instance->gather_peer_address,
				   bad_frames[i].bytes, bad_frames[i].size);
		check_closed_after(instance->front_peer_address,
				   bad_frames[i].bytes, bad_frames[i].size);
		cluster_wait_complete_answers(cluster);
	}
	assert_int_equal(read_metric(instance, "bad_frames") - before,
			 MC_ARRAY_LEN(bad_frames));
	assert_int_equal(count_closed_links(cluster), MC_ARRAY_LEN(bad_frames));
	assert_true(harness_is_running(cluster->harness, instance->gather));
	assert_true(harness_is_running(cluster->harness, instance->front));
}

/*
 * Connections that send only the start of a frame or of a request don't delay
 * the others.
 */
static void test_partial_messages(void **state)
{
	static const char partial_frame[] = "\0\0\x10\0half";
	cluster_t *cluster = *state;
	const cluster_instance_t *instance = &cluster->instances[0];
	int fds[2 * PARTIAL_MESSAGES];
	int i;

	cluster_start(cluster);
	for (i = 0; i < PARTIAL_MESSAGES; i++) {
		fds[2 * i] = connect_and_send(instance->gather_peer_address,
					      partial_frame,
					      sizeof(partial_frame) - 1);
		fds[2 * i + 1] = connect_and_send(instance->caller_address,
						  "POST /v1/se", 11);
	}
	cluster_wait_complete_answers(cluster);
	for (i = 0; i < 2 * PARTIAL_MESSAGES; i++)
		close(fds[i]);
	cluster_wait_complete_answers(cluster);
}

static int set_up(void **state)
{
	cluster_params_t params = {
		.name = "hostile",
		.data_centers = 1,
		.instances = 1,
		.shards = 2,
		.snapshots = 1,
	};

	*state = cluster_create(&params);
	return *state ? 0 : -1;
}

#define MALFORMED_INPUT_TEST(test) \
	cmocka_unit_test_setup_teardown(test, set_up, cluster_tear_down)

int main(void)
{
	const struct CMUnitTest tests[] = {
		MALFORMED_INPUT_TEST(test_bad_requests),
		MALFORMED_INPUT_TEST(test_bad_frames),
		MALFORMED_INPUT_TEST(test_partial_messages),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
