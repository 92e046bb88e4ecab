/*
 * What records of each kind do to the fleet.
 */
#include "discovery_private.h"

#include <apr_strings.h>
#include <string.h>

static void log_fault(mc_discovery_t *follow, const char *what,
		      const mc_source_record_t *record)
{
	mc_log(mc_shard_log(follow->params.shard), MC_LOG_WARNING, "follow",
	       "record is ignored kind=%s name=%s reason=\"%s\"", what,
	       record->name, record->decode_error);
}

static void take_map(mc_discovery_t *follow, const mc_source_record_t *record,
		     mc_ms_t at)
{
	uint64_t known = mc_registry_routemap_version(follow->fleet);
	uint64_t version;

	(void)at;
	if (record->removed)
		return;
	if (record->decode_error) {
		log_fault(follow, "map", record);
		return;
	}
	version = mc_routemap_version(record->map);
	if (version <= known) {
		if (version < known)
			mc_counter_add(mc_shard_counters(follow->params.shard),
				       MC_COUNTER_CONFIG_STALE, 1);
		return;
	}
	mc_registry_set_routemap(follow->fleet, mc_routemap_ref(record->map));
	mc_counter_add(mc_shard_counters(follow->params.shard),
		       MC_COUNTER_CONFIG_CHANGES, 1);
	mc_log(mc_shard_log(follow->params.shard), MC_LOG_NOTICE, "follow",
	       "map in force version=%llu former=%llu routes=%u services=%u",
	       (unsigned long long)version, (unsigned long long)known,
	       mc_routemap_route_count(record->map),
	       mc_routemap_service_count(record->map));
}

static void take_target(mc_discovery_t *follow,
			const mc_source_record_t *record, mc_ms_t at)
{
	const mc_target_entry_t *entry = &record->target;
	mc_ms_t now = mc_shard_now(follow->params.shard);

	if (record->removed || record->decode_error) {
		if (record->decode_error)
			log_fault(follow, "target", record);
		mc_registry_remove_target(follow->fleet, record->name, at);
		mc_log(mc_shard_log(follow->params.shard), MC_LOG_INFO,
		       "follow", "target's entry is gone target=%s",
		       record->name);
		return;
	}
	if (mc_registry_put_target(follow->fleet, entry,
				   entry->draining ? at : now))
		mc_log(mc_shard_log(follow->params.shard), MC_LOG_ERROR,
		       "follow", "target is ignored: %s",
		       mc_last_error_message());
	mc_log(mc_shard_log(follow->params.shard), MC_LOG_INFO, "follow",
	       "target's entry target=%s service=%s address=%s draining=%d "
	       "cold_ms=%lld started=%lld",
	       entry->id, entry->service, entry->address, entry->draining,
	       (long long)entry->warmup_left, (long long)entry->started_at);
}

static void take_out(mc_discovery_t *follow, const mc_source_record_t *record,
		     mc_ms_t at)
{
	(void)at;
	mc_registry_set_data_center_out(follow->fleet, record->name,
					!record->removed);
	mc_log(mc_shard_log(follow->params.shard), MC_LOG_NOTICE, "follow",
	       "data centre is %s data_center=%s",
	       record->removed ? "in again" : "out", record->name);
}

static void take_instance(mc_discovery_t *follow,
			  const mc_source_record_t *record, mc_ms_t at)
{
	mc_source_instance_t *known = apr_hash_get(
		follow->instances, record->name, APR_HASH_KEY_STRING);

	(void)at;
	if (record->removed) {
		apr_hash_set(follow->instances, record->name,
			     APR_HASH_KEY_STRING, NULL);
	} else if (known) {
		*known = record->instance;
	} else {
		known = apr_pmemdup(follow->pool, &record->instance,
				    sizeof(record->instance));
		apr_hash_set(follow->instances, known->name,
			     APR_HASH_KEY_STRING, known);
	}
	mc_registry_set_instance_count(follow->fleet,
				       apr_hash_count(follow->instances));
}

void follow_take(mc_discovery_t *follow, mc_source_kind_t kind,
		 const mc_source_result_t *result, mc_ms_t at)
{
	static void (*const take[])(mc_discovery_t *,
				    const mc_source_record_t *, mc_ms_t) = {
		[MC_SOURCE_ROUTEMAP] = take_map,
		[MC_SOURCE_TARGETS] = take_target,
		[MC_SOURCE_DATA_CENTERS_OUT] = take_out,
		[MC_SOURCE_INSTANCES] = take_instance,
	};
	uint32_t i;

	for (i = 0; i < result->record_count; i++)
		take[kind](follow, &result->records[i], at);
	if (kind == MC_SOURCE_INSTANCES && result->record_count)
		hear_instances(follow);
}

void follow_list_begin(mc_discovery_t *follow, mc_source_kind_t kind)
{
	if (kind == MC_SOURCE_TARGETS)
		mc_registry_list_begin(follow->fleet);
	else if (kind == MC_SOURCE_DATA_CENTERS_OUT)
		mc_registry_clear_data_centers_out(follow->fleet);
	else if (kind == MC_SOURCE_INSTANCES)
		apr_hash_clear(follow->instances);
}

void follow_list_end(mc_discovery_t *follow, mc_source_kind_t kind)
{
	if (kind == MC_SOURCE_TARGETS)
		mc_registry_list_end(follow->fleet,
				     mc_shard_now(follow->params.shard));
}
