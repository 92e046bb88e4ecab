/*
 * HTTP server and timer thread of the stand-ins. The list of delayed requests
 * is sorted by time and has its own lock, which is last in the lock order.
 */
#include <arpa/inet.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "standin.h"

enum {
	US_PER_S = 1000000,
	NS_PER_US = 1000,
	CONNECTIONS_MAX = 1000,
};

TAILQ_HEAD(exchange_list_t, standin_exchange_t);

typedef struct timers_t {
	pthread_mutex_t lock;
	pthread_cond_t changed;
	struct exchange_list_t delayed;
} timers_t;

typedef struct server_t {
	standin_handler_fn_t handler;
	void *ctx;
} server_t;

static timers_t timers = { .lock = PTHREAD_MUTEX_INITIALIZER };

int64_t standin_now_us(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (int64_t)now.tv_sec * US_PER_S + now.tv_nsec / NS_PER_US;
}

static void wait_until(int64_t due)
{
	struct timespec deadline = { .tv_sec = due / US_PER_S,
				     .tv_nsec = due % US_PER_S * NS_PER_US };

	pthread_cond_timedwait(&timers.changed, &timers.lock, &deadline);
}

static void *run_timers(void *arg)
{
	standin_exchange_t *first;

	pthread_mutex_lock(&timers.lock);
	for (;;) {
		first = TAILQ_FIRST(&timers.delayed);
		if (!first) {
			pthread_cond_wait(&timers.changed, &timers.lock);
			continue;
		}
		if (first->due > standin_now_us()) {
			wait_until(first->due);
			continue;
		}
		TAILQ_REMOVE(&timers.delayed, first, timer);
		first->queued = false;
		MHD_resume_connection(first->connection);
	}
	return arg;
}

void standin_start_timers(void)
{
	pthread_condattr_t attr;
	pthread_t thread;

	TAILQ_INIT(&timers.delayed);
	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(&timers.changed, &attr);
	pthread_condattr_destroy(&attr);
	if (pthread_create(&thread, NULL, run_timers, NULL))
		exit(EXIT_FAILURE);
}

/*
 * Inserts a request into the sorted list. The caller holds the lock. The list
 * is searched from its end, since most delays are equal.
 */
static void insert_delayed(standin_exchange_t *exchange)
{
	standin_exchange_t *prev = TAILQ_LAST(&timers.delayed, exchange_list_t);

	while (prev && prev->due > exchange->due)
		prev = TAILQ_PREV(prev, exchange_list_t, timer);
	if (prev)
		TAILQ_INSERT_AFTER(&timers.delayed, prev, exchange, timer);
	else
		TAILQ_INSERT_HEAD(&timers.delayed, exchange, timer);
	exchange->queued = true;
	if (TAILQ_FIRST(&timers.delayed) == exchange)
		pthread_cond_signal(&timers.changed);
}

enum MHD_Result standin_delay(standin_exchange_t *exchange, int64_t due)
{
	MHD_suspend_connection(exchange->connection);
	pthread_mutex_lock(&timers.lock);
	exchange->due = due;
	insert_delayed(exchange);
	pthread_mutex_unlock(&timers.lock);
	return MHD_YES;
}

void standin_resume(standin_exchange_t *exchange)
{
	pthread_mutex_lock(&timers.lock);
	if (exchange->queued) {
		TAILQ_REMOVE(&timers.delayed, exchange, timer);
		exchange->due = 0;
		insert_delayed(exchange);
	}
	pthread_mutex_unlock(&timers.lock);
}

static standin_exchange_t *exchange_create(struct MHD_Connection *connection)
{
	standin_exchange_t *exchange = calloc(1, sizeof(*exchange));

	if (!exchange)
		return NULL;
	exchange->connection = connection;
	exchange->body = calloc(1, 1);
	if (!exchange->body) {
		free(exchange);
		return NULL;
	}
	return exchange;
}

static bool exchange_append(standin_exchange_t *exchange, const char *data,
			    size_t size)
{
	char *body;

	if (exchange->size + size > STANDIN_BODY_MAX)
		return false;
	body = realloc(exchange->body, exchange->size + size + 1);
	if (!body)
		return false;
	memcpy(body + exchange->size, data, size);
	exchange->body = body;
	exchange->size += size;
	body[exchange->size] = '\0';
	return true;
}

