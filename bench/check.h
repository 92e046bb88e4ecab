/*
 * Evaluates the answers after a load has ended: latencies, coverage, errors,
 * and whether the coverage that an answer states agrees with its hits and with
 * the counters of the targets.
 */
#ifndef BENCH_CHECK_H
#define BENCH_CHECK_H

#include "cluster.h"
#include "load.h"
#include "result.h"

/**
 * check_answers() - Check all answers and fill the columns derived from them.
 * @cluster: the installation that answered; must still be running
 * @load: the load that has ended
 * @killed_shard: shard of a target that was killed during the load and so lost
 *	its counters; -1 for none
 * @result: the row to fill
 */
void check_answers(const cluster_t *cluster, const load_result_t *load,
		   int killed_shard, result_t *result);

/**
 * count_duplicate_runs() - Count the keys that targets ran more than once.
 * @cluster: the installation that answered; must still be running
 * @load: the load that has ended
 * @result: receives the number of keys and of duplicates
 */
void count_duplicate_runs(const cluster_t *cluster, const load_result_t *load,
			  result_t *result);

#endif
