/*
 * Public header of the relay library: within a data centre, an instance that
 * reads the store relays its changes to the others, so that not every instance
 * has to read the store. Instances are ranked. Each one connects, as a
 * subscriber, to the first instance before it in rank that reads the store;
 * that is its upstream. An instance without an upstream reads the store itself
 * and relays to those after it. There is no election and no consensus.
 *
 * All functions must be called on the shard's thread.
 */
#ifndef MC_RELAY_H
#define MC_RELAY_H

#include "mc/net.h"
#include "mc/wire.h"

enum {
	MC_RELAY_NAME_SIZE = 128,
	/* Most peers of an instance. */
	MC_RELAY_PEERS_MAX = 256,
};

/* In place of the revision after which changes were made: the response is a
 * complete list. */
#define MC_RELAY_LIST UINT64_MAX

/**
 * struct mc_relay_peer_t - Another instance of this data centre
 * @name: its name
 * @address: "IP:port" at which it accepts subscribers
 */
typedef struct mc_relay_peer_t {
	char name[MC_RELAY_NAME_SIZE];
	char address[MC_RELAY_NAME_SIZE];
} mc_relay_peer_t;

/**
 * struct mc_relay_known_t - How far an instance knows the records of a kind
 * @revision: revision of the store up to which it has all changes
 * @complete_at: it has all changes that the store acknowledged before this time
 *	of this instance's clock, ms; 0 if there is no such time
 */
typedef struct mc_relay_known_t {
	uint64_t revision;
	mc_ms_t complete_at;
} mc_relay_known_t;

/**
 * struct mc_relay_ops_t - Functions of the instance that uses the relay
 * @get_known: fill in how far each kind is known; returns whether this instance
 *	is fresh: it reads the store itself, and the store has responded lately
 *	and after the time @since, ms
 * @on_changes: the upstream has relayed changes of a kind after the revision
 *	@since, or with MC_RELAY_LIST all records, as the undecoded response of
 *	the store @raw
 * @on_known: how far the upstream knows each kind
 * @on_era: the upstream knows a later era of the store than this instance,
 *	which answers with mc_relay_set_era()
 * @on_upstream_changed: mc_relay_has_upstream() has changed
 * @on_evidence: another instance has told what it saw of targets; NULL when it
 *	is not used
 */
typedef struct mc_relay_ops_t {
	bool (*get_known)(void *ctx, mc_ms_t since, mc_relay_known_t *known);
	void (*on_changes)(void *ctx, uint32_t kind, uint64_t since,
			   const char *raw);
	void (*on_known)(void *ctx, const mc_relay_known_t *known);
	void (*on_era)(void *ctx, uint64_t era);
	void (*on_upstream_changed)(void *ctx);
	void (*on_evidence)(void *ctx, const mc_wire_evidence_t *items,
			    uint32_t count);
} mc_relay_ops_t;

/**
 * struct mc_relay_params_t - Parameters of a relay
 * @shard: shard on which the relay runs
 * @listen_address: "IP:port" at which subscribers connect
 * @instance_name: name of this instance
 * @kind_count: number of kinds of records, below MC_WIRE_RELAY_KINDS_MAX
 * @reliance: how long changes are still relied on to be relayed after an
 *	upstream was last fresh, ms; within this time it, or another one, may
 *	become fresh without this instance reading the store
 * @ops: functions of the instance; must outlive the relay
 * @ctx: passed to @ops
 */
typedef struct mc_relay_params_t {
	mc_shard_t *shard;
	const char *listen_address;
	const char *instance_name;
	uint32_t kind_count;
	mc_ms_t reliance;
	const mc_relay_ops_t *ops;
	void *ctx;
} mc_relay_params_t;

typedef struct mc_relay_t mc_relay_t;

/**
 * mc_relay_create() - Create a relay and listen for subscribers
 * @params: copied, except for @ops
 *
 * Return: the relay, owned by the caller; NULL with a last message without
 * memory or when listening fails.
 */
mc_relay_t *mc_relay_create(const mc_relay_params_t *params);

/** mc_relay_destroy() - Close all links and free a relay; NULL is allowed */
void mc_relay_destroy(mc_relay_t *relay);

/**
 * mc_relay_set_peers() - Set the other instances of this data centre
 * @relay: the relay
 * @peers: the known instances, without this one; copied
 * @count: number of @peers
 */
void mc_relay_set_peers(mc_relay_t *relay, const mc_relay_peer_t *peers,
			uint32_t count);

/**
 * mc_relay_set_era() - Set the era of the store from which this instance reads
 * @relay: the relay
 * @era: the era, 0 while it is unknown
 *
 * Revisions of different eras can't be compared: what a peer of another era
 * relays is not used. Subscribers are told with the next state.
 */
void mc_relay_set_era(mc_relay_t *relay, uint64_t era);

/**
 * mc_relay_send_changes() - Send changes to all subscribers
 * @relay: the relay
 * @kind: kind of the records
 * @since: revision after which the changes were made, or MC_RELAY_LIST
 * @raw: undecoded response of the store; copied
 *
 * When the changes exceed this instance's budget of bytes, subscribers get only
 * the revisions of @get_known and read the changes from the store.
 */
void mc_relay_send_changes(mc_relay_t *relay, uint32_t kind, uint64_t since,
			   const char *raw);

/**
 * mc_relay_send_evidence() - Tell the other instances what was seen of targets
 * @relay: the relay
 * @items: the items; copied
 * @count: number of @items; 0 only begins to receive those of others
 *
 * Items wait for some milliseconds, to share messages. Those beyond the budget
 * are dropped: nothing relies on evidence. Before the first call this instance
 * receives none.
 */
void mc_relay_send_evidence(mc_relay_t *relay, const mc_wire_evidence_t *items,
			    uint32_t count);

/**
 * mc_relay_has_upstream() - Whether an upstream relays the store's changes
 *
 * While it does, this instance need not read the store.
 */
bool mc_relay_has_upstream(const mc_relay_t *relay);

/**
 * mc_relay_may_have_upstream() - Whether an upstream may be found soon
 *
 * Return: true while a peer before this instance is connected, or has not been
 * tried lately.
 */
bool mc_relay_may_have_upstream(const mc_relay_t *relay);

/** mc_relay_send_state() - Send the state to all subscribers at once, as it has
 * changed */
void mc_relay_send_state(mc_relay_t *relay);

/** mc_relay_subscriber_count() - Count the connected subscribers */
uint32_t mc_relay_subscriber_count(const mc_relay_t *relay);

/**
 * mc_relay_rank_peers() - Sort peers by rank
 * @name: name of this instance
 * @peers: the other instances; sorted on return
 * @count: number of @peers
 *
 * Pure. Ranks are the same on every instance, so that upstreams form no cycle.
 *
 * Return: how many of the sorted peers come before this instance and may be its
 * upstream.
 */
uint32_t mc_relay_rank_peers(const char *name, mc_relay_peer_t *peers,
			     uint32_t count);

#endif
