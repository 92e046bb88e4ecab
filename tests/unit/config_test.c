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

/* One target on a line of its own, so that faults have known lines. */
#define TARGET(shard, data_center, version, address)                       \
	"[[target]]\nservice = \"pots\"\nlayout = \"l1\"\nshard = " #shard \
	"\ndata_center = \"" data_center "\"\nversion = \"" version        \
	"\"\naddress = \"" address "\"\n"

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

static mc_config_faults_t faults;

static mc_err_t parse_at(const char *text, mc_ms_t now,
			 const mc_config_t **config)
{
	return mc_config_parse(text, strlen(text), 7, now, config, &faults);
}

static const mc_config_t *parse_valid(const char *tail)
{
	const mc_config_t *config;
	char text[4096];

	snprintf(text, sizeof(text), "%s%s", valid_text, tail);
	if (parse_at(text, 0, &config))
		fail_msg("%s", mc_last_message());
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

static void test_print_is_a_fixed_point(void **state)
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
	assert_int_equal(mc_config_with_taken_back(first, 1, &second),
			 MC_ERR_NOT_FOUND);
	assert_int_equal(mc_config_with_taken_back(first, 0, &second), MC_OK);
	assert_false(config->moves[0].taken_back);
	mc_config_unref(config);
	mc_config_unref(first);
	assert_string_equal(second->submission, "s-2");
	assert_int_equal(mc_config_print(second, &text), MC_OK);
	assert_non_null(strstr(text, "taken_back = true"));
	free(text);
	mc_config_unref(second);
}

static void test_empty(void **state)
{
	const mc_config_t *config = mc_config_empty();
	char *text;

	(void)state;
	assert_int_equal(mc_config_find_service(config, "pots"), MC_ROW_NONE);
	assert_int_equal(mc_config_print(config, &text), MC_OK);
	assert_string_equal(text, "");
	free(text);
	mc_config_unref(mc_config_ref(config));
	mc_config_unref(config);
}

/* A text that follows the valid one and the fault that it must give. */
typedef struct bad_t {
	const char *tail;
	mc_ms_t now;
	const char *key;
	const char *message;
} bad_t;

