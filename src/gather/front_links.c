/*
 * Links from fronts and peers. A query's sub-queries are dealt out to the
 * shards that their targets belong to; control messages go to the node.
 */
#include "gather_private.h"

#include <stdlib.h>
#include <string.h>

/* The rows of a query whose targets belong to one shard. */
typedef struct {
	gather_t *gather;
	route_t route;
	shared_t *shared;
	uint32_t count;
	uint32_t rows[];
} part_t;

gather_t *gather_of(const gather_t *gather, uint32_t shard)
{
	return mc_process_role_state(gather->process, shard);
}

uint32_t gather_shard_of(const gather_t *gather, uint64_t target)
{
	return (uint32_t)(target % mc_process_shard_count(gather->process));
}

bool gather_fresh(const gather_t *gather)
{
	mc_ms_t age = mc_shard_now(gather->shard) - gather->confirmed;

	return gather->view && age <= MC_VIEW_AGE_MAX_MS;
}

bool intake_check_pause(gather_t *gather)
{
	uint32_t cursor = 0;
	mc_handle_t handle;
	target_t *target;

	if (gather->paused || gather->confirmed < 0 || gather_fresh(gather))
		return false;
	gather->paused = true;
	mc_log(gather->log, MC_LOG_WARNING, "gather",
	       "view is too old, links of fronts closed fronts=%u",
	       gather->front_count);
	while (gather->front_count)
		mc_link_close(gather->shard,
			      gather->fronts[--gather->front_count]);
	while ((target = mc_table_next(gather->targets, &cursor, &handle)))
		dispatch_refuse(gather, target, MC_ERR_NOT_READY);
	return true;
}

static mc_err_t admit(gather_t *gather, uint64_t key, target_t **target)
{
	if (!gather_fresh(gather))
		return MC_ERR_NOT_READY;
	if (gather->closing)
		return MC_ERR_STOPPING;
	*target = target_find(gather, key);
	if (!*target)
		return MC_ERR_NOT_OWNER;
	return target_admits(*target);
}

static mc_err_t add_sub_query(gather_t *gather, const part_t *part,
			      const mc_wire_sub_query_t *from)
{
	const mc_wire_query_t *query = &part->shared->message->query;
	mc_handle_t handle;
	target_t *target;
	sub_query_t *sub;
	void *slot;
	mc_err_t err = admit(gather, from->target_key, &target);

	if (!err && query->limit > GATHER_HITS_MAX)
		err = MC_ERR_BAD_REQUEST;
	if (!err)
		err = mc_table_add(gather->sub_queries, &handle, &slot);
	if (err)
		return err;
	sub = slot;
	sub->handle = handle;
	sub->key = (sub_key_t){ .route = part->route, .id = from->id };
	sub->shared = shared_ref(part->shared);
	sub->target = target->handle;
	sub->shard = from->shard;
	sub->klass = (mc_request_class_t)query->klass;
	sub->deadline = mc_shard_now(gather->shard) + query->time_left;
	apr_hash_set(gather->sub_queries_by_key, &sub->key, sizeof(sub->key),
		     sub);
	dispatch_add(gather, sub, target);
	return MC_OK;
}

static void free_part(part_t *part)
{
	shared_unref(part->shared);
	free(part);
}

/* Takes a part on the shard of its targets. */
static void run_part(mc_shard_t *shard, void *arg)
{
	part_t *part = arg;
	gather_t *gather = part->gather;
	const mc_wire_query_t *query = &part->shared->message->query;
	mc_wire_result_t *refused = calloc(part->count, sizeof(*refused));
	uint32_t count = 0;
	uint32_t i;

	(void)shard;
	for (i = 0; refused && i < part->count; i++) {
		const mc_wire_sub_query_t *sub =
			&query->sub_queries[part->rows[i]];
		mc_err_t err = add_sub_query(gather, part, sub);

		if (!err)
			continue;
		mc_log(gather->log, MC_LOG_INFO, "gather",
		       "sub-query refused request=%s shard=%u reason=%s",
		       query->request, sub->shard, mc_error_name(err));
		refused[count++] = (mc_wire_result_t){
			.id = sub->id,
			.err = err,
			.snapshot = "",
		};
	}
	if (count)
		gather_reply_results(gather, part->route, refused, count);
	free(refused);
	free_part(part);
}

static void send_part(gather_t *gather, route_t route, shared_t *shared,
		      uint32_t shard)
{
	const mc_wire_query_t *query = &shared->message->query;
	uint32_t total = query->sub_query_count;
	part_t *part = malloc(sizeof(*part) + total * sizeof(part->rows[0]));
	uint32_t i;

	if (!part)
		return;
	part->gather = gather_of(gather, shard);
	part->route = route;
	part->shared = shared_ref(shared);
	part->count = 0;
	for (i = 0; i < total; i++)
		if (gather_shard_of(gather, query->sub_queries[i].target_key) ==
		    shard)
			part->rows[part->count++] = i;
	if (part->count && shard == route.shard) {
		run_part(gather->shard, part);
		return;
	}
	if (!part->count ||
	    mc_shard_post(mc_process_shard(gather->process, shard), run_part,
			  part))
		free_part(part);
}

