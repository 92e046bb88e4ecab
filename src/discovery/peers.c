/*
 * What instances of one data centre tell each other of the store. One that
 * hears another relies on it: its own watches are not renewed when they end,
 * and are begun anew from where they stood when nothing is heard any more. One
 * that is heard looks after the store in short intervals, as those who hear it
 * notice a silent store only by it.
 */
#include "discovery_private.h"

#include <stdio.h>
#include <string.h>

enum {
	/* The store is asked something small so often while others hear this
	 * instance, ms. */
	PROBE_MS = 500,
	/* Without an answer for so long it may be out of reach, ms. */
	FRESH_MS = 1200,
};

bool hear_others(const mc_discovery_t *follow)
{
	return follow->news && mc_relay_has_upstream(follow->news);
}

static void probe(mc_shard_t *shard, void *arg);

static void probe_later(mc_discovery_t *follow)
{
	if (!follow->probe_timer.generation)
		follow_timer(follow, PROBE_MS, probe, follow,
			     &follow->probe_timer);
}

static void probed(void *ctx, const mc_source_result_t *result)
{
	mc_discovery_t *follow = ctx;

	follow->probing = false;
	follow_note_store(follow, result->err);
}

/* A cheap read may be old, so that nothing is taken from it. */
static void probe(mc_shard_t *shard, void *arg)
{
	mc_discovery_t *follow = arg;

	follow->probe_timer = MC_HANDLE_NONE;
	if (!mc_relay_subscriber_count(follow->news) || hear_others(follow))
		return;
	probe_later(follow);
	if (follow->probing)
		return;
	mc_counter_add(mc_shard_counters(shard), MC_COUNTER_STORE_CALLS, 1);
	follow->probing = !follow->params.source->list(
		follow->source, MC_SOURCE_DATA_CENTERS_OUT, "", true, probed,
		follow);
}

static bool describe(void *ctx, uint64_t *revisions)
{
	mc_discovery_t *follow = ctx;
	mc_ms_t now = mc_shard_now(follow->params.shard);
	bool fresh = !follow->store_lost && !hear_others(follow) &&
		     now - follow->answered < FRESH_MS;
	uint32_t i;

	for (i = 0; i < MC_SOURCE_KIND_COUNT; i++) {
		revisions[i] = follow->kinds[i].revision;
		fresh = fresh && follow->kinds[i].watching;
	}
	probe_later(follow);
	return fresh;
}

static void took_news(void *ctx, const mc_source_result_t *result)
{
	kind_t *kind = ctx;

	if (result->err) {
		mc_log(mc_shard_log(kind->follow->params.shard), MC_LOG_WARNING,
		       "follow", "news are ignored: %s",
		       mc_last_error_message());
		follow_read_on(kind);
		return;
	}
	if (result->revision <= kind->revision)
		return;
	mc_counter_add(mc_shard_counters(kind->follow->params.shard),
		       MC_COUNTER_NEWS_TAKEN, 1);
	follow_took_changes(kind, result);
}

static void told(void *ctx, uint32_t number, uint64_t above, const char *text)
{
	mc_discovery_t *follow = ctx;
	kind_t *kind = &follow->kinds[number];

	if (!kind->watching)
		return;
	/* What is between is not known: the store says it. */
	if (above > kind->revision) {
		follow_read_on(kind);
		return;
	}
	follow->params.source->decode_changes(follow->source, kind->kind, text,
					      took_news, kind);
}

static void known(void *ctx, const uint64_t *revisions)
{
	mc_discovery_t *follow = ctx;
	uint32_t i;

	for (i = 0; i < MC_SOURCE_KIND_COUNT; i++)
		if (follow->kinds[i].watching &&
		    follow->kinds[i].revision < revisions[i])
			follow_read_on(&follow->kinds[i]);
}

/* Nothing is heard any more: each kind is read on from where it is known. */
static void heard(void *ctx)
{
	mc_discovery_t *follow = ctx;
	uint32_t i;

	if (hear_others(follow))
		return;
	mc_counter_add(mc_shard_counters(follow->params.shard),
		       MC_COUNTER_NEWS_LOST, 1);
	for (i = 0; i < MC_SOURCE_KIND_COUNT; i++) {
		follow->kinds[i].current_until =
			mc_relay_last_received(follow->news);
		follow_read_on(&follow->kinds[i]);
	}
}

void hear_tell(const kind_t *kind, uint64_t above, const char *text)
{
	if (kind->follow->news)
		mc_relay_send_changes(kind->follow->news, kind->kind, above,
				      text);
}

void hear_instances(mc_discovery_t *follow)
{
	static mc_relay_peer_t peers[MC_RELAY_PEERS_MAX];
	const mc_source_instance_t *instance;
	apr_hash_index_t *index;
	uint32_t count = 0;
	void *value;

	if (!follow->news)
		return;
	memset(peers, 0, sizeof(peers));
	for (index = apr_hash_first(NULL, follow->instances);
	     index && count < MC_RELAY_PEERS_MAX;
	     index = apr_hash_next(index)) {
		apr_hash_this(index, NULL, NULL, &value);
		instance = value;
		if (!instance->relay_address[0] ||
		    !strcmp(instance->name, follow->params.instance_name) ||
		    strcmp(instance->data_center, follow->params.data_center))
			continue;
		snprintf(peers[count].name, sizeof(peers[count].name), "%s",
			 instance->name);
		snprintf(peers[count].address, sizeof(peers[count].address),
			 "%s", instance->relay_address);
		count++;
	}
	mc_relay_set_peers(follow->news, peers, count);
}

mc_err_t hear_create(mc_discovery_t *follow)
{
	static const mc_relay_ops_t ops = {
		.get_revisions = describe,
		.on_changes = told,
		.on_revisions = known,
		.on_upstream_changed = heard,
	};
	const mc_relay_params_t params = {
		.shard = follow->params.shard,
		.listen_address = follow->params.relay_address,
		.instance_name = follow->params.instance_name,
		.kind_count = MC_SOURCE_KIND_COUNT,
		.ops = &ops,
		.ctx = follow,
	};

	if (!follow->params.relay_address || !follow->params.relay_address[0])
		return MC_OK;
	follow->news = mc_relay_create(&params);
	return follow->news ? MC_OK : MC_ERR_IO;
}

void hear_destroy(mc_discovery_t *follow)
{
	mc_relay_destroy(follow->news);
	follow->news = NULL;
}
