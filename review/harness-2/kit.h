/*
 * What the cases of this review share: a record of events, the platform's
 * store, searchers, a plain HTTP client, and processes of the tier. All
 * addresses are on 127.0.0.1, and all ports are chosen by the kernel.
 */
#ifndef REVIEW_KIT_H
#define REVIEW_KIT_H

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

enum {
	KIT_NAME = 64,
	KIT_TEXT = 65536,
	KIT_HEAD = 16384,
	KIT_BODY = 1 << 20,
	/* Exit codes of a case. */
	KIT_HELD = 0,
	KIT_BROKEN = 1,
	KIT_NOT_RUN = 2,
};

/** kit_trouble() - Whether the disruption is on: not with TROUBLE=0 */
bool kit_trouble(void);

/** kit_now() - Monotonic clock, ms */
int64_t kit_now(void);

/** kit_wall() - Unix time, ms */
int64_t kit_wall(void);

void kit_sleep(int64_t ms);

/** kit_begin() - Open record.txt of the folder @folder and a temporary folder
 */
void kit_begin(const char *folder);

/** kit_end() - End the processes that were started and exit with @code */
void kit_end(int code, const char *verdict) __attribute__((noreturn));

/** kit_record() - Add a line to the record, with the time since the start */
void kit_record(const char *format, ...) __attribute__((format(printf, 1, 2)));

/* A message that was read from a connection. */
typedef struct {
	char head[KIT_HEAD];
	char *body;
	size_t body_size;
	bool keep_alive;
} kit_message_t;

/** kit_header() - Copy the value of a header line to @value of @size bytes;
 * false without such a line */
bool kit_header(const kit_message_t *message, const char *name, char *value,
		size_t size);

/** kit_read_message() - Read a message with a Content-Length or without a body;
 * false when the connection ends before its end. Free the body */
bool kit_read_message(int fd, kit_message_t *message);

/** kit_listen() - Open a listening socket; stores its port */
int kit_listen(uint16_t *port);

/** kit_connect() - Connect to a port; -1 if refused */
int kit_connect(uint16_t port);

bool kit_write(int fd, const char *data, size_t size);

/** kit_thread() - Run a function in a thread of its own */
void kit_thread(void *(*run)(void *arg), void *arg);

/* store.c: the platform's store */

/** kit_store_start() - Start the store; returns its port */
uint16_t kit_store_start(void);

/** kit_store_put() - Write an object as the operator or a searcher; @name is
 * the text of a JSON string without its quotes; returns the revision */
uint64_t kit_store_put(const char *kind, const char *name, const char *spec);

/** kit_store_remove() - Remove an object */
void kit_store_remove(const char *kind, const char *name);

/** kit_store_status() - Copy the status of an object to @text; false without */
bool kit_store_status(const char *kind, const char *name, char *text,
		      size_t size);

/** kit_store_lose_watch() - Lose the answer to the next watch of a kind that
 * has events; the connection on which it is lost returns nothing further */
void kit_store_lose_watch(const char *kind);

/* searcher.c: searchers */

typedef struct kit_searcher_t kit_searcher_t;

/* A request as a searcher runs it. */
typedef struct {
	const char *method;
	const char *target;
	const char *id;
	const char *body;
	size_t body_size;
} kit_run_t;

/* What a searcher answers, and how long that takes. */
typedef struct {
	int status;
	int64_t work_ms;
	char body[256];
} kit_answer_t;

typedef void (*kit_run_fn_t)(kit_searcher_t *searcher, const kit_run_t *run,
			     kit_answer_t *answer);

struct kit_searcher_t {
	char id[KIT_NAME];
	char service[KIT_NAME];
	char zone[KIT_NAME];
	char version[KIT_NAME];
	uint32_t slots;
	uint16_t port;
	int64_t born;
	int64_t warmup_left;
	kit_run_fn_t run;
	void *ctx;
	uint64_t seq;
	int listener;
	pthread_mutex_t lock;
	uint32_t running;
	uint32_t runs;
	uint32_t rejected;
	bool has_exited;
	int conns[256];
	int conn_count;
};

/** kit_searcher_start() - Start the process and register it as ready */
void kit_searcher_start(kit_searcher_t *searcher);

/** kit_searcher_exit() - End the process: it accepts nothing more, and its
 * connections are closed */
void kit_searcher_exit(kit_searcher_t *searcher);

/** kit_searcher_beat() - Write the searcher's entry with @state */
void kit_searcher_beat(kit_searcher_t *searcher, const char *state);

/* tier.c: processes of the tier, and callers */

typedef struct {
	char name[KIT_NAME];
	char zone[KIT_NAME];
	char settings[256];
	char log[256];
	uint16_t callers;
	uint16_t ready;
	pid_t pid;
} kit_tier_t;

/** kit_tier_init() - Choose ports and write the settings, like those that the
 * template gives a small deployment */
void kit_tier_init(kit_tier_t *tier, const char *name, const char *zone,
		   uint16_t store);

void kit_tier_start(kit_tier_t *tier);

/** kit_tier_signal() - Send a signal to the process */
void kit_tier_signal(const kit_tier_t *tier, int number);

/** kit_tier_wait_ready() - Wait until the process says that it is ready; false
 * after @ms */
bool kit_tier_wait_ready(const kit_tier_t *tier, int64_t ms);

/* A request of a caller, and what came back. */
typedef struct {
	const char *method;
	const char *host;
	const char *target;
	const char *id;
	const char *body;
	int64_t deadline_ms;
	/* 0 if the connection ended without an answer. */
	int status;
	char stamp[KIT_NAME];
	int64_t took_ms;
} kit_call_t;

/** kit_call() - Send a request on a new connection and read the answer */
void kit_call(const kit_tier_t *tier, kit_call_t *call);

#endif
