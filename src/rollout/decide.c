/*
 * Phases of an order. While it is in progress the new version gets a small
 * share. Shortly before the order's time is over, a version that is proved is
 * preferred, so that it is also seen under the whole load and nothing runs at
 * the old targets when they stop; then the final state is written. A version
 * that is found to be worse is barred at once, by each instance by itself.
 */
#include "rollout_private.h"

#include <stdio.h>

enum {
	/* Most routes of a service that are compared separately. */
	ROUTES_MAX = 16,
	/* How long before the end of its time an order is decided, ms, and at
	 * most which part of its time that is. */
	LEAD_MAX_MS = 1000,
	LEAD_DIVISOR = 12,
	/* How long before that instances tell each other at once what they see,
	 * ms. */
	DECIDING_LEAD_MS = 1000,
	/* The new version needs 1/n of the old one's slots to take over. */
	CAPACITY_DIVISOR = 2,
	/* With fewer answers of old versions a service has no traffic. */
	TRAFFIC_MIN = 20,
};

/* Part of the allowed share that is used until the order is decided. */
static const double canary_part = 0.6;

double mc_rollout_canary_share(double allowed)
{
	return allowed * canary_part;
}

static void want_state(order_t *order, mc_rollout_state_t state)
{
	if (order->pending_state == state)
		return;
	order->pending_state = state;
	order->write_at = 0;
}

static void format_reason(order_t *order, const char *what,
			  const evidence_sum_t *sum)
{
	snprintf(order->reason, sizeof(order->reason),
		 "%s route=%.31s new=%u/%u/%u old=%u/%u/%u", what,
		 sum ? sum->route : "-", sum ? sum->new.failed : 0,
		 sum ? sum->new.slow : 0, sum ? sum->new.answered : 0,
		 sum ? sum->old.failed : 0, sum ? sum->old.slow : 0,
		 sum ? sum->old.answered : 0);
}

/* Whether the version may take over all requests. */
static bool is_proved(order_t *order, const evidence_sum_t *sums,
		      uint32_t count, double share,
		      const mc_rollout_capacity_t *capacity)
{
	uint32_t old_answers = 0, new_answers = 0, i;

	if (!capacity->new_slots ||
	    capacity->new_slots < capacity->old_slots / CAPACITY_DIVISOR) {
		format_reason(order, "too few targets", NULL);
		return false;
	}
	for (i = 0; i < count; i++) {
		old_answers += sums[i].old.answered;
		new_answers += sums[i].new.answered;
		if (mc_rollout_judge(&sums[i].old, &sums[i].new,
				     sums[i].preferred ? 0 : share) !=
		    MC_ROLLOUT_GOOD) {
			format_reason(order, "not proved", &sums[i]);
			return false;
		}
	}
	if (!new_answers && old_answers >= TRAFFIC_MIN) {
		format_reason(order, "no answers", count ? &sums[0] : NULL);
		return false;
	}
	format_reason(order, "proved", count ? &sums[0] : NULL);
	return true;
}

/* Whether the version is found to be worse, by this or another instance. */
static bool is_rejected(order_t *order, const evidence_sum_t *sums,
			uint32_t count, const char *rejected_by, double share)
{
	uint32_t i;

	if (rejected_by) {
		snprintf(order->reason, sizeof(order->reason), "rejected by %s",
			 rejected_by);
		return true;
	}
	for (i = 0; i < count; i++) {
		if (mc_rollout_judge(&sums[i].old, &sums[i].new, share) !=
		    MC_ROLLOUT_WORSE)
			continue;
		format_reason(order, "worse", &sums[i]);
		return true;
	}
	return false;
}

static mc_ms_t lead_time(const order_t *order)
{
	mc_ms_t part = order->order.duration / LEAD_DIVISOR;

	return part < LEAD_MAX_MS ? part : LEAD_MAX_MS;
}

static void bar(mc_rollouts_t *rollouts, order_t *order)
{
	order->mode = MC_ROLLOUT_BARRED;
	evidence_reject(rollouts, order->key);
	want_state(order, MC_ROLLOUT_ROLLED_BACK);
}

/* Decides an order whose time is nearly over. */
static void decide(mc_rollouts_t *rollouts, order_t *order, bool proved,
		   mc_ms_t left)
{
	bool due = left <= lead_time(order) / 2;

	order->mode = proved ? MC_ROLLOUT_PREFERRED : MC_ROLLOUT_CANARY;
	if (!due)
		return;
	if (proved)
		want_state(order, MC_ROLLOUT_SUCCEEDED);
	else
		bar(rollouts, order);
}

