/*
 * The duty to report: keeps the lease, fixes what is reported by writing it to
 * the record of the lease, and then sends it. The record is written under the
 * condition that nobody else has written it, so a window is fixed once, by the
 * holder.
 */
#include "reporter_private.h"

#include <limits.h>
#include <stdio.h>
#include <string.h>

enum {
	/* Time-out of a report, ms; less if the lease ends before. */
	REPORT_TIMEOUT_MS = 1000,
	/* A report is not begun with less time left of the lease, ms. */
	REPORT_TIME_MIN_MS = 100,
	/* Interval of lists of the counts, ms. */
	LIST_INTERVAL_MS = 1000,
	/* After a call to the store has failed, other instances may need this
	 * time to write what they have counted, ms. */
	STORE_SETTLE_MS = 2000,
	/* A window that is overdue by more than so many windows is given up. */
	OVERDUE_WINDOWS_MAX = 24,
};

static void count(mc_reporter_t *reporter, mc_counter_id_t id, uint64_t amount)
{
	mc_counter_add(mc_shard_counters(reporter->params.shard), id, amount);
}

/* Fills a ledger with what a record contains. */
static void load_record(mc_usage_ledger_t *ledger,
			const mc_usage_lease_t *record)
{
	uint32_t i;
	mc_err_t err = mc_usage_ledger_clear(ledger);

	if (!err && record->counts)
		err = mc_usage_counts_add_all(ledger->counts, record->counts);
	for (i = 0; i < record->fixed_count && !err; i++)
		err = mc_usage_ledger_load(ledger, record->fixed[i]);
	ledger->has_through = record->has_through;
	ledger->through = record->through;
}

static void on_result(mc_reporter_t *reporter,
		      const mc_usage_lease_result_t *result)
{
	bool adopted =
		reporter->lease.is_known &&
		reporter->lease.seen.revision == result->record.lease.revision;

	if (adopted)
		load_record(&reporter->seen, &result->record);
}

static void note_result(mc_reporter_t *reporter, mc_err_t err)
{
	if (err == MC_ERR_STORE_UNAVAILABLE)
		reporter->store_failed_at = reporter_now(reporter);
}

static mc_lease_reply_t make_reply(const mc_usage_lease_result_t *result)
{
	return (mc_lease_reply_t){
		.record = result->record.lease,
		.store_revision = result->store_revision,
		.era = result->era,
	};
}

static void on_lease_read(void *ctx, const mc_usage_lease_result_t *result)
{
	mc_reporter_t *reporter = ctx;
	mc_lease_reply_t reply = make_reply(result);

	note_result(reporter, result->err);
	mc_lease_read_done(&reporter->lease, result->err ? NULL : &reply,
			   reporter_now(reporter), reporter_true_now(reporter));
	if (result->err)
		return;
	on_result(reporter, result);
	mc_log(reporter->log, MC_LOG_DEBUG, "usage",
	       "record of the lease read holder=%s token=%llu renewal=%llu "
	       "age_ms=%lld next_read_ms=%lld",
	       result->record.lease.holder,
	       (unsigned long long)result->record.lease.token,
	       (unsigned long long)result->record.lease.renewal,
	       (long long)(reporter_true_now(reporter) -
			   result->record.lease.written_at),
	       (long long)(reporter->lease.next_read - reporter_now(reporter)));
}

/* A report that was begun before the lease has ended may still wait for its
 * connection, if the machine was suspended. */
static void cancel_report(mc_reporter_t *reporter)
{
	if (!reporter->is_sending)
		return;
	reporter->params.ops->cancel_report(reporter->store);
	reporter->is_sending = false;
	mc_usage_ledger_sent(&reporter->ledger, reporter->sending, false,
			     reporter_now(reporter));
}

static void handle_end(mc_reporter_t *reporter)
{
	static const char *const reasons[] = {
		[MC_LEASE_EXPIRED] = "not_renewed_in_time",
		[MC_LEASE_REPLACED] = "taken_by_another",
		[MC_LEASE_STORE_RESTORED] = "store_came_back_older",
	};
	mc_lease_end_t reason = mc_lease_take_end(&reporter->lease);

	if (!reason)
		return;
	count(reporter, MC_COUNTER_LEASES_ENDED, 1);
	cancel_report(reporter);
	mc_log(reporter->log, MC_LOG_WARNING, "usage",
	       "lease lost reason=%s token=%llu holder=%s", reasons[reason],
	       (unsigned long long)reporter->lease.token,
	       reporter->lease.seen.holder);
}

