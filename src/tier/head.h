/*
 * Request heads sent to targets, and hop-by-hop headers.
 */
#ifndef MC_TIER_HEAD_H
#define MC_TIER_HEAD_H

#include "tier_private.h"

/** head_build() - Build the request's head for targets from its message */
mc_err_t head_build(request_t *request);

/** head_is_hop_by_hop() - Tell whether the header @name applies to a single
 * connection and must not be forwarded */
bool head_is_hop_by_hop(const mc_h1_message_t *message, const char *name);

#endif
