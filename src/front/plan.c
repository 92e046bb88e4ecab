/*
 * Pins the snapshots that a search reads, chooses the target and the gather for
 * each of its shards, and sends the sub-queries. Those that go to the same
 * gather are sent in one frame per service.
 */
#include "front_private.h"

#include <stdlib.h>
#include <string.h>

enum {
	/* Subtracted from the time left for transit to and from the gather. */
	TRANSIT_MS = 5,
	TIME_LEFT_MIN_MS = 1,
};

static bool is_target_usable(void *ctx, mc_row_t target)
{
	const front_t *front = ctx;

	return mc_router_is_target_usable(front->router, target);
}

/* Selects the targets that can serve a snapshot. */
typedef struct {
	const front_t *front;
	mc_row_t snapshot;
} snapshot_filter_t;

static bool target_has_snapshot(void *ctx, mc_row_t target)
{
	const snapshot_filter_t *filter = ctx;

	return mc_catalogue_serves(filter->front->catalogue, target,
				   filter->snapshot);
}

static mc_err_t add_part(front_t *front, query_t *query, mc_row_t service)
{
	const mc_config_t *config = query->view->config;
	const mc_snapshot_target_filter_t usable = { .is_usable =
							     is_target_usable,
						     .ctx = front };
	service_part_t *part = &query->parts[query->part_count];
	mc_err_t err;

	err = mc_catalogue_choose_snapshot(front->catalogue, service, &usable,
					   &part->snapshot);
	if (err)
		return err;
	part->service = service;
	part->layout = config->snapshots[part->snapshot].layout;
	part->first_slot = query->slot_count;
	query->slot_count += config->layouts[part->layout].shard_count;
	if (query->slot_count > FRONT_SLOTS_MAX)
		return mc_fail(MC_ERR_BAD_REQUEST,
			       "more than %d shards in one request",
			       FRONT_SLOTS_MAX);
	query->part_count++;
	mc_log(front->log, MC_LOG_INFO, "route",
	       "snapshot pinned request=%s service=%s snapshot=%s", query->id,
	       config->services[service].name,
	       config->snapshots[part->snapshot].id);
	return MC_OK;
}

static mc_err_t add_shard_slots(query_t *query, uint32_t index)
{
	const mc_config_t *config = query->view->config;
	const service_part_t *part = &query->parts[index];
	const mc_layout_t *layout = &config->layouts[part->layout];
	uint32_t shard, slot;
	mc_err_t err;

	for (shard = 0; shard < layout->shard_count; shard++) {
		err = mc_answer_add_slot(query->answer,
					 config->snapshots[part->snapshot].id,
					 layout->documents[shard], &slot);
		if (err)
			return err;
		query->slots[slot] = (shard_slot_t){
			.part = index,
			.shard = shard,
			.hedge_at = MC_MS_NEVER,
		};
	}
	return MC_OK;
}

mc_err_t plan_parts(front_t *front, query_t *query,
		    const search_request_t *request)
{
	mc_err_t err = MC_OK;
	uint32_t i;

	for (i = 0; !err && i < request->service_count; i++)
		err = add_part(front, query, request->services[i]);
	if (err)
		return err;
	query->slots = calloc(query->slot_count, sizeof(*query->slots));
	query->answer = mc_answer_create(query->limit);
	if (!query->slots || !query->answer)
		return mc_fail(MC_ERR_NO_MEMORY, "no memory for a search");
	for (i = 0; !err && i < query->part_count; i++)
		err = add_shard_slots(query, i);
	return err;
}

/* Chooses a target that was not tried yet for the shard, and a gather. */
static mc_err_t choose_target(front_t *front, const query_t *query,
			      uint32_t slot, mc_route_choice_t *choice)
{
	const shard_slot_t *shard = &query->slots[slot];
	const service_part_t *part = &query->parts[shard->part];
	snapshot_filter_t filter = { .front = front,
				     .snapshot = part->snapshot };
	const mc_route_query_t route_query = {
		.layout = part->layout,
		.shard = shard->shard,
		.request_hash = query->hash,
		.exclude = shard->tried,
		.exclude_count = shard->attempts,
		.serves = target_has_snapshot,
		.serves_ctx = &filter,
		.now = mc_shard_now(front->shard),
	};

	return mc_router_choose(front->router, &route_query,
				mc_shard_random(front->shard), choice);
}

static void log_choice(const front_t *front, const query_t *query,
		       const sub_query_t *sub)
{
	const shard_slot_t *slot = &query->slots[sub->slot];
	const mc_config_t *config = query->view->config;

	mc_log(front->log, MC_LOG_INFO, "route",
	       "target chosen request=%s shard=%u target=%s gather=%u try=%u "
	       "hedge=%d",
	       query->id, slot->shard,
	       config->targets[sub->choice.target].address, sub->choice.gather,
	       slot->attempts, sub->is_hedge);
}

