/*
 * Functions that end a request. Each finish_ function cancels its attempts and
 * has no effect on a request that has ended before. The request and its parts
 * stay readable until the end of the shard's turn.
 */
#ifndef MC_TIER_FINISH_H
#define MC_TIER_FINISH_H

#include "tier_private.h"

/** request_id() - Get the id of the caller's attempt for logs; "-" if absent */
const char *request_id(const request_t *request);

/** request_may_have_run() - Tell whether some target may have run the request
 * or a part of it */
bool request_may_have_run(const request_t *request);

/** finish_handed() - End a request that another instance handed over; @gone:
 * nobody wants it any more */
void finish_handed(request_t *request, bool gone);

/** finish_error() - End with an error of the tier; if the request may have run,
 * the error never promises that it has not */
void finish_error(request_t *request, mc_err_t reason);

/** finish_forward() - End with a target's response; @success: its status is a
 * success */
void finish_forward(request_t *request, const mc_h1_message_t *message,
		    bool success);

/** finish_failure() - End a request to one service after its last attempt has
 * failed: with the target's error response, or with an error of the tier */
void finish_failure(request_t *request, mc_retry_failure_t failure,
		    mc_err_t reason, const mc_h1_message_t *message,
		    const mc_tier_response_info_t *response);

/** finish_merge() - End with the merged records of the completed parts */
void finish_merge(request_t *request);

/** finish_caller_gone() - End without a response after the caller has
 * disconnected */
void finish_caller_gone(request_t *request);

#endif
