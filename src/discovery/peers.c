/*
 * Relay of store changes between the instances of a data centre. An instance
 * with an upstream relies on it: its own watches are not renewed when they end,
 * and are resumed from their last revision when the upstream is lost.
 */
#include "discovery_private.h"

#include <stdio.h>
#include <string.h>

enum {
	/* An open watch has brought within this time, ms, what the upstream
	 * knows, or hangs. Less than the interval in which it tells that. */
	WATCH_BEHIND_MS = 300,
	/* After this time without a response, ms, the store may be unreachable,
	 * and this instance reports to its subscribers that it is not fresh. */
	FRESH_TIMEOUT_MS = 1200,
	/* A subscriber relies on its upstreams for this fraction of @apply_max
	 * after one was fresh, which leaves time to read the store. */
	RELIANCE_DIVISOR = 6,
};

bool peers_has_upstream(const mc_discovery_t *discovery)
{
	return discovery->relay && mc_relay_has_upstream(discovery->relay);
}

void peers_send_state(mc_discovery_t *discovery)
{
	if (!discovery->state_due)
		return;
	discovery->state_due = false;
	mc_relay_send_state(discovery->relay);
}

/* Whether this instance reads changes of the kind from the store, or has only
 * just begun to list its records anew. */
static bool is_followed(const kind_sync_t *sync, mc_ms_t now)
{
	return discovery_is_following(sync) ||
	       (sync->relisting_since != MC_MS_NEVER &&
		now - sync->relisting_since < FRESH_TIMEOUT_MS);
}

/*
 * Called when the state of this instance is sent to a subscriber, and therefore
 * the place where probing the store starts. A response of the store from before
 * @since proves nothing to a subscriber: this instance may have been suspended
 * in between, without its clock showing that.
 */
static bool get_known(void *ctx, mc_ms_t since, mc_relay_known_t *known)
{
	mc_discovery_t *discovery = ctx;
	mc_ms_t now = mc_shard_now(discovery->params.shard);
	bool reads_store =
		discovery_relay_state(discovery) == MC_READ_NO_UPSTREAM;
	bool is_recent = discovery->last_response > since &&
			 now - discovery->last_response < FRESH_TIMEOUT_MS;
	uint32_t i;

	for (i = 0; i < MC_SOURCE_KIND_COUNT; i++) {
		const kind_sync_t *sync = &discovery->syncs[i];

		known[i].revision = sync->state.revision;
		known[i].complete_at = sync->complete_at;
		reads_store = reads_store && is_followed(sync, now);
	}
	discovery->state_due =
		discovery->state_due || !is_recent || !reads_store;
	probe_request(discovery, !is_recent);
	return reads_store && is_recent && !discovery->store_unavailable;
}

/* Cancels a watch from the time before there was an upstream, which lacks what
 * that knows. */
static void cancel_hanging_watch(kind_sync_t *sync)
{
	mc_ms_t now = mc_shard_now(sync->discovery->params.shard);

	if (sync->missing_since == MC_MS_NEVER)
		sync->missing_since = now;
	if (now - sync->missing_since < WATCH_BEHIND_MS ||
	    !discovery_cancel_watch(sync))
		return;
	mc_log(mc_shard_log(sync->discovery->params.shard), MC_LOG_NOTICE,
	       "follow",
	       "watch lacks what the upstream knows kind=%s above=%llu",
	       discovery_kind_name(sync->kind),
	       (unsigned long long)sync->state.revision);
}

/* Reads a kind from the store if its records up to @revision aren't known. */
static void read_missing(kind_sync_t *sync, uint64_t revision)
{
	if (sync->state.revision >= revision)
		sync->missing_since = MC_MS_NEVER;
	if (!discovery_is_following(sync) || sync->state.revision >= revision)
		return;
	cancel_hanging_watch(sync);
	if (revision > sync->state.needed)
		sync->state.needed = revision;
	/* A list that was too old is followed by another one after a pause, one
	 * that failed when the store is available again. */
	if (!sync->timer.generation && !sync->parked)
		discovery_resume_sync(sync);
}

static void on_list_decoded(void *ctx, const mc_source_result_t *result)
{
	kind_sync_t *sync = ctx;

	if (result->err) {
		mc_log(mc_shard_log(sync->discovery->params.shard),
		       MC_LOG_WARNING, "follow", "relayed list ignored: %s",
		       mc_last_error_message());
		return;
	}
	/* A list that this instance is reading itself will do. */
	if (result->has_more ||
	    (sync->in_flight && !discovery_is_watch(sync)) ||
	    result->revision <= sync->state.revision)
		return;
	mc_counter_add(mc_shard_counters(sync->discovery->params.shard),
		       MC_COUNTER_NEWS_TAKEN, 1);
	discovery_apply_list(sync, result);
}

static void on_decoded(void *ctx, const mc_source_result_t *result)
{
	kind_sync_t *sync = ctx;

	if (result->err) {
		mc_log(mc_shard_log(sync->discovery->params.shard),
		       MC_LOG_WARNING, "follow", "relayed changes ignored: %s",
		       mc_last_error_message());
		read_missing(sync, sync->state.revision + 1);
		return;
	}
	if (result->revision <= sync->state.revision)
		return;
	mc_counter_add(mc_shard_counters(sync->discovery->params.shard),
		       MC_COUNTER_NEWS_TAKEN, 1);
	discovery_apply_changes(sync, result);
}

