/*
 * Comparison of whole views, and freshness. A SYNC_REQ carries a hash of the
 * usable members; a peer whose hash is equal answers with one short message,
 * another one with its whole list. The view is not fresh after the start and
 * after a pause until some peers have answered; without any peer that can be
 * reached it counts as fresh after a time, so that the last process of a data
 * centre that is cut off still serves.
 */
#include "member_defs.h"

enum {
	/* Answers that make a view fresh; fewer if fewer peers are known. */
	FRESH_ANSWERS = 2,
	/* Peers asked at a time while the view is not fresh. */
	FRESH_PEERS = 3,
	/* Mean time between two comparisons, in probe intervals. */
	SYNC_INTERVALS = 60,
	/* Soonest comparison after a member came back, in probe intervals. */
	SYNC_SOON_INTERVALS = 10,
};

static uint64_t view_hash(const mc_membership_t *ms)
{
	const mc_member_node_t *node;
	mc_handle_t handle;
	uint32_t cursor = 0, left = mc_table_count(ms->members);
	uint64_t hash = 0;

	while (left-- && (node = mc_table_next(ms->members, &cursor, &handle)))
		if (mc_member_is_usable(&node->member))
			hash ^= mc_hash_pair(node->member.key,
					     node->member.incarnation);
	return hash;
}

static void request_sync(mc_membership_t *ms, mc_ms_t own)
{
	mc_member_node_t *peer = mc_member_random_peer(ms, 0);
	mc_member_message_t message;
	uint64_t sequence;

	if (!peer)
		return;
	sequence = mc_member_probe_add(
		ms, &(mc_member_probe_t){
			    .kind = MC_MEMBER_PROBE_SYNC,
			    .subject = peer->member.key,
			    .deadline = own + ms->params.suspect_time,
		    });
	if (!sequence)
		return;
	mc_member_message_start(ms, &message, MC_MEMBER_SYNC_REQ, sequence,
				peer->member.key);
	message.subject = view_hash(ms);
	mc_member_message_send(ms, &message, peer->member.address);
}

void mc_member_refresh(mc_membership_t *ms, mc_ms_t now)
{
	mc_ms_t own = now - ms->skipped;

	ms->fresh = false;
	ms->fresh_answers = 0;
	ms->fresh_deadline =
		own + ms->params.suspect_time + 2 * ms->params.probe_interval;
	ms->next_sync = own;
}

static void set_fresh(mc_membership_t *ms)
{
	ms->fresh = true;
	ms->stale = false;
}

void mc_member_sync_tick(mc_membership_t *ms, mc_ms_t now)
{
	mc_ms_t own = now - ms->skipped;
	mc_ms_t mean = ms->params.probe_interval * SYNC_INTERVALS;
	uint32_t i;

	if (!ms->fresh && own >= ms->fresh_deadline)
		set_fresh(ms);
	if (own < ms->next_sync)
		return;
	if (ms->fresh) {
		request_sync(ms, own);
		ms->next_sync = own + mean / 2 +
				mc_random_below(&ms->random, (uint32_t)mean);
		return;
	}
	for (i = 0; i < FRESH_PEERS; i++)
		request_sync(ms, own);
	ms->next_sync = own + ms->params.probe_interval;
}

void mc_member_sync_soon(mc_membership_t *ms, mc_ms_t now)
{
	mc_ms_t latest = ms->params.probe_interval * SYNC_SOON_INTERVALS;
	mc_ms_t soon = now - ms->skipped +
		       mc_random_below(&ms->random, (uint32_t)latest);

	if (ms->fresh && soon < ms->next_sync)
		ms->next_sync = soon;
}

static void send_view(mc_membership_t *ms, const mc_member_message_t *request)
{
	const mc_member_node_t *node;
	mc_member_message_t answer;
	mc_handle_t handle;
	uint32_t cursor = 0, left = mc_table_count(ms->members);

	mc_member_message_start(ms, &answer, MC_MEMBER_SYNC, request->sequence,
				0);
	while (left-- &&
	       (node = mc_table_next(ms->members, &cursor, &handle))) {
		mc_member_message_add(&answer, &node->member);
		if (left && answer.update_count < MC_MEMBER_UPDATES_MAX)
			continue;
		answer.subject = left;
		ms->params.send(ms->params.ctx, request->from.address, &answer);
		answer.update_count = 0;
	}
}

void mc_member_sync_req(mc_membership_t *ms, const mc_member_message_t *message)
{
	mc_member_message_t answer;

	if (ms->stale)
		return;
	if (view_hash(ms) != message->subject) {
		send_view(ms, message);
		return;
	}
	mc_member_message_start(ms, &answer, MC_MEMBER_SYNC, message->sequence,
				message->from.key);
	mc_member_message_send(ms, &answer, message->from.address);
}

bool mc_member_sync_awaited(const mc_membership_t *ms,
			    const mc_member_message_t *message)
{
	const mc_member_probe_t *probe =
		mc_member_probe_find(ms, message->sequence);

	return message->kind == MC_MEMBER_SYNC && probe &&
	       probe->kind == MC_MEMBER_PROBE_SYNC &&
	       probe->subject == message->from.key;
}

void mc_member_sync_answer(mc_membership_t *ms,
			   const mc_member_message_t *message)
{
	uint32_t needed = FRESH_ANSWERS;

	if (!mc_member_sync_awaited(ms, message) || message->subject)
		return;
	mc_member_probe_remove(ms, message->sequence);
	ms->fresh_answers++;
	if (ms->usable - 1 < needed)
		needed = ms->usable - 1;
	if (ms->fresh_answers >= needed)
		set_fresh(ms);
}
