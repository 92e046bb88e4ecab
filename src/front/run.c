/*
 * Requests that must run at most once. The idempotency key is claimed in the
 * store, then one sub-query is sent to one target; it is never hedged or
 * retried. The retry library's state machine decides what the caller gets.
 */
#include "run_private.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
	RUNS_MAX = 4096,
	/* Calls to the store may outlive their runs. */
	STORE_CALLS_MAX = 4 * RUNS_MAX,
	/* The response is sent this long before the caller's deadline. */
	ANSWER_MARGIN_MS = 3,
	/* Subtracted from the time left for transit to and from the gather. */
	TRANSIT_MS = 5,
	MESSAGE_SIZE = 256,
};

mc_err_t run_init(front_t *front)
{
	front->runs = mc_table_create(sizeof(run_t), RUNS_MAX);
	front->store_calls =
		mc_table_create(sizeof(store_call_t), STORE_CALLS_MAX);
	return front->runs && front->store_calls ? MC_OK : MC_ERR_NO_MEMORY;
}

static void run_free(run_t *run)
{
	front_t *front = run->front;

	mc_timer_cancel(front->shard, run->deadline_timer);
	mc_timer_cancel(front->shard, run->read_timer);
	mc_view_unref(run->view);
	free(run->text);
	mc_table_remove(front->runs, run->handle);
}

void run_destroy(front_t *front)
{
	uint32_t cursor = 0;
	mc_handle_t handle;
	run_t *run;

	while (front->runs &&
	       (run = mc_table_next(front->runs, &cursor, &handle)))
		run_free(run);
	mc_table_destroy(front->runs);
	mc_table_destroy(front->store_calls);
}

static void finish_run(run_t *run)
{
	front_t *front = run->front;
	mc_ms_t now = mc_shard_now(front->shard);

	mc_counters_record_latency(mc_shard_counters(front->shard),
				   now - run->started_at);
	mc_admission_leave(front->admission, MC_CLASS_INTERACTIVE,
			   now - run->started_at, false, now);
	run_free(run);
}

static void reply_result(run_t *run, const char *result, bool repeated)
{
	json_t *value = json_loads(result, JSON_DECODE_ANY, NULL);
	json_t *root =
		json_pack("{s:s, s:b, s:o}", "request", run->id, "repeated",
			  repeated, "result", value ? value : json_null());
	char *text = json_dumps(root, JSON_COMPACT);

	json_decref(root);
	if (text)
		front_reply_json(run->front, run->exchange, 200, text);
	free(text);
	mc_counter_add(mc_shard_counters(run->front->shard), MC_COUNTER_ANSWERS,
		       1);
}

void run_reply_repeated(run_t *run, const json_t *result)
{
	char *text = json_dumps(result, JSON_COMPACT | JSON_ENCODE_ANY);

	mc_log(run->front->log, MC_LOG_INFO, "run",
	       "key was used before, stored result repeated request=%s key=%s",
	       run->id, run->key);
	mc_counter_add(mc_shard_counters(run->front->shard),
		       MC_COUNTER_RUNS_DUPLICATE, 1);
	reply_result(run, text ? text : "null", true);
	free(text);
	finish_run(run);
}

static void fail_run(run_t *run)
{
	mc_counters_t *counters = mc_shard_counters(run->front->shard);
	mc_err_t reason = run->once.reason;
	char message[MESSAGE_SIZE];

	if (reason == MC_ERR_DUPLICATE)
		mc_counter_add(counters, MC_COUNTER_RUNS_DUPLICATE, 1);
	if (reason == MC_ERR_OUTCOME_UNKNOWN)
		mc_counter_add(counters, MC_COUNTER_RUNS_UNKNOWN, 1);
	if (mc_error_response(reason)->not_run)
		claim_release(run);
	snprintf(message, sizeof(message), "request %s, key %s", run->id,
		 run->key);
	mc_log(run->front->log, MC_LOG_INFO, "run",
	       "run ended without a result request=%s key=%s reason=%s",
	       run->id, run->key, mc_error_name(reason));
	front_reply_error(run->front, run->exchange, reason, message, -1);
	finish_run(run);
}

