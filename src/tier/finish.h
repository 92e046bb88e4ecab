/*
 * Ends of a request. The request is freed by each of them, with what was sent
 * for it.
 */
#ifndef MC_TIER_FINISH_H
#define MC_TIER_FINISH_H

#include "tier_private.h"

/** request_id() - id of the caller's attempt, for logs */
const char *request_id(const request_t *request);

/** end_may_have_run() - whether some target may have run a part of it */
bool end_may_have_run(const request_t *request);

/** end_refused() - with an error; what may have run is never told to be not
 * run */
void end_refused(request_t *request, mc_err_t reason);

/** end_forwarded() - with a target's answer; @served: it is a success */
void end_forwarded(request_t *request, const mc_h1_message_t *message,
		   bool served);

/** end_failed() - with the target's failure, or with ours */
void end_failed(request_t *request, mc_retry_failure_t end, mc_err_t reason,
		const mc_h1_message_t *message,
		const mc_tier_response_info_t *reply);

/** end_merged() - with the records of the parts that are in */
void end_merged(request_t *request);

/** end_gone() - its caller has gone, so there is no answer */
void end_gone(request_t *request);

#endif
