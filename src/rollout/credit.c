/*
 * Each request to the service adds the share to the credit, and each request to
 * the version takes 1 of it. The sum over all senders then keeps to the share
 * of all requests, however many senders there are and however uneven their
 * traffic is.
 */
#include "mc/rollout.h"

/* Most requests that may be saved up. */
static const double credit_max = 2;

void mc_rollout_credit_start(mc_rollout_credit_t *credit, double part)
{
	credit->credit = part;
}

bool mc_rollout_credit_allows(const mc_rollout_credit_t *credit)
{
	return credit->credit >= 1;
}

void mc_rollout_credit_count(mc_rollout_credit_t *credit, double share,
			     bool is_new)
{
	credit->credit += share;
	if (credit->credit > credit_max)
		credit->credit = credit_max;
	if (is_new)
		credit->credit -= 1;
}