static void fixed_written(mc_reporter_t *reporter)
{
	const mc_usage_ledger_t *ledger = &reporter->ledger;
	uint32_t i;

	for (i = 0; i < ledger->fixed_count; i++) {
		if (ledger->fixed[i].is_written ||
		    ledger->fixed[i].window > reporter->fixing)
			continue;
		count(reporter, MC_COUNTER_USAGE_FIXED, 1);
		mc_log(reporter->log, MC_LOG_INFO, "usage",
		       "window fixed window=%lld",
		       (long long)ledger->fixed[i].window);
	}
	mc_usage_ledger_written(&reporter->ledger, reporter->fixing);
}

static void on_lease_written(void *ctx, const mc_usage_lease_result_t *result)
{
	mc_reporter_t *reporter = ctx;
	mc_lease_reply_t reply = make_reply(result);
	bool known = result->err != MC_ERR_STORE_UNAVAILABLE;
	bool was_held = reporter->lease.is_held;
	bool held;

	note_result(reporter, result->err);
	held = mc_lease_write_done(&reporter->lease, result->err,
				   known ? &reply : NULL,
				   reporter_now(reporter));

	if (result->err == MC_ERR_CONFLICT)
		on_result(reporter, result);
	if (held)
		fixed_written(reporter);
	if (held && !was_held) {
		count(reporter, MC_COUNTER_LEASES_TAKEN, 1);
		mc_log(reporter->log, MC_LOG_NOTICE, "usage",
		       "lease taken token=%llu era=%llu reported_through=%lld",
		       (unsigned long long)reporter->lease.token,
		       (unsigned long long)reporter->lease.era,
		       reporter->ledger.has_through
			       ? (long long)reporter->ledger.through
			       : -1LL);
	} else if (!held && result->err) {
		mc_log(reporter->log, MC_LOG_INFO, "usage",
		       "lease not written reason=%s holder=%s",
		       mc_error_name(result->err), reporter->lease.seen.holder);
	}
	handle_end(reporter);
	duty_run(reporter);
}

/* A new holder goes on from what the record contains, which is less than what
 * it knows if it was the last holder. If the store came back
 * with less than it had, windows that have ended may have been sent. */
static void prepare_take(mc_reporter_t *reporter)
{
	mc_usage_ledger_t *ledger = &reporter->ledger, former = *ledger;
	int64_t window = mc_usage_window_at(reporter_true_now(reporter),
					    reporter->params.window_length);

	if (reporter->lease.seen.incarnation != reporter->incarnation) {
		*ledger = reporter->seen;
		reporter->seen = former;
	}
	mc_usage_ledger_drop_unwritten(ledger);
	if (!mc_lease_is_restored(&reporter->lease))
		return;
	mc_log(reporter->log, MC_LOG_WARNING, "usage",
	       "store came back older: windows that have ended are not "
	       "reported through=%lld before=%lld",
	       ledger->has_through ? (long long)ledger->through : -1LL,
	       (long long)window);
	mc_usage_ledger_hold(ledger, window);
}

static void write_lease(mc_reporter_t *reporter, mc_lease_action_t action)
{
	mc_usage_ledger_t *ledger = &reporter->ledger;
	mc_usage_lease_t record = { 0 };
	uint32_t i;

	if (action == MC_LEASE_TAKE)
		prepare_take(reporter);
	record.lease = mc_lease_begin_write(&reporter->lease, action,
					    reporter_now(reporter),
					    reporter_true_now(reporter));
	record.has_through = ledger->has_through;
	record.through = ledger->through;
	record.fixed_count = ledger->fixed_count;
	for (i = 0; i < ledger->fixed_count; i++)
		record.fixed[i] = ledger->fixed[i].window;
	record.counts = ledger->counts;
	reporter->fixing = mc_usage_ledger_last_fixed(ledger);
	reporter_count_call(reporter);
	if (reporter->params.ops->write_lease(reporter->store, &record,
					      on_lease_written, reporter))
		mc_lease_write_done(&reporter->lease, MC_ERR_STORE_UNAVAILABLE,
				    NULL, reporter_now(reporter));
}

