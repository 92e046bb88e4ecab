/*
 * HTTP server of the stand-ins. Requests can be delayed without one thread per
 * request: a single timer thread resumes them. The handler is called for each
 * complete request, and again after each delay.
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
	/* Largest body of a request, bytes. */
	STANDIN_BODY_MAX = 4 << 20,
};

/**
 * struct standin_exchange_t - one request and its response
 * @connection: connection of libmicrohttpd
 * @method: HTTP method
 * @path: path without the query string
 * @body: zero-terminated body, never NULL
 * @size: size of @body, bytes
 * @handler_data: state of the handler; NULL at its first call for the request
 * @free_handler_data: called at the end of the request to free @handler_data,
 *	if that is set
 * @due: time at which the timer thread resumes the request, as
 *	standin_now_us(); microseconds
 * @queued: whether the request is in the list of the timer thread
 * @timer: entry in that list
 */
typedef struct standin_exchange_t {
	struct MHD_Connection *connection;
	const char *method;
	const char *path;
	char *body;
	size_t size;
	void *handler_data;
	void (*free_handler_data)(void *data);
	int64_t due;
	bool queued;
	TAILQ_ENTRY(standin_exchange_t) timer;
} standin_exchange_t;

/**
 * standin_handler_fn_t - Handle a request
 * @ctx: context of standin_serve()
 * @exchange: the request
 *
 * Return: result of standin_reply(), standin_reply_json() or standin_delay(),
 * one of which must have been called; MHD_NO closes the connection instead.
 */
typedef enum MHD_Result (*standin_handler_fn_t)(void *ctx,
						standin_exchange_t *exchange);

/** standin_now_us() - Return the monotonic time, microseconds */
int64_t standin_now_us(void);

/**
 * standin_start_timers() - Start the timer thread
 *
 * Called once, before standin_serve(). Exits the process on failure.
 */
void standin_start_timers(void);

/**
 * standin_serve() - Serve on 127.0.0.1 in a new thread
 * @port: port; 0 lets the kernel choose one
 * @handler: called for each request
 * @ctx: passed to @handler
 *
 * Exits the process if the port cannot be used.
 *
 * Return: the port.
 */
uint16_t standin_serve(uint16_t port, standin_handler_fn_t handler, void *ctx);

/**
 * standin_delay() - Suspend a request until a time
 * @exchange: the request
 * @due: time at which the handler is called again, as standin_now_us();
 *	microseconds
 *
 * Return: result for the handler to return.
 */
enum MHD_Result standin_delay(standin_exchange_t *exchange, int64_t due);

/**
 * standin_resume() - End the delay of a request at once
 * @exchange: the request; nothing is done if it is not delayed
 */
void standin_resume(standin_exchange_t *exchange);

/**
 * standin_reply() - Send a response
 * @exchange: the request
 * @status: HTTP status
 * @etag: value of the ETag header; NULL sends none
 * @body: body, which is copied
 * @size: size of @body, bytes
 *
 * Return: result for the handler to return.
 */
enum MHD_Result standin_reply(standin_exchange_t *exchange, unsigned int status,
			      const char *etag, const char *body, size_t size);

/**
 * standin_reply_json() - Send a JSON response
 * @exchange: the request
 * @status: HTTP status
 * @json: body; the reference is taken over
 *
 * Return: result for the handler to return.
 */
enum MHD_Result standin_reply_json(standin_exchange_t *exchange,
				   unsigned int status, json_t *json);

/** standin_query_argument() - Return a value of the query string, or NULL */
const char *standin_query_argument(const standin_exchange_t *exchange,
				   const char *name);

/** standin_header() - Return the value of a request header, or NULL */
const char *standin_header(const standin_exchange_t *exchange,
			   const char *name);

/**
 * standin_option() - Return the number that follows a command-line option
 * @argc: number of @argv
 * @argv: arguments of main()
 * @name: name of the option
 * @default_value: result if the option is missing
 */
long standin_option(int argc, char **argv, const char *name,
		    long default_value);

/**
 * standin_print_port() - Print "port N" to standard output
 * @port: the port N, which the parent process reads
 */
void standin_print_port(uint16_t port);

/**
 * standin_block_signals() - Block SIGTERM and SIGINT, ignore SIGPIPE
 *
 * Called before any thread is started, so that all threads inherit the mask.
 */
void standin_block_signals(void);

/** standin_wait_for_exit_signal() - Wait for SIGTERM or SIGINT and exit */
_Noreturn void standin_wait_for_exit_signal(void);

#endif
