/*
 * Unit tests of the answer library.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>
#include <cmocka.h>

#include "mc/records.h"
#include "mc/answer.h"

static mc_answer_t *create_two_slots(uint32_t limit)
{
	mc_answer_t *answer = mc_answer_create(limit);
	uint32_t slot;

	assert_int_equal(mc_answer_add_slot(answer, "s1", 10, &slot), MC_OK);
	assert_int_equal(slot, 0);
	assert_int_equal(mc_answer_add_slot(answer, "s1", 30, &slot), MC_OK);
	assert_int_equal(slot, 1);
	return answer;
}

static void test_merge_and_order(void **state)
{
	const mc_hit_t first[] = { { "b", 2 }, { "a", 1 }, { "c", 9 } };
	const mc_hit_t second[] = { { "a", 2 }, { "d", 0 }, { "c", 9 } };
	mc_answer_t *answer = create_two_slots(4);
	const mc_hit_t *hits;
	uint32_t count;

	(void)state;
	assert_int_equal(mc_answer_merge(answer, 1, "s1", second, 3),
			 MC_MERGE_ACCEPTED);
	assert_false(mc_answer_is_complete(answer));
	assert_int_equal(mc_answer_merge(answer, 0, "s1", first, 3),
			 MC_MERGE_ACCEPTED);
	assert_true(mc_answer_is_complete(answer));
	hits = mc_answer_close(answer, &count);
	assert_int_equal(count, 4);
	assert_string_equal(hits[0].id, "c");
	assert_int_equal(hits[0].slot, 0);
	assert_string_equal(hits[1].id, "c");
	assert_int_equal(hits[1].slot, 1);
	assert_string_equal(hits[2].id, "a");
	assert_string_equal(hits[3].id, "b");
	mc_answer_destroy(answer);
}

static void test_rejects_invalid_results(void **state)
{
	const mc_hit_t hit = { "a", 1 };
	mc_answer_t *answer = create_two_slots(4);
	mc_coverage_t coverage;
	uint32_t count, slot;

	(void)state;
	assert_int_equal(mc_answer_merge(answer, 2, "s1", &hit, 1),
			 MC_MERGE_BAD_SLOT);
	assert_int_equal(mc_answer_merge(answer, 1, "s2", &hit, 1),
			 MC_MERGE_WRONG_SNAPSHOT);
	assert_int_equal(mc_answer_merge(answer, 1, "s1", &hit, 1),
			 MC_MERGE_ACCEPTED);
	assert_int_equal(mc_answer_merge(answer, 1, "s1", &hit, 1),
			 MC_MERGE_DUPLICATE);
	mc_answer_close(answer, &count);
	assert_int_equal(count, 1);
	assert_int_equal(mc_answer_merge(answer, 0, "s1", &hit, 1),
			 MC_MERGE_CLOSED);
	assert_int_equal(mc_answer_add_slot(answer, "s1", 1, &slot),
			 MC_ERR_INTERNAL);
	coverage = mc_answer_coverage(answer);
	assert_int_equal(coverage.shards_answered, 1);
	assert_int_equal(coverage.shards_total, 2);
	assert_int_equal(coverage.documents_answered, 30);
	assert_int_equal(coverage.documents_total, 40);
	mc_answer_destroy(answer);
}

static void test_reasons(void **state)
{
	mc_answer_t *answer = create_two_slots(0);
	uint32_t count;

	(void)state;
	assert_int_equal(mc_answer_missing_reason(answer, 0),
			 MC_ERR_DEADLINE_EXCEEDED);
	mc_answer_set_missing_reason(answer, 0, MC_ERR_TARGET_FAILED);
	mc_answer_set_missing_reason(answer, 0, MC_ERR_NO_TARGET);
	mc_answer_set_missing_reason(answer, 7, MC_ERR_NO_TARGET);
	assert_int_equal(mc_answer_missing_reason(answer, 0), MC_ERR_NO_TARGET);
	assert_int_equal(mc_answer_merge(answer, 0, "s1", NULL, 0),
			 MC_MERGE_ACCEPTED);
	assert_int_equal(mc_answer_missing_reason(answer, 0), MC_OK);
	assert_true(mc_answer_has_result(answer, 0));
	assert_false(mc_answer_has_result(answer, 1));
	mc_answer_close(answer, &count);
	assert_int_equal(count, 0);
	mc_answer_destroy(answer);
}

static void fill_record(char *record, unsigned char first, unsigned char last)
{
	memset(record, 0, MC_RECORD_SIZE);
	record[0] = (char)first;
	record[MC_RECORD_SIZE - 1] = (char)last;
}

/*
 * The greatest records of all parts are kept in descending order; an incomplete
 * record at the end of a part is ignored.
 */
static void test_records(void **state)
{
	mc_records_t records = { .max = 3 };
	char part[3 * MC_RECORD_SIZE + 5];

	(void)state;
	fill_record(part, 1, 0);
	fill_record(part + MC_RECORD_SIZE, 200, 1);
	fill_record(part + 2 * MC_RECORD_SIZE, 200, 0);
	memset(part + 3 * MC_RECORD_SIZE, 255, 5);
	assert_int_equal(mc_records_add(&records, part, sizeof(part)), MC_OK);
	fill_record(part, 200, 1);
	assert_int_equal(mc_records_add(&records, part, MC_RECORD_SIZE), MC_OK);
	mc_records_sort(&records);
	assert_int_equal(records.count, 3);
	assert_int_equal(records.rows[0][0], 200);
	assert_int_equal(records.rows[0][MC_RECORD_SIZE - 1], 1);
	assert_int_equal(records.rows[1][MC_RECORD_SIZE - 1], 1);
	assert_int_equal(records.rows[2][MC_RECORD_SIZE - 1], 0);
	mc_records_free(&records);
}

static void test_decide(void **state)
{
	mc_records_progress_t progress = { .total = 20,
					   .received = 18,
					   .coverage_min = 0.89 };

	(void)state;
	assert_int_equal(mc_records_decide(&progress, false, false),
			 MC_RECORDS_WAIT);
	assert_int_equal(mc_records_decide(&progress, true, false),
			 MC_RECORDS_ANSWER);
	progress.failed = 2;
	assert_int_equal(mc_records_decide(&progress, false, false),
			 MC_RECORDS_ANSWER);
	progress.received = 17;
	progress.failed = 3;
	assert_int_equal(mc_records_decide(&progress, false, false),
			 MC_RECORDS_FAIL);
	progress.failed = 2;
	assert_int_equal(mc_records_decide(&progress, true, false),
			 MC_RECORDS_WAIT);
	assert_int_equal(mc_records_decide(&progress, true, true),
			 MC_RECORDS_FAIL);
	progress = (mc_records_progress_t){ .total = 1, .failed = 1 };
	assert_int_equal(mc_records_decide(&progress, true, true),
			 MC_RECORDS_FAIL);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_merge_and_order),
		cmocka_unit_test(test_rejects_invalid_results),
		cmocka_unit_test(test_reasons),
		cmocka_unit_test(test_records),
		cmocka_unit_test(test_decide),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