static enum MHD_Result handle_request(void *ctx,
				      struct MHD_Connection *connection,
				      const char *url, const char *method,
				      const char *protocol, const char *data,
				      size_t *size, void **state)
{
	server_t *server = ctx;
	standin_exchange_t *exchange = *state;
	enum MHD_Result result;

	(void)protocol;
	if (!exchange) {
		*state = exchange_create(connection);
		return *state ? MHD_YES : MHD_NO;
	}
	if (*size) {
		if (!exchange_append(exchange, data, *size))
			return MHD_NO;
		*size = 0;
		return MHD_YES;
	}
	exchange->method = method;
	exchange->path = url;
	result = server->handler(server->ctx, exchange);
	return result;
}

static void free_exchange(void *ctx, struct MHD_Connection *connection,
			  void **state, enum MHD_RequestTerminationCode code)
{
	standin_exchange_t *exchange = *state;

	(void)ctx;
	(void)connection;
	(void)code;
	if (!exchange)
		return;
	if (exchange->handler_data)
		exchange->free_handler_data(exchange->handler_data);
	free(exchange->body);
	free(exchange);
	*state = NULL;
}

uint16_t standin_serve(uint16_t port, standin_handler_fn_t handler, void *ctx)
{
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_port = htons(port),
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	server_t *server = calloc(1, sizeof(*server));
	struct MHD_Daemon *daemon;

	if (!server)
		exit(EXIT_FAILURE);
	*server = (server_t){ .handler = handler, .ctx = ctx };
	daemon = MHD_start_daemon(
		MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME, port,
		NULL, NULL, handle_request, server, MHD_OPTION_SOCK_ADDR,
		&address, MHD_OPTION_NOTIFY_COMPLETED, free_exchange, NULL,
		MHD_OPTION_CONNECTION_LIMIT, (unsigned int)CONNECTIONS_MAX,
		MHD_OPTION_END);
	if (!daemon) {
		fprintf(stderr, "cannot listen on 127.0.0.1:%d\n", port);
		exit(EXIT_FAILURE);
	}
	return MHD_get_daemon_info(daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
}

enum MHD_Result standin_reply(standin_exchange_t *exchange, unsigned int status,
			      const char *etag, const char *body, size_t size)
{
	struct MHD_Response *response;
	enum MHD_Result result;

	response = MHD_create_response_from_buffer(size, (void *)body,
						   MHD_RESPMEM_MUST_COPY);
	if (!response)
		return MHD_NO;
	MHD_add_response_header(response, MHD_HTTP_HEADER_CONTENT_TYPE,
				"application/json");
	if (etag)
		MHD_add_response_header(response, MHD_HTTP_HEADER_ETAG, etag);
	result = MHD_queue_response(exchange->connection, status, response);
	MHD_destroy_response(response);
	return result;
}

enum MHD_Result standin_reply_json(standin_exchange_t *exchange,
				   unsigned int status, json_t *json)
{
	char *text = json_dumps(json, JSON_COMPACT);
	enum MHD_Result result = MHD_NO;

	json_decref(json);
	if (text)
		result = standin_reply(exchange, status, NULL, text,
				       strlen(text));
	free(text);
	return result;
}

const char *standin_query_argument(const standin_exchange_t *exchange,
				   const char *name)
{
	return MHD_lookup_connection_value(exchange->connection,
					   MHD_GET_ARGUMENT_KIND, name);
}

const char *standin_header(const standin_exchange_t *exchange, const char *name)
{
	return MHD_lookup_connection_value(exchange->connection,
					   MHD_HEADER_KIND, name);
}

long standin_option(int argc, char **argv, const char *name, long default_value)
{
	int i;

	for (i = 1; i + 1 < argc; i++)
		if (!strcmp(argv[i], name))
			return strtol(argv[i + 1], NULL, 10);
	return default_value;
}

void standin_print_port(uint16_t port)
{
	printf("port %d\n", port);
	fflush(stdout);
}

static void fill_exit_signals(sigset_t *set)
{
	sigemptyset(set);
	sigaddset(set, SIGTERM);
	sigaddset(set, SIGINT);
}

void standin_block_signals(void)
{
	sigset_t set;

	fill_exit_signals(&set);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
	signal(SIGPIPE, SIG_IGN);
}

_Noreturn void standin_wait_for_exit_signal(void)
{
	sigset_t set;
	int number;

	fill_exit_signals(&set);
	sigwait(&set, &number);
	_exit(EXIT_SUCCESS);
}
