/*
 * Probes. Each interval the next member of a random order is pinged. Without
 * an answer in time some peers are asked to ping it, and without an answer to
 * these either it is suspected. A dead member is pinged now and then, so that
 * groups that were cut off from each other find together again.
 */
#include "member_defs.h"

#include <string.h>

enum {
	/* Peers asked to probe a member that does not answer. */
	INDIRECT_PEERS = 3,
	/* Time for answers through others, in probe timeouts. */
	INDIRECT_TIMEOUTS = 2,
	/* A dead member is probed once per this many probe intervals. */
	DEAD_PROBE_INTERVALS = 10,
};

uint64_t mc_member_probe_add(mc_membership_t *ms,
			     const mc_member_probe_t *probe)
{
	mc_handle_t handle;
	void *record;

	if (mc_table_add(ms->probes, &handle, &record))
		return 0;
	*(mc_member_probe_t *)record = *probe;
	return mc_handle_pack(handle);
}

mc_member_probe_t *mc_member_probe_find(const mc_membership_t *ms,
					uint64_t sequence)
{
	return mc_table_get(ms->probes, mc_handle_unpack(sequence));
}

void mc_member_probe_remove(mc_membership_t *ms, uint64_t sequence)
{
	mc_table_remove(ms->probes, mc_handle_unpack(sequence));
}

static void swap_order(mc_membership_t *ms, uint32_t a, uint32_t b)
{
	mc_handle_t handle = ms->order[a];

	ms->order[a] = ms->order[b];
	ms->order[b] = handle;
}

/* Start a round: all members but the own process, in random order. */
static void shuffle_order(mc_membership_t *ms)
{
	mc_handle_t handle;
	uint32_t cursor = 0, i;

	ms->order_count = 0;
	ms->order_next = 0;
	while (mc_table_next(ms->members, &cursor, &handle))
		if (!mc_handle_equal(handle, ms->self))
			ms->order[ms->order_count++] = handle;
	for (i = ms->order_count; i > 1; i--)
		swap_order(ms, i - 1, mc_random_below(&ms->random, i));
}

void mc_member_order_add(mc_membership_t *ms, mc_handle_t handle)
{
	uint32_t left;

	if (ms->order_count == MC_MEMBER_ORDER_MAX) {
		shuffle_order(ms);
		return;
	}
	ms->order[ms->order_count++] = handle;
	left = ms->order_count - ms->order_next;
	swap_order(ms, ms->order_count - 1,
		   ms->order_next + mc_random_below(&ms->random, left));
}

void mc_member_probe_soon(mc_membership_t *ms, mc_handle_t handle)
{
	uint32_t i;

	for (i = ms->order_next; i < ms->order_count; i++)
		if (mc_handle_equal(ms->order[i], handle)) {
			swap_order(ms, i, ms->order_next);
			return;
		}
}

/* Next usable member in order; a new round starts at the end of one. */
static mc_member_node_t *next_in_order(mc_membership_t *ms)
{
	mc_member_node_t *node;
	uint32_t round;

	for (round = 0; round < 2; round++) {
		while (ms->order_next < ms->order_count) {
			node = mc_member_node(ms, ms->order[ms->order_next++]);
			if (node && mc_member_is_usable(&node->member))
				return node;
		}
		shuffle_order(ms);
	}
	return NULL;
}

static mc_member_node_t *random_dead(mc_membership_t *ms)
{
	uint32_t first = mc_random_below(&ms->random, ms->order_count);
	mc_member_node_t *node;
	uint32_t i;

	for (i = 0; i < ms->order_count; i++) {
		node = mc_member_node(ms,
				      ms->order[(first + i) % ms->order_count]);
		if (node && node->member.state == MC_MEMBER_DEAD)
			return node;
	}
	return NULL;
}

/* News is not spent on a member that will hardly get it. */
static void ping(mc_membership_t *ms, const mc_member_node_t *node,
		 const mc_member_probe_t *probe)
{
	uint64_t sequence = mc_member_probe_add(ms, probe);
	mc_member_message_t message;

	if (!sequence)
		return;
	mc_member_message_start(ms, &message, MC_MEMBER_PING, sequence,
				node->member.key);
	if (probe->kind == MC_MEMBER_PROBE_DEAD)
		ms->params.send(ms->params.ctx, node->member.address, &message);
	else
		mc_member_message_send(ms, &message, node->member.address);
}

static void probe_next(mc_membership_t *ms, mc_ms_t own)
{
	mc_member_node_t *node;

	if (own < ms->next_probe)
		return;
	ms->next_probe = own + ms->params.probe_interval;
	node = next_in_order(ms);
	if (node)
		ping(ms, node,
		     &(mc_member_probe_t){
			     .kind = MC_MEMBER_PROBE_DIRECT,
			     .subject = node->member.key,
			     .deadline = own + ms->params.probe_timeout,
		     });
}

static void probe_dead(mc_membership_t *ms, mc_ms_t own)
{
	mc_member_node_t *node;

	if (own < ms->next_dead_probe)
		return;
	ms->next_dead_probe =
		own + ms->params.probe_interval * DEAD_PROBE_INTERVALS;
	node = random_dead(ms);
	if (node)
		ping(ms, node,
		     &(mc_member_probe_t){
			     .kind = MC_MEMBER_PROBE_DEAD,
			     .subject = node->member.key,
			     .deadline = own + ms->params.probe_timeout,
		     });
}

