/*
 * HTTP client: libcurl's multi socket interface, with its sockets in the
 * shard's pollset and its time-out among the shard's timers. Connections are
 * kept alive and reused, except for requests that must never be sent twice.
 */
#include "net_private.h"

#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
	CONNECTIONS_CACHED_MAX = 1024,
	IDLE_HANDLES_MAX = 256,
	/* Most bytes of the value of a response header, with the final zero.
	 */
	HEADER_VALUE_SIZE = 32,
	HEADER_NAME_SIZE = 32,
	BODY_MIN = 1024,
	/*
	 * TCP keep-alive, which detects a peer that no longer responds: idle
	 * time before the first probe, s; interval of probes, s; number of
	 * unanswered probes after which the connection is closed.
	 */
	KEEPALIVE_IDLE_S = 1,
	KEEPALIVE_INTERVAL_S = 1,
	KEEPALIVE_PROBES = 2,
	/* Closes a connection whose bytes are not acknowledged for so long. */
	TCP_USER_TIMEOUT_MS = 2500,
};

typedef struct {
	mc_shard_t *shard;
	mc_handle_t handle;
	CURL *easy;
	struct curl_slist *headers;
	char *request_body;
	mc_http_done_fn_t done;
	void *ctx;
	char etag[HEADER_VALUE_SIZE];
	char captured_name[HEADER_NAME_SIZE];
	char captured[HEADER_VALUE_SIZE];
	char *body;
	size_t body_size;
	size_t body_capacity;
	bool too_large;
} request_t;

/* A socket of libcurl; freed when libcurl removes it. */
typedef struct {
	mc_shard_t *shard;
	curl_socket_t fd;
	mc_handle_t watch;
} socket_t;

static void finish_completed(mc_shard_t *shard);

static void run_socket_action(mc_shard_t *shard, curl_socket_t fd, int mask)
{
	int running;

	curl_multi_socket_action(shard->client.multi, fd, mask, &running);
	finish_completed(shard);
}

static void socket_ready(mc_shard_t *shard, void *arg, int events)
{
	socket_t *socket = arg;
	int mask = 0;

	if (events & MC_WATCH_READ)
		mask |= CURL_CSELECT_IN;
	if (events & MC_WATCH_WRITE)
		mask |= CURL_CSELECT_OUT;
	if (events & MC_WATCH_ERROR)
		mask |= CURL_CSELECT_ERR;
	run_socket_action(shard, socket->fd, mask);
}

static int watch_mask(int what)
{
	int events = 0;

	if (what & CURL_POLL_IN)
		events |= MC_WATCH_READ;
	if (what & CURL_POLL_OUT)
		events |= MC_WATCH_WRITE;
	return events;
}

static void add_socket(mc_shard_t *shard, curl_socket_t fd, int events)
{
	socket_t *socket = calloc(1, sizeof(*socket));

	if (!socket)
		return;
	socket->shard = shard;
	socket->fd = fd;
	if (mc_watch_add(shard, fd, events, socket_ready, socket,
			 &socket->watch)) {
		free(socket);
		return;
	}
	curl_multi_assign(shard->client.multi, fd, socket);
}

static int on_socket(CURL *easy, curl_socket_t fd, int what, void *arg,
		     void *assigned)
{
	mc_shard_t *shard = arg;
	socket_t *socket = assigned;

	(void)easy;
	if (what == CURL_POLL_REMOVE) {
		if (socket)
			mc_watch_remove(shard, socket->watch);
		free(socket);
	} else if (socket) {
		mc_watch_change(shard, socket->watch, watch_mask(what));
	} else {
		add_socket(shard, fd, watch_mask(what));
	}
	return 0;
}

static void timer_fired(mc_shard_t *shard, void *arg)
{
	(void)arg;
	run_socket_action(shard, CURL_SOCKET_TIMEOUT, 0);
}

static void run_deferred_action(mc_shard_t *shard, void *arg)
{
	(void)arg;
	shard->client.action_pending = false;
	run_socket_action(shard, CURL_SOCKET_TIMEOUT, 0);
}

static int on_timeout(CURLM *multi, long timeout, void *arg)
{
	mc_shard_t *shard = arg;
	http_client_t *client = &shard->client;

	(void)multi;
	mc_timer_cancel(shard, client->timer);
	client->timer = MC_HANDLE_NONE;
	if (timeout > 0) {
		mc_timer_set(shard, shard->now + timeout, timer_fired, NULL,
			     &client->timer);
	} else if (!timeout && !client->action_pending) {
		client->action_pending = true;
		mc_shard_defer(shard, run_deferred_action, NULL);
	}
	return 0;
}

