/*
 * Reads each kind of records: decides on the next call, makes it and goes on,
 * until another instance relays the changes. results.c applies what was read.
 */
#include "discovery_private.h"

enum {
	/* Changes of targets are batched for @drain_period divided by this. */
	DRAIN_BATCH_DIVISOR = 6,
	/* Fraction of @history_period that other watches wait: after a
	 * longer wait the store no longer has the changes in between. */
	HISTORY_WATCH_NUMERATOR = 17,
	HISTORY_WATCH_DENOMINATOR = 20,
	WATCH_MAX_MS = 30000,
	/* Instances' records are batched for this time while they hold evidence
	 * on which a roll-out is about to be decided, ms. */
	DECIDING_BATCH_MS = 100,
};

/*
 * @short_watch: the watch waits only for a fraction of the bound, and is given
 *	up when it is late. Set for one kind, whose watch thereby notices that
 *	the store has stopped responding; the other watches are restarted then
 * @batch_delay: pause after a change, so that further changes within it are
 *	read together, ms; 0 for a fraction of @drain_period
 */
static const struct {
	const char *name;
	bool short_watch;
	mc_ms_t batch_delay;
} kind_params[] = {
	[MC_SOURCE_ROUTEMAP] = { "map", true, 100 },
	[MC_SOURCE_TARGETS] = { "targets", false, 0 },
	[MC_SOURCE_DATA_CENTERS_OUT] = { "out", false, 100 },
	[MC_SOURCE_INSTANCES] = { "instances", false, 1000 },
	[MC_SOURCE_ROLLOUTS] = { "rollouts", false, 100 },
};

const char *discovery_kind_name(mc_source_kind_t kind)
{
	return kind_params[kind].name;
}

static mc_ms_t watch_wait(const kind_sync_t *sync)
{
	const mc_discovery_params_t *params = &sync->discovery->params;
	mc_ms_t longest = params->history_period * HISTORY_WATCH_NUMERATOR /
			  HISTORY_WATCH_DENOMINATOR;

	if (kind_params[sync->kind].short_watch)
		return mc_read_watch_wait(
			discovery_change_max(sync->discovery));
	return longest < WATCH_MAX_MS ? longest : WATCH_MAX_MS;
}

mc_ms_t discovery_batch_delay(const kind_sync_t *sync)
{
	const mc_discovery_t *discovery = sync->discovery;
	mc_ms_t delay = kind_params[sync->kind].batch_delay;

	if (sync->kind == MC_SOURCE_INSTANCES &&
	    mc_rollouts_deciding(discovery->rollouts,
				 mc_shard_now(discovery->params.shard)))
		return DECIDING_BATCH_MS;
	return delay ? delay
		     : sync->discovery->params.drain_period /
			       DRAIN_BATCH_DIVISOR;
}

void discovery_count_call(const mc_discovery_t *discovery,
			  mc_counter_id_t cause)
{
	mc_counters_t *counters = mc_shard_counters(discovery->params.shard);

	mc_counter_add(counters, MC_COUNTER_STORE_CALLS, 1);
	mc_counter_add(counters, cause, 1);
}

bool discovery_is_watch(const kind_sync_t *sync)
{
	return sync->call == MC_READ_WATCH || sync->call == MC_READ_CHANGES;
}

bool discovery_cancel_watch(kind_sync_t *sync)
{
	mc_discovery_t *discovery = sync->discovery;

	if (!sync->in_flight || sync->call != MC_READ_WATCH)
		return false;
	discovery->params.source->cancel_watch(discovery->source, sync->kind);
	sync->in_flight = false;
	return true;
}

bool discovery_is_following(const kind_sync_t *sync)
{
	return sync->state.is_listed && sync->state.needed != MC_READ_CURRENT;
}

mc_read_relay_t discovery_relay_state(const mc_discovery_t *discovery)
{
	mc_ms_t now = mc_shard_now(discovery->params.shard);

	if (peers_has_upstream(discovery))
		return MC_READ_HAS_UPSTREAM;
	if (discovery->relay && now < discovery->expect_until &&
	    (!discovery->peers_settled ||
	     mc_relay_may_have_upstream(discovery->relay)))
		return MC_READ_UPSTREAM_EXPECTED;
	return MC_READ_NO_UPSTREAM;
}

