/*
 * Which failures of a sub-query are worth another try at another replica.
 */
#include "mc/retry.h"

enum {
	/* Most sub-queries for one shard, the first one too. */
	TRIES_MAX = 3,
	/* Time below which no further sub-query can be answered, ms. */
	TIME_LEFT_MIN_MS = 2,
};

bool mc_retry_is_eligible(mc_err_t reason, uint32_t tries, mc_ms_t time_left)
{
	static const bool wanted[MC_ERR_COUNT] = {
		[MC_ERR_OVERLOADED] = true,
		[MC_ERR_TARGET_LIMITED] = true,
		[MC_ERR_TARGET_SHED] = true,
		[MC_ERR_TARGET_DRAINING] = true,
		[MC_ERR_TARGET_FAILED] = true,
		[MC_ERR_NO_SNAPSHOT] = true,
		[MC_ERR_WRONG_SNAPSHOT] = true,
		[MC_ERR_NOT_OWNER] = true,
		[MC_ERR_DATA_CENTER_OUT] = true,
		[MC_ERR_STOPPING] = true,
		[MC_ERR_NOT_READY] = true,
		[MC_ERR_NO_MEMORY] = true,
		[MC_ERR_FULL] = true,
		[MC_ERR_IO] = true,
		[MC_ERR_TIMED_OUT] = true,
	};

	return (unsigned)reason < MC_ERR_COUNT && wanted[reason] &&
	       tries < TRIES_MAX && time_left >= TIME_LEFT_MIN_MS;
}
