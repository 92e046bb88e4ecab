/*
 * Types that the files of the member library share.
 *
 * A membership's state is a set of tables: members, probes that wait for an
 * answer, hints, and arrays of handles for the probe order and for news that
 * still has to be sent. All deadlines are kept in the membership's own time,
 * which stands still while the process is paused, so that a pause of this
 * process never counts against others.
 */
#ifndef MC_MEMBER_DEFS_H
#define MC_MEMBER_DEFS_H

#include "mc/member.h"

enum {
	/* Slots of the index from key to member; a power of two. */
	MC_MEMBER_INDEX_SLOTS = 2 * MC_MEMBERS_MAX,
	/* Most entries of the probe order; stale ones wait for a rebuild. */
	MC_MEMBER_ORDER_MAX = 2 * MC_MEMBERS_MAX,
	/* Most probes, relayed probes and syncs that wait for an answer. */
	MC_MEMBER_PROBES_MAX = 512,
	/* Most addresses that were hinted at and have not answered. */
	MC_MEMBER_HINTS_MAX = 64,
};

/**
 * struct mc_member_node_t - record of a member
 * @member: what others see
 * @suspect_until: when a suspect dies, own time
 * @dead_since: when it was found dead or leaving, own time
 * @sends_left: messages that still carry the news on it
 */
typedef struct mc_member_node_t {
	mc_member_t member;
	mc_ms_t suspect_until;
	mc_ms_t dead_since;
	uint32_t sends_left;
} mc_member_node_t;

/** enum mc_member_probe_kind_t - why an answer is awaited */
typedef enum mc_member_probe_kind_t {
	MC_MEMBER_PROBE_DIRECT,
	MC_MEMBER_PROBE_INDIRECT,
	MC_MEMBER_PROBE_DEAD,
	MC_MEMBER_PROBE_RELAY,
	MC_MEMBER_PROBE_HINT,
	MC_MEMBER_PROBE_SYNC,
} mc_member_probe_kind_t;

/**
 * struct mc_member_probe_t - an awaited answer; its handle is the sequence
 * @kind: why it is awaited
 * @subject: key of the probed member
 * @deadline: next step, own time
 * @reply_sequence: RELAY: sequence of the request
 * @reply_address: RELAY: who asked
 */
typedef struct mc_member_probe_t {
	mc_member_probe_kind_t kind;
	uint64_t subject;
	mc_ms_t deadline;
	uint64_t reply_sequence;
	char reply_address[MC_MEMBER_ADDRESS_SIZE];
} mc_member_probe_t;

/**
 * struct mc_member_hint_t - an address that may be a peer
 * @address: the address; "" in a free slot
 * @next_try: when to probe it, own time
 * @backoff: time until the next try after that, ms
 */
typedef struct mc_member_hint_t {
	char address[MC_MEMBER_ADDRESS_SIZE];
	mc_ms_t next_try;
	mc_ms_t backoff;
} mc_member_hint_t;

/**
 * struct mc_membership_t - a membership
 * @params: as given
 * @random: random choices
 * @members: table of mc_member_node_t, the own process too
 * @self: handle of the own process
 * @probes: table of mc_member_probe_t
 * @slots: index from key to member
 * @order: handles in probe order
 * @order_count: number of those
 * @order_next: next to probe
 * @news: handles of members whose news still has to be sent
 * @news_count: number of those
 * @news_next: next to send
 * @syncing: what is taken in now comes from a whole list
 * @hints: addresses that may be peers
 * @hint_count: number of those
 * @usable: members that may get new work
 * @suspects: members in MC_MEMBER_SUSPECT
 * @skipped: time that pauses took; own time is the passed time less this
 * @last_tick: last tick, passed time
 * @due: when the next tick is due, passed time
 * @next_probe: next direct probe, own time
 * @next_dead_probe: next probe of a dead member, own time
 * @next_gossip: next message that only carries news, own time
 * @next_forget: next look for members to forget, own time
 * @next_sync: next comparison with a peer, own time
 * @fresh: the view is recent
 * @stale: the view is from before a pause
 * @fresh_answers: syncs answered since the view was not fresh
 * @fresh_deadline: when the view counts as fresh without answers, own time
 * @changed: the usable set changed and was not reported yet
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
	mc_handle_t news[MC_MEMBERS_MAX];
	uint32_t news_count;
	uint32_t news_next;
	bool syncing;
	mc_member_hint_t hints[MC_MEMBER_HINTS_MAX];
	uint32_t hint_count;
	uint32_t usable;
	uint32_t suspects;
	mc_ms_t skipped;
	mc_ms_t last_tick;
	mc_ms_t due;
	mc_ms_t next_probe;
	mc_ms_t next_dead_probe;
	mc_ms_t next_gossip;
	mc_ms_t next_forget;
	mc_ms_t next_sync;
	bool fresh;
	bool stale;
	uint32_t fresh_answers;
	mc_ms_t fresh_deadline;
	bool changed;
};

/* Index from key to member: member_index.c */

/** mc_member_index_add() - enter the member of @handle */
void mc_member_index_add(mc_membership_t *ms, uint64_t key, mc_handle_t handle);

/** mc_member_index_remove() - remove @key before its record is freed */
void mc_member_index_remove(mc_membership_t *ms, uint64_t key);

/** mc_member_find() - record of @key and its handle, or NULL */
mc_member_node_t *mc_member_find(const mc_membership_t *ms, uint64_t key,
				 mc_handle_t *handle);

/* The view and how news changes it: member_view.c */

/** mc_member_node() - record of @handle; NULL if it was forgotten */
mc_member_node_t *mc_member_node(const mc_membership_t *ms, mc_handle_t handle);

