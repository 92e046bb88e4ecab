/*
 * Reads each kind of records: decides on the next call, applies its result and
 * goes on, until another instance relays the changes.
 */
#include "discovery_private.h"

#include <stdio.h>
#include <string.h>

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
	/* A response with this many changes may hold only a part of them; the
	 * next part is then read without a batching pause. */
	PARTIAL_CHANGES_MIN = 16,
	/* Instances that start together have registered after this time, and
	 * are listed once more, ms. */
	PEERS_SETTLE_MS = 500,
};

/*
 * @short_watch: the watch waits only for a fraction of @apply_max, and is given
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
		return mc_read_watch_wait(params->apply_max);
	return longest < WATCH_MAX_MS ? longest : WATCH_MAX_MS;
}

static mc_ms_t batch_delay(const kind_sync_t *sync)
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

/* Records up to @revision are known now. */
static void set_revision(kind_sync_t *sync, uint64_t revision)
{
	sync->state.revision = revision;
	if (sync->state.needed <= revision)
		sync->state.needed = 0;
}

void discovery_apply_changes(kind_sync_t *sync,
			     const mc_source_result_t *result)
{
	uint64_t known = sync->state.revision;
	mc_ms_t at = completeness_changed_since(sync);

	set_revision(sync, result->revision > known ? result->revision : known);
	discovery_apply_records(sync->discovery, sync->kind, result, known, at);
	discovery_schedule_publish(sync->discovery);
}

/* Gives up what is known to be complete of a kind, which is then listed. */
static void begin_relist(kind_sync_t *sync)
{
	sync->state.is_listed = false;
	sync->relisting_since = mc_shard_now(sync->discovery->params.shard);
	sync->list_after[0] = '\0';
}

static void log_relist(const kind_sync_t *sync, const char *reason)
{
	mc_log(mc_shard_log(sync->discovery->params.shard), MC_LOG_NOTICE,
	       "follow", "listing again: %s kind=%s above=%llu", reason,
	       discovery_kind_name(sync->kind),
	       (unsigned long long)sync->state.revision);
}

/* The same watch would bring the same response again. Returns the pause before
 * the list, ms: should the store's next response be as long, it must not be
 * called without end. */
static mc_ms_t handle_long_watch(kind_sync_t *sync)
{
	log_relist(sync, "changes are more than a response may have");
	sync->state.needed = MC_READ_CURRENT;
	begin_relist(sync);
	return discovery_backoff(sync->discovery, sync->long_watches++);
}

static void handle_history_gone(kind_sync_t *sync)
{
	log_relist(sync, "store has dropped the changes");
	discovery_relist(sync, MC_READ_CURRENT);
	discovery_restart_watches(sync->discovery);
}

/* Returns the pause before the kind's next call, ms. */
static mc_ms_t handle_watch_result(kind_sync_t *sync,
				   const mc_source_result_t *result)
{
	uint64_t since = sync->state.revision;

	if (result->err == MC_ERR_TOO_LARGE)
		return handle_long_watch(sync);
	sync->long_watches = 0;
	if (result->err == MC_ERR_HISTORY_GONE) {
		handle_history_gone(sync);
		return 0;
	}
	discovery_apply_changes(sync, result);
	peers_send_changes(sync, since, result);
	return result->record_count &&
			       result->record_count < PARTIAL_CHANGES_MIN
		       ? batch_delay(sync)
		       : 0;
}

/* A watch was late, and its changes have been read at once. */
static void judge_late_watch(kind_sync_t *sync)
{
	mc_discovery_t *discovery = sync->discovery;
	mc_ms_t took = mc_shard_now(discovery->params.shard) - sync->called_at;

	if (mc_read_watches_hang(discovery->params.apply_max, took))
		discovery_restart_watches(discovery);
}

bool discovery_predates_start(const kind_sync_t *sync)
{
	return sync->kind <= MC_SOURCE_DATA_CENTERS_OUT &&
	       !sync->discovery->start_passed &&
	       sync->state.revision < sync->discovery->start_revision;
}

/* Lists of the kinds in use that are older than this instance's start are not
 * used; see may_publish(). */
static void set_start_revision(mc_discovery_t *discovery, uint64_t revision)
{
	uint32_t i;

	discovery->start_revision = revision;
	for (i = 0; i < MC_SOURCE_KIND_COUNT; i++)
		if (discovery_predates_start(&discovery->syncs[i]))
			discovery_relist(&discovery->syncs[i], revision);
}

/* Lists the instances once more, which may have registered meanwhile. */
static void relist_peers(mc_shard_t *shard, void *arg)
{
	kind_sync_t *sync = arg;

	(void)shard;
	sync->timer = MC_HANDLE_NONE;
	if (peers_has_upstream(sync->discovery))
		return;
	sync->discovery->peers_settled = true;
	discovery_relist(sync, sync->state.revision);
}

