/*
 * Life cycle of a relay, the rank of peers, and functions shared by the
 * upstream side and the subscriber side.
 */
#include "relay_private.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "frame.h"

void relay_send(mc_relay_t *relay, mc_handle_t link,
		const mc_wire_message_t *message)
{
	char *data;
	size_t size;

	if (frame_encode(message, &data, &size)) {
		mc_log(mc_shard_log(relay->params.shard), MC_LOG_ERROR, "news",
		       "message not sent: %s", mc_last_error_message());
		return;
	}
	relay_send_frame(relay, link, data, size);
	free(data);
}

void relay_send_frame(mc_relay_t *relay, mc_handle_t link, const char *data,
		      size_t size)
{
	if (!mc_link_send(relay->params.shard, link, data, size))
		mc_counter_add(mc_shard_counters(relay->params.shard),
			       MC_COUNTER_CONTROL_BYTES, size);
}

void relay_set_timer(mc_relay_t *relay, mc_ms_t delay, mc_timer_fn_t fire,
		     mc_handle_t *timer)
{
	mc_shard_t *shard = relay->params.shard;

	mc_timer_cancel(shard, *timer);
	if (mc_timer_set(shard, mc_shard_now(shard) + delay, fire, relay,
			 timer))
		mc_log(mc_shard_log(shard), MC_LOG_ERROR, "news",
		       "timer not set: %s", mc_last_error_message());
}

static int compare_peers(const void *a, const void *b)
{
	const mc_relay_peer_t *first = a, *second = b;
	uint64_t x = mc_hash_string(first->name);
	uint64_t y = mc_hash_string(second->name);

	if (x != y)
		return x < y ? -1 : 1;
	return strcmp(first->name, second->name);
}

uint32_t mc_relay_rank_peers(const char *name, mc_relay_peer_t *peers,
			     uint32_t count)
{
	mc_relay_peer_t self = { 0 };
	uint32_t before = 0;

	snprintf(self.name, sizeof(self.name), "%s", name);
	qsort(peers, count, sizeof(*peers), compare_peers);
	while (before < count && compare_peers(&peers[before], &self) < 0)
		before++;
	return before;
}

mc_relay_t *mc_relay_create(const mc_relay_params_t *params)
{
	mc_relay_t *relay = calloc(1, sizeof(*relay));

	if (!relay) {
		mc_fail(MC_ERR_NO_MEMORY, "no memory for a relay");
		return NULL;
	}
	relay->params = *params;
	snprintf(relay->name, sizeof(relay->name), "%s", params->instance_name);
	snprintf(relay->address, sizeof(relay->address), "%s",
		 params->listen_address);
	if (evidence_init(relay) || subscribers_init(relay)) {
		evidence_destroy(relay);
		mc_table_destroy(relay->subscribers);
		free(relay);
		return NULL;
	}
	return relay;
}

void mc_relay_destroy(mc_relay_t *relay)
{
	if (!relay)
		return;
	evidence_destroy(relay);
	upstream_close(relay);
	subscribers_destroy(relay);
	free(relay);
}

void mc_relay_set_era(mc_relay_t *relay, uint64_t era)
{
	relay->era = era;
}

void mc_relay_set_peers(mc_relay_t *relay, const mc_relay_peer_t *peers,
			uint32_t count)
{
	upstream_set_peers(relay, peers, count);
}
