/*
 * Public header of the front: the process that faces callers. It admits or
 * refuses, pins a snapshot, plans which gather gets which shard, merges, and
 * states the coverage of each answer.
 */
#ifndef MC_FRONT_H
#define MC_FRONT_H

#include "mc/process.h"

/** mc_front_ops() - the role, for mc_process_run() */
const mc_role_ops_t *mc_front_ops(void);

#endif
