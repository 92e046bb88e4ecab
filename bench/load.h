/*
 * Open-loop load generator: a thread sends requests at scheduled times, whether
 * or not earlier requests have been answered, and latency counts from the
 * scheduled time. Responses are kept and evaluated after the load has ended.
 */
#ifndef BENCH_LOAD_H
#define BENCH_LOAD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
	LOAD_KEY_SIZE = 48,
	LOAD_CLASS_COUNT = 3,
	LOAD_URLS_MAX = 32,
	/* One search in this many asks for large_limit hits. */
	LOAD_LARGE_LIMIT_EVERY = 10,
};

/**
 * struct load_params_t - parameters of a load
 * @urls: base URLs of fronts, used in rotation; borrowed until load_wait()
 * @url_count: number of @urls
 * @service: service to search; borrowed until load_wait()
 * @search_rate: searches per second
 * @run_rate: runs per second; each is sent to two fronts at once with one key
 * @duration_s: length of the load, s
 * @limit: hits that most searches ask for
 * @large_limit: hits that one search in LOAD_LARGE_LIMIT_EVERY asks for
 * @deadline_ms: deadline of each request, ms
 * @class_percent: percentage of searches in each class, the most urgent first
 * @key_prefix: prefix of the keys of runs
 */
typedef struct load_params_t {
	const char *urls[LOAD_URLS_MAX];
	uint32_t url_count;
	const char *service;
	double search_rate;
	double run_rate;
	double duration_s;
	uint32_t limit;
	uint32_t large_limit;
	uint32_t deadline_ms;
	uint32_t class_percent[LOAD_CLASS_COUNT];
	const char *key_prefix;
} load_params_t;

/**
 * struct load_record_t - one request and its response
 * @scheduled_us: time at which it is due, microseconds since the start of the
 *	load
 * @latency_us: time from @scheduled_us to the complete response, microseconds
 * @status: HTTP status; 0 if no complete response was received
 * @url_index: index of the front in load_params_t.urls
 * @request_class: class of a search, 0 for the most urgent
 * @has_large_limit: whether the search asks for large_limit hits
 * @is_run: whether the request is a run, not a search
 * @key: idempotency key of a run
 * @body: zero-terminated response body; NULL if empty
 * @size: bytes of @body
 */
typedef struct load_record_t {
	int64_t scheduled_us;
	int64_t latency_us;
	int status;
	uint32_t url_index;
	uint32_t request_class;
	bool has_large_limit;
	bool is_run;
	char key[LOAD_KEY_SIZE];
	char *body;
	size_t size;
} load_record_t;

/**
 * struct load_result_t - records of a load that has ended
 * @records: requests in the order of their scheduled times
 * @count: number of @records
 * @not_sent: requests dropped because too many were in flight
 * @late_us: longest delay of a request after its scheduled time, microseconds
 */
typedef struct load_result_t {
	load_record_t *records;
	size_t count;
	size_t not_sent;
	int64_t late_us;
} load_result_t;

typedef struct load_t load_t;

/**
 * load_start() - Start a thread that sends the requests.
 * @params: parameters; copied
 *
 * Return: the load, to be ended by load_wait(); NULL if memory or the thread
 * could not be allocated.
 */
load_t *load_start(const load_params_t *params);

/**
 * load_wait() - Wait until all requests have ended, and free the load.
 * @load: the load
 *
 * Return: the records; to be freed by load_free().
 */
load_result_t load_wait(load_t *load);

/** load_free() - Free the records of a result. */
void load_free(load_result_t *result);

#endif
