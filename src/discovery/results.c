/*
 * Applies the results of lists and watches: what is known of a kind from then
 * on, whether it has to be listed anew, and when the next call is due.
 */
#include "discovery_private.h"

#include <stdio.h>
#include <string.h>

enum {
	/* A response with this many changes may hold only a part of them; the
	 * next part is then read without a batching pause. */
	PARTIAL_CHANGES_MIN = 16,
	/* Instances that start together have registered after this time, and
	 * are listed once more, ms. */
	PEERS_SETTLE_MS = 500,
};

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
	discovery_begin_relist(sync);
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
		       ? discovery_batch_delay(sync)
		       : 0;
}

/* A watch was late, and its changes have been read at once. */
static void judge_late_watch(kind_sync_t *sync)
{
	mc_discovery_t *discovery = sync->discovery;
	mc_ms_t took = mc_shard_now(discovery->params.shard) - sync->called_at;

	if (mc_read_watches_hang(discovery_change_max(discovery), took))
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

/* Pause after a stale list that was older than needed, ms. */
static mc_ms_t stale_pause(const kind_sync_t *sync)
{
	mc_ms_t bound = discovery_change_max(sync->discovery);

	return discovery_predates_start(sync)
		       ? mc_read_start_pause(&sync->state, bound)
		       : mc_read_stale_pause(&sync->state, bound);
}

mc_ms_t results_handle(kind_sync_t *sync, const mc_source_result_t *result)
{
	if (!discovery_is_watch(sync))
		return handle_list_result(sync, result) ? 0 : stale_pause(sync);
	if (sync->call == MC_READ_CHANGES)
		judge_late_watch(sync);
	return handle_watch_result(sync, result);
}