/** mc_member_self() - record of the own process */
mc_member_node_t *mc_member_self(const mc_membership_t *ms);

/** mc_member_apply() - take in what a message says of a member */
void mc_member_apply(mc_membership_t *ms, const mc_member_t *news, mc_ms_t now);

/** mc_member_set_state() - enter a state and pass it on */
void mc_member_set_state(mc_membership_t *ms, mc_handle_t handle,
			 mc_member_state_t state, mc_ms_t now);

/** mc_member_suspect() - a probe of @key failed */
void mc_member_suspect(mc_membership_t *ms, uint64_t key, mc_ms_t now);

/** mc_member_expire() - suspects die, dead members are forgotten */
void mc_member_expire(mc_membership_t *ms, mc_ms_t now);

/** mc_member_suspect_due() - when the next suspect dies, own time */
mc_ms_t mc_member_suspect_due(const mc_membership_t *ms);

/* News and messages: member_gossip.c */

/** mc_member_news_add() - pass on what is known of a member */
void mc_member_news_add(mc_membership_t *ms, mc_handle_t handle);

/** mc_member_news_clear() - pass on nothing but the own state */
void mc_member_news_clear(mc_membership_t *ms);

/**
 * mc_member_message_start() - a message from the own process
 * @ms: the membership
 * @message: receives it
 * @kind: its kind
 * @sequence: its sequence
 * @receiver: key of its receiver, which is told if it is thought not alive
 */
void mc_member_message_start(mc_membership_t *ms, mc_member_message_t *message,
			     mc_member_message_kind_t kind, uint64_t sequence,
			     uint64_t receiver);

/** mc_member_message_add() - add a member to a message, if there is room */
void mc_member_message_add(mc_member_message_t *message,
			   const mc_member_t *member);

/** mc_member_message_send() - fill up with news and send */
void mc_member_message_send(mc_membership_t *ms, mc_member_message_t *message,
			    const char *address);

/** mc_member_random_peer() - a random usable peer other than @except */
mc_member_node_t *mc_member_random_peer(mc_membership_t *ms, uint64_t except);

/** mc_member_gossip() - send news to random peers when it is time */
void mc_member_gossip(mc_membership_t *ms, mc_ms_t now);

/** mc_member_gossip_due() - when to do so again, own time */
mc_ms_t mc_member_gossip_due(const mc_membership_t *ms);

/** mc_member_announce() - tell many peers at once that this process leaves */
void mc_member_announce(mc_membership_t *ms);

/* Probes: member_probe.c */

/**
 * mc_member_probe_add() - await an answer
 *
 * Return: its sequence, or 0 when too many are awaited.
 */
uint64_t mc_member_probe_add(mc_membership_t *ms,
			     const mc_member_probe_t *probe);

/** mc_member_probe_find() - awaited answer of a sequence or NULL */
mc_member_probe_t *mc_member_probe_find(const mc_membership_t *ms,
					uint64_t sequence);

/** mc_member_probe_remove() - await it no longer */
void mc_member_probe_remove(mc_membership_t *ms, uint64_t sequence);

/** mc_member_probe_soon() - probe the member of @handle next */
void mc_member_probe_soon(mc_membership_t *ms, mc_handle_t handle);

/** mc_member_order_add() - enter a new member into the probe order */
void mc_member_order_add(mc_membership_t *ms, mc_handle_t handle);

/** mc_member_probe_tick() - send probes and act on missing answers */
void mc_member_probe_tick(mc_membership_t *ms, mc_ms_t now);

/** mc_member_probe_due() - when the next awaited answer is late, own time */
mc_ms_t mc_member_probe_due(const mc_membership_t *ms);

/** mc_member_probe_ping() - a PING arrived */
void mc_member_probe_ping(mc_membership_t *ms,
			  const mc_member_message_t *message);

/** mc_member_probe_ack() - an ACK arrived */
void mc_member_probe_ack(mc_membership_t *ms,
			 const mc_member_message_t *message);

/** mc_member_probe_req() - a PING_REQ arrived */
void mc_member_probe_req(mc_membership_t *ms,
			 const mc_member_message_t *message, mc_ms_t now);

/* Hints: member_hint.c */

/** mc_member_hint_remove() - @address has answered */
void mc_member_hint_remove(mc_membership_t *ms, const char *address);

/** mc_member_hint_tick() - probe the hints whose time has come */
void mc_member_hint_tick(mc_membership_t *ms, mc_ms_t now);

/** mc_member_hint_due() - when to do so again, own time */
mc_ms_t mc_member_hint_due(const mc_membership_t *ms);

/* Comparison of whole views and freshness: member_sync.c */

/** mc_member_refresh() - the view is not fresh until peers have answered */
void mc_member_refresh(mc_membership_t *ms, mc_ms_t now);

/** mc_member_sync_tick() - compare with a peer when it is time */
void mc_member_sync_tick(mc_membership_t *ms, mc_ms_t now);

/** mc_member_sync_soon() - compare soon, as a whole group may be new */
void mc_member_sync_soon(mc_membership_t *ms, mc_ms_t now);

/** mc_member_sync_awaited() - whether a message answers a SYNC_REQ */
bool mc_member_sync_awaited(const mc_membership_t *ms,
			    const mc_member_message_t *message);

/** mc_member_sync_req() - a SYNC_REQ arrived */
void mc_member_sync_req(mc_membership_t *ms,
			const mc_member_message_t *message);

/** mc_member_sync_answer() - a SYNC arrived; its news was taken in */
void mc_member_sync_answer(mc_membership_t *ms,
			   const mc_member_message_t *message);

#endif
