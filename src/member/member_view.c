/*
 * The view: what is known of each member, and how news changes it.
 *
 * A higher incarnation overrides, and at the same incarnation the larger
 * state. Only a member itself raises its incarnation, to clear itself. That
 * somebody else found a member dead is no proof here: groups that were cut
 * off from each other would kill each other's members when they meet. Such
 * news only makes this process probe the member next.
 */
#include "member_defs.h"

#include <string.h>

enum {
	/* A dead member is probed rarely for so long, then forgotten. */
	FORGET_MS = 4 * 60 * 60 * 1000,
};

mc_member_node_t *mc_member_node(const mc_membership_t *ms, mc_handle_t handle)
{
	return mc_table_get(ms->members, handle);
}

mc_member_node_t *mc_member_self(const mc_membership_t *ms)
{
	return mc_member_node(ms, ms->self);
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
		ms->usable += amount;
	if (member->state == MC_MEMBER_SUSPECT)
		ms->suspects += amount;
}

void mc_member_set_state(mc_membership_t *ms, mc_handle_t handle,
			 mc_member_state_t state, mc_ms_t now)
{
	mc_member_node_t *node = mc_member_node(ms, handle);
	bool usable = mc_member_is_usable(&node->member);

	count_state(ms, &node->member, -1U);
	if (node->member.state != state)
		node->member.state_since = now;
	node->member.state = state;
	count_state(ms, &node->member, 1);
	if (state == MC_MEMBER_SUSPECT)
		node->suspect_until =
			now - ms->skipped + ms->params.suspect_time;
	if (usable != mc_member_is_usable(&node->member)) {
		node->dead_since = now - ms->skipped;
		ms->changed = true;
	}
	mc_member_news_add(ms, handle);
}

/* The news is about this process: clear itself unless it is leaving. */
static void refute(mc_membership_t *ms, const mc_member_t *news)
{
	mc_member_t *self = &mc_member_self(ms)->member;
	bool accused = news->state != MC_MEMBER_ALIVE &&
		       news->incarnation >= self->incarnation;

	if (self->state == MC_MEMBER_LEAVING)
		return;
	if (!accused && news->incarnation <= self->incarnation)
		return;
	self->incarnation = news->incarnation + 1;
	mc_member_news_add(ms, ms->self);
}

static void remove_member(mc_membership_t *ms, mc_handle_t handle)
{
	mc_member_node_t *node = mc_member_node(ms, handle);

	count_state(ms, &node->member, -1U);
	mc_member_index_remove(ms, node->member.key);
	mc_table_remove(ms->members, handle);
}

/* Make room by forgetting the member that was found dead first. */
static void forget_oldest(mc_membership_t *ms)
{
	mc_handle_t handle, oldest = MC_HANDLE_NONE;
	mc_ms_t since = MC_MS_NEVER;
	mc_member_node_t *node;
	uint32_t cursor = 0, left = mc_table_count(ms->members);

	while (left-- &&
	       (node = mc_table_next(ms->members, &cursor, &handle))) {
		if (mc_member_is_usable(&node->member) ||
		    mc_handle_equal(handle, ms->self) ||
		    node->dead_since >= since)
			continue;
		since = node->dead_since;
		oldest = handle;
	}
	if (oldest.generation)
		remove_member(ms, oldest);
}

static void add_member(mc_membership_t *ms, const mc_member_t *news,
		       mc_ms_t now)
{
	mc_handle_t handle;
	mc_member_node_t *node;
	void *record;

	if (!mc_member_is_usable(news))
		return;
	if (mc_table_count(ms->members) == MC_MEMBERS_MAX)
		forget_oldest(ms);
	if (mc_table_add(ms->members, &handle, &record))
		return;
	node = record;
	node->member = *news;
	node->member.state_since = now;
	node->member.state = MC_MEMBER_DEAD;
	mc_member_index_add(ms, news->key, handle);
	mc_member_order_add(ms, handle);
	mc_member_set_state(ms, handle, news->state, now);
}

static bool overrides(const mc_member_t *news, const mc_member_t *known)
{
	if (news->incarnation != known->incarnation)
		return news->incarnation > known->incarnation;
	return news->state > known->state;
}

