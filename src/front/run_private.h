/*
 * A request that may run only once, as run.c and claim.c share it.
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
	mc_handle_t exchange;
	mc_handle_t sub;
	char id[FRONT_REQUEST_ID_SIZE];
	char key[FRONT_KEY_SIZE];
	char claim_name[CLAIM_NAME_SIZE];
	uint64_t claim_version;
	uint32_t claim_reads;
	char *text;
	mc_row_t service;
	uint64_t route_hash;
	mc_once_t once;
	mc_ms_t started;
	mc_ms_t deadline;
	mc_handle_t deadline_timer;
	mc_handle_t read_timer;
	const mc_view_t *view;
} run_t;

/* Writes the claim; run_claimed() or run_step() is called with what it is. */
void claim_create(run_t *run);
/* The request certainly did not run: another one may claim its key. */
void claim_release(run_t *run);
/* The request ran: a repeated one gets the same result. */
void claim_complete(run_t *run, const char *result);

/* Something happened to the request; @result goes with an answer. */
void run_step(run_t *run, mc_once_event_t event, mc_err_t reason,
	      const char *result);
/* The key was used by a request that has a result. */
void run_reply_repeated(run_t *run, const json_t *result);

#endif
