/*
 * Requests that must run at most once. Such a request takes a slot of the
 * target's limiter, is sent on a connection of its own and is never retried. It
 * is reported as not run only if no byte of it was sent, or if the target's
 * response says so.
 */
#include "gather_private.h"

#include <stdlib.h>
#include <string.h>

static void reply_result(gather_t *gather, reply_route_t route, uint64_t id,
			 mc_err_t err, const char *result)
{
	const mc_wire_message_t message = {
		.kind = MC_WIRE_RUN_RESULT,
		.run_result = { .id = id, .err = err, .result = result },
	};

	gather_reply_message(gather, route, &message);
}

/*
 * Returns the reason for which the target refused the request without running
 * it; MC_ERR_OUTCOME_UNKNOWN if the response does not say so.
 */
static mc_err_t refusal_error(const json_t *root)
{
	const char *error = json_string_value(json_object_get(root, "error"));

	if (error && !strcmp(error, "shed"))
		return MC_ERR_TARGET_SHED;
	if (error && !strcmp(error, "draining"))
		return MC_ERR_TARGET_DRAINING;
	return MC_ERR_OUTCOME_UNKNOWN;
}

static mc_err_t response_error(const mc_http_response_t *response,
			       const json_t *root)
{
	if (response->err)
		return response->maybe_sent ? MC_ERR_OUTCOME_UNKNOWN
					    : MC_ERR_NO_TARGET;
	if (response->status == 503)
		return refusal_error(root);
	if (response->status != 200 || !json_object_get(root, "result"))
		return MC_ERR_OUTCOME_UNKNOWN;
	return MC_OK;
}

static mc_limit_outcome_t limit_outcome(mc_err_t err)
{
	if (!err)
		return MC_LIMIT_ANSWERED;
	return err == MC_ERR_TARGET_SHED ? MC_LIMIT_SHED : MC_LIMIT_FAILED;
}

static void on_run(void *ctx, const mc_http_response_t *response)
{
	run_t *run = ctx;
	gather_t *gather = run->gather;
	target_t *target = mc_table_get(gather->targets, run->target);
	json_t *root = json_loadb(response->body, response->body_size, 0, NULL);
	mc_err_t err = response_error(response, root);
	mc_ms_t now = mc_shard_now(gather->shard);
	char *result = NULL;

	gather->runs_in_flight--;
	if (!err)
		result = json_dumps(json_object_get(root, "result"),
				    JSON_COMPACT | JSON_ENCODE_ANY);
	reply_result(gather, run->route, run->id, err, result ? result : "");
	if (target) {
		mc_limiter_release(target->limiter, limit_outcome(err),
				   now - run->sent_at, now);
		if (!err)
			report_apply(gather, target, root);
		dispatch_schedule_flush(gather, target);
	}
	free(result);
	json_decref(root);
	mc_table_remove(gather->runs, run->handle);
}

static run_t *add_run(gather_t *gather, const target_t *target,
		      reply_route_t route, uint64_t id)
{
	mc_handle_t handle;
	run_t *run;
	void *slot;

	if (mc_table_add(gather->runs, &handle, &slot))
		return NULL;
	run = slot;
	*run = (run_t){
		.gather = gather,
		.handle = handle,
		.route = route,
		.id = id,
		.target = target->handle,
		.sent_at = mc_shard_now(gather->shard),
	};
	return run;
}

static mc_err_t send_run(gather_t *gather, target_t *target,
			 reply_route_t route, const mc_wire_run_t *from)
{
	run_t *run = add_run(gather, target, route, from->id);
	char *body = target_http_encode_run(from);
	mc_err_t err = MC_ERR_NO_MEMORY;

	if (run && body)
		err = target_http_send(gather, target, "/run", body,
				       from->time_left, true, on_run, run,
				       NULL);
	free(body);
	if (!err)
		gather->runs_in_flight++;
	else if (run)
		mc_table_remove(gather->runs, run->handle);
	return err ? MC_ERR_FULL : MC_OK;
}

/*
 * Finds the target and takes a slot of its limiter; returns the reason if it
 * can't.
 */
static mc_err_t acquire_target(gather_t *gather, const mc_wire_run_t *run,
			       target_t **target)
{
	mc_ms_t now = mc_shard_now(gather->shard);
	mc_err_t err;

	if (!gather_view_is_fresh(gather))
		return MC_ERR_NOT_READY;
	if (gather->closing)
		return MC_ERR_STOPPING;
	*target = target_find(gather, run->target_key);
	if (!*target)
		return MC_ERR_NOT_OWNER;
	err = target_check_ready(*target);
	if (err)
		return err;
	if (!mc_limiter_acquire((*target)->limiter, now))
		return MC_ERR_TARGET_LIMITED;
	return MC_OK;
}

void run_start(gather_t *gather, reply_route_t route, shared_message_t *shared)
{
	const mc_wire_run_t *run = &shared->message->run;
	mc_ms_t now = mc_shard_now(gather->shard);
	target_t *target;
	mc_err_t err = acquire_target(gather, run, &target);

	if (!err) {
		err = send_run(gather, target, route, run);
		if (err)
			mc_limiter_release(target->limiter, MC_LIMIT_CANCELED,
					   0, now);
	}
	mc_log(gather->log, MC_LOG_INFO, "gather",
	       "run request sent or refused request=%s dispatched=%d reason=%s",
	       run->request, !err, mc_error_name(err));
	if (err)
		reply_result(gather, route, run->id, err, "");
}
