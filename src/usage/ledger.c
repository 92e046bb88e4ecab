/*
 * Which windows are fixed, that is, written to the store with the counts that
 * are reported, and which one is sent next: the oldest first, so that none is
 * late while a younger one is sent.
 */
#include "mc/usage.h"

#include <limits.h>
#include <string.h>

enum {
	/* A window is fixed after this share of the time until it is due, so
	 * that the counts of all instances are in the store. */
	SETTLE_NUMERATOR = 2,
	SETTLE_DIVISOR = 5,
	/* Windows that are overdue by more are not reported any more. */
	OVERDUE_WINDOWS_MAX = 24,
	/* Windows that are older have no use left in the store. */
	PAST_WINDOWS_MIN = 2 * OVERDUE_WINDOWS_MAX,
	/* Pause after a report was accepted, ms. */
	SEND_INTERVAL_MS = 50,
	/* Pause after the first failure, doubled by each further one, ms. */
	RETRY_MIN_MS = 200,
	RETRY_MAX_MS = 1600,
};

mc_err_t mc_usage_ledger_init(mc_usage_ledger_t *ledger, mc_ms_t window_length,
			      mc_ms_t report_max)
{
	*ledger = (mc_usage_ledger_t){
		.window_length = window_length,
		.report_max = report_max,
	};
	ledger->counts = mc_usage_counts_create();
	return ledger->counts ? MC_OK : MC_ERR_NO_MEMORY;
}

void mc_usage_ledger_free(mc_usage_ledger_t *ledger)
{
	mc_usage_counts_destroy(ledger->counts);
	ledger->counts = NULL;
}

mc_err_t mc_usage_ledger_clear(mc_usage_ledger_t *ledger)
{
	mc_usage_ledger_free(ledger);
	return mc_usage_ledger_init(ledger, ledger->window_length,
				    ledger->report_max);
}

static mc_err_t append(mc_usage_ledger_t *ledger, int64_t window, bool written)
{
	if (ledger->fixed_count == MC_USAGE_FIXED_MAX)
		return mc_fail(MC_ERR_FULL, "too many windows to report");
	memset(&ledger->fixed[ledger->fixed_count], 0,
	       sizeof(ledger->fixed[0]));
	ledger->fixed[ledger->fixed_count].window = window;
	ledger->fixed[ledger->fixed_count++].is_written = written;
	if (!ledger->has_through || window > ledger->through)
		ledger->through = window;
	ledger->has_through = true;
	return MC_OK;
}

mc_err_t mc_usage_ledger_load(mc_usage_ledger_t *ledger, int64_t window)
{
	return append(ledger, window, true);
}

void mc_usage_ledger_hold(mc_usage_ledger_t *ledger, int64_t window)
{
	if (ledger->has_through && ledger->through >= window - 1)
		return;
	ledger->has_through = true;
	ledger->through = window - 1;
}

static mc_ms_t window_end(const mc_usage_ledger_t *ledger, int64_t window)
{
	return (window + 1) * ledger->window_length;
}

static mc_ms_t settle_time(const mc_usage_ledger_t *ledger)
{
	return ledger->report_max * SETTLE_NUMERATOR / SETTLE_DIVISOR;
}

/* The last window that is due to be fixed. */
static int64_t last_settled(const mc_usage_ledger_t *ledger, mc_ms_t now)
{
	return mc_usage_window_at(now - settle_time(ledger),
				  ledger->window_length) -
	       1;
}

bool mc_usage_ledger_wants_counts(const mc_usage_ledger_t *ledger, mc_ms_t now)
{
	return ledger->fixed_count < MC_USAGE_FIXED_MAX &&
	       (!ledger->has_through ||
		ledger->through < last_settled(ledger, now));
}

bool mc_usage_is_overdue(const mc_usage_ledger_t *ledger, int64_t window,
			 mc_ms_t now)
{
	return now > window_end(ledger, window) + ledger->report_max;
}

mc_err_t mc_usage_ledger_sum(const mc_usage_ledger_t *ledger,
			     mc_usage_counts_t *all,
			     const mc_usage_counts_t *counts, mc_ms_t now)
{
	int64_t last = last_settled(ledger, now), window;
	mc_err_t err = MC_OK;
	uint32_t i, cursor;
	const char *customer;
	uint64_t count;

	for (i = 0; i < mc_usage_counts_window_count(counts) && !err; i++) {
		window = mc_usage_counts_window(counts, i);
		/* True time may be corrected between two pages of a list: one
		 * window more is summed. */
		if (window < last - OVERDUE_WINDOWS_MAX || window > last + 1)
			continue;
		cursor = 0;
		while (!err && (count = mc_usage_counts_next(
					counts, window, &cursor, &customer)))
			err = mc_usage_counts_add(all, window, customer, count);
	}
	return err;
}

