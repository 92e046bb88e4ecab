/*
 * Public header of the answer library: merges partial results of one request
 * and states their coverage. Pure. An answer belongs to one request.
 */
#ifndef MC_ANSWER_H
#define MC_ANSWER_H

#include "mc/base.h"

/**
 * struct mc_hit_t - one result
 * @id: document id; owned by whoever passes it, copied by the answer
 * @score: larger is better; never NaN
 * @slot: the answer's slot that it came from
 */
typedef struct mc_hit_t {
	const char *id;
	double score;
	uint32_t slot;
} mc_hit_t;

/** struct mc_coverage_t - shards and documents that an answer covers */
typedef struct mc_coverage_t {
	uint32_t shards_answered;
	uint32_t shards_total;
	uint64_t documents_answered;
	uint64_t documents_total;
} mc_coverage_t;

/** enum mc_merge_t - what became of a partial result */
typedef enum mc_answer_merge_result_t {
	MC_MERGE_ACCEPTED,
	MC_MERGE_DUPLICATE,
	MC_MERGE_WRONG_SNAPSHOT,
	MC_MERGE_BAD_SLOT,
	MC_MERGE_CLOSED,
	MC_MERGE_NO_MEMORY,
} mc_answer_merge_result_t;

typedef struct mc_answer_t mc_answer_t;

/**
 * mc_answer_create() - an answer with no slots
 * @limit: most hits to return
 *
 * Return: the answer, owned by the caller; NULL without memory.
 */
mc_answer_t *mc_answer_create(uint32_t limit);

/** mc_answer_destroy() - free; NULL is allowed */
void mc_answer_destroy(mc_answer_t *answer);

/**
 * mc_answer_expect() - add a slot for one shard of one service
 * @answer: the answer
 * @snapshot: snapshot id that the shard's result must have; copied
 * @documents: documents of the shard in that snapshot
 * @slot: receives the slot, counted from 0
 *
 * Return: MC_OK, MC_ERR_NO_MEMORY, or MC_ERR_INTERNAL after the answer closed.
 */
mc_err_t mc_answer_add_slot(mc_answer_t *answer, const char *snapshot,
			    uint64_t documents, uint32_t *slot);

/**
 * mc_answer_merge() - take a shard's result
 * @answer: the answer
 * @slot: the shard's slot
 * @snapshot: snapshot id that the target echoed
 * @hits: results; @slot of each is set by the answer
 * @count: number of hits
 *
 * A slot counts once: a second result of it is MC_MERGE_DUPLICATE. A result
 * that could not be copied is MC_MERGE_NO_MEMORY and changes nothing.
 *
 * Return: what became of the result.
 */
mc_answer_merge_result_t mc_answer_merge(mc_answer_t *answer, uint32_t slot,
					 const char *snapshot,
					 const mc_hit_t *hits, uint32_t count);

/**
 * mc_answer_miss() - note why a slot has no result so far
 *
 * The last reason counts; a result that comes later clears it. Nothing is noted
 * once the answer is closed.
 */
void mc_answer_set_missing_reason(mc_answer_t *answer, uint32_t slot,
				  mc_err_t reason);

/** mc_answer_has() - whether the slot's result was taken */
bool mc_answer_has_result(const mc_answer_t *answer, uint32_t slot);

/**
 * mc_answer_reason() - why a slot is missing
 *
 * Return: MC_OK when it is not; MC_ERR_DEADLINE_EXCEEDED when no reason was
 * noted; MC_ERR_INTERNAL when there is no such slot.
 */
mc_err_t mc_answer_missing_reason(const mc_answer_t *answer, uint32_t slot);

/** mc_answer_complete() - whether every slot's result was taken */
bool mc_answer_is_complete(const mc_answer_t *answer);

/** mc_answer_coverage() - coverage so far */
mc_coverage_t mc_answer_coverage(const mc_answer_t *answer);

/**
 * mc_answer_close() - sort and cut the hits; nothing is merged from then on
 * @answer: the answer
 * @count: receives the number of hits
 *
 * Return: hits by falling score, then by id, then by slot; owned by @answer.
 * NULL is possible when there are none.
 */
const mc_hit_t *mc_answer_close(mc_answer_t *answer, uint32_t *count);

#endif
