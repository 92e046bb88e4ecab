/*
 * Public header of the front library: the role of the processes that accept
 * callers' requests. A front admits or refuses each request, pins a snapshot,
 * sends each shard's sub-query to a gather, merges the results and states the
 * coverage of each response.
 */
#ifndef MC_FRONT_H
#define MC_FRONT_H

#include "mc/process.h"

/** mc_front_ops() - Get the front's role operations for mc_process_run() */
const mc_role_ops_t *mc_front_ops(void);

#endif
