/*
 * The answer to one request: a slot for each shard, the coverage, and the best
 * hits. A slot accepts one result, and only while the answer is open. The ids
 * of a result's hits that are kept are copied into one block, which belongs to
 * the slot and is freed with the last of these hits.
 */
#include "mc/answer.h"

#include <stdlib.h>
#include <string.h>

#include "top_hits.h"

enum {
	/* Number of slots in the first allocation. */
	INITIAL_SLOTS = 16,
};

/*
 * struct slot_t - the result of one shard
 * @snapshot: index of the snapshot id that the result must have
 * @documents: number of documents of the shard
 * @reason: why there is no result
 * @has_result: whether a result was accepted
 * @ids: block of the ids of the result's kept hits
 * @kept_hits: number of those hits; at 0, @ids is freed
 */
typedef struct {
	uint32_t snapshot;
	uint64_t documents;
	mc_err_t reason;
	bool has_result;
	char *ids;
	uint32_t kept_hits;
} slot_t;

struct mc_answer_t {
	uint32_t slot_count;
	uint32_t slot_capacity;
	slot_t *slots;
	uint32_t snapshot_count;
	char **snapshots;
	mc_coverage_t coverage;
	mc_top_hits_t top_hits;
	mc_top_hits_t shard_top_hits;
	bool closed;
};

mc_answer_t *mc_answer_create(uint32_t limit)
{
	mc_answer_t *answer = calloc(1, sizeof(*answer));

	if (!answer)
		return NULL;
	answer->top_hits.limit = limit;
	answer->shard_top_hits.limit = limit;
	return answer;
}

void mc_answer_destroy(mc_answer_t *answer)
{
	uint32_t i;

	if (!answer)
		return;
	for (i = 0; i < answer->slot_count; i++)
		free(answer->slots[i].ids);
	for (i = 0; i < answer->snapshot_count; i++)
		free(answer->snapshots[i]);
	mc_top_hits_free(&answer->top_hits);
	mc_top_hits_free(&answer->shard_top_hits);
	free(answer->snapshots);
	free(answer->slots);
	free(answer);
}

/*
 * Finds the index of @id and adds it when it is new; there is one per service.
 */
static mc_err_t add_snapshot(mc_answer_t *answer, const char *id,
			     uint32_t *index)
{
	char **snapshots;
	char *copy;

	for (*index = answer->snapshot_count; (*index)-- > 0;)
		if (!strcmp(answer->snapshots[*index], id))
			return MC_OK;
	snapshots = realloc(answer->snapshots,
			    (answer->snapshot_count + 1) * sizeof(*snapshots));
	if (!snapshots)
		return mc_fail(MC_ERR_NO_MEMORY,
			       "out of memory for the list of snapshots");
	answer->snapshots = snapshots;
	copy = strdup(id);
	if (!copy)
		return mc_fail(MC_ERR_NO_MEMORY,
			       "out of memory for a snapshot id");
	*index = answer->snapshot_count++;
	snapshots[*index] = copy;
	return MC_OK;
}

static mc_err_t reserve_slot(mc_answer_t *answer)
{
	uint32_t capacity = answer->slot_capacity ? 2 * answer->slot_capacity
						  : INITIAL_SLOTS;
	slot_t *slots;

	if (answer->slot_count < answer->slot_capacity)
		return MC_OK;
	slots = realloc(answer->slots, capacity * sizeof(*slots));
	if (!slots)
		return mc_fail(MC_ERR_NO_MEMORY, "out of memory for %u slots",
			       capacity);
	answer->slots = slots;
	answer->slot_capacity = capacity;
	return MC_OK;
}

mc_err_t mc_answer_add_slot(mc_answer_t *answer, const char *snapshot,
			    uint64_t documents, uint32_t *slot)
{
	uint32_t index;
	mc_err_t err;

	if (answer->closed)
		return mc_fail(MC_ERR_INTERNAL,
			       "slot not added: answer is already closed");
	err = reserve_slot(answer);
	if (err)
		return err;
	err = add_snapshot(answer, snapshot, &index);
	if (err)
		return err;
	*slot = answer->slot_count++;
	answer->slots[*slot] = (slot_t){
		.snapshot = index,
		.documents = documents,
		.reason = MC_ERR_DEADLINE_EXCEEDED,
	};
	answer->coverage.shards_total++;
	answer->coverage.documents_total += documents;
	return MC_OK;
}

