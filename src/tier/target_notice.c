/*
 * What one data shard is told, the process's others are told at once, as a
 * target speaks to the whole process. That a target leaves outlives the removal
 * of its entry, as a list of the store that is older may bring the entry back.
 */
#include "target_notice.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
	/* A leaving target may be used, where no other is left, for this part
	 * of the time for which it serves on. */
	LEAVING_USE_NUMERATOR = 3,
	LEAVING_USE_DENOMINATOR = 4,
	/* How long it is remembered that a target has left, ms. */
	DEPARTURE_TTL_MS = 3600 * 1000,
	/* Longest pause that a target gets, ms. */
	PAUSE_MAX_MS = 600 * 1000,
};

/* A target that has said that it leaves. */
typedef struct {
	char id[MC_REGISTRY_NAME_SIZE];
	int64_t started_at;
	mc_ms_t since;
} departure_t;

/* What a target has said, posted to another data shard, which frees it. Times
 * are those of the sender's clock, which all shards share. */
typedef struct {
	tier_process_t *process;
	char target_id[MC_REGISTRY_NAME_SIZE];
	int64_t started_at;
	target_notice_t notice;
} notice_update_t;

static departure_t *find_departure(const tier_t *tier, const char *id,
				   int64_t started_at)
{
	uint32_t cursor = 0;
	mc_handle_t handle;
	departure_t *departure;

	while ((departure = mc_table_next(tier->departures, &cursor, &handle)))
		if (departure->started_at == started_at &&
		    !strcmp(departure->id, id))
			return departure;
	return NULL;
}

static void forget_old_departures(tier_t *tier)
{
	mc_ms_t now = mc_shard_now(tier->shard);
	uint32_t cursor = 0;
	mc_handle_t handle;
	const departure_t *departure;

	while ((departure = mc_table_next(tier->departures, &cursor, &handle)))
		if (now - departure->since > DEPARTURE_TTL_MS)
			mc_table_remove(tier->departures, handle);
}

static void remember_departure(tier_t *tier, const target_t *target)
{
	departure_t *departure;
	mc_handle_t handle;
	void *slot;

	if (find_departure(tier, target->entry.id, target->entry.started_at))
		return;
	forget_old_departures(tier);
	if (mc_table_add(tier->departures, &handle, &slot))
		return;
	departure = slot;
	memcpy(departure->id, target->entry.id, sizeof(departure->id));
	departure->started_at = target->entry.started_at;
	departure->since = target->notice.leaving_since;
}

mc_err_t target_notice_init(tier_t *tier)
{
	tier->departures =
		mc_table_create(sizeof(departure_t), TIER_DEPARTURES_MAX);
	return tier->departures ? MC_OK : MC_ERR_NO_MEMORY;
}

void target_notice_recall(tier_t *tier, target_t *target)
{
	const departure_t *departure = find_departure(tier, target->entry.id,
						      target->entry.started_at);

	if (departure)
		target->notice.leaving_since = departure->since;
}

static void log_change(const tier_t *tier, const target_t *target,
		       const target_notice_t *notice)
{
	const target_notice_t *former = &target->notice;

	if (notice->has_rate_limit != former->has_rate_limit ||
	    notice->rate_limit != former->rate_limit)
		mc_log(tier->log, MC_LOG_NOTICE, "tier",
		       "limit of a target changed target=%s limited=%d "
		       "per_s=%.2f former_per_s=%.2f",
		       target->entry.id, notice->has_rate_limit,
		       notice->rate_limit, former->rate_limit);
	if (notice->leaving_since && !former->leaving_since)
		mc_log(tier->log, MC_LOG_NOTICE, "tier",
		       "target leaving: it said so in a response target=%s",
		       target->entry.id);
	if (notice->paused_until > former->paused_until)
		mc_log(tier->log, MC_LOG_INFO, "tier",
		       "target asked for a pause target=%s pause_ms=%lld",
		       target->entry.id,
		       (long long)(notice->paused_until -
				   mc_shard_now(tier->shard)));
}

static void apply_notice(tier_t *tier, target_t *target,
			 const target_notice_t *notice)
{
	bool was_limited = target->notice.has_rate_limit;

	if (notice->has_rate_limit && !was_limited)
		target->rate_share.taken_at =
			mc_clock_wall(mc_shard_clock(tier->shard));
	target->notice = *notice;
	if (notice->leaving_since)
		remember_departure(tier, target);
}

target_notice_t target_notice_merge(const target_notice_t *own,
				    const target_notice_t *other)
{
	target_notice_t merged = *own;

	if (other->limit_changed_at > own->limit_changed_at) {
		merged.has_rate_limit = other->has_rate_limit;
		merged.rate_limit = other->rate_limit;
		merged.limited_since = other->limited_since;
		merged.limit_changed_at = other->limit_changed_at;
	}
	if (other->leaving_since &&
	    (!own->leaving_since || other->leaving_since < own->leaving_since))
		merged.leaving_since = other->leaving_since;
	if (other->paused_until > own->paused_until)
		merged.paused_until = other->paused_until;
	return merged;
}

