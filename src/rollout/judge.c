/*
 * Compares the outcomes of two versions. The rate of failures, and that of slow
 * answers, that the old version had in the same time is what the new one is
 * expected to have, so that faults which hit both count against neither.
 */
#include "mc/rollout.h"

#include <math.h>

enum {
	/* Samples that the old version's rates are smoothed with. */
	PRIOR_SAMPLES = 10,
	/* Fewer failures or slow answers may be chance. */
	FAILED_MIN = 3,
	SLOW_MIN = 5,
	/* A version with this many answers is proved on a route. */
	PROVED_MIN = 8,
};

/* Allowed beyond the old version's rate. */
static const double failed_margin = 0.02;
static const double slow_margin = 0.05;
static const double slow_factor = 1.25;
/* Probability below which a number of failures or slow answers is not chance.
 */
static const double chance_failed = 1e-3;
static const double chance_slow = 1e-4;
/* The same for a good version, which must not even look worse. */
static const double good_failed_margin = 0.01;
static const double good_chance = 0.05;
/* Part of the answers expected from the share that must have come. */
static const double expected_part = 0.3;

static double smoothed_rate(uint32_t hits, uint32_t samples)
{
	return (hits + 0.5) / (samples + (double)PRIOR_SAMPLES);
}

/* Probability of @hits or more among @samples at a rate of @rate each. */
static double binomial_tail(uint32_t hits, uint32_t samples, double rate)
{
	double log_term, sum = 0;
	uint32_t i;

	if (rate >= 1)
		return 1;
	for (i = hits; i <= samples; i++) {
		log_term = lgamma(samples + 1.0) - lgamma(i + 1.0) -
			   lgamma(samples - i + 1.0) + i * log(rate) +
			   (samples - i) * log1p(-rate);
		sum += exp(log_term);
	}
	return sum;
}

static bool is_worse(const mc_rollout_counts_t *old,
		     const mc_rollout_counts_t *new)
{
	double failed =
		smoothed_rate(old->failed, old->answered) + failed_margin;
	double slow = smoothed_rate(old->slow, old->answered) * slow_factor +
		      slow_margin;

	if (new->failed >= FAILED_MIN &&
	    binomial_tail(new->failed, new->answered, failed) < chance_failed)
		return true;
	return new->slow >= SLOW_MIN &&binomial_tail(new->slow, new->answered,
						     slow) < chance_slow;
}

static bool is_good(const mc_rollout_counts_t *old,
		    const mc_rollout_counts_t *new, double share)
{
	double failed =
		smoothed_rate(old->failed, old->answered) + good_failed_margin;
	double slow = smoothed_rate(old->slow, old->answered) * slow_factor +
		      slow_margin;
	double required =
		fmin(PROVED_MIN, old->answered * share * expected_part);

	if (new->answered < floor(required))
		return false;
	return binomial_tail(new->failed, new->answered, failed) >=
		       good_chance &&
	       binomial_tail(new->slow, new->answered, slow) >= good_chance;
}

mc_rollout_verdict_t mc_rollout_judge(const mc_rollout_counts_t *old,
				      const mc_rollout_counts_t *new,
				      double share)
{
	if (is_worse(old, new))
		return MC_ROLLOUT_WORSE;
	return is_good(old, new, share) ? MC_ROLLOUT_GOOD : MC_ROLLOUT_UNPROVED;
}
