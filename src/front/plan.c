/*
 * Which snapshot a search pins, and which replica and gather each of its
 * shards goes to. Sub-queries of one request to one gather leave in one frame
 * per service.
 */
#include "front_private.h"

#include <stdlib.h>
#include <string.h>

enum {
	/* Taken from a sub-query's time for its way there and back. */
	TRAVEL_MS = 5,
	TIME_LEFT_MIN_MS = 1,
};

static bool target_usable(void *ctx, mc_row_t target)
{
	const front_t *front = ctx;

	return mc_router_is_target_usable(front->router, target);
}

typedef struct {
	const front_t *front;
	mc_row_t snapshot;
} serves_t;

static bool target_serves(void *ctx, mc_row_t target)
{
	const serves_t *serves = ctx;

	return mc_catalogue_serves(serves->front->catalogue, target,
				   serves->snapshot);
}

static mc_err_t add_part(front_t *front, query_t *query, mc_row_t service)
{
	const mc_config_t *config = query->view->config;
	const mc_snapshot_target_filter_t usable = { .is_usable = target_usable,
						     .ctx = front };
	part_t *part = &query->parts[query->part_count];
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

static mc_err_t expect_shards(query_t *query, uint32_t index)
{
	const mc_config_t *config = query->view->config;
	const part_t *part = &query->parts[index];
	const mc_layout_t *layout = &config->layouts[part->layout];
	uint32_t shard, slot;
	mc_err_t err;

	for (shard = 0; shard < layout->shard_count; shard++) {
		err = mc_answer_add_slot(query->answer,
					 config->snapshots[part->snapshot].id,
					 layout->documents[shard], &slot);
		if (err)
			return err;
		query->slots[slot] = (slot_t){
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
		return mc_fail(MC_ERR_NO_MEMORY, "no memory for a request");
	for (i = 0; !err && i < query->part_count; i++)
		err = expect_shards(query, i);
	return err;
}

/* Chooses where a sub-query of the slot goes, to none that it tried. */
static mc_err_t choose(front_t *front, const query_t *query, uint32_t slot,
		       mc_route_choice_t *choice)
{
	const slot_t *shard = &query->slots[slot];
	const part_t *part = &query->parts[shard->part];
	serves_t serves = { .front = front, .snapshot = part->snapshot };
	const mc_route_query_t asked = {
		.layout = part->layout,
		.shard = shard->shard,
		.request_hash = query->hash,
		.exclude = shard->tried,
		.exclude_count = shard->tries,
		.serves = target_serves,
		.serves_ctx = &serves,
		.now = mc_shard_now(front->shard),
	};

	return mc_router_choose(front->router, &asked,
				mc_shard_random(front->shard), choice);
}

static void log_choice(const front_t *front, const query_t *query,
		       const sub_query_t *sub)
{
	const slot_t *slot = &query->slots[sub->slot];
	const mc_config_t *config = query->view->config;

	mc_log(front->log, MC_LOG_INFO, "route",
	       "target chosen request=%s shard=%u target=%s gather=%u try=%u "
	       "hedge=%d",
	       query->id, slot->shard,
	       config->targets[sub->choice.target].address, sub->choice.gather,
	       slot->tries, sub->hedge);
}

/* Notes a sub-query that is about to be sent. */
static sub_query_t *add_sub_query(front_t *front, query_t *query, uint32_t slot,
				  bool hedge)
{
	slot_t *shard = &query->slots[slot];
	mc_route_choice_t choice;
	mc_handle_t handle;
	sub_query_t *sub;
	void *record;
	mc_err_t err = choose(front, query, slot, &choice);

	if (!err)
		err = mc_table_add(front->sub_queries, &handle, &record);
	if (err) {
		if (!mc_answer_missing_reason(query->answer, slot) ||
		    !shard->tries)
			mc_answer_set_missing_reason(query->answer, slot, err);
		if (!query->last_reason)
			query->last_reason = err;
		return NULL;
	}
	sub = record;
	*sub = (sub_query_t){
		.handle = handle,
		.query = query->handle,
		.slot = slot,
		.gather = gather_of_choice(front, choice),
		.choice = choice,
		.sent_at = mc_shard_now(front->shard),
		.hedge = hedge,
		.router_epoch = front->router_epoch,
	};
	shard->subs[shard->tries] = handle;
	shard->tried[shard->tries++] = choice.target;
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
		.is_hedge = sub->hedge,
	};
}

/* Sends sub-queries of one part to one gather. */
static mc_err_t send_group(front_t *front, const query_t *query, uint32_t part,
			   mc_handle_t gather, mc_wire_sub_query_t *subs,
			   uint32_t count)
{
	const mc_config_t *config = query->view->config;
	const part_t *of = &query->parts[part];
	mc_ms_t left = query->deadline - mc_shard_now(front->shard) - TRAVEL_MS;
	const mc_wire_message_t message = {
		.kind = MC_WIRE_QUERY,
		.query = {
			.request = query->id,
			.service = config->services[of->service].name,
			.snapshot = config->snapshots[of->snapshot].id,
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

/* A frame that could not be sent fails its sub-queries like a lost link. */
static void fail_group(front_t *front, const mc_wire_sub_query_t *subs,
		       uint32_t count, mc_err_t err)
{
	const mc_wire_result_t failed = { .err = err, .snapshot = "" };
	uint32_t i;

	for (i = 0; i < count; i++) {
		sub_query_t *sub = mc_table_get(front->sub_queries,
						mc_handle_unpack(subs[i].id));

		if (sub)
			query_result(front, sub, &failed);
	}
}

typedef struct {
	mc_handle_t gather;
	uint32_t part;
	mc_wire_sub_query_t sub;
} planned_t;

static int compare_planned(const void *a, const void *b)
{
	const planned_t *x = a;
	const planned_t *y = b;

	if (x->part != y->part)
		return x->part < y->part ? -1 : 1;
	if (x->gather.index != y->gather.index)
		return x->gather.index < y->gather.index ? -1 : 1;
	return 0;
}

/* Sends what was planned, one frame per part and gather. */
static void send_planned(front_t *front, query_t *query, planned_t *planned,
			 uint32_t count)
{
	mc_handle_t handle = query->handle;
	mc_wire_sub_query_t *subs = calloc(count + 1, sizeof(*subs));
	uint32_t first = 0;
	uint32_t i, size;
	mc_err_t err;

	qsort(planned, count, sizeof(*planned), compare_planned);
	while (subs && first < count && mc_table_get(front->queries, handle)) {
		size = 0;
		for (i = first; i < count; i++) {
			if (compare_planned(&planned[first], &planned[i]))
				break;
			subs[size++] = planned[i].sub;
		}
		err = send_group(front, query, planned[first].part,
				 planned[first].gather, subs, size);
		if (err)
			fail_group(front, subs, size, err);
		first += size;
	}
	free(subs);
}

void plan_send_all(front_t *front, query_t *query)
{
	planned_t *planned = calloc(query->slot_count, sizeof(*planned));
	const sub_query_t *sub;
	uint32_t count = 0;
	uint32_t i;

	if (!planned)
		return;
	mc_router_begin_request(front->router);
	for (i = 0; i < query->slot_count; i++) {
		sub = add_sub_query(front, query, i, false);
		if (!sub)
			continue;
		hedge_set(front, query, i);
		planned[count++] = (planned_t){
			.gather = sub->gather,
			.part = query->slots[i].part,
			.sub = encode_sub_query(query, sub),
		};
	}
	mc_counter_add(mc_shard_counters(front->shard), MC_COUNTER_SUB_QUERIES,
		       count);
	mc_retry_budget_deposit(&front->hedges, count);
	mc_retry_budget_deposit(&front->retries, count);
	send_planned(front, query, planned, count);
	free(planned);
}

bool plan_send_extra(front_t *front, query_t *query, uint32_t slot, bool hedge)
{
	mc_wire_sub_query_t encoded;
	const sub_query_t *sub;
	mc_err_t err;

	if (front_admits(front) ||
	    query->slots[slot].tries == FRONT_TRIES_MAX ||
	    !query_rebase(front, query))
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

void sub_query_end(front_t *front, sub_query_t *sub, mc_ms_t latency)
{
	if (sub->router_epoch == front->router_epoch)
		mc_router_record_done(front->router, sub->choice, latency);
	mc_table_remove(front->sub_queries, sub->handle);
}

/* The request's sub-queries that are still out. */
static uint32_t find_outstanding(const front_t *front, const query_t *query,
				 planned_t *found)
{
	uint32_t count = 0;
	uint32_t i, try;

	for (i = 0; i < query->slot_count; i++) {
		const slot_t *slot = &query->slots[i];

		for (try = 0; slot->outstanding && try < slot->tries; try++) {
			const sub_query_t *sub = mc_table_get(
				front->sub_queries, slot->subs[try]);

			if (!sub)
				continue;
			found[count++] = (planned_t){
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
	uint32_t most = query->slot_count * FRONT_TRIES_MAX;
	planned_t *found = calloc(most, sizeof(*found));
	uint64_t *ids = calloc(most, sizeof(*ids));
	uint32_t count = 0;
	uint32_t first = 0;
	uint32_t i, size;

	if (found && ids) {
		count = find_outstanding(front, query, found);
		qsort(found, count, sizeof(*found), compare_planned);
	}
	while (first < count) {
		size = 0;
		for (i = first; i < count; i++) {
			if (compare_planned(&found[first], &found[i]))
				break;
			ids[size++] = found[i].sub.id;
		}
		send_cancel(front, found[first].gather, ids, size);
		first += size;
	}
	free(found);
	free(ids);
}
