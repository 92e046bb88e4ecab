/*
 * A request whose run is in doubt is repeated only where that does no harm.
 */
#include "mc/retry_decision.h"

enum {
	/* Targets that one request is meant for, however they end. */
	SENDS_MAX = 5,
};

bool mc_retry_may_have_run(mc_retry_failure_t end)
{
	return end == MC_RETRY_FAILURE_ERROR ||
	       end == MC_RETRY_FAILURE_CONNECTION_LOST;
}

mc_retry_decision_t mc_retry_decide(const mc_retry_attempts_t *tries,
				    mc_retry_failure_t end)
{
	if (tries->sends >= SENDS_MAX)
		return MC_RETRY_NO;
	switch (end) {
	case MC_RETRY_FAILURE_NOT_SENT:
	case MC_RETRY_FAILURE_REPLACED:
		return MC_RETRY_FREE;
	case MC_RETRY_FAILURE_REFUSED:
		return MC_RETRY_BUDGETED;
	case MC_RETRY_FAILURE_ERROR:
	case MC_RETRY_FAILURE_CONNECTION_LOST:
		break;
	}
	if (!tries->idempotent || tries->runs >= tries->runs_max)
		return MC_RETRY_NO;
	return MC_RETRY_BUDGETED;
}
