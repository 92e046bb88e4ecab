/*
 * Steady load on an installation, with one thread per caller. A request whose
 * error is marked "not_run" is recorded; at the end of the load the targets'
 * counts must show that it was not executed.
 */
#include <pthread.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <cmocka.h>

#include "cluster.h"

enum {
	THREADS_MAX = 64,
	/* Most requests marked "not_run" that are recorded and checked. */
	NOT_RUN_RECORDED_MAX = 100,
	ID_SIZE = 64,
	US_PER_MS = 1000,
};

/*
 * @index: number of the caller
 * @sent_count: number of its requests so far, skipped ones included
 */
typedef struct caller_t {
	pthread_t thread;
	cluster_load_t *load;
	uint32_t index;
	uint32_t sent_count;
} caller_t;

typedef struct cluster_load_state_t {
	/*
	 * Copy of the test's load with the running counts. The test's own
	 * struct is on its stack, which a failed test leaves while the callers
	 * still run.
	 */
	cluster_load_t load;
	pthread_mutex_t lock;
	bool stopping;
	/* Number of requests that got a response. */
	uint32_t answered;
	/* Requests to check, as arguments of cluster_execution_count(). */
	uint32_t not_run_count;
	char not_run_queries[NOT_RUN_RECORDED_MAX][ID_SIZE];
	caller_t callers[THREADS_MAX];
} load_state_t;

static void record_not_run(load_state_t *state, const harness_reply_t *reply,
			   const char *key)
{
	const char *id = cluster_reply_request_id(reply);
	char *query = state->not_run_queries[state->not_run_count];

	if (state->not_run_count == NOT_RUN_RECORDED_MAX || (!*key && !id))
		return;
	if (*key)
		snprintf(query, ID_SIZE, "key=%s", key);
	else
		snprintf(query, ID_SIZE, "request=%s", id);
	state->not_run_count++;
}

static void count_reply(cluster_load_t *load, const harness_reply_t *reply,
			const char *key)
{
	load_state_t *state = load->state;

	pthread_mutex_lock(&state->lock);
	if (!reply->status && reply->connected)
		load->connections_lost++;
	else if (!reply->status)
		load->connect_failures++;
	else if (reply->status != 200)
		load->error_replies++;
	else if (*key || cluster_reply_is_complete(reply))
		load->complete++;
	else
		load->partial++;
	state->answered += reply->status != 0;
	if (cluster_reply_is_not_run(reply)) {
		load->not_run++;
		record_not_run(state, reply, key);
	}
	pthread_mutex_unlock(&state->lock);
}

static bool is_stopping(cluster_load_t *load)
{
	bool stopping;

	pthread_mutex_lock(&load->state->lock);
	stopping = load->state->stopping;
	pthread_mutex_unlock(&load->state->lock);
	return stopping;
}

static void send_next_request(caller_t *caller)
{
	cluster_load_t *load = caller->load;
	uint32_t seq = caller->index + caller->sent_count++;
	const cluster_instance_t *instance =
		&load->cluster->instances[load->first_front +
					  seq % load->front_count];
	char key[ID_SIZE / 2] = "";
	harness_reply_t reply;

	if (load->skip_unready && !cluster_instance_is_ready(instance))
		return;
	if (load->include_runs && caller->sent_count % 2) {
		snprintf(key, sizeof(key), "load-%u-%u", caller->index,
			 caller->sent_count);
		reply = cluster_run(instance, key);
	} else {
		reply = cluster_search(instance);
	}
	count_reply(load, &reply, key);
	harness_reply_free(&reply);
}

static void *run_caller(void *arg)
{
	caller_t *caller = arg;

	while (!is_stopping(caller->load)) {
		send_next_request(caller);
		usleep(caller->load->pause_ms * US_PER_MS);
	}
	return NULL;
}

void cluster_load_start(cluster_load_t *load)
{
	load_state_t *state = calloc(1, sizeof(*state));
	caller_t *caller;
	uint32_t i;

	assert_non_null(state);
	assert_in_range(load->caller_count, 1, THREADS_MAX);
	load->state = state;
	load->cluster->load = state;
	state->load = *load;
	pthread_mutex_init(&state->lock, NULL);
	for (i = 0; i < load->caller_count; i++) {
		caller = &state->callers[i];
		*caller = (caller_t){ .load = &state->load, .index = i };
		assert_int_equal(pthread_create(&caller->thread, NULL,
						run_caller, caller),
				 0);
	}
}

typedef struct progress_t {
	load_state_t *state;
	uint32_t answered_goal;
} progress_t;

static bool has_reached_count(void *ctx)
{
	progress_t *progress = ctx;
	bool reached;

	pthread_mutex_lock(&progress->state->lock);
	reached = progress->state->answered >= progress->answered_goal;
	pthread_mutex_unlock(&progress->state->lock);
	return reached;
}

void cluster_load_wait_answered(cluster_load_t *load, uint32_t count)
{
	progress_t progress = { .state = load->state };

	pthread_mutex_lock(&load->state->lock);
	progress.answered_goal = load->state->answered + count;
	pthread_mutex_unlock(&load->state->lock);
	harness_wait_until("callers got the expected number of responses",
			   has_reached_count, &progress);
}

static void stop_callers(load_state_t *state)
{
	uint32_t i;

	pthread_mutex_lock(&state->lock);
	state->stopping = true;
	pthread_mutex_unlock(&state->lock);
	for (i = 0; i < state->load.caller_count; i++)
		pthread_join(state->callers[i].thread, NULL);
	state->load.cluster->load = NULL;
}

static void free_state(load_state_t *state)
{
	pthread_mutex_destroy(&state->lock);
	free(state);
}

void cluster_load_abort(cluster_t *cluster)
{
	load_state_t *state = cluster->load;

	if (!state)
		return;
	stop_callers(state);
	free_state(state);
}

void cluster_load_finish(cluster_load_t *load)
{
	load_state_t *state = load->state;
	uint32_t i;

	stop_callers(state);
	*load = state->load;
	for (i = 0; i < state->not_run_count; i++) {
		const char *query = state->not_run_queries[i];
		bool is_search =
			!strncmp(query, "request=", strlen("request="));

		if (cluster_execution_count(load->cluster, query,
					    is_search ? "search" : "run"))
			fail_msg("request reported as not run was executed: %s",
				 query);
	}
	load->state = NULL;
	free_state(state);
}

void cluster_start_with_load(cluster_load_t *load, const char *body,
			     uint32_t answers)
{
	cluster_t *cluster = load->cluster;

	cluster_start(cluster);
	cluster_control_all_targets(cluster, body);
	cluster_wait_complete_answers(cluster);
	cluster_load_start(load);
	cluster_load_wait_answered(load, answers);
}

void cluster_print_target_counters(const cluster_target_t *target,
				   const char *when)
{
	print_message(
		"%s: queries=%lld breaches=%lld cold_breaches=%lld "
		"most=%lld\n",
		when, (long long)cluster_target_counter(target, "queries"),
		(long long)cluster_target_counter(target, "breaches"),
		(long long)cluster_target_counter(target, "cold_breaches"),
		(long long)cluster_target_counter(target, "max_in_flight"));
}