/*
 * Adds a sub-query that is to be sent next and counts it as in flight. Returns
 * NULL if no target can be chosen; the reason is recorded in the request.
 */
static sub_query_t *add_sub_query(front_t *front, query_t *query, uint32_t slot,
				  bool hedge)
{
	shard_slot_t *shard = &query->slots[slot];
	mc_route_choice_t choice;
	mc_handle_t handle;
	sub_query_t *sub;
	void *record;
	mc_err_t err = choose_target(front, query, slot, &choice);

	if (!err)
		err = mc_table_add(front->sub_queries, &handle, &record);
	if (err) {
		if (!mc_answer_missing_reason(query->answer, slot) ||
		    !shard->attempts)
			mc_answer_set_missing_reason(query->answer, slot, err);
		if (!query->last_error)
			query->last_error = err;
		return NULL;
	}
	sub = record;
	*sub = (sub_query_t){
		.handle = handle,
		.query = query->handle,
		.slot = slot,
		.gather = gather_for_choice(front, choice),
		.choice = choice,
		.sent_at = mc_shard_now(front->shard),
		.is_hedge = hedge,
		.router_epoch = front->router_epoch,
	};
	shard->subs[shard->attempts] = handle;
	shard->tried[shard->attempts++] = choice.target;
	if (!shard->outstanding++)
		query->pending++;
	mc_router_record_sent(front->router, choice);
	log_choice(front, query, sub);
	return sub;
}

static mc_wire_sub_query_t encode_sub_query(const query_t *query,
					    const sub_query_t *sub)
{
	const mc_config_t *config = query->view->config;

	return (mc_wire_sub_query_t){
		.id = mc_handle_pack(sub->handle),
		.target_key = config->targets[sub->choice.target].key,
		.shard = query->slots[sub->slot].shard,
		.is_hedge = sub->is_hedge,
	};
}

/* Sends sub-queries of one service to one gather, in one frame. */
static mc_err_t send_group(front_t *front, const query_t *query,
			   uint32_t part_index, mc_handle_t gather,
			   mc_wire_sub_query_t *subs, uint32_t count)
{
	const mc_config_t *config = query->view->config;
	const service_part_t *part = &query->parts[part_index];
	mc_ms_t left =
		query->deadline - mc_shard_now(front->shard) - TRANSIT_MS;
	const mc_wire_message_t message = {
		.kind = MC_WIRE_QUERY,
		.query = {
			.request = query->id,
			.service = config->services[part->service].name,
			.snapshot = config->snapshots[part->snapshot].id,
			.query = query->text,
			.limit = query->limit,
			.klass = (uint32_t)query->klass,
			.time_left = left < TIME_LEFT_MIN_MS ?
					     TIME_LEFT_MIN_MS :
					     left,
			.sub_query_count = count,
			.sub_queries = subs,
		},
	};

	return gather_send(front, gather, &message);
}

/* Fails the sub-queries of a frame that could not be sent. */
static void fail_group(front_t *front, const mc_wire_sub_query_t *subs,
		       uint32_t count, mc_err_t err)
{
	const mc_wire_result_t failed = { .err = err, .snapshot = "" };
	uint32_t i;

	for (i = 0; i < count; i++) {
		sub_query_t *sub = mc_table_get(front->sub_queries,
						mc_handle_unpack(subs[i].id));

		if (sub)
			query_handle_result(front, sub, &failed);
	}
}

/* A sub-query, with the gather and the service's part that select its frame. */
typedef struct {
	mc_handle_t gather;
	uint32_t part;
	mc_wire_sub_query_t sub;
} routed_sub_query_t;

static int compare_destinations(const void *a, const void *b)
{
	const routed_sub_query_t *x = a;
	const routed_sub_query_t *y = b;

	if (x->part != y->part)
		return x->part < y->part ? -1 : 1;
	if (x->gather.index != y->gather.index)
		return x->gather.index < y->gather.index ? -1 : 1;
	return 0;
}

/*
 * Sends the sub-queries, one frame per service and gather. Stops when a
 * failure has ended the request.
 */
static void send_routed(front_t *front, query_t *query,
			routed_sub_query_t *routed, uint32_t count)
{
	mc_handle_t handle = query->handle;
	mc_wire_sub_query_t *subs = calloc(count + 1, sizeof(*subs));
	uint32_t first = 0;
	uint32_t i, size;
	mc_err_t err;

	qsort(routed, count, sizeof(*routed), compare_destinations);
	while (subs && first < count && mc_table_get(front->queries, handle)) {
		size = 0;
		for (i = first; i < count; i++) {
			if (compare_destinations(&routed[first], &routed[i]))
				break;
			subs[size++] = routed[i].sub;
		}
		err = send_group(front, query, routed[first].part,
				 routed[first].gather, subs, size);
		if (err)
			fail_group(front, subs, size, err);
		first += size;
	}
	free(subs);
}