/*
 * While the store is unavailable, only the route map's calls are retried, which
 * shows when it is available again; the other kinds are parked until then.
 */
static void handle_failure(kind_sync_t *sync)
{
	mc_discovery_t *discovery = sync->discovery;

	if (discovery->store_unavailable && sync->kind != MC_SOURCE_ROUTEMAP) {
		sync->parked = true;
		sync->failures++;
		/* With an upstream, the route map may have no open call. */
		if (!discovery->syncs[MC_SOURCE_ROUTEMAP].failures)
			discovery_resume_sync(
				&discovery->syncs[MC_SOURCE_ROUTEMAP]);
		return;
	}
	discovery_set_timer(discovery,
			    discovery_backoff(discovery, sync->failures++),
			    discovery_continue_sync, sync, &sync->timer);
}

mc_ms_t discovery_change_max(const mc_discovery_t *discovery)
{
	const mc_discovery_params_t *params = &discovery->params;

	return params->apply_max < params->drain_period ? params->apply_max
							: params->drain_period;
}

/* The call is made again: after a pause if the response is of a former era, as
 * the next one may be so too. */
static void handle_void_result(kind_sync_t *sync)
{
	mc_discovery_t *discovery = sync->discovery;

	sync->is_void = false;
	if (sync->call == MC_READ_STALE_LIST)
		sync->state.stale_lists++;
	if (!sync->timer.generation)
		discovery_set_timer(discovery, discovery_backoff(discovery, 0),
				    discovery_continue_sync, sync,
				    &sync->timer);
}

/* A time, ms, before which the store has not answered the call: a watch that
 * brings nothing has waited. */
static mc_ms_t earliest_response(const kind_sync_t *sync,
				 const mc_source_result_t *result)
{
	mc_ms_t waited = sync->called_at + watch_wait(sync);

	if (sync->call == MC_READ_WATCH && !result->record_count &&
	    waited <= mc_shard_now(sync->discovery->params.shard))
		return waited;
	return sync->called_at;
}

static void on_result(void *ctx, const mc_source_result_t *result)
{
	kind_sync_t *sync = ctx;
	mc_ms_t begun_at = earliest_response(sync, result);
	bool was_stale = sync->call == MC_READ_STALE_LIST;
	mc_ms_t pause;

	sync->in_flight = false;
	discovery_note_store_result(sync->discovery, result->err);
	if (!era_accept(sync->discovery, result->era) || sync->is_void) {
		handle_void_result(sync);
		return;
	}
	if (result->err && result->err != MC_ERR_HISTORY_GONE &&
	    result->err != MC_ERR_TOO_LARGE) {
		handle_failure(sync);
		return;
	}
	sync->failures = 0;
	pause = results_handle(sync, result);
	if (was_stale)
		completeness_note_revision(sync->discovery, result->revision);
	else
		completeness_note_response(sync->discovery, result->revision,
					   begun_at);
	discovery_schedule_publish(sync->discovery);
	if (sync->kind == MC_SOURCE_ROLLOUTS && discovery_is_following(sync) &&
	    mc_registry_has_unconfirmed(sync->discovery->registry))
		discovery_relist(sync, sync->discovery->targets_revision);
	else if (pause)
		discovery_set_timer(sync->discovery, pause,
				    discovery_continue_sync, sync,
				    &sync->timer);
	else if (!sync->timer.generation)
		discovery_resume_sync(sync);
}

/* The call that shows whether the store responds, or responds again. */
static bool is_poll(const kind_sync_t *sync)
{
	const mc_discovery_t *discovery = sync->discovery;

	return sync->kind == MC_SOURCE_ROUTEMAP &&
	       (discovery->store_unavailable || discovery->is_probing);
}

static mc_counter_id_t cause_of_call(const kind_sync_t *sync)
{
	if (is_poll(sync))
		return MC_COUNTER_STORE_CALLS_PROBE;
	if (!sync->listed_once)
		return MC_COUNTER_STORE_CALLS_START;
	if (discovery_is_watch(sync))
		return MC_COUNTER_STORE_CALLS_WATCH;
	return sync->relisting_since == MC_MS_NEVER
		       ? MC_COUNTER_STORE_CALLS_BEHIND
		       : MC_COUNTER_STORE_CALLS_RELIST;
}

/* The changes may be there although the watch does not bring them, nor a read
 * that may be stale. */
