/*
 * Each shard's own 95th percentile of latency, kept by the layout's name, so
 * that it outlives changes of the configuration.
 */
#include "front_private.h"

static const double book_quantile = 0.95;

typedef struct {
	uint64_t key;
	mc_quantile_t quantile;
} entry_t;

static uint64_t key_of(const query_t *query, uint32_t slot)
{
	const mc_config_t *config = query->view->config;
	const slot_t *shard = &query->slots[slot];
	const part_t *part = &query->parts[shard->part];
	uint64_t service = mc_hash_string(config->services[part->service].name);
	uint64_t layout = mc_hash_string(config->layouts[part->layout].name);

	return mc_hash_pair(mc_hash_pair(service, layout), shard->shard);
}

mc_quantile_t *latency_book_find(front_t *front, const query_t *query,
				 uint32_t slot)
{
	uint64_t key = key_of(query, slot);
	entry_t *entry = apr_hash_get(front->latencies, &key, sizeof(key));

	if (entry)
		return &entry->quantile;
	entry = apr_pcalloc(front->pool, sizeof(*entry));
	entry->key = key;
	apr_hash_set(front->latencies, &entry->key, sizeof(entry->key), entry);
	return &entry->quantile;
}

void latency_book_add(front_t *front, const query_t *query, uint32_t slot,
		      mc_ms_t latency)
{
	mc_quantile_add(latency_book_find(front, query, slot), book_quantile,
			latency);
}
