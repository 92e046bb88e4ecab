/*
 * One thread drives all transfers through libcurl's multi interface. A timerfd
 * wakes it when the next request is due, because the timeout of
 * curl_multi_poll() has a resolution of 1 ms only; the thread does not spin.
 * Each request in flight uses one of a fixed number of transfers; a request
 * that is due while none is free is dropped and counted in not_sent.
 */
#include <curl/curl.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/timerfd.h>
#include <time.h>
#include <unistd.h>

#include "load.h"

enum {
	TRANSFERS_MAX = 4096,
	BODY_SIZE = 256,
	HEADER_SIZE = 96,
	URL_SIZE = 320,
	POLL_TIMEOUT_MS = 1000,
	REQUEST_TIMEOUT_MS = 10000,
	PERCENT = 100,
	US_PER_S = 1000000,
	NS_PER_US = 1000,
};

/* A reusable libcurl handle; @record_index is the request that it carries. */
typedef struct transfer_t {
	CURL *easy_handle;
	struct curl_slist *headers;
	char body[BODY_SIZE];
	size_t record_index;
	struct transfer_t *next_free;
} transfer_t;

struct load_t {
	load_params_t params;
	pthread_t thread;
	CURLM *multi;
	int timer;
	int64_t start_us;
	load_result_t result;
	transfer_t *transfers;
	transfer_t *free_transfers;
	uint32_t in_flight;
};

static int64_t now_us(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (int64_t)now.tv_sec * US_PER_S + now.tv_nsec / NS_PER_US;
}

static size_t on_body_data(char *data, size_t size, size_t count, void *arg)
{
	load_record_t *record = arg;
	size_t added = size * count;
	char *body = realloc(record->body, record->size + added + 1);

	if (!body)
		return 0;
	memcpy(body + record->size, data, added);
	record->body = body;
	record->size += added;
	body[record->size] = '\0';
	return added;
}

static const char *const class_names[LOAD_CLASS_COUNT] = {
	"urgent",
	"interactive",
	"report",
};

static void write_body(const load_t *load, const load_record_t *record,
		       char *body)
{
	const load_params_t *params = &load->params;

	if (record->is_run)
		snprintf(body, BODY_SIZE,
			 "{\"service\":\"%s\",\"route_key\":\"%s\","
			 "\"query\":{\"q\":\"dry\"}}",
			 params->service, record->key);
	else
		snprintf(body, BODY_SIZE,
			 "{\"service\":\"%s\",\"query\":{\"q\":\"dry\"},"
			 "\"limit\":%u,\"class\":\"%s\"}",
			 params->service,
			 record->has_large_limit ? params->large_limit
						 : params->limit,
			 class_names[record->request_class]);
}

static void write_headers(const load_t *load, const load_record_t *record,
			  transfer_t *transfer)
{
	char line[HEADER_SIZE];

	curl_slist_free_all(transfer->headers);
	transfer->headers = curl_slist_append(NULL, "Expect:");
	snprintf(line, sizeof(line), "Deadline-Ms: %u",
		 load->params.deadline_ms);
	transfer->headers = curl_slist_append(transfer->headers, line);
	if (!record->is_run)
		return;
	snprintf(line, sizeof(line), "Idempotency-Key: %s", record->key);
	transfer->headers = curl_slist_append(transfer->headers, line);
}

static void send_request(load_t *load, size_t index, transfer_t *transfer)
{
	load_record_t *record = &load->result.records[index];
	const load_params_t *params = &load->params;
	char url[URL_SIZE];

	snprintf(url, sizeof(url), "%s%s", params->urls[record->url_index],
		 record->is_run ? "/v1/run" : "/v1/search");
	write_body(load, record, transfer->body);
	write_headers(load, record, transfer);
	transfer->record_index = index;
	curl_easy_setopt(transfer->easy_handle, CURLOPT_URL, url);
	curl_easy_setopt(transfer->easy_handle, CURLOPT_HTTPHEADER,
			 transfer->headers);
	curl_easy_setopt(transfer->easy_handle, CURLOPT_POSTFIELDS,
			 transfer->body);
	curl_easy_setopt(transfer->easy_handle, CURLOPT_POSTFIELDSIZE,
			 (long)strlen(transfer->body));
	curl_easy_setopt(transfer->easy_handle, CURLOPT_WRITEFUNCTION,
			 on_body_data);
	curl_easy_setopt(transfer->easy_handle, CURLOPT_WRITEDATA, record);
	curl_easy_setopt(transfer->easy_handle, CURLOPT_TIMEOUT_MS,
			 (long)REQUEST_TIMEOUT_MS);
	curl_easy_setopt(transfer->easy_handle, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(transfer->easy_handle, CURLOPT_PRIVATE, transfer);
	curl_multi_add_handle(load->multi, transfer->easy_handle);
	load->in_flight++;
}

static void finish_transfer(load_t *load, const CURLMsg *message)
{
	load_record_t *record;
	transfer_t *transfer = NULL;
	long status = 0;

	curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &transfer);
	record = &load->result.records[transfer->record_index];
	record->latency_us = now_us() - load->start_us - record->scheduled_us;
	curl_easy_getinfo(message->easy_handle, CURLINFO_RESPONSE_CODE,
			  &status);
	record->status = message->data.result == CURLE_OK ? (int)status : 0;
	curl_multi_remove_handle(load->multi, transfer->easy_handle);
	transfer->next_free = load->free_transfers;
	load->free_transfers = transfer;
	load->in_flight--;
}

static void finish_transfers(load_t *load)
{
	const CURLMsg *message;
	int left;

	while ((message = curl_multi_info_read(load->multi, &left)))
		if (message->msg == CURLMSG_DONE)
			finish_transfer(load, message);
}

