/*
 * Links from this shard to the gathers of the view. A link that closes fails
 * what was out on it and is opened again after a growing wait. Gathers report
 * their targets over it.
 */
#include "front_private.h"

#include <stdlib.h>
#include <string.h>

enum {
	RECONNECT_MIN_MS = 50,
	RECONNECT_MAX_DOUBLINGS = 5,
	/* A new front waits so long for all gathers before it is ready. */
	SETTLE_MS = 4000,
};

static void open_link(front_t *front, gather_link_t *gather);

mc_handle_t gather_of_choice(const front_t *front, mc_route_choice_t choice)
{
	return front->gather_rows[choice.gather];
}

static void retry_open(mc_shard_t *shard, void *arg)
{
	gather_link_t *gather = arg;

	(void)shard;
	gather->retry_timer = MC_HANDLE_NONE;
	open_link(gather->front, gather);
}

static void plan_retry(front_t *front, gather_link_t *gather)
{
	mc_ms_t wait = RECONNECT_MIN_MS << gather->failures;
	mc_random_t *random = mc_shard_random(front->shard);

	if (gather->failures < RECONNECT_MAX_DOUBLINGS)
		gather->failures++;
	wait += mc_random_below(random, (uint32_t)wait);
	mc_timer_set(front->shard, mc_shard_now(front->shard) + wait,
		     retry_open, gather, &gather->retry_timer);
}

bool gather_link_usable(const front_t *front, const gather_link_t *gather)
{
	return gather && gather->open && gather->reported &&
	       front->view->gathers[gather->index].usable;
}

static void set_usable(front_t *front, const gather_link_t *gather)
{
	if (!front->router || !gather->in_view)
		return;
	mc_router_set_gather_usable(
		front->router, gather->index,
		gather->open && front->view->gathers[gather->index].usable);
}

/* All that was out at a gather whose link has closed. */
static void fail_sub_queries(front_t *front, mc_handle_t gather)
{
	const mc_wire_result_t lost = { .err = MC_ERR_IO, .snapshot = "" };
	uint32_t cursor = 0;
	mc_handle_t handle;
	sub_query_t *sub;

	while ((sub = mc_table_next(front->sub_queries, &cursor, &handle))) {
		if (!mc_handle_equal(sub->gather, gather))
			continue;
		if (sub->run.generation)
			run_lost(front, sub);
		else
			query_result(front, sub, &lost);
	}
}

static void on_opened(void *ctx, mc_handle_t link)
{
	gather_link_t *gather = ctx;
	front_t *front = gather->front;

	(void)link;
	gather->open = true;
	gather->failures = 0;
	mc_log(front->log, MC_LOG_INFO, "front", "link opened gather=%s",
	       gather->address);
	set_usable(front, gather);
}

static void on_closed(void *ctx, mc_handle_t link, mc_err_t reason)
{
	gather_link_t *gather = ctx;
	front_t *front = gather->front;
	bool was_open = gather->open;

	(void)link;
	gather->open = false;
	gather->reported = false;
	gather->link = MC_HANDLE_NONE;
	set_usable(front, gather);
	if (was_open)
		mc_log(front->log, MC_LOG_WARNING, "front",
		       "link closed gather=%s reason=%s", gather->address,
		       mc_error_name(reason));
	fail_sub_queries(front, gather->handle);
	plan_retry(front, gather);
}

static void take_results(front_t *front, const mc_wire_results_t *results)
{
	uint32_t i;

	for (i = 0; i < results->count; i++) {
		const mc_wire_result_t *result = &results->list[i];
		sub_query_t *sub = mc_table_get(front->sub_queries,
						mc_handle_unpack(result->id));

		if (sub && !sub->run.generation)
			query_result(front, sub, result);
		else
			mc_counter_add(mc_shard_counters(front->shard),
				       MC_COUNTER_LATE_REPLIES, 1);
	}
}

static void take_run_result(front_t *front, const mc_wire_run_result_t *result)
{
	sub_query_t *sub =
		mc_table_get(front->sub_queries, mc_handle_unpack(result->id));

	if (sub && sub->run.generation)
		run_result(front, sub, result);
	else
		mc_counter_add(mc_shard_counters(front->shard),
			       MC_COUNTER_LATE_REPLIES, 1);
}

static mc_route_target_state_t state_of(const mc_wire_target_t *target)
{
	if (target->draining)
		return MC_ROUTE_TARGET_DRAINING;
	return target->down ? MC_ROUTE_TARGET_FAILED : MC_ROUTE_TARGET_READY;
}

static void take_report(gather_link_t *gather, const mc_wire_report_t *report)
{
	front_t *front = gather->front;
	mc_ms_t now = mc_shard_now(front->shard);
	uint32_t i;

	if (!front->view || !front->router)
		return;
	if (report->count && !gather->reported) {
		gather->reported = true;
		set_usable(front, gather);
	}
	for (i = 0; i < report->count; i++) {
		const mc_wire_target_t *target = &report->targets[i];
		mc_row_t row =
			mc_config_find_target(front->view->config, target->key);

		if (row == MC_ROW_NONE)
			continue;
		mc_router_set_target_state(front->router, row, state_of(target),
					   now);
		if (target->reported)
			mc_catalogue_set_served(front->catalogue, row,
						target->snapshots,
						target->snapshot_count);
	}
}

