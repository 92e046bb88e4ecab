/*
 * Public header of the gather library: the role of the processes that send
 * requests to targets. A gather receives sub-queries from fronts, keeps within
 * the limits of the targets that it owns, and returns the results.
 */
#ifndef MC_GATHER_H
#define MC_GATHER_H

#include "mc/process.h"

/** mc_gather_ops() - Get the gather's role operations for mc_process_run() */
const mc_role_ops_t *mc_gather_ops(void);

#endif
