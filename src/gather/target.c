/*
 * The targets that belong to this data shard, out of those that the view's
 * configuration has in this gather's data centre. Their owners are chosen among
 * the gathers that the view shows as usable; the limiter restricts this
 * gather's share during a handover.
 */
#include "gather_private.h"

#include <stdlib.h>
#include <string.h>

enum {
	LIMIT_INITIAL = 16,
	LIMIT_MAX = 512,
	RAMP_MIN_MS = 4000,
	/* Longer than sub-queries take to end at the previous owner. */
	HANDOVER_MS = 2000,
	/*
	 * The data shards of a process get a new view within this time of each
	 * other.
	 */
	ANNOUNCE_SLACK_MS = 100,
};

target_t *target_find(gather_t *gather, uint64_t key)
{
	return apr_hash_get(gather->targets_by_key, &key, sizeof(key));
}

mc_err_t target_check_ready(const target_t *target)
{
	if (target->data_center_out)
		return MC_ERR_DATA_CENTER_OUT;
	if (!target->owned)
		return MC_ERR_NOT_OWNER;
	if (target->draining)
		return MC_ERR_TARGET_DRAINING;
	if (target->down)
		return MC_ERR_NO_TARGET;
	return MC_OK;
}

static void target_free(gather_t *gather, target_t *target)
{
	uint32_t i;

	mc_timer_cancel(gather->shard, target->report_timer);
	mc_timer_cancel(gather->shard, target->expiry_timer);
	mc_limiter_destroy(target->limiter);
	for (i = 0; i < target->snapshot_count; i++)
		free(target->snapshots[i]);
	apr_hash_set(gather->targets_by_key, &target->key, sizeof(target->key),
		     NULL);
	mc_table_remove(gather->targets, target->handle);
}

static target_t *target_add(gather_t *gather, const mc_target_t *row)
{
	const mc_policy_t *policy =
		&mc_process_settings(gather->process)->policy;
	const mc_limit_params_t params = {
		.initial = LIMIT_INITIAL,
		.max = LIMIT_MAX,
		.ramp = !strcmp(policy->ramp, "on"),
		.ramp_min = RAMP_MIN_MS,
		.handover = HANDOVER_MS,
	};
	mc_handle_t handle;
	target_t *target;
	void *slot;

	if (mc_table_add(gather->targets, &handle, &slot))
		return NULL;
	target = slot;
	target->gather = gather;
	target->handle = handle;
	target->key = row->key;
	strncpy(target->address, row->address, sizeof(target->address) - 1);
	target->limiter =
		mc_limit_find_policy(policy->limit)
			->create(&params, mc_shard_now(gather->shard));
	if (!target->limiter) {
		mc_table_remove(gather->targets, handle);
		return NULL;
	}
	apr_hash_set(gather->targets_by_key, &target->key, sizeof(target->key),
		     target);
	return target;
}

/* Usable gathers of this data centre, among which owners are chosen. */
typedef struct {
	uint64_t keys[MC_MEMBERS_MAX];
	uint32_t count;
	/* Index of this gather; UINT32_MAX if it is not usable. */
	uint32_t self;
} owner_candidates_t;

static void find_owner_candidates(const gather_t *gather,
				  owner_candidates_t *candidates)
{
	const mc_view_t *view = gather->view;
	const mc_settings_t *settings = mc_process_settings(gather->process);
	uint64_t self = mc_hash_string(settings->gather_peer_address);
	uint32_t i;

	candidates->count = 0;
	candidates->self = UINT32_MAX;
	for (i = 0; i < view->gather_count; i++) {
		const mc_view_gather_t *peer = &view->gathers[i];

		if (peer->data_center != view->data_center || !peer->usable ||
		    candidates->count == MC_MEMBERS_MAX)
			continue;
		if (peer->key == self)
			candidates->self = candidates->count;
		candidates->keys[candidates->count++] = peer->key;
	}
}

