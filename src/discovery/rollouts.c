/*
 * Roll-outs: passes orders and evidence to the rollout library, and its rules
 * to the registry; writes states of orders, and adds this instance's evidence
 * to its record in the store, from which all instances read it. A state is
 * written under a condition, so that the first decision stands whoever writes
 * it; instances that read the store themselves write first.
 */
#include "discovery_private.h"

#include <string.h>

enum {
	/* Interval at which orders in progress are judged, ms. */
	UPDATE_INTERVAL_MS = 250,
	/* Shortest interval between two writes of evidence, ms, and the time
	 * that one write of each instance takes the store, ms. */
	EVIDENCE_INTERVAL_MS = 1000,
	EVIDENCE_INSTANCE_MS = 25,
	/* The same shortly before an order is decided. */
	DECIDING_INTERVAL_MS = 200,
	DECIDING_INSTANCE_MS = 5,
	/* Random delay of a write, ms, and the delay of instances with an
	 * upstream, which write only if the others don't, ms. */
	WRITE_JITTER_MS = 150,
	WRITE_BACKUP_MS = 900,
};

static const char *const mode_names[] = {
	[MC_ROLLOUT_CANARY] = "canary",
	[MC_ROLLOUT_PREFERRED] = "preferred",
	[MC_ROLLOUT_BARRED] = "barred",
};

static const char *const state_names[] = {
	[MC_ROLLOUT_NEW] = "new",
	[MC_ROLLOUT_IN_PROGRESS] = "in_progress",
	[MC_ROLLOUT_SUCCEEDED] = "succeeded",
	[MC_ROLLOUT_ROLLED_BACK] = "rolled_back",
};

static void put_order(mc_discovery_t *discovery, const char *name,
		      const mc_rollout_order_t *order)
{
	mc_ms_t now = mc_shard_now(discovery->params.shard);

	if (mc_rollouts_put_order(discovery->rollouts, order, now))
		mc_log(mc_shard_log(discovery->params.shard), MC_LOG_ERROR,
		       "follow", "order of a roll-out ignored: %s",
		       mc_last_error_message());
	mc_log(mc_shard_log(discovery->params.shard), MC_LOG_NOTICE, "follow",
	       "order of a roll-out read name=%s service=%s version=%s "
	       "duration_ms=%lld state=%s revision=%llu",
	       name, order->service, order->version, (long long)order->duration,
	       state_names[order->state], (unsigned long long)order->revision);
}

void rollouts_apply_order(mc_discovery_t *discovery,
			  const mc_source_record_t *record, mc_ms_t at)
{
	(void)at;
	if (record->removed) {
		mc_rollouts_remove_order(discovery->rollouts, record->name);
		mc_log(mc_shard_log(discovery->params.shard), MC_LOG_NOTICE,
		       "follow", "order of a roll-out removed service=%s",
		       record->name);
		return;
	}
	if (record->decode_error) {
		discovery_log_invalid(discovery, "rollout", record);
		return;
	}
	put_order(discovery, record->name, &record->order);
}

static mc_rollout_capacity_t get_capacity(void *ctx, const char *service,
					  const char *version)
{
	const mc_discovery_t *discovery = ctx;
	const mc_registry_t *registry = discovery->registry;
	mc_rollout_capacity_t capacity =
		mc_registry_capacity(registry, service, version);
	mc_rollout_rule_t rules[MC_ROLLOUTS_MAX];
	uint32_t count = mc_rollouts_get_rules(discovery->rollouts, rules,
					       MC_ROLLOUTS_MAX);
	uint32_t i;

	/* Nothing can fall back to a version that is barred. */
	for (i = 0; i < count; i++)
		if (rules[i].mode == MC_ROLLOUT_BARRED &&
		    !strcmp(rules[i].service, service) &&
		    strcmp(rules[i].version, version))
			capacity.old_slots -=
				mc_registry_capacity(registry, service,
						     rules[i].version)
					.new_slots;
	return capacity;
}

static void publish_rules(mc_discovery_t *discovery)
{
	mc_rollout_rule_t rules[MC_ROLLOUTS_MAX];
	uint32_t count = mc_rollouts_get_rules(discovery->rollouts, rules,
					       MC_ROLLOUTS_MAX);
	uint32_t i;

	for (i = 0; i < count; i++)
		mc_log(mc_shard_log(discovery->params.shard), MC_LOG_NOTICE,
		       "follow",
		       "version in a roll-out service=%s version=%s mode=%s "
		       "reason=\"%s\"",
		       rules[i].service, rules[i].version,
		       mode_names[rules[i].mode],
		       mc_rollouts_get_reason(discovery->rollouts,
					      rules[i].service));
	mc_registry_set_rules(discovery->registry, rules, count);
	discovery_schedule_publish(discovery);
}

/* The order is returned as it was when its state was written. A later change
 * of it may have been read since. */
static void on_state_written(void *ctx, const mc_source_result_t *result)
{
	mc_discovery_t *discovery = ctx;
	uint64_t known;

	mc_log(mc_shard_log(discovery->params.shard), MC_LOG_NOTICE, "follow",
	       "state of a roll-out written result=%s",
	       mc_error_name(result->err));
	if (!era_accept(discovery, result->era))
		return;
	known = discovery->syncs[MC_SOURCE_ROLLOUTS].state.revision;
	if (!result->record_count || result->records->decode_error ||
	    result->records->revision <= known)
		return;
	put_order(discovery, result->records->name, &result->records->order);
	rollouts_update(discovery);
}

