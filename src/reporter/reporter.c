/*
 * Creates the reporter, takes counts, and looks at short intervals at what is
 * to be done: frequent ones on the holder of the lease only.
 */
#include "reporter_private.h"

#include <stdlib.h>

enum {
	HOLDER_INTERVAL_MS = 100,
	IDLE_INTERVAL_MS = 500,
	INTERVAL_MIN_MS = 10,
	/* Corrections of the true time that are logged, ms. */
	CORRECTION_LOGGED_MS = 20,
	/* Bits of the second half of an incarnation; both make a whole number
	 * that JSON readers keep exactly. */
	INCARNATION_LOW_BITS = 20,
};

mc_ms_t reporter_now(const mc_reporter_t *reporter)
{
	return mc_clock_boot(mc_shard_clock(reporter->params.shard));
}

mc_ms_t reporter_true_now(const mc_reporter_t *reporter)
{
	return mc_true_time_at(&reporter->time, reporter_now(reporter));
}

void reporter_observe_second(mc_reporter_t *reporter, int64_t second,
			     mc_ms_t called)
{
	mc_ms_t change;

	if (!second)
		return;
	change = mc_true_time_observe(&reporter->time, second, called,
				      reporter_now(reporter));
	if (change > CORRECTION_LOGGED_MS || change < -CORRECTION_LOGGED_MS)
		mc_log(reporter->log, MC_LOG_NOTICE, "usage",
		       "clock corrected by the store's time ms=%lld",
		       (long long)change);
}

void reporter_count_call(mc_reporter_t *reporter)
{
	mc_counters_t *counters = mc_shard_counters(reporter->params.shard);

	mc_counter_add(counters, MC_COUNTER_STORE_CALLS, 1);
	mc_counter_add(counters, MC_COUNTER_STORE_CALLS_USAGE, 1);
}

static void run(mc_shard_t *shard, void *arg);

/* How long until the next look; what is due on a time of its own is on time. */
static mc_ms_t get_interval(const mc_reporter_t *reporter)
{
	mc_ms_t interval = reporter->lease.is_held || reporter->is_draining
				   ? HOLDER_INTERVAL_MS
				   : IDLE_INTERVAL_MS;
	mc_ms_t read_in = reporter->lease.next_read - reporter_now(reporter);
	mc_ms_t write_at = tally_next_write(reporter);
	mc_ms_t now = reporter_true_now(reporter);

	if (!reporter->lease.is_calling && !reporter->lease.is_held &&
	    read_in < interval)
		interval = read_in;
	if (write_at < now + interval)
		interval = write_at - now;
	return interval > INTERVAL_MIN_MS ? interval : INTERVAL_MIN_MS;
}

static void schedule(mc_reporter_t *reporter)
{
	mc_shard_t *shard = reporter->params.shard;
	mc_ms_t at = mc_shard_now(shard) + get_interval(reporter);

	if (reporter->timer.generation)
		return;
	if (mc_timer_set(shard, at, run, reporter, &reporter->timer))
		mc_log(reporter->log, MC_LOG_ERROR, "usage",
		       "usage is not reported: timer failed: %s",
		       mc_last_error_message());
}

static void run(mc_shard_t *shard, void *arg)
{
	mc_reporter_t *reporter = arg;

	(void)shard;
	reporter->timer = MC_HANDLE_NONE;
	tally_run(reporter);
	duty_run(reporter);
	schedule(reporter);
}

static mc_err_t create_parts(mc_reporter_t *reporter)
{
	const mc_reporter_params_t *params = &reporter->params;
	mc_err_t err = mc_usage_ledger_init(
		&reporter->ledger, params->window_length, params->report_max);

	if (!err)
		err = mc_usage_ledger_init(&reporter->seen,
					   params->window_length,
					   params->report_max);
	reporter->own = mc_usage_counts_create();
	reporter->store = params->ops->create(
		params->shard, params->store_address, params->report_address);
	return !err && reporter->own && reporter->store ? MC_OK
							: MC_ERR_NO_MEMORY;
}

