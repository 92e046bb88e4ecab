/*
 * A request whose run is in doubt is repeated only where that does no harm.
 */
#include "mc/again.h"

enum {
	/* Targets that one request is meant for, however they end. */
	SENDS_MAX = 5,
};

bool mc_end_ran(mc_end_t end)
{
	return end == MC_END_FAILED || end == MC_END_BROKEN;
}

mc_again_t mc_again(const mc_tries_t *tries, mc_end_t end)
{
	if (tries->sends >= SENDS_MAX)
		return MC_AGAIN_NO;
	switch (end) {
	case MC_END_NOT_SENT:
	case MC_END_REPLACED:
		return MC_AGAIN_FREE;
	case MC_END_REFUSED:
		return MC_AGAIN_PAID;
	case MC_END_FAILED:
	case MC_END_BROKEN:
		break;
	}
	if (!tries->repeatable || tries->runs >= tries->runs_max)
		return MC_AGAIN_NO;
	return MC_AGAIN_PAID;
}
