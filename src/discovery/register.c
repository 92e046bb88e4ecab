/*
 * Registers this instance in the store. Its record is created once; a record
 * that a former instance of the same name has left is replaced where it has
 * another address or data centre.
 */
#include "discovery_private.h"

#include <stdio.h>
#include <string.h>

mc_source_instance_t discovery_make_registration(
	const mc_discovery_t *discovery, mc_rollout_evidence_t *evidence)
{
	mc_source_instance_t self = { .evidence = evidence };

	snprintf(self.name, sizeof(self.name), "%s",
		 discovery->params.instance_name);
	snprintf(self.data_center, sizeof(self.data_center), "%s",
		 discovery->params.data_center);
	snprintf(self.relay_address, sizeof(self.relay_address), "%s",
		 discovery->params.relay_address
			 ? discovery->params.relay_address
			 : "");
	self.evidence_count = mc_rollouts_get_evidence(
		discovery->rollouts, evidence, MC_ROLLOUT_EVIDENCE_MAX,
		mc_shard_now(discovery->params.shard));
	return self;
}

/* Whether a record of this instance has another address or data centre. */
static bool is_former_record(const mc_discovery_t *discovery,
			     const mc_source_instance_t *record)
{
	mc_rollout_evidence_t evidence[MC_ROLLOUT_EVIDENCE_MAX];
	const mc_source_instance_t self =
		discovery_make_registration(discovery, evidence);

	return strcmp(record->relay_address, self.relay_address) ||
	       strcmp(record->data_center, self.data_center);
}

static bool is_outdated(const mc_discovery_t *discovery,
			const mc_source_result_t *result)
{
	return result->err == MC_ERR_CONFLICT && result->record_count &&
	       is_former_record(discovery, &result->records->instance);
}

static void on_registered(void *ctx, const mc_source_result_t *result)
{
	mc_discovery_t *discovery = ctx;
	mc_handle_t timer = MC_HANDLE_NONE;
	bool is_lost;

	discovery_note_store_result(discovery, result->err);
	is_lost = era_is_former(discovery, result->era);
	era_accept(discovery, result->era);
	if (!discovery->syncs[MC_SOURCE_INSTANCES].listed_once)
		discovery_resume_sync(&discovery->syncs[MC_SOURCE_INSTANCES]);
	discovery->register_replaces = is_outdated(discovery, result);
	discovery->registered =
		!is_lost && (!result->err || (result->err == MC_ERR_CONFLICT &&
					      !discovery->register_replaces));
	if (discovery->registered)
		return;
	discovery_set_timer(
		discovery,
		discovery_backoff(discovery, discovery->register_failures++),
		discovery_register, discovery, &timer);
}

void discovery_register(mc_shard_t *shard, void *arg)
{
	mc_discovery_t *discovery = arg;
	mc_rollout_evidence_t evidence[MC_ROLLOUT_EVIDENCE_MAX];
	const mc_source_instance_t self =
		discovery_make_registration(discovery, evidence);
	mc_handle_t timer = MC_HANDLE_NONE;

	(void)shard;
	discovery_count_call(discovery, MC_COUNTER_STORE_CALLS_START);
	if (discovery->params.source->register_instance(
		    discovery->source, &self, discovery->register_replaces,
		    on_registered, discovery))
		discovery_set_timer(discovery, DISCOVERY_BACKOFF_MAX_MS,
				    discovery_register, discovery, &timer);
}

void discovery_check_registration(mc_discovery_t *discovery)
{
	const mc_source_instance_t *known =
		discovery->own_listed
			? apr_hash_get(discovery->instances,
				       discovery->params.instance_name,
				       APR_HASH_KEY_STRING)
			: NULL;

	/* Else it is being written. */
	if (!discovery->registered ||
	    (known && !is_former_record(discovery, known)))
		return;
	mc_log(mc_shard_log(discovery->params.shard), MC_LOG_NOTICE, "follow",
	       "own record is written again: the store has %s",
	       known ? "a former one" : "none");
	discovery->registered = false;
	discovery->register_replaces = known;
	discovery_register(discovery->params.shard, discovery);
}
