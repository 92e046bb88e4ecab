/*
 * What one data shard is told, the process's others are told at once, as a
 * target speaks to the whole process. That a target leaves, or wants a pause,
 * outlives the removal of its entry, which may come back: from a list of the
 * store that is older, or with the next heartbeat of the target.
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

/* What is remembered of a target whose entry may be lost for a while. */
typedef struct {
	char id[MC_REGISTRY_NAME_SIZE];
	int64_t started_at;
	/* Since when it leaves, ms; 0 if it has not said so. */
	mc_ms_t leaving_since;
	/* It wants no requests until then, ms. */
	mc_ms_t paused_until;
} kept_notice_t;

/* What a target has said, posted to another data shard, which frees it. Times
 * are those of the sender's clock, which all shards share. */
typedef struct {
	tier_process_t *process;
	char target_id[MC_REGISTRY_NAME_SIZE];
	int64_t started_at;
	target_notice_t notice;
} notice_update_t;

static kept_notice_t *find_kept(const tier_t *tier, const char *id,
				int64_t started_at)
{
	uint32_t cursor = 0;
	mc_handle_t handle;
	kept_notice_t *kept;

	while ((kept = mc_table_next(tier->kept_notices, &cursor, &handle)))
		if (kept->started_at == started_at && !strcmp(kept->id, id))
			return kept;
	return NULL;
}

static bool is_outdated(const kept_notice_t *kept, mc_ms_t now)
{
	return now > kept->paused_until &&
	       (!kept->leaving_since ||
		now - kept->leaving_since > DEPARTURE_TTL_MS);
}

static void forget_outdated(tier_t *tier)
{
	mc_ms_t now = mc_shard_now(tier->shard);
	uint32_t cursor = 0;
	mc_handle_t handle;
	const kept_notice_t *kept;

	while ((kept = mc_table_next(tier->kept_notices, &cursor, &handle)))
		if (is_outdated(kept, now))
			mc_table_remove(tier->kept_notices, handle);
}

/* Returns NULL if there is no room. */
static kept_notice_t *add_kept(tier_t *tier, const target_t *target)
{
	kept_notice_t *kept;
	mc_handle_t handle;
	void *slot;

	forget_outdated(tier);
	if (mc_table_add(tier->kept_notices, &handle, &slot))
		return NULL;
	kept = slot;
	memcpy(kept->id, target->entry.id, sizeof(kept->id));
	kept->started_at = target->entry.started_at;
	return kept;
}

static void remember(tier_t *tier, const target_t *target)
{
	kept_notice_t *kept =
		find_kept(tier, target->entry.id, target->entry.started_at);

	if (!kept)
		kept = add_kept(tier, target);
	if (!kept)
		return;
	kept->leaving_since = target->notice.leaving_since;
	kept->paused_until = target->notice.paused_until;
}

mc_err_t target_notice_init(tier_t *tier)
{
	tier->kept_notices =
		mc_table_create(sizeof(kept_notice_t), TIER_KEPT_NOTICES_MAX);
	return tier->kept_notices ? MC_OK : MC_ERR_NO_MEMORY;
}

void target_notice_recall(tier_t *tier, target_t *target)
{
	const kept_notice_t *kept =
		find_kept(tier, target->entry.id, target->entry.started_at);

	if (!kept)
		return;
	target->notice.leaving_since = kept->leaving_since;
	target->notice.paused_until = kept->paused_until;
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
	if (notice->leaving_since ||
	    notice->paused_until > mc_shard_now(tier->shard))
		remember(tier, target);
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
