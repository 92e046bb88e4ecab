/*
 * Paces of cold targets: requests a second, from one instance's part of what
 * the target bears. Pure.
 */
#ifndef MC_TOKEN_BUCKET_H
#define MC_TOKEN_BUCKET_H

#include "mc/base.h"

/**
 * struct mc_pace_t - a pace; zeroed, it lets nothing out before a second's part
 * has come together
 * @tokens: requests that may leave at @at
 * @at: ms
 */
typedef struct mc_token_bucket_t {
	double tokens;
	mc_ms_t updated_at;
} mc_token_bucket_t;

/**
 * mc_pace_wait() - how long until one more request may leave
 * @rate: requests a second
 *
 * Return: ms; 0 for now.
 */
mc_ms_t mc_token_bucket_wait(mc_token_bucket_t *pace, double rate, mc_ms_t now);

/** mc_pace_take() - a request leaves */
void mc_token_bucket_take(mc_token_bucket_t *pace);

#endif
