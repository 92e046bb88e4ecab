/*
 * Decides whether a failed request may be sent to another target. A request
 * that a target may already have run is repeated only if it is idempotent.
 */
#include "mc/retry_decision.h"

enum {
	/* Maximum number of sends of one request, whatever their outcome. */
	SENDS_MAX = 5,
};

bool mc_retry_may_have_run(mc_retry_failure_t failure)
{
	return failure == MC_RETRY_FAILURE_ERROR ||
	       failure == MC_RETRY_FAILURE_CONNECTION_LOST;
}

mc_retry_decision_t mc_retry_decide(const mc_retry_attempts_t *attempts,
				    mc_retry_failure_t failure)
{
	if (attempts->sends >= SENDS_MAX)
		return MC_RETRY_NO;
	switch (failure) {
	case MC_RETRY_FAILURE_NOT_SENT:
	case MC_RETRY_FAILURE_REPLACED:
		return MC_RETRY_FREE;
	case MC_RETRY_FAILURE_REFUSED:
		return MC_RETRY_BUDGETED;
	case MC_RETRY_FAILURE_CONNECTION_LOST:
		/* At the limit, the same target may get it again. */
		return attempts->idempotent ? MC_RETRY_BUDGETED : MC_RETRY_NO;
	case MC_RETRY_FAILURE_ERROR:
		break;
	}
	if (!attempts->idempotent || attempts->runs >= attempts->runs_max)
		return MC_RETRY_NO;
	return MC_RETRY_BUDGETED;
}
