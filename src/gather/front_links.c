/*
 * Links from fronts and peers. Sub-queries are passed to the data shards that
 * their targets belong to; messages between peers are passed to the node.
 */
#include "gather_private.h"

#include <stdlib.h>
#include <string.h>

/* Those sub-queries of a message whose targets belong to one data shard. */
typedef struct {
	gather_t *gather;
	reply_route_t route;
	shared_message_t *shared;
	/* Number of sub-queries and their indexes in the message. */
	uint32_t count;
	uint32_t indexes[];
} shard_group_t;

gather_t *gather_on_shard(const gather_t *gather, uint32_t shard)
{
	return mc_process_role_state(gather->process, shard);
}

uint32_t gather_target_shard(const gather_t *gather, uint64_t target)
{
	return (uint32_t)(target % mc_process_shard_count(gather->process));
}

bool gather_view_is_fresh(const gather_t *gather)
{
	mc_ms_t age = mc_shard_now(gather->shard) - gather->view_confirmed_at;

	return gather->view && age <= MC_VIEW_AGE_MAX_MS;
}

bool front_links_check_pause(gather_t *gather)
{
	uint32_t cursor = 0;
	mc_handle_t handle;
	target_t *target;

	if (gather->paused || gather->view_confirmed_at < 0 ||
	    gather_view_is_fresh(gather))
		return false;
	gather->paused = true;
	mc_log(gather->log, MC_LOG_WARNING, "gather",
	       "links to fronts closed, waiting sub-queries refused: view is "
	       "out of date fronts=%u",
	       gather->front_count);
	while (gather->front_count)
		mc_link_close(gather->shard,
			      gather->fronts[--gather->front_count]);
	while ((target = mc_table_next(gather->targets, &cursor, &handle)))
		dispatch_refuse_all(gather, target, MC_ERR_NOT_READY);
	return true;
}

/* Finds a target that can get work now; returns the reason if it can't. */
static mc_err_t find_ready_target(gather_t *gather, uint64_t key,
				  target_t **target)
{
	if (!gather_view_is_fresh(gather))
		return MC_ERR_NOT_READY;
	if (gather->closing)
		return MC_ERR_STOPPING;
	*target = target_find(gather, key);
	if (!*target)
		return MC_ERR_NOT_OWNER;
	return target_check_ready(*target);
}

static mc_err_t add_sub_query(gather_t *gather, const shard_group_t *group,
			      const mc_wire_sub_query_t *from)
{
	const mc_wire_query_t *query = &group->shared->message->query;
	mc_handle_t handle;
	target_t *target;
	sub_query_t *sub;
	void *slot;
	mc_err_t err = find_ready_target(gather, from->target_key, &target);

	if (!err && query->limit > GATHER_HITS_MAX)
		err = MC_ERR_BAD_REQUEST;
	if (!err)
		err = mc_table_add(gather->sub_queries, &handle, &slot);
	if (err)
		return err;
	sub = slot;
	sub->handle = handle;
	sub->key = (sub_key_t){ .route = group->route, .id = from->id };
	sub->shared = shared_message_ref(group->shared);
	sub->target = target->handle;
	sub->shard = from->shard;
	sub->klass = (mc_request_class_t)query->klass;
	sub->deadline = mc_shard_now(gather->shard) + query->time_left;
	apr_hash_set(gather->sub_queries_by_key, &sub->key, sizeof(sub->key),
		     sub);
	dispatch_enqueue(gather, sub, target);
	return MC_OK;
}

static void free_group(shard_group_t *group)
{
	shared_message_unref(group->shared);
	free(group);
}

