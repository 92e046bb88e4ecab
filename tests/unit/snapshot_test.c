/*
 * Unit tests of the snapshot library.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include "../config_text.h"
#include "mc/snapshot.h"

#define ADDRESS_A "10.0.0.1:9000"
#define ADDRESS_B "10.0.0.2:9000"

static void add_target(config_text_t *text, const char *layout, int shard,
		       const char *address)
{
	config_text_add(text,
			"[[target]]\nservice = \"pots\"\nlayout = \"%s\"\n"
			"shard = %d\ndata_center = \"north\"\n"
			"version = \"v1\"\naddress = \"%s\"\n",
			layout, shard, address);
}

static void add_snapshot(config_text_t *text, const char *id,
			 const char *layout, int order)
{
	config_text_add(text,
			"[[snapshot]]\nservice = \"pots\"\nid = \"%s\"\n"
			"layout = \"%s\"\norder = %d\n",
			id, layout, order);
}

/* Two shards of one layout; A holds shard 0, B shard 1. */
static const mc_config_t *two_shards(const char *second_documents,
				     bool with_third_snapshot)
{
	config_text_t text = { 0 };

	config_text_add(&text, "[[data_center]]\nname = \"north\"\n"
			       "state = \"in\"\n"
			       "[[service]]\nname = \"pots\"\n"
			       "deadline_ms = 100\n");
	config_text_add(&text,
			"[[layout]]\nservice = \"pots\"\nname = \"l1\"\n"
			"documents = [5, %s]\n",
			second_documents);
	add_snapshot(&text, "s1", "l1", 1);
	add_snapshot(&text, "s2", "l1", 2);
	if (with_third_snapshot)
		add_snapshot(&text, "s3", "l1", 3);
	add_target(&text, "l1", 0, ADDRESS_A);
	add_target(&text, "l1", 1, ADDRESS_B);
	return config_text_parse(&text);
}

static bool all_usable(void *ctx, mc_row_t target)
{
	return ctx ? *(mc_row_t *)ctx != target : true;
}

static const char *choose_id(const mc_catalogue_t *catalogue,
			     const mc_config_t *config, mc_row_t *unusable)
{
	mc_snapshot_target_filter_t usable = { .is_usable = all_usable,
					       .ctx = unusable };
	mc_row_t row;

	if (mc_catalogue_choose_snapshot(catalogue, 0, &usable, &row))
		return "none";
	return config->snapshots[row].id;
}

static void test_pin_newest_complete(void **state)
{
	const mc_config_t *config = two_shards("7", true);
	mc_catalogue_t *catalogue = mc_catalogue_create(config, NULL);
	mc_row_t a = config_target_at(config, ADDRESS_A);
	const char *const old[] = { "s2", "s1", "unknown" };

	(void)state;
	assert_string_equal(choose_id(catalogue, config, NULL), "s3");
	assert_true(mc_catalogue_set_served(catalogue, a, old, 3));
	assert_false(mc_catalogue_set_served(catalogue, a, old, 3));
	assert_string_equal(choose_id(catalogue, config, NULL), "s2");
	mc_catalogue_reset_served(catalogue, a);
	assert_string_equal(choose_id(catalogue, config, NULL), "s3");
	mc_catalogue_destroy(catalogue);
	mc_config_unref(config);
}

static void test_pin_largest_share(void **state)
{
	const mc_config_t *config = two_shards("7", true);
	mc_catalogue_t *catalogue = mc_catalogue_create(config, NULL);
	mc_row_t a = config_target_at(config, ADDRESS_A);
	mc_row_t b = config_target_at(config, ADDRESS_B);
	const char *const newest = "s3";
	const char *const oldest = "s1";

	(void)state;
	mc_catalogue_set_served(catalogue, a, &newest, 1);
	mc_catalogue_set_served(catalogue, b, &oldest, 1);
	assert_string_equal(choose_id(catalogue, config, NULL), "s1");
	assert_string_equal(choose_id(catalogue, config, &b), "s3");
	mc_catalogue_set_served(catalogue, a, NULL, 0);
	assert_string_equal(choose_id(catalogue, config, &b), "none");
	mc_catalogue_destroy(catalogue);
	mc_config_unref(config);
}

/* A shard without documents still counts as a shard that must be served. */
static void test_pin_complete_before_share(void **state)
{
	const mc_config_t *config = two_shards("0", false);
	mc_catalogue_t *catalogue = mc_catalogue_create(config, NULL);
	const char *const old = "s1";

	(void)state;
	mc_catalogue_set_served(catalogue, config_target_at(config, ADDRESS_B),
				&old, 1);
	assert_string_equal(choose_id(catalogue, config, NULL), "s1");
	mc_catalogue_destroy(catalogue);
	mc_config_unref(config);
}

static void test_reports_carry_over(void **state)
{
	const mc_config_t *before = two_shards("7", false);
	const mc_config_t *after = two_shards("7", true);
	mc_catalogue_t *first = mc_catalogue_create(before, NULL);
	mc_catalogue_t *second;
	const char *const id = "s1";

	(void)state;
	mc_catalogue_set_served(first, config_target_at(before, ADDRESS_A), &id,
				1);
	second = mc_catalogue_create(after, first);
	mc_catalogue_destroy(first);
	mc_config_unref(before);
	assert_string_equal(choose_id(second, after, NULL), "s1");
	mc_catalogue_destroy(second);
	mc_config_unref(after);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_pin_newest_complete),
		cmocka_unit_test(test_pin_largest_share),
		cmocka_unit_test(test_pin_complete_before_share),
		cmocka_unit_test(test_reports_carry_over),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
