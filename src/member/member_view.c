/*
 * The view: the known state of each member, and how updates change it.
 *
 * An update with a higher incarnation overrides the known state, and at the
 * same incarnation the larger state overrides. Only a member itself increases
 * its incarnation, to refute a suspicion. An update that says that a member is
 * dead is not trusted: after a partition, both groups would mark each other's
 * members as dead when they merge. It only makes this process probe the member
 * next.
 */
#include "member_defs.h"

#include <string.h>

enum {
	/* A dead member is probed rarely for this time and then removed, ms. */
	REMOVE_DEAD_MS = 4 * 60 * 60 * 1000,
};

mc_member_record_t *mc_member_get(const mc_membership_t *ms, mc_handle_t handle)
{
	return mc_table_get(ms->members, handle);
}

mc_member_record_t *mc_member_self(const mc_membership_t *ms)
{
	return mc_member_get(ms, ms->self);
}

bool mc_member_is_usable(const mc_member_t *member)
{
	return member->state == MC_MEMBER_ALIVE ||
	       member->state == MC_MEMBER_SUSPECT;
}

static void count_state(mc_membership_t *ms, const mc_member_t *member,
			uint32_t amount)
{
	if (mc_member_is_usable(member))
		ms->usable_count += amount;
	if (member->state == MC_MEMBER_SUSPECT)
		ms->suspect_count += amount;
}

void mc_member_set_state(mc_membership_t *ms, mc_handle_t handle,
			 mc_member_state_t state, mc_ms_t now)
{
	mc_member_record_t *record = mc_member_get(ms, handle);
	bool usable = mc_member_is_usable(&record->member);

	count_state(ms, &record->member, -1U);
	if (record->member.state != state)
		record->member.state_since = now;
	record->member.state = state;
	count_state(ms, &record->member, 1);
	if (state == MC_MEMBER_SUSPECT)
		record->suspect_until =
			now - ms->paused_time + ms->params.suspect_time;
	if (usable != mc_member_is_usable(&record->member)) {
		record->dead_since = now - ms->paused_time;
		ms->changed = true;
	}
	mc_member_gossip_add(ms, handle);
}

/* Refutes an update about this process, unless it is leaving. */
static void refute(mc_membership_t *ms, const mc_member_t *update)
{
	mc_member_t *self = &mc_member_self(ms)->member;
	bool suspected = update->state != MC_MEMBER_ALIVE &&
			 update->incarnation >= self->incarnation;

	if (self->state == MC_MEMBER_LEAVING)
		return;
	if (!suspected && update->incarnation <= self->incarnation)
		return;
	self->incarnation = update->incarnation + 1;
	mc_member_gossip_add(ms, ms->self);
}

static void remove_member(mc_membership_t *ms, mc_handle_t handle)
{
	mc_member_record_t *record = mc_member_get(ms, handle);

	count_state(ms, &record->member, -1U);
	mc_member_index_remove(ms, record->member.key);
	mc_table_remove(ms->members, handle);
}

/*
 * Makes room by removing the member that has been dead or leaving the longest.
 */
static void remove_oldest_dead(mc_membership_t *ms)
{
	mc_handle_t handle, oldest = MC_HANDLE_NONE;
	mc_ms_t since = MC_MS_NEVER;
	mc_member_record_t *record;
	uint32_t cursor = 0, remaining = mc_table_count(ms->members);

	while (remaining-- &&
	       (record = mc_table_next(ms->members, &cursor, &handle))) {
		if (mc_member_is_usable(&record->member) ||
		    mc_handle_equal(handle, ms->self) ||
		    record->dead_since >= since)
			continue;
		since = record->dead_since;
		oldest = handle;
	}
	if (oldest.generation)
		remove_member(ms, oldest);
}

static void add_member(mc_membership_t *ms, const mc_member_t *update,
		       mc_ms_t now)
{
	mc_handle_t handle;
	mc_member_record_t *record;
	void *entry;

	if (!mc_member_is_usable(update))
		return;
	if (mc_table_count(ms->members) == MC_MEMBERS_MAX)
		remove_oldest_dead(ms);
	if (mc_table_add(ms->members, &handle, &entry))
		return;
	record = entry;
	record->member = *update;
	record->member.state_since = now;
	record->member.state = MC_MEMBER_DEAD;
	mc_member_index_add(ms, update->key, handle);
	mc_member_order_add(ms, handle);
	mc_member_set_state(ms, handle, update->state, now);
}

static bool overrides(const mc_member_t *update, const mc_member_t *known)
{
	if (update->incarnation != known->incarnation)
		return update->incarnation > known->incarnation;
	return update->state > known->state;
}

