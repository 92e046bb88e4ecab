/*
 * Open-loop load: requests leave at planned times, whatever became of those
 * before, and their time counts from the planned one. A thread of its own
 * sends them; answers are kept and read after the load has ended.
 */
#ifndef BENCH_LOAD_H
#define BENCH_LOAD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
	LOAD_KEY_SIZE = 48,
	LOAD_CLASSES = 3,
	LOAD_URLS_MAX = 32,
	LOAD_FULL_EVERY = 10,
};

/**
 * struct load_params_t - what is sent
 * @urls: addresses of fronts, taken in turn
 * @url_count: number of @urls
 * @service: service that is searched
 * @rate: searches per second
 * @runs: runs per second; each goes to two fronts at once with one key
 * @seconds: length of the load
 * @limit: hits that most searches ask for
 * @full_limit: hits that one search in LOAD_FULL_EVERY asks for
 * @deadline_ms: deadline of each request, ms
 * @share: percent of searches of each class, the most urgent first
 * @name: start of the keys of runs
 */
typedef struct load_params_t {
	const char *urls[LOAD_URLS_MAX];
	uint32_t url_count;
	const char *service;
	double rate;
	double runs;
	double seconds;
	uint32_t limit;
	uint32_t full_limit;
	uint32_t deadline_ms;
	uint32_t share[LOAD_CLASSES];
	const char *name;
} load_params_t;

/**
 * struct load_record_t - one request
 * @planned: when it was to leave, microseconds since the start of the load
 * @elapsed: from then to its whole answer, microseconds
 * @status: status; 0 if no whole answer came
 * @front: index of the address that it goes to
 * @klass: its class, from 0
 * @full: it asked for full_limit hits
 * @run: it is a run
 * @key: key of a run
 * @body: zero-terminated answer
 * @size: bytes of @body
 */
typedef struct load_record_t {
	int64_t planned;
	int64_t elapsed;
	int status;
	uint32_t front;
	uint32_t klass;
	bool full;
	bool run;
	char key[LOAD_KEY_SIZE];
	char *body;
	size_t size;
} load_record_t;

/**
 * struct load_result_t - a load that has ended
 * @records: requests in the order of their planned times
 * @count: number of @records
 * @not_sent: requests that found too many in flight at this tool
 * @late_us: most that a request left after its planned time, microseconds
 */
typedef struct load_result_t {
	load_record_t *records;
	size_t count;
	size_t not_sent;
	int64_t late_us;
} load_result_t;

typedef struct load_t load_t;

/** load_start() - begin to send; NULL without memory or thread */
load_t *load_start(const load_params_t *params);

/** load_wait() - wait for the end; the result is freed by load_free() */
load_result_t load_wait(load_t *load);

/** load_free() - free what a result holds */
void load_free(load_result_t *result);

#endif
