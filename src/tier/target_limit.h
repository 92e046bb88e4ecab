/*
 * This data shard's share of the limits that targets name, and of what they
 * take while they are warming up.
 */
#ifndef MC_TIER_TARGET_LIMIT_H
#define MC_TIER_TARGET_LIMIT_H

#include "tier_private.h"

/** target_limit_wait() - Get the time until this shard may send a request to a
 * target, ms; 0 if it may now */
mc_ms_t target_limit_wait(const tier_t *tier, const target_t *target);

/** target_limit_is_soon() - Tell whether a part would wait for its turn at a
 * target */
bool target_limit_is_soon(const part_t *part, const target_t *target);

/** target_limit_take() - Count a request that is sent to a target */
void target_limit_take(const tier_t *tier, target_t *target);

/**
 * target_limit_refuses() - Tell whether limits keep a part from being sent soon
 * @part: the part
 * @ahead: number of parts that are sent before it
 * @wait: receives the expected time until it could be sent, ms
 */
bool target_limit_refuses(const part_t *part, uint32_t ahead, mc_ms_t *wait);

#endif
