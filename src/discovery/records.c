/*
 * Applies records of each kind to the registry.
 */
#include "discovery_private.h"

#include <apr_strings.h>
#include <string.h>

void discovery_log_invalid(mc_discovery_t *discovery, const char *kind,
			   const mc_source_record_t *record)
{
	mc_counter_add(mc_shard_counters(discovery->params.shard),
		       MC_COUNTER_RECORDS_INVALID, 1);
	mc_log(mc_shard_log(discovery->params.shard), MC_LOG_WARNING, "follow",
	       "invalid record ignored kind=%s name=%s reason=\"%s\"", kind,
	       record->name, record->decode_error);
}

/* Logs the customers of a map that is put in force, in numbers. */
static void log_customers(mc_discovery_t *discovery, const mc_routemap_t *map)
{
	const mc_routemap_customer_faults_t *faults =
		mc_routemap_customer_faults(map);
	bool is_sound = !faults->customers && !faults->names && !faults->keys &&
			!faults->shared_keys;

	if (!mc_routemap_requires_keys(map))
		return;
	mc_log(mc_shard_log(discovery->params.shard),
	       is_sound ? MC_LOG_NOTICE : MC_LOG_WARNING, "follow",
	       "customers put in force version=%llu customers=%u keys=%u "
	       "without_keys=%u unusable_customers=%u repeated_names=%u "
	       "unusable_keys=%u shared_keys=%u",
	       (unsigned long long)mc_routemap_version(map),
	       mc_routemap_customer_count(map), mc_routemap_key_count(map),
	       faults->without_keys, faults->customers, faults->names,
	       faults->keys, faults->shared_keys);
}

static void apply_routemap(mc_discovery_t *discovery,
			   const mc_source_record_t *record, mc_ms_t at)
{
	uint64_t known = mc_registry_routemap_version(discovery->registry);
	uint64_t version;

	(void)at;
	if (record->removed)
		return;
	if (record->decode_error) {
		discovery_log_invalid(discovery, "map", record);
		return;
	}
	version = mc_routemap_version(record->map);
	if (version <= known) {
		if (version < known)
			mc_counter_add(
				mc_shard_counters(discovery->params.shard),
				MC_COUNTER_CONFIG_STALE, 1);
		return;
	}
	mc_registry_set_routemap(discovery->registry,
				 mc_routemap_ref(record->map));
	mc_counter_add(mc_shard_counters(discovery->params.shard),
		       MC_COUNTER_CONFIG_CHANGES, 1);
	mc_log(mc_shard_log(discovery->params.shard), MC_LOG_NOTICE, "follow",
	       "route map put in force version=%llu former=%llu routes=%u "
	       "services=%u",
	       (unsigned long long)version, (unsigned long long)known,
	       mc_routemap_route_count(record->map),
	       mc_routemap_service_count(record->map));
	log_customers(discovery, record->map);
}

static void remove_target(mc_discovery_t *discovery,
			  const mc_source_record_t *record, mc_ms_t at)
{
	bool is_leaving = mc_registry_remove_target(
		discovery->registry, record->name, record->revision, at);

	mc_log(mc_shard_log(discovery->params.shard), MC_LOG_INFO, "follow",
	       "%s target=%s revision=%llu",
	       is_leaving ? "target leaving: entry removed or invalid"
			  : "removal ignored: target unknown or written since",
	       record->name, (unsigned long long)record->revision);
}

