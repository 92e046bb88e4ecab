/*
 * Counts the requests of customers that targets have begun: once for each
 * request, when a target's response, the loss of its connection or a cancelled
 * attempt first shows that it may have run. Data shards hand them to the
 * reporter on the control shard.
 */
#ifndef MC_TIER_USAGE_H
#define MC_TIER_USAGE_H

#include "tier_private.h"

/** usage_init() - Create the reporter where the settings ask for one */
mc_err_t usage_init(tier_process_t *process);

/** usage_free() - Free what was not handed over */
void usage_free(tier_t *tier);

/** usage_count_request() - Count a request that a target may have begun with
 * @attempt, unless it was counted before */
void usage_count_request(request_t *request, const attempt_t *attempt);

/** usage_drain() - Hand over counts as soon as possible, as the process stops
 */
void usage_drain(tier_t *tier);

#endif