/* Chooses a target of the shard that the request's route key hashes to. */
static mc_err_t choose_target(run_t *run, mc_route_choice_t *choice)
{
	front_t *front = run->front;
	const mc_config_t *config = run->view->config;
	mc_route_query_t route_query = {
		.request_hash = mc_hash_string(run->key),
		.now = mc_shard_now(front->shard),
	};
	const mc_row_t *snapshots;
	uint32_t count;

	/*
	 * The view may have become too old or the configuration may have
	 * changed while the key was claimed or the process was paused.
	 */
	if (front_check_ready(front) || config != front->view->config)
		return MC_ERR_NOT_READY;
	snapshots = mc_config_service_snapshots(config, run->service, &count);
	if (!count)
		return MC_ERR_NO_SNAPSHOT;
	route_query.layout = config->snapshots[snapshots[0]].layout;
	route_query.shard =
		(uint32_t)(run->route_hash %
			   config->layouts[route_query.layout].shard_count);
	mc_router_begin_request(front->router);
	return mc_router_choose(front->router, &route_query,
				mc_shard_random(front->shard), choice);
}

static sub_query_t *add_sub_query(run_t *run, mc_route_choice_t choice)
{
	front_t *front = run->front;
	mc_handle_t handle;
	sub_query_t *sub;
	void *record;

	if (mc_table_add(front->sub_queries, &handle, &record))
		return NULL;
	sub = record;
	*sub = (sub_query_t){
		.handle = handle,
		.run = run->handle,
		.gather = gather_for_choice(front, choice),
		.choice = choice,
		.sent_at = mc_shard_now(front->shard),
		.router_epoch = front->router_epoch,
	};
	run->sub = handle;
	mc_router_record_sent(front->router, choice);
	return sub;
}

static mc_err_t send_run(run_t *run, const sub_query_t *sub)
{
	front_t *front = run->front;
	const mc_config_t *config = run->view->config;
	const mc_wire_message_t message = {
		.kind = MC_WIRE_RUN,
		.run = {
			.id = mc_handle_pack(sub->handle),
			.request = run->id,
			.key = run->key,
			.service = config->services[run->service].name,
			.target_key = config->targets[sub->choice.target].key,
			.query = run->text,
			.time_left = run->deadline -
				     mc_shard_now(front->shard) - TRANSIT_MS,
		},
	};

	return gather_send(front, sub->gather, &message);
}

static void dispatch_run(run_t *run)
{
	front_t *front = run->front;
	mc_route_choice_t choice;
	sub_query_t *sub;
	mc_err_t err = choose_target(run, &choice);

	if (err) {
		run_step(run, MC_ONCE_EV_NOT_RUN, err, NULL);
		return;
	}
	sub = add_sub_query(run, choice);
	if (!sub) {
		run_step(run, MC_ONCE_EV_NOT_RUN, MC_ERR_FULL, NULL);
		return;
	}
	if (mc_once_step(&run->once, MC_ONCE_EV_DISPATCH, MC_OK) !=
	    MC_ONCE_DO_DISPATCH)
		return;
	mc_log(front->log, MC_LOG_INFO, "run",
	       "request dispatched request=%s key=%s target=%s", run->id,
	       run->key, run->view->config->targets[choice.target].address);
	mc_counter_add(mc_shard_counters(front->shard), MC_COUNTER_RUNS, 1);
	err = send_run(run, sub);
	if (!err)
		return;
	/* The frame was not queued, so no byte of it was sent. */
	sub_query_finish(front, sub, -1);
	run_step(run, MC_ONCE_EV_NOT_RUN, MC_ERR_NO_TARGET, NULL);
}

void run_step(run_t *run, mc_once_event_t event, mc_err_t reason,
	      const char *result)
{
	mc_once_action_t action = mc_once_step(&run->once, event, reason);

	switch (action) {
	case MC_ONCE_DO_CLAIM:
		claim_create(run);
		break;
	case MC_ONCE_DO_ANSWER:
		claim_complete(run, result);
		reply_result(run, result, false);
		finish_run(run);
		break;
	case MC_ONCE_DO_REFUSE:
		fail_run(run);
		break;
	case MC_ONCE_DO_DISPATCH:
	case MC_ONCE_DO_NOTHING:
		if (event == MC_ONCE_EV_CLAIM_GRANTED &&
		    run->once.state == MC_ONCE_CLAIMED)
			dispatch_run(run);
		break;
	}
}