static uint64_t make_incarnation(mc_shard_t *shard)
{
	mc_random_t *random = mc_shard_random(shard);
	uint64_t high = mc_random_u32(random);

	return (high << INCARNATION_LOW_BITS) +
	       mc_random_below(random, 1U << INCARNATION_LOW_BITS) + 1;
}

mc_reporter_t *mc_reporter_create(const mc_reporter_params_t *params)
{
	mc_reporter_t *reporter = calloc(1, sizeof(*reporter));
	const mc_clock_t *clock = mc_shard_clock(params->shard);

	if (!reporter)
		return NULL;
	reporter->params = *params;
	reporter->log = mc_shard_log(params->shard);
	if (create_parts(reporter)) {
		mc_reporter_destroy(reporter);
		return NULL;
	}
	mc_true_time_init(&reporter->time, mc_clock_wall(clock),
			  mc_clock_boot(clock));
	reporter->spread = mc_random_unit(mc_shard_random(params->shard));
	tally_init(reporter);
	reporter->incarnation = make_incarnation(params->shard);
	mc_lease_init(&reporter->lease, params->instance, reporter->incarnation,
		      params->lease_duration, 0);
	return reporter;
}

void mc_reporter_destroy(mc_reporter_t *reporter)
{
	if (!reporter)
		return;
	mc_timer_cancel(reporter->params.shard, reporter->timer);
	if (reporter->store)
		reporter->params.ops->destroy(reporter->store);
	mc_usage_counts_destroy(reporter->own);
	mc_usage_counts_destroy(reporter->all);
	mc_usage_ledger_free(&reporter->seen);
	mc_usage_ledger_free(&reporter->ledger);
	free(reporter);
}

/* The first read of the lease comes at a time of its own on each instance. */
static void activate(mc_reporter_t *reporter)
{
	double share = mc_random_unit(mc_shard_random(reporter->params.shard));

	reporter->is_active = true;
	reporter->lease.next_read =
		reporter_now(reporter) +
		(mc_ms_t)(share * (double)reporter->lease.read_interval);
	mc_log(reporter->log, MC_LOG_NOTICE, "usage",
	       "counting of usage begun window_ms=%lld incarnation=%llu",
	       (long long)reporter->params.window_length,
	       (unsigned long long)reporter->incarnation);
	schedule(reporter);
}

void mc_reporter_count(mc_reporter_t *reporter, const char *customer,
		       mc_ms_t began)
{
	mc_ms_t ago = mc_shard_now(reporter->params.shard) - began;
	mc_ms_t time = reporter_true_now(reporter) - (ago > 0 ? ago : 0);
	int64_t window =
		mc_usage_window_at(time, reporter->params.window_length);

	if (!reporter->is_active)
		activate(reporter);
	if (mc_usage_counts_add(reporter->own, window, customer, 1)) {
		mc_counter_add(mc_shard_counters(reporter->params.shard),
			       MC_COUNTER_USAGE_UNCOUNTED, 1);
		mc_log(reporter->log, MC_LOG_ERROR, "usage",
		       "request not counted customer=%s reason=\"%s\"",
		       customer, mc_last_error_message());
		return;
	}
	mc_counter_add(mc_shard_counters(reporter->params.shard),
		       MC_COUNTER_USAGE_COUNTED, 1);
	tally_schedule(reporter, window);
}

void mc_reporter_set_instances(mc_reporter_t *reporter, uint32_t count)
{
	mc_lease_set_readers(&reporter->lease, count);
}

void mc_reporter_drain(mc_reporter_t *reporter)
{
	reporter->is_draining = true;
	if (!reporter->is_active)
		return;
	mc_timer_cancel(reporter->params.shard, reporter->timer);
	reporter->timer = MC_HANDLE_NONE;
	schedule(reporter);
}