/* Enqueues the sub-queries of a group on the data shard of their targets. */
static void handle_group(mc_shard_t *shard, void *arg)
{
	shard_group_t *group = arg;
	gather_t *gather = group->gather;
	const mc_wire_query_t *query = &group->shared->message->query;
	mc_wire_result_t *refused = calloc(group->count, sizeof(*refused));
	uint32_t count = 0;
	uint32_t i;

	(void)shard;
	for (i = 0; refused && i < group->count; i++) {
		const mc_wire_sub_query_t *sub =
			&query->sub_queries[group->indexes[i]];
		mc_err_t err = add_sub_query(gather, group, sub);

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
		gather_reply_results(gather, group->route, refused, count);
	free(refused);
	free_group(group);
}

static void post_group(gather_t *gather, reply_route_t route,
		       shared_message_t *shared, uint32_t shard)
{
	const mc_wire_query_t *query = &shared->message->query;
	uint32_t total = query->sub_query_count;
	shard_group_t *group =
		malloc(sizeof(*group) + total * sizeof(group->indexes[0]));
	uint32_t i;

	if (!group)
		return;
	group->gather = gather_on_shard(gather, shard);
	group->route = route;
	group->shared = shared_message_ref(shared);
	group->count = 0;
	for (i = 0; i < total; i++)
		if (gather_target_shard(
			    gather, query->sub_queries[i].target_key) == shard)
			group->indexes[group->count++] = i;
	if (group->count && shard == route.shard) {
		handle_group(gather->shard, group);
		return;
	}
	if (!group->count ||
	    mc_shard_post(mc_process_shard(gather->process, shard),
			  handle_group, group))
		free_group(group);
}

/* A message that is to be handled on the data shard of @gather. */
typedef struct {
	gather_t *gather;
	reply_route_t route;
	shared_message_t *shared;
} posted_message_t;

static void handle_posted_message(mc_shard_t *shard, void *arg)
{
	posted_message_t *posted = arg;
	const mc_wire_message_t *message = posted->shared->message;

	(void)shard;
	if (message->kind == MC_WIRE_CANCEL)
		cancel_sub_queries(posted->gather, posted->route,
				   message->cancel.ids, message->cancel.count);
	else if (message->kind == MC_WIRE_RUN)
		run_start(posted->gather, posted->route, posted->shared);
	else if (message->kind == MC_WIRE_HELLO)
		report_send_all(posted->gather, posted->route);
	shared_message_unref(posted->shared);
	free(posted);
}

/* Has a message handled on the data shard @shard. */
static void post_message(gather_t *gather, reply_route_t route,
			 shared_message_t *shared, uint32_t shard)
{
	posted_message_t *posted = malloc(sizeof(*posted));

	if (!posted)
		return;
	*posted = (posted_message_t){
		.gather = gather_on_shard(gather, shard),
		.route = route,
		.shared = shared_message_ref(shared),
	};
	if (shard == route.shard) {
		handle_posted_message(gather->shard, posted);
	} else if (mc_shard_post(mc_process_shard(gather->process, shard),
				 handle_posted_message, posted)) {
		shared_message_unref(shared);
		free(posted);
	}
}

static void post_message_to_all(gather_t *gather, reply_route_t route,
				shared_message_t *shared)
{
	uint32_t i;

	for (i = 0; i < mc_process_shard_count(gather->process); i++)
		post_message(gather, route, shared, i);
}

/*
 * Adds a link to those of fronts. It may be there already, as fronts send HELLO
 * again when their configuration has changed. Returns false if there are too
 * many links.
 */
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

static void handle_hello(gather_t *gather, reply_route_t route,
			 shared_message_t *shared)
{
	if (shared->message->hello.is_gather ||
	    shared->message->hello.version != MC_WIRE_VERSION ||
	    !add_front(gather, route.link))
		return;
	post_message_to_all(gather, route, shared);
}

static void handle_message(gather_t *gather, reply_route_t route,
			   shared_message_t *shared)
{
	uint32_t i;

	switch (shared->message->kind) {
	case MC_WIRE_HELLO:
		handle_hello(gather, route, shared);
		break;
	case MC_WIRE_QUERY:
		for (i = 0; i < mc_process_shard_count(gather->process); i++)
			post_group(gather, route, shared, i);
		break;
	case MC_WIRE_CANCEL:
		post_message_to_all(gather, route, shared);
		break;
	case MC_WIRE_RUN:
		post_message(gather, route, shared,
			     gather_target_shard(
				     gather, shared->message->run.target_key));
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
	const reply_route_t route = {
		.shard = mc_shard_index(gather->shard),
		.link = link,
	};
	mc_wire_message_t *message;
	shared_message_t *shared;

	if (front_links_check_pause(gather))
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
	*shared = (shared_message_t){ .ref_count = 1, .message = message };
	handle_message(gather, route, shared);
	shared_message_unref(shared);
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

mc_err_t front_links_listen(gather_t *gather)
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
