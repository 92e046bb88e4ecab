/*
 * Requests and extras are counted in slots. The newest slot is under way, so
 * that all slots together cover a whole window whenever it is looked at.
 * Requests are counted without the oldest slot, as it may be out of the window.
 */
#include "mc/retry_window.h"

#include <string.h>

enum {
	SLOTS = MC_RETRY_WINDOW_SLOTS + 1,
};

/* Part of the slack that a holder has at once: that of one before it, killed in
 * the same window, may be used up. */
static const double slack_at_first = 0.25;

/* Moves on to the slot of @now; what is between is empty. */
static void turn(mc_retry_window_t *extras,
		 const mc_retry_window_limit_t *limit, mc_ms_t now)
{
	int64_t slot =
		(now - limit->start) * MC_RETRY_WINDOW_SLOTS / limit->window;

	if (slot - extras->slot >= SLOTS) {
		memset(extras->requests, 0, sizeof(extras->requests));
		memset(extras->extras, 0, sizeof(extras->extras));
		extras->slot = slot;
	}
	while (extras->slot < slot) {
		extras->slot++;
		extras->requests[extras->slot % SLOTS] = 0;
		extras->extras[extras->slot % SLOTS] = 0;
	}
}

void mc_retry_window_deposit(mc_retry_window_t *extras,
			     const mc_retry_window_limit_t *limit, mc_ms_t now)
{
	turn(extras, limit, now);
	extras->requests[extras->slot % SLOTS]++;
}

bool mc_retry_window_withdraw(mc_retry_window_t *extras,
			      const mc_retry_window_limit_t *limit, mc_ms_t now)
{
	uint64_t requests = 0, sent = 0;
	double age, slack = limit->slack;
	uint32_t i;

	turn(extras, limit, now);
	age = (double)(now - limit->start) / (double)limit->window;
	if (age < 1)
		slack *= slack_at_first + (1 - slack_at_first) * age;
	for (i = 0; i < SLOTS; i++) {
		if (i != (extras->slot + 1) % SLOTS)
			requests += extras->requests[i];
		sent += extras->extras[i];
	}
	if ((double)(sent + 1) > limit->ratio * (double)requests + slack)
		return false;
	extras->extras[extras->slot % SLOTS]++;
	return true;
}

void mc_retry_window_refund(mc_retry_window_t *extras)
{
	if (extras->extras[extras->slot % SLOTS])
		extras->extras[extras->slot % SLOTS]--;
}
