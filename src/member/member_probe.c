/*
 * Failure detection by probes. In each interval the next member in a random
 * order is pinged. If it does not answer in time, some peers are asked to ping
 * it, and if these get no answer either, it is suspected. From time to time a
 * dead member is pinged, so that groups that were partitioned merge again.
 */
#include "member_defs.h"

#include <string.h>

enum {
	/* Number of peers asked to probe a member that does not answer. */
	INDIRECT_PEERS = 3,
	/* Time for answers to indirect probes, in probe timeouts. */
	INDIRECT_TIMEOUTS = 2,
	/* Time between two probes of dead members, in probe intervals. */
	DEAD_PROBE_INTERVALS = 10,
};

uint64_t mc_member_probe_add(mc_membership_t *ms,
			     const mc_member_probe_t *probe)
{
	mc_handle_t handle;
	void *entry;

	if (mc_table_add(ms->probes, &handle, &entry))
		return 0;
	*(mc_member_probe_t *)entry = *probe;
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

/* Starts a round: puts all members but this process in random order. */
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
	uint32_t remaining;

	if (ms->order_count == MC_MEMBER_ORDER_MAX) {
		shuffle_order(ms);
		return;
	}
	ms->order[ms->order_count++] = handle;
	remaining = ms->order_count - ms->order_next;
	swap_order(ms, ms->order_count - 1,
		   ms->order_next + mc_random_below(&ms->random, remaining));
}

void mc_member_prioritize_probe(mc_membership_t *ms, mc_handle_t handle)
{
	uint32_t i;

	for (i = ms->order_next; i < ms->order_count; i++)
		if (mc_handle_equal(ms->order[i], handle)) {
			swap_order(ms, i, ms->order_next);
			return;
		}
}

/* Returns the next usable member in order; starts a new round at the end. */
static mc_member_record_t *next_in_order(mc_membership_t *ms)
{
	mc_member_record_t *record;
	uint32_t round;

	for (round = 0; round < 2; round++) {
		while (ms->order_next < ms->order_count) {
			record = mc_member_get(ms, ms->order[ms->order_next++]);
			if (record && mc_member_is_usable(&record->member))
				return record;
		}
		shuffle_order(ms);
	}
	return NULL;
}

static mc_member_record_t *random_dead_member(mc_membership_t *ms)
{
	uint32_t first = mc_random_below(&ms->random, ms->order_count);
	mc_member_record_t *record;
	uint32_t i;

	for (i = 0; i < ms->order_count; i++) {
		record = mc_member_get(
			ms, ms->order[(first + i) % ms->order_count]);
		if (record && record->member.state == MC_MEMBER_DEAD)
			return record;
	}
	return NULL;
}

/*
 * A ping to a dead member carries no updates: it is unlikely to receive them,
 * and each update is sent only a limited number of times.
 */
static void send_ping(mc_membership_t *ms, const mc_member_record_t *record,
		      const mc_member_probe_t *probe)
{
	uint64_t sequence = mc_member_probe_add(ms, probe);
	mc_member_message_t message;

	if (!sequence)
		return;
	mc_member_message_start(ms, &message, MC_MEMBER_PING, sequence,
				record->member.key);
	if (probe->kind == MC_MEMBER_PROBE_DEAD)
		ms->params.send(ms->params.ctx, record->member.address,
				&message);
	else
		mc_member_message_send(ms, &message, record->member.address);
}

static void probe_next(mc_membership_t *ms, mc_ms_t active_now)
{
	mc_member_record_t *record;

	if (active_now < ms->next_probe)
		return;
	ms->next_probe = active_now + ms->params.probe_interval;
	record = next_in_order(ms);
	if (record)
		send_ping(ms, record,
			  &(mc_member_probe_t){
				  .kind = MC_MEMBER_PROBE_DIRECT,
				  .subject = record->member.key,
				  .deadline =
					  active_now + ms->params.probe_timeout,
			  });
}

static void probe_dead(mc_membership_t *ms, mc_ms_t active_now)
{
	mc_member_record_t *record;

	if (active_now < ms->next_dead_probe)
		return;
	ms->next_dead_probe =
		active_now + ms->params.probe_interval * DEAD_PROBE_INTERVALS;
	record = random_dead_member(ms);
	if (record)
		send_ping(ms, record,
			  &(mc_member_probe_t){
				  .kind = MC_MEMBER_PROBE_DEAD,
				  .subject = record->member.key,
				  .deadline =
					  active_now + ms->params.probe_timeout,
			  });
}

