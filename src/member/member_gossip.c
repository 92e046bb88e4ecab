/*
 * News on members and the messages that carry it. Each piece of news goes out
 * a bounded number of times, on probes and answers and, while there is any, in
 * messages of its own to random peers.
 */
#include "member_defs.h"

#include <string.h>

enum {
	/* A piece of news goes out this many times log2 of the members. */
	SENDS_FACTOR = 3,
	/* What a whole list brought is known to others: it goes out less. */
	SYNC_SENDS = 3,
	/* Most updates on a probe or an answer, so that these stay small. */
	PROBE_UPDATES_MAX = 6,
	/* Messages of news per probe interval while there is any. */
	GOSSIP_PER_PROBE = 2,
	/* Peers that a leaving process tells itself. */
	ANNOUNCE_PEERS = 32,
	/* Tries to find a random usable peer. */
	RANDOM_TRIES = 16,
};

static uint32_t sends_per_news(const mc_membership_t *ms)
{
	uint32_t members = mc_table_count(ms->members);
	uint32_t bits = 1;

	if (ms->syncing)
		return SYNC_SENDS;
	while (members >>= 1)
		bits++;
	return SENDS_FACTOR * bits;
}

/* New news goes first, before what was already sent. */
static void enqueue_next(mc_membership_t *ms, mc_handle_t handle)
{
	if (ms->news_next >= ms->news_count)
		ms->news_next = 0;
	ms->news[ms->news_count++] = ms->news[ms->news_next];
	ms->news[ms->news_next] = handle;
}

void mc_member_news_add(mc_membership_t *ms, mc_handle_t handle)
{
	mc_member_node_t *node = mc_member_node(ms, handle);
	bool queued = node->sends_left > 0;
	uint32_t sends = sends_per_news(ms);

	if (!queued && ms->news_count == MC_MEMBERS_MAX)
		return;
	if (node->sends_left < sends)
		node->sends_left = sends;
	if (!queued)
		enqueue_next(ms, handle);
}

void mc_member_news_clear(mc_membership_t *ms)
{
	mc_member_node_t *node;
	uint32_t i;

	for (i = 0; i < ms->news_count; i++) {
		node = mc_member_node(ms, ms->news[i]);
		if (node)
			node->sends_left = 0;
	}
	ms->news_count = 0;
	mc_member_news_add(ms, ms->self);
}

/* Take the next piece of news in turn; NULL when there is none. */
static const mc_member_t *take_news(mc_membership_t *ms)
{
	mc_member_node_t *node;

	while (ms->news_count) {
		if (ms->news_next >= ms->news_count)
			ms->news_next = 0;
		node = mc_member_node(ms, ms->news[ms->news_next]);
		if (node && node->sends_left) {
			node->sends_left--;
			ms->news_next++;
			return &node->member;
		}
		ms->news[ms->news_next] = ms->news[--ms->news_count];
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
	const mc_member_node_t *node = mc_member_find(ms, receiver, NULL);

	message->kind = kind;
	message->sequence = sequence;
	message->subject = 0;
	message->from = mc_member_self(ms)->member;
	message->update_count = 0;
	if (node && node->member.state != MC_MEMBER_ALIVE)
		mc_member_message_add(message, &node->member);
}

void mc_member_message_send(mc_membership_t *ms, mc_member_message_t *message,
			    const char *address)
{
	uint32_t max = message->kind == MC_MEMBER_SYNC ? MC_MEMBER_UPDATES_MAX
						       : PROBE_UPDATES_MAX;
	uint32_t turns = ms->news_count;
	const mc_member_t *news;

	while (message->update_count < max && turns--) {
		news = take_news(ms);
		if (!news)
			break;
		mc_member_message_add(message, news);
	}
	ms->params.send(ms->params.ctx, address, message);
}

mc_member_node_t *mc_member_random_peer(mc_membership_t *ms, uint64_t except)
{
	mc_member_node_t *node;
	uint32_t i, at;

	for (i = 0; i < RANDOM_TRIES && ms->order_count; i++) {
		at = mc_random_below(&ms->random, ms->order_count);
		node = mc_member_node(ms, ms->order[at]);
		if (node && node->member.key != except &&
		    mc_member_is_usable(&node->member))
			return node;
	}
	return NULL;
}

static void send_news(mc_membership_t *ms)
{
	mc_member_node_t *peer = mc_member_random_peer(ms, 0);
	mc_member_message_t message;

	if (!peer)
		return;
	mc_member_message_start(ms, &message, MC_MEMBER_SYNC, 0,
				peer->member.key);
	mc_member_message_send(ms, &message, peer->member.address);
}

void mc_member_gossip(mc_membership_t *ms, mc_ms_t now)
{
	mc_ms_t own = now - ms->skipped;

	if (!ms->news_count || own < ms->next_gossip)
		return;
	ms->next_gossip = own + ms->params.probe_interval / GOSSIP_PER_PROBE;
	send_news(ms);
}

mc_ms_t mc_member_gossip_due(const mc_membership_t *ms)
{
	return ms->news_count ? ms->next_gossip : MC_MS_NEVER;
}

/* With few peers each one is told; with many, a random part of them. */
void mc_member_announce(mc_membership_t *ms)
{
	uint32_t told = ms->order_count < ANNOUNCE_PEERS ? ms->order_count
							 : ANNOUNCE_PEERS;
	uint32_t first = mc_random_below(&ms->random, ms->order_count);
	mc_member_message_t message;
	mc_member_node_t *node;
	uint32_t i;

	for (i = 0; i < told; i++) {
		node = mc_member_node(ms,
				      ms->order[(first + i) % ms->order_count]);
		if (!node || !mc_member_is_usable(&node->member))
			continue;
		mc_member_message_start(ms, &message, MC_MEMBER_SYNC, 0,
					node->member.key);
		ms->params.send(ms->params.ctx, node->member.address, &message);
	}
}
