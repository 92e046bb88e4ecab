/*
 * Orders as the store has them, the rules that follow from them, and the states
 * that are to be written.
 */
#include "rollout_private.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
	ROWS_MAX = 65536,
	/* How long after success entries of old targets may be left, ms. */
	SETTLE_MS = 10000,
	/* A state that is not in the store yet is written again after this, ms.
	 */
	WRITE_RETRY_MS = 700,
	/* How long an order is kept that the store has forgotten, ms, from the
	 * first list that lacks it. */
	FORGOTTEN_KEEP_MS = 10000,
};

uint64_t rollout_key(const char *service, const char *version)
{
	return mc_hash_pair(mc_hash_string(service), mc_hash_string(version));
}

static bool is_final(mc_rollout_state_t state)
{
	return state == MC_ROLLOUT_SUCCEEDED || state == MC_ROLLOUT_ROLLED_BACK;
}

bool order_has_ended(const order_t *order)
{
	return !order->is_current || is_final(order->order.state);
}

order_t *order_find(const mc_rollouts_t *rollouts, const char *service,
		    const char *version)
{
	uint64_t key = rollout_key(service, version);
	uint32_t cursor = 0;
	mc_handle_t handle;
	order_t *order;

	while ((order = mc_table_next(rollouts->orders, &cursor, &handle)))
		if (order->key == key)
			return order;
	return NULL;
}

static order_t *find_current(const mc_rollouts_t *rollouts, const char *service)
{
	uint32_t cursor = 0;
	mc_handle_t handle;
	order_t *order;

	while ((order = mc_table_next(rollouts->orders, &cursor, &handle)))
		if (order->is_current && !strcmp(order->order.service, service))
			return order;
	return NULL;
}

mc_rollouts_t *mc_rollouts_create(const char *self, double share)
{
	mc_rollouts_t *rollouts = calloc(1, sizeof(*rollouts));

	if (!rollouts)
		return NULL;
	snprintf(rollouts->self, sizeof(rollouts->self), "%s", self);
	rollouts->share = share;
	rollouts->orders = mc_table_create(sizeof(order_t), MC_ROLLOUTS_MAX);
	rollouts->rows = mc_table_create(sizeof(row_t), ROWS_MAX);
	if (rollouts->orders && rollouts->rows)
		return rollouts;
	mc_rollouts_destroy(rollouts);
	return NULL;
}

void mc_rollouts_destroy(mc_rollouts_t *rollouts)
{
	if (!rollouts)
		return;
	mc_table_destroy(rollouts->orders);
	mc_table_destroy(rollouts->rows);
	free(rollouts);
}

/* Returns the highest revision that a former order of the service may have; 0
 * if unknown. */
static uint64_t former_revision(const mc_rollout_order_t *from,
				const order_t *current, const order_t *order)
{
	uint64_t revision = 0;

	/* Without a state, the order was not changed since it was written. */
	if (from->state == MC_ROLLOUT_NEW && from->revision)
		return from->revision - 1;
	if (current)
		revision = current->order.revision;
	if (order && order->order.revision > revision)
		revision = order->order.revision;
	return revision;
}

/* Starts an order, whose version may have had one before. */
static void begin_order(mc_rollouts_t *rollouts, order_t *order,
			const mc_rollout_order_t *from, uint64_t former,
			mc_ms_t now)
{
	const mc_handle_t handle = order->handle;

	*order = (order_t){
		.handle = handle,
		.order = *from,
		.key = rollout_key(from->service, from->version),
		.started_at = now,
		.former_revision = former,
		.is_current = true,
		.has_mode = true,
		.mode = MC_ROLLOUT_CANARY,
	};
	rollouts->rules_changed = true;
}

static bool was_rolled_back(const order_t *order)
{
	return order->order.state == MC_ROLLOUT_ROLLED_BACK ||
	       order->pending_state == MC_ROLLOUT_ROLLED_BACK ||
	       order->verdict == MC_ROLLOUT_ROLLED_BACK;
}

/* Whether nobody knows yet if the version may take over all requests. */
static bool is_unproved(const order_t *order)
{
	return !order_has_ended(order) && order->mode == MC_ROLLOUT_CANARY;
}

/* Ends an order that is no longer the service's; its version stays barred with
 * @is_barred. */
static void retire_order(mc_rollouts_t *rollouts, order_t *order,
			 bool is_barred)
{
	evidence_drop(rollouts, order->key);
	rollouts->rules_changed = true;
	if (is_barred) {
		order->is_current = false;
		order->mode = MC_ROLLOUT_BARRED;
		order->has_mode = true;
		order->pending_state = MC_ROLLOUT_NEW;
		order->kept_until = 0;
	} else {
		mc_table_remove(rollouts->orders, order->handle);
	}
}

