/*
 * Evidence: outcomes by instance, order and route. Each instance counts its own
 * and replaces what it has reported as a whole, so that a message that
 * is lost, late or repeated changes no sum.
 */
#include "rollout_private.h"

#include <stdio.h>
#include <string.h>

enum {
	/* Changes of old versions' counts alone are sent after this time, ms.
	 */
	OLD_COUNTS_INTERVAL_MS = 4000,
};

static void add_counts(mc_rollout_counts_t *sum,
		       const mc_rollout_counts_t *counts)
{
	sum->answered += counts->answered;
	sum->failed += counts->failed;
	sum->slow += counts->slow;
}

/* Returns the own row for the outcomes of an order's route. */
static row_t *find_own_row(const mc_rollouts_t *rollouts, uint64_t key,
			   const mc_rollout_evidence_t *outcomes)
{
	uint32_t cursor = 0;
	mc_handle_t handle;
	row_t *row;

	while ((row = mc_table_next(rollouts->rows, &cursor, &handle)))
		if (row->key == key && !strcmp(row->origin, rollouts->self) &&
		    row->evidence.preferred == outcomes->preferred &&
		    !strcmp(row->evidence.route, outcomes->route))
			return row;
	return NULL;
}

static row_t *add_row(mc_rollouts_t *rollouts, const char *origin,
		      const mc_rollout_evidence_t *evidence, mc_ms_t now)
{
	mc_handle_t handle;
	row_t *row;
	void *slot;

	if (mc_table_add(rollouts->rows, &handle, &slot))
		return NULL;
	row = slot;
	row->handle = handle;
	snprintf(row->origin, sizeof(row->origin), "%s", origin);
	row->key = rollout_key(evidence->service, evidence->version);
	row->received_at = now;
	row->evidence = *evidence;
	return row;
}

void mc_rollouts_add_outcomes(mc_rollouts_t *rollouts,
			      const mc_rollout_evidence_t *outcomes,
			      mc_ms_t now)
{
	const order_t *order =
		order_find(rollouts, outcomes->service, outcomes->version);
	mc_rollout_evidence_t empty = *outcomes;
	row_t *row;

	if (!order || order_has_ended(order))
		return;
	row = find_own_row(rollouts, order->key, outcomes);
	if (!row) {
		empty.order_revision = 0;
		empty.elapsed = 0;
		empty.rejected = false;
		empty.old = empty.new = (mc_rollout_counts_t){ 0 };
		row = add_row(rollouts, rollouts->self, &empty, now);
	}
	if (!row)
		return;
	row->is_own = true;
	add_counts(&row->evidence.old, &outcomes->old);
	add_counts(&row->evidence.new, &outcomes->new);
	rollouts->evidence_changed = true;
	if (outcomes->new.answered)
		rollouts->evidence_urgent = true;
}

static bool has_own_rows(const mc_rollouts_t *rollouts)
{
	uint32_t cursor = 0;
	mc_handle_t handle;
	const row_t *row;

	while ((row = mc_table_next(rollouts->rows, &cursor, &handle)))
		if (row->is_own)
			return true;
	return false;
}

static void remove_rows_of(mc_rollouts_t *rollouts, const char *origin)
{
	uint32_t cursor = 0;
	mc_handle_t handle;
	row_t *row;

	while ((row = mc_table_next(rollouts->rows, &cursor, &handle)))
		if (!strcmp(row->origin, origin))
			mc_table_remove(rollouts->rows, handle);
}

void mc_rollouts_set_evidence(mc_rollouts_t *rollouts, const char *origin,
			      const mc_rollout_evidence_t *evidence,
			      uint32_t count, mc_ms_t now)
{
	const order_t *order;
	uint32_t i;

	if (!strcmp(origin, rollouts->self) && has_own_rows(rollouts))
		return;
	remove_rows_of(rollouts, origin);
	for (i = 0; i < count; i++) {
		order = order_find(rollouts, evidence[i].service,
				   evidence[i].version);
		if (!order || !order_has_ended(order))
			add_row(rollouts, origin, &evidence[i], now);
	}
}