void plan_send_all(front_t *front, query_t *query)
{
	routed_sub_query_t *routed = calloc(query->slot_count, sizeof(*routed));
	const sub_query_t *sub;
	uint32_t count = 0;
	uint32_t i;

	if (!routed)
		return;
	mc_router_begin_request(front->router);
	for (i = 0; i < query->slot_count; i++) {
		sub = add_sub_query(front, query, i, false);
		if (!sub)
			continue;
		hedge_set_time(front, query, i);
		routed[count++] = (routed_sub_query_t){
			.gather = sub->gather,
			.part = query->slots[i].part,
			.sub = encode_sub_query(query, sub),
		};
	}
	mc_counter_add(mc_shard_counters(front->shard), MC_COUNTER_SUB_QUERIES,
		       count);
	mc_retry_budget_deposit(&front->hedge_budget, count);
	mc_retry_budget_deposit(&front->retry_budget, count);
	send_routed(front, query, routed, count);
	free(routed);
}

bool plan_send_extra(front_t *front, query_t *query, uint32_t slot, bool hedge)
{
	mc_wire_sub_query_t encoded;
	const sub_query_t *sub;
	mc_err_t err;

	if (front_check_ready(front) ||
	    query->slots[slot].attempts == FRONT_ATTEMPTS_MAX ||
	    !query_remap(front, query))
		return false;
	sub = add_sub_query(front, query, slot, hedge);
	if (!sub)
		return false;
	encoded = encode_sub_query(query, sub);
	err = send_group(front, query, query->slots[slot].part, sub->gather,
			 &encoded, 1);
	if (err)
		fail_group(front, &encoded, 1, err);
	return true;
}

void sub_query_finish(front_t *front, sub_query_t *sub, mc_ms_t latency)
{
	if (sub->router_epoch == front->router_epoch)
		mc_router_record_done(front->router, sub->choice, latency);
	mc_table_remove(front->sub_queries, sub->handle);
}

/* Collects the request's outstanding sub-queries; returns their number. */
static uint32_t find_outstanding(const front_t *front, const query_t *query,
				 routed_sub_query_t *found)
{
	uint32_t count = 0;
	uint32_t i, j;

	for (i = 0; i < query->slot_count; i++) {
		const shard_slot_t *slot = &query->slots[i];

		for (j = 0; slot->outstanding && j < slot->attempts; j++) {
			const sub_query_t *sub =
				mc_table_get(front->sub_queries, slot->subs[j]);

			if (!sub)
				continue;
			found[count++] = (routed_sub_query_t){
				.gather = sub->gather,
				.sub.id = mc_handle_pack(sub->handle),
			};
		}
	}
	return count;
}

static void sub_query_cancel(front_t *front, const sub_query_t *sub)
{
	mc_ms_t elapsed = mc_shard_now(front->shard) - sub->sent_at;

	if (sub->router_epoch == front->router_epoch)
		mc_router_record_canceled(front->router, sub->choice, elapsed);
	mc_table_remove(front->sub_queries, sub->handle);
}

static void send_cancel(front_t *front, mc_handle_t gather, uint64_t *ids,
			uint32_t count)
{
	const mc_wire_message_t message = {
		.kind = MC_WIRE_CANCEL,
		.cancel = { .count = count, .ids = ids },
	};
	uint32_t i;

	gather_send(front, gather, &message);
	for (i = 0; i < count; i++)
		sub_query_cancel(front, mc_table_get(front->sub_queries,
						     mc_handle_unpack(ids[i])));
}

void plan_cancel(front_t *front, query_t *query)
{
	uint32_t max_count = query->slot_count * FRONT_ATTEMPTS_MAX;
	routed_sub_query_t *found = calloc(max_count, sizeof(*found));
	uint64_t *ids = calloc(max_count, sizeof(*ids));
	uint32_t count = 0;
	uint32_t first = 0;
	uint32_t i, size;

	if (found && ids) {
		count = find_outstanding(front, query, found);
		qsort(found, count, sizeof(*found), compare_destinations);
	}
	while (first < count) {
		size = 0;
		for (i = first; i < count; i++) {
			if (compare_destinations(&found[first], &found[i]))
				break;
			ids[size++] = found[i].sub.id;
		}
		send_cancel(front, found[first].gather, ids, size);
		first += size;
	}
	free(found);
	free(ids);
}
