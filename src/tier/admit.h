/*
 * Which requests are refused before any target works for them.
 */
#ifndef MC_TIER_ADMIT_H
#define MC_TIER_ADMIT_H

#include "tier_private.h"

/**
 * admit_request() - Fail the parts of a new request that can't be sent soon
 * @request: the request, whose parts are all new
 *
 * Return: MC_OK if the request can still succeed with the others; else the
 * error to respond with.
 */
mc_err_t admit_request(request_t *request);

/**
 * admit_check_part() - Tell why a part can't be sent soon
 * @part: the part
 * @ahead: number of parts that are sent before it
 * @wait: receives when it may be possible, ms from now; 0 if unknown
 *
 * Return: the error to respond with; MC_OK if it may be sent or wait.
 */
mc_err_t admit_check_part(const part_t *part, uint32_t ahead, mc_ms_t *wait);

/**
 * admit_queue_refuses() - Tell whether a part would wait so long behind others
 * that it misses the goal of its request
 * @service: the part's service
 * @part: the part
 * @ahead: number of parts that are sent before it
 * @wait: receives how long it would wait, ms
 */
bool admit_queue_refuses(const service_t *service, const part_t *part,
			 uint32_t ahead, mc_ms_t *wait);

/** admit_set_return() - Tell the caller to come back @wait ms from now or
 * later, at another time than other callers */
void admit_set_return(request_t *request, mc_ms_t wait);

#endif
