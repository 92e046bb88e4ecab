/*
 * Stand-ins of the platform's searchers: each answers with records of its own
 * and counts what it ran, by the id of the attempt.
 */
#ifndef SEARCHERS_H
#define SEARCHERS_H

#include "object_store.h"

enum {
	SEARCHER_RECORDS = 4,
	SEARCHER_ID_SIZE = 32,
};

/** enum searcher_fault_t - ways in which a searcher answers wrongly */
typedef enum searcher_fault_t {
	SEARCHER_FAULT_NONE,
	/* Runs the request and closes without an answer. */
	SEARCHER_LOSES,
	/* Runs it and resets the connection. */
	SEARCHER_RESETS,
	/* Says that it has not run it, and has not. */
	SEARCHER_SHEDS,
	/* Status 500, signed. */
	SEARCHER_FAILS,
	/* Status 503 without saying that it has not run it. */
	SEARCHER_LIES_BUSY,
	/* Cuts its answer short. */
	SEARCHER_TRUNCATES,
	/* Answers once more behind its answer. */
	SEARCHER_REPEATS,
	/* Answers with the id of another attempt, then rightly. */
	SEARCHER_MIXES,
	/* No length; ends with the connection. */
	SEARCHER_UNFRAMED,
	/* A success without a signature. */
	SEARCHER_UNSIGNED,
} searcher_fault_t;

typedef struct searcher_t searcher_t;

/** searcher_start() - a searcher of @service; it does not register itself */
searcher_t *searcher_start(const char *service, const char *data_center,
			   unsigned int number);

/** searcher_stop() - end and free it; NULL is allowed */
void searcher_stop(searcher_t *searcher);

/** searcher_register() - write its entry; @state is "ready" or "draining" */
void searcher_register(searcher_t *searcher, object_store_t *store,
		       const char *state);

/** searcher_register_at() - the same, reached at another port */
void searcher_register_at(searcher_t *searcher, object_store_t *store,
			  const char *state, uint16_t port);

/** searcher_port() - its own port */
uint16_t searcher_port(const searcher_t *searcher);

/** searcher_run_twice() - attempts of requests of @method that ran more than
 * once at some of the searchers */
uint32_t searcher_run_twice(searcher_t *const *searchers, uint32_t count,
			    const char *method);

/** searcher_id() - its id */
const char *searcher_id(const searcher_t *searcher);

/** searcher_fault() - answer the next @times requests wrongly */
void searcher_fault(searcher_t *searcher, searcher_fault_t fault, int times);

/** searcher_forgets() - reset each connection at its second request, unrun */
void searcher_forgets(searcher_t *searcher, bool forgets);

/** searcher_faults_left() - requests that will still be answered wrongly */
int searcher_faults_left(searcher_t *searcher);

/** searcher_delay() - time that a request takes, ms */
void searcher_delay(searcher_t *searcher, mc_ms_t delay);

/** searcher_replace() - be another one, at the same address */
void searcher_replace(searcher_t *searcher);

/** searcher_runs() - requests that it ran; those of an attempt if @id is set */
uint32_t searcher_runs(searcher_t *searcher, const char *id);

/** searcher_arrivals() - requests that reached it, run or not */
uint32_t searcher_arrivals(searcher_t *searcher);

/** searcher_connections() - connections that it took */
uint32_t searcher_connection_count(searcher_t *searcher);

/** searcher_down() - refuse connections and cut those that are open */
void searcher_down(searcher_t *searcher, bool down);

/** searcher_freeze() - as raw_server_freeze() */
void searcher_freeze(searcher_t *searcher, bool freeze);

/** searcher_cut() - close its connections */
void searcher_cut(searcher_t *searcher);

/** searcher_last() - head of the last request that it got */
void searcher_last(searcher_t *searcher, char *head, size_t size);

#endif
