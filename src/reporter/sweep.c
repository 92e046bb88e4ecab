/*
 * Deletes the records of counts that have no use left: those of instances that
 * are gone, or have counted nothing for long. The holder finds them in its
 * lists. A record is deleted under the condition that it has the revision that
 * was listed, so what an instance has written since stays; an instance whose
 * record is gone creates it with its next write.
 */
#include "reporter_private.h"

#include <stdio.h>

void sweep_clear(mc_reporter_t *reporter)
{
	reporter->past_count = 0;
}

void sweep_add(mc_reporter_t *reporter, const mc_usage_tally_t *tally)
{
	past_record_t *past = &reporter->past[reporter->past_count];

	if (reporter->past_count == SWEEP_RECORDS_MAX || !tally->counts ||
	    !tally->revision ||
	    !mc_usage_ledger_is_past(&reporter->ledger, tally->counts,
				     reporter_true_now(reporter)))
		return;
	snprintf(past->name, sizeof(past->name), "%s", tally->name);
	past->revision = tally->revision;
	reporter->past_count++;
}

static void on_deleted(void *ctx, const mc_usage_tally_result_t *result)
{
	mc_reporter_t *reporter = ctx;

	reporter->is_deleting = false;
	if (!result->err)
		mc_counter_add(mc_shard_counters(reporter->params.shard),
			       MC_COUNTER_USAGE_DELETED, 1);
	mc_log(reporter->log, MC_LOG_INFO, "usage",
	       "deletion of a record of old counts ended reason=%s",
	       mc_error_name(result->err));
	/* Others are left to the next list while the store fails. */
	if (result->err == MC_ERR_STORE_UNAVAILABLE)
		sweep_clear(reporter);
}

void sweep_run(mc_reporter_t *reporter)
{
	const past_record_t *past;

	if (reporter->is_deleting || !reporter->past_count)
		return;
	past = &reporter->past[--reporter->past_count];
	mc_log(reporter->log, MC_LOG_INFO, "usage",
	       "record of old counts is deleted name=%s revision=%llu",
	       past->name, (unsigned long long)past->revision);
	reporter_count_call(reporter);
	reporter->is_deleting = !reporter->params.ops->delete_tally(
		reporter->store, past->name, past->revision, on_deleted,
		reporter);
}
