/*
 * What targets say of themselves in their responses: a limit, that they leave,
 * and that they want no requests for a time.
 */
#ifndef MC_TIER_TARGET_NOTICE_H
#define MC_TIER_TARGET_NOTICE_H

#include "tier_private.h"

/** target_notice_record() - Take over what a target says in a response */
void target_notice_record(tier_t *tier, target_t *target,
			  const attempt_t *attempt,
			  const mc_tier_response_info_t *response);

/** target_notice_recall() - Take over for a target that has just been added
 * what it had said before its entry was lost */
void target_notice_recall(tier_t *tier, target_t *target);

/** target_notice_excludes() - Tell whether a target must get no request now */
bool target_notice_excludes(const tier_t *tier, const target_t *target);

/**
 * target_notice_silences() - Tell whether all targets of a part's service must
 * get no request now
 * @part: the part
 * @wait: receives the time until the first of them may again, ms; 0 if none may
 *	again
 */
bool target_notice_silences(const part_t *part, mc_ms_t *wait);

/**
 * struct target_notice_counts_t - targets by what they say of themselves
 * @limited: they name a limit
 * @leaving: they leave
 * @paused: they want no requests now
 */
typedef struct target_notice_counts_t {
	uint32_t limited;
	uint32_t leaving;
	uint32_t paused;
} target_notice_counts_t;

/** target_notice_count() - Count the targets that this data shard knows */
void target_notice_count(const tier_t *tier, target_notice_counts_t *counts);

/**
 * target_notice_merge() - Combine what two data shards have heard of a target
 * @own: what this shard knows
 * @other: what another one knows, which may have heard it earlier or later, and
 *	not know what this one has heard meanwhile
 *
 * Return: the latest limit, the longest pause, and the earliest time at which
 * the target said that it leaves.
 */
target_notice_t target_notice_merge(const target_notice_t *own,
				    const target_notice_t *other);

#endif