static void end_list(kind_sync_t *sync)
{
	mc_discovery_t *discovery = sync->discovery;
	bool first = !sync->listed_once;

	discovery_list_end(discovery, sync->kind, sync->list_revision,
			   completeness_changed_since(sync));
	/* The watch reports the changes made since the oldest page was read. */
	set_revision(sync, sync->list_revision);
	if (sync->state.needed == MC_READ_CURRENT)
		sync->state.needed = 0;
	sync->state.is_listed = sync->listed_once = true;
	sync->state.stale_lists = 0;
	sync->relisting_since = MC_MS_NEVER;
	sync->list_after[0] = '\0';
	era_end_list(sync);
	if (first && sync->kind == MC_SOURCE_ROLLOUTS)
		set_start_revision(discovery, sync->state.revision);
	/* The first page was read before the start. A watch would only bring
	 * the next change, however long that takes. */
	if (discovery_predates_start(sync))
		discovery_relist(sync, discovery->start_revision);
	if (sync->kind != MC_SOURCE_INSTANCES)
		return;
	/* A list without this instance is from before its start, and lacks
	 * others that started with it. */
	if (first && discovery->relay &&
	    !apr_hash_get(discovery->instances, discovery->params.instance_name,
			  APR_HASH_KEY_STRING)) {
		discovery_set_timer(discovery, PEERS_SETTLE_MS, relist_peers,
				    sync, &sync->timer);
		return;
	}
	discovery->peers_settled = true;
	discovery_resume_all(discovery);
}

void discovery_apply_list(kind_sync_t *sync, const mc_source_result_t *result)
{
	sync->list_revision = result->revision;
	discovery_list_begin(sync->discovery, sync->kind);
	discovery_apply_records(sync->discovery, sync->kind, result, 0,
				completeness_changed_since(sync));
	end_list(sync);
	discovery_schedule_publish(sync->discovery);
}

/* Name of a page's last record whose name can be read; "" without one. */
static const char *last_name(const mc_source_result_t *result)
{
	uint32_t i;

	for (i = result->record_count; i > 0; i--)
		if (*result->records[i - 1].name)
			return result->records[i - 1].name;
	return "";
}

/* Returns false if the list is older than needed, and is begun again. */
static bool handle_list_result(kind_sync_t *sync,
			       const mc_source_result_t *result)
{
	if (!mc_read_accepts_list(&sync->state, result->revision,
				  sync->call == MC_READ_STALE_LIST)) {
		sync->state.stale_lists++;
		sync->list_after[0] = '\0';
		return false;
	}
	if (!sync->list_after[0]) {
		sync->list_revision = result->revision;
		discovery_list_begin(sync->discovery, sync->kind);
	}
	if (result->revision < sync->list_revision)
		sync->list_revision = result->revision;
	discovery_apply_records(sync->discovery, sync->kind, result, 0,
				completeness_changed_since(sync));
	/* Lists of several pages are not relayed. */
	if (sync->call == MC_READ_LIST && !sync->list_after[0] &&
	    !result->has_more)
		peers_send_changes(sync, MC_RELAY_LIST, result);
	if (result->has_more && *last_name(result)) {
		snprintf(sync->list_after, sizeof(sync->list_after), "%s",
			 last_name(result));
		return true;
	}
	end_list(sync);
	return true;
}

mc_ms_t discovery_change_max(const mc_discovery_t *discovery)
{
	const mc_discovery_params_t *params = &discovery->params;

	return params->apply_max < params->drain_period ? params->apply_max
							: params->drain_period;
}

/* Pause after a stale list that was older than needed, ms. */
static mc_ms_t stale_pause(const kind_sync_t *sync)
{
	mc_ms_t bound = discovery_change_max(sync->discovery);

	return discovery_predates_start(sync)
		       ? mc_read_start_pause(&sync->state, bound)
		       : mc_read_stale_pause(&sync->state, bound);
}

/* Returns the pause before the kind's next call, ms. */
static mc_ms_t handle_result(kind_sync_t *sync,
			     const mc_source_result_t *result)
{
	if (!discovery_is_watch(sync))
		return handle_list_result(sync, result) ? 0 : stale_pause(sync);
	if (sync->call == MC_READ_CHANGES)
		judge_late_watch(sync);
	return handle_watch_result(sync, result);
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
	pause = handle_result(sync, result);
	completeness_note_response(sync->discovery, result->revision, begun_at);
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

/* Begins to wait for the answer to a watch whose changes must be known within
 * @apply_max. */
static void note_short_watch(kind_sync_t *sync)
{
	mc_discovery_t *discovery = sync->discovery;

	probe_note_watch(discovery);
	discovery_set_timer(
		discovery,
		mc_read_watch_late_after(discovery->params.apply_max),
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
	begin_relist(sync);
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
