/*
 * Private types and functions of the member library.
 *
 * The state of a membership is a set of tables: members, probes that await an
 * answer, candidates, and arrays of handles for the probe order and for the
 * queue of updates to send. All deadlines are in the process's active time: the
 * current time less the pauses of this process. It stands still during a pause,
 * so that a pause of this process never counts against others.
 */
#ifndef MC_MEMBER_DEFS_H
#define MC_MEMBER_DEFS_H

#include "mc/member.h"

enum {
	/* Slots of the index from key to member; a power of two. */
	MC_MEMBER_INDEX_SLOTS = 2 * MC_MEMBERS_MAX,
	/*
	 * Maximum length of the probe order; removed members stay in it until
	 * the next round.
	 */
	MC_MEMBER_ORDER_MAX = 2 * MC_MEMBERS_MAX,
	/*
	 * Maximum number of probes, relayed probes and syncs that await an
	 * answer.
	 */
	MC_MEMBER_PROBES_MAX = 512,
	/* Maximum number of candidate addresses that have not answered. */
	MC_MEMBER_CANDIDATES_MAX = 64,
};

/**
 * struct mc_member_record_t - record of a member
 * @member: its public part
 * @suspect_until: when a suspect is declared dead, active time
 * @dead_since: when it was found to be dead or leaving, active time
 * @sends_left: number of messages that will still carry its state
 */
typedef struct mc_member_record_t {
	mc_member_t member;
	mc_ms_t suspect_until;
	mc_ms_t dead_since;
	uint32_t sends_left;
} mc_member_record_t;

/** enum mc_member_probe_kind_t - purpose of a probe */
typedef enum mc_member_probe_kind_t {
	MC_MEMBER_PROBE_DIRECT,
	MC_MEMBER_PROBE_INDIRECT,
	MC_MEMBER_PROBE_DEAD,
	MC_MEMBER_PROBE_RELAY,
	MC_MEMBER_PROBE_CANDIDATE,
	MC_MEMBER_PROBE_SYNC,
} mc_member_probe_kind_t;

/**
 * struct mc_member_probe_t - a pending probe; its packed handle is the sequence
 * @kind: its purpose
 * @subject: key of the probed member
 * @deadline: when it times out, active time
 * @reply_sequence: RELAY: sequence of the request
 * @reply_address: RELAY: address of the requester; CANDIDATE: the probed
 *	address
 */
typedef struct mc_member_probe_t {
	mc_member_probe_kind_t kind;
	uint64_t subject;
	mc_ms_t deadline;
	uint64_t reply_sequence;
	char reply_address[MC_MEMBER_ADDRESS_SIZE];
} mc_member_probe_t;

/**
 * struct mc_member_candidate_t - an address that may belong to a peer
 * @address: the address; "" in a free slot
 * @next_try: when to probe it next, active time
 * @backoff: mean time until the probe after that, ms
 */
typedef struct mc_member_candidate_t {
	char address[MC_MEMBER_ADDRESS_SIZE];
	mc_ms_t next_try;
	mc_ms_t backoff;
} mc_member_candidate_t;

/**
 * struct mc_membership_t - a membership
 * @params: its parameters
 * @random: state of the random choices
 * @members: table of mc_member_record_t, including this process
 * @self: handle of this process
 * @probes: table of mc_member_probe_t
 * @slots: index from key to member
 * @order: handles in probe order
 * @order_count: number of handles in @order
 * @order_next: position in @order of the next member to probe
 * @gossip: queue of members whose state is to be sent to peers
 * @gossip_count: number of handles in @gossip
 * @gossip_next: position in @gossip of the next one to send
 * @applying_sync: whether the updates being applied come from a sync
 * @candidates: addresses that may belong to peers
 * @candidate_count: number of candidates
 * @usable_count: number of members that may get new work
 * @suspect_count: number of members in MC_MEMBER_SUSPECT
 * @paused_time: total length of pauses, ms
 * @last_tick: when the last tick ran, ms
 * @next_tick: when the next tick is due, ms
 * @next_probe: next direct probe, active time
 * @next_dead_probe: next probe of a dead member, active time
 * @next_gossip: next message that carries only updates, active time
 * @next_removal: next check for members to remove, active time
 * @next_sync: next comparison of views with a peer, active time
 * @fresh: whether the view is recent enough to act on
 * @stale: whether the view is from before a pause
 * @fresh_answers: number of syncs answered since @fresh was last reset
 * @fresh_deadline: when the view counts as fresh even without answers, active
 *	time
 * @changed: whether a change of the usable members is still to be reported
 */
