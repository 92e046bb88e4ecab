/*
 * Decides whether a failed request may be sent to another target. A request
 * that a target may already have run is repeated only if it is idempotent.
 */
#include "mc/again.h"

enum {
	/* Sends of one request to targets, whatever their outcome. */
	SENDS_MAX = 5,
};

bool mc_end_ran(mc_end_t failure)
{
	return failure == MC_END_FAILED || failure == MC_END_BROKEN;
}

mc_again_t mc_again(const mc_tries_t *attempts, mc_end_t failure)
{
	if (attempts->sends >= SENDS_MAX)
		return MC_AGAIN_NO;
	switch (failure) {
	case MC_END_NOT_SENT:
	case MC_END_REPLACED:
		return MC_AGAIN_FREE;
	case MC_END_REFUSED:
		return MC_AGAIN_PAID;
	case MC_END_FAILED:
	case MC_END_BROKEN:
		break;
	}
	if (!attempts->repeatable || attempts->runs >= attempts->runs_max)
		return MC_AGAIN_NO;
	return MC_AGAIN_PAID;
}
