/*
 * Stand-in for targets: one process serves several targets, each on its own
 * port, with the protocol of docs/PROTOCOL.md and behaviour that a test sets.
 * The number in flight counts sub-queries; a run counts as one.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "target.h"

enum {
	TARGETS_MAX = 1024,
	HITS_MAX = 1000,
	/*
	 * Score of the first hit of shard 0. Scores decrease by 1 per rank and
	 * by 1 / SCORE_SHARD_DIVISOR per shard number.
	 */
	SCORE_MAX = 1000000,
	SCORE_SHARD_DIVISOR = 8192,
};

static void release_query(target_t *target, query_t *query)
{
	if (query->counted)
		target->in_flight--;
	query->counted = false;
}

static void job_free(void *arg)
{
	job_t *job = arg;
	target_t *target = job->target;
	size_t i;

	pthread_mutex_lock(&target->lock);
	TAILQ_REMOVE(&target->jobs, job, entry);
	for (i = 0; i < job->count; i++)
		release_query(target, &job->queries[i]);
	pthread_mutex_unlock(&target->lock);
	for (i = 0; i < job->count; i++) {
		free(job->queries[i].request);
		free(job->queries[i].snapshot);
	}
	free(job->queries);
	free(job->key);
	free(job);
}

static job_t *job_create(target_t *target, standin_exchange_t *exchange,
			 size_t count)
{
	job_t *job = calloc(1, sizeof(*job));

	if (!job)
		return NULL;
	job->target = target;
	job->exchange = exchange;
	job->queries = calloc(count + 1, sizeof(*job->queries));
	if (!job->queries) {
		free(job);
		return NULL;
	}
	job->count = count;
	exchange->handler_data = job;
	exchange->free_handler_data = job_free;
	TAILQ_INSERT_TAIL(&target->jobs, job, entry);
	return job;
}

static char *copy_string(const json_t *json, const char *key)
{
	const char *text = json_string_value(json_object_get(json, key));

	return strdup(text ? text : "");
}

/* Counts the query as in flight; returns false if it is shed instead. */
static bool admit(target_t *target, query_t *query)
{
	const behaviour_t *behaviour = &target->behaviour;
	bool cold = standin_now_us() < target->cold_start_end;
	json_int_t capacity =
		cold ? behaviour->cold_capacity : behaviour->capacity;

	if (capacity > 0 && target->in_flight >= capacity) {
		target->totals.over_capacity++;
		if (cold)
			target->totals.cold_over_capacity++;
		if (behaviour->shed) {
			target->totals.sheds++;
			return false;
		}
	}
	query->counted = true;
	target->in_flight++;
	if (target->in_flight > target->totals.max_in_flight)
		target->totals.max_in_flight = target->in_flight;
	return true;
}

static bool has_snapshot(const target_t *target, const char *snapshot)
{
	size_t i;
	json_t *id;

	json_array_foreach(
		target->snapshots, i,
		id) if (!strcmp(json_string_value(id), snapshot)) return true;
	return false;
}

static void start_query(target_t *target, query_t *query, const json_t *json)
{
	query->request = copy_string(json, "request");
	query->snapshot = copy_string(json, "snapshot");
	query->shard = json_integer_value(json_object_get(json, "shard"));
	query->limit = json_integer_value(json_object_get(json, "limit"));
	if (query->limit > HITS_MAX)
		query->limit = HITS_MAX;
	target->totals.queries++;
	if (!admit(target, query)) {
		query->error = "shed";
		return;
	}
	counts_increment(&target->counts, "search", query->request);
	if (!has_snapshot(target, query->snapshot))
		query->error = "snapshot";
	else if (target_chance(target, target->behaviour.fail_search_percent))
		query->error = "internal";
}

static json_t *hits_json(const query_t *query)
{
	char id[2 * TARGET_NAME_SIZE];
	json_t *hits = json_array();
	json_int_t i;
	double score;

	for (i = 0; i < query->limit; i++) {
		snprintf(id, sizeof(id), "%.64s/%lld/%lld", query->snapshot,
			 (long long)query->shard, (long long)i);
		score = (double)(SCORE_MAX - i) -
			(double)query->shard / SCORE_SHARD_DIVISOR;
		json_array_append_new(
			hits, json_pack("{ss sf}", "id", id, "score", score));
	}
	return hits;
}