static void apply_target(mc_discovery_t *discovery,
			 const mc_source_record_t *record, mc_ms_t at)
{
	const mc_target_entry_t *entry = &record->target;
	mc_ms_t now = mc_shard_now(discovery->params.shard);

	if (record->decode_error)
		discovery_log_invalid(discovery, "target", record);
	if (record->removed || record->decode_error) {
		remove_target(discovery, record, at);
		return;
	}
	/* The order of a roll-out says what the version may get. */
	if (mc_rollouts_has_order(discovery->rollouts, entry->service,
				  entry->version))
		mc_registry_accept_version(discovery->registry, entry->service,
					   entry->version);
	/* A target may have begun to drain when the upstream was lost, so that
	 * its grace period counts from @at; a warm-up counts from now. */
	if (mc_registry_put_target(discovery->registry, entry, record->revision,
				   entry->draining ? at : now))
		mc_log(mc_shard_log(discovery->params.shard), MC_LOG_ERROR,
		       "follow", "target ignored: %s", mc_last_error_message());
	mc_log(mc_shard_log(discovery->params.shard), MC_LOG_INFO, "follow",
	       "target entry read target=%s service=%s version=%s address=%s "
	       "draining=%d cold_ms=%lld started=%lld revision=%llu",
	       entry->id, entry->service, entry->version, entry->address,
	       entry->draining, (long long)entry->warmup_left,
	       (long long)entry->started_at,
	       (unsigned long long)record->revision);
}

static void apply_data_center_out(mc_discovery_t *discovery,
				  const mc_source_record_t *record, mc_ms_t at)
{
	(void)at;
	mc_registry_set_data_center_out(discovery->registry, record->name,
					!record->removed);
	mc_log(mc_shard_log(discovery->params.shard), MC_LOG_NOTICE, "follow",
	       "data centre is %s data_center=%s",
	       record->removed ? "back in service" : "out of service",
	       record->name);
}

/* The list of instances is the same everywhere, so that each has another place.
 */
static void update_instances(mc_discovery_t *discovery)
{
	const char *self = discovery->params.instance_name;
	apr_hash_index_t *at;
	uint32_t index = 0;
	const void *name;

	for (at = apr_hash_first(NULL, discovery->instances); at;
	     at = apr_hash_next(at)) {
		apr_hash_this(at, &name, NULL, NULL);
		if (strcmp(name, self) < 0)
			index++;
	}
	mc_registry_set_instances(discovery->registry,
				  apr_hash_count(discovery->instances), index);
}

/* A store that has come back older may have evidence that this instance has
 * withdrawn since. */
static void note_own_record(mc_discovery_t *discovery,
			    const mc_source_record_t *record)
{
	discovery->own_listed = !record->removed;
	if (discovery->syncs[MC_SOURCE_INSTANCES].begins_era &&
	    record->instance.evidence_count)
		mc_rollouts_evidence_failed(discovery->rollouts);
}

static void apply_instance(mc_discovery_t *discovery,
			   const mc_source_record_t *record, mc_ms_t at)
{
	mc_source_instance_t *known = apr_hash_get(
		discovery->instances, record->name, APR_HASH_KEY_STRING);

	(void)at;
	if (!strcmp(record->name, discovery->params.instance_name))
		note_own_record(discovery, record);
	if (!record->removed)
		mc_rollouts_set_evidence(discovery->rollouts, record->name,
					 record->instance.evidence,
					 record->instance.evidence_count,
					 mc_shard_now(discovery->params.shard));
	if (record->removed) {
		apr_hash_set(discovery->instances, record->name,
			     APR_HASH_KEY_STRING, NULL);
	} else if (known) {
		*known = record->instance;
	} else {
		known = apr_pmemdup(discovery->pool, &record->instance,
				    sizeof(record->instance));
		apr_hash_set(discovery->instances, known->name,
			     APR_HASH_KEY_STRING, known);
	}
	if (!record->removed) {
		known->evidence = NULL;
		known->evidence_count = 0;
	}
}

/* Whether a later change of the same name was applied before. */
static bool has_later_known(const mc_source_result_t *result, uint32_t index,
			    uint64_t known_until)
{
	const char *name = result->records[index].name;
	const mc_source_record_t *later;
	uint32_t i;

	for (i = index + 1; i < result->record_count; i++) {
		later = &result->records[i];
		if (later->revision && later->revision <= known_until &&
		    !strcmp(later->name, name))
			return true;
	}
	return false;
}

