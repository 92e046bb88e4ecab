/*
 * State of the fault soak that its files share: soak.c starts the site and
 * checks its end, soak_callers.c sends requests and checks each response, and
 * soak_faults.c injects faults.
 */
#ifndef SOAK_H
#define SOAK_H

#include "relay.h"
#include "site.h"

enum {
	INSTANCE_COUNT = 3,
	DEADLINE_MS = 1500,
	REFUSED_IDS_MAX = 200000,
	SEARCHER_COUNT = SITE_SHARDS * SITE_REPLICAS + SITE_SINGLE_REPLICAS,
	RECOVERIES_MAX = 64,
};

typedef struct soak_t soak_t;

/* A scheduled call that ends a fault; @due_at is a time of mc_clock_now(). */
typedef struct {
	mc_ms_t due_at;
	void (*recover)(soak_t *soak, uint32_t index);
	uint32_t index;
} recovery_t;

struct soak_t {
	site_t *site;
	relay_t *store_relay;
	relay_t *relays[SEARCHER_COUNT];
	searcher_t *searchers[SEARCHER_COUNT];
	mc_random_t random;
	bool stopping;
	uint32_t attempt_count;
	uint32_t answer_count;
	uint32_t violation_count;
	recovery_t recoveries[RECOVERIES_MAX];
	uint32_t recovery_count;
	/* Killed or paused instances; faults of instances skip them. */
	bool unavailable[INSTANCE_COUNT];
	pthread_mutex_t lock;
	uint32_t refused_count;
	/* Attempts that were answered with 503 or 429, under @lock. */
	char (*refused_ids)[SEARCHER_ID_SIZE];
};

/**
 * soak_report_violation() - Print a broken rule; the soak fails at its end
 * @soak: the soak
 * @what: the rule
 * @id: attempt id; "-" for none
 * @detail: what was seen
 */
void soak_report_violation(soak_t *soak, const char *what, const char *id,
			   const char *detail);

/**
 * soak_wait_until() - Wait for a condition
 * @soak: the soak
 * @what: what is waited for, for the message
 * @condition: the condition
 * @ctx: passed to @condition
 *
 * Fails the test, after printing all instances' state, if it never holds.
 */
void soak_wait_until(soak_t *soak, const char *what,
		     harness_condition_fn_t condition, void *ctx);

/** soak_register_at_relay() - Register searcher @index with its relay's port */
void soak_register_at_relay(soak_t *soak, uint32_t index, const char *state);

/**
 * callers_run() - Send requests until the soak is stopping; the start function
 * of a thread
 * @arg: the soak
 */
void *callers_run(void *arg);

/** faults_inject() - Inject random faults until @end, ms; end all of them */
void faults_inject(soak_t *soak, mc_ms_t end);

#endif