static json_t *answer_json(const target_t *target, const query_t *query)
{
	const char *echo = target->behaviour.echo_snapshot;

	if (query->error)
		return json_pack("{ss sI ss}", "request", query->request,
				 "shard", query->shard, "error", query->error);
	return json_pack("{ss sI ss so}", "request", query->request, "shard",
			 query->shard, "snapshot",
			 *echo ? echo : query->snapshot, "hits",
			 hits_json(query));
}

static json_t *report_json(const target_t *target)
{
	int64_t cold_us = target->cold_start_end - standin_now_us();

	return json_pack(
		"{ss ss sb sf sI sO}", "start", target->start_id, "version",
		target->behaviour.version, "draining",
		(int)target->behaviour.draining, "load",
		target_reported_load(target), "cold_ms",
		(json_int_t)(cold_us > 0 ? cold_us / STANDIN_US_PER_MS : 0),
		"snapshots", target->snapshots);
}

/*
 * Delays the job. If the delay is longer than the deadline in the request, the
 * queries of a search fail at the deadline, while a run takes its full time.
 */
static enum MHD_Result delay_job(target_t *target, job_t *job)
{
	const char *header = standin_header(job->exchange, "Deadline-Ms");
	int64_t delay = target->behaviour.delay_us;
	int64_t deadline;
	size_t i;

	if (target_chance(target, target->behaviour.slow_percent))
		delay = (int64_t)((double)delay *
				  target->behaviour.delay_factor);
	deadline = header ? strtoll(header, NULL, 10) * STANDIN_US_PER_MS : 0;
	if (header && !job->key && delay > deadline) {
		delay = deadline;
		for (i = 0; i < job->count; i++)
			if (!job->queries[i].error)
				job->queries[i].error = "deadline";
	}
	return standin_delay(job->exchange, standin_now_us() + delay);
}

static enum MHD_Result reply_to_search(target_t *target, job_t *job)
{
	json_t *answers = json_array();
	json_t *json = report_json(target);
	query_t *query;
	size_t i;

	for (i = 0; i < job->count; i++) {
		query = &job->queries[i];
		release_query(target, query);
		if (!query->canceled)
			json_array_append_new(answers,
					      answer_json(target, query));
	}
	json_object_set_new(json, "answers", answers);
	return standin_reply_json(job->exchange, MHD_HTTP_OK, json);
}

static void record_request(target_t *target)
{
	target->last_request_time = standin_now_us();
	if (target->behaviour.draining)
		target->totals.draining_requests++;
}

static enum MHD_Result start_search(target_t *target,
				    standin_exchange_t *exchange,
				    const json_t *json)
{
	const json_t *queries = json_object_get(json, "queries");
	bool has_pending = false;
	size_t i;
	json_t *query;
	job_t *job;

	job = job_create(target, exchange, json_array_size(queries));
	if (!job)
		return MHD_NO;
	record_request(target);
	target->totals.search_requests++;
	json_array_foreach(queries, i, query)
	{
		start_query(target, &job->queries[i], query);
		has_pending = has_pending || !job->queries[i].error;
	}
	if (has_pending && target->behaviour.delay_us)
		return delay_job(target, job);
	return reply_to_search(target, job);
}

static enum MHD_Result reply_error(standin_exchange_t *exchange,
				   unsigned int status, const char *error)
{
	return standin_reply_json(exchange, status,
				  json_pack("{ss}", "error", error));
}

static enum MHD_Result reply_to_run(target_t *target, job_t *job)
{
	json_t *json;

	release_query(target, &job->queries[0]);
	if (target->behaviour.drop_run)
		return MHD_NO;
	if (target_chance(target, target->behaviour.fail_run_percent))
		return reply_error(job->exchange,
				   MHD_HTTP_INTERNAL_SERVER_ERROR, "internal");
	json = report_json(target);
	json_object_set_new(json, "result", json_pack("{ss}", "ran", job->key));
	return standin_reply_json(job->exchange, MHD_HTTP_OK, json);
}

static enum MHD_Result start_run(target_t *target, standin_exchange_t *exchange,
				 const json_t *json)
{
	job_t *job;

	record_request(target);
	if (target->behaviour.draining)
		return reply_error(exchange, MHD_HTTP_SERVICE_UNAVAILABLE,
				   "draining");
	job = job_create(target, exchange, 1);
	if (!job)
		return MHD_NO;
	job->key = copy_string(json, "key");
	job->queries[0].request = copy_string(json, "request");
	if (!admit(target, &job->queries[0]))
		return reply_error(exchange, MHD_HTTP_SERVICE_UNAVAILABLE,
				   "shed");
	target->totals.runs++;
	counts_increment(&target->counts, "run", job->queries[0].request);
	counts_increment(&target->counts, "key", job->key);
	if (target->behaviour.delay_us)
		return delay_job(target, job);
	return reply_to_run(target, job);
}

