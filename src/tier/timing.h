/*
 * Deadlines, hedging and latency statistics of requests.
 */
#ifndef MC_TIER_TIMING_H
#define MC_TIER_TIMING_H

#include "tier_private.h"

/** timing_set_deadlines() - Set the goal time and the deadline of a request;
 * @first_byte: arrival of its first byte, ms */
void timing_set_deadlines(request_t *request, mc_ms_t first_byte);

/** timing_limit_deadline() - If the process is stopping, bring the deadline of
 * a request in flight forward to the end of the stop */
void timing_limit_deadline(request_t *request);

/** timing_overdue_reason() - Get the reason for which a request ends at its
 * deadline */
mc_err_t timing_overdue_reason(const request_t *request);

/** timing_schedule() - Set the request's timer for the next hedge, the goal or
 * the deadline, whichever is first */
void timing_schedule(request_t *request);

/** timing_part_done() - Adapt the hedges of a request to several services to
 * the parts that are done */
void timing_part_done(request_t *request);

/** timing_record_latency() - Record the target's latency of a request to one
 * service, ms */
void timing_record_latency(route_stats_t *stats, mc_ms_t latency);

/** timing_record_parts() - Record the latencies of the parts of a request to
 * several services when it ends */
void timing_record_parts(request_t *request);

#endif
