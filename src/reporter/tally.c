/*
 * Writes what this instance has counted to the store, once for each window in
 * which it has counted something, so that what is lost with the process is at
 * most what it counted since. A window has its place in one of a few records,
 * by its number, so that a write contains the windows of one record only: as a
 * rule one, as the next window of a record begins when the last one is overdue.
 */
#include "reporter_private.h"

#include <limits.h>
#include <stdio.h>

enum {
	/* A write begins so long after the end of a window, as most requests
	 * have ended by then, and up to TALLY_SPREAD_MS later, ms. */
	TALLY_DELAY_MS = 400,
	TALLY_SPREAD_MS = 1000,
	/* A failed write is repeated after this time, ms. */
	TALLY_RETRY_MS = 400,
	/* Interval of writes while the process stops, ms. */
	TALLY_DRAIN_MS = 500,
	/* Windows are kept in the record until they are overdue, and so many
	 * longer; more after calls to the store have failed, as they may not be
	 * reported yet. */
	TALLY_WINDOWS_KEPT = 1,
	TALLY_WINDOWS_KEPT_MAX = 24,
};

void tally_init(mc_reporter_t *reporter)
{
	const mc_reporter_params_t *params = &reporter->params;
	mc_ms_t open = (params->report_max + params->window_length - 1) /
		       params->window_length;

	reporter->slot_count = open + TALLY_WINDOWS_KEPT < TALLY_SLOTS_MAX
				       ? (uint32_t)open + TALLY_WINDOWS_KEPT
				       : TALLY_SLOTS_MAX;
}

/* The slot that is to be written first; NULL if none is. */
static tally_slot_t *find_next(const mc_reporter_t *reporter)
{
	const tally_slot_t *next = NULL;
	uint32_t i;

	for (i = 0; i < reporter->slot_count; i++) {
		const tally_slot_t *slot = &reporter->slots[i];

		if (slot->write_at &&
		    (!next || slot->write_at < next->write_at))
			next = slot;
	}
	return (tally_slot_t *)next;
}

mc_ms_t tally_next_write(const mc_reporter_t *reporter)
{
	const tally_slot_t *next = find_next(reporter);

	if (!next || reporter->is_writing)
		return INT64_MAX;
	return next->write_at > reporter->retry_at ? next->write_at
						   : reporter->retry_at;
}

void tally_schedule(mc_reporter_t *reporter, int64_t window)
{
	mc_ms_t end = (window + 1) * reporter->params.window_length;
	mc_ms_t at = end + TALLY_DELAY_MS +
		     (mc_ms_t)(reporter->spread * TALLY_SPREAD_MS);
	tally_slot_t *slot =
		&reporter->slots[mc_usage_slot(window, reporter->slot_count)];

	if (!slot->write_at || at < slot->write_at)
		slot->write_at = at;
}

static void drop_old_windows(mc_reporter_t *reporter, mc_ms_t now)
{
	const mc_reporter_params_t *params = &reporter->params;
	mc_ms_t outage = TALLY_WINDOWS_KEPT_MAX * params->window_length;
	int64_t kept =
		reporter_now(reporter) - reporter->store_failed_at < outage
			? TALLY_WINDOWS_KEPT_MAX
			: TALLY_WINDOWS_KEPT;
	int64_t overdue = mc_usage_window_at(now - params->report_max,
					     params->window_length);

	mc_usage_counts_drop_before(reporter->own, overdue - kept);
}

/* Adopts the record of a slot that is in the store: what a former process of
 * the same name has counted is added once. */
