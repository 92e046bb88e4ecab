/*
 * Anti-entropy: comparison of whole views, and freshness. A SYNC_REQ carries a
 * hash of the usable members; a peer with an equal hash answers with one short
 * message, any other with its whole list. After the start and after a pause the
 * view is not fresh until some peers have answered. If no peer can be reached,
 * it counts as fresh after some time, so that the last process of an isolated
 * data centre still serves.
 */
#include "member_defs.h"

enum {
	/*
	 * Number of answers that make a view fresh; fewer if fewer peers are
	 * known.
	 */
	FRESH_ANSWERS = 2,
	/* Number of peers asked at a time while the view is not fresh. */
	FRESH_PEERS = 3,
	/* Mean time between two syncs, in probe intervals. */
	SYNC_INTERVALS = 60,
	/*
	 * Maximum time to the next sync after a member came back, in probe
	 * intervals.
	 */
	SYNC_SOON_INTERVALS = 10,
};

static uint64_t view_hash(const mc_membership_t *ms)
{
	const mc_member_record_t *record;
	mc_handle_t handle;
	uint32_t cursor = 0, remaining = mc_table_count(ms->members);
	uint64_t hash = 0;

	while (remaining-- &&
	       (record = mc_table_next(ms->members, &cursor, &handle)))
		if (mc_member_is_usable(&record->member))
			hash ^= mc_hash_pair(record->member.key,
					     record->member.incarnation);
	return hash;
}

static void send_sync_req(mc_membership_t *ms, mc_ms_t active_now)
{
	mc_member_record_t *peer = mc_member_random_peer(ms, 0);
	mc_member_message_t message;
	uint64_t sequence;

	if (!peer)
		return;
	sequence = mc_member_probe_add(
		ms, &(mc_member_probe_t){
			    .kind = MC_MEMBER_PROBE_SYNC,
			    .subject = peer->member.key,
			    .deadline = active_now + ms->params.suspect_time,
		    });
	if (!sequence)
		return;
	mc_member_message_start(ms, &message, MC_MEMBER_SYNC_REQ, sequence,
				peer->member.key);
	message.subject = view_hash(ms);
	mc_member_message_send(ms, &message, peer->member.address);
}

void mc_member_reset_freshness(mc_membership_t *ms, mc_ms_t now)
{
	mc_ms_t active_now = now - ms->paused_time;

	ms->fresh = false;
	ms->fresh_answers = 0;
	ms->fresh_deadline = active_now + ms->params.suspect_time +
			     2 * ms->params.probe_interval;
	ms->next_sync = active_now;
}

static void set_fresh(mc_membership_t *ms)
{
	ms->fresh = true;
	ms->stale = false;
}

void mc_member_sync_tick(mc_membership_t *ms, mc_ms_t now)
{
	mc_ms_t active_now = now - ms->paused_time;
	mc_ms_t mean = ms->params.probe_interval * SYNC_INTERVALS;
	uint32_t i;

	if (!ms->fresh && active_now >= ms->fresh_deadline)
		set_fresh(ms);
	if (active_now < ms->next_sync)
		return;
	if (ms->fresh) {
		send_sync_req(ms, active_now);
		ms->next_sync = active_now + mean / 2 +
				mc_random_below(&ms->random, (uint32_t)mean);
		return;
	}
	for (i = 0; i < FRESH_PEERS; i++)
		send_sync_req(ms, active_now);
	ms->next_sync = active_now + ms->params.probe_interval;
}

void mc_member_schedule_sync(mc_membership_t *ms, mc_ms_t now)
{
	mc_ms_t latest = ms->params.probe_interval * SYNC_SOON_INTERVALS;
	mc_ms_t soon = now - ms->paused_time +
		       mc_random_below(&ms->random, (uint32_t)latest);

	if (ms->fresh && soon < ms->next_sync)
		ms->next_sync = soon;
}

static void send_view(mc_membership_t *ms, const mc_member_message_t *request)
{
	const mc_member_record_t *record;
	mc_member_message_t answer;
	mc_handle_t handle;
	uint32_t cursor = 0, remaining = mc_table_count(ms->members);

	mc_member_message_start(ms, &answer, MC_MEMBER_SYNC, request->sequence,
				0);
	while (remaining-- &&
	       (record = mc_table_next(ms->members, &cursor, &handle))) {
		mc_member_message_add(&answer, &record->member);
		if (remaining && answer.update_count < MC_MEMBER_UPDATES_MAX)
			continue;
		answer.subject = remaining;
		ms->params.send(ms->params.ctx, request->from.address, &answer);
		answer.update_count = 0;
	}
}

void mc_member_handle_sync_req(mc_membership_t *ms,
			       const mc_member_message_t *message)
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

bool mc_member_is_sync_reply(const mc_membership_t *ms,
			     const mc_member_message_t *message)
{
	const mc_member_probe_t *probe =
		mc_member_probe_find(ms, message->sequence);

	return message->kind == MC_MEMBER_SYNC && probe &&
	       probe->kind == MC_MEMBER_PROBE_SYNC &&
	       probe->subject == message->from.key;
}

void mc_member_handle_sync(mc_membership_t *ms,
			   const mc_member_message_t *message)
{
	uint32_t needed = FRESH_ANSWERS;

	if (!mc_member_is_sync_reply(ms, message) || message->subject)
		return;
	mc_member_probe_remove(ms, message->sequence);
	ms->fresh_answers++;
	if (ms->usable_count - 1 < needed)
		needed = ms->usable_count - 1;
	if (ms->fresh_answers >= needed)
		set_fresh(ms);
}