mc_err_t http_client_init(mc_shard_t *shard)
{
	http_client_t *client = &shard->client;

	client->requests =
		mc_table_create(sizeof(request_t), MC_HTTP_EXCHANGES_MAX);
	client->multi = curl_multi_init();
	if (!client->requests || !client->multi)
		return mc_fail(MC_ERR_NO_MEMORY,
			       "no memory for the HTTP client");
	curl_multi_setopt(client->multi, CURLMOPT_SOCKETFUNCTION, on_socket);
	curl_multi_setopt(client->multi, CURLMOPT_SOCKETDATA, shard);
	curl_multi_setopt(client->multi, CURLMOPT_TIMERFUNCTION, on_timeout);
	curl_multi_setopt(client->multi, CURLMOPT_TIMERDATA, shard);
	curl_multi_setopt(client->multi, CURLMOPT_MAXCONNECTS,
			  (long)CONNECTIONS_CACHED_MAX);
	return MC_OK;
}

static void free_request(mc_shard_t *shard, request_t *request)
{
	http_client_t *client = &shard->client;

	if (request->easy) {
		curl_multi_remove_handle(client->multi, request->easy);
		if (client->idle_count < IDLE_HANDLES_MAX)
			client->idle[client->idle_count++] = request->easy;
		else
			curl_easy_cleanup(request->easy);
	}
	curl_slist_free_all(request->headers);
	free(request->request_body);
	free(request->body);
	mc_table_remove(client->requests, request->handle);
}

void http_client_destroy(mc_shard_t *shard)
{
	http_client_t *client = &shard->client;
	uint32_t cursor = 0;
	mc_handle_t handle;
	request_t *request;

	if (!client->requests)
		return;
	while ((request = mc_table_next(client->requests, &cursor, &handle)))
		free_request(shard, request);
	while (client->idle_count)
		curl_easy_cleanup(client->idle[--client->idle_count]);
	if (client->multi)
		curl_multi_cleanup(client->multi);
	mc_table_destroy(client->requests);
}

static size_t on_body_data(char *data, size_t unit, size_t count, void *arg)
{
	request_t *request = arg;
	size_t size = unit * count;
	size_t wanted = request->body_size + size + 1;
	size_t capacity = request->body_capacity;
	char *body;

	if (wanted > MC_HTTP_BODY_MAX) {
		request->too_large = true;
		return 0;
	}
	if (wanted > capacity) {
		capacity = capacity ? capacity : BODY_MIN;
		while (capacity < wanted)
			capacity *= 2;
		body = realloc(request->body, capacity);
		if (!body)
			return 0;
		request->body = body;
		request->body_capacity = capacity;
	}
	memcpy(request->body + request->body_size, data, size);
	request->body_size += size;
	request->body[request->body_size] = '\0';
	return size;
}

/* Copies the value of a header line without spaces and quotes if the line has
 * the name; a value that is too long is dropped. */
static void copy_header(const char *name, const char *line, size_t size,
			char *value)
{
	size_t length = strlen(name);
	size_t used = 0, i;

	if (!length || size <= length || line[length] != ':' ||
	    strncasecmp(line, name, length) != 0)
		return;
	for (i = length + 1; i < size; i++) {
		if (strchr(" \t\r\n\"", line[i]))
			continue;
		if (used == HEADER_VALUE_SIZE - 1) {
			used = 0;
			break;
		}
		value[used++] = line[i];
	}
	value[used] = '\0';
}

static size_t on_header(char *data, size_t unit, size_t count, void *arg)
{
	request_t *request = arg;
	size_t size = unit * count;

	copy_header("ETag", data, size, request->etag);
	copy_header(request->captured_name, data, size, request->captured);
	return size;
}

static mc_err_t error_from_curl(const request_t *request, CURLcode code)
{
	if (code == CURLE_OK)
		return MC_OK;
	if (request->too_large)
		return MC_ERR_TOO_LARGE;
	if (code == CURLE_OPERATION_TIMEDOUT)
		return MC_ERR_TIMED_OUT;
	return MC_ERR_IO;
}