/* Whether a subscriber has no list of the store's new era yet. */
static bool awaits_list(const kind_sync_t *sync)
{
	return sync->begins_era && !sync->state.is_listed &&
	       sync->state.needed != MC_READ_CURRENT;
}

static void on_changes(void *ctx, uint32_t kind, uint64_t since,
		       const char *raw)
{
	mc_discovery_t *discovery = ctx;
	kind_sync_t *sync = &discovery->syncs[kind];

	if (!discovery_is_following(sync) &&
	    !(since == MC_RELAY_LIST && awaits_list(sync)))
		return;
	if (since == MC_RELAY_LIST) {
		discovery->params.source->decode(discovery->source, sync->kind,
						 true, raw, on_list_decoded,
						 sync);
		return;
	}
	/* Changes up to @since were not relayed. */
	if (since > sync->state.revision) {
		read_missing(sync, since);
		return;
	}
	discovery->params.source->decode(discovery->source, sync->kind, false,
					 raw, on_decoded, sync);
}

static void on_known(void *ctx, const mc_relay_known_t *known)
{
	mc_discovery_t *discovery = ctx;
	uint32_t i;

	for (i = 0; i < MC_SOURCE_KIND_COUNT; i++) {
		kind_sync_t *sync = &discovery->syncs[i];

		if (sync->state.revision >= known[i].revision)
			completeness_extend(sync, known[i].complete_at);
		read_missing(sync, known[i].revision);
	}
}

/* The upstream has noticed before this instance that the store came back older.
 */
static void on_era(void *ctx, uint64_t era)
{
	era_accept(ctx, era);
}

void peers_set_era(mc_discovery_t *discovery)
{
	if (!discovery->relay)
		return;
	mc_relay_set_era(discovery->relay, discovery->era);
	mc_relay_send_state(discovery->relay);
}

/* When the upstream is lost, each kind is read on from its last revision. */
static void on_upstream_changed(void *ctx)
{
	mc_discovery_t *discovery = ctx;

	if (peers_has_upstream(discovery))
		return;
	mc_counter_add(mc_shard_counters(discovery->params.shard),
		       MC_COUNTER_NEWS_LOST, 1);
	discovery_probe_first(discovery);
}

/* Whether the text of the records may hold keys of customers: that of a map
 * that names customers, or that can't be read. */
static bool may_hold_keys(mc_source_kind_t kind,
			  const mc_source_result_t *result)
{
	const mc_routemap_t *map;
	uint32_t i;

	if (kind != MC_SOURCE_ROUTEMAP)
		return false;
	for (i = 0; i < result->record_count; i++) {
		map = result->records[i].map;
		if (!map || mc_routemap_requires_keys(map))
			return true;
	}
	return false;
}

void peers_send_changes(const kind_sync_t *sync, uint64_t since,
			const mc_source_result_t *result)
{
	mc_relay_t *relay = sync->discovery->relay;

	if (!relay || !result->raw)
		return;
	/* Links between instances aren't authenticated. Subscribers see from
	 * the revision that they lack a change, and read it from the store. */
	if (may_hold_keys(sync->kind, result))
		mc_relay_send_state(relay);
	else
		mc_relay_send_changes(relay, sync->kind, since, result->raw);
}

void peers_update(mc_discovery_t *discovery)
{
	static mc_relay_peer_t peers[MC_RELAY_PEERS_MAX];
	const mc_source_instance_t *instance;
	apr_hash_index_t *index;
	uint32_t count = 0;
	void *value;

	if (!discovery->relay)
		return;
	memset(peers, 0, sizeof(peers));
	for (index = apr_hash_first(NULL, discovery->instances);
	     index && count < MC_RELAY_PEERS_MAX;
	     index = apr_hash_next(index)) {
		apr_hash_this(index, NULL, NULL, &value);
		instance = value;
		if (!instance->relay_address[0] ||
		    !strcmp(instance->name, discovery->params.instance_name) ||
		    strcmp(instance->data_center,
			   discovery->params.data_center))
			continue;
		snprintf(peers[count].name, sizeof(peers[count].name), "%s",
			 instance->name);
		snprintf(peers[count].address, sizeof(peers[count].address),
			 "%s", instance->relay_address);
		count++;
	}
	mc_relay_set_peers(discovery->relay, peers, count);
}

mc_err_t peers_create(mc_discovery_t *discovery)
{
	static const mc_relay_ops_t ops = {
		.get_known = get_known,
		.on_changes = on_changes,
		.on_known = on_known,
		.on_era = on_era,
		.on_upstream_changed = on_upstream_changed,
		.on_evidence = discovery_on_evidence,
	};
	const mc_relay_params_t params = {
		.shard = discovery->params.shard,
		.listen_address = discovery->params.relay_address,
		.instance_name = discovery->params.instance_name,
		.kind_count = MC_SOURCE_KIND_COUNT,
		.reliance = discovery->params.apply_max / RELIANCE_DIVISOR,
		.ops = &ops,
		.ctx = discovery,
	};

	if (!discovery->params.relay_address ||
	    !discovery->params.relay_address[0])
		return MC_OK;
	discovery->relay = mc_relay_create(&params);
	return discovery->relay ? MC_OK : MC_ERR_IO;
}

void peers_destroy(mc_discovery_t *discovery)
{
	mc_relay_destroy(discovery->relay);
	discovery->relay = NULL;
}