static void on_deadline(mc_shard_t *shard, void *arg)
{
	run_t *run = arg;
	sub_query_t *sub = mc_table_get(run->front->sub_queries, run->sub);
	mc_err_t reason = MC_ERR_DEADLINE_PAST;

	(void)shard;
	run->deadline_timer = MC_HANDLE_NONE;
	if (sub)
		sub_query_finish(run->front, sub, -1);
	if (front_is_stop_deadline(run->front, run->deadline))
		reason = MC_ERR_STOPPING;
	else if (run->once.state == MC_ONCE_CLAIMING)
		reason = MC_ERR_STORE_UNAVAILABLE;
	run_step(run, MC_ONCE_EV_LOST, reason, NULL);
}

static void set_deadline_timer(run_t *run)
{
	mc_timer_set(run->front->shard, run->deadline, on_deadline, run,
		     &run->deadline_timer);
}

static void limit_deadline(run_t *run)
{
	mc_ms_t deadline = front_limit_deadline(run->front, run->deadline);

	if (deadline == run->deadline)
		return;
	run->deadline = deadline;
	mc_timer_cancel(run->front->shard, run->deadline_timer);
	set_deadline_timer(run);
}

void run_limit_deadlines(front_t *front)
{
	uint32_t cursor = 0;
	mc_handle_t handle;
	run_t *run;

	while ((run = mc_table_next(front->runs, &cursor, &handle)))
		limit_deadline(run);
}

static run_t *create_run(front_t *front, mc_handle_t exchange,
			 run_request_t *request)
{
	const char *service =
		front->view->config->services[request->service].name;
	mc_ms_t now = mc_shard_now(front->shard);
	mc_handle_t handle;
	run_t *run;
	void *slot;

	if (mc_table_add(front->runs, &handle, &slot))
		return NULL;
	run = slot;
	run->front = front;
	run->handle = handle;
	run->exchange = exchange;
	run->service = request->service;
	run->route_hash = request->route_hash;
	run->started_at = now;
	run->deadline = front_limit_deadline(front, now + request->time_left -
							    ANSWER_MARGIN_MS);
	run->text = request->text;
	request->text = NULL;
	run->view = mc_view_ref(front->view);
	front_make_request_id(front, run->id);
	memcpy(run->key, request->key, sizeof(run->key));
	snprintf(run->claim_name, sizeof(run->claim_name), "%s%s/%s",
		 MC_STORE_CLAIM_PREFIX, service, run->key);
	return run;
}

void run_begin(front_t *front, mc_handle_t exchange, run_request_t *request)
{
	mc_ms_t now = mc_shard_now(front->shard);
	mc_ms_t retry_after = -1;
	run_t *run;
	mc_err_t err =
		mc_admission_enter(front->admission, MC_CLASS_INTERACTIVE,
				   request->time_left, now, &retry_after);

	if (err) {
		front_reply_error(front, exchange, err,
				  "refused by admission control", retry_after);
		return;
	}
	run = create_run(front, exchange, request);
	if (!run) {
		mc_admission_leave(front->admission, MC_CLASS_INTERACTIVE, 0,
				   true, now);
		front_reply_error(front, exchange, MC_ERR_OVERLOADED,
				  "too many requests in progress", -1);
		return;
	}
	set_deadline_timer(run);
	run_step(run, MC_ONCE_EV_CLAIM, MC_OK, NULL);
}

static run_t *finish_sub_query(front_t *front, sub_query_t *sub, mc_err_t err)
{
	run_t *run = mc_table_get(front->runs, sub->run);
	mc_ms_t latency = mc_shard_now(front->shard) - sub->sent_at;

	if (run)
		outcomes_add(front, run->view, sub->choice.target,
			     FRONT_ROUTE_RUN, err, latency);
	sub_query_finish(front, sub, err ? -1 : latency);
	return run;
}

void run_handle_result(front_t *front, sub_query_t *sub,
		       const mc_wire_run_result_t *result)
{
	run_t *run = finish_sub_query(front, sub, result->err);

	if (!run)
		return;
	if (!result->err)
		run_step(run, MC_ONCE_EV_ANSWER, MC_OK, result->result);
	else if (mc_error_response(result->err)->not_run)
		run_step(run, MC_ONCE_EV_NOT_RUN, result->err, NULL);
	else
		run_step(run, MC_ONCE_EV_LOST, result->err, NULL);
}

void run_handle_link_loss(front_t *front, sub_query_t *sub)
{
	run_t *run = finish_sub_query(front, sub, MC_ERR_IO);

	if (run)
		run_step(run, MC_ONCE_EV_LOST, MC_ERR_IO, NULL);
}