static void on_frame(void *ctx, mc_handle_t link, const char *data, size_t size)
{
	gather_link_t *gather = ctx;
	front_t *front = gather->front;
	mc_wire_message_t *message;

	if (mc_wire_decode(data, size, &message)) {
		mc_counter_add(mc_shard_counters(front->shard),
			       MC_COUNTER_BAD_FRAMES, 1);
		mc_log(front->log, MC_LOG_WARNING, "front",
		       "link closed after a bad frame gather=%s message=\"%s\"",
		       gather->address, mc_last_error_message());
		mc_link_close(front->shard, link);
		on_closed(gather, link, MC_ERR_BAD_FRAME);
		return;
	}
	if (message->kind == MC_WIRE_RESULT)
		take_results(front, &message->results);
	else if (message->kind == MC_WIRE_RUN_RESULT)
		take_run_result(front, &message->run_result);
	else if (message->kind == MC_WIRE_REPORT)
		take_report(gather, &message->report);
	mc_wire_free(message);
}

static const mc_link_events_t link_events = {
	.opened = on_opened,
	.frame = on_frame,
	.closed = on_closed,
};

mc_err_t gather_send(front_t *front, mc_handle_t handle,
		     const mc_wire_message_t *message)
{
	const gather_link_t *gather = mc_table_get(front->gathers, handle);
	char *data;
	size_t size;
	mc_err_t err;

	if (!gather)
		return mc_fail(MC_ERR_STALE_HANDLE, "gather has gone");
	err = mc_wire_encode(message, &data, &size);
	if (err)
		return err;
	err = mc_link_send(front->shard, gather->link, data, size);
	free(data);
	return err;
}

static void say_hello(front_t *front, const gather_link_t *gather)
{
	const mc_settings_t *settings = mc_process_settings(front->process);
	const mc_wire_message_t hello = {
		.kind = MC_WIRE_HELLO,
		.hello = {
			.version = MC_WIRE_VERSION,
			.address = settings->front_peer_address,
		},
	};

	gather_send(front, gather->handle, &hello);
}

/* Reports name targets that the former configuration may not have had. */
void gather_links_ask_reports(front_t *front)
{
	uint32_t cursor = 0;
	mc_handle_t handle;
	const gather_link_t *gather;

	while ((gather = mc_table_next(front->gathers, &cursor, &handle)))
		if (gather->open)
			say_hello(front, gather);
}

static void open_link(front_t *front, gather_link_t *gather)
{
	if (mc_link_connect(front->shard, gather->address, &link_events, gather,
			    &gather->link)) {
		plan_retry(front, gather);
		return;
	}
	say_hello(front, gather);
}

static gather_link_t *find_gather(const front_t *front, uint64_t key)
{
	uint32_t cursor = 0;
	mc_handle_t handle;
	gather_link_t *gather;

	while ((gather = mc_table_next(front->gathers, &cursor, &handle)))
		if (gather->key == key)
			return gather;
	return NULL;
}

static gather_link_t *add_gather(front_t *front, const mc_view_gather_t *from)
{
	mc_handle_t handle;
	gather_link_t *gather;
	void *slot;

	if (mc_table_add(front->gathers, &handle, &slot))
		return NULL;
	gather = slot;
	gather->front = front;
	gather->handle = handle;
	gather->key = from->key;
	memcpy(gather->address, from->address, sizeof(gather->address));
	open_link(front, gather);
	return gather;
}

static void drop_gather(front_t *front, gather_link_t *gather)
{
	mc_handle_t handle = gather->handle;

	mc_timer_cancel(front->shard, gather->retry_timer);
	mc_link_close(front->shard, gather->link);
	fail_sub_queries(front, handle);
	mc_table_remove(front->gathers, handle);
}

void gather_links_drop_absent(front_t *front)
{
	uint32_t cursor = 0;
	mc_handle_t handle;
	gather_link_t *gather;

	while ((gather = mc_table_next(front->gathers, &cursor, &handle)))
		if (!gather->in_view)
			drop_gather(front, gather);
}

mc_handle_t *gather_links_update(front_t *front)
{
	const mc_view_t *view = front->view;
	mc_handle_t *rows = calloc(view->gather_count + 1, sizeof(*rows));
	uint32_t cursor = 0;
	mc_handle_t handle;
	gather_link_t *gather;
	uint32_t i;

	if (!rows)
		return NULL;
	while ((gather = mc_table_next(front->gathers, &cursor, &handle)))
		gather->in_view = false;
	for (i = 0; i < view->gather_count; i++) {
		gather = find_gather(front, view->gathers[i].key);
		if (!gather)
			gather = add_gather(front, &view->gathers[i]);
		if (!gather)
			continue;
		gather->in_view = true;
		gather->index = i;
		rows[i] = gather->handle;
	}
	return rows;
}

bool gather_links_settled(const front_t *front)
{
	mc_ms_t now = mc_shard_now(front->shard);
	uint32_t reported = 0;
	uint32_t usable = 0;
	uint32_t i;

	for (i = 0; i < front->view->gather_count; i++) {
		const gather_link_t *gather =
			mc_table_get(front->gathers, front->gather_rows[i]);

		if (!front->view->gathers[i].usable || !gather)
			continue;
		usable++;
		reported += gather->reported;
	}
	return reported &&
	       (reported == usable || now - front->configured_at > SETTLE_MS);
}

void gather_links_destroy(front_t *front)
{
	uint32_t cursor = 0;
	mc_handle_t handle;
	gather_link_t *gather;

	while (front->gathers &&
	       (gather = mc_table_next(front->gathers, &cursor, &handle))) {
		mc_timer_cancel(front->shard, gather->retry_timer);
		mc_link_close(front->shard, gather->link);
		mc_table_remove(front->gathers, handle);
	}
	mc_table_destroy(front->gathers);
	free(front->gather_rows);
}
