/*
 * Public header of the member library: which peers are alive. Pure: messages
 * and time come in, actions go out. A membership belongs to one process and is
 * guarded by its owner's lock.
 *
 * Probes between peers are the evidence, directly and through others; the
 * platform's list is only a hint of whom to probe. A peer is suspected before
 * it counts as dead, and clears itself with a higher incarnation.
 */
#ifndef MC_MEMBER_H
#define MC_MEMBER_H

#include "mc/base.h"

enum {
	/* Most peers: twice the nodes of the planned fleet, two roles each. */
	MC_MEMBERS_MAX = 2048,
	/* Most updates in one message. */
	MC_MEMBER_UPDATES_MAX = 16,
	MC_MEMBER_ADDRESS_SIZE = 64,
	MC_MEMBER_NAME_SIZE = 64,
};

/** enum mc_member_state_t - state of a peer; a larger one overrides */
typedef enum mc_member_state_t {
	MC_MEMBER_ALIVE,
	MC_MEMBER_SUSPECT,
	MC_MEMBER_LEAVING,
	MC_MEMBER_DEAD,
} mc_member_state_t;

/**
 * struct mc_member_t - a peer
 * @key: hash of @address
 * @address: where peers reach it
 * @data_center: name of its data centre
 * @gather: it is a gather; else a front
 * @state: what is known
 * @incarnation: grows when the peer speaks for itself
 * @since: when @state was entered, ms
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
	/* Asks the receiver to probe @subject for the sender. */
	MC_MEMBER_PING_REQ,
	/* Asks for, or brings, the whole list in several messages. */
	MC_MEMBER_SYNC_REQ,
	MC_MEMBER_SYNC,
} mc_member_message_kind_t;

/**
 * struct mc_member_message_t - a message; @from describes its sender
 * @kind: what it is
 * @sequence: pairs an ACK with its PING
 * @subject: key of the peer that a PING_REQ or its ACK is about; of a SYNC_REQ
 *	a hash of the sender's view; of a SYNC the members that still follow
 * @from: the sender
 * @updates: news on members
 * @update_count: number of those
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
 * struct mc_member_params_t - what a membership is made from
 * @self: the own process; @key is computed. Its @incarnation must be above
 *	that of an earlier process with the same address: the time of the start.
 * @probe_interval: one probe per this time, ms
 * @probe_timeout: an ACK is awaited so long before others are asked, ms
 * @suspect_time: a suspect that does not clear itself dies after this, ms
 * @seed: of random choices
 * @send: action: send @message to the peer at @address
 * @changed: action: the set of usable members changed
 * @ctx: passed to both
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

/** mc_membership_create() - owned by the caller; NULL without memory */
mc_membership_t *mc_membership_create(const mc_member_params_t *params,
				      mc_ms_t now);

/** mc_membership_destroy() - free; NULL is allowed */
void mc_membership_destroy(mc_membership_t *membership);

/**
 * mc_membership_hint() - an address that may be a peer (from the settings or
 * the platform's list); it is probed and counts once it answers
 */
void mc_membership_add_candidate(mc_membership_t *membership,
				 const char *address, mc_ms_t now);

/** mc_membership_receive() - a message arrived */
void mc_membership_receive(mc_membership_t *membership,
			   const mc_member_message_t *message, mc_ms_t now);

/**
 * mc_membership_tick() - time has passed
 *
 * After a pause (more than suspect_time since the last tick) the view is old:
 * mc_membership_fresh() is false until peers have answered anew.
 *
 * Return: when to call again, ms.
 */
mc_ms_t mc_membership_tick(mc_membership_t *membership, mc_ms_t now);

/** mc_membership_fresh() - whether the view is recent enough to act on */
bool mc_membership_is_fresh(const mc_membership_t *membership);

/** mc_membership_leave() - tell peers that this process leaves */
void mc_membership_leave(mc_membership_t *membership, mc_ms_t now);

/**
 * mc_membership_next() - walk over all known members, the own process too
 * @membership: the membership
 * @cursor: 0 at the start; advanced
 *
 * Return: a member, owned by the membership until the next call of another
 * function, or NULL at the end.
 */
const mc_member_t *mc_membership_next(const mc_membership_t *membership,
				      uint32_t *cursor);

/** mc_member_usable() - whether a member may get new work */
bool mc_member_is_usable(const mc_member_t *member);

/**
 * mc_membership_watcher() - whether this process watches the store
 * @membership: the membership
 * @watchers: watchers per data centre
 *
 * The first @watchers usable members of the data centre in rendezvous order,
 * as seen here.
 */
bool mc_membership_is_watcher(const mc_membership_t *membership,
			      uint32_t watchers);

#endif
