/*
 * The side that is heard. Hearers get a state when they come and with each
 * beat, and in between what the store said, in its order. What would take too
 * much of this instance's link is not passed on: hearers see by the state that
 * they lack something and ask the store for it.
 */
#include "relay_private.h"

#include <stdlib.h>

#include "frame.h"

enum {
	/* Bytes of changes that are passed on, to all hearers together: those
	 * that can be saved up, and those that are earned in a second. */
	BYTES_MAX = 320 << 10,
	BYTES_PER_S = 256 << 10,
	MS_PER_S = 1000,
};

static void send_state(mc_relay_t *news, const hearer_t *hearer)
{
	uint64_t revisions[MC_WIRE_RELAY_KINDS_MAX] = { 0 };
	mc_wire_message_t message = { .kind = MC_WIRE_RELAY_STATE };

	message.relay_state.watches_store =
		news->params.ops->get_revisions(news->params.ctx, revisions);
	message.relay_state.count = news->params.kind_count;
	message.relay_state.revisions = revisions;
	news_send(news, hearer->link, &message);
}

static void send_states(mc_relay_t *news)
{
	uint32_t cursor = 0;
	mc_handle_t handle;
	const hearer_t *hearer;

	while ((hearer = mc_table_next(news->hearers, &cursor, &handle)))
		if (hearer->known)
			send_state(news, hearer);
}

static void beat(mc_shard_t *shard, void *arg)
{
	mc_relay_t *news = arg;

	(void)shard;
	news->beat_timer = MC_HANDLE_NONE;
	send_states(news);
	if (mc_table_count(news->hearers))
		news_timer(news, NEWS_BEAT_MS, beat, &news->beat_timer);
}

/* Takes @bytes from the budget, if there are so many. */
static bool spend(mc_relay_t *news, size_t bytes)
{
	mc_ms_t now = mc_shard_now(news->params.shard);
	mc_ms_t full = (mc_ms_t)BYTES_MAX * MS_PER_S / BYTES_PER_S;
	mc_ms_t cost = (mc_ms_t)bytes * MS_PER_S / BYTES_PER_S;

	/* Time is saved up, of which each byte takes its part. */
	if (news->paid_until < now - full)
		news->paid_until = now - full;
	if (news->paid_until + cost > now)
		return false;
	news->paid_until += cost;
	return true;
}

void mc_relay_send_changes(mc_relay_t *news, uint32_t kind, uint64_t above,
			   const char *text)
{
	const mc_wire_message_t message = {
		.kind = MC_WIRE_RELAY_CHANGES,
		.relay_changes = { .record_kind = kind,
				   .after_revision = above,
				   .text = text },
	};
	uint32_t hearers = mc_table_count(news->hearers), cursor = 0;
	mc_handle_t handle;
	const hearer_t *hearer;
	char *data;
	size_t size;

	if (!hearers)
		return;
	if (frame_encode(&message, &data, &size)) {
		mc_log(mc_shard_log(news->params.shard), MC_LOG_ERROR, "news",
		       "changes are not passed on: %s",
		       mc_last_error_message());
		send_states(news);
		return;
	}
	if (spend(news, size * hearers)) {
		while ((hearer =
				mc_table_next(news->hearers, &cursor, &handle)))
			if (hearer->known)
				news_send_frame(news, hearer->link, data, size);
	} else {
		mc_log(mc_shard_log(news->params.shard), MC_LOG_DEBUG, "news",
		       "changes are not passed on kind=%u bytes=%zu hearers=%u",
		       kind, size, hearers);
		send_states(news);
	}
	free(data);
}

uint32_t mc_relay_subscriber_count(const mc_relay_t *news)
{
	return mc_table_count(news->hearers);
}

static void hearer_opened(void *ctx, mc_handle_t link)
{
	mc_relay_t *news = ctx;
	mc_handle_t handle;
	hearer_t *hearer;
	void *slot;

	if (mc_table_add(news->hearers, &handle, &slot)) {
		mc_log(mc_shard_log(news->params.shard), MC_LOG_WARNING, "news",
		       "hearer is refused: %s", mc_last_error_message());
		mc_link_close(news->params.shard, link);
		return;
	}
	hearer = slot;
	hearer->news = news;
	hearer->handle = handle;
	hearer->link = link;
}

static hearer_t *hearer_of(mc_relay_t *news, mc_handle_t link)
{
	uint32_t cursor = 0;
	mc_handle_t handle;
	hearer_t *hearer;

	while ((hearer = mc_table_next(news->hearers, &cursor, &handle)))
		if (mc_handle_equal(hearer->link, link))
			return hearer;
	return NULL;
}

static void hearer_frame(void *ctx, mc_handle_t link, const char *data,
			 size_t size)
{
	mc_relay_t *news = ctx;
	hearer_t *hearer = hearer_of(news, link);
	mc_wire_message_t *message;

	if (!hearer)
		return;
	if (frame_decode(data, size, &message) ||
	    message->kind != MC_WIRE_HELLO ||
	    message->hello.version != MC_WIRE_VERSION) {
		mc_log(mc_shard_log(news->params.shard), MC_LOG_WARNING, "news",
		       "hearer is refused: what it said is no greeting");
		mc_link_close(news->params.shard, link);
		mc_table_remove(news->hearers, hearer->handle);
		mc_wire_free(message);
		return;
	}
	mc_log(mc_shard_log(news->params.shard), MC_LOG_INFO, "news",
	       "an instance hears this one peer=%s", message->hello.address);
	mc_wire_free(message);
	hearer->known = true;
	send_state(news, hearer);
	if (!news->beat_timer.generation)
		news_timer(news, NEWS_BEAT_MS, beat, &news->beat_timer);
}

static void hearer_closed(void *ctx, mc_handle_t link, mc_err_t reason)
{
	mc_relay_t *news = ctx;
	hearer_t *hearer = hearer_of(news, link);

	(void)reason;
	if (hearer)
		mc_table_remove(news->hearers, hearer->handle);
}

mc_err_t tell_begin(mc_relay_t *news)
{
	static const mc_link_events_t events = {
		.opened = hearer_opened,
		.frame = hearer_frame,
		.closed = hearer_closed,
	};
	uint16_t port;

	news->hearers = mc_table_create(sizeof(hearer_t), HEARERS_MAX);
	if (!news->hearers)
		return mc_fail(MC_ERR_NO_MEMORY, "no memory for hearers");
	return mc_link_listen(news->params.shard, news->address, &events, news,
			      &port, &news->listener);
}

void tell_end(mc_relay_t *news)
{
	uint32_t cursor = 0;
	mc_handle_t handle;
	const hearer_t *hearer;

	mc_timer_cancel(news->params.shard, news->beat_timer);
	mc_link_stop_listening(news->params.shard, news->listener);
	while ((hearer = mc_table_next(news->hearers, &cursor, &handle)))
		mc_link_close(news->params.shard, hearer->link);
	mc_table_destroy(news->hearers);
}
