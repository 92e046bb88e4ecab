/*
 * Public header of the intent library, with which operators write programs that
 * print a configuration to submit. An intent is a configuration under
 * construction.
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

/**
 * mc_intent_create() - Create an empty intent.
 *
 * Return: the intent, owned by the caller; NULL if memory is exhausted.
 */
mc_intent_t *mc_intent_create(void);

/** mc_intent_destroy() - Free an intent. NULL is allowed. */
void mc_intent_destroy(mc_intent_t *intent);

/**
 * mc_intent_data_center() - Add a data centre.
 * @intent: the intent
 * @name: unique name
 * @in: whether it is in service
 */
void mc_intent_data_center(mc_intent_t *intent, const char *name, bool in);

/** mc_intent_service() - Add a service with its default deadline in ms. */
void mc_intent_service(mc_intent_t *intent, const char *name, mc_ms_t deadline);

/**
 * mc_intent_layout() - Add a layout of a service.
 * @intent: the intent
 * @service: name of the service
 * @name: name of the layout, unique within the service
 * @shard_count: number of shards
 * @documents: number of documents in each shard; copied
 */
void mc_intent_layout(mc_intent_t *intent, const char *service,
		      const char *name, uint32_t shard_count,
		      const uint64_t *documents);

/**
 * mc_intent_snapshot() - Add a snapshot of a service.
 * @intent: the intent
 * @service: name of the service
 * @id: id of the snapshot, unique within the service
 * @layout: name of the layout
 * @order: sequence number, larger is newer; unique within the service
 */
void mc_intent_snapshot(mc_intent_t *intent, const char *service,
			const char *id, const char *layout, uint64_t order);

/**
 * mc_intent_target() - Add a target, a process with a replica of one shard.
 * @intent: the intent
 * @service: name of the service
 * @layout: name of the layout
 * @shard: number of the shard within the layout, from 0
 * @data_center: name of the data centre
 * @version: version of the program that the target runs
 * @address: IP address and port, unique
 */
void mc_intent_target(mc_intent_t *intent, const char *service,
		      const char *layout, uint32_t shard,
		      const char *data_center, const char *version,
		      const char *address);

/**
 * mc_intent_move() - Add a move of a service's traffic to another version.
 * @intent: the intent
 * @service: name of the service
 * @from: version that serves the traffic at first
 * @to: version that serves all traffic afterwards
 * @start: when the first share of the traffic moves, ms since the Unix epoch
 * @done_by: when all traffic is due to have moved, ms since the Unix epoch
 * @without_evidence: what to do at @done_by if there are too few outcomes
 *	to judge the new version
 */
void mc_intent_move(mc_intent_t *intent, const char *service, const char *from,
		    const char *to, mc_ms_t start, mc_ms_t done_by,
		    mc_move_fallback_t without_evidence);

/**
 * mc_intent_print() - Validate an intent and print it as canonical TOML.
 * @intent: the intent
 * @out: stream to print to
 *
 * Errors are printed to standard error.
 *
 * Return: exit status for main(): 0, or 2 on errors.
 */
int mc_intent_print(const mc_intent_t *intent, FILE *out);

#endif