static void read_lease(mc_reporter_t *reporter)
{
	mc_lease_begin_read(&reporter->lease, reporter_now(reporter));
	reporter_count_call(reporter);
	if (reporter->params.ops->read_lease(reporter->store, on_lease_read,
					     reporter))
		mc_lease_read_done(&reporter->lease, NULL,
				   reporter_now(reporter),
				   reporter_true_now(reporter));
}

/* Writes what was fixed at once, but after a failed write when the lease has it
 * repeated. */
static void write_fixed(mc_reporter_t *reporter)
{
	if (!reporter->lease.is_calling && !reporter->lease.is_uncertain)
		write_lease(reporter, MC_LEASE_RENEW);
}

/* True time when the list began, by what is known of it now. */
static mc_ms_t list_time(const mc_reporter_t *reporter)
{
	return mc_true_time_at(&reporter->time, reporter->all_from);
}

static void fix_windows(mc_reporter_t *reporter)
{
	uint32_t given_up = 0, fixed;

	fixed = mc_usage_ledger_fix(&reporter->ledger, reporter->all,
				    list_time(reporter), &given_up);
	if (given_up) {
		count(reporter, MC_COUNTER_USAGE_MISSED, given_up);
		mc_log(reporter->log, MC_LOG_WARNING, "usage",
		       "windows missed reason=too_old count=%u", given_up);
	}
	if (fixed)
		write_fixed(reporter);
}

static void on_tallies(void *ctx, const mc_usage_tally_result_t *result);

/* Name of the last record of a page, after which the next one begins; NULL if
 * the page does not go beyond the name after which it began, as it would be
 * read for ever. */
static const char *get_next_after(const mc_reporter_t *reporter,
				  const mc_usage_tally_result_t *result)
{
	const char *last =
		result->tally_count
			? result->tallies[result->tally_count - 1].name
			: "";

	return *last && strcmp(last, reporter->all_after) != 0 ? last : NULL;
}

static void list_tallies(mc_reporter_t *reporter, const char *after)
{
	reporter->page_from = reporter_now(reporter);
	snprintf(reporter->all_after, sizeof(reporter->all_after), "%s", after);
	reporter_count_call(reporter);
	if (!reporter->params.ops->list_tallies(reporter->store, after,
						on_tallies, reporter))
		return;
	mc_usage_counts_destroy(reporter->all);
	reporter->all = NULL;
}

static void on_tallies(void *ctx, const mc_usage_tally_result_t *result)
{
	mc_reporter_t *reporter = ctx;
	const char *after = get_next_after(reporter, result);
	mc_err_t err = result->err;
	uint32_t i;

	note_result(reporter, err);
	reporter_observe_second(reporter, result->second, reporter->page_from);
	for (i = 0; i < result->tally_count && !err; i++) {
		err = mc_usage_ledger_sum(&reporter->ledger, reporter->all,
					  result->tallies[i].counts,
					  list_time(reporter));
		sweep_add(reporter, &result->tallies[i]);
	}
	if (!err && result->has_more && !after)
		err = MC_ERR_STORE_UNAVAILABLE;
	if (!err && result->has_more) {
		list_tallies(reporter, after);
		return;
	}
	if (err)
		mc_log(reporter->log, MC_LOG_WARNING, "usage",
		       "counts of the instances not read reason=%s",
		       mc_error_name(err));
	else if (mc_lease_is_held(&reporter->lease, reporter_now(reporter)))
		fix_windows(reporter);
	mc_usage_counts_destroy(reporter->all);
	reporter->all = NULL;
}

static void begin_list(mc_reporter_t *reporter)
{
	mc_ms_t now = reporter_now(reporter);

	if (reporter->all || now < reporter->list_at ||
	    now < reporter->store_failed_at + STORE_SETTLE_MS ||
	    !mc_usage_ledger_wants_counts(&reporter->ledger,
					  reporter_true_now(reporter)))
		return;
	reporter->all = mc_usage_counts_create();
	reporter->all_from = now;
	reporter->list_at = now + LIST_INTERVAL_MS;
	sweep_clear(reporter);
	if (reporter->all)
		list_tallies(reporter, "");
}

