/*
 * Which target a part goes to: what is known of each is put into the terms of
 * the replica library, which decides.
 */
#include "tier_private.h"

enum {
	/* Targets that are compared; of more, a part chosen by chance. */
	COMPARED_MAX = 32,
	/* A target's report of its load counts for this time, ms. */
	REPORT_LIFE_MS = 150,
};

static bool was_tried(const part_t *part, mc_handle_t target)
{
	uint32_t i;

	for (i = 0; i < part->tried_count; i++)
		if (mc_handle_equal(part->tried[i], target))
			return true;
	return false;
}

static double load_of(const target_t *target, mc_ms_t now)
{
	double slots = target->entry.slots ? target->entry.slots : 1;
	double others = 0;

	if (now - target->reported < REPORT_LIFE_MS)
		others = target->others;
	return (target->in_flight + others) / slots;
}

/* Targets that a part never goes to, whatever their room is. */
static bool is_barred(const tier_t *tier, const part_t *part,
		      const target_t *target)
{
	mc_ms_t now = mc_shard_now(tier->shard);

	if (target->out || target->replaced)
		return true;
	if (!was_tried(part, target->handle))
		return false;
	/* An extra request finds out more at another target. */
	return part->open || mc_replica_health_state(&target->health, 0, 0,
						     now) == MC_REPLICA_EJECTED;
}

bool choice_any(tier_t *tier, const part_t *part)
{
	const service_t *service = mc_table_get(tier->services, part->service);
	const target_t *target;
	uint32_t i;

	for (i = 0; service && i < service->target_count; i++) {
		target = mc_table_get(tier->targets, service->targets[i]);
		if (target && !is_barred(tier, part, target))
			return true;
	}
	return false;
}

static mc_replica_candidate_t candidate_of(tier_t *tier,
					   const service_t *service,
					   const part_t *part, target_t *target)
{
	mc_ms_t now = mc_shard_now(tier->shard);
	const try_t *oldest = TAILQ_FIRST(&target->tries);
	bool cold = now < target->cold_until && service->cold_rate > 0;

	return (mc_replica_candidate_t){
		.state = mc_replica_health_state(
			&target->health, oldest ? now - oldest->sent_at : 0,
			oldest ? oldest->usual : 0, now),
		.has_capacity = pool_room(tier, service, target) &&
				(!cold || !mc_token_bucket_wait(
						  &target->pace,
						  service->cold_rate, now)),
		.draining = target->leaving,
		.local = target->local,
		.tried = was_tried(part, target->handle),
		.load = load_of(target, now),
		.latency_ratio =
			mc_replica_health_latency_ratio(&target->health, now),
	};
}

target_t *choice_target(tier_t *tier, const part_t *part)
{
	service_t *service = mc_table_get(tier->services, part->service);
	mc_replica_candidate_t candidates[COMPARED_MAX];
	target_t *targets[COMPARED_MAX];
	uint32_t count = 0, first = 0, picked, i;
	target_t *target;

	if (!service || !service->target_count)
		return NULL;
	if (service->target_count > COMPARED_MAX)
		first = mc_random_below(mc_shard_random(tier->shard),
					service->target_count);
	for (i = 0; i < service->target_count && count < COMPARED_MAX; i++) {
		target = mc_table_get(
			tier->targets,
			service->targets[(first + i) % service->target_count]);
		if (!target || is_barred(tier, part, target))
			continue;
		candidates[count] = candidate_of(tier, service, part, target);
		targets[count++] = target;
	}
	picked = mc_replica_pick(candidates, count, !part->request->repeatable,
				 mc_shard_random(tier->shard));
	if (picked == MC_REPLICA_NONE)
		return NULL;
	target = targets[picked];
	if (candidates[picked].state == MC_REPLICA_PROBE_DUE)
		mc_replica_health_record_probe(&target->health,
					       mc_shard_now(tier->shard));
	if (mc_shard_now(tier->shard) < target->cold_until &&
	    service->cold_rate > 0)
		mc_token_bucket_take(&target->pace);
	return target;
}
