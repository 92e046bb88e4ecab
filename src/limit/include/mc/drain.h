/*
 * How fast the requests of a service end, as this sender sees it, and how long
 * a request would thus wait behind others. Pure: time is passed in.
 *
 * Answers a load that is larger than what the targets bear: whoever would wait
 * for longer than the goal leaves time for is better told at once to come back.
 */
#ifndef MC_DRAIN_H
#define MC_DRAIN_H

#include "mc/base.h"

/**
 * struct mc_drain_t - rate at which requests end; a zeroed one has seen none
 * @count: requests that have ended lately, older ones weighted less
 * @updated_at: time of the last of them, ms
 */
typedef struct mc_drain_t {
	double count;
	mc_ms_t updated_at;
} mc_drain_t;

/** mc_drain_record() - Record that a request has ended */
void mc_drain_record(mc_drain_t *drain, mc_ms_t now);

/**
 * mc_drain_wait() - Estimate how long it takes until others have been sent
 * @drain: the rate
 * @ahead: number of requests that wait and are sent before
 * @in_flight: requests of this sender at the targets
 * @latency: how long a target usually takes, ms; 0 if that is unknown
 * @now: ms
 *
 * Requests in flight end within their latency, so that the rate at the start of
 * a burst is more than what was seen before it.
 *
 * Return: ms; 0 while nothing is known.
 */
mc_ms_t mc_drain_wait(const mc_drain_t *drain, uint32_t ahead,
		      uint32_t in_flight, double latency, mc_ms_t now);

/**
 * mc_drain_refuses() - Whether a request should be refused rather than wait
 * @wait: how long it would wait, ms
 * @latency: how long a target usually takes, ms
 * @left: time until the goal, ms
 */
bool mc_drain_refuses(mc_ms_t wait, double latency, mc_ms_t left);

#endif
