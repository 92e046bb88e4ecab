/*
 * Whether an instance is cut off from so many targets that callers do better at
 * another one. Pure.
 */
#ifndef MC_REPLICA_ISOLATION_H
#define MC_REPLICA_ISOLATION_H

#include "mc/base.h"

/**
 * struct mc_belief_t - zeroed at the start
 * @cut_off: it is
 * @recent: requests, of which those count less that are longer ago
 * @lacking: those of them that lacked reach
 * @faded: when both were last halved, ms
 */
typedef struct mc_replica_isolation_t {
	bool cut_off;
	double requests;
	double unreachable;
	mc_ms_t decayed_at;
} mc_replica_isolation_t;

/** mc_belief_note() - a request came; @enough: what it needs is reached */
void mc_replica_isolation_record(mc_replica_isolation_t *belief, bool enough,
				 mc_ms_t now);

/**
 * mc_belief_update() - what is to be believed now
 * @belief: so far; it is read by the caller where a change is logged
 * @still_lacking: some of what was refused for want of reach still lacks it
 * @now: time, ms
 *
 * What led to being cut off is forgotten once that is over: only requests that
 * come after it can lead to it again.
 *
 * Return: true when @belief->cut_off has changed.
 */
bool mc_replica_isolation_update(mc_replica_isolation_t *belief,
				 bool still_lacking, mc_ms_t now);

#endif