static void finish_request(mc_shard_t *shard, request_t *request, CURLcode code)
{
	mc_http_response_t response = {
		.err = error_from_curl(request, code),
		.etag = request->etag,
		.captured = request->captured,
		.body = request->body ? request->body : "",
		.body_size = request->body_size,
	};
	mc_http_done_fn_t done = request->done;
	void *ctx = request->ctx;
	mc_handle_t handle = request->handle;
	long size = 0, status = 0;

	curl_easy_getinfo(request->easy, CURLINFO_REQUEST_SIZE, &size);
	curl_easy_getinfo(request->easy, CURLINFO_RESPONSE_CODE, &status);
	response.maybe_sent =
		size > 0 || code == CURLE_SEND_ERROR || code == CURLE_OK;
	response.status = response.err ? 0 : (int)status;
	done(ctx, &response);
	request = mc_table_get(shard->client.requests, handle);
	if (request)
		free_request(shard, request);
}

static void finish_completed(mc_shard_t *shard)
{
	CURLMsg *message;
	int left;

	while ((message = curl_multi_info_read(shard->client.multi, &left))) {
		CURLcode code = message->data.result;
		char *request = NULL;

		if (message->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE,
				  &request);
		finish_request(shard, (request_t *)(void *)request, code);
	}
}

static mc_err_t copy_request(request_t *pending,
			     const mc_http_request_t *request)
{
	uint32_t i;
	struct curl_slist *list;

	for (i = 0; i < request->header_count; i++) {
		list = curl_slist_append(pending->headers, request->headers[i]);
		if (!list)
			return MC_ERR_NO_MEMORY;
		pending->headers = list;
	}
	/*
	 * An empty "Expect" keeps libcurl from waiting for "100 Continue"
	 * before it sends a large body.
	 */
	list = curl_slist_append(pending->headers, "Expect:");
	if (!list)
		return MC_ERR_NO_MEMORY;
	pending->headers = list;
	if (request->captured_header)
		snprintf(pending->captured_name, sizeof(pending->captured_name),
			 "%s", request->captured_header);
	if (!request->body)
		return MC_OK;
	pending->request_body = malloc(request->body_size + 1);
	if (!pending->request_body)
		return MC_ERR_NO_MEMORY;
	memcpy(pending->request_body, request->body, request->body_size);
	return MC_OK;
}

static CURL *get_easy_handle(http_client_t *client)
{
	CURL *easy;

	if (!client->idle_count)
		return curl_easy_init();
	easy = client->idle[--client->idle_count];
	curl_easy_reset(easy);
	return easy;
}

static int on_socket_created(void *arg, curl_socket_t fd, curlsocktype purpose)
{
	const int on = 1, idle = KEEPALIVE_IDLE_S,
		  interval = KEEPALIVE_INTERVAL_S, probes = KEEPALIVE_PROBES;
	const unsigned int user_timeout = TCP_USER_TIMEOUT_MS;

	(void)arg;
	(void)purpose;
	setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle, sizeof(idle));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval, sizeof(interval));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout,
		   sizeof(user_timeout));
	return CURL_SOCKOPT_OK;
}

static void set_options(request_t *pending, const mc_http_request_t *request)
{
	CURL *easy = pending->easy;

	curl_easy_setopt(easy, CURLOPT_URL, request->url);
	curl_easy_setopt(easy, CURLOPT_PRIVATE, (char *)pending);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, on_socket_created);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, (long)request->timeout);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, pending->headers);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body_data);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, pending);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, pending);
	if (pending->request_body) {
		curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE,
				 (long)request->body_size);
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS,
				 pending->request_body);
	}
	if (strcmp(request->method, "GET"))
		curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request->method);
	if (request->send_once) {
		curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
		curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
	}
}

mc_err_t mc_http_send(mc_shard_t *shard, const mc_http_request_t *request,
		      mc_http_done_fn_t done, void *ctx, mc_handle_t *handle)
{
	http_client_t *client = &shard->client;
	mc_handle_t pending_handle;
	request_t *pending;
	void *slot;
	mc_err_t err = mc_table_add(client->requests, &pending_handle, &slot);

	if (err)
		return err;
	pending = slot;
	pending->shard = shard;
	pending->handle = pending_handle;
	pending->done = done;
	pending->ctx = ctx;
	pending->easy = get_easy_handle(client);
	if (!pending->easy || copy_request(pending, request)) {
		free_request(shard, pending);
		return mc_fail(MC_ERR_NO_MEMORY, "no memory for a request");
	}
	set_options(pending, request);
	if (curl_multi_add_handle(client->multi, pending->easy)) {
		free_request(shard, pending);
		return mc_fail(MC_ERR_NO_MEMORY,
			       "request not added to libcurl");
	}
	if (handle)
		*handle = pending_handle;
	return MC_OK;
}

void mc_http_cancel(mc_shard_t *shard, mc_handle_t handle)
{
	request_t *request = mc_table_get(shard->client.requests, handle);

	if (request)
		free_request(shard, request);
}
