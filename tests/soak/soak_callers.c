/*
 * Callers of the soak: each is a thread that sends requests on connections to
 * random instances and checks every response.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <cmocka.h>

#include "soak.h"

enum {
	RECORD_SIZE = 16,
	TOP_RECORDS = 6,
	/* A caller opens a new connection after this many requests. */
	REQUESTS_PER_CONNECTION_MAX = 20,
};

/*
 * Checks a merged response. The first bytes of each part's records are 100, 99,
 * 98 and so on, so the merged records start with the first record of each part,
 * followed by the second of each, and so on.
 */
static void check_merged_response(soak_t *soak, const char *id,
				  const char *head, const char *body)
{
	char stamps[4096] = "", missing[16] = "0", *part, *rest = NULL;
	unsigned int parts = 0, i;
	char suffix[SEARCHER_ID_SIZE + 2];

	raw_get_header(head, "Mangocove-Part-Stamps", stamps, sizeof(stamps));
	raw_get_header(head, "Mangocove-Missing-Parts", missing,
		       sizeof(missing));
	snprintf(suffix, sizeof(suffix), ".%s", id);
	for (part = strtok_r(stamps, ", ", &rest); part;
	     part = strtok_r(NULL, ", ", &rest)) {
		parts++;
		if (strlen(part) < strlen(suffix) ||
		    strcmp(part + strlen(part) - strlen(suffix), suffix))
			soak_report_violation(
				soak, "signature of another attempt", id, part);
	}
	if (parts + strtoul(missing, NULL, 10) != SITE_SHARDS)
		soak_report_violation(soak,
				      "named and missing parts do not add up",
				      id, missing);
	if (parts < 3) {
		soak_report_violation(soak, "too few parts", id, missing);
		return;
	}
	for (i = 0; i < TOP_RECORDS; i++)
		if (body[(size_t)i * RECORD_SIZE] != 100 - (int)(i / parts))
			soak_report_violation(soak,
					      "records of a merged response",
					      id, "not the top-ranked records");
}

static void record_refused_id(soak_t *soak, const char *id)
{
	pthread_mutex_lock(&soak->lock);
	if (soak->refused_count < REFUSED_IDS_MAX)
		snprintf(soak->refused_ids[soak->refused_count++],
			 SEARCHER_ID_SIZE, "%s", id);
	pthread_mutex_unlock(&soak->lock);
}

/*
 * Sends one request on an open connection and checks the response. Returns
 * false if no response came or the connection cannot be used again.
 */
static bool send_request(soak_t *soak, int fd, uint32_t kind)
{
	static const char *const paths[] = { "GET /all/x", "GET /one/x",
					     "POST /once/x" };
	char id[SEARCHER_ID_SIZE], text[512], value[256];
	char *head = malloc(RAW_HEAD_MAX + 8192);
	char *body = head + RAW_HEAD_MAX;
	int status;

	snprintf(id, sizeof(id), "a%u",
		 __atomic_add_fetch(&soak->attempt_count, 1, __ATOMIC_RELAXED));
	snprintf(text, sizeof(text),
		 "%s HTTP/1.1\r\nHost: site.example\r\n"
		 "Mangocove-Attempt-Id: %s\r\nMangocove-Deadline-Ms: %d\r\n"
		 "Content-Length: 0\r\n\r\n",
		 paths[kind], id, DEADLINE_MS);
	status = raw_send(fd, text) ? raw_read_response(fd, head, body, 8192)
				    : 0;
	if (status)
		__atomic_add_fetch(&soak->answer_count, 1, __ATOMIC_RELAXED);
	if (status == 200 && kind == 0) {
		check_merged_response(soak, id, head, body);
	} else if (status == 200) {
		if (!raw_get_header(head, "Mangocove-Attempt-Id", value,
				    sizeof(value)) ||
		    strcmp(value, id))
			soak_report_violation(
				soak, "response to another attempt", id, value);
		if (!raw_get_header(head, "Mangocove-Server-Stamp", value,
				    sizeof(value)))
			soak_report_violation(
				soak, "success without a signature", id, "");
		if (!raw_get_header(head, "Content-Length", value,
				    sizeof(value)) ||
		    strtol(value, NULL, 10) != SEARCHER_RECORDS * RECORD_SIZE)
			soak_report_violation(soak, "body has the wrong length",
					      id, value);
	} else if (status == 404 || status == 400) {
		soak_report_violation(soak, "valid request rejected", id, head);
	}
	if (kind == 2 && (status == 503 || status == 429))
		record_refused_id(soak, id);
	if (!status || raw_get_header(head, "Connection", value, sizeof(value)))
		status = 0;
	free(head);
	return status != 0;
}

void *callers_run(void *arg)
{
	soak_t *soak = arg;
	mc_random_t random;
	int fd, i;

	mc_random_seed(&random, (uint64_t)(uintptr_t)&random);
	while (!__atomic_load_n(&soak->stopping, __ATOMIC_RELAXED)) {
		uint32_t index = mc_random_below(&random, INSTANCE_COUNT);

		fd = raw_connect(soak->site->instances[index].caller_port);
		for (i = 0; fd >= 0 && i < REQUESTS_PER_CONNECTION_MAX; i++)
			if (!send_request(soak, fd,
					  mc_random_below(&random, 3)))
				break;
		if (fd >= 0)
			close(fd);
		usleep(10000);
	}
	return NULL;
}
