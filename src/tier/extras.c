/*
 * The budget of a service is divided among all data shards. Each rounds its
 * share at another place, so that the whole budget can be used. The last extra
 * request of a share is left to more urgent customers.
 */
#include "extras.h"

#include "mc/base/hash.h"

uint32_t extras_rank(const request_t *request)
{
	return request->customer ? request_priority(request) : 0;
}

bool extras_withdraw(part_t *part, uint32_t keep)
{
	tier_t *tier = part->request->tier;
	service_t *service = mc_table_get(tier->services, part->service);
	mc_retry_window_limit_t limit = tier->extra_limit;
	const mc_retry_window_ask_t ask = {
		.rank = extras_rank(part->request),
		.keep = keep,
	};

	if (!service)
		return false;
	limit.rounding =
		mc_retry_window_rounding(sharer_index(tier), sharer_count(tier),
					 mc_hash_string(service->name));
	if (mc_retry_window_withdraw(&service->extra_window, &limit, &ask,
				     mc_shard_now(tier->shard))) {
		part->extra_withdrawn_at = mc_shard_now(tier->shard);
		return true;
	}
	part->request->extras_denied++;
	mc_counter_add(mc_shard_counters(tier->shard),
		       MC_COUNTER_RETRIES_DENIED, 1);
	return false;
}

void extras_charge(part_t *part)
{
	tier_t *tier = part->request->tier;
	service_t *service = mc_table_get(tier->services, part->service);

	if (service)
		mc_retry_window_charge(&service->extra_window,
				       &tier->extra_limit,
				       mc_shard_now(tier->shard));
}

void extras_refund(part_t *part)
{
	const tier_t *tier = part->request->tier;
	service_t *service = mc_table_get(tier->services, part->service);

	if (service && part->extra_withdrawn_at)
		mc_retry_window_refund(&service->extra_window,
				       &tier->extra_limit,
				       part->extra_withdrawn_at);
	part->extra_withdrawn_at = 0;
}

void extras_send(tier_t *tier, attempt_t *attempt)
{
	service_t *service = mc_table_get(tier->services, attempt->service);
	mc_ms_t now = mc_shard_now(tier->shard);

	if (!service || !attempt->extra_withdrawn_at)
		return;
	mc_retry_window_send(&service->extra_window, &tier->extra_limit,
			     attempt->extra_withdrawn_at, now);
	attempt->extra_withdrawn_at = now;
}
