/*
 * One token a request; at most one is saved up, so that no second sees more
 * than the rate and one.
 */
#include "mc/token_bucket.h"

#include <math.h>

enum {
	MS_PER_S = 1000,
	/* Without a rate nothing leaves; asked again after this, ms. */
	NO_RATE_WAIT_MS = 1000,
};

mc_ms_t mc_token_bucket_wait(mc_token_bucket_t *pace, double rate, mc_ms_t now)
{
	double gained = (double)(now - pace->updated_at) * rate / MS_PER_S;

	if (now > pace->updated_at) {
		pace->tokens = fmin(pace->tokens + gained, 1);
		pace->updated_at = now;
	}
	if (pace->tokens >= 1)
		return 0;
	if (rate <= 0)
		return NO_RATE_WAIT_MS;
	return (mc_ms_t)ceil((1 - pace->tokens) * MS_PER_S / rate);
}

void mc_token_bucket_take(mc_token_bucket_t *pace)
{
	pace->tokens -= 1;
}
