/*
 * What the cases of the review share: a record of events, stand-ins for the
 * platform's store and for searchers, processes of the tier, and a plain HTTP
 * client. All addresses are on 127.0.0.1. Strings are kept in fixed buffers.
 */
#ifndef REVIEW_HARNESS_H
#define REVIEW_HARNESS_H

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <sys/types.h>

enum {
	NAME_SIZE = 64,
	HEAD_SIZE = 8192,
	BODY_SIZE = 65536,
	TIERS_MAX = 64,
	/* Exit codes of a case. */
	EXIT_HELD = 0,
	EXIT_BROKEN = 1,
	EXIT_NOT_RUN = 2,
	/* Bounds of the site files, ms. */
	DRAIN_MS = 3000,
	CONTACT_MS = 4000,
};

/** trouble() - Whether the disruption is on: not with TROUBLE=0 */
bool trouble(void);

/** now_ms() - Monotonic clock, ms */
int64_t now_ms(void);

/** wall_ms() - Unix time, ms */
int64_t wall_ms(void);

/** sleep_ms() - Sleep for @ms */
void sleep_ms(int64_t ms);

/** sleep_until() - Sleep until now_ms() is @at */
void sleep_until(int64_t at);

/**
 * harness_init() - Open the record and a temporary folder
 * @record_path: file that is written anew
 */
void harness_init(const char *record_path);

/** harness_exit() - End all processes that were started, write the verdict to
 * the record, and exit with @code */
void harness_exit(int code, const char *verdict);

/** record() - Add a line to the record, with the time since the start */
void record(const char *format, ...) __attribute__((format(printf, 1, 2)));

/* A message, as read from a connection. */
typedef struct {
	char head[HEAD_SIZE];
	char body[BODY_SIZE];
	size_t body_size;
	/* Of a response. */
	int status;
	/* Of a request. */
	char method[16];
	char path[512];
} message_t;

/** header_get() - Copy a header's value to @value; "" if there is none */
void header_get(const message_t *message, const char *name, char *value,
		size_t size);

/* The store. */

/** store_start() - Start the store */
void store_start(void);

/** store_port() - Its port */
int store_port(void);

/** store_put() - Create or replace an object; the time of the acknowledgement,
 * ms */
int64_t store_put(const char *kind, const char *name, const char *spec);

/** store_remove() - Remove an object */
int64_t store_remove(const char *kind, const char *name);

/** config_put() - Write the configuration: routes /one/ (idempotent) and /once/
 * (non_idempotent) of the service "plants", and /desk/ (non_idempotent) of
 * "desk" */
int64_t config_put(int version);

/** store_status() - Copy the text of an object's status to @text */
void store_status(const char *kind, const char *name, char *text, size_t size);

/* Searchers. */

typedef struct searcher_t searcher_t;

/* An answer that a case's handler fills in: by default status 200, run. */
typedef struct {
	int status;
	/* The searcher does not run the request and says so. */
	bool not_run;
	/* Close the connection without an answer. */
	bool drop;
	int work_ms;
	/* Further header lines, each ended with CR LF. */
	char headers[256];
	/* Trailer line after the last chunk of a body in chunks, ended with
	 * CR LF; "": the body has a length. */
	char trailer[64];
} answer_t;

typedef void (*searcher_handler_t)(searcher_t *searcher,
				   const message_t *request, answer_t *answer);

/* An arrival at a searcher. */
typedef struct {
	int64_t at;
	char attempt[NAME_SIZE];
	bool ran;
} arrival_t;

struct searcher_t {
	char id[NAME_SIZE];
	char service[NAME_SIZE];
	char zone[NAME_SIZE];
	char version[NAME_SIZE];
	int port;
	int64_t born;
	int slots;
	int warmup_left_ms;
	searcher_handler_t handler;
	void *ctx;
	/* Work of a request, ms. */
	int work_ms;
	int listen_fd;
	int running;
	/* Closes connections without an answer, as a stopped process does. */
	volatile bool down;
	/* Arrivals, but those answered 421. */
	arrival_t *arrivals;
	int arrival_count;
	int arrival_capacity;
};

/** searcher_new() - Start a searcher, which is not registered yet */
searcher_t *searcher_new(const char *service, const char *id, const char *zone);

/** searcher_register() - Write its entry with @state; time of the
 * acknowledgement, ms */
int64_t searcher_register(searcher_t *searcher, const char *state);

/** searcher_stop() - Stop listening and close all connections */
void searcher_stop(searcher_t *searcher);

/** searcher_resume() - Listen again at the same port */
void searcher_resume(searcher_t *searcher);

/** searcher_count() - Number of arrivals in [@from, @to) */
int searcher_count(searcher_t *searcher, int64_t from, int64_t to);

/** searcher_runs() - Number of times that a client's attempt ran */
int searcher_runs(searcher_t *searcher, const char *attempt);

/* Processes of the tier. */

typedef struct {
	pid_t pid;
	char name[NAME_SIZE];
	char zone[NAME_SIZE];
	int port;
	int ready_port;
	int metrics_port;
	int peer_port;
} tier_t;

/** tier_new() - Write the settings of a process and start it */
tier_t *tier_new(const char *name, const char *zone);

/** tier_start() - Start the process again */
void tier_start(tier_t *tier);

/** tier_wait_ready() - Wait at most @ms until the process reports ready */
bool tier_wait_ready(tier_t *tier, int64_t ms);

/** tier_kill() - Send SIGKILL and wait for the end of the process */
void tier_kill(tier_t *tier);

/** tier_has_ended() - Whether the process has ended by itself; stores how in
 * @how */
bool tier_has_ended(tier_t *tier, char *how, size_t size);

/* Clients. */

/** client_connect() - Connect to a port; -1 on failure */
int client_connect(int port);

/** client_send() - Send a request with an attempt id and a time limit */
bool client_send(int fd, const char *method, const char *path,
		 const char *attempt, int deadline_ms, const char *body);

/** client_read() - Read a response; false if the connection ended before its
 * end. @no_body: the response has no body, as that of a HEAD request */
bool client_read(int fd, message_t *message, bool no_body);

/** client_call() - Send one request on a connection of its own; its status, 0
 * without a complete response */
int client_call(int port, const char *method, const char *path,
		const char *attempt, int deadline_ms, message_t *message);

/** attempt_new() - Make an id of an attempt */
void attempt_new(char *attempt);

/** thread_start() - Run @run in a thread of its own */
void thread_start(void *(*run)(void *), void *arg);

#endif
