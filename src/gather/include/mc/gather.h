/*
 * Public header of the gather: the process that faces targets. It takes
 * sub-queries from fronts, keeps to the limits of the targets that it owns, and
 * sends results back.
 */
#ifndef MC_GATHER_H
#define MC_GATHER_H

#include "mc/process.h"

/** mc_gather_ops() - the role, for mc_process_run() */
const mc_role_ops_t *mc_gather_ops(void);

#endif
