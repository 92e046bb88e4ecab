/*
 * What both sides of the news share, and who goes before whom.
 */
#include "relay_private.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "frame.h"

void news_send(mc_relay_t *news, mc_handle_t link,
	       const mc_wire_message_t *message)
{
	char *data;
	size_t size;

	if (frame_encode(message, &data, &size)) {
		mc_log(mc_shard_log(news->params.shard), MC_LOG_ERROR, "news",
		       "news are not sent: %s", mc_last_error_message());
		return;
	}
	news_send_frame(news, link, data, size);
	free(data);
}

void news_send_frame(mc_relay_t *news, mc_handle_t link, const char *data,
		     size_t size)
{
	if (!mc_link_send(news->params.shard, link, data, size))
		mc_counter_add(mc_shard_counters(news->params.shard),
			       MC_COUNTER_CONTROL_BYTES, size);
}

void news_timer(mc_relay_t *news, mc_ms_t delay, mc_timer_fn_t fire,
		mc_handle_t *timer)
{
	mc_shard_t *shard = news->params.shard;

	mc_timer_cancel(shard, *timer);
	if (mc_timer_set(shard, mc_shard_now(shard) + delay, fire, news, timer))
		mc_log(mc_shard_log(shard), MC_LOG_ERROR, "news",
		       "no timer: %s", mc_last_error_message());
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
	mc_relay_t *news = calloc(1, sizeof(*news));

	if (!news) {
		mc_fail(MC_ERR_NO_MEMORY, "no memory for news");
		return NULL;
	}
	news->params = *params;
	news->fresh_since = MC_MS_NEVER;
	snprintf(news->name, sizeof(news->name), "%s", params->instance_name);
	snprintf(news->address, sizeof(news->address), "%s",
		 params->listen_address);
	if (tell_begin(news)) {
		mc_table_destroy(news->hearers);
		free(news);
		return NULL;
	}
	return news;
}

void mc_relay_destroy(mc_relay_t *news)
{
	if (!news)
		return;
	hear_end(news);
	tell_end(news);
	free(news);
}

void mc_relay_set_peers(mc_relay_t *news, const mc_relay_peer_t *peers,
			uint32_t count)
{
	hear_peers(news, peers, count);
}
