/*
 * Roll-outs: which share of a service's requests a version gets, and the
 * outcomes that are reported to the control shard.
 */
#ifndef MC_TIER_ROLLOUT_H
#define MC_TIER_ROLLOUT_H

#include "tier_private.h"

/** rollout_apply_rules() - Apply the rules of a new view to its targets and
 * services */
void rollout_apply_rules(tier_t *tier, const mc_registry_view_t *view);

/**
 * rollout_wants_canary() - Tell whether the version in a roll-out gets a part
 *
 * Only the first attempt of a part is sent to a version that is not proved; a
 * retry must not fail for the same reason.
 */
bool rollout_wants_canary(const service_t *service, const part_t *part);

/** rollout_is_canary() - Tell whether a target gets requests only by share */
bool rollout_is_canary(const service_t *service, const target_t *target);

/** rollout_count_send() - Count a request that is sent to a target */
void rollout_count_send(service_t *service, const target_t *target);

/** rollout_record_response() - Record a target's response to an attempt */
void rollout_record_response(tier_t *tier, const request_t *request,
			     const target_t *target, const attempt_t *attempt,
			     const mc_h1_message_t *message, bool failed);

/** rollout_record_cancel() - Record an attempt that was canceled */
void rollout_record_cancel(tier_t *tier, const request_t *request,
			   const target_t *target, const attempt_t *attempt);

#endif
