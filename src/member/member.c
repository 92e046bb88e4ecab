/*
 * A membership from outside: its making, the messages that arrive and the
 * passing of time. The parts are the index of members, the view, news, probes,
 * hints and syncs, each in a file of its own.
 */
#include "member_defs.h"

#include <stdlib.h>
#include <string.h>

static bool add_self(mc_membership_t *ms, mc_ms_t now)
{
	mc_member_node_t *node;
	void *record;

	if (mc_table_add(ms->members, &ms->self, &record))
		return false;
	node = record;
	node->member = ms->params.self;
	node->member.key = mc_hash_string(node->member.address);
	node->member.state = MC_MEMBER_ALIVE;
	node->member.state_since = now;
	ms->usable = 1;
	mc_member_index_add(ms, node->member.key, ms->self);
	mc_member_news_add(ms, ms->self);
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
	ms->members = mc_table_create(sizeof(mc_member_node_t), MC_MEMBERS_MAX);
	ms->probes = mc_table_create(sizeof(mc_member_probe_t),
				     MC_MEMBER_PROBES_MAX);
	if (!ms->members || !ms->probes || !add_self(ms, now)) {
		mc_membership_destroy(ms);
		return NULL;
	}
	ms->last_tick = now;
	ms->due = now;
	ms->next_probe = now;
	ms->next_dead_probe = now;
	ms->next_gossip = now;
	mc_member_refresh(ms, now);
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
 * Time between a due tick and now was a pause of this process: its own time
 * stands still for it. After a long one others may have found it dead and the
 * view is old; news from before is not passed on any more.
 */
static void notice_pause(mc_membership_t *ms, mc_ms_t now)
{
	if (now > ms->due + ms->params.probe_timeout) {
		ms->skipped += now - ms->due;
		ms->due = now;
	}
	if (now - ms->last_tick <= ms->params.suspect_time)
		return;
	ms->last_tick = now;
	ms->stale = true;
	mc_member_news_clear(ms);
	mc_member_refresh(ms, now);
}

static void report_change(mc_membership_t *ms)
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
		mc_member_probe_ping(ms, message);
		break;
	case MC_MEMBER_ACK:
		mc_member_probe_ack(ms, message);
		break;
	case MC_MEMBER_PING_REQ:
		mc_member_probe_req(ms, message, now);
		break;
	case MC_MEMBER_SYNC_REQ:
		mc_member_sync_req(ms, message);
		break;
	case MC_MEMBER_SYNC:
		mc_member_sync_answer(ms, message);
		break;
	}
}

/* Whether the sender's address is whole and not the own one. */
static bool check_message(const mc_membership_t *ms,
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

	if (!check_message(membership, message))
		return;
	notice_pause(membership, now);
	mc_member_apply(membership, &message->from, now);
	membership->syncing = mc_member_sync_awaited(membership, message);
	for (i = 0; i < message->update_count; i++)
		mc_member_apply(membership, &message->updates[i], now);
	membership->syncing = false;
	dispatch(membership, message, now);
	report_change(membership);
}

static mc_ms_t earlier(mc_ms_t a, mc_ms_t b)
{
	return a < b ? a : b;
}

static mc_ms_t next_due(const mc_membership_t *ms)
{
	mc_ms_t due = mc_member_probe_due(ms);

	due = earlier(due, mc_member_suspect_due(ms));
	due = earlier(due, mc_member_gossip_due(ms));
	due = earlier(due, mc_member_hint_due(ms));
	due = earlier(due, ms->next_sync);
	if (!ms->fresh)
		due = earlier(due, ms->fresh_deadline);
	return due + ms->skipped;
}

mc_ms_t mc_membership_tick(mc_membership_t *membership, mc_ms_t now)
{
	notice_pause(membership, now);
	membership->last_tick = now;
	mc_member_probe_tick(membership, now);
	mc_member_expire(membership, now);
	mc_member_hint_tick(membership, now);
	mc_member_sync_tick(membership, now);
	mc_member_gossip(membership, now);
	report_change(membership);
	membership->due = next_due(membership);
	if (membership->due <= now)
		membership->due = now + 1;
	return membership->due;
}

bool mc_membership_is_fresh(const mc_membership_t *membership)
{
	return membership->fresh;
}

void mc_membership_leave(mc_membership_t *membership, mc_ms_t now)
{
	mc_member_node_t *self = mc_member_self(membership);

	if (self->member.state == MC_MEMBER_LEAVING)
		return;
	mc_member_set_state(membership, membership->self, MC_MEMBER_LEAVING,
			    now);
	mc_member_announce(membership);
	report_change(membership);
}