/*
 * Cancels the matching queries of a job. Ends the delay of the job if no query
 * is left.
 */
static void cancel_in_job(target_t *target, job_t *job, const char *request,
			  json_int_t shard)
{
	bool has_pending = false;
	query_t *query;
	size_t i;

	for (i = 0; i < job->count; i++) {
		query = &job->queries[i];
		if (!query->canceled && query->counted &&
		    query->shard == shard && !strcmp(query->request, request)) {
			query->canceled = true;
			release_query(target, query);
			target->totals.canceled++;
		}
		has_pending = has_pending || !query->canceled;
	}
	if (!has_pending)
		standin_resume(job->exchange);
}

static enum MHD_Result cancel_queries(target_t *target,
				      standin_exchange_t *exchange,
				      const json_t *json)
{
	json_t *entry;
	job_t *job;
	size_t i;

	json_array_foreach(json_object_get(json, "requests"), i, entry)
	{
		const char *request =
			json_string_value(json_object_get(entry, "request"));
		json_int_t shard =
			json_integer_value(json_object_get(entry, "shard"));

		if (!request)
			continue;
		TAILQ_FOREACH(job, &target->jobs, entry)
		if (!job->key)
			cancel_in_job(target, job, request, shard);
	}
	return standin_reply(exchange, MHD_HTTP_OK, NULL, "{}", 2);
}

static enum MHD_Result dispatch_request(target_t *target,
					standin_exchange_t *exchange)
{
	enum MHD_Result result;
	json_t *json;

	json = json_loadb(exchange->body, exchange->size, JSON_DECODE_ANY,
			  NULL);
	if (!strcmp(exchange->path, "/report"))
		result = standin_reply_json(exchange, MHD_HTTP_OK,
					    report_json(target));
	else if (!json)
		result =
			reply_error(exchange, MHD_HTTP_BAD_REQUEST, "internal");
	else if (!strcmp(exchange->path, "/search"))
		result = start_search(target, exchange, json);
	else if (!strcmp(exchange->path, "/run"))
		result = start_run(target, exchange, json);
	else if (!strcmp(exchange->path, "/cancel"))
		result = cancel_queries(target, exchange, json);
	else
		result = reply_error(exchange, MHD_HTTP_NOT_FOUND, "internal");
	json_decref(json);
	return result;
}

static enum MHD_Result serve_request(target_t *target,
				     standin_exchange_t *exchange)
{
	job_t *job = exchange->handler_data;

	if (!strcmp(exchange->path, "/standin"))
		return target_serve_control(target, exchange);
	if (target->behaviour.down)
		return MHD_NO;
	if (!job)
		return dispatch_request(target, exchange);
	if (job->key)
		return reply_to_run(target, job);
	return reply_to_search(target, job);
}

static enum MHD_Result handle_request(void *ctx, standin_exchange_t *exchange)
{
	target_t *target = ctx;
	enum MHD_Result result;

	pthread_mutex_lock(&target->lock);
	result = serve_request(target, exchange);
	pthread_mutex_unlock(&target->lock);
	return result;
}

static void target_start(target_t *target, uint16_t port)
{
	target->behaviour = (behaviour_t){
		.delay_factor = 1,
		.reported_load = -1,
		.version = "v1",
	};
	pthread_mutex_init(&target->lock, NULL);
	TAILQ_INIT(&target->jobs);
	target->snapshots = json_pack("[s]", "s1");
	/* Holds back requests until the target is initialized. */
	pthread_mutex_lock(&target->lock);
	target->port = standin_serve(port, handle_request, target);
	mc_random_seed(&target->random, target->port);
	target_restart(target);
	target->last_request_time = standin_now_us();
	pthread_mutex_unlock(&target->lock);
	standin_print_port(target->port);
}

int main(int argc, char **argv)
{
	long port = standin_option(argc, argv, "--port", 0);
	long count = standin_option(argc, argv, "--count", 1);
	target_t *targets;
	long i;

	if (count < 1 || count > TARGETS_MAX)
		return EXIT_FAILURE;
	standin_block_signals();
	standin_start_timers();
	targets = calloc((size_t)count, sizeof(*targets));
	if (!targets)
		return EXIT_FAILURE;
	for (i = 0; i < count; i++)
		target_start(&targets[i], (uint16_t)(port ? port + i : 0));
	standin_wait_for_exit_signal();
}
