/*
 * One token per request. At most one token is saved up, so that no second sees
 * more than the rate plus one request.
 */
#include "mc/token_bucket.h"

#include <math.h>

enum {
	MS_PER_S = 1000,
	/*
	 * With a rate of 0 no request may be sent; the caller checks again
	 * after this time, ms.
	 */
	NO_RATE_WAIT_MS = 1000,
};

mc_ms_t mc_token_bucket_wait(mc_token_bucket_t *bucket, double rate,
			     mc_ms_t now)
{
	double gained = (double)(now - bucket->updated_at) * rate / MS_PER_S;

	if (now > bucket->updated_at) {
		bucket->tokens = fmin(bucket->tokens + gained, 1);
		bucket->updated_at = now;
	}
	if (bucket->tokens >= 1)
		return 0;
	if (rate <= 0)
		return NO_RATE_WAIT_MS;
	return (mc_ms_t)ceil((1 - bucket->tokens) * MS_PER_S / rate);
}

void mc_token_bucket_take(mc_token_bucket_t *bucket)
{
	bucket->tokens -= 1;
}