static mc_answer_merge_result_t check_result(const mc_answer_t *answer,
					     uint32_t slot,
					     const char *snapshot)
{
	if (answer->closed)
		return MC_MERGE_CLOSED;
	if (slot >= answer->slot_count)
		return MC_MERGE_BAD_SLOT;
	if (answer->slots[slot].has_result)
		return MC_MERGE_DUPLICATE;
	if (strcmp(answer->snapshots[answer->slots[slot].snapshot], snapshot))
		return MC_MERGE_WRONG_SNAPSHOT;
	return MC_MERGE_ACCEPTED;
}

/*
 * Selects the shard's hits that the answer will keep, into
 * answer->shard_top_hits.
 */
static mc_err_t select_hits(mc_answer_t *answer, uint32_t slot,
			    const mc_hit_t *hits, uint32_t count)
{
	mc_hit_t hit, dropped;
	mc_err_t err;
	uint32_t i;

	answer->shard_top_hits.count = 0;
	err = mc_top_hits_reserve(&answer->shard_top_hits, count);
	if (err)
		return err;
	for (i = 0; i < count; i++) {
		hit = hits[i];
		hit.slot = slot;
		if (mc_top_hits_accepts(&answer->top_hits, &hit))
			mc_top_hits_add(&answer->shard_top_hits, &hit,
					&dropped);
	}
	return mc_top_hits_reserve(&answer->top_hits,
				   answer->shard_top_hits.count);
}

/* Copies the ids of @hits into one block, which @slot owns. */
static mc_err_t copy_ids(slot_t *slot, mc_top_hits_t *hits)
{
	size_t size = 0;
	char *at;
	uint32_t i;

	if (!hits->count)
		return MC_OK;
	for (i = 0; i < hits->count; i++)
		size += strlen(hits->hits[i].id) + 1;
	at = malloc(size);
	if (!at)
		return mc_fail(MC_ERR_NO_MEMORY,
			       "out of memory for ids of hits");
	slot->ids = at;
	slot->kept_hits = hits->count;
	for (i = 0; i < hits->count; i++) {
		size = strlen(hits->hits[i].id) + 1;
		memcpy(at, hits->hits[i].id, size);
		hits->hits[i].id = at;
		at += size;
	}
	return MC_OK;
}

static void release_hit(mc_answer_t *answer, const mc_hit_t *hit)
{
	slot_t *slot = &answer->slots[hit->slot];

	if (--slot->kept_hits)
		return;
	free(slot->ids);
	slot->ids = NULL;
}

static void keep_hits(mc_answer_t *answer)
{
	mc_hit_t dropped;
	uint32_t i;

	for (i = 0; i < answer->shard_top_hits.count; i++)
		if (mc_top_hits_add(&answer->top_hits,
				    &answer->shard_top_hits.hits[i], &dropped))
			release_hit(answer, &dropped);
}

mc_answer_merge_result_t mc_answer_merge(mc_answer_t *answer, uint32_t slot,
					 const char *snapshot,
					 const mc_hit_t *hits, uint32_t count)
{
	mc_answer_merge_result_t result = check_result(answer, slot, snapshot);
	slot_t *record;

	if (result != MC_MERGE_ACCEPTED)
		return result;
	record = &answer->slots[slot];
	if (select_hits(answer, slot, hits, count) ||
	    copy_ids(record, &answer->shard_top_hits))
		return MC_MERGE_NO_MEMORY;
	keep_hits(answer);
	record->has_result = true;
	answer->coverage.shards_answered++;
	answer->coverage.documents_answered += record->documents;
	return MC_MERGE_ACCEPTED;
}

void mc_answer_set_missing_reason(mc_answer_t *answer, uint32_t slot,
				  mc_err_t reason)
{
	if (!answer->closed && slot < answer->slot_count && reason)
		answer->slots[slot].reason = reason;
}

bool mc_answer_has_result(const mc_answer_t *answer, uint32_t slot)
{
	return slot < answer->slot_count && answer->slots[slot].has_result;
}

mc_err_t mc_answer_missing_reason(const mc_answer_t *answer, uint32_t slot)
{
	if (slot >= answer->slot_count)
		return MC_ERR_INTERNAL;
	return answer->slots[slot].has_result ? MC_OK
					      : answer->slots[slot].reason;
}

bool mc_answer_is_complete(const mc_answer_t *answer)
{
	return answer->coverage.shards_answered ==
	       answer->coverage.shards_total;
}

mc_coverage_t mc_answer_coverage(const mc_answer_t *answer)
{
	return answer->coverage;
}

const mc_hit_t *mc_answer_close(mc_answer_t *answer, uint32_t *count)
{
	if (!answer->closed)
		mc_top_hits_sort(&answer->top_hits);
	answer->closed = true;
	*count = answer->top_hits.count;
	return answer->top_hits.hits;
}
