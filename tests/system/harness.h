/*
 * Harness of the system tests: starts programs, stops them, and talks to them
 * by HTTP. Whatever a test started is killed when its harness is destroyed, or
 * when the test program ends in any other way. Failures end the test.
 */
#ifndef HARNESS_H
#define HARNESS_H

#include <jansson.h>
#include <sys/types.h>

#include "mc/base.h"

enum {
	HARNESS_URL_SIZE = 256,
	/* Bound of the wait for an event that must come, ms. */
	HARNESS_WAIT_MS = 30000,
	/* Bound of an HTTP call, ms. */
	HARNESS_CALL_MS = 30000,
	HARNESS_HEADERS_MAX = 4,
};

typedef struct harness_t harness_t;

/**
 * struct harness_request_t - an HTTP request
 * @method: HTTP method
 * @url: whole URL
 * @headers: header lines, up to the first NULL
 * @body: body; NULL for none
 */
typedef struct harness_request_t {
	const char *method;
	const char *url;
	const char *headers[HARNESS_HEADERS_MAX];
	const char *body;
} harness_request_t;

/**
 * struct harness_reply_t - an HTTP answer
 * @status: status; 0 if no whole answer came
 * @connected: a connection was made
 * @version: version in the ETag header; 0 without one
 * @body: zero-terminated body, never NULL
 * @json: body as JSON; NULL if it is not JSON
 * @elapsed: time that the call took, ms
 */
typedef struct harness_reply_t {
	int status;
	bool connected;
	uint64_t version;
	char *body;
	json_t *json;
	mc_ms_t elapsed;
} harness_reply_t;

typedef struct harness_call_t harness_call_t;

/**
 * harness_create() - a harness
 * @name: name of the test; logs go to the folder logs/NAME
 *
 * Return: owned by the caller.
 */
harness_t *harness_create(const char *name);

/** harness_destroy() - kill every process and free; NULL is allowed */
void harness_destroy(harness_t *harness);

/** harness_folder() - folder of logs and settings, owned by @harness */
const char *harness_folder(const harness_t *harness);

/**
 * harness_start() - start a program in a process group of its own
 * @harness: the harness
 * @name: name of its log file
 * @argv: arguments; the first is the program's path
 *
 * Return: handle of the process.
 */
mc_handle_t harness_start(harness_t *harness, const char *name,
			  const char *const *argv);

/** harness_read_port() - wait for the program's line "port N" */
uint16_t harness_read_port(harness_t *harness, mc_handle_t process);

/**
 * harness_stop() - send a signal and wait for the end of the process
 *
 * Return: its exit status, or minus the number of the signal that ended it.
 */
int harness_stop(harness_t *harness, mc_handle_t process, int signal);

/**
 * harness_finish() - wait for a program that ends by itself
 * @harness: the harness
 * @process: the program
 * @output: receives its standard output, zero-terminated
 * @size: bytes of @output
 *
 * Return: as harness_stop().
 */
int harness_wait_exit(harness_t *harness, mc_handle_t process, char *output,
		      size_t size);

/** harness_sleep() - let time pass in which nothing is to happen */
void harness_sleep(mc_ms_t time);

/**
 * harness_signal() - send a signal, and wait for what it does only if it is
 * SIGSTOP
 */
void harness_signal(harness_t *harness, mc_handle_t process, int signal);

/** harness_running() - whether the process has not ended */
bool harness_running(harness_t *harness, mc_handle_t process);

/** harness_pid() - system's id of a process */
pid_t harness_pid(harness_t *harness, mc_handle_t process);

/** harness_free_port() - a port of the IP number that the kernel had free */
uint16_t harness_free_port(const char *ip);

/** harness_http() - make a call; the reply is freed by the caller */
harness_reply_t harness_http(const harness_request_t *request);

/** harness_reply_free() - free what a reply holds */
void harness_reply_free(harness_reply_t *reply);

/** harness_http_begin() - make a call in a thread; everything is copied */
harness_call_t *harness_http_begin(const harness_request_t *request);

/** harness_http_end() - wait for the call's reply and free the call */
harness_reply_t harness_http_end(harness_call_t *call);

/** harness_post() - POST @body; JSON of the answer, whose status must be 200 */
json_t *harness_post(const char *url, const char *body);

/** harness_get() - JSON of a GET's answer, whose status must be 200 */
json_t *harness_get(const char *url);

/** harness_condition_fn_t - whether the event has come */
typedef bool (*harness_condition_fn_t)(void *ctx);

/** harness_wait() - ask @condition until it holds; the test fails if never */
void harness_wait(const char *what, harness_condition_fn_t condition,
		  void *ctx);

#endif