static void on_reported(void *ctx, mc_err_t err)
{
	mc_reporter_t *reporter = ctx;
	mc_ms_t now = reporter_true_now(reporter);
	bool late =
		mc_usage_is_overdue(&reporter->ledger, reporter->sending, now);

	reporter->is_sending = false;
	if (!err) {
		count(reporter, MC_COUNTER_USAGE_REPORTED, 1);
		count(reporter, MC_COUNTER_USAGE_LATE, late);
	}
	mc_log(reporter->log, err ? MC_LOG_WARNING : MC_LOG_INFO, "usage",
	       "%s window=%lld token=%llu late=%d reason=%s",
	       err ? "window not reported yet" : "window reported",
	       (long long)reporter->sending,
	       (unsigned long long)reporter->lease.token, late,
	       mc_error_name(err));
	mc_usage_ledger_sent(&reporter->ledger, reporter->sending, !err,
			     reporter_now(reporter));
	if (err == MC_ERR_BAD_REQUEST) {
		count(reporter, MC_COUNTER_USAGE_MISSED, 1);
		mc_log(reporter->log, MC_LOG_ERROR, "usage",
		       "window missed reason=refused window=%lld",
		       (long long)reporter->sending);
		mc_usage_ledger_drop(&reporter->ledger, reporter->sending);
	}
	duty_run(reporter);
}

static bool is_too_old(const mc_reporter_t *reporter, int64_t window)
{
	mc_ms_t slack = OVERDUE_WINDOWS_MAX * reporter->params.window_length;

	return mc_usage_is_overdue(&reporter->ledger, window,
				   reporter_true_now(reporter) - slack);
}

static void send_report(mc_reporter_t *reporter, int64_t window, mc_ms_t left)
{
	const mc_usage_report_t report = {
		.holder = reporter->params.instance,
		.token = reporter->lease.token,
		.window = window,
		.counts = reporter->ledger.counts,
		.timeout = left < REPORT_TIMEOUT_MS ? left : REPORT_TIMEOUT_MS,
	};
	uint32_t before = mc_usage_ledger_begin_send(&reporter->ledger, window);

	count(reporter, MC_COUNTER_USAGE_REPEATED, before != 0);
	mc_log(reporter->log, MC_LOG_INFO, "usage",
	       "window sent window=%lld token=%llu sends_before=%u",
	       (long long)window, (unsigned long long)report.token, before);
	reporter->sending = window;
	reporter->is_sending = true;
	if (!reporter->params.ops->report(reporter->store, &report, on_reported,
					  reporter))
		return;
	reporter->is_sending = false;
	mc_usage_ledger_sent(&reporter->ledger, window, false,
			     reporter_now(reporter));
}

static void send_next(mc_reporter_t *reporter)
{
	mc_ms_t now = reporter_now(reporter);
	mc_ms_t left = mc_lease_time_left(&reporter->lease, now);
	int64_t window;

	if (reporter->is_sending || left < REPORT_TIME_MIN_MS ||
	    !mc_usage_ledger_next(&reporter->ledger, now, &window))
		return;
	if (!is_too_old(reporter, window)) {
		send_report(reporter, window, left);
		return;
	}
	count(reporter, MC_COUNTER_USAGE_MISSED, 1);
	mc_log(reporter->log, MC_LOG_WARNING, "usage",
	       "window missed reason=too_old window=%lld", (long long)window);
	mc_usage_ledger_drop(&reporter->ledger, window);
}

/* Whether a window is fixed that is not in the store yet. */
static bool has_unwritten(const mc_usage_ledger_t *ledger)
{
	return ledger->fixed_count &&
	       !ledger->fixed[ledger->fixed_count - 1].is_written;
}

void duty_run(mc_reporter_t *reporter)
{
	mc_lease_action_t action;

	if (!reporter->is_active)
		return;
	action = mc_lease_decide(&reporter->lease, reporter_now(reporter));
	handle_end(reporter);
	if (action == MC_LEASE_READ)
		read_lease(reporter);
	else if (action != MC_LEASE_WAIT)
		write_lease(reporter, action);
	if (!mc_lease_is_held(&reporter->lease, reporter_now(reporter)))
		return;
	begin_list(reporter);
	if (has_unwritten(&reporter->ledger))
		write_fixed(reporter);
	sweep_run(reporter);
	send_next(reporter);
}
