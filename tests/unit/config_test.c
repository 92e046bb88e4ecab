/*
 * Unit tests of the config library.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include "mc/config.h"

static const char valid_text[] =
	"submission = \"s-1\"\n"
	"[[data_center]]\nname = \"south\"\n"
	"[[data_center]]\nname = \"north\"\nstate = \"in\"\n"
	"[[service]]\nname = \"pots\"\ndeadline_ms = 200\n"
	"[[layout]]\nservice = \"pots\"\nname = \"l1\"\n"
	"documents = [100, 50]\n"
	"[[snapshot]]\nservice = \"pots\"\nid = \"a\"\nlayout = \"l1\"\n"
	"order = 1\n"
	"[[snapshot]]\nservice = \"pots\"\nid = \"b\"\nlayout = \"l1\"\n"
	"order = 2\n";

#define TARGET_OF(service, shard, data_center, version, address)              \
	"[[target]]\nservice = '" service "'\nlayout = 'l1'\nshard = " #shard \
	"\ndata_center = '" data_center "'\nversion = '" version              \
	"'\naddress = '" address "'\n"
#define TARGET(shard, data_center, version, address) \
	TARGET_OF("pots", shard, data_center, version, address)

#define TARGETS                                \
	TARGET(1, "south", "v2", "10.0.0.4:1") \
	TARGET(0, "north", "v1", "10.0.0.1:1") \
	TARGET(1, "north", "v1", "10.0.0.2:1") \
	TARGET(0, "south", "v2", "10.0.0.3:1")

#define MOVE                                                         \
	"[[move]]\nservice = \"pots\"\nfrom = \"v1\"\nto = \"v2\"\n" \
	"start = 2026-05-01T08:00:00+02:00\n"                        \
	"done_by = 2026-05-01T07:00:00.250Z\n"

/* 2026-05-01T06:00:00Z in ms since the Unix epoch. */
#define MOVE_START INT64_C(1777615200000)

static mc_config_errors_t errors;

static mc_err_t parse_at(const char *text, mc_ms_t now,
			 const mc_config_t **config)
{
	return mc_config_parse(text, strlen(text), 7, now, config, &errors);
}

static const mc_config_t *parse_valid(const char *tail)
{
	const mc_config_t *config;
	char text[4096];

	snprintf(text, sizeof(text), "%s%s", valid_text, tail);
	if (parse_at(text, 0, &config))
		fail_msg("%s", mc_last_error_message());
	return config;
}

static void test_rows_and_lookups(void **state)
{
	const mc_config_t *config = parse_valid(TARGETS MOVE);
	const mc_row_t *rows;
	mc_row_t row;
	uint32_t count;

	(void)state;
	assert_int_equal(config->version, 7);
	assert_string_equal(config->submission, "s-1");
	assert_int_equal(config->target_count, 4);
	assert_int_equal(mc_config_find_data_center(config, "north"), 0);
	assert_int_equal(mc_config_find_data_center(config, "west"),
			 MC_ROW_NONE);
	assert_int_equal(mc_config_find_service(config, "pots"), 0);
	row = mc_config_find_target(config, mc_hash_string("10.0.0.3:1"));
	assert_string_equal(config->targets[row].version, "v2");
	assert_int_equal(mc_config_find_target(config, 1), MC_ROW_NONE);
	rows = mc_config_shard_targets(config, 0, 1, &count);
	assert_int_equal(count, 2);
	assert_string_equal(config->targets[rows[0]].address, "10.0.0.2:1");
	rows = mc_config_service_snapshots(config, 0, &count);
	assert_int_equal(count, 2);
	assert_string_equal(config->snapshots[rows[0]].id, "b");
	row = mc_config_service_move(config, 0);
	assert_int_equal(config->moves[row].start, MOVE_START);
	assert_int_equal(config->moves[row].done_by, MOVE_START + 3600250);
	mc_config_unref(config);
}

static void test_print_round_trip(void **state)
{
	const mc_config_t *config = parse_valid(TARGETS MOVE), *again;
	char *text, *second;

	(void)state;
	assert_int_equal(mc_config_print(config, &text), MC_OK);
	assert_int_equal(parse_at(text, 0, &again), MC_OK);
	assert_int_equal(mc_config_print(again, &second), MC_OK);
	assert_string_equal(text, second);
	assert_non_null(strstr(text, "done_by = 2026-05-01T07:00:00.250Z\n"));
	free(text);
	assert_int_equal(mc_config_diff(config, again, &text), MC_OK);
	assert_string_equal(text, "");
	free(text);
	free(second);
	mc_config_unref(config);
	mc_config_unref(again);
}