/*
 * Whether a change was applied before. An upstream that was behind relays
 * changes that its subscribers have read from the store already; applied again,
 * they would bring back former states. A removal may bear the revision of the
 * change before it, so that its own does not tell; it is applied again where
 * nothing came after it.
 */
static bool is_known(const mc_source_result_t *result, uint32_t index,
		     uint64_t known_until)
{
	const mc_source_record_t *record = &result->records[index];

	if (record->removed)
		return has_later_known(result, index, known_until);
	return record->revision && record->revision <= known_until;
}

void discovery_apply_records(mc_discovery_t *discovery, mc_source_kind_t kind,
			     const mc_source_result_t *result,
			     uint64_t known_until, mc_ms_t at)
{
	static void (*const apply[])(mc_discovery_t *,
				     const mc_source_record_t *, mc_ms_t) = {
		[MC_SOURCE_ROUTEMAP] = apply_routemap,
		[MC_SOURCE_TARGETS] = apply_target,
		[MC_SOURCE_DATA_CENTERS_OUT] = apply_data_center_out,
		[MC_SOURCE_INSTANCES] = apply_instance,
		[MC_SOURCE_ROLLOUTS] = rollouts_apply_order,
	};
	uint32_t i;

	for (i = 0; i < result->record_count; i++) {
		const mc_source_record_t *record = &result->records[i];

		if (record->decode_error && !*record->name)
			discovery_log_invalid(discovery, "unknown", record);
		else if (!is_known(result, i, known_until))
			apply[kind](discovery, record, at);
	}
	if (kind == MC_SOURCE_INSTANCES && result->record_count) {
		update_instances(discovery);
		peers_update(discovery);
	}
	if (kind == MC_SOURCE_TARGETS) {
		if (result->revision > discovery->targets_revision)
			discovery->targets_revision = result->revision;
		rollouts_confirm_versions(discovery);
	}
	/* Rules follow from orders and from the versions of targets. */
	if (kind == MC_SOURCE_TARGETS || kind == MC_SOURCE_ROLLOUTS)
		rollouts_update(discovery);
}

/* Instances that a store which has come back older lacks are kept for some
 * time, as they write their records again. */
static void begin_instances(mc_discovery_t *discovery)
{
	discovery->own_listed = false;
	if (!discovery->syncs[MC_SOURCE_INSTANCES].begins_era)
		apr_hash_clear(discovery->instances);
}

static void begin_data_centers_out(mc_discovery_t *discovery)
{
	mc_ms_t now = mc_shard_now(discovery->params.shard);

	if (discovery->syncs[MC_SOURCE_DATA_CENTERS_OUT].begins_era)
		mc_registry_keep_data_centers_out(
			discovery->registry,
			now + MC_REGISTRY_REMOVAL_GRACE_MS);
	else
		mc_registry_clear_data_centers_out(discovery->registry);
}

void discovery_list_begin(mc_discovery_t *discovery, mc_source_kind_t kind)
{
	if (kind == MC_SOURCE_TARGETS)
		mc_registry_list_begin(discovery->registry);
	else if (kind == MC_SOURCE_DATA_CENTERS_OUT)
		begin_data_centers_out(discovery);
	else if (kind == MC_SOURCE_INSTANCES)
		begin_instances(discovery);
	else if (kind == MC_SOURCE_ROLLOUTS)
		mc_rollouts_list_begin(discovery->rollouts);
}

void discovery_list_end(mc_discovery_t *discovery, mc_source_kind_t kind,
			uint64_t revision, mc_ms_t at)
{
	if (kind == MC_SOURCE_TARGETS)
		mc_registry_list_end(discovery->registry, revision, at);
	if (kind == MC_SOURCE_ROLLOUTS) {
		mc_rollouts_list_end(discovery->rollouts);
		mc_registry_end_confirmation(discovery->registry);
	}
	rollouts_update(discovery);
}