static void receive_notice(mc_shard_t *shard, void *arg)
{
	notice_update_t *update = arg;
	tier_t *tier = mc_runtime_shard_state(update->process->runtime,
					      mc_shard_index(shard));
	target_t *target =
		tier ? apr_hash_get(tier->target_ids, update->target_id,
				    APR_HASH_KEY_STRING)
		     : NULL;
	target_notice_t notice;

	if (target && target->entry.started_at == update->started_at) {
		notice = target_notice_merge(&target->notice, &update->notice);
		apply_notice(tier, target, &notice);
	}
	free(update);
}

static void publish_to_shard(const tier_t *tier, const target_t *target,
			     mc_shard_t *shard)
{
	notice_update_t *update = malloc(sizeof(*update));

	if (!update)
		return;
	*update = (notice_update_t){
		.process = tier->process,
		.started_at = target->entry.started_at,
		.notice = target->notice,
	};
	memcpy(update->target_id, target->entry.id, sizeof(update->target_id));
	if (mc_shard_post(shard, receive_notice, update))
		free(update);
}

static void publish_to_other_shards(const tier_t *tier, const target_t *target)
{
	mc_runtime_t *runtime = tier->process->runtime;
	mc_shard_t *shard;
	uint32_t i;

	for (i = 0; i < mc_runtime_shard_count(runtime); i++) {
		shard = mc_runtime_shard(runtime, i);
		if (shard != tier->shard)
			publish_to_shard(tier, target, shard);
	}
}

/* Returns what is known of a target after a response. */
static target_notice_t update_notice(const target_notice_t *former,
				     const attempt_t *attempt,
				     const mc_tier_response_info_t *response,
				     mc_ms_t now)
{
	target_notice_t notice = *former;
	mc_ms_t pause =
		response->pause < PAUSE_MAX_MS ? response->pause : PAUSE_MAX_MS;

	/* An answer without a limit may have been written before the limit was
	 * named. */
	if (response->has_rate_limit ||
	    attempt->sent_at > former->limited_since) {
		notice.has_rate_limit = response->has_rate_limit;
		notice.rate_limit = response->rate_limit;
	}
	if (notice.has_rate_limit && !former->has_rate_limit)
		notice.limited_since = now;
	if (notice.has_rate_limit != former->has_rate_limit ||
	    notice.rate_limit != former->rate_limit)
		notice.limit_changed_at = now;
	if (response->leaving && !former->leaving_since)
		notice.leaving_since = now;
	if (pause && now + pause > former->paused_until)
		notice.paused_until = now + pause;
	return notice;
}

static bool is_same_notice(const target_notice_t *a, const target_notice_t *b)
{
	return a->has_rate_limit == b->has_rate_limit &&
	       a->rate_limit == b->rate_limit &&
	       a->leaving_since == b->leaving_since &&
	       a->paused_until == b->paused_until;
}

void target_notice_record(tier_t *tier, target_t *target,
			  const attempt_t *attempt,
			  const mc_tier_response_info_t *response)
{
	const target_notice_t notice = update_notice(
		&target->notice, attempt, response, mc_shard_now(tier->shard));

	if (is_same_notice(&notice, &target->notice))
		return;
	log_change(tier, target, &notice);
	apply_notice(tier, target, &notice);
	publish_to_other_shards(tier, target);
}

static bool has_left(const tier_t *tier, const target_notice_t *notice,
		     mc_ms_t now)
{
	mc_ms_t use = tier->process->settings.drain_period *
		      LEAVING_USE_NUMERATOR / LEAVING_USE_DENOMINATOR;

	return notice->leaving_since && now - notice->leaving_since >= use;
}

bool target_notice_excludes(const tier_t *tier, const target_t *target)
{
	mc_ms_t now = mc_shard_now(tier->shard);

	return now < target->notice.paused_until ||
	       has_left(tier, &target->notice, now);
}

void target_notice_count(const tier_t *tier, target_notice_counts_t *counts)
{
	mc_ms_t now = mc_shard_now(tier->shard);
	uint32_t cursor = 0;
	mc_handle_t handle;
	const target_t *target;

	*counts = (target_notice_counts_t){ 0 };
	while ((target = mc_table_next(tier->targets, &cursor, &handle))) {
		if (!target->listed)
			continue;
		counts->limited += target->notice.has_rate_limit;
		counts->leaving += target->notice.leaving_since > 0;
		counts->paused += now < target->notice.paused_until;
	}
}

bool target_notice_silences(const part_t *part, mc_ms_t *wait)
{
	const tier_t *tier = part->request->tier;
	const service_t *service = mc_table_get(tier->services, part->service);
	mc_ms_t now = mc_shard_now(tier->shard), first = MC_MS_NEVER;
	const target_t *target;
	uint32_t i;

	for (i = 0; service && i < service->target_count; i++) {
		target = mc_table_get(tier->targets, service->targets[i]);
		if (!target)
			continue;
		if (!target_notice_excludes(tier, target))
			return false;
		if (!has_left(tier, &target->notice, now) &&
		    target->notice.paused_until < first)
			first = target->notice.paused_until;
	}
	*wait = first == MC_MS_NEVER ? 0 : first - now;
	return service && service->target_count;
}
