/*
 * Fixture of the discovery library's tests: a discovery on a running shard and
 * a fake source, whose calls the tests complete.
 */
#ifndef DISCOVERY_FIXTURE_H
#define DISCOVERY_FIXTURE_H

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <cmocka.h>

#include "mc/discovery.h"
#include "mc/relay.h"

enum {
	/* Longest wait for an event, ms. */
	FIXTURE_WAIT_MS = 20000,
};

/* The open call of one kind; the test completes it on the shard. */
typedef struct {
	bool open;
	bool is_watch;
	bool allow_stale;
	uint64_t since;
	mc_ms_t wait;
	char after[64];
	mc_source_done_fn_t done;
	void *ctx;
} call_t;

/* A write of an order's state that has not ended. */
typedef struct {
	bool open;
	mc_rollout_order_t order;
	mc_source_done_fn_t done;
	void *ctx;
} state_write_t;

/* The fake source; to be read with the shard locked. */
struct mc_source_t {
	call_t calls[MC_SOURCE_KIND_COUNT];
	/* How many watches of each kind there were. */
	uint32_t watch_counts[MC_SOURCE_KIND_COUNT];
	/* The open poll of each kind, and how many there were. */
	call_t polls[MC_SOURCE_KIND_COUNT];
	uint32_t poll_counts[MC_SOURCE_KIND_COUNT];
	/* What a relayed response is decoded to. */
	mc_source_result_t decoded;
	state_write_t state_write;
	bool registered;
	uint32_t registrations;
	uint32_t canceled_watches;
};

/* A discovery whose calls the tests complete. */
typedef struct {
	mc_shard_t *shard;
	mc_discovery_t *discovery;
	const mc_registry_view_t *view;
	/* A view had a target that leaves. */
	bool saw_leaving;
	/* Another instance that subscribes to this one, or NULL, and the
	 * changes that were relayed to it. */
	mc_relay_t *subscriber;
	uint32_t relayed_count;
	uint64_t relayed_since;
	uint64_t relayed_era;
	/* Socket that accepts no connection of the relay; -1 without one. */
	int silent_peer;
} fixture_t;

/* The result of a kind's open call. */
typedef struct {
	mc_source_kind_t kind;
	mc_source_result_t result;
	bool handled;
} reply_t;

extern mc_source_t fixture_source;

/** fixture_set_up() - Start a discovery that has read nothing */
int fixture_set_up(void **state);

/** fixture_set_up_with_relay() - Start a discovery that has a relay and may
 * apply changes late */
int fixture_set_up_with_relay(void **state);

/** fixture_set_up_alone() - Start a discovery that has read all kinds up to
 * revision 40, and whose relay has no subscriber */
int fixture_set_up_alone(void **state);

/** fixture_set_up_with_subscriber() - Start a discovery that has read all kinds
 * up to revision 40, and that has a subscriber */
int fixture_set_up_with_subscriber(void **state);

/** fixture_set_up_with_orders() - Start a discovery that knows the orders of
 * roll-outs and the data centres that are out, of which there are none: no view
 * is published before */
int fixture_set_up_with_orders(void **state);

/** fixture_tear_down() - Stop and free the discovery */
int fixture_tear_down(void **state);

/** fixture_wait_call() - Wait for an open call of a kind; return a copy of it
 */
call_t fixture_wait_call(fixture_t *fixture, mc_source_kind_t kind);

/** fixture_complete_call() - Complete a kind's call with a reply_t; to be
 * posted to the shard */
void fixture_complete_call(mc_shard_t *shard, void *arg);

/** fixture_complete_poll() - Complete the open poll of a kind with a reply_t;
 * to be posted to the shard */
void fixture_complete_poll(mc_shard_t *shard, void *arg);

/** fixture_wait_poll() - Wait for an open poll of a kind; return a copy of it
 */
call_t fixture_wait_poll(fixture_t *fixture, mc_source_kind_t kind);

/** fixture_complete_last_poll() - Complete a kind's poll on the shard and wait
 * until the reply was handled */
void fixture_complete_last_poll(fixture_t *fixture, reply_t *reply);

/** fixture_wait_handled() - Wait until a reply was handled */
void fixture_wait_handled(fixture_t *fixture, const reply_t *reply);

/** fixture_complete_last() - Complete a kind's call on the shard and wait until
 * the reply was handled */
void fixture_complete_last(fixture_t *fixture, reply_t *reply);

/** fixture_complete() - Complete a kind's call and wait until the next call of
 * the kind is open */
void fixture_complete(fixture_t *fixture, reply_t *reply);

/** fixture_complete_data_centers_out() - List no data centre that is out */
void fixture_complete_data_centers_out(fixture_t *fixture);

/** fixture_complete_orders() - List no order */
void fixture_complete_orders(fixture_t *fixture);

/** fixture_find_free_port() - A port of the loopback address that is free now
 */
uint16_t fixture_find_free_port(void);

/** fixture_target_record() - Make the record of a target */
mc_source_record_t fixture_target_record(const char *id);

/** fixture_wait_target_count() - Wait until the view has so many targets;
 * return how many it has */
uint32_t fixture_wait_target_count(fixture_t *fixture, uint32_t wanted);

#define FIXTURE_TEST(test) \
	cmocka_unit_test_setup_teardown(test, fixture_set_up, fixture_tear_down)
#define FIXTURE_ORDERS_TEST(test)                                         \
	cmocka_unit_test_setup_teardown(test, fixture_set_up_with_orders, \
					fixture_tear_down)

#endif
