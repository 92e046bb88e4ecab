/*
 * Sockets and threads of the raw HTTP server and client.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include "raw_http.h"

enum {
	CONNECTIONS_MAX = 1024,
	BACKLOG = 256,
	/* More connections than a listening socket with backlog 0 queues. */
	BACKLOG_FILLERS = 4,
	POLL_INTERVAL_US = 5000,
	ADDRESS_SIZE = 32,
};

/*
 * Slot of a connection. Its thread sets @fd to -1 when it exits; the thread is
 * joined when the slot is reused or the server stops.
 */
typedef struct {
	raw_server_t *server;
	pthread_t thread;
	bool used;
	int fd;
} connection_t;

struct raw_server_t {
	pthread_mutex_t lock;
	pthread_t thread;
	int listener;
	uint16_t port;
	bool stopping;
	bool frozen;
	int fillers[BACKLOG_FILLERS];
	uint32_t accepted;
	raw_handler_fn_t handler;
	void *ctx;
	connection_t connections[CONNECTIONS_MAX];
};

bool raw_get_header(const char *head, const char *name, char *value,
		    size_t size)
{
	size_t name_len = strlen(name);
	const char *line = strstr(head, "\r\n");
	size_t len;

	for (; line && line[2] != '\r'; line = strstr(line + 2, "\r\n")) {
		if (strncasecmp(line + 2, name, name_len) ||
		    line[2 + name_len] != ':')
			continue;
		line += 2 + name_len + 1;
		line += strspn(line, " ");
		len = strcspn(line, "\r");
		if (len >= size)
			len = size - 1;
		memcpy(value, line, len);
		value[len] = '\0';
		return true;
	}
	return false;
}

/* Reads up to the empty line; @extra receives the number of bytes after it. */
static bool read_head(int fd, char *head, size_t *extra)
{
	size_t size = 0;
	char *end = NULL;

	*extra = 0;
	while (!end) {
		ssize_t nread =
			recv(fd, head + size, RAW_HEAD_MAX - 1 - size, 0);

		if (nread <= 0)
			return false;
		size += (size_t)nread;
		head[size] = '\0';
		end = strstr(head, "\r\n\r\n");
		if (!end && size == RAW_HEAD_MAX - 1)
			return false;
	}
	*extra = size - (size_t)(end + 4 - head);
	return true;
}

static bool read_remaining(int fd, char *body, size_t len, size_t total)
{
	while (len < total) {
		ssize_t nread = recv(fd, body + len, total - len, 0);

		if (nread <= 0)
			return false;
		len += (size_t)nread;
	}
	return true;
}

static bool read_request(int fd, raw_request_t *request)
{
	char text[32];
	size_t extra, head_size;

	if (!read_head(fd, request->head, &extra))
		return false;
	head_size =
		(size_t)(strstr(request->head, "\r\n\r\n") + 4 - request->head);
	request->body_size = 0;
	if (raw_get_header(request->head, "Content-Length", text, sizeof(text)))
		request->body_size = strtoul(text, NULL, 10);
	if (request->body_size > RAW_BODY_MAX)
		return false;
	if (extra > request->body_size)
		extra = request->body_size;
	memcpy(request->body, request->head + head_size, extra);
	request->head[head_size] = '\0';
	request->body[request->body_size] = '\0';
	return sscanf(request->head, "%15s %511s", request->method,
		      request->target) == 2 &&
	       read_remaining(fd, request->body, extra, request->body_size);
}

static bool send_all(int fd, const char *data, size_t size)
{
	while (size) {
		ssize_t sent = send(fd, data, size, MSG_NOSIGNAL);

		if (sent <= 0)
			return false;
		data += sent;
		size -= (size_t)sent;
	}
	return true;
}

static bool is_frozen(raw_server_t *server)
{
	return __atomic_load_n(&server->frozen, __ATOMIC_RELAXED) &&
	       !__atomic_load_n(&server->stopping, __ATOMIC_RELAXED);
}