bool mc_usage_ledger_is_past(const mc_usage_ledger_t *ledger,
			     const mc_usage_counts_t *counts, mc_ms_t now)
{
	uint32_t count = mc_usage_counts_window_count(counts);
	int64_t newest;

	if (!count || !ledger->has_through)
		return false;
	newest = mc_usage_counts_window(counts, count - 1);
	return newest <= ledger->through &&
	       newest < last_settled(ledger, now) - PAST_WINDOWS_MIN;
}

/* The first window that is reported: without a former report, the oldest that
 * was counted. */
static int64_t first_window(const mc_usage_ledger_t *ledger,
			    const mc_usage_counts_t *all, int64_t last)
{
	if (ledger->has_through)
		return ledger->through + 1;
	return mc_usage_counts_window_count(all)
		       ? mc_usage_counts_window(all, 0)
		       : last + 1;
}

static mc_err_t copy_counts(mc_usage_ledger_t *ledger,
			    const mc_usage_counts_t *all, int64_t window)
{
	mc_err_t err;
	uint32_t cursor = 0;
	const char *customer;
	uint64_t count;

	mc_usage_counts_drop(ledger->counts, window);
	err = mc_usage_counts_add(ledger->counts, window, "", 0);
	while (!err &&
	       (count = mc_usage_counts_next(all, window, &cursor, &customer)))
		err = mc_usage_counts_add(ledger->counts, window, customer,
					  count);
	return err;
}

uint32_t mc_usage_ledger_fix(mc_usage_ledger_t *ledger,
			     const mc_usage_counts_t *all, mc_ms_t now,
			     uint32_t *given_up)
{
	int64_t last = last_settled(ledger, now);
	int64_t window = first_window(ledger, all, last);
	uint32_t count = 0;

	*given_up = 0;
	if (window + OVERDUE_WINDOWS_MAX < last) {
		*given_up = (uint32_t)(last - OVERDUE_WINDOWS_MAX - window);
		window = last - OVERDUE_WINDOWS_MAX;
	}
	for (; window <= last && ledger->fixed_count < MC_USAGE_FIXED_MAX;
	     window++) {
		if (copy_counts(ledger, all, window) ||
		    append(ledger, window, false))
			break;
		count++;
	}
	return count;
}

void mc_usage_ledger_written(mc_usage_ledger_t *ledger, int64_t window)
{
	uint32_t i;

	for (i = 0; i < ledger->fixed_count; i++)
		if (ledger->fixed[i].window <= window)
			ledger->fixed[i].is_written = true;
}

void mc_usage_ledger_drop_unwritten(mc_usage_ledger_t *ledger)
{
	while (ledger->fixed_count &&
	       !ledger->fixed[ledger->fixed_count - 1].is_written)
		ledger->through =
			ledger->fixed[--ledger->fixed_count].window - 1;
}

int64_t mc_usage_ledger_last_fixed(const mc_usage_ledger_t *ledger)
{
	return ledger->fixed_count
		       ? ledger->fixed[ledger->fixed_count - 1].window
		       : INT64_MIN;
}

bool mc_usage_ledger_next(const mc_usage_ledger_t *ledger, mc_ms_t now,
			  int64_t *window)
{
	if (!ledger->fixed_count || !ledger->fixed[0].is_written ||
	    now < ledger->send_at)
		return false;
	*window = ledger->fixed[0].window;
	return true;
}

uint32_t mc_usage_ledger_begin_send(mc_usage_ledger_t *ledger, int64_t window)
{
	uint32_t i;

	for (i = 0; i < ledger->fixed_count; i++)
		if (ledger->fixed[i].window == window)
			return ledger->fixed[i].sends++;
	return 0;
}

void mc_usage_ledger_drop(mc_usage_ledger_t *ledger, int64_t window)
{
	uint32_t i, kept = 0;

	for (i = 0; i < ledger->fixed_count; i++)
		if (ledger->fixed[i].window != window)
			ledger->fixed[kept++] = ledger->fixed[i];
	ledger->fixed_count = kept;
	mc_usage_counts_drop_before(ledger->counts,
				    kept ? ledger->fixed[0].window
					 : ledger->through + 1);
}

void mc_usage_ledger_sent(mc_usage_ledger_t *ledger, int64_t window,
			  bool accepted, mc_ms_t now)
{
	mc_ms_t pause = RETRY_MIN_MS;
	uint32_t i;

	if (accepted) {
		mc_usage_ledger_drop(ledger, window);
		ledger->failures = 0;
		ledger->send_at = now + SEND_INTERVAL_MS;
		return;
	}
	for (i = 0; i < ledger->failures && pause < RETRY_MAX_MS; i++)
		pause *= 2;
	ledger->failures++;
	ledger->send_at = now + pause;
}
