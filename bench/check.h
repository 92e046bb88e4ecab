/*
 * Reads answers after a load: times, coverage, refusals, and whether what an
 * answer claims is what its hits and the targets show.
 */
#ifndef BENCH_CHECK_H
#define BENCH_CHECK_H

#include "cluster.h"
#include "load.h"
#include "result.h"

/**
 * check_answers() - fill the columns of @result that come from answers
 * @cluster: the installation that answered
 * @load: the load
 * @lost: shard of a target whose counts were lost as it was killed, or -1
 * @result: the row to fill
 */
void check_answers(const cluster_t *cluster, const load_result_t *load,
		   int lost, result_t *result);

/** check_runs() - count the keys that ran more than once */
void check_runs(const cluster_t *cluster, const load_result_t *load,
		result_t *result);

#endif