static void judge_order(mc_rollouts_t *rollouts, order_t *order, bool informed,
			mc_rollout_capacity_fn_t capacity, void *ctx,
			mc_ms_t now)
{
	double share = mc_rollout_canary_share(rollouts->share);
	evidence_sum_t sums[ROUTES_MAX];
	const char *rejected_by;
	uint32_t count =
		evidence_sum(rollouts, order, sums, ROUTES_MAX, &rejected_by);
	mc_ms_t left = order->started_at + order->order.duration - now;
	mc_rollout_capacity_t slots =
		capacity(ctx, order->order.service, order->order.version);

	order->had_old = order->had_old || slots.old_slots;
	if (order->mode == MC_ROLLOUT_BARRED)
		return;
	if (is_rejected(order, sums, count, rejected_by, share)) {
		bar(rollouts, order);
		return;
	}
	if (left > lead_time(order) || !informed) {
		/* Without an old version there is none to fall back to. */
		order->mode = order->had_old || !slots.is_known
				      ? MC_ROLLOUT_CANARY
				      : MC_ROLLOUT_PREFERRED;
		if (order->order.state == MC_ROLLOUT_NEW)
			want_state(order, MC_ROLLOUT_IN_PROGRESS);
		return;
	}
	decide(rollouts, order, is_proved(order, sums, count, share, &slots),
	       left);
}

/* Keeps to what was decided before the store came back older. */
static void keep_verdict(mc_rollouts_t *rollouts, order_t *order)
{
	if (order->verdict == MC_ROLLOUT_ROLLED_BACK) {
		bar(rollouts, order);
		return;
	}
	order->mode = MC_ROLLOUT_PREFERRED;
	want_state(order, order->verdict);
}

static void update_order(mc_rollouts_t *rollouts, order_t *order, bool informed,
			 mc_rollout_capacity_fn_t capacity, void *ctx,
			 mc_ms_t now)
{
	bool had_mode = order->has_mode;
	mc_rollout_mode_t mode = order->mode;

	if (!order->is_current || order->order.state == MC_ROLLOUT_ROLLED_BACK)
		order->mode = MC_ROLLOUT_BARRED;
	else if (order->order.state == MC_ROLLOUT_SUCCEEDED)
		order->mode = MC_ROLLOUT_PREFERRED;
	else if (order->verdict != MC_ROLLOUT_NEW)
		keep_verdict(rollouts, order);
	else
		judge_order(rollouts, order, informed, capacity, ctx, now);
	order->has_mode = order->order.state != MC_ROLLOUT_SUCCEEDED ||
			  now < order->settled_until;
	if (order->has_mode != had_mode || order->mode != mode)
		rollouts->rules_changed = true;
}

bool mc_rollouts_tick(mc_rollouts_t *rollouts, bool informed,
		      mc_rollout_capacity_fn_t capacity, void *ctx, mc_ms_t now)
{
	uint32_t cursor = 0;
	mc_handle_t handle;
	order_t *order;
	bool changed;

	rollouts_expire_forgotten(rollouts, now);
	while ((order = mc_table_next(rollouts->orders, &cursor, &handle)))
		update_order(rollouts, order, informed, capacity, ctx, now);
	changed = rollouts->rules_changed;
	rollouts->rules_changed = false;
	return changed;
}

bool mc_rollouts_deciding(const mc_rollouts_t *rollouts, mc_ms_t now)
{
	uint32_t cursor = 0;
	mc_handle_t handle;
	const order_t *order;

	while ((order = mc_table_next(rollouts->orders, &cursor, &handle))) {
		mc_ms_t end = order->started_at + order->order.duration;

		if (!order_has_ended(order) && now < end &&
		    now >= end - lead_time(order) - DECIDING_LEAD_MS)
			return true;
	}
	return false;
}

static mc_ms_t earliest_after(mc_ms_t now, mc_ms_t at, mc_ms_t best)
{
	return at > now && at < best ? at : best;
}

mc_ms_t mc_rollouts_next_due(const mc_rollouts_t *rollouts, mc_ms_t now)
{
	uint32_t cursor = 0;
	mc_handle_t handle;
	const order_t *order;
	mc_ms_t best = MC_MS_NEVER;

	while ((order = mc_table_next(rollouts->orders, &cursor, &handle))) {
		mc_ms_t end = order->started_at + order->order.duration;
		mc_ms_t lead = lead_time(order);

		if (order_has_ended(order))
			continue;
		best = earliest_after(now, end - lead, best);
		best = earliest_after(now, end - lead / 2, best);
		if (order->pending_state != MC_ROLLOUT_NEW)
			best = earliest_after(now, order->write_at, best);
	}
	return best;
}