static void give_up_late_watch(mc_shard_t *shard, void *arg)
{
	kind_sync_t *sync = arg;

	sync->late_timer = MC_HANDLE_NONE;
	if (!discovery_cancel_watch(sync))
		return;
	mc_log(mc_shard_log(shard), MC_LOG_NOTICE, "follow",
	       "watch is late: changes are read at once kind=%s above=%llu "
	       "waited_ms=%lld",
	       discovery_kind_name(sync->kind),
	       (unsigned long long)sync->state.revision,
	       (long long)(mc_shard_now(shard) - sync->called_at));
	sync->state.watch_is_late = true;
	discovery_resume_sync(sync);
	sync->state.watch_is_late = false;
}

/* Begins to wait for the answer to a watch that bounds how late all changes
 * are known. */
static void note_short_watch(kind_sync_t *sync)
{
	mc_discovery_t *discovery = sync->discovery;

	probe_note_watch(discovery);
	discovery_set_timer(
		discovery,
		mc_read_watch_late_after(discovery_change_max(discovery)),
		give_up_late_watch, sync, &sync->late_timer);
}

static mc_err_t start_call(kind_sync_t *sync)
{
	mc_discovery_t *discovery = sync->discovery;
	const mc_source_ops_t *ops = discovery->params.source;

	discovery_count_call(discovery, cause_of_call(sync));
	sync->in_flight = true;
	sync->called_at = mc_shard_now(discovery->params.shard);
	if (sync->call == MC_READ_WATCH && kind_params[sync->kind].short_watch)
		note_short_watch(sync);
	if (discovery_is_watch(sync))
		return ops->watch(
			discovery->source, sync->kind, sync->state.revision,
			sync->call == MC_READ_WATCH ? watch_wait(sync) : 0,
			on_result, sync);
	if (sync->kind == MC_SOURCE_ROLLOUTS && !sync->list_after[0])
		mc_registry_begin_confirmation(discovery->registry);
	return ops->list(discovery->source, sync->kind, sync->list_after,
			 sync->call == MC_READ_STALE_LIST, on_result, sync);
}

/* Makes the next call for a kind, if one is needed; a timer's handler. */
void discovery_continue_sync(mc_shard_t *shard, void *arg)
{
	kind_sync_t *sync = arg;
	mc_read_call_t call = mc_read_next_call(
		&sync->state, discovery_relay_state(sync->discovery));

	(void)shard;
	sync->timer = MC_HANDLE_NONE;
	if (is_poll(sync))
		call = MC_READ_STALE_LIST;
	if (sync->in_flight || call == MC_READ_NONE)
		return;
	sync->parked = sync->discovery->is_probing && !is_poll(sync);
	if (sync->parked)
		return;
	/* The pages of a list are read by calls of one kind. */
	if (!sync->list_after[0] || call == MC_READ_LIST)
		sync->call = call;
	if (!start_call(sync))
		return;
	sync->in_flight = false;
	handle_failure(sync);
}

void discovery_begin_relist(kind_sync_t *sync)
{
	sync->state.is_listed = false;
	sync->relisting_since = mc_shard_now(sync->discovery->params.shard);
	sync->list_after[0] = '\0';
}

void discovery_relist(kind_sync_t *sync, uint64_t needed)
{
	mc_discovery_t *discovery = sync->discovery;

	if (needed > sync->state.needed)
		sync->state.needed = needed;
	/* A list in progress is followed by another one if necessary. */
	if (!sync->state.is_listed ||
	    (sync->in_flight && !discovery_is_watch(sync)))
		return;
	if (sync->in_flight)
		discovery->params.source->cancel_watch(discovery->source,
						       sync->kind);
	sync->in_flight = false;
	discovery_begin_relist(sync);
	discovery_resume_sync(sync);
}

void discovery_resume_sync(kind_sync_t *sync)
{
	if (sync->in_flight)
		return;
	mc_timer_cancel(sync->discovery->params.shard, sync->timer);
	discovery_continue_sync(sync->discovery->params.shard, sync);
}

void discovery_resume_all(mc_discovery_t *discovery)
{
	uint32_t i;

	for (i = 0; i < MC_SOURCE_KIND_COUNT; i++)
		discovery_resume_sync(&discovery->syncs[i]);
	peers_send_state(discovery);
}