static void send_endlessly(int fd, const char *filler)
{
	while (send_all(fd, filler, RAW_FILLER_SIZE))
		;
}

static void serve_connection(connection_t *connection, int fd)
{
	const struct linger linger = { .l_onoff = 1 };
	raw_server_t *server = connection->server;
	raw_request_t *request = calloc(1, sizeof(*request));
	char *response = malloc(RAW_RESPONSE_MAX);
	raw_connection_action_t action = RAW_KEEP;

	request->body = malloc(RAW_BODY_MAX + 1);
	while (action == RAW_KEEP && read_request(fd, request)) {
		size_t size = 0;

		while (is_frozen(server))
			usleep(POLL_INTERVAL_US);
		request->number++;
		action = server->handler(server->ctx, request, response, &size);
		if (!send_all(fd, response, size))
			break;
		if (action == RAW_ENDLESS)
			send_endlessly(fd, response + size - RAW_FILLER_SIZE);
	}
	if (action == RAW_RESET)
		setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
	free(request->body);
	free(request);
	free(response);
}

static void *run_connection(void *arg)
{
	connection_t *connection = arg;
	raw_server_t *server = connection->server;
	int fd = connection->fd;

	serve_connection(connection, fd);
	pthread_mutex_lock(&server->lock);
	connection->fd = -1;
	close(fd);
	pthread_mutex_unlock(&server->lock);
	return NULL;
}

static void add_connection(raw_server_t *server, int fd)
{
	connection_t *slot = NULL;
	uint32_t i;

	pthread_mutex_lock(&server->lock);
	server->accepted++;
	for (i = 0; !slot && i < CONNECTIONS_MAX; i++)
		if (!server->connections[i].used ||
		    server->connections[i].fd < 0)
			slot = &server->connections[i];
	if (!slot || server->stopping) {
		close(fd);
		pthread_mutex_unlock(&server->lock);
		return;
	}
	if (slot->used)
		pthread_join(slot->thread, NULL);
	slot->used = true;
	slot->server = server;
	slot->fd = fd;
	pthread_create(&slot->thread, NULL, run_connection, slot);
	pthread_mutex_unlock(&server->lock);
}

static void *run_server(void *arg)
{
	raw_server_t *server = arg;
	int fd;

	for (;;) {
		fd = accept(server->listener, NULL, NULL);
		if (fd >= 0)
			add_connection(server, fd);
		else if (errno != EINTR && errno != ECONNABORTED)
			return NULL;
	}
}

/* Listens on the server's port, also after the listener was closed. */
static void open_listener(raw_server_t *server, int backlog)
{
	const int on = 1;
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_port = htons(server->port),
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};

	server->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	setsockopt(server->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(server->listener, (struct sockaddr *)&address,
		 sizeof(address)) ||
	    listen(server->listener, backlog))
		abort();
}

static void start_listening(raw_server_t *server)
{
	open_listener(server, BACKLOG);
	pthread_create(&server->thread, NULL, run_server, server);
}

static void stop_listening(raw_server_t *server)
{
	shutdown(server->listener, SHUT_RDWR);
	pthread_join(server->thread, NULL);
	close(server->listener);
	server->listener = -1;
}

raw_server_t *raw_server_start(raw_handler_fn_t handler, void *ctx)
{
	raw_server_t *server = calloc(1, sizeof(*server));

	pthread_mutex_init(&server->lock, NULL);
	server->handler = handler;
	server->ctx = ctx;
	server->port = harness_free_port("127.0.0.1");
	start_listening(server);
	return server;
}

uint16_t raw_server_port(const raw_server_t *server)
{
	return server->port;
}

void raw_server_drop_connections(raw_server_t *server)
{
	uint32_t i;

	pthread_mutex_lock(&server->lock);
	for (i = 0; i < CONNECTIONS_MAX; i++)
		if (server->connections[i].used &&
		    server->connections[i].fd >= 0)
			shutdown(server->connections[i].fd, SHUT_RDWR);
	pthread_mutex_unlock(&server->lock);
}

