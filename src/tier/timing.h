/*
 * What is due for a request, and when.
 */
#ifndef MC_TIER_TIMING_H
#define MC_TIER_TIMING_H

#include "tier_private.h"

/** timing_set() - goal and end of a request whose first byte came then, ms */
void timing_set_deadlines(request_t *request, mc_ms_t first_byte);

/** timing_schedule() - set the timer for what is due first */
void timing_schedule(request_t *request);

/** timing_learn() - a single request's target took so long, ms */
void timing_record_latency(route_stats_t *stats, mc_ms_t latency);

/** timing_learn_parts() - a request to several services ends */
void timing_record_parts(request_t *request);

#endif