struct mc_membership_t {
	mc_member_params_t params;
	mc_random_t random;
	mc_table_t *members;
	mc_handle_t self;
	mc_table_t *probes;
	mc_handle_t slots[MC_MEMBER_INDEX_SLOTS];
	mc_handle_t order[MC_MEMBER_ORDER_MAX];
	uint32_t order_count;
	uint32_t order_next;
	mc_handle_t gossip[MC_MEMBERS_MAX];
	uint32_t gossip_count;
	uint32_t gossip_next;
	bool applying_sync;
	mc_member_candidate_t candidates[MC_MEMBER_CANDIDATES_MAX];
	uint32_t candidate_count;
	uint32_t usable_count;
	uint32_t suspect_count;
	mc_ms_t paused_time;
	mc_ms_t last_tick;
	mc_ms_t next_tick;
	mc_ms_t next_probe;
	mc_ms_t next_dead_probe;
	mc_ms_t next_gossip;
	mc_ms_t next_removal;
	mc_ms_t next_sync;
	bool fresh;
	bool stale;
	uint32_t fresh_answers;
	mc_ms_t fresh_deadline;
	bool changed;
};

/* Index from key to member: member_index.c */

/** mc_member_index_add() - Add the member of @handle to the index */
void mc_member_index_add(mc_membership_t *ms, uint64_t key, mc_handle_t handle);

/**
 * mc_member_index_remove() - Remove @key; call it before the record is freed
 */
void mc_member_index_remove(mc_membership_t *ms, uint64_t key);

/** mc_member_find() - Find the record and handle of @key; NULL when unknown */
mc_member_record_t *mc_member_find(const mc_membership_t *ms, uint64_t key,
				   mc_handle_t *handle);

/* The view and how updates change it: member_view.c */

/** mc_member_get() - Record of @handle; NULL when it was removed */
mc_member_record_t *mc_member_get(const mc_membership_t *ms,
				  mc_handle_t handle);

/** mc_member_self() - Record of this process */
mc_member_record_t *mc_member_self(const mc_membership_t *ms);

/** mc_member_apply() - Apply an update from a message */
void mc_member_apply(mc_membership_t *ms, const mc_member_t *update,
		     mc_ms_t now);

/** mc_member_set_state() - Set a member's state and queue it for sending */
void mc_member_set_state(mc_membership_t *ms, mc_handle_t handle,
			 mc_member_state_t state, mc_ms_t now);

/** mc_member_suspect() - Mark a member as suspect after a failed probe */
void mc_member_suspect(mc_membership_t *ms, uint64_t key, mc_ms_t now);

/**
 * mc_member_expire() - Declare expired suspects dead and remove old dead
 * members
 */
void mc_member_expire(mc_membership_t *ms, mc_ms_t now);

/** mc_member_suspect_due() - When the next suspect expires, active time */
mc_ms_t mc_member_suspect_due(const mc_membership_t *ms);

/* Updates and messages: member_gossip.c */

/** mc_member_gossip_add() - Queue a member's state for sending to peers */
void mc_member_gossip_add(mc_membership_t *ms, mc_handle_t handle);

/**
 * mc_member_gossip_clear() - Drop all queued states but that of this process
 */
void mc_member_gossip_clear(mc_membership_t *ms);

/**
 * mc_member_message_start() - Initialize a message from this process
 * @ms: the membership
 * @message: receives the message
 * @kind: its kind
 * @sequence: its sequence
 * @receiver: key of its receiver. If the receiver's known state is not alive,
 *	the message includes that state, so that the receiver can refute it.
 */
void mc_member_message_start(mc_membership_t *ms, mc_member_message_t *message,
			     mc_member_message_kind_t kind, uint64_t sequence,
			     uint64_t receiver);

/** mc_member_message_add() - Add a member to a message if there is room */
void mc_member_message_add(mc_member_message_t *message,
			   const mc_member_t *member);