static void update_owner(gather_t *gather, target_t *target,
			 const owner_candidates_t *candidates)
{
	const mc_settings_t *settings = mc_process_settings(gather->process);
	mc_ms_t now = mc_shard_now(gather->shard);
	uint32_t owners[MC_ROUTE_OWNERS_MAX];
	uint32_t count = mc_route_find_owners(target->key, candidates->keys,
					      candidates->count, owners,
					      settings->policy.owners);
	uint32_t rank;

	for (rank = 0; rank < count; rank++)
		if (owners[rank] == candidates->self)
			break;
	target->owned = rank < count;
	mc_limiter_set_owners(target->limiter, rank, target->owned ? count : 0,
			      now);
	mc_log(gather->log, MC_LOG_DEBUG, "gather",
	       "target ownership updated owned=%d target=%s rank=%u owners=%u",
	       target->owned, target->address, rank, count);
}

/* Adds or updates a target. Returns true if it is newly owned. */
static bool update_target(gather_t *gather, const mc_target_t *row,
			  const owner_candidates_t *candidates)
{
	target_t *target = target_find(gather, row->key);
	bool was_owned = target && target->owned;

	if (!target) {
		target = target_add(gather, row);
		if (!target)
			return false;
	}
	target->data_center_out =
		gather->view->config->data_centers[row->data_center]
			.out_of_service;
	update_owner(gather, target, candidates);
	if (target->owned)
		report_start_polling(gather, target);
	if (target_check_ready(target))
		dispatch_refuse_all(gather, target, target_check_ready(target));
	return target->owned && !was_owned;
}

/* Removes the targets that are no longer in the configuration. */
static void remove_targets(gather_t *gather)
{
	const mc_view_t *view = gather->view;
	uint32_t cursor = 0;
	mc_handle_t handle;
	target_t *target;

	while ((target = mc_table_next(gather->targets, &cursor, &handle))) {
		mc_row_t row = mc_config_find_target(view->config, target->key);

		if (row != MC_ROW_NONE &&
		    view->config->targets[row].data_center == view->data_center)
			continue;
		dispatch_refuse_all(gather, target, MC_ERR_NOT_OWNER);
		target_free(gather, target);
	}
}

static void on_announce_timer(mc_shard_t *shard, void *arg)
{
	gather_t *gather = arg;

	(void)shard;
	gather->announce_timer = MC_HANDLE_NONE;
	report_broadcast_all(gather);
}

/* Announces new targets to fronts when the handover to this owner has ended. */
static void schedule_announcement(gather_t *gather)
{
	mc_timer_cancel(gather->shard, gather->announce_timer);
	mc_timer_set(gather->shard,
		     mc_shard_now(gather->shard) + HANDOVER_MS +
			     ANNOUNCE_SLACK_MS,
		     on_announce_timer, gather, &gather->announce_timer);
}

void targets_update(gather_t *gather)
{
	const mc_view_t *view = gather->view;
	owner_candidates_t candidates;
	bool gained = false;
	mc_row_t i;

	find_owner_candidates(gather, &candidates);
	remove_targets(gather);
	for (i = 0; i < view->config->target_count; i++) {
		const mc_target_t *row = &view->config->targets[i];

		if (row->data_center == view->data_center &&
		    gather_target_shard(gather, row->key) ==
			    mc_shard_index(gather->shard))
			gained |= update_target(gather, row, &candidates);
	}
	if (gained)
		schedule_announcement(gather);
}

void targets_destroy(gather_t *gather)
{
	uint32_t cursor = 0;
	mc_handle_t handle;
	target_t *target;
	sub_query_t *sub;

	if (!gather->targets || !gather->sub_queries)
		return;
	while ((sub = mc_table_next(gather->sub_queries, &cursor, &handle)))
		sub_query_remove(gather, sub);
	cursor = 0;
	while ((target = mc_table_next(gather->targets, &cursor, &handle)))
		target_free(gather, target);
	mc_table_destroy(gather->targets);
}
