/*
 * Selects the target of a part: builds a candidate from the state of each
 * target and lets the replica library pick one.
 */
#include "tier_private.h"

#include "rollout.h"
#include "target_limit.h"
#include "target_notice.h"
#include "tried.h"

enum {
	/* Maximum number of targets compared; of more, a range with a random
	 * start. */
	CANDIDATES_MAX = 32,
	/* A target's load report is valid for this time, ms. */
	REPORT_TTL_MS = 150,
	/* Requests at a target, running or queued, per slot. More would wait
	 * there, where urgent ones can't overtake them. */
	LOAD_PER_SLOT_MAX = 3,
};

double select_relative_load(const target_t *target, mc_ms_t now)
{
	double slots = target->entry.slots ? target->entry.slots : 1;
	double others = 0;

	if (now - target->load_reported < REPORT_TTL_MS)
		others = target->others_in_flight;
	return (target->in_flight + others) / slots;
}

/* A target whose queue is long by its own report gets another request only from
 * a sender that has none there. While it is unknown how long a request of the
 * route takes, a sender has no more of them there than the target has slots. */
static bool has_room(const target_t *target, const route_stats_t *stats,
		     mc_ms_t now)
{
	bool is_known = stats && stats->median.value > 0;

	if (!target->in_flight)
		return true;
	return select_relative_load(target, now) < LOAD_PER_SLOT_MAX &&
	       (is_known || target->in_flight < target->entry.slots);
}

/* The oldest attempt whose response is needed. Released ones were slow before;
 * whether the target is silent is evidence of its own. */
static const attempt_t *oldest_needed(const target_t *target)
{
	const attempt_t *attempt = TAILQ_FIRST(&target->attempts);

	while (attempt && attempt->is_released)
		attempt = TAILQ_NEXT(attempt, target_entry);
	return attempt;
}

static mc_replica_state_t health_state(const target_t *target, mc_ms_t now)
{
	const attempt_t *oldest = oldest_needed(target);

	return mc_replica_health_state(
		&target->health, oldest ? now - oldest->sent_at : 0,
		oldest ? oldest->typical_latency : 0, now);
}

static bool is_ejected(const target_t *target, mc_ms_t now)
{
	return mc_replica_health_state(&target->health, 0, 0, now) ==
	       MC_REPLICA_EJECTED;
}

/* Whether no part like this may get to the target at present. */
static bool is_barred(const part_t *part, const target_t *target)
{
	return target->data_center_out || target->replaced ||
	       target->version_barred ||
	       target_notice_excludes(part->request->tier, target) ||
	       tried_bars(part, target);
}

/* Whether some sound target that the part was not sent to could get it, now or
 * once it has room and its limits allow it, which must be soon. */
static bool has_untried(const part_t *part)
{
	tier_t *tier = part->request->tier;
	const service_t *service = mc_table_get(tier->services, part->service);
	mc_ms_t now = mc_shard_now(tier->shard);
	const target_t *target;
	uint32_t i;

	for (i = 0; service && i < service->target_count; i++) {
		target = mc_table_get(tier->targets, service->targets[i]);
		if (target && !target->draining &&
		    !tried_contains(part, target->handle) &&
		    !is_barred(part, target) &&
		    target_limit_is_soon(part, target) &&
		    health_state(target, now) == MC_REPLICA_HEALTHY &&
		    !rollout_is_canary(service, target))
			return true;
	}
	return false;
}

bool select_is_excluded(const part_t *part, const target_t *target)
{
	mc_ms_t now = mc_shard_now(part->request->tier->shard);

	if (is_barred(part, target))
		return true;
	if (!tried_contains(part, target->handle))
		return false;
	/* A target that rejected the part would probably do so again. */
	if (tried_has_rejected(part, target->handle) && has_untried(part))
		return true;
	/* A hedge is more useful at another target, and so is a retry of a part
	 * whose target is ejected, unless no other may get it. */
	return part->in_flight ||
	       (part->attempts.runs < part->attempts.runs_max &&
		is_ejected(target, now));
}