static void ask_others(mc_membership_t *ms, uint64_t sequence,
		       mc_member_probe_t *probe)
{
	mc_member_message_t message;
	mc_member_node_t *peer;
	uint32_t i;

	probe->kind = MC_MEMBER_PROBE_INDIRECT;
	probe->deadline += ms->params.probe_timeout * INDIRECT_TIMEOUTS;
	for (i = 0; i < INDIRECT_PEERS; i++) {
		peer = mc_member_random_peer(ms, probe->subject);
		if (!peer)
			return;
		mc_member_message_start(ms, &message, MC_MEMBER_PING_REQ,
					sequence, peer->member.key);
		message.subject = probe->subject;
		mc_member_message_send(ms, &message, peer->member.address);
	}
}

static void answer_is_late(mc_membership_t *ms, uint64_t sequence,
			   mc_member_probe_t *probe, mc_ms_t now)
{
	uint64_t subject = probe->subject;

	switch (probe->kind) {
	case MC_MEMBER_PROBE_DIRECT:
		ask_others(ms, sequence, probe);
		return;
	case MC_MEMBER_PROBE_INDIRECT:
		mc_member_probe_remove(ms, sequence);
		mc_member_suspect(ms, subject, now);
		return;
	case MC_MEMBER_PROBE_DEAD:
	case MC_MEMBER_PROBE_RELAY:
	case MC_MEMBER_PROBE_HINT:
	case MC_MEMBER_PROBE_SYNC:
		mc_member_probe_remove(ms, sequence);
		return;
	}
}

static void check_answers(mc_membership_t *ms, mc_ms_t now)
{
	mc_member_probe_t *probe;
	mc_handle_t handle;
	uint32_t cursor = 0, left = mc_table_count(ms->probes);

	while (left-- && (probe = mc_table_next(ms->probes, &cursor, &handle)))
		if (probe->deadline <= now - ms->skipped)
			answer_is_late(ms, mc_handle_pack(handle), probe, now);
}

void mc_member_probe_tick(mc_membership_t *ms, mc_ms_t now)
{
	mc_ms_t own = now - ms->skipped;

	check_answers(ms, now);
	if (mc_member_self(ms)->member.state == MC_MEMBER_LEAVING) {
		ms->next_probe = own + ms->params.probe_interval;
		return;
	}
	probe_next(ms, own);
	probe_dead(ms, own);
}

mc_ms_t mc_member_probe_due(const mc_membership_t *ms)
{
	mc_ms_t due = ms->next_probe;
	const mc_member_probe_t *probe;
	mc_handle_t handle;
	uint32_t cursor = 0, left = mc_table_count(ms->probes);

	while (left-- && (probe = mc_table_next(ms->probes, &cursor, &handle)))
		if (probe->deadline < due)
			due = probe->deadline;
	return due;
}

void mc_member_probe_ping(mc_membership_t *ms,
			  const mc_member_message_t *message)
{
	mc_member_message_t answer;

	mc_member_message_start(ms, &answer, MC_MEMBER_ACK, message->sequence,
				message->from.key);
	mc_member_message_send(ms, &answer, message->from.address);
}

/* Pass the answer on, with what is known of the member that gave it. */
static void relay_answer(mc_membership_t *ms, const mc_member_probe_t *probe)
{
	const mc_member_node_t *node = mc_member_find(ms, probe->subject, NULL);
	mc_member_message_t answer;

	mc_member_message_start(ms, &answer, MC_MEMBER_ACK,
				probe->reply_sequence,
				mc_hash_string(probe->reply_address));
	answer.subject = probe->subject;
	if (node)
		mc_member_message_add(&answer, &node->member);
	mc_member_message_send(ms, &answer, probe->reply_address);
}

void mc_member_probe_ack(mc_membership_t *ms,
			 const mc_member_message_t *message)
{
	mc_member_probe_t *probe = mc_member_probe_find(ms, message->sequence);
	uint64_t subject =
		message->subject ? message->subject : message->from.key;
	mc_member_probe_t copy;

	if (!probe || probe->kind == MC_MEMBER_PROBE_SYNC)
		return;
	if (probe->kind != MC_MEMBER_PROBE_HINT && probe->subject != subject)
		return;
	copy = *probe;
	mc_member_probe_remove(ms, message->sequence);
	if (copy.kind == MC_MEMBER_PROBE_RELAY)
		relay_answer(ms, &copy);
	else if (copy.kind == MC_MEMBER_PROBE_HINT)
		mc_member_hint_remove(ms, copy.reply_address);
}

void mc_member_probe_req(mc_membership_t *ms,
			 const mc_member_message_t *message, mc_ms_t now)
{
	mc_member_node_t *node = mc_member_find(ms, message->subject, NULL);
	mc_member_probe_t probe = {
		.kind = MC_MEMBER_PROBE_RELAY,
		.subject = message->subject,
		.deadline = now - ms->skipped +
			    ms->params.probe_timeout * INDIRECT_TIMEOUTS,
		.reply_sequence = message->sequence,
	};

	if (!node || node == mc_member_self(ms))
		return;
	memcpy(probe.reply_address, message->from.address,
	       sizeof(probe.reply_address));
	ping(ms, node, &probe);
}
