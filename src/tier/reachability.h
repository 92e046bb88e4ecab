/*
 * Which services this instance reaches, and whether it is cut off from so many
 * that callers do better elsewhere.
 */
#ifndef MC_TIER_REACHABILITY_H
#define MC_TIER_REACHABILITY_H

#include "tier_private.h"

/** reach_service() - whether some target of it can be relied on now */
bool reach_service(tier_t *tier, const service_t *service);

/**
 * reach_enough() - whether enough of a request's services are reached
 *
 * False means that it is refused, which counts towards being cut off.
 */
bool reach_enough(tier_t *tier, const request_t *request);

/**
 * reach_cut_off() - whether too much is refused for want of reach
 *
 * It stays so until the routes that were refused are reached again.
 */
bool reach_cut_off(tier_t *tier);

/** reach_probe_soon() - a target is missed: find out when it is back */
void reach_probe_soon(tier_t *tier);

#endif