static void send_indirect_probes(mc_membership_t *ms, uint64_t sequence,
				 mc_member_probe_t *probe)
{
	mc_member_message_t message;
	mc_member_record_t *peer;
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

static void handle_timeout(mc_membership_t *ms, uint64_t sequence,
			   mc_member_probe_t *probe, mc_ms_t now)
{
	uint64_t subject = probe->subject;

	switch (probe->kind) {
	case MC_MEMBER_PROBE_DIRECT:
		send_indirect_probes(ms, sequence, probe);
		return;
	case MC_MEMBER_PROBE_INDIRECT:
		mc_member_probe_remove(ms, sequence);
		mc_member_suspect(ms, subject, now);
		return;
	case MC_MEMBER_PROBE_DEAD:
	case MC_MEMBER_PROBE_RELAY:
	case MC_MEMBER_PROBE_CANDIDATE:
	case MC_MEMBER_PROBE_SYNC:
		mc_member_probe_remove(ms, sequence);
		return;
	}
}

static void check_timeouts(mc_membership_t *ms, mc_ms_t now)
{
	mc_member_probe_t *probe;
	mc_handle_t handle;
	uint32_t cursor = 0, remaining = mc_table_count(ms->probes);

	while (remaining-- &&
	       (probe = mc_table_next(ms->probes, &cursor, &handle)))
		if (probe->deadline <= now - ms->paused_time)
			handle_timeout(ms, mc_handle_pack(handle), probe, now);
}

void mc_member_probe_tick(mc_membership_t *ms, mc_ms_t now)
{
	mc_ms_t active_now = now - ms->paused_time;

	check_timeouts(ms, now);
	if (mc_member_self(ms)->member.state == MC_MEMBER_LEAVING) {
		ms->next_probe = active_now + ms->params.probe_interval;
		return;
	}
	probe_next(ms, active_now);
	probe_dead(ms, active_now);
}

mc_ms_t mc_member_probe_due(const mc_membership_t *ms)
{
	mc_ms_t due = ms->next_probe;
	const mc_member_probe_t *probe;
	mc_handle_t handle;
	uint32_t cursor = 0, remaining = mc_table_count(ms->probes);

	while (remaining-- &&
	       (probe = mc_table_next(ms->probes, &cursor, &handle)))
		if (probe->deadline < due)
			due = probe->deadline;
	return due;
}

void mc_member_handle_ping(mc_membership_t *ms,
			   const mc_member_message_t *message)
{
	mc_member_message_t answer;

	mc_member_message_start(ms, &answer, MC_MEMBER_ACK, message->sequence,
				message->from.key);
	mc_member_message_send(ms, &answer, message->from.address);
}

/* Forwards the answer, with the known state of the member that gave it. */
static void relay_ack(mc_membership_t *ms, const mc_member_probe_t *probe)
{
	const mc_member_record_t *record =
		mc_member_find(ms, probe->subject, NULL);
	mc_member_message_t answer;

	mc_member_message_start(ms, &answer, MC_MEMBER_ACK,
				probe->reply_sequence,
				mc_hash_string(probe->reply_address));
	answer.subject = probe->subject;
	if (record)
		mc_member_message_add(&answer, &record->member);
	mc_member_message_send(ms, &answer, probe->reply_address);
}

void mc_member_handle_ack(mc_membership_t *ms,
			  const mc_member_message_t *message)
{
	mc_member_probe_t *probe = mc_member_probe_find(ms, message->sequence);
	uint64_t subject =
		message->subject ? message->subject : message->from.key;
	mc_member_probe_t copy;

	if (!probe || probe->kind == MC_MEMBER_PROBE_SYNC)
		return;
	if (probe->kind != MC_MEMBER_PROBE_CANDIDATE &&
	    probe->subject != subject)
		return;
	copy = *probe;
	mc_member_probe_remove(ms, message->sequence);
	if (copy.kind == MC_MEMBER_PROBE_RELAY)
		relay_ack(ms, &copy);
	else if (copy.kind == MC_MEMBER_PROBE_CANDIDATE)
		mc_member_candidate_remove(ms, copy.reply_address);
}

void mc_member_handle_ping_req(mc_membership_t *ms,
			       const mc_member_message_t *message, mc_ms_t now)
{
	mc_member_record_t *record = mc_member_find(ms, message->subject, NULL);
	mc_member_probe_t probe = {
		.kind = MC_MEMBER_PROBE_RELAY,
		.subject = message->subject,
		.deadline = now - ms->paused_time +
			    ms->params.probe_timeout * INDIRECT_TIMEOUTS,
		.reply_sequence = message->sequence,
	};

	if (!record || record == mc_member_self(ms))
		return;
	memcpy(probe.reply_address, message->from.address,
	       sizeof(probe.reply_address));
	send_ping(ms, record, &probe);
}
