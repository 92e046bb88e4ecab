/*
 * Public header of the member library: SWIM-style membership, which tracks the
 * peers that are alive. Pure: messages and time are passed in, and messages to
 * send are passed out. A membership belongs to one process and is guarded by
 * its owner's lock.
 *
 * Only probes, sent directly or through other peers, show whether a peer is
 * alive; the platform's list of instances is used only to find addresses to
 * probe. A peer that does not answer is suspected before it counts as dead, and
 * refutes a suspicion with a higher incarnation.
 */
#ifndef MC_MEMBER_H
#define MC_MEMBER_H

#include "mc/base.h"

enum {
	/*
	 * Maximum number of peers: twice the instances of the planned fleet,
	 * with two roles each.
	 */
	MC_MEMBERS_MAX = 2048,
	/* Maximum number of updates in one message. */
	MC_MEMBER_UPDATES_MAX = 16,
	MC_MEMBER_ADDRESS_SIZE = 64,
	MC_MEMBER_NAME_SIZE = 64,
};

/**
 * enum mc_member_state_t - state of a peer; at the same incarnation a larger
 * one overrides
 */
typedef enum mc_member_state_t {
	MC_MEMBER_ALIVE,
	MC_MEMBER_SUSPECT,
	MC_MEMBER_LEAVING,
	MC_MEMBER_DEAD,
} mc_member_state_t;

/**
 * struct mc_member_t - a peer
 * @key: hash of @address
 * @address: address for messages from peers
 * @data_center: name of its data centre
 * @is_gather: whether it is a gather; otherwise it is a front
 * @state: last known state
 * @incarnation: version of the peer's own statements about itself; only the
 *	peer increases it
 * @state_since: when @state was entered, ms
 */
typedef struct mc_member_t {
	uint64_t key;
	char address[MC_MEMBER_ADDRESS_SIZE];
	char data_center[MC_MEMBER_NAME_SIZE];
	bool is_gather;
	mc_member_state_t state;
	uint64_t incarnation;
	mc_ms_t state_since;
} mc_member_t;

/** enum mc_member_message_kind_t - messages between peers */
typedef enum mc_member_message_kind_t {
	MC_MEMBER_PING,
	MC_MEMBER_ACK,
	/*
	 * Requests that the receiver probes @subject on behalf of the sender.
	 */
	MC_MEMBER_PING_REQ,
	/* Requests the member list of the receiver. */
	MC_MEMBER_SYNC_REQ,
	/*
	 * Part of the member list, or no more than an acknowledgement if both
	 * views are equal. With @sequence 0 it carries updates that were not
	 * requested.
	 */
	MC_MEMBER_SYNC,
} mc_member_message_kind_t;

/**
 * struct mc_member_message_t - a message
 * @kind: its kind
 * @sequence: matches a response to its request
 * @subject: of a PING_REQ and its ACK, the key of the probed peer; of a
 *	SYNC_REQ, a hash of the sender's view; of a SYNC, the number of members
 *	that still follow
 * @from: the sender
 * @updates: states of members
 * @update_count: number of updates
 */
typedef struct mc_member_message_t {
	mc_member_message_kind_t kind;
	uint64_t sequence;
	uint64_t subject;
	mc_member_t from;
	uint32_t update_count;
	mc_member_t updates[MC_MEMBER_UPDATES_MAX];
} mc_member_message_t;

/**
 * struct mc_member_params_t - parameters of a membership
 * @self: this process; its @key is computed. Its @incarnation must be higher
 *	than that of an earlier process with the same address, so it is the
 *	start time.
 * @probe_interval: time between two direct probes, ms
 * @probe_timeout: how long to wait for an ACK before other peers are asked to
 *	probe, ms
 * @suspect_time: how long a suspect may take to refute the suspicion before it
 *	counts as dead, ms
 * @seed: seed of the random choices
 * @send: callback that sends @message to the peer at @address
 * @on_change: callback for a change of the set of usable members
 * @ctx: passed to both callbacks
 */
typedef struct mc_member_params_t {
	mc_member_t self;
	mc_ms_t probe_interval;
	mc_ms_t probe_timeout;
	mc_ms_t suspect_time;
	uint64_t seed;
	void (*send)(void *ctx, const char *address,
		     const mc_member_message_t *message);
	void (*on_change)(void *ctx);
	void *ctx;
} mc_member_params_t;

typedef struct mc_membership_t mc_membership_t;

/**
 * mc_membership_create() - Create a membership owned by the caller; NULL
 * without memory
 */
mc_membership_t *mc_membership_create(const mc_member_params_t *params,
				      mc_ms_t now);

/** mc_membership_destroy() - Free a membership; NULL is allowed */
void mc_membership_destroy(mc_membership_t *membership);

/**
 * mc_membership_add_candidate() - Add an address that may belong to a peer,
 * from the settings or the platform's list; it is probed, and becomes a member
 * when it answers
 */
void mc_membership_add_candidate(mc_membership_t *membership,
				 const char *address, mc_ms_t now);

/** mc_membership_receive() - Process a message from a peer */
void mc_membership_receive(mc_membership_t *membership,
			   const mc_member_message_t *message, mc_ms_t now);

/**
 * mc_membership_tick() - Run what is due at time @now
 *
 * When more than suspect_time has passed since the last tick, the process was
 * paused and its view is outdated: mc_membership_is_fresh() is false until
 * peers have answered again.
 *
 * Return: when to call it again, ms.
 */
mc_ms_t mc_membership_tick(mc_membership_t *membership, mc_ms_t now);

/**
 * mc_membership_is_fresh() - Return whether the view is recent enough to act on
 */
bool mc_membership_is_fresh(const mc_membership_t *membership);

/** mc_membership_leave() - Inform peers that this process is leaving */
void mc_membership_leave(mc_membership_t *membership, mc_ms_t now);

/**
 * mc_membership_next() - Iterate over all known members, including this process
 * @membership: the membership
 * @cursor: 0 initially; advanced by each call
 *
 * Return: the next member, valid until another function of the membership is
 * called; NULL at the end.
 */
const mc_member_t *mc_membership_next(const mc_membership_t *membership,
				      uint32_t *cursor);

/** mc_member_is_usable() - Return whether a member may get new work */
bool mc_member_is_usable(const mc_member_t *member);

/**
 * mc_membership_is_watcher() - Return whether this process watches the store
 * @membership: the membership
 * @watchers: number of watchers per data centre
 *
 * The watchers are the first @watchers usable members of the data centre in
 * rendezvous order, according to this process's view.
 */
bool mc_membership_is_watcher(const mc_membership_t *membership,
			      uint32_t watchers);

#endif