/* Arms the timer for @offset_us after the start of the load. */
static void arm_timer(const load_t *load, int64_t offset_us)
{
	int64_t due = load->start_us + offset_us;
	const struct itimerspec spec = {
		.it_value = { .tv_sec = due / US_PER_S,
			      .tv_nsec = due % US_PER_S * NS_PER_US },
	};

	timerfd_settime(load->timer, TFD_TIMER_ABSTIME, &spec, NULL);
}

/* Sends the requests that are due. Return: index of the first that is not. */
static size_t send_due_requests(load_t *load, size_t next)
{
	load_result_t *result = &load->result;
	int64_t now = now_us() - load->start_us;
	transfer_t *transfer;

	while (next < result->count &&
	       result->records[next].scheduled_us <= now) {
		transfer = load->free_transfers;
		if (now - result->records[next].scheduled_us > result->late_us)
			result->late_us =
				now - result->records[next].scheduled_us;
		if (transfer) {
			load->free_transfers = transfer->next_free;
			send_request(load, next, transfer);
		} else {
			result->not_sent++;
		}
		next++;
	}
	if (next < result->count)
		arm_timer(load, result->records[next].scheduled_us);
	return next;
}

static void *run_load_thread(void *arg)
{
	load_t *load = arg;
	struct curl_waitfd timer = { .fd = load->timer,
				     .events = CURL_WAIT_POLLIN };
	uint64_t expirations;
	size_t next = 0;
	int running;

	load->start_us = now_us();
	while (next < load->result.count || load->in_flight) {
		next = send_due_requests(load, next);
		curl_multi_perform(load->multi, &running);
		finish_transfers(load);
		if (next == load->result.count && !load->in_flight)
			break;
		curl_multi_poll(load->multi, &timer, 1, POLL_TIMEOUT_MS, NULL);
		if (timer.revents & CURL_WAIT_POLLIN &&
		    read(load->timer, &expirations, sizeof(expirations)) < 0)
			break;
		timer.revents = 0;
	}
	return NULL;
}

/*
 * Spreads the classes evenly over the requests, so that each second of the load
 * has the configured percentage of each. 37 has no factor in common with 100.
 */
static uint32_t choose_class(const load_params_t *params, size_t index)
{
	uint32_t position = (uint32_t)(index * 37 % PERCENT);

	if (position < params->class_percent[0])
		return 0;
	return position < params->class_percent[0] + params->class_percent[1]
		       ? 1
		       : 2;
}

static int compare_scheduled(const void *a, const void *b)
{
	const load_record_t *left = a, *right = b;

	return (left->scheduled_us > right->scheduled_us) -
	       (left->scheduled_us < right->scheduled_us);
}

static bool schedule_requests(load_t *load)
{
	const load_params_t *params = &load->params;
	size_t searches = (size_t)(params->search_rate * params->duration_s);
	size_t runs = (size_t)(params->run_rate * params->duration_s);
	load_record_t *record;
	size_t i, pair;

	load->result.count = searches + 2 * runs;
	load->result.records = calloc(load->result.count + 1, sizeof(*record));
	if (!load->result.records)
		return false;
	for (i = 0; i < searches; i++) {
		record = &load->result.records[i];
		record->scheduled_us =
			(int64_t)((double)i * US_PER_S / params->search_rate);
		record->url_index = (uint32_t)i % params->url_count;
		record->has_large_limit = i % LOAD_LARGE_LIMIT_EVERY == 0;
		record->request_class = choose_class(params, i);
	}
	for (i = 0; i < 2 * runs; i++) {
		pair = i / 2;
		record = &load->result.records[searches + i];
		record->scheduled_us =
			(int64_t)((double)pair * US_PER_S / params->run_rate);
		record->url_index = (uint32_t)i % params->url_count;
		record->is_run = true;
		snprintf(record->key, sizeof(record->key), "%s-%zu",
			 params->key_prefix, pair);
	}
	qsort(load->result.records, load->result.count, sizeof(*record),
	      compare_scheduled);
	return true;
}

static bool create_transfers(load_t *load)
{
	size_t i;

	load->transfers = calloc(TRANSFERS_MAX, sizeof(*load->transfers));
	if (!load->transfers)
		return false;
	for (i = 0; i < TRANSFERS_MAX; i++) {
		load->transfers[i].easy_handle = curl_easy_init();
		load->transfers[i].next_free = load->free_transfers;
		load->free_transfers = &load->transfers[i];
	}
	return true;
}

load_t *load_start(const load_params_t *params)
{
	load_t *load = calloc(1, sizeof(*load));

	if (!load)
		return NULL;
	load->params = *params;
	load->timer = timerfd_create(CLOCK_MONOTONIC, TFD_CLOEXEC);
	load->multi = curl_multi_init();
	curl_multi_setopt(load->multi, CURLMOPT_MAXCONNECTS,
			  (long)TRANSFERS_MAX);
	if (!schedule_requests(load) || !create_transfers(load) ||
	    pthread_create(&load->thread, NULL, run_load_thread, load)) {
		free(load->result.records);
		free(load->transfers);
		free(load);
		return NULL;
	}
	return load;
}

load_result_t load_wait(load_t *load)
{
	load_result_t result;
	size_t i;

	pthread_join(load->thread, NULL);
	for (i = 0; i < TRANSFERS_MAX; i++) {
		curl_easy_cleanup(load->transfers[i].easy_handle);
		curl_slist_free_all(load->transfers[i].headers);
	}
	curl_multi_cleanup(load->multi);
	close(load->timer);
	result = load->result;
	free(load->transfers);
	free(load);
	return result;
}

void load_free(load_result_t *result)
{
	size_t i;

	for (i = 0; i < result->count; i++)
		free(result->records[i].body);
	free(result->records);
}
