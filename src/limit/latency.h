/*
 * Smoothed latency of a target, and its low watermark, which estimates the
 * latency without queueing. The watermark follows a fall of the latency at once
 * and a rise slowly.
 */
#ifndef MC_LIMIT_LATENCY_H
#define MC_LIMIT_LATENCY_H

#include "mc/base.h"

/**
 * struct mc_latency_t - latency of a target; zeroed initially
 * @smooth: smoothed latency, ms
 * @low: low watermark of @smooth, ms
 * @last: time of the last sample, ms
 * @known: whether there was a sample
 */
typedef struct mc_latency_t {
	double smooth;
	double low;
	mc_ms_t last;
	bool known;
} mc_latency_t;

/**
 * mc_latency_add() - Add a sample
 * @latency: the latency
 * @sample: ms
 * @forget: time in which the watermark follows a lasting rise, ms
 * @now: ms
 */
void mc_latency_add(mc_latency_t *latency, mc_ms_t sample, mc_ms_t forget,
		    mc_ms_t now);

/** mc_latency_is_near_low() - Return whether little is queued at the target */
bool mc_latency_near(const mc_latency_t *latency);

/** mc_latency_is_high() - Return whether sub-queries queue at the target */
bool mc_latency_high(const mc_latency_t *latency);

/**
 * mc_latency_has_jumped() - Return whether latency is far above what queueing
 * explains
 */
bool mc_latency_jumped(const mc_latency_t *latency);

#endif
