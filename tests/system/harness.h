/*
 * Harness of the system tests: starts and stops programs and sends them HTTP
 * requests. All processes that a test started are killed when its harness is
 * destroyed or when the test program exits in any other way. A failure in the
 * harness fails the test.
 */
#ifndef HARNESS_H
#define HARNESS_H

#include <jansson.h>
#include <sys/types.h>

#include "mc/base.h"

enum {
	HARNESS_URL_SIZE = 256,
	/* Time-out of waits for an expected event, ms. */
	HARNESS_WAIT_MS = 30000,
	/* Time-out of an HTTP request, ms. */
	HARNESS_CALL_MS = 30000,
	HARNESS_HEADERS_MAX = 4,
};

typedef struct harness_t harness_t;

/**
 * struct harness_request_t - HTTP request to send
 * @method: HTTP method
 * @url: absolute URL
 * @headers: header lines without line end; the first NULL ends the list
 * @body: request body; NULL for none
 */
typedef struct harness_request_t {
	const char *method;
	const char *url;
	const char *headers[HARNESS_HEADERS_MAX];
	const char *body;
} harness_request_t;

/**
 * struct harness_reply_t - HTTP response, or the failure to get one
 * @status: HTTP status; 0 if no complete response was received
 * @connected: whether a connection was established
 * @version: version number from the ETag header; 0 without that header
 * @body: zero-terminated body, never NULL
 * @json: parsed body; NULL if it is not valid JSON
 * @elapsed: duration of the request, ms
 */
typedef struct harness_reply_t {
	int status;
	bool connected;
	uint64_t version;
	char *body;
	json_t *json;
	mc_ms_t elapsed;
} harness_reply_t;

/* HTTP request that is sent from its own thread. */
typedef struct harness_call_t harness_call_t;

/**
 * harness_create() - Create a harness and its output directory
 * @name: name of the test; logs are written to the directory logs/NAME, or to
 *	logs/NAME.2 and so on while other harnesses use it
 *
 * Return: the harness, to be freed with harness_destroy(); NULL if memory runs
 * out.
 */
harness_t *harness_create(const char *name);

/**
 * harness_destroy() - Kill all processes of @harness and free it
 * @harness: the harness; may be NULL
 */
void harness_destroy(harness_t *harness);

/**
 * harness_output_dir() - Return the directory for logs and settings files
 * @harness: the harness
 *
 * Return: path, owned by @harness.
 */
const char *harness_output_dir(const harness_t *harness);

/**
 * harness_start() - Start a program in a new process group
 * @harness: the harness
 * @name: name of the log file, without ".log"
 * @argv: NULL-terminated arguments; the first is the path of the program
 *
 * Return: handle of the process.
 */
mc_handle_t harness_start(harness_t *harness, const char *name,
			  const char *const *argv);

/**
 * harness_read_port() - Read the line "port N" from the output of a program
 * @harness: the harness
 * @process: the program, started with harness_start()
 *
 * Waits for the line; fails the test if another line or none is read.
 *
 * Return: the port N.
 */
uint16_t harness_read_port(harness_t *harness, mc_handle_t process);

/**
 * harness_stop() - Send a signal to a process and wait until it exits
 * @harness: the harness
 * @process: the process; its handle is invalid afterwards
 * @signal: signal to send; 0 sends none
 *
 * A process that has not exited within HARNESS_WAIT_MS is killed.
 *
 * Return: the exit status, or the negated number of the signal that terminated
 * the process.
 */
int harness_stop(harness_t *harness, mc_handle_t process, int signal);

/**
 * harness_wait_exit() - Wait until a program exits by itself
 * @harness: the harness
 * @process: the program; its handle is invalid afterwards
 * @output: receives the standard output of the program, zero-terminated
 * @size: size of @output, bytes
 *
 * Fails the test if the program neither writes nor exits for HARNESS_WAIT_MS.
 *
 * Return: as harness_stop().
 */
int harness_wait_exit(harness_t *harness, mc_handle_t process, char *output,
		      size_t size);

/** harness_now() - Time of the steady clock, ms */
mc_ms_t harness_now(void);

/**
 * harness_sleep() - Sleep for a fixed time
 * @time: duration, ms
 *
 * For tests that check that nothing happens in this time; to wait for an event
 * use harness_wait_until().
 */
void harness_sleep(mc_ms_t time);

/**
 * harness_signal() - Send a signal to a process
 * @harness: the harness
 * @process: the process
 * @signal: signal; after SIGSTOP the function returns when the process has
 *	stopped, after any other signal at once
 */
void harness_signal(harness_t *harness, mc_handle_t process, int signal);

/** harness_is_running() - Return whether the process has not exited yet */
bool harness_is_running(harness_t *harness, mc_handle_t process);

/** harness_pid() - Return the process id of @process */
pid_t harness_pid(harness_t *harness, mc_handle_t process);

/**
 * harness_free_port() - Reserve a free TCP port that the kernel chooses
 * @ip: local IPv4 address
 *
 * The port stays reserved until the test program exits: the kernel chooses it
 * for no other socket, and only listeners with SO_REUSEADDR can bind it.
 *
 * Return: the port.
 */
uint16_t harness_free_port(const char *ip);

/**
 * harness_http() - Send an HTTP request and wait for the response
 * @request: the request
 *
 * Return: the reply, to be freed with harness_reply_free().
 */
harness_reply_t harness_http(const harness_request_t *request);

/** harness_reply_free() - Free the contents of @reply and clear it */
void harness_reply_free(harness_reply_t *reply);

/**
 * harness_http_start() - Send an HTTP request from a new thread
 * @request: the request; it is copied with its strings
 *
 * Return: the call, to be finished with harness_http_wait().
 */
harness_call_t *harness_http_start(const harness_request_t *request);

/**
 * harness_http_wait() - Wait for the response to a request and free the call
 * @call: result of harness_http_start()
 *
 * Return: the reply, to be freed with harness_reply_free().
 */
harness_reply_t harness_http_wait(harness_call_t *call);

/**
 * harness_post_json() - POST @body and return the JSON of the response
 * @url: absolute URL
 * @body: request body
 *
 * Fails the test unless the status is 200 and the body is JSON.
 *
 * Return: the JSON, owned by the caller.
 */
json_t *harness_post_json(const char *url, const char *body);

/**
 * harness_get_json() - GET @url and return its JSON, as harness_post_json()
 * does
 */
json_t *harness_get_json(const char *url);

/** harness_condition_fn_t - Return whether the awaited event has happened */
typedef bool (*harness_condition_fn_t)(void *ctx);

/**
 * harness_holds_in_time() - Poll a condition until it holds
 * @condition: checked every 20 ms
 * @ctx: passed to @condition
 *
 * Return: whether it held within HARNESS_WAIT_MS.
 */
bool harness_holds_in_time(harness_condition_fn_t condition, void *ctx);

/**
 * harness_wait_until() - Poll a condition until it holds
 * @what: description of the event, for the failure message
 * @condition: checked every 20 ms
 * @ctx: passed to @condition
 *
 * Fails the test if the condition does not hold within HARNESS_WAIT_MS.
 */
void harness_wait_until(const char *what, harness_condition_fn_t condition,
			void *ctx);

#endif