bool select_has_target(tier_t *tier, const part_t *part)
{
	const service_t *service = mc_table_get(tier->services, part->service);
	const target_t *target;
	uint32_t i;

	for (i = 0; service && i < service->target_count; i++) {
		target = mc_table_get(tier->targets, service->targets[i]);
		if (target && !select_is_excluded(part, target) &&
		    (!rollout_is_canary(service, target) ||
		     rollout_wants_canary(service, part)))
			return true;
	}
	return false;
}

/* Whether another version of its service is preferred. */
static bool is_superseded(const service_t *service, const target_t *target)
{
	return service->rollout.is_active && !target->in_rollout &&
	       service->rollout.mode == MC_ROLLOUT_PREFERRED;
}

/* How much longer a target is silent, in times that the part takes. */
static double hold_ratio(const tier_t *tier, const part_t *part,
			 const target_t *target, mc_ms_t now)
{
	const route_stats_t *stats = part->request->stats;
	double typical = stats ? stats->median.value : 0;
	double hold = mc_replica_evidence_hold(&target->evidence,
					       &tier->silences, now);

	return typical > 1 ? hold / typical : hold;
}

static mc_replica_candidate_t make_candidate(tier_t *tier,
					     const service_t *service,
					     const part_t *part,
					     target_t *target)
{
	mc_ms_t now = mc_shard_now(tier->shard);

	return (mc_replica_candidate_t){
		.state = health_state(target, now),
		.has_capacity = pool_has_capacity(tier, service, target) &&
				has_room(target, part->request->stats, now) &&
				!target_limit_wait(tier, target),
		.draining = target->draining || target->notice.leaving_since ||
			    is_superseded(service, target),
		.local = target->local,
		.tried = tried_contains(part, target->handle),
		.load = select_relative_load(target, now),
		.latency_ratio =
			mc_replica_health_latency_ratio(&target->health, now) *
			mc_replica_evidence_pace(&target->evidence, now),
		.hold = hold_ratio(tier, part, target, now),
	};
}

bool select_has_room(tier_t *tier, const part_t *part)
{
	const service_t *service = mc_table_get(tier->services, part->service);
	target_t *target;
	uint32_t i;

	for (i = 0; service && i < service->target_count; i++) {
		target = mc_table_get(tier->targets, service->targets[i]);
		if (target && !select_is_excluded(part, target) &&
		    make_candidate(tier, service, part, target).has_capacity)
			return true;
	}
	return false;
}

/*
 * Picks a target; with @canary among those that get requests only by share,
 * else among all others. Returns NULL if none can take the part now.
 */
static target_t *pick_target(tier_t *tier, const service_t *service,
			     const part_t *part, bool canary)
{
	mc_replica_candidate_t candidates[CANDIDATES_MAX];
	target_t *targets[CANDIDATES_MAX];
	uint32_t count = 0, first = 0, picked, i;
	target_t *target;

	if (service->target_count > CANDIDATES_MAX)
		first = mc_random_below(mc_shard_random(tier->shard),
					service->target_count);
	for (i = 0; i < service->target_count && count < CANDIDATES_MAX; i++) {
		target = mc_table_get(
			tier->targets,
			service->targets[(first + i) % service->target_count]);
		if (!target || select_is_excluded(part, target) ||
		    rollout_is_canary(service, target) != canary)
			continue;
		candidates[count] = make_candidate(tier, service, part, target);
		targets[count++] = target;
	}
	picked = mc_replica_pick(candidates, count, !part->request->idempotent,
				 mc_shard_random(tier->shard));
	/* A target that fails would only delay the part. */
	if (picked == MC_REPLICA_NONE ||
	    (canary && candidates[picked].state == MC_REPLICA_EJECTED))
		return NULL;
	target = targets[picked];
	if (candidates[picked].state == MC_REPLICA_PROBE_DUE)
		mc_replica_health_record_probe(&target->health,
					       mc_shard_now(tier->shard));
	return target;
}

target_t *select_target(tier_t *tier, const part_t *part)
{
	service_t *service = mc_table_get(tier->services, part->service);
	target_t *target = NULL;

	if (!service || !service->target_count)
		return NULL;
	if (rollout_wants_canary(service, part))
		target = pick_target(tier, service, part, true);
	if (!target)
		target = pick_target(tier, service, part, false);
	if (target)
		target_limit_take(tier, target);
	return target;
}
