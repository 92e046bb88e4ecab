/*
 * HTTP client of the system tests. Each request uses a new connection.
 */
#include <pthread.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <cmocka.h>
#include <curl/curl.h>

#include "harness.h"

typedef struct buffer_t {
	char *data;
	size_t size;
} buffer_t;

struct harness_call_t {
	pthread_t thread;
	harness_request_t request;
	harness_reply_t reply;
};

static size_t append_body(char *data, size_t unit, size_t count, void *arg)
{
	buffer_t *buffer = arg;
	size_t size = unit * count;
	char *grown = realloc(buffer->data, buffer->size + size + 1);

	if (!grown)
		return 0;
	memcpy(grown + buffer->size, data, size);
	buffer->data = grown;
	buffer->size += size;
	grown[buffer->size] = '\0';
	return size;
}

static size_t parse_header(char *data, size_t unit, size_t count, void *arg)
{
	static const char name[] = "ETag: \"";
	harness_reply_t *reply = arg;

	if (!strncasecmp(data, name, sizeof(name) - 1))
		reply->version = strtoull(data + sizeof(name) - 1, NULL, 10);
	return unit * count;
}

static struct curl_slist *create_header_list(const harness_request_t *request)
{
	struct curl_slist *list = curl_slist_append(NULL, "Expect:");
	int i;

	for (i = 0; i < HARNESS_HEADERS_MAX && request->headers[i]; i++)
		list = curl_slist_append(list, request->headers[i]);
	return list;
}

static CURL *create_curl_handle(const harness_request_t *request,
				struct curl_slist *headers, buffer_t *body,
				harness_reply_t *reply)
{
	CURL *easy = curl_easy_init();

	curl_easy_setopt(easy, CURLOPT_URL, request->url);
	curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request->method);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, (long)HARNESS_CALL_MS);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, append_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, body);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, parse_header);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, reply);
	if (request->body)
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS, request->body);
	return easy;
}

harness_reply_t harness_http(const harness_request_t *request)
{
	const mc_clock_t *clock = mc_clock_system();
	mc_ms_t start = mc_clock_now(clock);
	harness_reply_t reply = { 0 };
	buffer_t body = { .data = calloc(1, 1) };
	struct curl_slist *headers = create_header_list(request);
	CURL *easy = create_curl_handle(request, headers, &body, &reply);
	long status = 0;
	CURLcode code = curl_easy_perform(easy);

	if (code == CURLE_OK)
		curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
	curl_easy_cleanup(easy);
	curl_slist_free_all(headers);
	reply.status = (int)status;
	reply.connected = code != CURLE_COULDNT_CONNECT;
	reply.body = body.data;
	reply.json = json_loadb(body.data, body.size, 0, NULL);
	reply.elapsed = mc_clock_now(clock) - start;
	return reply;
}

void harness_reply_free(harness_reply_t *reply)
{
	free(reply->body);
	json_decref(reply->json);
	*reply = (harness_reply_t){ 0 };
}

static void *run_call_thread(void *arg)
{
	harness_call_t *call = arg;

	call->reply = harness_http(&call->request);
	return NULL;
}

static char *copy_string(const char *text)
{
	return text ? strdup(text) : NULL;
}

harness_call_t *harness_http_start(const harness_request_t *request)
{
	harness_call_t *call = calloc(1, sizeof(*call));
	int i;

	assert_non_null(call);
	call->request.method = copy_string(request->method);
	call->request.url = copy_string(request->url);
	call->request.body = copy_string(request->body);
	for (i = 0; i < HARNESS_HEADERS_MAX; i++)
		call->request.headers[i] = copy_string(request->headers[i]);
	assert_int_equal(
		pthread_create(&call->thread, NULL, run_call_thread, call), 0);
	return call;
}

harness_reply_t harness_http_wait(harness_call_t *call)
{
	harness_reply_t reply;
	int i;

	pthread_join(call->thread, NULL);
	reply = call->reply;
	free((char *)call->request.method);
	free((char *)call->request.url);
	free((char *)call->request.body);
	for (i = 0; i < HARNESS_HEADERS_MAX; i++)
		free((char *)call->request.headers[i]);
	free(call);
	return reply;
}

static json_t *request_json(const harness_request_t *request)
{
	harness_reply_t reply = harness_http(request);
	json_t *json = json_incref(reply.json);
	int status = reply.status;

	harness_reply_free(&reply);
	if (status != 200 || !json)
		fail_msg("%s %s: status %d or no JSON body", request->method,
			 request->url, status);
	return json;
}

json_t *harness_post_json(const char *url, const char *body)
{
	return request_json(&(harness_request_t){
		.method = "POST", .url = url, .body = body });
}

json_t *harness_get_json(const char *url)
{
	return request_json(
		&(harness_request_t){ .method = "GET", .url = url });
}
