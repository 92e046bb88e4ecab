/*
 * Claims idempotency keys in the platform's store. A claim is an object that is
 * created only if absent, so that at most one request per key is sent to a
 * target, whichever front received it. The object names the request and states
 * whether it may have run:
 *
 *	{"request": ID, "state": "claimed" | "released" | "done", "result": any}
 *
 * If the response to a write is lost, the claim is read back to find out
 * whether the write was applied.
 */
#include "run_private.h"

#include <stdlib.h>
#include <string.h>

enum {
	/* Delay before a failed read of a claim is repeated. */
	READ_BACK_MS = 100,
	READ_BACK_MAX = 5,
	/* Results above this size, in bytes, are not stored for repetition. */
	RESULT_MAX = 64 << 10,
};

static void read_claim(run_t *run);

static char *encode_claim(const run_t *run, const char *state,
			  const char *result)
{
	json_t *value = NULL;
	json_t *root;
	char *text;

	if (result)
		value = json_loads(result, JSON_DECODE_ANY, NULL);
	root = json_pack("{s:s, s:s, s:o}", "request", run->id, "state", state,
			 "result", value ? value : json_null());
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	return text;
}

static store_call_t *create_call(const run_t *run)
{
	mc_handle_t handle;
	store_call_t *call;
	void *slot;

	if (mc_table_add(run->front->store_calls, &handle, &slot))
		return NULL;
	call = slot;
	*call = (store_call_t){
		.front = run->front,
		.handle = handle,
		.run = run->handle,
	};
	return call;
}

static void free_call(store_call_t *call)
{
	if (call)
		mc_table_remove(call->front->store_calls, call->handle);
}

/*
 * Frees a completed call and returns its request; NULL if the request has ended
 * in the meantime.
 */
static run_t *finish_call(void *ctx)
{
	store_call_t *call = ctx;
	run_t *run = mc_table_get(call->front->runs, call->run);

	free_call(call);
	return run;
}

static void claim_acquired(run_t *run, uint64_t version)
{
	run->claim_version = version;
	run_step(run, MC_ONCE_EV_CLAIM_GRANTED, MC_OK, NULL);
}

static void on_takeover(void *ctx, const mc_store_result_t *result)
{
	run_t *run = finish_call(ctx);

	if (!run)
		return;
	if (!result->err)
		claim_acquired(run, result->version);
	else if (result->err == MC_ERR_CONFLICT)
		run_step(run, MC_ONCE_EV_CLAIM_CONFLICT, MC_OK, NULL);
	else
		read_claim(run);
}

/*
 * Claims a released key by overwriting the claim, provided that it still has
 * the version that was read.
 */
static void take_over_claim(run_t *run, uint64_t version)
{
	const mc_store_api_t *api = mc_process_store_api(run->front->process);
	char *text = encode_claim(run, "claimed", NULL);
	store_call_t *call = create_call(run);

	if (!text || !call ||
	    api->update(run->front->store, run->claim_name, version, text,
			strlen(text), on_takeover, call)) {
		free_call(call);
		run_step(run, MC_ONCE_EV_CLAIM_FAILED, MC_ERR_STORE_UNAVAILABLE,
			 NULL);
	}
	free(text);
}

/*
 * Acts on a claim that was read. It is another request's, or this request's if
 * the response to the write was lost.
 */
static void evaluate_claim(run_t *run, const json_t *claim, uint64_t version)
{
	const char *request =
		json_string_value(json_object_get(claim, "request"));
	const char *state = json_string_value(json_object_get(claim, "state"));

	if (request && !strcmp(request, run->id))
		claim_acquired(run, version);
	else if (state && !strcmp(state, "released"))
		take_over_claim(run, version);
	else if (state && !strcmp(state, "done"))
		run_reply_repeated(run, json_object_get(claim, "result"));
	else
		run_step(run, MC_ONCE_EV_CLAIM_CONFLICT, MC_OK, NULL);
}

static void on_read_timer(mc_shard_t *shard, void *arg)
{
	run_t *run = arg;

	(void)shard;
	run->read_timer = MC_HANDLE_NONE;
	read_claim(run);
}

static void on_read(void *ctx, const mc_store_result_t *result)
{
	run_t *run = finish_call(ctx);
	json_t *claim;

	if (!run)
		return;
	if (result->err == MC_ERR_NOT_FOUND ||
	    (result->err && ++run->claim_reads == READ_BACK_MAX)) {
		run_step(run, MC_ONCE_EV_CLAIM_FAILED, MC_ERR_STORE_UNAVAILABLE,
			 NULL);
		return;
	}
	if (result->err) {
		mc_timer_set(run->front->shard,
			     mc_shard_now(run->front->shard) + READ_BACK_MS,
			     on_read_timer, run, &run->read_timer);
		return;
	}
	claim = json_loadb(result->data, result->size, 0, NULL);
	evaluate_claim(run, claim, result->version);
	json_decref(claim);
}

static void read_claim(run_t *run)
{
	const mc_store_api_t *api = mc_process_store_api(run->front->process);
	store_call_t *call = create_call(run);

	if (call &&
	    !api->read(run->front->store, run->claim_name, on_read, call))
		return;
	free_call(call);
	run_step(run, MC_ONCE_EV_CLAIM_FAILED, MC_ERR_STORE_UNAVAILABLE, NULL);
}

static void on_created(void *ctx, const mc_store_result_t *result)
{
	run_t *run = finish_call(ctx);

	if (!run)
		return;
	if (!result->err)
		claim_acquired(run, result->version);
	else if (result->err == MC_ERR_CONFLICT || result->may_have_applied)
		read_claim(run);
	else
		run_step(run, MC_ONCE_EV_CLAIM_FAILED, MC_ERR_STORE_UNAVAILABLE,
			 NULL);
}

void claim_create(run_t *run)
{
	const mc_store_api_t *api = mc_process_store_api(run->front->process);
	char *text = encode_claim(run, "claimed", NULL);
	store_call_t *call = create_call(run);

	if (!text || !call ||
	    api->create(run->front->store, run->claim_name, text, strlen(text),
			on_created, call)) {
		free_call(call);
		run_step(run, MC_ONCE_EV_CLAIM_FAILED, MC_ERR_STORE_UNAVAILABLE,
			 NULL);
	}
	free(text);
}

/*
 * Nothing depends on this write, so it is not repeated: if it fails, the key
 * stays claimed.
 */
static void ignore_result(void *ctx, const mc_store_result_t *result)
{
	(void)ctx;
	(void)result;
}

static void update_claim(run_t *run, const char *state, const char *result)
{
	const mc_store_api_t *api = mc_process_store_api(run->front->process);
	char *text;

	if (!run->claim_version)
		return;
	text = encode_claim(run, state, result);
	if (text)
		api->update(run->front->store, run->claim_name,
			    run->claim_version, text, strlen(text),
			    ignore_result, NULL);
	free(text);
}

void claim_release(run_t *run)
{
	update_claim(run, "released", NULL);
}

void claim_complete(run_t *run, const char *result)
{
	if (strlen(result) <= RESULT_MAX)
		update_claim(run, "done", result);
}
