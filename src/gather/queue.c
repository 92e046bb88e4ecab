/*
 * Queues of sub-queries that wait for a target's limiter, one per class. More
 * urgent sub-queries are sent first and, when the queues are full, replace less
 * urgent ones.
 */
#include "gather_private.h"

void queue_push(gather_t *gather, target_t *target, sub_query_t *sub)
{
	sub_query_queue_t *queue = &target->queues[sub->klass];
	sub_query_t *last = mc_table_get(gather->sub_queries, queue->last);

	if (queue->count && last)
		last->next = sub->handle;
	else
		queue->first = sub->handle;
	queue->last = sub->handle;
	queue->count++;
	target->waiting++;
}

sub_query_t *queue_pop(gather_t *gather, target_t *target,
		       mc_request_class_t klass)
{
	sub_query_queue_t *queue = &target->queues[klass];
	sub_query_t *sub;

	if (!queue->count)
		return NULL;
	sub = mc_table_get(gather->sub_queries, queue->first);
	if (!sub) {
		target->waiting -= queue->count;
		queue->count = 0;
		return NULL;
	}
	queue->first = sub->next;
	queue->count--;
	target->waiting--;
	return sub;
}

sub_query_t *queue_pop_below(gather_t *gather, target_t *target,
			     mc_request_class_t klass)
{
	sub_query_t *sub = NULL;
	uint32_t i;

	for (i = MC_CLASS_COUNT - 1; !sub && i > (uint32_t)klass; i--)
		sub = queue_pop(gather, target, (mc_request_class_t)i);
	return sub;
}

static sub_query_t *queue_first(const gather_t *gather,
				const sub_query_queue_t *queue)
{
	if (!queue->count)
		return NULL;
	return mc_table_get(gather->sub_queries, queue->first);
}

static bool is_expired(const gather_t *gather, const sub_query_t *sub)
{
	return sub->canceled || sub->wait_until <= mc_shard_now(gather->shard);
}

/*
 * Removes canceled sub-queries at the head of a queue and refuses those that
 * have waited too long; returns the new head, or NULL if the queue is empty.
 */
static sub_query_t *refuse_expired(gather_t *gather, target_t *target,
				   mc_request_class_t klass)
{
	const sub_query_queue_t *queue = &target->queues[klass];
	sub_query_t *sub = queue_first(gather, queue);

	while (sub && is_expired(gather, sub)) {
		queue_pop(gather, target, klass);
		sub_query_refuse(gather, sub, MC_ERR_TARGET_LIMITED);
		sub = queue_first(gather, queue);
	}
	return sub;
}

sub_query_t *queue_peek(gather_t *gather, target_t *target)
{
	sub_query_t *sub = NULL;
	uint32_t i;

	for (i = 0; !sub && i < MC_CLASS_COUNT; i++)
		sub = refuse_expired(gather, target, (mc_request_class_t)i);
	return sub;
}

void queue_expire(gather_t *gather, target_t *target)
{
	uint32_t i;

	for (i = 0; i < MC_CLASS_COUNT; i++)
		refuse_expired(gather, target, (mc_request_class_t)i);
}

mc_ms_t queue_next_expiry(const gather_t *gather, const target_t *target)
{
	mc_ms_t next = MC_MS_NEVER;
	uint32_t i;

	for (i = 0; i < MC_CLASS_COUNT; i++) {
		const sub_query_t *sub =
			queue_first(gather, &target->queues[i]);

		if (sub && sub->wait_until < next)
			next = sub->wait_until;
	}
	return next;
}
