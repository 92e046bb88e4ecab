/*
 * Applies the rules of roll-outs to services and targets, and counts outcomes
 * by route, which are reported to the control shard.
 */
#include "rollout.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
	/* Interval at which outcomes are reported to the control shard, ms. */
	REPORT_INTERVAL_MS = 100,
	/* A target may be slow for this time after its start, ms; its slow
	 * answers are not counted. */
	START_GRACE_MS = 3000,
	/* A target's own time-out. */
	STATUS_GATEWAY_TIMEOUT = 504,
};

/* An answer that takes this multiple of the usual time is slow. */
static const double slow_factor = 2.5;
/* Shorter answers are never slow, ms. */
static const double slow_min_ms = 10;

static const mc_rollout_rule_t *find_rule(const mc_registry_view_t *view,
					  const char *service,
					  const char *version)
{
	uint32_t i;

	for (i = 0; i < view->rule_count; i++)
		if (!strcmp(view->rules[i].service, service) &&
		    !strcmp(view->rules[i].version, version))
			return &view->rules[i];
	return NULL;
}

static void report(mc_shard_t *shard, void *arg);

static void schedule_report(tier_t *tier)
{
	mc_ms_t at = mc_shard_now(tier->shard) + REPORT_INTERVAL_MS;

	if (tier->rollout_timer.generation)
		return;
	if (mc_timer_set(tier->shard, at, report, tier, &tier->rollout_timer))
		mc_log(tier->log, MC_LOG_ERROR, "tier",
		       "outcomes of roll-outs not reported: timer failed: %s",
		       mc_last_error_message());
}

static void start_rollout(tier_t *tier, service_t *service,
			  const mc_rollout_rule_t *rule)
{
	service_rollout_t *rollout = &service->rollout;
	double allowed = tier->process->settings.rollout_share;

	if (!rollout->is_active || strcmp(rollout->version, rule->version)) {
		*rollout = (service_rollout_t){ .is_active = true };
		mc_rollout_credit_start(
			&rollout->credit,
			mc_random_unit(mc_shard_random(tier->shard)));
		snprintf(rollout->version, sizeof(rollout->version), "%s",
			 rule->version);
	}
	rollout->mode = rule->mode;
	rollout->share = mc_rollout_canary_share(allowed);
	schedule_report(tier);
}

static void apply_to_services(tier_t *tier, const mc_registry_view_t *view)
{
	uint32_t cursor = 0, i;
	mc_handle_t handle;
	service_t *service;

	while ((service = mc_table_next(tier->services, &cursor, &handle))) {
		const mc_rollout_rule_t *rule = NULL;

		for (i = 0; i < view->rule_count; i++)
			if (!strcmp(view->rules[i].service, service->name) &&
			    view->rules[i].mode != MC_ROLLOUT_BARRED)
				rule = &view->rules[i];
		if (rule)
			start_rollout(tier, service, rule);
		else
			service->rollout.is_active = false;
	}
}

static void apply_to_target(const mc_registry_view_t *view,
			    const service_t *service, target_t *target)
{
	const mc_rollout_rule_t *rule = NULL;

	if (view->rule_count)
		rule = find_rule(view, service->name, target->entry.version);
	if (rule && rule->mode == MC_ROLLOUT_BARRED)
		target->version_barred = true;
	target->in_rollout = rule && rule->mode != MC_ROLLOUT_BARRED;
}

void rollout_apply_rules(tier_t *tier, const mc_registry_view_t *view)
{
	uint32_t cursor = 0;
	mc_handle_t handle;
	const service_t *service;
	target_t *target;

	apply_to_services(tier, view);
	while ((target = mc_table_next(tier->targets, &cursor, &handle))) {
		service = mc_table_get(tier->services, target->service);
		if (service)
			apply_to_target(view, service, target);
	}
}

bool rollout_is_canary(const service_t *service, const target_t *target)
{
	return target->in_rollout && service->rollout.is_active &&
	       service->rollout.mode == MC_ROLLOUT_CANARY;
}

bool rollout_wants_canary(const service_t *service, const part_t *part)
{
	return service->rollout.is_active &&
	       service->rollout.mode == MC_ROLLOUT_CANARY &&
	       mc_rollout_credit_allows(&service->rollout.credit) &&
	       !part->attempts.sends;
}

void rollout_count_send(service_t *service, const target_t *target)
{
	service_rollout_t *rollout = &service->rollout;

	if (!rollout->is_active)
		return;
	mc_rollout_credit_count(&rollout->credit, rollout->share,
				rollout_is_canary(service, target));
}

/* Returns the counts of a target's version on a route; NULL if they are not
 * counted. */
