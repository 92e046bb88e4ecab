/*
 * Stand-in for a searcher: echoes the attempt id, signs its answers, tells its
 * load, and answers 421 to a request that is meant for another searcher.
 */
#include "harness.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net.h"

enum {
	CONNECTIONS_MAX = 4096,
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

typedef struct {
	searcher_t *searcher;
	int fd;
} connection_t;

static connection_t *open_connections[CONNECTIONS_MAX];

static void add_connection(connection_t *connection)
{
	int i;

	pthread_mutex_lock(&lock);
	for (i = 0; i < CONNECTIONS_MAX && open_connections[i]; i++)
		;
	if (i < CONNECTIONS_MAX)
		open_connections[i] = connection;
	pthread_mutex_unlock(&lock);
}

static void remove_connection(connection_t *connection)
{
	int i;

	pthread_mutex_lock(&lock);
	for (i = 0; i < CONNECTIONS_MAX; i++)
		if (open_connections[i] == connection)
			open_connections[i] = NULL;
	close(connection->fd);
	pthread_mutex_unlock(&lock);
	free(connection);
}

static void add_arrival(searcher_t *searcher, const char *attempt, bool ran)
{
	arrival_t *arrival;

	pthread_mutex_lock(&lock);
	if (searcher->arrival_count == searcher->arrival_capacity) {
		searcher->arrival_capacity =
			searcher->arrival_capacity * 2 + 256;
		searcher->arrivals =
			realloc(searcher->arrivals,
				(size_t)searcher->arrival_capacity *
					sizeof(*searcher->arrivals));
	}
	arrival = &searcher->arrivals[searcher->arrival_count++];
	*arrival = (arrival_t){ .at = now_ms(), .ran = ran };
	snprintf(arrival->attempt, NAME_SIZE, "%s", attempt);
	pthread_mutex_unlock(&lock);
}

static bool answer_request(searcher_t *searcher, int fd,
			   const message_t *request)
{
	char attempt[NAME_SIZE], expected[NAME_SIZE], text[2048];
	char body[64] = "";
	answer_t answer = { .status = 200, .work_ms = searcher->work_ms };
	bool is_head = !strcmp(request->method, "HEAD");
	int running, size;

	header_get(request, "Mangocove-Attempt-Id", attempt, sizeof(attempt));
	header_get(request, "Mangocove-Expect-Instance", expected,
		   sizeof(expected));
	if (*expected && strcmp(expected, searcher->id) != 0) {
		answer.status = 421;
		answer.not_run = true;
	} else if (searcher->handler) {
		searcher->handler(searcher, request, &answer);
	}
	if (answer.status != 421)
		add_arrival(searcher, attempt, !answer.not_run);
	record("searcher %s: %s %s attempt %s: %s, status %d%s", searcher->id,
	       request->method, request->path, attempt,
	       answer.not_run ? "not run" : "run", answer.status,
	       answer.drop ? ", no answer" : "");
	running = __atomic_add_fetch(&searcher->running, 1, __ATOMIC_RELAXED);
	if (!answer.not_run)
		sleep_ms(answer.work_ms);
	__atomic_sub_fetch(&searcher->running, 1, __ATOMIC_RELAXED);
	if (answer.drop)
		return false;
	/* 16 bytes are one record of a part. */
	snprintf(body, sizeof(body), "%-15.15s\n", searcher->id);
	size = snprintf(text, sizeof(text),
			"HTTP/1.1 %d Status\r\n"
			"Mangocove-Attempt-Id: %s\r\n"
			"Mangocove-Server-Load: %d,0,%d\r\n%s",
			answer.status, attempt, running, searcher->slots,
			answer.headers);
	size += snprintf(text + size, sizeof(text) - (size_t)size,
			 answer.not_run ? "Mangocove-Not-Executed: 1\r\n"
					: "Mangocove-Server-Stamp: %s.%s\r\n",
			 searcher->id, attempt);
	if (answer.trailer[0])
		size += snprintf(text + size, sizeof(text) - (size_t)size,
				 "Transfer-Encoding: chunked\r\n\r\n"
				 "%zx\r\n%s\r\n0\r\n%s\r\n",
				 strlen(body), body, answer.trailer);
	else
		size += snprintf(text + size, sizeof(text) - (size_t)size,
				 "Content-Length: %zu\r\n\r\n%s", strlen(body),
				 is_head ? "" : body);
	return net_write(fd, text, (size_t)size);
}

static void *serve_connection(void *arg)
{
	connection_t *connection = arg;
	searcher_t *searcher = connection->searcher;
	message_t *request = malloc(sizeof(*request));
	const int on = 1;

	setsockopt(connection->fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	while (!searcher->down &&
	       net_read_message(connection->fd, request, false) &&
	       !searcher->down)
		if (!answer_request(searcher, connection->fd, request))
			break;
	free(request);
	remove_connection(connection);
	return NULL;
}

static void *accept_connections(void *arg)
{
	searcher_t *searcher = arg;
	connection_t *connection;
	int listening = searcher->listen_fd, fd;

	for (;;) {
		fd = accept4(listening, NULL, NULL, SOCK_CLOEXEC);
		if (fd < 0)
			return NULL;
		connection = calloc(1, sizeof(*connection));
		connection->searcher = searcher;
		connection->fd = fd;
		add_connection(connection);
		thread_start(serve_connection, connection);
	}
	return NULL;
}

searcher_t *searcher_new(const char *service, const char *id, const char *zone)
{
	searcher_t *searcher = calloc(1, sizeof(*searcher));

	snprintf(searcher->service, NAME_SIZE, "%s", service);
	snprintf(searcher->id, NAME_SIZE, "%s", id);
	snprintf(searcher->zone, NAME_SIZE, "%s", zone);
	snprintf(searcher->version, NAME_SIZE, "v1");
	searcher->slots = 4;
	searcher->born = wall_ms();
	searcher->work_ms = 5;
	searcher->listen_fd = net_listen(&searcher->port);
	thread_start(accept_connections, searcher);
	record("searcher %s of %s at port %d", id, service, searcher->port);
	return searcher;
}

int64_t searcher_register(searcher_t *searcher, const char *state)
{
	static unsigned int sequence;
	char spec[512];

	snprintf(spec, sizeof(spec),
		 "{\"id\":\"%s\",\"backend\":\"%s\","
		 "\"address\":\"127.0.0.1:%d\",\"zone\":\"%s\","
		 "\"version\":\"%s\",\"slots\":%d,\"state\":\"%s\","
		 "\"warmupLeftMs\":%d,\"seq\":%u,\"born\":%lld}",
		 searcher->id, searcher->service, searcher->port,
		 searcher->zone, searcher->version, searcher->slots, state,
		 searcher->warmup_left_ms, ++sequence,
		 (long long)searcher->born);
	return store_put("servers", searcher->id, spec);
}

void searcher_stop(searcher_t *searcher)
{
	int i;

	searcher->down = true;
	shutdown(searcher->listen_fd, SHUT_RDWR);
	close(searcher->listen_fd);
	pthread_mutex_lock(&lock);
	for (i = 0; i < CONNECTIONS_MAX; i++)
		if (open_connections[i] &&
		    open_connections[i]->searcher == searcher)
			shutdown(open_connections[i]->fd, SHUT_RDWR);
	pthread_mutex_unlock(&lock);
	record("searcher %s stopped", searcher->id);
}

void searcher_resume(searcher_t *searcher)
{
	searcher->listen_fd = net_listen(&searcher->port);
	searcher->down = false;
	thread_start(accept_connections, searcher);
	record("searcher %s resumed", searcher->id);
}

int searcher_count(searcher_t *searcher, int64_t from, int64_t to)
{
	int count = 0, i;

	pthread_mutex_lock(&lock);
	for (i = 0; i < searcher->arrival_count; i++)
		count += searcher->arrivals[i].at >= from &&
			 searcher->arrivals[i].at < to;
	pthread_mutex_unlock(&lock);
	return count;
}

int searcher_runs(searcher_t *searcher, const char *attempt)
{
	int count = 0, i;

	pthread_mutex_lock(&lock);
	for (i = 0; i < searcher->arrival_count; i++)
		count += searcher->arrivals[i].ran &&
			 !strcmp(searcher->arrivals[i].attempt, attempt);
	pthread_mutex_unlock(&lock);
	return count;
}
