/*
 * The latency of a target, smoothed, and its low watermark: what it is without
 * queueing. The watermark falls at once and forgets slowly.
 */
#ifndef MC_LIMIT_LATENCY_H
#define MC_LIMIT_LATENCY_H

#include "mc/base.h"

/**
 * struct mc_latency_t - zeroed at the start
 * @smooth: smoothed latency, ms
 * @low: low watermark of @smooth, ms
 * @last: time of the last sample, ms
 * @known: there was a sample
 */
typedef struct mc_latency_t {
	double smooth;
	double low;
	mc_ms_t last;
	bool known;
} mc_latency_t;

/**
 * mc_latency_add() - add a sample
 * @latency: the latency
 * @sample: ms
 * @forget: time in which the watermark follows a lasting change, ms
 * @now: ms
 */
void mc_latency_add(mc_latency_t *latency, mc_ms_t sample, mc_ms_t forget,
		    mc_ms_t now);

/** mc_latency_near() - the target queues little */
bool mc_latency_near(const mc_latency_t *latency);

/** mc_latency_high() - the target queues */
bool mc_latency_high(const mc_latency_t *latency);

/** mc_latency_jumped() - far above what queueing explains */
bool mc_latency_jumped(const mc_latency_t *latency);

#endif
