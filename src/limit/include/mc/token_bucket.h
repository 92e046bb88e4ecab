/*
 * Token bucket that limits the request rate to a cold target to this instance's
 * part of what the target can handle. Pure: time is passed in.
 */
#ifndef MC_TOKEN_BUCKET_H
#define MC_TOKEN_BUCKET_H

#include "mc/base.h"

/**
 * struct mc_token_bucket_t - a token bucket; a zeroed one is empty at time 0
 * @tokens: requests that may be sent at @updated_at; at most 1
 * @updated_at: when @tokens was computed, ms
 */
typedef struct mc_token_bucket_t {
	double tokens;
	mc_ms_t updated_at;
} mc_token_bucket_t;

/**
 * mc_token_bucket_wait() - Refill and return the time until a token is
 * available
 * @rate: requests per second
 *
 * Return: ms; 0 when a token is available.
 */
mc_ms_t mc_token_bucket_wait(mc_token_bucket_t *bucket, double rate,
			     mc_ms_t now);

/** mc_token_bucket_take() - Take a token for a request */
void mc_token_bucket_take(mc_token_bucket_t *bucket);

#endif
