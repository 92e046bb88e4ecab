/*
 * Public header of the answer library: merges the shard results of a request
 * into one answer and computes its coverage. Performs no I/O. An answer belongs
 * to one request.
 */
#ifndef MC_ANSWER_H
#define MC_ANSWER_H

#include "mc/base.h"

/**
 * struct mc_hit_t - a search hit
 * @id: document id; mc_answer_merge() copies it, mc_answer_close() returns the
 *	copy
 * @score: larger is better; never NaN
 * @slot: slot of the answer that the hit came from
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

/** enum mc_answer_merge_result_t - outcome of merging a shard's result */
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
 * mc_answer_create() - Create an answer without slots
 * @limit: maximum number of hits to return
 *
 * Return: the answer, to be freed with mc_answer_destroy(); NULL if out of
 * memory.
 */
mc_answer_t *mc_answer_create(uint32_t limit);

/** mc_answer_destroy() - Free an answer; NULL is allowed */
void mc_answer_destroy(mc_answer_t *answer);

/**
 * mc_answer_add_slot() - Add a slot for the result of one shard of one service
 * @answer: the answer
 * @snapshot: snapshot id that the shard's result must have; copied
 * @documents: number of documents of the shard in that snapshot
 * @slot: receives the index of the slot, from 0
 *
 * Return: MC_OK, MC_ERR_NO_MEMORY, or MC_ERR_INTERNAL when the answer is
 * closed.
 */
mc_err_t mc_answer_add_slot(mc_answer_t *answer, const char *snapshot,
			    uint64_t documents, uint32_t *slot);

/**
 * mc_answer_merge() - Merge a shard's result
 * @answer: the answer
 * @slot: the shard's slot
 * @snapshot: snapshot id that the target returned
 * @hits: the result's hits; @slot of each is set by the answer
 * @count: number of hits
 *
 * Each slot accepts one result; a second one is MC_MERGE_DUPLICATE. A result
 * that could not be copied is MC_MERGE_NO_MEMORY and changes nothing.
 *
 * Return: the outcome.
 */
mc_answer_merge_result_t mc_answer_merge(mc_answer_t *answer, uint32_t slot,
					 const char *snapshot,
					 const mc_hit_t *hits, uint32_t count);

/**
 * mc_answer_set_missing_reason() - Set why a slot has no result so far
 *
 * The last reason wins, and a later result clears it. A closed answer ignores
 * the call.
 */
void mc_answer_set_missing_reason(mc_answer_t *answer, uint32_t slot,
				  mc_err_t reason);

/** mc_answer_has_result() - Return whether the slot has a result */
bool mc_answer_has_result(const mc_answer_t *answer, uint32_t slot);

/**
 * mc_answer_missing_reason() - Get the reason why a slot has no result
 *
 * Return: MC_OK when it has one; MC_ERR_DEADLINE_EXCEEDED when no reason was
 * set; MC_ERR_INTERNAL when there is no such slot.
 */
mc_err_t mc_answer_missing_reason(const mc_answer_t *answer, uint32_t slot);

/** mc_answer_is_complete() - Return whether every slot has a result */
bool mc_answer_is_complete(const mc_answer_t *answer);

/** mc_answer_coverage() - Coverage by the results so far */
mc_coverage_t mc_answer_coverage(const mc_answer_t *answer);

/**
 * mc_answer_close() - Sort the hits and close the answer to further results
 * @answer: the answer
 * @count: receives the number of hits
 *
 * Return: hits by descending score, then by id, then by slot; owned by @answer.
 * May be NULL when there are none.
 */
const mc_hit_t *mc_answer_close(mc_answer_t *answer, uint32_t *count);

#endif
