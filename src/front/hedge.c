/*
 * Hedging: a straggler gets a second sub-query, to another replica, once it
 * has taken longer than its shard usually does. A request has one timer, for
 * the next of its shards that is due.
 */
#include "front_private.h"

void hedge_set(front_t *front, query_t *query, uint32_t slot)
{
	mc_ms_t now = mc_shard_now(front->shard);
	mc_ms_t delay = front->hedge_policy->delay(
		latency_book_shard(front, query, slot),
		latency_book_service(front, query, slot),
		query->deadline - now);

	query->slots[slot].hedge_at =
		delay == MC_MS_NEVER ? MC_MS_NEVER : now + delay;
}

static void hedge_slot(front_t *front, query_t *query, uint32_t slot)
{
	mc_counters_t *counters = mc_shard_counters(front->shard);

	query->slots[slot].hedge_at = MC_MS_NEVER;
	if (mc_answer_has_result(query->answer, slot) ||
	    !query->slots[slot].outstanding)
		return;
	if (!mc_retry_budget_withdraw(&front->hedges)) {
		mc_counter_add(counters, MC_COUNTER_RETRIES_DENIED, 1);
		return;
	}
	if (plan_send_extra(front, query, slot, true))
		mc_counter_add(counters, MC_COUNTER_HEDGES, 1);
	else
		mc_retry_budget_refund(&front->hedges);
}

static void hedge_due(mc_shard_t *shard, void *arg)
{
	query_t *query = arg;
	front_t *front = query->front;
	mc_ms_t now = mc_shard_now(shard);
	mc_handle_t handle = query->handle;
	uint32_t i;

	query->hedge_timer = MC_HANDLE_NONE;
	for (i = 0; query && i < query->slot_count; i++) {
		if (query->slots[i].hedge_at > now)
			continue;
		hedge_slot(front, query, i);
		/* A gather that can't be reached may end the request. */
		query = mc_table_get(front->queries, handle);
	}
	if (query)
		hedge_plan(front, query);
}

void hedge_plan(front_t *front, query_t *query)
{
	mc_ms_t next = MC_MS_NEVER;
	uint32_t i;

	for (i = 0; i < query->slot_count; i++)
		if (query->slots[i].hedge_at < next &&
		    !mc_answer_has_result(query->answer, i))
			next = query->slots[i].hedge_at;
	if (next < query->deadline)
		mc_timer_set(front->shard, next, hedge_due, query,
			     &query->hedge_timer);
}
