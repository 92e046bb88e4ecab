/*
 * Cancels sub-queries. One that still waits is dropped when it reaches the head
 * of its queue. One that was sent keeps its slot of the limiter until the
 * target has responded.
 */
#include "gather_private.h"

#include <stdlib.h>
#include <string.h>

enum {
	CANCEL_TIMEOUT_MS = 1000,
};

/* The response to a cancellation has no content that is needed. */
static void ignore_response(void *ctx, const mc_http_response_t *response)
{
	(void)ctx;
	(void)response;
}

void cancel_at_target(gather_t *gather, const target_t *target,
		      const mc_handle_t *subs, uint32_t count)
{
	char *body = target_http_encode_cancel(gather, subs, count);

	if (!body)
		return;
	target_http_send(gather, target, "/cancel", body, CANCEL_TIMEOUT_MS,
			 false, ignore_response, NULL, NULL);
	free(body);
}

static sub_query_t *mark_canceled(gather_t *gather, reply_route_t route,
				  uint64_t id)
{
	sub_key_t key;
	sub_query_t *sub;

	memset(&key, 0, sizeof(key));
	key.route = route;
	key.id = id;
	sub = apr_hash_get(gather->sub_queries_by_key, &key, sizeof(key));
	if (!sub)
		return NULL;
	apr_hash_set(gather->sub_queries_by_key, &sub->key, sizeof(sub->key),
		     NULL);
	sub->canceled = true;
	mc_counter_add(mc_shard_counters(gather->shard), MC_COUNTER_CANCELS, 1);
	return sub;
}

void cancel_sub_queries(gather_t *gather, reply_route_t route,
			const uint64_t *ids, uint32_t count)
{
	uint32_t i;

	for (i = 0; i < count; i++) {
		const sub_query_t *sub = mark_canceled(gather, route, ids[i]);
		const target_t *target;

		if (!sub || !sub->sent)
			continue;
		target = mc_table_get(gather->targets, sub->target);
		if (target)
			cancel_at_target(gather, target, &sub->handle, 1);
	}
}