/* The final state that was decided or stored for an order; MC_ROLLOUT_NEW if
 * there is none. */
static mc_rollout_state_t decided_state(const order_t *order)
{
	if (is_final(order->order.state))
		return order->order.state;
	return is_final(order->pending_state) ? order->pending_state
					      : order->verdict;
}

void mc_rollouts_begin_era(mc_rollouts_t *rollouts)
{
	uint32_t cursor = 0;
	mc_handle_t handle;
	order_t *order;

	while ((order = mc_table_next(rollouts->orders, &cursor, &handle))) {
		order->order.revision = 0;
		order->former_revision = 0;
		if (!order->is_current)
			continue;
		order->kept_until = MC_MS_NEVER;
		order->verdict = decided_state(order);
	}
	rollouts->begins_era = true;
	evidence_begin_era(rollouts);
}

/* Continues an order as the store has it now, which may have forgotten the
 * state. */
static void resume_order(order_t *order, const mc_rollout_order_t *from)
{
	order->kept_until = 0;
	order->order = *from;
	order->write_at = 0;
	order->pending_state = MC_ROLLOUT_NEW;
}

static void set_stored_state(mc_rollouts_t *rollouts, order_t *order,
			     const mc_rollout_order_t *from, mc_ms_t now)
{
	bool had_ended = order_has_ended(order);

	order->order = *from;
	if (from->state == order->pending_state || order_has_ended(order)) {
		order->pending_state = MC_ROLLOUT_NEW;
		order->write_at = 0;
	}
	if (had_ended || !order_has_ended(order))
		return;
	evidence_drop(rollouts, order->key);
	order->settled_until = now + SETTLE_MS;
	snprintf(order->reason, sizeof(order->reason), "stored");
}

/* Whether the store, which has come back older, has forgotten that an order was
 * replaced: its version was barred since, or it had ended. */
static bool is_replaced(const mc_rollout_order_t *from, const order_t *current,
			const order_t *order)
{
	if (!current || !current->kept_until || current == order)
		return false;
	return order || is_final(from->state);
}

/* Whether an order was read late: from a response, or a list, that is older
 * than what is known of its service or of its version. */
static bool is_outdated(const mc_rollouts_t *rollouts,
			const mc_rollout_order_t *from, const order_t *current,
			const order_t *order)
{
	if (rollouts->begins_era && is_replaced(from, current, order))
		return true;
	return (current && from->revision < current->order.revision) ||
	       (order && from->revision < order->order.revision);
}

/* Whether the version of a known order was ordered once more. */
static bool is_new_order(const mc_rollout_order_t *from, const order_t *order)
{
	if (!order->is_current)
		return true;
	if (is_final(from->state))
		return false;
	if (order_has_ended(order) || from->duration != order->order.duration)
		return true;
	/* All changes but those of operators give the order a state. */
	return from->state == MC_ROLLOUT_NEW &&
	       from->revision != order->order.revision;
}

/* Returns the version that is barred since the oldest former order, or NULL. */
static order_t *find_oldest_barred(const mc_rollouts_t *rollouts)
{
	uint32_t cursor = 0;
	mc_handle_t handle;
	order_t *order, *oldest = NULL;

	while ((order = mc_table_next(rollouts->orders, &cursor, &handle)))
		if (!order->is_current &&
		    (!oldest || order->order.revision < oldest->order.revision))
			oldest = order;
	return oldest;
}

/* Returns a new order; where there is no room, the version that is barred for
 * longest is forgotten. NULL if all room is taken by orders. */
static order_t *add_order(mc_rollouts_t *rollouts)
{
	order_t *oldest, *order;
	mc_handle_t handle;
	void *slot;

	if (mc_table_add(rollouts->orders, &handle, &slot)) {
		oldest = find_oldest_barred(rollouts);
		if (!oldest)
			return NULL;
		mc_table_remove(rollouts->orders, oldest->handle);
		if (mc_table_add(rollouts->orders, &handle, &slot))
			return NULL;
	}
	order = slot;
	order->handle = handle;
	return order;
}