/**
 * mc_member_message_send() - Fill a message up with queued updates and send it
 */
void mc_member_message_send(mc_membership_t *ms, mc_member_message_t *message,
			    const char *address);

/**
 * mc_member_random_peer() - A random usable peer whose key is not @except, or
 * NULL
 */
mc_member_record_t *mc_member_random_peer(mc_membership_t *ms, uint64_t except);

/** mc_member_gossip_tick() - Send queued updates to a random peer when due */
void mc_member_gossip_tick(mc_membership_t *ms, mc_ms_t now);

/** mc_member_gossip_due() - When to send the next updates, active time */
mc_ms_t mc_member_gossip_due(const mc_membership_t *ms);

/** mc_member_send_leave() - Send the leaving state to many peers at once */
void mc_member_send_leave(mc_membership_t *ms);

/* Probes: member_probe.c */

/**
 * mc_member_probe_add() - Register a probe that awaits an answer
 *
 * Return: its sequence; 0 when too many are pending.
 */
uint64_t mc_member_probe_add(mc_membership_t *ms,
			     const mc_member_probe_t *probe);

/** mc_member_probe_find() - Find a pending probe; NULL when there is none */
mc_member_probe_t *mc_member_probe_find(const mc_membership_t *ms,
					uint64_t sequence);

/** mc_member_probe_remove() - Remove a pending probe */
void mc_member_probe_remove(mc_membership_t *ms, uint64_t sequence);

/**
 * mc_member_prioritize_probe() - Probe the member of @handle next
 */
void mc_member_prioritize_probe(mc_membership_t *ms, mc_handle_t handle);

/** mc_member_order_add() - Insert a new member into the probe order */
void mc_member_order_add(mc_membership_t *ms, mc_handle_t handle);

/** mc_member_probe_tick() - Send probes that are due and handle time-outs */
void mc_member_probe_tick(mc_membership_t *ms, mc_ms_t now);

/**
 * mc_member_probe_due() - When the next probe or time-out is due, active time
 */
mc_ms_t mc_member_probe_due(const mc_membership_t *ms);

/** mc_member_handle_ping() - Answer a PING */
void mc_member_handle_ping(mc_membership_t *ms,
			   const mc_member_message_t *message);

/** mc_member_handle_ack() - Process an ACK */
void mc_member_handle_ack(mc_membership_t *ms,
			  const mc_member_message_t *message);

/** mc_member_handle_ping_req() - Probe the subject of a PING_REQ */
void mc_member_handle_ping_req(mc_membership_t *ms,
			       const mc_member_message_t *message, mc_ms_t now);

/* Candidates: member_candidate.c */

/** mc_member_candidate_remove() - Remove a candidate that has answered */
void mc_member_candidate_remove(mc_membership_t *ms, const char *address);

/** mc_member_candidate_tick() - Probe the candidates that are due */
void mc_member_candidate_tick(mc_membership_t *ms, mc_ms_t now);

/** mc_member_candidate_due() - When the next candidate is due, active time */
mc_ms_t mc_member_candidate_due(const mc_membership_t *ms);

/* Comparison of whole views, and freshness: member_sync.c */

/**
 * mc_member_reset_freshness() - Mark the view as not fresh until peers answer
 */
void mc_member_reset_freshness(mc_membership_t *ms, mc_ms_t now);

/** mc_member_sync_tick() - Compare views with a peer when due */
void mc_member_sync_tick(mc_membership_t *ms, mc_ms_t now);

/**
 * mc_member_schedule_sync() - Compare views soon, because a member came back
 * and others may have come back with it
 */
void mc_member_schedule_sync(mc_membership_t *ms, mc_ms_t now);

/**
 * mc_member_is_sync_reply() - Return whether a message answers a pending
 * SYNC_REQ
 */
bool mc_member_is_sync_reply(const mc_membership_t *ms,
			     const mc_member_message_t *message);

/** mc_member_handle_sync_req() - Answer a SYNC_REQ */
void mc_member_handle_sync_req(mc_membership_t *ms,
			       const mc_member_message_t *message);

/** mc_member_handle_sync() - Process a SYNC whose updates have been applied */
void mc_member_handle_sync(mc_membership_t *ms,
			   const mc_member_message_t *message);

#endif
