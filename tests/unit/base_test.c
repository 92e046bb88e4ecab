/*
 * Unit tests of the base library.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <cmocka.h>

#include "mc/base.h"

static void test_table_stale_handle(void **state)
{
	mc_table_t *table = mc_table_create(sizeof(int), 2);
	mc_handle_t first, second;
	void *record;

	(void)state;
	assert_int_equal(mc_table_add(table, &first, &record), MC_OK);
	assert_int_equal(mc_table_remove(table, first), MC_OK);
	assert_int_equal(mc_table_add(table, &second, &record), MC_OK);
	assert_int_equal(first.index, second.index);
	assert_null(mc_table_get(table, first));
	assert_ptr_equal(mc_table_get(table, second), record);
	assert_int_equal(mc_table_remove(table, first), MC_ERR_STALE_HANDLE);
	assert_null(mc_table_get(table, MC_HANDLE_NONE));
	mc_table_destroy(table);
}

static void test_table_full_and_walk(void **state)
{
	mc_table_t *table = mc_table_create(sizeof(uint32_t), 100);
	mc_handle_t handle;
	uint32_t cursor = 0, seen = 0;
	void *record;
	uint32_t i;

	(void)state;
	for (i = 0; i < 100; i++) {
		assert_int_equal(mc_table_add(table, &handle, &record), MC_OK);
		*(uint32_t *)record = i;
	}
	assert_int_equal(mc_table_add(table, &handle, &record), MC_ERR_FULL);
	while ((record = mc_table_next(table, &cursor, &handle))) {
		assert_ptr_equal(mc_table_get(table, handle), record);
		seen += *(uint32_t *)record;
		mc_table_remove(table, handle);
	}
	assert_int_equal(seen, 99 * 100 / 2);
	assert_int_equal(mc_table_count(table), 0);
	mc_table_destroy(table);
}

static void test_error_table(void **state)
{
	int i;

	(void)state;
	for (i = 0; i < MC_ERR_COUNT; i++) {
		const mc_error_answer_t *answer = mc_error_answer((mc_err_t)i);

		assert_non_null(answer->name);
		assert_int_equal(mc_error_from_name(answer->name), i);
	}
	assert_false(mc_error_answer(MC_ERR_OUTCOME_UNKNOWN)->not_run);
	assert_false(mc_error_answer(MC_ERR_TARGET_FAILED)->not_run);
	assert_int_equal(mc_error_from_name("nonsense"), MC_ERR_INTERNAL);
	assert_int_equal(mc_fail(MC_ERR_IO, "link %d", 7), MC_ERR_IO);
	assert_string_equal(mc_last_message(), "link 7");
}

static void test_counter_quantile(void **state)
{
	mc_counters_t counters = { 0 }, sum = { 0 };
	int i;

	(void)state;
	assert_int_equal(mc_counters_quantile(&counters, 0.5), 0);
	for (i = 0; i < 99; i++)
		mc_count_latency(&counters, 10);
	mc_count_latency(&counters, 1000);
	mc_counters_add(&sum, &counters);
	assert_in_range(mc_counters_quantile(&sum, 0.5), 10, 12);
	assert_in_range(mc_counters_quantile(&sum, 0.999), 1000, 1150);
}

static void collect_line(void *ctx, const char *line, size_t size)
{
	strncat(ctx, line, size);
}

static void test_log_lines(void **state)
{
	char text[256] = "";
	mc_log_sink_t sink = { .write = collect_line, .ctx = text };
	mc_log_t *log = mc_log_create(&sink, MC_LOG_INFO);
	mc_log_level_t level;

	(void)state;
	mc_log(log, MC_LOG_INFO, "route", "target chosen shard=%d", 3);
	mc_log(log, MC_LOG_DEBUG, "route", "not written");
	mc_log_destroy(log);
	assert_string_equal(text, "<6>route: target chosen shard=3\n");
	assert_int_equal(mc_log_level_parse("debug", &level), MC_OK);
	assert_int_equal(level, MC_LOG_DEBUG);
	assert_int_equal(mc_log_level_parse("loud", &level),
			 MC_ERR_BAD_SETTINGS);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_table_stale_handle),
		cmocka_unit_test(test_table_full_and_walk),
		cmocka_unit_test(test_error_table),
		cmocka_unit_test(test_counter_quantile),
		cmocka_unit_test(test_log_lines),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
