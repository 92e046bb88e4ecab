/*
 * Requests that may run only once. Such a request takes a slot of the
 * target's limiter, is sent on a connection of its own and never again. "Not
 * run" is said only if no byte of it left, or the target said so.
 */
#include "gather_private.h"

#include <stdlib.h>
#include <string.h>

typedef struct {
	gather_t *gather;
	route_t route;
	uint64_t id;
	mc_handle_t target;
	mc_ms_t sent_at;
} run_t;

static void reply(gather_t *gather, route_t route, uint64_t id, mc_err_t err,
		  const char *result)
{
	const mc_wire_message_t message = {
		.kind = MC_WIRE_RUN_RESULT,
		.run_result = { .id = id, .err = err, .result = result },
	};

	gather_reply_message(gather, route, &message);
}

/* The target refused it and says that it did not run it. */
static mc_err_t refusal_of(const json_t *root)
{
	const char *error = json_string_value(json_object_get(root, "error"));

	if (error && !strcmp(error, "shed"))
		return MC_ERR_TARGET_SHED;
	if (error && !strcmp(error, "draining"))
		return MC_ERR_TARGET_DRAINING;
	return MC_ERR_OUTCOME_UNKNOWN;
}

static mc_err_t outcome_of(const mc_http_response_t *response,
			   const json_t *root)
{
	if (response->err)
		return response->maybe_sent ? MC_ERR_OUTCOME_UNKNOWN
					    : MC_ERR_NO_TARGET;
	if (response->status == 503)
		return refusal_of(root);
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
	mc_err_t err = outcome_of(response, root);
	mc_ms_t now = mc_shard_now(gather->shard);
	char *result = NULL;

	gather->runs--;
	if (!err)
		result = json_dumps(json_object_get(root, "result"),
				    JSON_COMPACT | JSON_ENCODE_ANY);
	reply(gather, run->route, run->id, err, result ? result : "");
	if (target) {
		mc_limiter_release(target->limiter, limit_outcome(err),
				   now - run->sent_at, now);
		if (!err)
			report_take(gather, target, root);
		dispatch_plan(gather, target);
	}
	free(result);
	json_decref(root);
	free(run);
}

static mc_err_t send_run(gather_t *gather, target_t *target, route_t route,
			 const mc_wire_run_t *from)
{
	run_t *run = calloc(1, sizeof(*run));
	char *body = target_http_run(from);
	mc_err_t err = MC_ERR_NO_MEMORY;

	if (run && body) {
		*run = (run_t){
			.gather = gather,
			.route = route,
			.id = from->id,
			.target = target->handle,
			.sent_at = mc_shard_now(gather->shard),
		};
		err = target_http_send(gather, target, "/run", body,
				       from->time_left, true, on_run, run,
				       NULL);
	}
	free(body);
	if (err)
		free(run);
	else
		gather->runs++;
	return err ? MC_ERR_FULL : MC_OK;
}

static mc_err_t admit(gather_t *gather, const mc_wire_run_t *run,
		      target_t **target)
{
	mc_ms_t now = mc_shard_now(gather->shard);
	mc_err_t err;

	if (!gather_fresh(gather))
		return MC_ERR_NOT_READY;
	if (gather->closing)
		return MC_ERR_STOPPING;
	*target = target_find(gather, run->target_key);
	if (!*target)
		return MC_ERR_NOT_OWNER;
	err = target_admits(*target);
	if (err)
		return err;
	if (!mc_limiter_acquire((*target)->limiter, now))
		return MC_ERR_TARGET_LIMITED;
	return MC_OK;
}

void run_start(gather_t *gather, route_t route, shared_t *shared)
{
	const mc_wire_run_t *run = &shared->message->run;
	mc_ms_t now = mc_shard_now(gather->shard);
	target_t *target;
	mc_err_t err = admit(gather, run, &target);

	if (!err) {
		err = send_run(gather, target, route, run);
		if (err)
			mc_limiter_release(target->limiter, MC_LIMIT_CANCELED,
					   0, now);
	}
	mc_log(gather->log, MC_LOG_INFO, "gather",
	       "run request=%s dispatched=%d reason=%s", run->request, !err,
	       mc_error_name(err));
	if (err)
		reply(gather, route, run->id, err, "");
}
