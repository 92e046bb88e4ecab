/*
 * One thread drives all transfers with libcurl's multi interface. A timer
 * descriptor wakes it at the next planned time, so that it neither spins nor
 * rounds to milliseconds. Each transfer in flight has a slot.
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
	SLOTS_MAX = 4096,
	BODY_SIZE = 256,
	HEADER_SIZE = 96,
	URL_SIZE = 320,
	POLL_MS = 1000,
	CALL_MS = 10000,
	PERCENT = 100,
	US_PER_S = 1000000,
	NS_PER_US = 1000,
};

/* @record: index of the request that it carries */
typedef struct slot_t {
	CURL *easy;
	struct curl_slist *headers;
	char body[BODY_SIZE];
	size_t record;
	struct slot_t *next_free;
} slot_t;

struct load_t {
	load_params_t params;
	pthread_t thread;
	CURLM *multi;
	int timer;
	int64_t start;
	load_result_t result;
	slot_t *slots;
	slot_t *free_slots;
	uint32_t in_flight;
};

static int64_t now_us(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (int64_t)now.tv_sec * US_PER_S + now.tv_nsec / NS_PER_US;
}

static size_t on_data(char *data, size_t size, size_t count, void *arg)
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

static const char *const class_names[LOAD_CLASSES] = {
	"urgent",
	"interactive",
	"report",
};

static void write_body(const load_t *load, const load_record_t *record,
		       char *body)
{
	const load_params_t *params = &load->params;

	if (record->run)
		snprintf(body, BODY_SIZE,
			 "{\"service\":\"%s\",\"route_key\":\"%s\","
			 "\"query\":{\"q\":\"dry\"}}",
			 params->service, record->key);
	else
		snprintf(body, BODY_SIZE,
			 "{\"service\":\"%s\",\"query\":{\"q\":\"dry\"},"
			 "\"limit\":%u,\"class\":\"%s\"}",
			 params->service,
			 record->full ? params->full_limit : params->limit,
			 class_names[record->klass]);
}

static void write_headers(const load_t *load, const load_record_t *record,
			  slot_t *slot)
{
	char line[HEADER_SIZE];

	curl_slist_free_all(slot->headers);
	slot->headers = curl_slist_append(NULL, "Expect:");
	snprintf(line, sizeof(line), "Deadline-Ms: %u",
		 load->params.deadline_ms);
	slot->headers = curl_slist_append(slot->headers, line);
	if (!record->run)
		return;
	snprintf(line, sizeof(line), "Idempotency-Key: %s", record->key);
	slot->headers = curl_slist_append(slot->headers, line);
}

static void send_request(load_t *load, size_t index, slot_t *slot)
{
	load_record_t *record = &load->result.records[index];
	const load_params_t *params = &load->params;
	char url[URL_SIZE];

	snprintf(url, sizeof(url), "%s%s", params->urls[record->front],
		 record->run ? "/v1/run" : "/v1/search");
	write_body(load, record, slot->body);
	write_headers(load, record, slot);
	slot->record = index;
	curl_easy_setopt(slot->easy, CURLOPT_URL, url);
	curl_easy_setopt(slot->easy, CURLOPT_HTTPHEADER, slot->headers);
	curl_easy_setopt(slot->easy, CURLOPT_POSTFIELDS, slot->body);
	curl_easy_setopt(slot->easy, CURLOPT_POSTFIELDSIZE,
			 (long)strlen(slot->body));
	curl_easy_setopt(slot->easy, CURLOPT_WRITEFUNCTION, on_data);
	curl_easy_setopt(slot->easy, CURLOPT_WRITEDATA, record);
	curl_easy_setopt(slot->easy, CURLOPT_TIMEOUT_MS, (long)CALL_MS);
	curl_easy_setopt(slot->easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(slot->easy, CURLOPT_PRIVATE, slot);
	curl_multi_add_handle(load->multi, slot->easy);
	load->in_flight++;
}

static void take_message(load_t *load, const CURLMsg *message)
{
	load_record_t *record;
	slot_t *slot = NULL;
	long status = 0;

	curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &slot);
	record = &load->result.records[slot->record];
	record->elapsed = now_us() - load->start - record->planned;
	curl_easy_getinfo(message->easy_handle, CURLINFO_RESPONSE_CODE,
			  &status);
	record->status = message->data.result == CURLE_OK ? (int)status : 0;
	curl_multi_remove_handle(load->multi, slot->easy);
	slot->next_free = load->free_slots;
	load->free_slots = slot;
	load->in_flight--;
}