static void test_diff(void **state)
{
	const mc_config_t *before = parse_valid(TARGETS MOVE);
	const mc_config_t *after =
		parse_valid(TARGETS TARGET(0, "north", "v2", "10.0.0.9:1"));
	char *text;

	(void)state;
	assert_int_equal(mc_config_diff(before, after, &text), MC_OK);
	assert_string_equal(text,
			    "+ target 10.0.0.9:1 (pots/l1/0 north v2)\n"
			    "- move pots (v1 to v2 start 1777615200000 done_by "
			    "1777618800250 take_back)\n");
	free(text);
	mc_config_unref(before);
	mc_config_unref(after);
}

static void test_copies_outlive_the_original(void **state)
{
	const mc_config_t *config = parse_valid(TARGETS MOVE);
	const mc_config_t *first, *second;
	char *text;

	(void)state;
	assert_int_equal(mc_config_with_submission(config, "bad id", &first),
			 MC_ERR_BAD_CONFIG);
	assert_int_equal(mc_config_with_submission(config, "s-2", &first),
			 MC_OK);
	assert_int_equal(mc_config_with_move_taken_back(first, 1, &second),
			 MC_ERR_NOT_FOUND);
	assert_int_equal(mc_config_with_move_taken_back(first, 0, &second),
			 MC_OK);
	assert_false(config->moves[0].taken_back);
	mc_config_unref(config);
	mc_config_unref(first);
	assert_string_equal(second->submission, "s-2");
	assert_int_equal(mc_config_print(second, &text), MC_OK);
	assert_non_null(strstr(text, "taken_back = true"));
	free(text);
	mc_config_unref(second);
}

static void test_empty_config(void **state)
{
	const mc_config_t *config = mc_config_create_empty();
	char *text;

	(void)state;
	assert_int_equal(mc_config_find_service(config, "pots"), MC_ROW_NONE);
	assert_int_equal(mc_config_print(config, &text), MC_OK);
	assert_string_equal(text, "");
	free(text);
	mc_config_unref(mc_config_ref(config));
	mc_config_unref(config);
}

#define SERVICE(name, rest) "[[service]]\nname = '" name "'\n" rest "\n"
#define LAYOUT(service, name, documents)                     \
	"[[layout]]\nservice = '" service "'\nname = '" name \
	"'\ndocuments = " documents "\n"
#define SNAPSHOT(id, layout, order)                                        \
	"[[snapshot]]\nservice = 'pots'\nid = '" id "'\nlayout = '" layout \
	"'\norder = " order "\n"
#define MOVE_OF(to, start, done_by)                          \
	"[[move]]\nservice = 'pots'\nfrom = 'v1'\nto = '" to \
	"'\nstart = 2026-05-01T" start "\ndone_by = 2026-05-01T" done_by "\n"

#define SERVICE_ONLY_IN_WEST                                           \
	"[[data_center]]\nname = 'west'\nstate = 'out'\n" SERVICE(     \
		"pans", "deadline_ms = 1") LAYOUT("pans", "l1", "[1]") \
		TARGET_OF("pans", 0, "west", "v1", "10.0.0.9:1")

