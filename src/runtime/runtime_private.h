/*
 * The shards of a process, and what runtime.c and shutdown.c share.
 */
#ifndef RUNTIME_PRIVATE_H
#define RUNTIME_PRIVATE_H

#include <signal.h>

#include "mc/runtime.h"

struct mc_runtime_t {
	mc_runtime_params_t params;
	mc_shard_t *control;
	mc_shard_t *shards[MC_RUNTIME_SHARDS_MAX];
	void *states[MC_RUNTIME_SHARDS_MAX];
	/* Calls of the role's functions that were posted and have not ended;
	 * atomic. */
	uint32_t pending_calls;
};

/** runtime_wait_signal() - Wait at most @wait ms for a signal; return its
 * number, or 0 */
int runtime_wait_signal(const sigset_t *signals, mc_ms_t wait);

/** shutdown_run() - Shut the process down gracefully; its shards still run
 * afterwards */
void shutdown_run(mc_runtime_t *runtime, const sigset_t *signals);

#endif