static void write_states(mc_discovery_t *discovery, mc_ms_t now)
{
	const mc_source_ops_t *ops = discovery->params.source;
	mc_ms_t delay = mc_random_below(
		mc_shard_random(discovery->params.shard), WRITE_JITTER_MS);
	mc_rollout_order_t order;

	if (peers_has_upstream(discovery))
		delay += WRITE_BACKUP_MS;
	while (mc_rollouts_next_write(discovery->rollouts, delay, now,
				      &order)) {
		discovery_count_call(discovery, MC_COUNTER_STORE_CALLS_ROLLOUT);
		mc_log(mc_shard_log(discovery->params.shard), MC_LOG_NOTICE,
		       "follow",
		       "state of a roll-out is written service=%s version=%s "
		       "state=%s reason=\"%s\"",
		       order.service, order.version, state_names[order.state],
		       mc_rollouts_get_reason(discovery->rollouts,
					      order.service));
		if (ops->write_rollout_state(discovery->source, &order,
					     on_state_written, discovery))
			return;
	}
}

static void on_evidence_written(void *ctx, const mc_source_result_t *result)
{
	mc_discovery_t *discovery = ctx;

	discovery->evidence_in_flight = false;
	era_accept(discovery, result->era);
	if (!result->err)
		return;
	mc_log(mc_shard_log(discovery->params.shard), MC_LOG_INFO, "follow",
	       "evidence of a roll-out not written: %s",
	       mc_error_name(result->err));
	mc_rollouts_evidence_failed(discovery->rollouts);
}

static void write_evidence(mc_discovery_t *discovery, mc_ms_t now)
{
	mc_rollout_evidence_t evidence[MC_ROLLOUT_EVIDENCE_MAX];
	mc_ms_t interval = (mc_ms_t)apr_hash_count(discovery->instances) *
			   EVIDENCE_INSTANCE_MS;
	mc_source_instance_t self;

	if (interval < EVIDENCE_INTERVAL_MS)
		interval = EVIDENCE_INTERVAL_MS;
	if (!discovery->registered || discovery->evidence_in_flight ||
	    now - discovery->evidence_sent_at < interval ||
	    !mc_rollouts_evidence_changed(discovery->rollouts, now))
		return;
	self = discovery_make_registration(discovery, evidence);
	discovery_count_call(discovery, MC_COUNTER_STORE_CALLS_ROLLOUT);
	discovery->evidence_sent_at = now;
	mc_rollouts_evidence_sent(discovery->rollouts, now);
	discovery->evidence_in_flight =
		!discovery->params.source->register_instance(
			discovery->source, &self, true, on_evidence_written,
			discovery);
}

static void on_update_timer(mc_shard_t *shard, void *arg)
{
	mc_discovery_t *discovery = arg;

	(void)shard;
	discovery->rollout_timer = MC_HANDLE_NONE;
	rollouts_update(discovery);
}

/* Whether this instance knows what the others have seen. */
static bool is_informed(const mc_discovery_t *discovery)
{
	return !discovery->store_unavailable &&
	       discovery_is_following(&discovery->syncs[MC_SOURCE_INSTANCES]) &&
	       discovery_is_following(&discovery->syncs[MC_SOURCE_ROLLOUTS]);
}

static void schedule_update(mc_discovery_t *discovery, mc_ms_t now)
{
	mc_ms_t due = mc_rollouts_next_due(discovery->rollouts, now);
	mc_ms_t delay = UPDATE_INTERVAL_MS;

	if (due - now < delay)
		delay = due - now;
	discovery_set_timer(discovery, delay, on_update_timer, discovery,
			    &discovery->rollout_timer);
}

void rollouts_update(mc_discovery_t *discovery)
{
	mc_ms_t now = mc_shard_now(discovery->params.shard);

	if (mc_rollouts_tick(discovery->rollouts, is_informed(discovery),
			     get_capacity, discovery, now))
		publish_rules(discovery);
	write_states(discovery, now);
	write_evidence(discovery, now);
	if (mc_rollouts_active(discovery->rollouts) ||
	    mc_rollouts_evidence_changed(discovery->rollouts, now))
		schedule_update(discovery, now);
}

void rollouts_confirm_versions(mc_discovery_t *discovery)
{
	if (!mc_registry_has_unconfirmed(discovery->registry))
		return;
	mc_log(mc_shard_log(discovery->params.shard), MC_LOG_INFO, "follow",
	       "target of a new version: orders of roll-outs are read again");
	discovery_relist(&discovery->syncs[MC_SOURCE_ROLLOUTS],
			 discovery->targets_revision);
}

void mc_discovery_report_outcomes(mc_discovery_t *discovery,
				  const mc_rollout_evidence_t *outcomes,
				  uint32_t count)
{
	mc_ms_t now = mc_shard_now(discovery->params.shard);
	uint32_t i;

	for (i = 0; i < count; i++)
		mc_rollouts_add_outcomes(discovery->rollouts, &outcomes[i],
					 now);
	rollouts_update(discovery);
}
