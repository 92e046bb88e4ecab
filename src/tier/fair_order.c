/*
 * Start-time fair queueing with parts of equal size. A flow has no state beside
 * its waiting parts: its next turn follows the last of them. The queues are
 * short, as a part that would miss its goal is not admitted, so they are
 * searched one by one.
 */
#include "fair_order.h"

uint64_t fair_order_turn(const wait_queue_t *queue, uint64_t round,
			 const void *flow)
{
	const part_t *part;

	TAILQ_FOREACH_REVERSE(part, queue, wait_queue_t, entry)
	if (part->flow == flow)
		return part->turn + 1;
	return round;
}

void fair_order_insert(wait_queue_t *queue, part_t *part)
{
	part_t *other;

	TAILQ_FOREACH_REVERSE(other, queue, wait_queue_t, entry)
	{
		if (other->turn > part->turn)
			continue;
		TAILQ_INSERT_AFTER(queue, other, part, entry);
		return;
	}
	TAILQ_INSERT_HEAD(queue, part, entry);
}

uint32_t fair_order_ahead(const wait_queue_t *queue, uint64_t turn)
{
	const part_t *part;
	uint32_t ahead = 0;

	TAILQ_FOREACH(part, queue, entry)
	{
		if (part->turn > turn)
			break;
		ahead++;
	}
	return ahead;
}
