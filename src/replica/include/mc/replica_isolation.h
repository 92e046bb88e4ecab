/*
 * Whether an instance is cut off from so many targets that callers should use
 * another one. Performs no I/O.
 */
#ifndef MC_REPLICA_ISOLATION_H
#define MC_REPLICA_ISOLATION_H

#include "mc/base.h"

/**
 * struct mc_replica_isolation_t - isolation state of an instance;
 * zero-initialized
 * @cut_off: the instance is cut off
 * @requests: recent requests; halved at intervals, so that older ones count
 *	less
 * @unreachable: those of them whose targets could not be reached
 * @decayed_at: when both counts were last halved, ms
 */
typedef struct mc_replica_isolation_t {
	bool cut_off;
	double requests;
	double unreachable;
	mc_ms_t decayed_at;
} mc_replica_isolation_t;

/**
 * mc_replica_isolation_record() - Record a request
 * @isolation: isolation state
 * @reachable: enough of the targets that the request needs are reachable
 * @now: time, ms
 */
void mc_replica_isolation_record(mc_replica_isolation_t *isolation,
				 bool reachable, mc_ms_t now);

/**
 * mc_replica_isolation_update() - Re-evaluate whether the instance is cut off
 * @isolation: isolation state
 * @still_unreachable: some targets needed by the refused requests are still
 *	unreachable
 * @now: time, ms
 *
 * When the instance is no longer cut off, the counts are reset: only later
 * requests can lead to another isolation.
 *
 * Return: true if @isolation->cut_off has changed.
 */
bool mc_replica_isolation_update(mc_replica_isolation_t *isolation,
				 bool still_unreachable, mc_ms_t now);

/**
 * mc_replica_silence_max() - Get how long a target that is reachable may be
 * silent while it has a request
 * @typical: typical latency of this kind of request, ms; 0 if unknown
 * @goal: latency goal of the request, ms
 *
 * Work that takes long is no silence: a target that is at work on several
 * requests of the same kind responds to none for as long as one takes.
 *
 * Return: ms.
 */
mc_ms_t mc_replica_silence_max(double typical, mc_ms_t goal);

#endif