static const bad_t bad_texts[] = {
	{ TARGETS "[[move]\n", 0, "file", "expected TOML" },
	{ TARGETS "[[pod]]\n", 0, "pod", "expected a known key" },
	{ TARGETS "[[service]]\nname = \"x\"\ndeadline_ms = 1\nowner = 1\n", 0,
	  "service.owner", "expected a known key" },
	{ TARGETS "[[service]]\nname = \"x\"\n", 0, "service.deadline_ms",
	  "got nothing" },
	{ TARGETS "[[service]]\nname = \"x y\"\ndeadline_ms = 1\n", 0,
	  "service.name", "expected a name" },
	{ TARGETS "[[service]]\nname = \"x\"\ndeadline_ms = 0\n", 0,
	  "service.deadline_ms", "expected an integer of 1 to 600000" },
	{ TARGETS "[[service]]\nname = \"pots\"\ndeadline_ms = 1\n", 0,
	  "service.name", "has the same" },
	{ TARGETS "[[data_center]]\nname = \"w\"\nstate = \"off\"\n", 0,
	  "data_center.state", "expected \"in\" or \"out\"" },
	{ TARGETS "[[snapshot]]\nservice = \"pots\"\nid = \"a\"\n"
		  "layout = \"l1\"\norder = 3\n",
	  0, "snapshot.id", "is there twice" },
	{ TARGETS "[[snapshot]]\nservice = \"pots\"\nid = \"c\"\n"
		  "layout = \"l1\"\norder = 2\n",
	  0, "snapshot.order", "has the same" },
	{ TARGETS "[[snapshot]]\nservice = \"pots\"\nid = \"c\"\n"
		  "layout = \"l2\"\norder = 3\n",
	  0, "snapshot.layout", "expected a layout of pots" },
	{ TARGETS "[[layout]]\nservice = \"pans\"\nname = \"l1\"\n"
		  "documents = [1]\n",
	  0, "layout.service", "expected the name of a service" },
	{ TARGETS "[[layout]]\nservice = \"pots\"\nname = \"l2\"\n"
		  "documents = []\n",
	  0, "layout.documents", "expected 1 to 4096 integers" },
	{ TARGET(0, "north", "v1", "10.0.0.1:1"), 0, "layout.documents",
	  "shard 1 of layout l1 of pots has no target" },
	{ TARGETS TARGET(2, "north", "v1", "10.0.0.5:1"), 0, "target.shard",
	  "expected a shard of 0 to 1" },
	{ TARGETS TARGET(0, "west", "v1", "10.0.0.5:1"), 0,
	  "target.data_center", "expected the name of a data centre" },
	{ TARGETS TARGET(0, "north", "v1", "10.0.0.1:1"), 0, "target.address",
	  "has the same address" },
	{ TARGETS TARGET(0, "north", "v1", "localhost:1"), 0, "target.address",
	  "expected an IP number" },
	{ TARGETS TARGET(0, "north", "v1", "10.0.0.5:0"), 0, "target.address",
	  "expected an IP number" },
	{ TARGETS MOVE MOVE, 0, "move.service", "has the same" },
	{ TARGETS "[[move]]\nservice = \"pots\"\nfrom = \"v1\"\n"
		  "to = \"v3\"\nstart = 2026-05-01T06:00:00Z\n"
		  "done_by = 2026-05-01T07:00:00Z\n",
	  0, "move.to", "has no target of version v3" },
	{ TARGETS "[[move]]\nservice = \"pots\"\nfrom = \"v1\"\n"
		  "to = \"v2\"\nstart = 2026-05-01T06:00:00Z\n"
		  "done_by = 2026-05-01T06:00:00Z\n",
	  0, "move.done_by", "expected a time after start" },
	{ TARGETS "[[move]]\nservice = \"pots\"\nfrom = \"v1\"\n"
		  "to = \"v2\"\nstart = 2026-05-01T06:00:00\n"
		  "done_by = 2026-05-01T07:00:00Z\n",
	  0, "move.start", "with an offset" },
	{ TARGETS MOVE, MOVE_START + 3600250, "move.done_by",
	  "expected a time to come" },
	{ TARGETS "[[data_center]]\nname = \"west\"\nstate = \"out\"\n"
		  "[[service]]\nname = \"pans\"\ndeadline_ms = 1\n"
		  "[[layout]]\nservice = \"pans\"\nname = \"l1\"\n"
		  "documents = [1]\n[[target]]\nservice = \"pans\"\n"
		  "layout = \"l1\"\nshard = 0\ndata_center = \"west\"\n"
		  "version = \"v1\"\naddress = \"10.0.0.9:1\"\n",
	  0, "data_center.state", "only in data centres that are out" },
};

static void test_each_fault(void **state)
{
	const mc_config_t *config;
	char text[4096];
	size_t i;

	(void)state;
	for (i = 0; i < MC_ARRAY_LEN(bad_texts); i++) {
		const bad_t *bad = &bad_texts[i];

		snprintf(text, sizeof(text), "%s%s", valid_text, bad->tail);
		assert_int_equal(parse_at(text, bad->now, &config),
				 MC_ERR_BAD_CONFIG);
		assert_null(config);
		assert_int_equal(faults.count, 1);
		assert_string_equal(faults.list[0].key, bad->key);
		assert_true(faults.list[0].line >= 1);
		if (!strstr(faults.list[0].message, bad->message))
			fail_msg("%s", faults.list[0].message);
	}
}

static void test_every_fault_has_its_line(void **state)
{
	const mc_config_t *config;

	(void)state;
	assert_int_equal(parse_at("[[service]]\nname = 3\n\n[[data_center]]\n"
				  "name = \"a\"\nstat = 1\n[service2]\n",
				  0, &config),
			 MC_ERR_BAD_CONFIG);
	assert_int_equal(faults.count, 4);
	assert_int_equal(faults.list[0].line, 1);
	assert_string_equal(faults.list[0].key, "service.deadline_ms");
	assert_int_equal(faults.list[1].line, 2);
	assert_int_equal(faults.list[2].line, 6);
	assert_int_equal(faults.list[3].line, 7);
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
		cmocka_unit_test(test_print_is_a_fixed_point),
		cmocka_unit_test(test_diff),
		cmocka_unit_test(test_copies_outlive_the_original),
		cmocka_unit_test(test_empty),
		cmocka_unit_test(test_each_fault),
		cmocka_unit_test(test_every_fault_has_its_line),
		cmocka_unit_test(test_taken_back_move_may_be_past),
		cmocka_unit_test(test_size_bounds),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
