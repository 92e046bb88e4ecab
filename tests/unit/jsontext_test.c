/*
 * Unit tests of the jsontext library: the parts of a text are found whatever
 * they hold.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include "mc/base.h"
#include "mc/jsontext.h"

static mc_json_span_t span(const char *text)
{
	return (mc_json_span_t){ text, strlen(text) };
}

static void assert_span(mc_json_span_t actual, const char *expected)
{
	assert_int_equal(actual.size, strlen(expected));
	assert_memory_equal(actual.data, expected, actual.size);
}

/* Brackets, quotes and commas in strings separate nothing. */
static void test_members(void **state)
{
	const mc_json_span_t object =
		span("{\"a\": \"]}\\\"\", \"b\" : [1, {\"c\": 2}], \"c\":-1e9 ,"
		     "\"a\" : {\"b\": 3}}");

	(void)state;
	assert_span(mc_json_member(object, "b"), "[1, {\"c\": 2}]");
	assert_span(mc_json_member(object, "c"), "-1e9");
	/* Of several, the last one counts. */
	assert_span(mc_json_member(object, "a"), "{\"b\": 3}");
	assert_int_equal(mc_json_member(object, "d").size, 0);
	assert_int_equal(mc_json_member(span("[1]"), "1").size, 0);
	assert_int_equal(mc_json_member(span("{}"), "a").size, 0);
	assert_int_equal(mc_json_member((mc_json_span_t){ 0 }, "a").size, 0);
}

static void test_elements(void **state)
{
	const mc_json_span_t array =
		span("[ null , [], \"a,b\", {\"x\": [\"]\"]} ]");
	static const char *const expected[] = { "null", "[]", "\"a,b\"",
						"{\"x\": [\"]\"]}" };
	mc_json_span_t element;
	size_t cursor = 0, count, i;

	(void)state;
	assert_true(mc_json_count(array, &count));
	assert_int_equal(count, MC_ARRAY_LEN(expected));
	for (i = 0; i < count; i++) {
		assert_true(mc_json_next(array, &cursor, &element));
		assert_span(element, expected[i]);
	}
	assert_false(mc_json_next(array, &cursor, &element));
	assert_true(mc_json_count(span("[ ]"), &count));
	assert_int_equal(count, 0);
}

/* What is cut off or has no clear parts is refused. */
static void test_invalid(void **state)
{
	static const char *const values[] = { "",      " ",	  "[1",
					      "{\"a",  "\"a\\\"", "{} {}",
					      "[1] 2", "]",	  "\"\\" };
	static const char *const arrays[] = { "[1 2]", "[1,]", "[,1]", "[1,,2]",
					      "{}",    "1",    "" };
	mc_json_span_t value;
	size_t count, i;

	(void)state;
	for (i = 0; i < MC_ARRAY_LEN(values); i++)
		assert_false(mc_json_value(span(values[i]), &value));
	for (i = 0; i < MC_ARRAY_LEN(arrays); i++)
		assert_false(mc_json_count(span(arrays[i]), &count));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_members),
		cmocka_unit_test(test_elements),
		cmocka_unit_test(test_invalid),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
