/*
 * Stateful fuzzing of an answer. The oracle keeps every hit of the results that
 * are accepted: the first one of each slot that has the slot's snapshot and
 * arrives before the answer is closed. It sorts and truncates them at the end.
 */
#include <string.h>

#include "fuzz_input.h"
#include "mc/answer.h"

enum {
	MAX_SLOTS = 24,
	MAX_HITS = 15,
	SNAPSHOTS = 3,
	ID_SIZE = 8,
	/* Steps in a test case. */
	STEPS = 60,
};

typedef struct {
	char id[ID_SIZE];
	double score;
	uint32_t slot;
} kept_t;

typedef struct {
	mc_answer_t *answer;
	uint32_t limit;
	uint32_t slot_count;
	uint32_t snapshots[MAX_SLOTS + 1];
	uint64_t documents[MAX_SLOTS];
	bool has[MAX_SLOTS];
	mc_err_t reasons[MAX_SLOTS];
	kept_t kept[MAX_SLOTS * MAX_HITS];
	uint32_t kept_count;
	bool closed;
} model_t;

static const char *const snapshots[SNAPSHOTS] = { "s", "s1", "s10" };

static void add_slot(model_t *model, fuzz_input_t *input)
{
	uint32_t at = model->slot_count;
	uint32_t slot;
	mc_err_t err;

	if (at == MAX_SLOTS)
		return;
	model->snapshots[at] = fuzz_below(input, SNAPSHOTS);
	model->documents[at] = fuzz_below(input, 256);
	model->reasons[at] = MC_ERR_DEADLINE_EXCEEDED;
	err = mc_answer_add_slot(model->answer, snapshots[model->snapshots[at]],
				 model->documents[at], &slot);
	FUZZ_CHECK(!err == !model->closed,
		   "slots can be added until the answer is closed");
	if (err)
		return;
	FUZZ_CHECK(slot == at, "slots are counted from 0");
	model->slot_count++;
}

static mc_answer_merge_result_t expected_merge(const model_t *model,
					       uint32_t slot, uint32_t snapshot)
{
	if (model->closed)
		return MC_MERGE_CLOSED;
	if (slot >= model->slot_count)
		return MC_MERGE_BAD_SLOT;
	if (model->has[slot])
		return MC_MERGE_DUPLICATE;
	return model->snapshots[slot] == snapshot ? MC_MERGE_ACCEPTED
						  : MC_MERGE_WRONG_SNAPSHOT;
}

static void merge_result(model_t *model, fuzz_input_t *input)
{
	uint32_t slot = fuzz_below(input, model->slot_count + 1);
	uint32_t snapshot = fuzz_below(input, 2 * SNAPSHOTS);
	uint32_t count = fuzz_below(input, MAX_HITS + 1);
	mc_answer_merge_result_t expected;
	kept_t results[MAX_HITS];
	mc_hit_t hits[MAX_HITS];
	uint32_t i;

	/* At least half of the results have the right snapshot. */
	if (snapshot >= SNAPSHOTS)
		snapshot = model->snapshots[slot];
	expected = expected_merge(model, slot, snapshot);
	for (i = 0; i < count; i++) {
		kept_t *result = &results[i];

		snprintf(result->id, ID_SIZE, "d%u", fuzz_below(input, 12));
		result->score = fuzz_below(input, 16) / 4.0 - 1;
		result->slot = slot;
		hits[i] =
			(mc_hit_t){ .id = result->id, .score = result->score };
	}
	FUZZ_CHECK(mc_answer_merge(model->answer, slot, snapshots[snapshot],
				   hits, count) == expected,
		   "a slot accepts only its first valid result");
	if (expected != MC_MERGE_ACCEPTED)
		return;
	model->has[slot] = true;
	for (i = 0; i < count; i++)
		model->kept[model->kept_count++] = results[i];
}

static void set_missing_reason(model_t *model, fuzz_input_t *input)
{
	uint32_t slot = fuzz_below(input, MAX_SLOTS);
	mc_err_t reason = (mc_err_t)(1 + fuzz_below(input, MC_ERR_COUNT - 1));

	mc_answer_set_missing_reason(model->answer, slot, reason);
	if (!model->closed && slot < model->slot_count)
		model->reasons[slot] = reason;
}

static int compare_kept(const void *first, const void *second)
{
	const kept_t *a = first;
	const kept_t *b = second;
	int order = (a->score < b->score) - (a->score > b->score);

	if (!order)
		order = strcmp(a->id, b->id);
	return order ? order : (a->slot > b->slot) - (a->slot < b->slot);
}

static void close_answer(model_t *model)
{
	uint32_t i, count, expected = model->kept_count;
	const mc_hit_t *hits = mc_answer_close(model->answer, &count);

	model->closed = true;
	qsort(model->kept, model->kept_count, sizeof(*model->kept),
	      compare_kept);
	if (expected > model->limit)
		expected = model->limit;
	FUZZ_CHECK(count == expected,
		   "there are as many hits as the limit allows");
	for (i = 0; i < count; i++)
		FUZZ_CHECK(!strcmp(hits[i].id, model->kept[i].id) &&
				   hits[i].score == model->kept[i].score &&
				   hits[i].slot == model->kept[i].slot,
			   "the hits are the best of all results, in order");
}

static void check_answer(const model_t *model)
{
	mc_coverage_t coverage = mc_answer_coverage(model->answer);
	mc_coverage_t expected = { .shards_total = model->slot_count };
	uint32_t i;

	for (i = 0; i < model->slot_count; i++) {
		expected.documents_total += model->documents[i];
		expected.shards_answered += model->has[i];
		if (model->has[i])
			expected.documents_answered += model->documents[i];
		FUZZ_CHECK(mc_answer_has_result(model->answer, i) ==
				   model->has[i],
			   "a slot has a result once it was merged");
		FUZZ_CHECK(mc_answer_missing_reason(model->answer, i) ==
				   (model->has[i] ? MC_OK : model->reasons[i]),
			   "a missing slot has its last reason");
	}
	FUZZ_CHECK(coverage.shards_answered == expected.shards_answered &&
			   coverage.shards_total == expected.shards_total &&
			   coverage.documents_answered ==
				   expected.documents_answered &&
			   coverage.documents_total == expected.documents_total,
		   "coverage counts the slots whose result was merged");
	FUZZ_CHECK(mc_answer_is_complete(model->answer) ==
			   (expected.shards_answered == model->slot_count),
		   "an answer is complete with all its slots");
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	fuzz_input_t input = fuzz_input_init(data, size);
	model_t model = { .limit = fuzz_below(&input, 12) };
	int step;

	model.answer = mc_answer_create(model.limit);
	add_slot(&model, &input);
	add_slot(&model, &input);
	for (step = 0; step < STEPS; step++) {
		switch (fuzz_below(&input, 8)) {
		case 0:
		case 1:
			add_slot(&model, &input);
			break;
		case 2:
			set_missing_reason(&model, &input);
			break;
		case 3:
			/*
			 * Rare, so that most answers get many results before
			 * they are closed.
			 */
			if (fuzz_below(&input, 8) == 0)
				close_answer(&model);
			break;
		default:
			merge_result(&model, &input);
		}
		check_answer(&model);
	}
	close_answer(&model);
	check_answer(&model);
	mc_answer_destroy(model.answer);
	return 0;
}
