/*
 * Sliding-window retry budget. Requests and extra requests are counted in time
 * slots kept in a ring. The newest slot is still filling, so the ring has one
 * slot more than a window and always covers a full window. The oldest slot may
 * lie partly outside the window: its extra requests are counted, its requests
 * are not, which keeps the limit strict.
 * Requests are counted by their rank, to know which ranks there are.
 */
#include "mc/retry_window.h"

#include <math.h>
#include <string.h>

enum {
	SLOTS = MC_RETRY_WINDOW_SLOTS + 1,
};

/* Fraction of the slack available right after the start. A killed predecessor
 * may have used up its slack in the same window. */
static const double initial_slack = 0.25;

/* Extra requests left to more urgent ranks, and the largest fraction of the
 * budget that this may be. */
static const double left_max = 1;
static const double left_fraction_max = 0.125;

static uint64_t count_extras(const mc_retry_window_t *window)
{
	uint64_t count = 0;
	uint32_t i;

	for (i = 0; i < SLOTS; i++)
		count += window->extras[i];
	return count;
}

static int64_t slot_at(const mc_retry_window_limit_t *limit, mc_ms_t length,
		       mc_ms_t at)
{
	return (at - limit->start) * MC_RETRY_WINDOW_SLOTS / length;
}

/* The length of the window has changed: counts by slot say nothing of the new
 * slots. All extra requests are counted as if sent now, and no requests. */
static void change_length(mc_retry_window_t *window, int64_t slot)
{
	uint32_t extras = (uint32_t)count_extras(window);

	memset(window->requests, 0, sizeof(window->requests));
	memset(window->extras, 0, sizeof(window->extras));
	window->slot = slot;
	window->extras[slot % SLOTS] = extras;
}

/* Advances to the slot that contains @now and clears the slots skipped. */
static void advance_slot(mc_retry_window_t *window,
			 const mc_retry_window_limit_t *limit, mc_ms_t now)
{
	int64_t slot = slot_at(limit, limit->window, now);

	if (window->length && window->length != limit->window) {
		change_length(window, slot);
		window->length_since = now;
	}
	window->length = limit->window;
	if (slot - window->slot >= SLOTS) {
		memset(window->requests, 0, sizeof(window->requests));
		memset(window->extras, 0, sizeof(window->extras));
		window->slot = slot;
	}
	while (window->slot < slot) {
		window->slot++;
		memset(window->requests[window->slot % SLOTS], 0,
		       sizeof(window->requests[0]));
		window->extras[window->slot % SLOTS] = 0;
	}
}

static uint32_t count_as(uint32_t rank)
{
	return rank < MC_RETRY_WINDOW_RANKS ? rank : MC_RETRY_WINDOW_RANKS - 1;
}

double mc_retry_window_rounding(uint32_t owner, uint32_t owners, uint64_t key)
{
	if (!owners)
		return 0;
	return (double)((owner % owners + key % owners) % owners) / owners;
}

void mc_retry_window_deposit(mc_retry_window_t *window,
			     const mc_retry_window_limit_t *limit,
			     uint32_t rank, mc_ms_t now)
{
	advance_slot(window, limit, now);
	window->requests[window->slot % SLOTS][count_as(rank)]++;
}

/* Requests of the window whose rank is before @end; without those of the oldest
 * slot. */
static uint64_t count_requests(const mc_retry_window_t *window, uint32_t end)
{
	uint64_t count = 0;
	uint32_t i, rank;

	for (i = 0; i < SLOTS; i++)
		for (rank = 0; i != (window->slot + 1) % SLOTS && rank < end;
		     rank++)
			count += window->requests[i][rank];
	return count;
}

/* Extra requests that the window's requests allow. */
static double allowed_extras(const mc_retry_window_t *window,
			     const mc_retry_window_limit_t *limit, mc_ms_t now)
{
	double age = (double)(now - limit->start) / (double)limit->window;
	double requests = (double)count_requests(window, MC_RETRY_WINDOW_RANKS);
	double slack = limit->slack;

	if (age < 1)
		slack *= initial_slack + (1 - initial_slack) * age;
	return limit->ratio * requests + slack + limit->rounding;
}

static double left_to_more_urgent(const mc_retry_window_t *window,
				  uint32_t rank, double allowed)
{
	if (!count_requests(window, count_as(rank)))
		return 0;
	return fmin(left_max, allowed * left_fraction_max);
}

bool mc_retry_window_withdraw(mc_retry_window_t *window,
			      const mc_retry_window_limit_t *limit,
			      const mc_retry_window_ask_t *ask, mc_ms_t now)
{
	double allowed, keep;

	advance_slot(window, limit, now);
	allowed = allowed_extras(window, limit, now);
	keep = fmax(ask->keep, left_to_more_urgent(window, ask->rank, allowed));
	if ((double)(count_extras(window) + 1) + keep > allowed)
		return false;
	window->extras[window->slot % SLOTS]++;
	return true;
}

void mc_retry_window_charge(mc_retry_window_t *window,
			    const mc_retry_window_limit_t *limit, mc_ms_t now)
{
	advance_slot(window, limit, now);
	window->extras[window->slot % SLOTS]++;
}

/* What was withdrawn before the length changed stays counted, as its slot is
 * not known any more. */
void mc_retry_window_refund(mc_retry_window_t *window,
			    const mc_retry_window_limit_t *limit,
			    mc_ms_t withdrawn_at)
{
	uint32_t *extras;
	int64_t slot;

	if (!window->length || withdrawn_at < window->length_since)
		return;
	slot = slot_at(limit, window->length, withdrawn_at);
	if (slot <= window->slot - SLOTS || slot > window->slot)
		return;
	extras = &window->extras[slot % SLOTS];
	if (*extras)
		(*extras)--;
}

void mc_retry_window_send(mc_retry_window_t *window,
			  const mc_retry_window_limit_t *limit,
			  mc_ms_t withdrawn_at, mc_ms_t now)
{
	advance_slot(window, limit, now);
	mc_retry_window_refund(window, limit, withdrawn_at);
	window->extras[window->slot % SLOTS]++;
}