static mc_rollout_counts_t *find_counts(service_t *service,
					const route_stats_t *route,
					const target_t *target)
{
	service_rollout_t *rollout = &service->rollout;
	bool preferred = rollout->mode == MC_ROLLOUT_PREFERRED;
	uint32_t i;

	if (!rollout->is_active || !route)
		return NULL;
	for (i = 0; i < rollout->outcome_count; i++)
		if (rollout->outcomes[i].route == route &&
		    rollout->outcomes[i].preferred == preferred)
			break;
	if (i == TIER_ROLLOUT_ROUTES_MAX)
		return NULL;
	if (i == rollout->outcome_count) {
		memset(&rollout->outcomes[i], 0, sizeof(rollout->outcomes[i]));
		rollout->outcomes[i].route = route;
		rollout->outcomes[i].preferred = preferred;
		rollout->outcome_count++;
	}
	return target->in_rollout ? &rollout->outcomes[i].new
				  : &rollout->outcomes[i].old;
}

static bool is_slow(const tier_t *tier, const target_t *target,
		    const attempt_t *attempt)
{
	mc_ms_t now = mc_shard_now(tier->shard);
	double taken = (double)(now - attempt->sent_at);

	return attempt->typical_latency > 0 && now >= target->warmup_until &&
	       now - target->added_at >= START_GRACE_MS &&
	       taken >= slow_min_ms &&
	       taken > attempt->typical_latency * slow_factor;
}

static void record(tier_t *tier, const request_t *request,
		   const target_t *target, bool failed, bool slow)
{
	service_t *service = mc_table_get(tier->services, target->service);
	mc_rollout_counts_t *counts =
		service ? find_counts(service, request->stats, target) : NULL;

	if (!counts)
		return;
	counts->answered++;
	counts->failed += failed;
	counts->slow += slow && !failed;
}

void rollout_record_response(tier_t *tier, const request_t *request,
			     const target_t *target, const attempt_t *attempt,
			     const mc_h1_message_t *message, bool failed)
{
	bool timed_out = message->status == STATUS_GATEWAY_TIMEOUT;

	record(tier, request, target, failed && !timed_out,
	       timed_out || is_slow(tier, target, attempt));
}

void rollout_record_cancel(tier_t *tier, const request_t *request,
			   const target_t *target, const attempt_t *attempt)
{
	if (is_slow(tier, target, attempt))
		record(tier, request, target, false, true);
}

/* Outcomes posted to the control shard, which frees them. */
typedef struct {
	tier_process_t *process;
	uint32_t count;
	mc_rollout_evidence_t rows[];
} outcome_report_t;

static void receive_report(mc_shard_t *shard, void *arg)
{
	outcome_report_t *received = arg;

	(void)shard;
	mc_discovery_report_outcomes(received->process->discovery,
				     received->rows, received->count);
	free(received);
}

static uint32_t take_outcomes(service_t *service, mc_rollout_evidence_t *rows)
{
	service_rollout_t *rollout = &service->rollout;
	uint32_t count = rollout->outcome_count, i;

	for (i = 0; i < count; i++) {
		rows[i] = (mc_rollout_evidence_t){
			.preferred = rollout->outcomes[i].preferred,
			.old = rollout->outcomes[i].old,
			.new = rollout->outcomes[i].new,
		};
		snprintf(rows[i].service, sizeof(rows[i].service), "%s",
			 service->name);
		snprintf(rows[i].version, sizeof(rows[i].version), "%s",
			 rollout->version);
		snprintf(rows[i].route, sizeof(rows[i].route), "%s",
			 rollout->outcomes[i].route->name);
	}
	rollout->outcome_count = 0;
	return count;
}

/* Returns the number of rows that the outcomes need, and whether a roll-out is
 * in progress. */
static uint32_t count_outcomes(const tier_t *tier, bool *active)
{
	uint32_t cursor = 0, count = 0;
	mc_handle_t handle;
	const service_t *service;

	*active = false;
	while ((service = mc_table_next(tier->services, &cursor, &handle))) {
		count += service->rollout.outcome_count;
		*active = *active || service->rollout.is_active;
	}
	return count;
}

static void report(mc_shard_t *shard, void *arg)
{
	tier_t *tier = arg;
	bool active;
	uint32_t count = count_outcomes(tier, &active), cursor = 0;
	outcome_report_t *sent;
	mc_handle_t handle;
	service_t *service;

	(void)shard;
	tier->rollout_timer = MC_HANDLE_NONE;
	if (active)
		schedule_report(tier);
	if (!count)
		return;
	sent = calloc(1, sizeof(*sent) + count * sizeof(sent->rows[0]));
	if (!sent)
		return;
	sent->process = tier->process;
	while ((service = mc_table_next(tier->services, &cursor, &handle)))
		sent->count += take_outcomes(service, &sent->rows[sent->count]);
	if (mc_shard_post(mc_runtime_control_shard(tier->process->runtime),
			  receive_report, sent))
		free(sent);
}
