/*
 * Which services this instance can reach, and whether it is cut off from so
 * many that callers should use another instance.
 */
#ifndef MC_TIER_REACHABILITY_H
#define MC_TIER_REACHABILITY_H

#include "tier_private.h"

/** reachability_has_target() - Tell whether some target of @service is
 * reachable now */
bool reachability_has_target(tier_t *tier, const service_t *service);

/**
 * reachability_check_request() - Check that enough of a request's services are
 * reachable
 *
 * Return: false if the request must be refused; this counts towards the
 * isolation of the instance.
 */
bool reachability_check_request(tier_t *tier, const request_t *request);

/**
 * reachability_is_cut_off() - Tell whether too many requests were refused
 * because their targets were unreachable
 *
 * Stays true until the routes of the refused requests are reachable again.
 */
bool reachability_is_cut_off(tier_t *tier);

/** reachability_is_silent() - Tell whether an attempt has waited for long
 * without any response of its target, to it or to another one */
bool reachability_is_silent(const target_t *target, const attempt_t *attempt,
			    mc_ms_t now);

/** reachability_schedule_probe() - Schedule probes of unresponsive targets, to
 * detect when they are back */
void reachability_schedule_probe(tier_t *tier);

#endif
