/*
 * What the stand-ins share: an HTTP server whose requests can be put off
 * without a thread each, and one timer thread that takes them up again. A
 * handler is called for each whole request, and once more after each delay.
 */
#ifndef STANDIN_H
#define STANDIN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

#include <jansson.h>
#include <microhttpd.h>

enum {
	STANDIN_US_PER_MS = 1000,
	/* Most bytes of a request's body. */
	STANDIN_BODY_MAX = 4 << 20,
};

/**
 * struct standin_exchange_t - one request
 * @connection: libmicrohttpd's connection
 * @method: HTTP method
 * @path: path without the query part
 * @body: zero-terminated body, never NULL
 * @size: bytes of @body
 * @work: the handler's own, freed with @free_work
 * @free_work: called at the end of the request if @work is set
 * @due: time at which the timer thread takes it up, microseconds
 * @queued: it is in the timer thread's list
 */
typedef struct standin_exchange_t {
	struct MHD_Connection *connection;
	const char *method;
	const char *path;
	char *body;
	size_t size;
	void *handler_data;
	void (*free_handler_data)(void *work);
	int64_t due;
	bool queued;
	TAILQ_ENTRY(standin_exchange_t) timer;
} standin_exchange_t;

/** standin_handler_t - replies, delays, or closes by MHD_NO */
typedef enum MHD_Result (*standin_handler_fn_t)(void *ctx,
						standin_exchange_t *exchange);

/** standin_now_us() - monotonic time, microseconds */
int64_t standin_now_us(void);

/** standin_start_timers() - start the timer thread; once, before serving */
void standin_start_timers(void);

/**
 * standin_serve() - serve on 127.0.0.1 in a thread
 * @port: port; 0 lets the kernel choose
 * @handler: called for each request
 * @ctx: passed to @handler
 *
 * Return: the port; the process ends when it can't be had.
 */
uint16_t standin_serve(uint16_t port, standin_handler_fn_t handler, void *ctx);

/** standin_delay() - call the handler again at @due, microseconds */
enum MHD_Result standin_delay(standin_exchange_t *exchange, int64_t due);

/** standin_wake() - end a delay now; nothing if it has ended */
void standin_resume(standin_exchange_t *exchange);

/** standin_reply() - answer with text; @etag may be NULL */
enum MHD_Result standin_reply(standin_exchange_t *exchange, unsigned int status,
			      const char *etag, const char *body, size_t size);

/** standin_reply_json() - answer with @json, whose reference is taken */
enum MHD_Result standin_reply_json(standin_exchange_t *exchange,
				   unsigned int status, json_t *json);

/** standin_argument() - value in the URL's query part, or NULL */
const char *standin_query_argument(const standin_exchange_t *exchange,
				   const char *name);

/** standin_header() - value of a request header, or NULL */
const char *standin_header(const standin_exchange_t *exchange,
			   const char *name);

/** standin_option() - number after the option @name, or @otherwise */
long standin_option(int argc, char **argv, const char *name, long otherwise);

/** standin_print_port() - print "port N" for the process that started us */
void standin_print_port(uint16_t port);

/** standin_block_signals() - before any thread is started */
void standin_block_signals(void);

/** standin_wait_end() - wait for SIGTERM or SIGINT and end the process */
_Noreturn void standin_wait_for_exit_signal(void);

#endif