void raw_server_set_refusing(raw_server_t *server, bool refuse)
{
	if (refuse && server->listener >= 0)
		stop_listening(server);
	else if (!refuse && server->listener < 0)
		start_listening(server);
}

/*
 * Opens connections that are never accepted. They fill the backlog, so that
 * further ones hang in their handshake.
 */
static void fill_backlog(raw_server_t *server)
{
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_port = htons(server->port),
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	int i;

	for (i = 0; i < BACKLOG_FILLERS; i++) {
		server->fillers[i] =
			socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
		if (connect(server->fillers[i], (struct sockaddr *)&address,
			    sizeof(address)) &&
		    errno != EINPROGRESS)
			abort();
	}
}

void raw_server_set_frozen(raw_server_t *server, bool freeze)
{
	int i;

	if (freeze == is_frozen(server))
		return;
	__atomic_store_n(&server->frozen, freeze, __ATOMIC_RELAXED);
	if (freeze) {
		stop_listening(server);
		open_listener(server, 0);
		fill_backlog(server);
		return;
	}
	for (i = 0; i < BACKLOG_FILLERS; i++)
		close(server->fillers[i]);
	close(server->listener);
	start_listening(server);
}

uint32_t raw_server_connection_count(raw_server_t *server)
{
	uint32_t count;

	pthread_mutex_lock(&server->lock);
	count = server->accepted;
	pthread_mutex_unlock(&server->lock);
	return count;
}

void raw_server_stop(raw_server_t *server)
{
	uint32_t i;

	if (!server)
		return;
	pthread_mutex_lock(&server->lock);
	__atomic_store_n(&server->stopping, true, __ATOMIC_RELAXED);
	pthread_mutex_unlock(&server->lock);
	raw_server_set_frozen(server, false);
	raw_server_set_refusing(server, true);
	raw_server_drop_connections(server);
	for (i = 0; i < CONNECTIONS_MAX; i++)
		if (server->connections[i].used)
			pthread_join(server->connections[i].thread, NULL);
	pthread_mutex_destroy(&server->lock);
	free(server);
}

int raw_connect(uint16_t port)
{
	char address[ADDRESS_SIZE];

	snprintf(address, sizeof(address), "127.0.0.1:%u", port);
	return raw_connect_address(address);
}

static bool parse_address(const char *text, struct sockaddr_in *address)
{
	const char *colon = strchr(text, ':');
	char ip[ADDRESS_SIZE];

	if (!colon)
		return false;
	snprintf(ip, sizeof(ip), "%.*s", (int)(colon - text), text);
	*address = (struct sockaddr_in){
		.sin_family = AF_INET,
		.sin_port = htons((uint16_t)strtoul(colon + 1, NULL, 10)),
	};
	return inet_pton(AF_INET, ip, &address->sin_addr) == 1;
}

int raw_connect_address(const char *text)
{
	struct sockaddr_in address;
	struct timeval timeout = { .tv_sec = HARNESS_CALL_MS / 1000 };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	if (!parse_address(text, &address) ||
	    connect(fd, (const struct sockaddr *)&address, sizeof(address))) {
		close(fd);
		return -1;
	}
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
	return fd;
}

bool raw_send(int fd, const char *text)
{
	return send_all(fd, text, strlen(text));
}

int raw_read_response(int fd, char *head, char *body, size_t size)
{
	char text[32] = "0";
	size_t extra, body_size, head_size;
	int status = 0;

	if (!read_head(fd, head, &extra))
		return 0;
	head_size = (size_t)(strstr(head, "\r\n\r\n") + 4 - head);
	raw_get_header(head, "Content-Length", text, sizeof(text));
	body_size = strtoul(text, NULL, 10);
	if (body_size >= size || extra > body_size)
		return 0;
	memcpy(body, head + head_size, extra);
	body[body_size] = '\0';
	head[head_size] = '\0';
	if (!read_remaining(fd, body, extra, body_size))
		return 0;
	sscanf(head, "HTTP/1.1 %d", &status);
	return status;
}
