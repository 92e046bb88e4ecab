/*
 * Dissemination of updates. Each update is sent a bounded number of times: on
 * probes and their answers, and, while the queue is not empty, in separate
 * messages to random peers.
 */
#include "member_defs.h"

#include <string.h>

enum {
	/*
	 * An update is sent this many times the number of bits of the member
	 * count, which is about its log2.
	 */
	SENDS_FACTOR = 3,
	/*
	 * An update from a sync is already known to other peers, so it is sent
	 * less often.
	 */
	SYNC_SENDS = 3,
	/*
	 * Maximum number of updates on a probe or an answer, to keep these
	 * small.
	 */
	PROBE_UPDATES_MAX = 6,
	/* Gossip messages per probe interval while the queue is not empty. */
	GOSSIP_PER_PROBE = 2,
	/* Maximum number of peers that a leaving process informs directly. */
	LEAVE_PEERS_MAX = 32,
	/* Attempts to find a random usable peer. */
	RANDOM_TRIES = 16,
};

static uint32_t sends_per_update(const mc_membership_t *ms)
{
	uint32_t members = mc_table_count(ms->members);
	uint32_t bits = 1;

	if (ms->applying_sync)
		return SYNC_SENDS;
	while (members >>= 1)
		bits++;
	return SENDS_FACTOR * bits;
}

/* Puts a new update before those that were already sent. */
static void enqueue_first(mc_membership_t *ms, mc_handle_t handle)
{
	if (ms->gossip_next >= ms->gossip_count)
		ms->gossip_next = 0;
	ms->gossip[ms->gossip_count++] = ms->gossip[ms->gossip_next];
	ms->gossip[ms->gossip_next] = handle;
}

void mc_member_gossip_add(mc_membership_t *ms, mc_handle_t handle)
{
	mc_member_record_t *record = mc_member_get(ms, handle);
	bool queued = record->sends_left > 0;
	uint32_t sends = sends_per_update(ms);

	if (!queued && ms->gossip_count == MC_MEMBERS_MAX)
		return;
	if (record->sends_left < sends)
		record->sends_left = sends;
	if (!queued)
		enqueue_first(ms, handle);
}

void mc_member_gossip_clear(mc_membership_t *ms)
{
	mc_member_record_t *record;
	uint32_t i;

	for (i = 0; i < ms->gossip_count; i++) {
		record = mc_member_get(ms, ms->gossip[i]);
		if (record)
			record->sends_left = 0;
	}
	ms->gossip_count = 0;
	mc_member_gossip_add(ms, ms->self);
}

/* Returns the next update in the queue; NULL when there is none. */
static const mc_member_t *next_update(mc_membership_t *ms)
{
	mc_member_record_t *record;

	while (ms->gossip_count) {
		if (ms->gossip_next >= ms->gossip_count)
			ms->gossip_next = 0;
		record = mc_member_get(ms, ms->gossip[ms->gossip_next]);
		if (record && record->sends_left) {
			record->sends_left--;
			ms->gossip_next++;
			return &record->member;
		}
		ms->gossip[ms->gossip_next] = ms->gossip[--ms->gossip_count];
	}
	return NULL;
}

void mc_member_message_add(mc_member_message_t *message,
			   const mc_member_t *member)
{
	if (message->update_count < MC_MEMBER_UPDATES_MAX)
		message->updates[message->update_count++] = *member;
}

void mc_member_message_start(mc_membership_t *ms, mc_member_message_t *message,
			     mc_member_message_kind_t kind, uint64_t sequence,
			     uint64_t receiver)
{
	const mc_member_record_t *record = mc_member_find(ms, receiver, NULL);

	message->kind = kind;
	message->sequence = sequence;
	message->subject = 0;
	message->from = mc_member_self(ms)->member;
	message->update_count = 0;
	if (record && record->member.state != MC_MEMBER_ALIVE)
		mc_member_message_add(message, &record->member);
}

void mc_member_message_send(mc_membership_t *ms, mc_member_message_t *message,
			    const char *address)
{
	uint32_t max = message->kind == MC_MEMBER_SYNC ? MC_MEMBER_UPDATES_MAX
						       : PROBE_UPDATES_MAX;
	uint32_t queued = ms->gossip_count;
	const mc_member_t *update;

	while (message->update_count < max && queued--) {
		update = next_update(ms);
		if (!update)
			break;
		mc_member_message_add(message, update);
	}
	ms->params.send(ms->params.ctx, address, message);
}

mc_member_record_t *mc_member_random_peer(mc_membership_t *ms, uint64_t except)
{
	mc_member_record_t *record;
	uint32_t i, at;

	for (i = 0; i < RANDOM_TRIES && ms->order_count; i++) {
		at = mc_random_below(&ms->random, ms->order_count);
		record = mc_member_get(ms, ms->order[at]);
		if (record && record->member.key != except &&
		    mc_member_is_usable(&record->member))
			return record;
	}
	return NULL;
}

static void send_gossip(mc_membership_t *ms)
{
	mc_member_record_t *peer = mc_member_random_peer(ms, 0);
	mc_member_message_t message;

	if (!peer)
		return;
	mc_member_message_start(ms, &message, MC_MEMBER_SYNC, 0,
				peer->member.key);
	mc_member_message_send(ms, &message, peer->member.address);
}

void mc_member_gossip_tick(mc_membership_t *ms, mc_ms_t now)
{
	mc_ms_t active_now = now - ms->paused_time;

	if (!ms->gossip_count || active_now < ms->next_gossip)
		return;
	ms->next_gossip =
		active_now + ms->params.probe_interval / GOSSIP_PER_PROBE;
	send_gossip(ms);
}

mc_ms_t mc_member_gossip_due(const mc_membership_t *ms)
{
	return ms->gossip_count ? ms->next_gossip : MC_MS_NEVER;
}

/*
 * Informs all peers when there are few, and a random subset when there are
 * many.
 */
void mc_member_send_leave(mc_membership_t *ms)
{
	uint32_t count = ms->order_count < LEAVE_PEERS_MAX ? ms->order_count
							   : LEAVE_PEERS_MAX;
	uint32_t first = mc_random_below(&ms->random, ms->order_count);
	mc_member_message_t message;
	mc_member_record_t *record;
	uint32_t i;

	for (i = 0; i < count; i++) {
		record = mc_member_get(
			ms, ms->order[(first + i) % ms->order_count]);
		if (!record || !mc_member_is_usable(&record->member))
			continue;
		mc_member_message_start(ms, &message, MC_MEMBER_SYNC, 0,
					record->member.key);
		ms->params.send(ms->params.ctx, record->member.address,
				&message);
	}
}
