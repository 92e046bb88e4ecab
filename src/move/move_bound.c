/*
 * Confidence bounds of a failure rate that hold simultaneously for all sample
 * sizes, so that repeated looks at the growing counts don't accumulate error.
 *
 * For n samples of a constant rate p with the observed rate q, the mixture
 * martingale of the beta-binomial with a uniform prior and Ville's inequality
 * give P(for any n: n KL(q, p) > ln((n + 1) / delta)) <= delta.
 */
#include "move_defs.h"

#include <math.h>

enum {
	/* Number of bisection steps in the search for a bound. */
	BISECTIONS = 40,
};

/* ln(1 / delta) for delta = 1e-6. */
static const double LOG_CONFIDENCE = 13.8;

/* Kullback-Leibler divergence of Bernoulli distributions. */
static double divergence(double q, double p)
{
	double sum = 0;

	if (q > 0)
		sum += q * log(q / p);
	if (q < 1)
		sum += (1 - q) * log((1 - q) / (1 - p));
	return sum;
}

/*
 * Returns the rate between @q and @end that is farthest from @q but still
 * within the confidence limit.
 */
static double find_bound(double q, double end, uint64_t samples)
{
	double limit =
		(LOG_CONFIDENCE + log((double)samples + 1)) / (double)samples;
	double inside = q, outside = end, middle;
	int i;

	for (i = 0; i < BISECTIONS; i++) {
		middle = (inside + outside) / 2;
		if (divergence(q, middle) <= limit)
			inside = middle;
		else
			outside = middle;
	}
	return inside;
}

double mc_move_rate_lower(uint64_t hits, uint64_t samples)
{
	if (!hits)
		return 0;
	return find_bound((double)hits / (double)samples, 0, samples);
}

double mc_move_rate_upper(uint64_t hits, uint64_t samples)
{
	if (hits >= samples)
		return 1;
	return find_bound((double)hits / (double)samples, 1, samples);
}
