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
 * @smoothed: smoothed latency, ms
 * @watermark: low watermark of @smoothed, ms
 * @updated_at: time of the last sample, ms
 * @has_sample: whether there was a sample
 */
typedef struct mc_latency_t {
	double smoothed;
	double watermark;
	mc_ms_t updated_at;
	bool has_sample;
} mc_latency_t;

/**
 * mc_latency_add() - Add a sample
 * @latency: the latency
 * @sample: ms
 * @rise_time: time in which the watermark follows a lasting rise, ms
 * @now: ms
 */
void mc_latency_add(mc_latency_t *latency, mc_ms_t sample, mc_ms_t rise_time,
		    mc_ms_t now);

/**
 * mc_latency_is_near_watermark() - Return whether little is queued at the
 * target
 */
bool mc_latency_is_near_watermark(const mc_latency_t *latency);

/** mc_latency_is_high() - Return whether sub-queries queue at the target */
bool mc_latency_is_high(const mc_latency_t *latency);

/**
 * mc_latency_has_jumped() - Return whether latency is far above what queueing
 * explains
 */
bool mc_latency_has_jumped(const mc_latency_t *latency);

#endif