static void adopt_record(mc_reporter_t *reporter, tally_slot_t *slot,
			 const mc_usage_tally_t *tally)
{
	uint32_t i;

	slot->revision = tally->revision;
	if (slot->is_joined)
		return;
	slot->is_joined = true;
	if (tally->incarnation == reporter->incarnation || !tally->counts)
		return;
	if (mc_usage_counts_add_all(reporter->own, tally->counts)) {
		mc_log(reporter->log, MC_LOG_ERROR, "usage",
		       "counts of the former process not taken over: %s",
		       mc_last_error_message());
		return;
	}
	/* With other settings the former process may have used other slots. */
	for (i = 0; i < mc_usage_counts_window_count(tally->counts); i++)
		tally_schedule(reporter,
			       mc_usage_counts_window(tally->counts, i));
	mc_log(reporter->log, MC_LOG_NOTICE, "usage",
	       "counts of the former process taken over incarnation=%llu "
	       "record=%s",
	       (unsigned long long)tally->incarnation, tally->name);
}

static void handle_failure(mc_reporter_t *reporter, tally_slot_t *slot,
			   mc_err_t err)
{
	mc_ms_t now = reporter_true_now(reporter);
	bool failed = err == MC_ERR_STORE_UNAVAILABLE;
	/* What a refusal has shown may make the next write succeed. */
	bool at_once = !failed && !slot->is_refused;

	slot->write_at = now;
	if (err == MC_ERR_NOT_FOUND)
		slot->revision = 0;
	slot->is_refused = !failed;
	if (!at_once)
		reporter->retry_at = now + TALLY_RETRY_MS;
	if (failed)
		reporter->store_failed_at = reporter_now(reporter);
	mc_log(reporter->log, MC_LOG_INFO, "usage",
	       "counts not written, again later reason=%s", mc_error_name(err));
}

static void on_written(void *ctx, const mc_usage_tally_result_t *result)
{
	mc_reporter_t *reporter = ctx;
	tally_slot_t *slot = &reporter->slots[reporter->writing];

	reporter->is_writing = false;
	reporter_observe_second(reporter, result->second,
				reporter->written_from);
	if (result->tally_count &&
	    (!result->err || result->err == MC_ERR_CONFLICT))
		adopt_record(reporter, slot, result->tallies);
	if (result->err) {
		handle_failure(reporter, slot, result->err);
	} else {
		slot->is_joined = true;
		slot->is_refused = false;
	}
	tally_run(reporter);
}

/* Begins to write a slot's windows; the store encodes them at once. */
static mc_err_t write_slot(mc_reporter_t *reporter, uint32_t index)
{
	mc_usage_counts_t *counts = mc_usage_counts_create();
	mc_usage_tally_t tally = {
		.incarnation = reporter->incarnation,
		.revision = reporter->slots[index].revision,
		.counts = counts,
	};
	mc_err_t err = MC_ERR_NO_MEMORY;

	snprintf(tally.name, sizeof(tally.name), "%.*s.%u",
		 MC_LEASE_HOLDER_SIZE - 1, reporter->params.instance, index);
	if (counts)
		err = mc_usage_counts_add_slot(counts, reporter->own, index,
					       reporter->slot_count);
	if (!err) {
		reporter->written_from = reporter_now(reporter);
		reporter_count_call(reporter);
		err = reporter->params.ops->write_tally(reporter->store, &tally,
							on_written, reporter);
	}
	mc_usage_counts_destroy(counts);
	return err;
}

void tally_run(mc_reporter_t *reporter)
{
	mc_ms_t now = reporter_true_now(reporter);
	tally_slot_t *slot = find_next(reporter);

	if (reporter->is_writing || !slot)
		return;
	if (reporter->is_draining && slot->write_at > now + TALLY_DRAIN_MS)
		slot->write_at = now + TALLY_DRAIN_MS;
	if (now < slot->write_at || now < reporter->retry_at)
		return;
	drop_old_windows(reporter, now);
	reporter->writing = (uint32_t)(slot - reporter->slots);
	if (write_slot(reporter, reporter->writing)) {
		reporter->retry_at = now + TALLY_RETRY_MS;
		return;
	}
	reporter->is_writing = true;
	slot->write_at = 0;
}
