/*
 * One request's answer: a slot for each shard, coverage, and the best hits. A
 * slot's result is taken once, and only while the answer is open. Ids of a
 * result's kept hits are copied into one block, which belongs to its slot and
 * is freed with the last of these hits.
 */
#include "mc/answer.h"

#include <stdlib.h>
#include <string.h>

#include "top_hits.h"

enum {
	/* Slots that the first allocation holds. */
	FIRST_SLOTS = 16,
};

typedef struct {
	uint32_t snapshot;
	uint64_t documents;
	mc_err_t reason;
	bool has;
	char *ids;
	uint32_t ids_used;
} slot_t;

struct mc_answer_t {
	uint32_t slot_count;
	uint32_t slot_room;
	slot_t *slots;
	uint32_t snapshot_count;
	char **snapshots;
	mc_coverage_t coverage;
	mc_best_t best;
	mc_best_t shard_best;
	bool closed;
};

mc_answer_t *mc_answer_create(uint32_t limit)
{
	mc_answer_t *answer = calloc(1, sizeof(*answer));

	if (!answer)
		return NULL;
	answer->best.limit = limit;
	answer->shard_best.limit = limit;
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
	mc_best_free(&answer->best);
	mc_best_free(&answer->shard_best);
	free(answer->snapshots);
	free(answer->slots);
	free(answer);
}

/* Index of @id, which is added when it is new; one for each service. */
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
		return mc_fail(MC_ERR_NO_MEMORY, "no memory for snapshots");
	answer->snapshots = snapshots;
	copy = strdup(id);
	if (!copy)
		return mc_fail(MC_ERR_NO_MEMORY, "no memory for a snapshot");
	*index = answer->snapshot_count++;
	snapshots[*index] = copy;
	return MC_OK;
}

static mc_err_t reserve_slot(mc_answer_t *answer)
{
	uint32_t room = answer->slot_room ? 2 * answer->slot_room : FIRST_SLOTS;
	slot_t *slots;

	if (answer->slot_count < answer->slot_room)
		return MC_OK;
	slots = realloc(answer->slots, room * sizeof(*slots));
	if (!slots)
		return mc_fail(MC_ERR_NO_MEMORY, "no memory for %u slots",
			       room);
	answer->slots = slots;
	answer->slot_room = room;
	return MC_OK;
}

mc_err_t mc_answer_add_slot(mc_answer_t *answer, const char *snapshot,
			    uint64_t documents, uint32_t *slot)
{
	uint32_t index;
	mc_err_t err;

	if (answer->closed)
		return mc_fail(MC_ERR_INTERNAL, "the answer is closed");
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
	if (answer->slots[slot].has)
		return MC_MERGE_DUPLICATE;
	if (strcmp(answer->snapshots[answer->slots[slot].snapshot], snapshot))
		return MC_MERGE_WRONG_SNAPSHOT;
	return MC_MERGE_ACCEPTED;
}

/* Leaves the shard's hits that the answer will keep in answer->shard_best. */
static mc_err_t select_hits(mc_answer_t *answer, uint32_t slot,
			    const mc_hit_t *hits, uint32_t count)
{
	mc_hit_t hit, dropped;
	mc_err_t err;
	uint32_t i;

	answer->shard_best.count = 0;
	err = mc_best_reserve(&answer->shard_best, count);
	if (err)
		return err;
	for (i = 0; i < count; i++) {
		hit = hits[i];
		hit.slot = slot;
		if (mc_best_accepts(&answer->best, &hit))
			mc_best_offer(&answer->shard_best, &hit, &dropped);
	}
	return mc_best_reserve(&answer->best, answer->shard_best.count);
}

/* Copies the ids of @best into one block, owned by @slot. */
static mc_err_t copy_ids(slot_t *slot, mc_best_t *best)
{
	size_t size = 0;
	char *at;
	uint32_t i;

	if (!best->count)
		return MC_OK;
	for (i = 0; i < best->count; i++)
		size += strlen(best->hits[i].id) + 1;
	at = malloc(size);
	if (!at)
		return mc_fail(MC_ERR_NO_MEMORY, "no memory for ids of hits");
	slot->ids = at;
	slot->ids_used = best->count;
	for (i = 0; i < best->count; i++) {
		size = strlen(best->hits[i].id) + 1;
		memcpy(at, best->hits[i].id, size);
		best->hits[i].id = at;
		at += size;
	}
	return MC_OK;
}

static void drop_hit(mc_answer_t *answer, const mc_hit_t *hit)
{
	slot_t *slot = &answer->slots[hit->slot];

	if (--slot->ids_used)
		return;
	free(slot->ids);
	slot->ids = NULL;
}

static void keep_hits(mc_answer_t *answer)
{
	mc_hit_t dropped;
	uint32_t i;

	for (i = 0; i < answer->shard_best.count; i++)
		if (mc_best_offer(&answer->best, &answer->shard_best.hits[i],
				  &dropped))
			drop_hit(answer, &dropped);
}

mc_answer_merge_result_t mc_answer_merge(mc_answer_t *answer, uint32_t slot,
					 const char *snapshot,
					 const mc_hit_t *hits, uint32_t count)
{
	mc_answer_merge_result_t verdict = check_result(answer, slot, snapshot);
	slot_t *record;

	if (verdict != MC_MERGE_ACCEPTED)
		return verdict;
	record = &answer->slots[slot];
	if (select_hits(answer, slot, hits, count) ||
	    copy_ids(record, &answer->shard_best))
		return MC_MERGE_NO_MEMORY;
	keep_hits(answer);
	record->has = true;
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
	return slot < answer->slot_count && answer->slots[slot].has;
}

mc_err_t mc_answer_missing_reason(const mc_answer_t *answer, uint32_t slot)
{
	if (slot >= answer->slot_count)
		return MC_ERR_INTERNAL;
	return answer->slots[slot].has ? MC_OK : answer->slots[slot].reason;
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
		mc_best_sort(&answer->best);
	answer->closed = true;
	*count = answer->best.count;
	return answer->best.hits;
}
