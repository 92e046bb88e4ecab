/*
 * State of a request that must run at most once, shared by run.c and claim.c.
 */
#ifndef MC_RUN_PRIVATE_H
#define MC_RUN_PRIVATE_H

#include "front_private.h"

enum {
	CLAIM_NAME_SIZE = 256,
};

typedef struct {
	front_t *front;
	mc_handle_t handle;
	/* The caller's HTTP exchange, to be answered. */
	mc_handle_t exchange;
	/* The sub-query that was sent, if any. */
	mc_handle_t sub;
	char id[FRONT_REQUEST_ID_SIZE];
	/* The caller's idempotency key. */
	char key[FRONT_KEY_SIZE];
	/* Name of the claim object in the store. */
	char claim_name[CLAIM_NAME_SIZE];
	/* Version of the claim once this request holds it; 0 before. */
	uint64_t claim_version;
	/* Failed reads of the claim. */
	uint32_t claim_reads;
	/* The caller's query as JSON text. */
	char *text;
	mc_row_t service;
	/* Hash of the route key; selects the shard. */
	uint64_t route_hash;
	mc_once_t once;
	mc_ms_t started_at;
	mc_ms_t deadline;
	mc_handle_t deadline_timer;
	/* Fires when a failed read of the claim is to be repeated. */
	mc_handle_t read_timer;
	/* The view that the rows of this request belong to. */
	const mc_view_t *view;
} run_t;

/*
 * Context of a call to the store. The call may outlive its request, so it
 * refers to the request by handle.
 */
typedef struct {
	front_t *front;
	mc_handle_t handle;
	mc_handle_t run;
} store_call_t;

/*
 * Creates the claim in the store. The outcome is reported by run_step(), or by
 * run_reply_repeated() if the key has a result already.
 */
void claim_create(run_t *run);
/* Releases the key of a request that certainly did not run, for others. */
void claim_release(run_t *run);
/* Stores the result, so that a repeated request gets the same one. */
void claim_complete(run_t *run, const char *result);

/*
 * Passes an event to the request's state machine and does the resulting action.
 * @result is used only for MC_ONCE_EV_ANSWER.
 */
void run_step(run_t *run, mc_once_event_t event, mc_err_t reason,
	      const char *result);
/* Replies with the stored result of an earlier request of the same key. */
void run_reply_repeated(run_t *run, const json_t *result);

#endif
