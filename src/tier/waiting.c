/*
 * One queue for each priority of a route or customer; less urgent ones share
 * the last.
 */
#include "waiting.h"

#include "fair_order.h"

static uint32_t queue_of(const part_t *part)
{
	uint32_t priority = request_priority(part->request);

	return priority < TIER_PRIORITIES ? priority : TIER_PRIORITIES - 1;
}

/* Whose share of the room the part uses. */
static const void *flow_of(const part_t *part)
{
	const request_t *request = part->request;

	return request->customer ? (const void *)request->customer
				 : (const void *)request->stats;
}

void waiting_add(service_t *service, part_t *part)
{
	uint32_t queue = queue_of(part);

	part->state = PART_WAITING;
	part->waiting_since = mc_shard_now(service->tier->shard);
	part->flow = flow_of(part);
	part->turn = fair_order_turn(&service->waiting[queue],
				     service->rounds[queue], part->flow);
	fair_order_insert(&service->waiting[queue], part);
	service->waiting_counts[queue]++;
	service->waiting_count++;
}

void waiting_remove(service_t *service, part_t *part)
{
	uint32_t queue = queue_of(part);

	if (part == TAILQ_FIRST(&service->waiting[queue]))
		service->rounds[queue] = part->turn;
	TAILQ_REMOVE(&service->waiting[queue], part, entry);
	service->waiting_counts[queue]--;
	service->waiting_count--;
}

uint32_t waiting_ahead(const service_t *service, const part_t *part)
{
	uint32_t queue = queue_of(part);
	uint32_t ahead = 0, i;
	uint64_t turn;

	for (i = 0; i < queue; i++)
		ahead += service->waiting_counts[i];
	turn = fair_order_turn(&service->waiting[queue], service->rounds[queue],
			       flow_of(part));
	return ahead + fair_order_ahead(&service->waiting[queue], turn);
}