mc_err_t mc_rollouts_put_order(mc_rollouts_t *rollouts,
			       const mc_rollout_order_t *from, mc_ms_t now)
{
	order_t *current = find_current(rollouts, from->service);
	order_t *order = order_find(rollouts, from->service, from->version);
	uint64_t former = former_revision(from, current, order);

	if (is_outdated(rollouts, from, current, order)) {
		if (current)
			current->listed = true;
		return MC_OK;
	}
	if (current && current != order)
		retire_order(rollouts, current,
			     was_rolled_back(current) || is_unproved(current));
	if (!order) {
		order = add_order(rollouts);
		if (!order)
			return mc_fail(MC_ERR_FULL,
				       "no room for the order of service %s",
				       from->service);
		begin_order(rollouts, order, from, former, now);
		if (order_has_ended(order))
			order->settled_until = now + SETTLE_MS;
	} else if (order->kept_until && !is_final(from->state) &&
		   from->duration == order->order.duration) {
		resume_order(order, from);
	} else if (is_new_order(from, order)) {
		evidence_drop(rollouts, order->key);
		begin_order(rollouts, order, from, former, now);
	} else {
		order->kept_until = 0;
		set_stored_state(rollouts, order, from, now);
	}
	order->listed = true;
	return MC_OK;
}

void mc_rollouts_remove_order(mc_rollouts_t *rollouts, const char *service)
{
	order_t *order = find_current(rollouts, service);

	if (order)
		retire_order(rollouts, order, was_rolled_back(order));
}

void mc_rollouts_list_begin(mc_rollouts_t *rollouts)
{
	uint32_t cursor = 0;
	mc_handle_t handle;
	order_t *order;

	while ((order = mc_table_next(rollouts->orders, &cursor, &handle)))
		order->listed = false;
}

void mc_rollouts_list_end(mc_rollouts_t *rollouts)
{
	uint32_t cursor = 0;
	mc_handle_t handle;
	order_t *order;

	while ((order = mc_table_next(rollouts->orders, &cursor, &handle)))
		if (order->is_current && !order->listed && !order->kept_until)
			retire_order(rollouts, order, was_rolled_back(order));
	rollouts->begins_era = false;
}

void rollouts_expire_forgotten(mc_rollouts_t *rollouts, mc_ms_t now)
{
	uint32_t cursor = 0;
	mc_handle_t handle;
	order_t *order;

	if (rollouts->begins_era)
		return;
	while ((order = mc_table_next(rollouts->orders, &cursor, &handle))) {
		if (!order->is_current || !order->kept_until)
			continue;
		if (order->kept_until == MC_MS_NEVER)
			order->kept_until = now + FORGOTTEN_KEEP_MS;
		if (order->kept_until <= now)
			retire_order(rollouts, order,
				     was_rolled_back(order) ||
					     is_unproved(order));
	}
}

bool mc_rollouts_has_order(const mc_rollouts_t *rollouts, const char *service,
			   const char *version)
{
	return order_find(rollouts, service, version);
}

bool mc_rollouts_active(const mc_rollouts_t *rollouts)
{
	uint32_t cursor = 0;
	mc_handle_t handle;
	const order_t *order;

	while ((order = mc_table_next(rollouts->orders, &cursor, &handle)))
		if (!order_has_ended(order) || order->kept_until ||
		    (order->has_mode && order->mode == MC_ROLLOUT_PREFERRED))
			return true;
	return false;
}

uint32_t mc_rollouts_get_rules(const mc_rollouts_t *rollouts,
			       mc_rollout_rule_t *rules, uint32_t max)
{
	uint32_t cursor = 0, count = 0;
	mc_handle_t handle;
	const order_t *order;

	while (count < max &&
	       (order = mc_table_next(rollouts->orders, &cursor, &handle))) {
		if (!order->has_mode)
			continue;
		rules[count] = (mc_rollout_rule_t){ .mode = order->mode };
		snprintf(rules[count].service, sizeof(rules[count].service),
			 "%s", order->order.service);
		snprintf(rules[count].version, sizeof(rules[count].version),
			 "%s", order->order.version);
		count++;
	}
	return count;
}

bool mc_rollouts_next_write(mc_rollouts_t *rollouts, mc_ms_t delay, mc_ms_t now,
			    mc_rollout_order_t *out)
{
	uint32_t cursor = 0;
	mc_handle_t handle;
	order_t *order;

	while ((order = mc_table_next(rollouts->orders, &cursor, &handle))) {
		if (order_has_ended(order) || order->kept_until ||
		    order->pending_state == MC_ROLLOUT_NEW)
			continue;
		if (!order->write_at)
			order->write_at = now + delay;
		if (now < order->write_at)
			continue;
		order->write_at = now + WRITE_RETRY_MS;
		*out = order->order;
		out->state = order->pending_state;
		return true;
	}
	return false;
}

const char *mc_rollouts_get_reason(const mc_rollouts_t *rollouts,
				   const char *service)
{
	const order_t *order = find_current(rollouts, service);

	return order ? order->reason : "";
}
