/*
 * Each data shard keeps to its share of the limit that a target names, and of
 * the rate that a target takes while it is warming up: its turns, by the time
 * of day.
 */
#include "target_limit.h"

enum {
	/* A part waits for its turn for 1/n of the latency goal at most. */
	PATIENCE_DIVISOR = 4,
	MS_PER_S = 1000,
};

static mc_ms_t wall_clock(const tier_t *tier)
{
	return mc_clock_wall(mc_shard_clock(tier->shard));
}

/* What this data shard's share of a target's limit follows from. */
static mc_rate_share_params_t share_params(const tier_t *tier,
					   const target_t *target)
{
	return mc_rate_share_limit(target->notice.rate_limit,
				   sharer_count(tier), sharer_index(tier));
}

/* Whether the target gets only what a cold one can take. */
static bool is_warming_up(const tier_t *tier, const service_t *service,
			  const target_t *target)
{
	return mc_shard_now(tier->shard) < target->warmup_until && service &&
	       service->warmup_rate > 0;
}

static mc_ms_t limit_wait(const tier_t *tier, const target_t *target)
{
	const mc_rate_share_params_t params = share_params(tier, target);

	if (!target->notice.has_rate_limit)
		return 0;
	return mc_rate_share_wait(&target->rate_share, &params,
				  wall_clock(tier));
}

static mc_ms_t warmup_wait(const tier_t *tier, const target_t *target)
{
	const service_t *service =
		mc_table_get(tier->services, target->service);
	mc_rate_share_params_t params;

	if (!is_warming_up(tier, service, target))
		return 0;
	params = mc_rate_share_warmup(service->warmup_rate, sharer_count(tier),
				      sharer_index(tier));
	return mc_rate_share_wait(&target->warmup_share, &params,
				  wall_clock(tier));
}

mc_ms_t target_limit_wait(const tier_t *tier, const target_t *target)
{
	mc_ms_t limited = limit_wait(tier, target);
	mc_ms_t cold = warmup_wait(tier, target);

	return limited > cold ? limited : cold;
}

void target_limit_take(const tier_t *tier, target_t *target)
{
	target->rate_share.taken_at = wall_clock(tier);
	target->warmup_share.taken_at = target->rate_share.taken_at;
}

/* How long a part waits for its turn, ms. */
static mc_ms_t patience_of(const part_t *part)
{
	return part->request->route->latency_goal / PATIENCE_DIVISOR;
}

bool target_limit_is_soon(const part_t *part, const target_t *target)
{
	return target_limit_wait(part->request->tier, target) <=
	       patience_of(part);
}

bool target_limit_refuses(const part_t *part, uint32_t ahead, mc_ms_t *wait)
{
	const tier_t *tier = part->request->tier;
	const service_t *service = mc_table_get(tier->services, part->service);
	mc_ms_t patience = patience_of(part);
	mc_ms_t first = MC_MS_NEVER, at;
	mc_rate_share_params_t params;
	double rate = 0;
	uint32_t i;

	for (i = 0; service && i < service->target_count; i++) {
		const target_t *target =
			mc_table_get(tier->targets, service->targets[i]);

		if (!target || select_is_excluded(part, target))
			continue;
		if (!target->notice.has_rate_limit)
			return false;
		params = share_params(tier, target);
		at = limit_wait(tier, target);
		first = at < first ? at : first;
		rate += MS_PER_S / mc_rate_share_period(&params);
	}
	if (first == MC_MS_NEVER)
		return false;
	*wait = first + (mc_ms_t)(ahead * (double)MS_PER_S / rate);
	if (part->state == PART_WAITING && *wait)
		patience -= mc_shard_now(tier->shard) - part->waiting_since;
	return *wait > patience;
}