typedef struct {
	gather_t *gather;
	route_t route;
	shared_t *shared;
} whole_t;

static void run_whole(mc_shard_t *shard, void *arg)
{
	whole_t *whole = arg;
	const mc_wire_message_t *message = whole->shared->message;

	(void)shard;
	if (message->kind == MC_WIRE_CANCEL)
		cancel_sub_queries(whole->gather, whole->route,
				   message->cancel.ids, message->cancel.count);
	else if (message->kind == MC_WIRE_RUN)
		run_start(whole->gather, whole->route, whole->shared);
	else if (message->kind == MC_WIRE_HELLO)
		report_all(whole->gather, whole->route);
	shared_unref(whole->shared);
	free(whole);
}

/* Has the whole message handled on the shard @shard. */
static void send_whole(gather_t *gather, route_t route, shared_t *shared,
		       uint32_t shard)
{
	whole_t *whole = malloc(sizeof(*whole));

	if (!whole)
		return;
	*whole = (whole_t){
		.gather = gather_of(gather, shard),
		.route = route,
		.shared = shared_ref(shared),
	};
	if (shard == route.shard) {
		run_whole(gather->shard, whole);
	} else if (mc_shard_post(mc_process_shard(gather->process, shard),
				 run_whole, whole)) {
		shared_unref(shared);
		free(whole);
	}
}

static void send_to_all(gather_t *gather, route_t route, shared_t *shared)
{
	uint32_t i;

	for (i = 0; i < mc_process_shard_count(gather->process); i++)
		send_whole(gather, route, shared, i);
}

/* A front says hello again when its configuration has changed. */
static bool add_front(gather_t *gather, mc_handle_t link)
{
	uint32_t i;

	for (i = 0; i < gather->front_count; i++)
		if (mc_handle_equal(gather->fronts[i], link))
			return true;
	if (gather->front_count == MC_LINKS_MAX)
		return false;
	gather->fronts[gather->front_count++] = link;
	return true;
}

static void take_hello(gather_t *gather, route_t route, shared_t *shared)
{
	if (shared->message->hello.is_gather ||
	    shared->message->hello.version != MC_WIRE_VERSION ||
	    !add_front(gather, route.link))
		return;
	send_to_all(gather, route, shared);
}

static void take_message(gather_t *gather, route_t route, shared_t *shared)
{
	uint32_t i;

	switch (shared->message->kind) {
	case MC_WIRE_HELLO:
		take_hello(gather, route, shared);
		break;
	case MC_WIRE_QUERY:
		for (i = 0; i < mc_process_shard_count(gather->process); i++)
			send_part(gather, route, shared, i);
		break;
	case MC_WIRE_CANCEL:
		send_to_all(gather, route, shared);
		break;
	case MC_WIRE_RUN:
		send_whole(gather, route, shared,
			   gather_shard_of(gather,
					   shared->message->run.target_key));
		break;
	default:
		mc_counter_add(mc_shard_counters(gather->shard),
			       MC_COUNTER_BAD_FRAMES, 1);
	}
}

static void on_opened(void *ctx, mc_handle_t link)
{
	(void)ctx;
	(void)link;
}

static void on_frame(void *ctx, mc_handle_t link, const char *data, size_t size)
{
	gather_t *gather = ctx;
	const route_t route = {
		.shard = mc_shard_index(gather->shard),
		.link = link,
	};
	mc_wire_message_t *message;
	shared_t *shared;

	if (intake_check_pause(gather))
		return;
	if (mc_wire_decode(data, size, &message)) {
		mc_counter_add(mc_shard_counters(gather->shard),
			       MC_COUNTER_BAD_FRAMES, 1);
		mc_log(gather->log, MC_LOG_WARNING, "gather",
		       "link closed after a bad frame message=\"%s\"",
		       mc_last_error_message());
		mc_link_close(gather->shard, link);
		return;
	}
	if (mc_node_handles_kind(message->kind)) {
		mc_node_receive(mc_process_node(gather->process), message);
		return;
	}
	shared = malloc(sizeof(*shared));
	if (!shared) {
		mc_wire_free(message);
		return;
	}
	*shared = (shared_t){ .references = 1, .message = message };
	take_message(gather, route, shared);
	shared_unref(shared);
}

static void on_closed(void *ctx, mc_handle_t link, mc_err_t reason)
{
	gather_t *gather = ctx;
	uint32_t i;

	if (reason == MC_ERR_BAD_FRAME)
		mc_log(gather->log, MC_LOG_WARNING, "gather",
		       "link closed after a bad frame message=\"length\"");
	for (i = 0; i < gather->front_count; i++) {
		if (!mc_handle_equal(gather->fronts[i], link))
			continue;
		gather->fronts[i] = gather->fronts[--gather->front_count];
		return;
	}
}

mc_err_t intake_listen(gather_t *gather)
{
	static const mc_link_events_t events = {
		.opened = on_opened,
		.frame = on_frame,
		.closed = on_closed,
	};
	const mc_settings_t *settings = mc_process_settings(gather->process);
	uint16_t port;

	return mc_link_listen(gather->shard, settings->gather_peer_address,
			      &events, gather, &port, &gather->listener);
}
