/*
 * The side that hears. It tries those that go before it, the first first, and
 * stays with one while that hears the store; one that is silent, gone or deaf
 * is left alone for a while. Who is heard is relied on once it has been fresh
 * for some time.
 */
#include "relay_private.h"

#include <stdio.h>
#include <string.h>

#include "frame.h"

enum {
	CHECK_MS = 250,
	/* A link that is not made, or whose other side says nothing, ms. */
	CONNECT_MS = 600,
	SILENT_MS = 1300,
	/* It is relied on after so long, and left after being deaf so long. */
	SETTLE_MS = 1000,
	DEAF_MS = 2000,
	/* One that was left is not tried again for so long, ms. */
	AVOID_MS = 5000,
};

static void note_heard(mc_relay_t *news, bool heard, const char *reason)
{
	if (heard == news->heard)
		return;
	news->heard = heard;
	mc_log(mc_shard_log(news->params.shard), MC_LOG_NOTICE, "news",
	       "%s peer=%s reason=%s",
	       heard ? "the store is heard through another instance"
		     : "the store is asked by this instance itself",
	       news->heard_name, reason);
	news->params.ops->on_upstream_changed(news->params.ctx);
}

static void leave(mc_relay_t *news, const char *reason)
{
	mc_ms_t now = mc_shard_now(news->params.shard);
	uint32_t i;

	mc_link_close(news->params.shard, news->link);
	news->link = MC_HANDLE_NONE;
	news->fresh_since = MC_MS_NEVER;
	for (i = 0; i < news->peer_count; i++)
		if (!strcmp(news->peers[i].name, news->heard_name))
			news->avoid_until[i] = now + AVOID_MS;
	note_heard(news, false, reason);
}

static void take_state(mc_relay_t *news, const mc_wire_relay_state_t *state)
{
	mc_ms_t now = mc_shard_now(news->params.shard);

	if (state->count != news->params.kind_count) {
		leave(news, "other_kinds");
		return;
	}
	if (!state->watches_store) {
		if (news->fresh_since != MC_MS_NEVER)
			news->deaf_since = now;
		news->fresh_since = MC_MS_NEVER;
		note_heard(news, false, "deaf");
		return;
	}
	if (news->fresh_since == MC_MS_NEVER)
		news->fresh_since = now;
	if (now - news->fresh_since >= SETTLE_MS)
		note_heard(news, true, "fresh");
	if (news->heard)
		news->params.ops->on_revisions(news->params.ctx,
					       state->revisions);
}

static void on_opened(void *ctx, mc_handle_t link)
{
	mc_relay_t *news = ctx;
	const mc_wire_message_t hello = {
		.kind = MC_WIRE_HELLO,
		.hello = { .version = MC_WIRE_VERSION,
			   .address = news->address },
	};

	news->heard_at = mc_shard_now(news->params.shard);
	news_send(news, link, &hello);
}

static void on_frame(void *ctx, mc_handle_t link, const char *data, size_t size)
{
	mc_relay_t *news = ctx;
	mc_wire_message_t *message;

	(void)link;
	if (frame_decode(data, size, &message)) {
		leave(news, "bad_message");
		return;
	}
	news->heard_at = mc_shard_now(news->params.shard);
	if (message->kind == MC_WIRE_RELAY_STATE)
		take_state(news, &message->relay_state);
	else if (message->kind == MC_WIRE_RELAY_CHANGES &&
		 message->relay_changes.record_kind < news->params.kind_count)
		news->params.ops->on_changes(
			news->params.ctx, message->relay_changes.record_kind,
			message->relay_changes.after_revision,
			message->relay_changes.text);
	mc_wire_free(message);
}

static void on_closed(void *ctx, mc_handle_t link, mc_err_t reason)
{
	mc_relay_t *news = ctx;

	(void)link;
	leave(news, mc_error_name(reason));
}

static void try_next(mc_relay_t *news, mc_ms_t now)
{
	static const mc_link_events_t events = {
		.opened = on_opened,
		.frame = on_frame,
		.closed = on_closed,
	};
	uint32_t i;

	for (i = 0; i < news->peer_count; i++)
		if (now >= news->avoid_until[i])
			break;
	if (i == news->peer_count)
		return;
	snprintf(news->heard_name, sizeof(news->heard_name), "%s",
		 news->peers[i].name);
	news->avoid_until[i] = now + AVOID_MS;
	news->linked_at = now;
	news->deaf_since = now;
	news->heard_at = 0;
	if (mc_link_connect(news->params.shard, news->peers[i].address, &events,
			    news, &news->link)) {
		news->link = MC_HANDLE_NONE;
		mc_log(mc_shard_log(news->params.shard), MC_LOG_WARNING, "news",
		       "no link peer=%s reason=\"%s\"", news->heard_name,
		       mc_last_error_message());
	}
}

static void check(mc_shard_t *shard, void *arg)
{
	mc_relay_t *news = arg;
	mc_ms_t now = mc_shard_now(shard);

	news->check_timer = MC_HANDLE_NONE;
	if (!news->link.generation)
		try_next(news, now);
	else if (!news->heard_at && now - news->linked_at > CONNECT_MS)
		leave(news, "no_connection");
	else if (news->heard_at && now - news->heard_at > SILENT_MS)
		leave(news, "silent");
	else if (news->fresh_since == MC_MS_NEVER &&
		 now - news->deaf_since > DEAF_MS)
		leave(news, "deaf");
	/* With nobody before it there is nothing to look at. */
	if (news->peer_count || news->link.generation)
		news_timer(news, CHECK_MS, check, &news->check_timer);
}

void hear_peers(mc_relay_t *news, const mc_relay_peer_t *peers, uint32_t count)
{
	mc_relay_peer_t sorted[MC_RELAY_PEERS_MAX];

	if (count > MC_RELAY_PEERS_MAX)
		count = MC_RELAY_PEERS_MAX;
	memcpy(sorted, peers, count * sizeof(*peers));
	count = mc_relay_rank_peers(news->name, sorted, count);
	if (count == news->peer_count &&
	    !memcmp(sorted, news->peers, count * sizeof(*sorted)))
		return;
	memcpy(news->peers, sorted, count * sizeof(*sorted));
	memset(news->avoid_until, 0, sizeof(news->avoid_until));
	news->peer_count = count;
	if (count && !news->check_timer.generation)
		news_timer(news, 1, check, &news->check_timer);
}

bool mc_relay_has_upstream(const mc_relay_t *news)
{
	return news->heard;
}

mc_ms_t mc_relay_last_received(const mc_relay_t *news)
{
	return news->heard_at;
}

void hear_end(mc_relay_t *news)
{
	mc_timer_cancel(news->params.shard, news->check_timer);
	mc_link_close(news->params.shard, news->link);
}
