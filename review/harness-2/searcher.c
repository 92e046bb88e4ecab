/*
 * Searchers as the pages describe sound ones: a request for another instance
 * gets 421, one without an id 400, and neither runs; each run is recorded.
 * Requests of a connection are answered one after the other.
 */
#include "kit.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

typedef struct {
	kit_searcher_t *searcher;
	int fd;
} conn_t;

static void respond(int fd, int status, const char *headers, const char *body)
{
	char text[2048];
	int size = snprintf(text, sizeof(text),
			    "HTTP/1.1 %d %s\r\n%sContent-Length: %zu\r\n\r\n%s",
			    status, status < 300 ? "OK" : "Error", headers,
			    strlen(body), body);

	kit_write(fd, text, (size_t)size);
}

static void run(kit_searcher_t *searcher, int fd, const char *method,
		const char *target, const char *id,
		const kit_message_t *message)
{
	const kit_run_t request = {
		.method = method,
		.target = target,
		.id = id,
		.body = message->body,
		.body_size = message->body_size,
	};
	kit_answer_t answer = { .status = 200 };
	char headers[512];
	uint32_t number, running;

	pthread_mutex_lock(&searcher->lock);
	number = ++searcher->runs;
	running = ++searcher->running;
	pthread_mutex_unlock(&searcher->lock);
	if (searcher->run)
		searcher->run(searcher, &request, &answer);
	kit_record("run searcher=%s service=%s version=%s id=%s method=%s "
		   "target=%s status=%d",
		   searcher->id, searcher->service, searcher->version, id,
		   method, target, answer.status);
	kit_sleep(answer.work_ms);
	pthread_mutex_lock(&searcher->lock);
	searcher->running--;
	pthread_mutex_unlock(&searcher->lock);
	if (searcher->has_exited) {
		kit_record("lost searcher=%s id=%s: the process has ended",
			   searcher->id, id);
		return;
	}
	snprintf(headers, sizeof(headers),
		 "Mangocove-Attempt-Id: %s\r\nMangocove-Server-Stamp: %s.%u\r\n"
		 "Mangocove-Server-Load: %u,0,%u\r\n",
		 id, searcher->id, number, running, searcher->slots);
	respond(fd, answer.status, headers, answer.body);
}

static void handle(kit_searcher_t *searcher, int fd, kit_message_t *message)
{
	char method[16], target[1024], id[KIT_NAME] = "", expected[KIT_NAME];
	char headers[256];

	if (sscanf(message->head, "%15s %1023s", method, target) != 2)
		return;
	kit_header(message, "Mangocove-Attempt-Id", id, sizeof(id));
	if (kit_header(message, "Mangocove-Expect-Instance", expected,
		       sizeof(expected)) &&
	    strcmp(expected, searcher->id)) {
		kit_record("rejected searcher=%s id=%s expected=%s",
			   searcher->id, id, expected);
		pthread_mutex_lock(&searcher->lock);
		searcher->rejected++;
		pthread_mutex_unlock(&searcher->lock);
		snprintf(headers, sizeof(headers),
			 "%s%s%sMangocove-Instance-Id: %s\r\n",
			 *id ? "Mangocove-Attempt-Id: " : "", id,
			 *id ? "\r\n" : "", searcher->id);
		respond(fd, 421, headers, "");
		return;
	}
	if (!*id) {
		kit_record("rejected searcher=%s without an id: %s %s",
			   searcher->id, method, target);
		respond(fd, 400, "Mangocove-Not-Executed: 1\r\n", "");
		return;
	}
	run(searcher, fd, method, target, id, message);
}

static void forget_conn(kit_searcher_t *searcher, int fd)
{
	int i;

	pthread_mutex_lock(&searcher->lock);
	for (i = 0; i < searcher->conn_count; i++)
		if (searcher->conns[i] == fd)
			searcher->conns[i] = -1;
	pthread_mutex_unlock(&searcher->lock);
}

static void *serve(void *arg)
{
	conn_t *conn = arg;
	kit_message_t *message = calloc(1, sizeof(*message));

	while (kit_read_message(conn->fd, message)) {
		handle(conn->searcher, conn->fd, message);
		free(message->body);
	}
	forget_conn(conn->searcher, conn->fd);
	close(conn->fd);
	free(message);
	free(conn);
	return NULL;
}

static void note_conn(kit_searcher_t *searcher, int fd)
{
	int i = 0;

	pthread_mutex_lock(&searcher->lock);
	while (i < searcher->conn_count && searcher->conns[i] >= 0)
		i++;
	if (i == (int)(sizeof(searcher->conns) / sizeof(searcher->conns[0])))
		kit_end(KIT_NOT_RUN, "too many connections to a searcher");
	searcher->conns[i] = fd;
	if (i == searcher->conn_count)
		searcher->conn_count++;
	pthread_mutex_unlock(&searcher->lock);
}

static void *accept_requests(void *arg)
{
	kit_searcher_t *searcher = arg;
	conn_t *conn;
	int fd;

	while ((fd = accept(searcher->listener, NULL, NULL)) >= 0) {
		conn = calloc(1, sizeof(*conn));
		conn->searcher = searcher;
		conn->fd = fd;
		note_conn(searcher, fd);
		kit_thread(serve, conn);
	}
	return NULL;
}

void kit_searcher_beat(kit_searcher_t *searcher, const char *state)
{
	char spec[1024];

	snprintf(spec, sizeof(spec),
		 "{\"backend\":\"%s\",\"address\":\"127.0.0.1:%u\","
		 "\"zone\":\"%s\",\"version\":\"%s\",\"slots\":%u,"
		 "\"state\":\"%s\",\"warmupLeftMs\":%lld,\"seq\":%llu,"
		 "\"born\":%lld}",
		 searcher->service, searcher->port, searcher->zone,
		 searcher->version, searcher->slots, state,
		 (long long)searcher->warmup_left,
		 (unsigned long long)++searcher->seq,
		 (long long)searcher->born);
	kit_store_put("servers", searcher->id, spec);
	kit_record("beat searcher=%s %s", searcher->id, spec);
}

void kit_searcher_start(kit_searcher_t *searcher)
{
	pthread_mutex_init(&searcher->lock, NULL);
	searcher->listener = kit_listen(&searcher->port);
	searcher->born = kit_wall();
	kit_thread(accept_requests, searcher);
	kit_searcher_beat(searcher, "ready");
}

void kit_searcher_exit(kit_searcher_t *searcher)
{
	int i;

	searcher->has_exited = true;
	shutdown(searcher->listener, SHUT_RDWR);
	close(searcher->listener);
	pthread_mutex_lock(&searcher->lock);
	for (i = 0; i < searcher->conn_count; i++)
		if (searcher->conns[i] >= 0)
			shutdown(searcher->conns[i], SHUT_RDWR);
	pthread_mutex_unlock(&searcher->lock);
	kit_record("exit searcher=%s", searcher->id);
}