/* A text to append to the valid one, and the error that it must cause. */
static const struct {
	const char *tail;
	const char *key;
	const char *message;
} invalid_texts[] = {
	{ "[[move]\n", "file", "expected TOML" },
	{ "[[pod]]\n", "pod", "expected a known key" },
	{ SERVICE("x", "deadline_ms = 1\nowner = 1"), "service.owner",
	  "expected a known key" },
	{ SERVICE("x", ""), "service.deadline_ms", "but the key is missing" },
	{ SERVICE("x y", "deadline_ms = 1"), "service.name",
	  "expected a name" },
	{ SERVICE("x", "deadline_ms = 0"), "service.deadline_ms",
	  "expected an integer from 1 to 600000" },
	{ SERVICE("pots", "deadline_ms = 1"), "service.name",
	  "has the same value" },
	{ "[[data_center]]\nname = 'w'\nstate = 'off'\n", "data_center.state",
	  "expected \"in\" or \"out\"" },
	{ SNAPSHOT("a", "l1", "3"), "snapshot.id", "is used twice" },
	{ SNAPSHOT("c", "l1", "2"), "snapshot.order", "has the same value" },
	{ SNAPSHOT("c", "l2", "3"), "snapshot.layout", "expected a layout of" },
	{ LAYOUT("pans", "l1", "[1]"), "layout.service",
	  "expected the name of a service" },
	{ LAYOUT("pots", "l2", "[]"), "layout.documents",
	  "expected 1 to 4096 integers" },
	{ LAYOUT("pots", "l2", "[1]"), "layout.documents",
	  "shard 0 of layout l2 of pots has no target" },
	{ TARGET(2, "north", "v1", "10.0.0.5:1"), "target.shard",
	  "expected a shard from 0 to 1" },
	{ TARGET(0, "west", "v1", "10.0.0.5:1"), "target.data_center",
	  "expected the name of a data centre" },
	{ TARGET(0, "north", "v1", "10.0.0.1:1"), "target.address",
	  "has the same address" },
	{ TARGET(0, "north", "v1", "localhost:1"), "target.address",
	  "expected an IP address" },
	{ TARGET(0, "north", "v1", "10.0.0.5:0"), "target.address",
	  "expected an IP address" },
	{ MOVE MOVE, "move.service", "has the same value" },
	{ MOVE_OF("v3", "06:00:00Z", "07:00:00Z"), "move.to",
	  "has no target of version v3" },
	{ MOVE_OF("v2", "07:00:00Z", "07:00:00Z"), "move.done_by",
	  "expected a time after start" },
	{ MOVE_OF("v2", "06:00:00", "07:00:00Z"), "move.start",
	  "with an offset" },
	{ MOVE_OF("v2", "05:00:00Z", "06:00:00Z"), "move.done_by",
	  "expected a time in the future" },
	{ SERVICE_ONLY_IN_WEST, "data_center.state",
	  "only in data centres that are out of service" },
};

static void test_each_error(void **state)
{
	const mc_config_t *config;
	char text[4096];
	size_t i;

	(void)state;
	for (i = 0; i < MC_ARRAY_LEN(invalid_texts); i++) {
		snprintf(text, sizeof(text), "%s" TARGETS "%s", valid_text,
			 invalid_texts[i].tail);
		assert_int_equal(parse_at(text, MOVE_START, &config),
				 MC_ERR_BAD_CONFIG);
		assert_null(config);
		assert_int_equal(errors.count, 1);
		assert_string_equal(errors.list[0].key, invalid_texts[i].key);
		assert_true(errors.list[0].line >= 1);
		if (!strstr(errors.list[0].message, invalid_texts[i].message))
			fail_msg("%s", errors.list[0].message);
	}
}

static void test_each_error_has_its_line(void **state)
{
	const mc_config_t *config;

	(void)state;
	assert_int_equal(parse_at("[[service]]\nname = 3\n\n[[data_center]]\n"
				  "name = \"a\"\nstat = 1\n[service2]\n",
				  0, &config),
			 MC_ERR_BAD_CONFIG);
	assert_int_equal(errors.count, 4);
	assert_int_equal(errors.list[0].line, 1);
	assert_string_equal(errors.list[0].key, "service.deadline_ms");
	assert_int_equal(errors.list[1].line, 2);
	assert_int_equal(errors.list[2].line, 6);
	assert_int_equal(errors.list[3].line, 7);
}

static void test_taken_back_move_may_be_past(void **state)
{
	const mc_config_t *config;
	char text[4096];

	(void)state;
	snprintf(text, sizeof(text), "%s%s", valid_text,
		 TARGETS MOVE "taken_back = true\n");
	assert_int_equal(parse_at(text, MOVE_START * 2, &config), MC_OK);
	mc_config_unref(config);
}

static void test_size_bounds(void **state)
{
	char *text = malloc(MC_CONFIG_TEXT_MAX + 2);
	const mc_config_t *config;

	(void)state;
	memset(text, '\n', MC_CONFIG_TEXT_MAX + 1);
	text[MC_CONFIG_TEXT_MAX + 1] = '\0';
	assert_int_equal(parse_at(text, 0, &config), MC_ERR_TOO_LARGE);
	text[MC_CONFIG_TEXT_MAX] = '\0';
	assert_int_equal(parse_at(text, 0, &config), MC_OK);
	mc_config_unref(config);
	free(text);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_rows_and_lookups),
		cmocka_unit_test(test_print_round_trip),
		cmocka_unit_test(test_diff),
		cmocka_unit_test(test_copies_outlive_the_original),
		cmocka_unit_test(test_empty_config),
		cmocka_unit_test(test_each_error),
		cmocka_unit_test(test_each_error_has_its_line),
		cmocka_unit_test(test_taken_back_move_may_be_past),
		cmocka_unit_test(test_size_bounds),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
