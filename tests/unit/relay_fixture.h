/*
 * Fixture of the relay library's tests: two or three instances on one shard,
 * over loopback.
 */
#ifndef RELAY_FIXTURE_H
#define RELAY_FIXTURE_H

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <cmocka.h>

#include "mc/relay.h"

enum {
	WAIT_MS = 20000,
	KINDS = 2,
	INSTANCES_MAX = 3,
	/* Longer than an instance takes to find another upstream, ms. */
	RELIANCE_MS = 5000,
};

/* State of one instance; guarded by the shard's lock. */
typedef struct {
	bool fresh;
	uint64_t revisions[KINDS];
	uint64_t known_revisions[KINDS];
	/* Up to when it knows all kinds, and when its upstream says that it
	 * does. */
	mc_ms_t complete_at;
	mc_ms_t told_complete_at;
	char text[64];
	uint64_t since;
	uint32_t kind;
	uint32_t upstream_changes;
	uint32_t evidence_count;
	mc_wire_evidence_t evidence;
	/* Era that the upstream has told; 0 if none. */
	uint64_t told_era;
	mc_relay_t *relay;
} instance_t;

typedef struct {
	mc_shard_t *shard;
	/* In the order of their rank. */
	instance_t instances[INSTANCES_MAX];
	mc_relay_peer_t peers[INSTANCES_MAX];
	int count;
} fixture_t;

/** fixture_set_up() - Start two instances */
int fixture_set_up(void **state);

/** fixture_set_up_three() - Start three instances, which rely on an upstream
 * for RELIANCE_MS after it was fresh */
int fixture_set_up_three(void **state);

/** fixture_tear_down() - Stop and free the instances */
int fixture_tear_down(void **state);

/** fixture_create_instance() - Create the instance at a place in the rank, with
 * the shard locked */
void fixture_create_instance(fixture_t *fixture, int i, uint32_t kinds,
			     mc_ms_t reliance);

/** fixture_wait_for() - Wait until a condition holds, which is called with the
 * shard locked */
void fixture_wait_for(fixture_t *fixture, bool (*done)(const fixture_t *));

/** fixture_has_upstream() - Whether the second instance has an upstream */
bool fixture_has_upstream(const fixture_t *fixture);

/** fixture_has_no_upstream() - Whether it has none */
bool fixture_has_no_upstream(const fixture_t *fixture);

/** fixture_all_have_upstream() - Whether the second and the third one have */
bool fixture_all_have_upstream(const fixture_t *fixture);

/** fixture_second_is_upstream() - Whether the second one has a subscriber */
bool fixture_second_is_upstream(const fixture_t *fixture);

/** fixture_has_changes() - Whether the second one was sent changes */
bool fixture_has_changes(const fixture_t *fixture);

/** fixture_send_changes() - Send changes from the first one; to be posted to
 * the shard with the fixture */
void fixture_send_changes(mc_shard_t *shard, void *arg);

/** fixture_destroy_first() - Destroy the first one; to be posted likewise */
void fixture_destroy_first(mc_shard_t *shard, void *arg);

#endif
