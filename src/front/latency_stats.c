/*
 * The 95th percentile of latency of each shard and of each service, kept by
 * names, so that they outlive changes of the configuration.
 */
#include "front_private.h"

static const double book_quantile = 0.95;

typedef struct {
	uint64_t key;
	mc_quantile_t quantile;
} entry_t;

static uint64_t service_key(const query_t *query, uint32_t slot)
{
	const part_t *part = &query->parts[query->slots[slot].part];

	return mc_hash_string(
		query->view->config->services[part->service].name);
}

static uint64_t shard_key(const query_t *query, uint32_t slot)
{
	const slot_t *shard = &query->slots[slot];
	const part_t *part = &query->parts[shard->part];
	uint64_t layout =
		mc_hash_string(query->view->config->layouts[part->layout].name);

	return mc_hash_pair(mc_hash_pair(service_key(query, slot), layout),
			    shard->shard);
}

static mc_quantile_t *find(front_t *front, uint64_t key)
{
	entry_t *entry = apr_hash_get(front->latencies, &key, sizeof(key));

	if (entry)
		return &entry->quantile;
	entry = apr_pcalloc(front->pool, sizeof(*entry));
	entry->key = key;
	apr_hash_set(front->latencies, &entry->key, sizeof(entry->key), entry);
	return &entry->quantile;
}

const mc_quantile_t *latency_book_shard(front_t *front, const query_t *query,
					uint32_t slot)
{
	return find(front, shard_key(query, slot));
}

const mc_quantile_t *latency_book_service(front_t *front, const query_t *query,
					  uint32_t slot)
{
	return find(front, service_key(query, slot));
}

void latency_book_add(front_t *front, const query_t *query, uint32_t slot,
		      mc_ms_t latency)
{
	mc_quantile_add(find(front, shard_key(query, slot)), book_quantile,
			latency);
	mc_quantile_add(find(front, service_key(query, slot)), book_quantile,
			latency);
}
