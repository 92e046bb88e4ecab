/*
 * Links from this process to its peers. A link is opened when there is a
 * message to send and closed when it is idle. Peers respond over their own
 * links, so each link carries messages in one direction only.
 */
#include "node_private.h"

#include <stdlib.h>
#include <string.h>

enum {
	LINK_IDLE_MS = 30000,
	CANDIDATES_MAX = MC_MEMBERS_MAX,
};

typedef struct {
	mc_node_t *node;
	char address[MC_ADDRESS_SIZE];
	mc_handle_t link;
	mc_ms_t last_used;
} peer_link_t;

static void remove_link(mc_node_t *node, peer_link_t *peer)
{
	apr_hash_set(node->links, peer->address, APR_HASH_KEY_STRING, NULL);
	free(peer);
}

static void on_opened(void *ctx, mc_handle_t link)
{
	(void)ctx;
	(void)link;
}

static void on_frame(void *ctx, mc_handle_t link, const char *data, size_t size)
{
	(void)ctx;
	(void)link;
	(void)data;
	(void)size;
}

static void on_closed(void *ctx, mc_handle_t link, mc_err_t reason)
{
	peer_link_t *peer = ctx;

	(void)link;
	(void)reason;
	remove_link(peer->node, peer);
}

static const mc_link_events_t peer_events = {
	.opened = on_opened,
	.frame = on_frame,
	.closed = on_closed,
};

static peer_link_t *open_link(mc_node_t *node, const char *address)
{
	peer_link_t *peer = calloc(1, sizeof(*peer));

	if (!peer)
		return NULL;
	peer->node = node;
	strncpy(peer->address, address, sizeof(peer->address) - 1);
	if (mc_link_connect(node->shard, address, &peer_events, peer,
			    &peer->link)) {
		free(peer);
		return NULL;
	}
	apr_hash_set(node->links, peer->address, APR_HASH_KEY_STRING, peer);
	return peer;
}

static void send_bytes(mc_node_t *node, const char *address, const char *data,
		       size_t size)
{
	peer_link_t *peer =
		apr_hash_get(node->links, address, APR_HASH_KEY_STRING);

	if (!peer)
		peer = open_link(node, address);
	if (!peer)
		return;
	peer->last_used = mc_shard_now(node->shard);
	if (!mc_link_send(node->shard, peer->link, data, size))
		mc_counter_add(mc_shard_counters(node->shard),
			       MC_COUNTER_CONTROL_BYTES, size);
}

void node_send(mc_node_t *node, const char *address,
	       const mc_wire_message_t *message)
{
	char *data;
	size_t size;

	if (mc_wire_encode(message, &data, &size))
		return;
	send_bytes(node, address, data, size);
	free(data);
}

static bool is_eligible(const mc_node_t *node, const node_peer_filter_t *peers,
			const mc_member_t *member)
{
	if (!mc_member_is_usable(member) ||
	    !strcmp(member->address, node->address))
		return false;
	if (peers->fronts_only && member->is_gather)
		return false;
	return !peers->same_data_center ||
	       !strcmp(member->data_center, node->params.settings->data_center);
}

void node_send_to_random_peers(mc_node_t *node, const node_peer_filter_t *peers,
			       const mc_wire_message_t *message)
{
	const mc_member_t *candidates[CANDIDATES_MAX];
	mc_random_t *random = mc_shard_random(node->shard);
	const mc_member_t *member;
	uint32_t cursor = 0;
	uint32_t count = 0;
	uint32_t i;
	char *data;
	size_t size;

	while ((member = mc_membership_next(node->membership, &cursor)))
		if (count < CANDIDATES_MAX && is_eligible(node, peers, member))
			candidates[count++] = member;
	if (!count || mc_wire_encode(message, &data, &size))
		return;
	for (i = 0; i < peers->count && i < count; i++) {
		uint32_t at = i + mc_random_below(random, count - i);
		const mc_member_t *selected = candidates[at];

		candidates[at] = candidates[i];
		candidates[i] = selected;
		send_bytes(node, selected->address, data, size);
	}
	free(data);
}

static void close_links(mc_node_t *node, mc_ms_t used_before)
{
	apr_hash_index_t *index;
	peer_link_t *peer;

	for (index = apr_hash_first(NULL, node->links); index;
	     index = apr_hash_next(index)) {
		peer = apr_hash_this_val(index);
		if (peer->last_used >= used_before)
			continue;
		mc_link_close(node->shard, peer->link);
		remove_link(node, peer);
	}
}

void node_close_idle_links(mc_node_t *node)
{
	close_links(node, mc_shard_now(node->shard) - LINK_IDLE_MS);
}

void node_close_all_links(mc_node_t *node)
{
	close_links(node, MC_MS_NEVER);
}