uint32_t mc_rollouts_get_evidence(const mc_rollouts_t *rollouts,
				  mc_rollout_evidence_t *evidence, uint32_t max,
				  mc_ms_t now)
{
	uint32_t cursor = 0, count = 0;
	mc_handle_t handle;
	const order_t *order;
	const row_t *row;

	while (count < max &&
	       (row = mc_table_next(rollouts->rows, &cursor, &handle))) {
		order = order_find(rollouts, row->evidence.service,
				   row->evidence.version);
		if (strcmp(row->origin, rollouts->self) || !order)
			continue;
		evidence[count] = row->evidence;
		evidence[count].order_revision = order->order.revision;
		evidence[count++].elapsed = now - order->started_at;
	}
	return count;
}

bool mc_rollouts_evidence_changed(const mc_rollouts_t *rollouts, mc_ms_t now)
{
	return rollouts->evidence_urgent ||
	       (rollouts->evidence_changed &&
		now - rollouts->evidence_sent_at >= OLD_COUNTS_INTERVAL_MS);
}

void mc_rollouts_evidence_sent(mc_rollouts_t *rollouts, mc_ms_t now)
{
	rollouts->evidence_urgent = false;
	rollouts->evidence_changed = false;
	rollouts->evidence_sent_at = now;
}

void mc_rollouts_evidence_failed(mc_rollouts_t *rollouts)
{
	rollouts->evidence_urgent = true;
}

void evidence_begin_era(mc_rollouts_t *rollouts)
{
	rollouts->evidence_urgent =
		rollouts->evidence_urgent || has_own_rows(rollouts);
}

void evidence_drop(mc_rollouts_t *rollouts, uint64_t key)
{
	uint32_t cursor = 0;
	mc_handle_t handle;
	const row_t *row;

	while ((row = mc_table_next(rollouts->rows, &cursor, &handle))) {
		if (row->key != key)
			continue;
		/* The others must forget it too, or it would count again if
		 * the version is ordered once more. */
		if (row->is_own)
			rollouts->evidence_urgent = true;
		mc_table_remove(rollouts->rows, handle);
	}
}

void evidence_reject(mc_rollouts_t *rollouts, uint64_t key)
{
	uint32_t cursor = 0;
	mc_handle_t handle;
	row_t *row;

	while ((row = mc_table_next(rollouts->rows, &cursor, &handle))) {
		if (row->key != key || !row->is_own || row->evidence.rejected)
			continue;
		row->evidence.rejected = true;
		rollouts->evidence_urgent = true;
	}
}

static evidence_sum_t *find_sum(evidence_sum_t *sums, uint32_t *count,
				uint32_t max, const char *route, bool preferred)
{
	uint32_t i;

	for (i = 0; i < *count; i++)
		if (sums[i].preferred == preferred &&
		    !strcmp(sums[i].route, route))
			return &sums[i];
	if (*count == max)
		return &sums[max - 1];
	sums[*count] = (evidence_sum_t){
		.route = route,
		.preferred = preferred,
	};
	return &sums[(*count)++];
}

/* Under the whole load the old version has no outcomes to compare with but
 * those of the time before. */
static void copy_baselines(evidence_sum_t *sums, uint32_t count)
{
	uint32_t i, j;

	for (i = 0; i < count; i++)
		for (j = 0; sums[i].preferred && j < count; j++)
			if (!sums[j].preferred &&
			    !strcmp(sums[i].route, sums[j].route))
				sums[i].old = sums[j].old;
}

/* Whether another instance has told what it saw of a former order for the same
 * version, as it may not know the new one yet. */
static bool is_of_former_order(const row_t *row, const order_t *order)
{
	return !row->is_own && row->evidence.order_revision &&
	       row->evidence.order_revision <= order->former_revision;
}

uint32_t evidence_sum(const mc_rollouts_t *rollouts, order_t *order,
		      evidence_sum_t *sums, uint32_t max,
		      const char **rejected_by)
{
	uint32_t cursor = 0, count = 0;
	mc_handle_t handle;
	const row_t *row;

	*rejected_by = NULL;
	while ((row = mc_table_next(rollouts->rows, &cursor, &handle))) {
		const mc_rollout_evidence_t *evidence = &row->evidence;
		mc_ms_t started = row->received_at - evidence->elapsed;
		evidence_sum_t *sum;

		if (row->key != order->key || is_of_former_order(row, order))
			continue;
		if (!row->is_own && started < order->started_at)
			order->started_at = started;
		if (evidence->rejected)
			*rejected_by = row->origin;
		sum = find_sum(sums, &count, max, evidence->route,
			       evidence->preferred);
		add_counts(&sum->old, &evidence->old);
		add_counts(&sum->new, &evidence->new);
	}
	copy_baselines(sums, count);
	return count;
}