static void take_messages(load_t *load)
{
	const CURLMsg *message;
	int left;

	while ((message = curl_multi_info_read(load->multi, &left)))
		if (message->msg == CURLMSG_DONE)
			take_message(load, message);
}

static void arm_timer(const load_t *load, int64_t at)
{
	int64_t due = load->start + at;
	const struct itimerspec spec = {
		.it_value = { .tv_sec = due / US_PER_S,
			      .tv_nsec = due % US_PER_S * NS_PER_US },
	};

	timerfd_settime(load->timer, TFD_TIMER_ABSTIME, &spec, NULL);
}

/* Sends what is due. Return: index of the first request that is not. */
static size_t send_due(load_t *load, size_t next)
{
	load_result_t *result = &load->result;
	int64_t now = now_us() - load->start;
	slot_t *slot;

	while (next < result->count && result->records[next].planned <= now) {
		slot = load->free_slots;
		if (now - result->records[next].planned > result->late_us)
			result->late_us = now - result->records[next].planned;
		if (slot) {
			load->free_slots = slot->next_free;
			send_request(load, next, slot);
		} else {
			result->not_sent++;
		}
		next++;
	}
	if (next < result->count)
		arm_timer(load, result->records[next].planned);
	return next;
}

static void *run(void *arg)
{
	load_t *load = arg;
	struct curl_waitfd timer = { .fd = load->timer,
				     .events = CURL_WAIT_POLLIN };
	uint64_t fired;
	size_t next = 0;
	int running;

	load->start = now_us();
	while (next < load->result.count || load->in_flight) {
		next = send_due(load, next);
		curl_multi_perform(load->multi, &running);
		take_messages(load);
		if (next == load->result.count && !load->in_flight)
			break;
		curl_multi_poll(load->multi, &timer, 1, POLL_MS, NULL);
		if (timer.revents & CURL_WAIT_POLLIN &&
		    read(load->timer, &fired, sizeof(fired)) < 0)
			break;
		timer.revents = 0;
	}
	return NULL;
}

/* The classes alternate so that each second has its share of each. */
static uint32_t class_of(const load_params_t *params, size_t index)
{
	uint32_t place = (uint32_t)(index * 37 % PERCENT);

	if (place < params->share[0])
		return 0;
	return place < params->share[0] + params->share[1] ? 1 : 2;
}

static int by_time(const void *a, const void *b)
{
	const load_record_t *left = a, *right = b;

	return (left->planned > right->planned) -
	       (left->planned < right->planned);
}

static bool plan_requests(load_t *load)
{
	const load_params_t *params = &load->params;
	size_t searches = (size_t)(params->rate * params->seconds);
	size_t runs = (size_t)(params->runs * params->seconds);
	load_record_t *record;
	size_t i, pair;

	load->result.count = searches + 2 * runs;
	load->result.records = calloc(load->result.count + 1, sizeof(*record));
	if (!load->result.records)
		return false;
	for (i = 0; i < searches; i++) {
		record = &load->result.records[i];
		record->planned =
			(int64_t)((double)i * US_PER_S / params->rate);
		record->front = (uint32_t)i % params->url_count;
		record->full = i % LOAD_FULL_EVERY == 0;
		record->klass = class_of(params, i);
	}
	for (i = 0; i < 2 * runs; i++) {
		pair = i / 2;
		record = &load->result.records[searches + i];
		record->planned =
			(int64_t)((double)pair * US_PER_S / params->runs);
		record->front = (uint32_t)i % params->url_count;
		record->run = true;
		snprintf(record->key, sizeof(record->key), "%s-%zu",
			 params->name, pair);
	}
	qsort(load->result.records, load->result.count, sizeof(*record),
	      by_time);
	return true;
}

static bool make_slots(load_t *load)
{
	size_t i;

	load->slots = calloc(SLOTS_MAX, sizeof(*load->slots));
	if (!load->slots)
		return false;
	for (i = 0; i < SLOTS_MAX; i++) {
		load->slots[i].easy = curl_easy_init();
		load->slots[i].next_free = load->free_slots;
		load->free_slots = &load->slots[i];
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
	curl_multi_setopt(load->multi, CURLMOPT_MAXCONNECTS, (long)SLOTS_MAX);
	if (!plan_requests(load) || !make_slots(load) ||
	    pthread_create(&load->thread, NULL, run, load)) {
		free(load->result.records);
		free(load->slots);
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
	for (i = 0; i < SLOTS_MAX; i++) {
		curl_easy_cleanup(load->slots[i].easy);
		curl_slist_free_all(load->slots[i].headers);
	}
	curl_multi_cleanup(load->multi);
	close(load->timer);
	result = load->result;
	free(load->slots);
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