static void update_member(mc_membership_t *ms, mc_handle_t handle,
			  const mc_member_t *update, mc_ms_t now)
{
	mc_member_t *known = &mc_member_get(ms, handle)->member;

	if (!overrides(update, known))
		return;
	if (update->state == MC_MEMBER_DEAD && mc_member_is_usable(known)) {
		mc_member_prioritize_probe(ms, handle);
		return;
	}
	if (known->state == MC_MEMBER_DEAD && mc_member_is_usable(update))
		mc_member_schedule_sync(ms, now);
	known->incarnation = update->incarnation;
	known->is_gather = update->is_gather;
	memcpy(known->data_center, update->data_center,
	       sizeof(known->data_center));
	mc_member_set_state(ms, handle, update->state, now);
}

/*
 * Rejects an update that no peer of this version sends. The key is computed
 * here, as the hash of the address.
 */
static bool is_valid_update(mc_member_t *update)
{
	update->address[MC_MEMBER_ADDRESS_SIZE - 1] = '\0';
	update->data_center[MC_MEMBER_NAME_SIZE - 1] = '\0';
	update->key = mc_hash_string(update->address);
	return update->address[0] && (int)update->state >= MC_MEMBER_ALIVE &&
	       update->state <= MC_MEMBER_DEAD &&
	       update->incarnation < UINT64_MAX;
}

void mc_member_apply(mc_membership_t *ms, const mc_member_t *received,
		     mc_ms_t now)
{
	mc_member_t update = *received;
	mc_handle_t handle;

	if (!is_valid_update(&update))
		return;
	if (update.key == mc_member_self(ms)->member.key)
		refute(ms, &update);
	else if (mc_member_find(ms, update.key, &handle))
		update_member(ms, handle, &update, now);
	else
		add_member(ms, &update, now);
}

void mc_member_suspect(mc_membership_t *ms, uint64_t key, mc_ms_t now)
{
	mc_handle_t handle;
	mc_member_record_t *record = mc_member_find(ms, key, &handle);

	if (record && record->member.state == MC_MEMBER_ALIVE)
		mc_member_set_state(ms, handle, MC_MEMBER_SUSPECT, now);
}

void mc_member_expire(mc_membership_t *ms, mc_ms_t now)
{
	mc_ms_t active_now = now - ms->paused_time;
	mc_member_record_t *record;
	mc_handle_t handle;
	uint32_t cursor = 0, remaining = mc_table_count(ms->members);

	if (!ms->suspect_count && active_now < ms->next_removal)
		return;
	ms->next_removal = active_now + ms->params.probe_interval;
	while (remaining-- &&
	       (record = mc_table_next(ms->members, &cursor, &handle))) {
		if (record->member.state == MC_MEMBER_SUSPECT &&
		    record->suspect_until <= active_now)
			mc_member_set_state(ms, handle, MC_MEMBER_DEAD, now);
		else if (!mc_member_is_usable(&record->member) &&
			 !mc_handle_equal(handle, ms->self) &&
			 active_now - record->dead_since > REMOVE_DEAD_MS)
			remove_member(ms, handle);
	}
}

mc_ms_t mc_member_suspect_due(const mc_membership_t *ms)
{
	const mc_member_record_t *record;
	mc_ms_t due = MC_MS_NEVER;
	mc_handle_t handle;
	uint32_t cursor = 0, remaining = mc_table_count(ms->members);

	if (!ms->suspect_count)
		return due;
	while (remaining-- &&
	       (record = mc_table_next(ms->members, &cursor, &handle)))
		if (record->member.state == MC_MEMBER_SUSPECT &&
		    record->suspect_until < due)
			due = record->suspect_until;
	return due;
}

const mc_member_t *mc_membership_next(const mc_membership_t *membership,
				      uint32_t *cursor)
{
	mc_handle_t handle;
	mc_member_record_t *record =
		mc_table_next(membership->members, cursor, &handle);

	return record ? &record->member : NULL;
}

static uint64_t watcher_weight(const mc_member_t *member)
{
	return mc_hash_pair(mc_hash_string(member->data_center), member->key);
}

bool mc_membership_is_watcher(const mc_membership_t *membership,
			      uint32_t watchers)
{
	const mc_member_t *self = &mc_member_self(membership)->member;
	uint64_t weight = watcher_weight(self);
	const mc_member_t *member;
	uint32_t before = 0, cursor = 0;

	if (!mc_member_is_usable(self))
		return false;
	while ((member = mc_membership_next(membership, &cursor)))
		if (mc_member_is_usable(member) &&
		    !strcmp(member->data_center, self->data_center) &&
		    watcher_weight(member) > weight)
			before++;
	return before < watchers;
}