static void update_member(mc_membership_t *ms, mc_handle_t handle,
			  const mc_member_t *news, mc_ms_t now)
{
	mc_member_t *known = &mc_member_node(ms, handle)->member;

	if (!overrides(news, known))
		return;
	if (news->state == MC_MEMBER_DEAD && mc_member_is_usable(known)) {
		mc_member_probe_soon(ms, handle);
		return;
	}
	if (known->state == MC_MEMBER_DEAD && mc_member_is_usable(news))
		mc_member_sync_soon(ms, now);
	known->incarnation = news->incarnation;
	known->is_gather = news->is_gather;
	memcpy(known->data_center, news->data_center,
	       sizeof(known->data_center));
	mc_member_set_state(ms, handle, news->state, now);
}

/* Reject what no peer of this version sends; the key is the address's hash. */
static bool check_news(mc_member_t *news)
{
	news->address[MC_MEMBER_ADDRESS_SIZE - 1] = '\0';
	news->data_center[MC_MEMBER_NAME_SIZE - 1] = '\0';
	news->key = mc_hash_string(news->address);
	return news->address[0] && (int)news->state >= MC_MEMBER_ALIVE &&
	       news->state <= MC_MEMBER_DEAD && news->incarnation < UINT64_MAX;
}

void mc_member_apply(mc_membership_t *ms, const mc_member_t *said, mc_ms_t now)
{
	mc_member_t news = *said;
	mc_handle_t handle;

	if (!check_news(&news))
		return;
	if (news.key == mc_member_self(ms)->member.key)
		refute(ms, &news);
	else if (mc_member_find(ms, news.key, &handle))
		update_member(ms, handle, &news, now);
	else
		add_member(ms, &news, now);
}

void mc_member_suspect(mc_membership_t *ms, uint64_t key, mc_ms_t now)
{
	mc_handle_t handle;
	mc_member_node_t *node = mc_member_find(ms, key, &handle);

	if (node && node->member.state == MC_MEMBER_ALIVE)
		mc_member_set_state(ms, handle, MC_MEMBER_SUSPECT, now);
}

void mc_member_expire(mc_membership_t *ms, mc_ms_t now)
{
	mc_ms_t own = now - ms->skipped;
	mc_member_node_t *node;
	mc_handle_t handle;
	uint32_t cursor = 0, left = mc_table_count(ms->members);

	if (!ms->suspects && own < ms->next_forget)
		return;
	ms->next_forget = own + ms->params.probe_interval;
	while (left-- &&
	       (node = mc_table_next(ms->members, &cursor, &handle))) {
		if (node->member.state == MC_MEMBER_SUSPECT &&
		    node->suspect_until <= own)
			mc_member_set_state(ms, handle, MC_MEMBER_DEAD, now);
		else if (!mc_member_is_usable(&node->member) &&
			 !mc_handle_equal(handle, ms->self) &&
			 own - node->dead_since > FORGET_MS)
			remove_member(ms, handle);
	}
}

mc_ms_t mc_member_suspect_due(const mc_membership_t *ms)
{
	const mc_member_node_t *node;
	mc_ms_t due = MC_MS_NEVER;
	mc_handle_t handle;
	uint32_t cursor = 0, left = mc_table_count(ms->members);

	if (!ms->suspects)
		return due;
	while (left-- && (node = mc_table_next(ms->members, &cursor, &handle)))
		if (node->member.state == MC_MEMBER_SUSPECT &&
		    node->suspect_until < due)
			due = node->suspect_until;
	return due;
}

const mc_member_t *mc_membership_next(const mc_membership_t *membership,
				      uint32_t *cursor)
{
	mc_handle_t handle;
	mc_member_node_t *node =
		mc_table_next(membership->members, cursor, &handle);

	return node ? &node->member : NULL;
}

static uint64_t watch_weight(const mc_member_t *member)
{
	return mc_hash_pair(mc_hash_string(member->data_center), member->key);
}

bool mc_membership_is_watcher(const mc_membership_t *membership,
			      uint32_t watchers)
{
	const mc_member_t *self = &mc_member_self(membership)->member;
	uint64_t weight = watch_weight(self);
	const mc_member_t *member;
	uint32_t before = 0, cursor = 0;

	if (!mc_member_is_usable(self))
		return false;
	while ((member = mc_membership_next(membership, &cursor)))
		if (mc_member_is_usable(member) &&
		    !strcmp(member->data_center, self->data_center) &&
		    watch_weight(member) > weight)
			before++;
	return before < watchers;
}
