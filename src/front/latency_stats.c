/*
 * The 95th percentile of the latency of each shard, and of all shards of each
 * service. They are keyed by names, so that they survive changes of the
 * configuration.
 */
#include "front_private.h"

static const double tracked_quantile = 0.95;

typedef struct {
	uint64_t key;
	mc_quantile_t quantile;
} entry_t;

static uint64_t service_key(const query_t *query, uint32_t slot)
{
	const service_part_t *part = &query->parts[query->slots[slot].part];

	return mc_hash_string(
		query->view->config->services[part->service].name);
}

static uint64_t shard_key(const query_t *query, uint32_t slot)
{
	const shard_slot_t *shard = &query->slots[slot];
	const service_part_t *part = &query->parts[shard->part];
	uint64_t layout =
		mc_hash_string(query->view->config->layouts[part->layout].name);

	return mc_hash_pair(mc_hash_pair(service_key(query, slot), layout),
			    shard->shard);
}

static mc_quantile_t *find_quantile(front_t *front, uint64_t key)
{
	entry_t *entry =
		apr_hash_get(front->latency_quantiles, &key, sizeof(key));

	if (entry)
		return &entry->quantile;
	entry = apr_pcalloc(front->pool, sizeof(*entry));
	entry->key = key;
	apr_hash_set(front->latency_quantiles, &entry->key, sizeof(entry->key),
		     entry);
	return &entry->quantile;
}

const mc_quantile_t *latency_stats_shard(front_t *front, const query_t *query,
					 uint32_t slot)
{
	return find_quantile(front, shard_key(query, slot));
}

const mc_quantile_t *latency_stats_service(front_t *front, const query_t *query,
					   uint32_t slot)
{
	return find_quantile(front, service_key(query, slot));
}

void latency_stats_add(front_t *front, const query_t *query, uint32_t slot,
		       mc_ms_t latency)
{
	mc_quantile_add(find_quantile(front, shard_key(query, slot)),
			tracked_quantile, latency);
	mc_quantile_add(find_quantile(front, service_key(query, slot)),
			tracked_quantile, latency);
}
