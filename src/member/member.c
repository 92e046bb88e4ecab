/*
 * Public functions of a membership: creation, message dispatch and ticks. The
 * index of members, the view, gossip, probes, candidates and syncs are in files
 * of their own.
 */
#include "member_defs.h"

#include <stdlib.h>
#include <string.h>

static bool add_self(mc_membership_t *ms, mc_ms_t now)
{
	mc_member_record_t *record;
	void *entry;

	if (mc_table_add(ms->members, &ms->self, &entry))
		return false;
	record = entry;
	record->member = ms->params.self;
	record->member.key = mc_hash_string(record->member.address);
	record->member.state = MC_MEMBER_ALIVE;
	record->member.state_since = now;
	ms->usable_count = 1;
	mc_member_index_add(ms, record->member.key, ms->self);
	mc_member_gossip_add(ms, ms->self);
	return true;
}

mc_membership_t *mc_membership_create(const mc_member_params_t *params,
				      mc_ms_t now)
{
	mc_membership_t *ms = calloc(1, sizeof(*ms));

	if (!ms)
		return NULL;
	ms->params = *params;
	mc_random_seed(&ms->random, params->seed);
	ms->members =
		mc_table_create(sizeof(mc_member_record_t), MC_MEMBERS_MAX);
	ms->probes = mc_table_create(sizeof(mc_member_probe_t),
				     MC_MEMBER_PROBES_MAX);
	if (!ms->members || !ms->probes || !add_self(ms, now)) {
		mc_membership_destroy(ms);
		return NULL;
	}
	ms->last_tick = now;
	ms->next_tick = now;
	ms->next_probe = now;
	ms->next_dead_probe = now;
	ms->next_gossip = now;
	mc_member_reset_freshness(ms, now);
	return ms;
}

void mc_membership_destroy(mc_membership_t *membership)
{
	if (!membership)
		return;
	mc_table_destroy(membership->members);
	mc_table_destroy(membership->probes);
	free(membership);
}

/*
 * If a tick is late by more than probe_timeout, this process was paused since
 * the tick was due, and that time is not counted as active time. When the last
 * tick is more than suspect_time ago, others may have declared this process
 * dead: the view is outdated, and queued updates from before the pause are
 * dropped.
 */
static void detect_pause(mc_membership_t *ms, mc_ms_t now)
{
	if (now > ms->next_tick + ms->params.probe_timeout) {
		ms->paused_time += now - ms->next_tick;
		ms->next_tick = now;
	}
	if (now - ms->last_tick <= ms->params.suspect_time)
		return;
	ms->last_tick = now;
	ms->stale = true;
	mc_member_gossip_clear(ms);
	mc_member_reset_freshness(ms, now);
}

static void notify_change(mc_membership_t *ms)
{
	if (!ms->changed)
		return;
	ms->changed = false;
	if (ms->params.on_change)
		ms->params.on_change(ms->params.ctx);
}

static void dispatch(mc_membership_t *ms, const mc_member_message_t *message,
		     mc_ms_t now)
{
	switch (message->kind) {
	case MC_MEMBER_PING:
		mc_member_handle_ping(ms, message);
		break;
	case MC_MEMBER_ACK:
		mc_member_handle_ack(ms, message);
		break;
	case MC_MEMBER_PING_REQ:
		mc_member_handle_ping_req(ms, message, now);
		break;
	case MC_MEMBER_SYNC_REQ:
		mc_member_handle_sync_req(ms, message);
		break;
	case MC_MEMBER_SYNC:
		mc_member_handle_sync(ms, message);
		break;
	}
}

/*
 * Returns whether a message is well-formed and not from this process's address.
 */
static bool is_valid_message(const mc_membership_t *ms,
			     const mc_member_message_t *message)
{
	const char *address = message->from.address;

	return address[0] && memchr(address, '\0', MC_MEMBER_ADDRESS_SIZE) &&
	       message->from.key == mc_hash_string(address) &&
	       message->from.key != mc_member_self(ms)->member.key &&
	       message->update_count <= MC_MEMBER_UPDATES_MAX;
}

void mc_membership_receive(mc_membership_t *membership,
			   const mc_member_message_t *message, mc_ms_t now)
{
	uint32_t i;

	if (!is_valid_message(membership, message))
		return;
	detect_pause(membership, now);
	mc_member_apply(membership, &message->from, now);
	membership->applying_sync =
		mc_member_is_sync_reply(membership, message);
	for (i = 0; i < message->update_count; i++)
		mc_member_apply(membership, &message->updates[i], now);
	membership->applying_sync = false;
	dispatch(membership, message, now);
	notify_change(membership);
}

static mc_ms_t min_time(mc_ms_t a, mc_ms_t b)
{
	return a < b ? a : b;
}

static mc_ms_t next_due(const mc_membership_t *ms)
{
	mc_ms_t due = mc_member_probe_due(ms);

	due = min_time(due, mc_member_suspect_due(ms));
	due = min_time(due, mc_member_gossip_due(ms));
	due = min_time(due, mc_member_candidate_due(ms));
	due = min_time(due, ms->next_sync);
	if (!ms->fresh)
		due = min_time(due, ms->fresh_deadline);
	return due + ms->paused_time;
}

mc_ms_t mc_membership_tick(mc_membership_t *membership, mc_ms_t now)
{
	detect_pause(membership, now);
	membership->last_tick = now;
	mc_member_probe_tick(membership, now);
	mc_member_expire(membership, now);
	mc_member_candidate_tick(membership, now);
	mc_member_sync_tick(membership, now);
	mc_member_gossip_tick(membership, now);
	notify_change(membership);
	membership->next_tick = next_due(membership);
	if (membership->next_tick <= now)
		membership->next_tick = now + 1;
	return membership->next_tick;
}

bool mc_membership_is_fresh(const mc_membership_t *membership)
{
	return membership->fresh;
}

void mc_membership_leave(mc_membership_t *membership, mc_ms_t now)
{
	mc_member_record_t *self = mc_member_self(membership);

	if (self->member.state == MC_MEMBER_LEAVING)
		return;
	mc_member_set_state(membership, membership->self, MC_MEMBER_LEAVING,
			    now);
	mc_member_send_leave(membership);
	notify_change(membership);
}
