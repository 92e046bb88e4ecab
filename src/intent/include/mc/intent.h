/*
 * Public header of the intent library: operators call it from a small program
 * of their own, which prints the configuration that they then submit.
 *
 *	mc_intent_t *in = mc_intent_create();
 *
 *	mc_intent_data_center(in, "north", true);
 *	mc_intent_service(in, "pots", 200);
 *	mc_intent_layout(in, "pots", "l1", 2, (uint64_t[]){ 100, 100 });
 *	mc_intent_snapshot(in, "pots", "s1", "l1", 1);
 *	mc_intent_target(in, "pots", "l1", 0, "north", "v1", "10.0.0.1:9000");
 *	...
 *	return mc_intent_print(in, stdout);
 */
#ifndef MC_INTENT_H
#define MC_INTENT_H

#include <stdio.h>

#include "mc/config.h"

typedef struct mc_intent_t mc_intent_t;

/** mc_intent_create() - an empty intent; NULL without memory */
mc_intent_t *mc_intent_create(void);

/** mc_intent_destroy() - free; NULL is allowed */
void mc_intent_destroy(mc_intent_t *intent);

/** mc_intent_data_center() - name a data centre, in or out */
void mc_intent_add_data_center(mc_intent_t *intent, const char *name, bool in);

/** mc_intent_service() - name a service and its default deadline, ms */
void mc_intent_add_service(mc_intent_t *intent, const char *name,
			   mc_ms_t deadline);

/** mc_intent_layout() - a layout of a service; documents of each shard */
void mc_intent_add_layout(mc_intent_t *intent, const char *service,
			  const char *name, uint32_t shard_count,
			  const uint64_t *documents);

/** mc_intent_snapshot() - a snapshot of a service; a larger order is newer */
void mc_intent_add_snapshot(mc_intent_t *intent, const char *service,
			    const char *id, const char *layout, uint64_t order);

/** mc_intent_target() - a target: a replica of one shard */
void mc_intent_add_target(mc_intent_t *intent, const char *service,
			  const char *layout, uint32_t shard,
			  const char *data_center, const char *version,
			  const char *address);

/**
 * mc_intent_move() - move a service's traffic to another version
 * @intent: the intent
 * @service: name of the service
 * @from: version that has the traffic
 * @to: version that shall have it
 * @start: ms since the Unix epoch
 * @done_by: ms since the Unix epoch
 * @without_evidence: what happens at @done_by if too little was seen
 */
void mc_intent_add_move(mc_intent_t *intent, const char *service,
			const char *from, const char *to, mc_ms_t start,
			mc_ms_t done_by, mc_move_fallback_t without_evidence);

/**
 * mc_intent_print() - check the intent and print it as canonical TOML
 *
 * Faults are printed to standard error.
 *
 * Return: 0, or 2 with faults, so that main() can return it.
 */
int mc_intent_print(const mc_intent_t *intent, FILE *out);

#endif
