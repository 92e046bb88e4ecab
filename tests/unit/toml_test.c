/*
 * Unit tests of the toml library.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include "mc/toml.h"

static mc_toml_node_t *parse(const char *text)
{
	mc_toml_node_t *root;
	uint32_t line;

	if (mc_toml_parse(text, strlen(text), &root, &line))
		fail_msg("line %u: %s", line, mc_last_error_message());
	return root;
}

static uint32_t parse_error_line(const char *text, size_t size)
{
	mc_toml_node_t *root;
	uint32_t line;

	assert_int_equal(mc_toml_parse(text, size, &root, &line),
			 MC_ERR_BAD_CONFIG);
	assert_null(root);
	assert_true(strlen(mc_last_error_message()) > 0);
	return line;
}

static void test_kinds_and_lines(void **state)
{
	mc_toml_node_t *root = parse("z = \"text\"\na = -3\nf = 1.5\n"
				     "b = true\n[[t]]\nx = 1\n[[t]]\n");
	mc_toml_node_t *node = root->first;

	(void)state;
	assert_string_equal(node->key, "z");
	assert_string_equal(node->string, "text");
	node = node->next;
	assert_int_equal(node->integer, -3);
	assert_int_equal(node->line, 2);
	node = node->next;
	assert_true(node->kind == MC_TOML_FLOAT && node->real == 1.5);
	node = node->next;
	assert_true(node->kind == MC_TOML_BOOLEAN && node->integer == 1);
	node = node->next;
	assert_int_equal(node->kind, MC_TOML_ARRAY);
	assert_int_equal(node->first->line, 5);
	assert_null(node->first->key);
	assert_int_equal(node->first->first->line, 6);
	assert_int_equal(node->first->next->line, 7);
	assert_null(node->first->next->next);
	mc_toml_free(root);
	mc_toml_free(NULL);
}

static void test_times(void **state)
{
	static const struct {
		const char *text;
		int64_t ms;
	} times[] = {
		{ "t = 1970-01-01T00:00:00Z", 0 },
		{ "t = 1969-12-31T23:59:59.999Z", -1 },
		{ "t = 2000-03-01T00:00:00Z", INT64_C(951868800000) },
		{ "t = 2024-02-29T12:30:00+02:00", INT64_C(1709202600000) },
		{ "t = 2024-02-29T12:30:00", MC_TOML_TIME_LOCAL },
		{ "t = 2024-02-29", MC_TOML_TIME_LOCAL },
	};
	size_t i;

	(void)state;
	for (i = 0; i < MC_ARRAY_LEN(times); i++) {
		mc_toml_node_t *root = parse(times[i].text);

		assert_int_equal(root->first->kind, MC_TOML_TIME);
		assert_true(root->first->integer == times[i].ms);
		mc_toml_free(root);
	}
}

static void test_syntax_errors_have_lines(void **state)
{
	static const char nul[] = "a = 1\nb = \"x\\u0000y\"\n";

	(void)state;
	assert_int_equal(parse_error_line("a = 1\nb = = 2\n", 14), 2);
	assert_int_equal(parse_error_line("a = 1\na = 2\n", 12), 2);
	assert_int_equal(parse_error_line(nul, strlen(nul)), 2);
	assert_int_equal(parse_error_line("a = \"\xff\"\n", 8), 1);
	assert_int_equal(parse_error_line("#\xc3\xa9\n\xc3\xa9=1\n", 9), 2);
	mc_toml_free(parse("a = 1 # \xc3\xa9\n"));
	parse_error_line("a = 1\0b = 2", 11);
}

static void test_deep_nesting(void **state)
{
	enum {
		SIZE = 1 << 20,
	};
	char *text = malloc(SIZE);
	int i;

	(void)state;
	memset(text, '[', SIZE);
	text[0] = 'a';
	text[1] = '=';
	parse_error_line(text, SIZE);
	for (i = 0; i < SIZE; i++)
		text[i] = i % 2 ? '.' : 'a';
	text[SIZE - 3] = '=';
	text[SIZE - 2] = '1';
	text[SIZE - 1] = '\n';
	assert_int_equal(parse_error_line(text, SIZE), 1);
	for (i = 0; i < SIZE; i++)
		text[i] = "{a.b="[i % 5];
	parse_error_line(text, SIZE);
	free(text);
}

static void test_dots_in_strings_and_comments(void **state)
{
	mc_toml_node_t *root =
		parse("# ............................\n"
		      "a = \"\\\"..............................\"\n"
		      "b = '''\n'..............................'''\n"
		      "c = \"\"\"\n\"................................\"\"\"\n");

	(void)state;
	assert_string_equal(root->first->next->next->key, "c");
	mc_toml_free(root);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_kinds_and_lines),
		cmocka_unit_test(test_times),
		cmocka_unit_test(test_syntax_errors_have_lines),
		cmocka_unit_test(test_deep_nesting),
		cmocka_unit_test(test_dots_in_strings_and_comments),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
