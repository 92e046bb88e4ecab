/*
 * Heads of requests and which header lines concern one connection only.
 */
#ifndef MC_TIER_HEAD_H
#define MC_TIER_HEAD_H

#include "tier_private.h"

/** head_make() - set the request's head from its message */
mc_err_t head_build(request_t *request);

/** head_is_hop() - whether the header @name concerns one connection only */
bool head_is_hop_by_hop(const mc_h1_message_t *message, const char *name);

#endif
