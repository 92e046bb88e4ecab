/*
 * Unit tests of the registry library.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>
#include <apr_general.h>
#include <cmocka.h>

#include "mc/registry.h"

static mc_target_entry_t make_entry(const char *id, int64_t started)
{
	mc_target_entry_t entry = {
		.service = "s",
		.address = "10.0.0.1:80",
		.data_center = "north",
		.version = "v1",
		.slots = 2,
		.started_at = started,
	};

	snprintf(entry.id, sizeof(entry.id), "%s", id);
	return entry;
}

static void put_target_at(mc_registry_t *registry, mc_target_entry_t target,
			  uint64_t revision, mc_ms_t now)
{
	assert_int_equal(
		mc_registry_put_target(registry, &target, revision, now),
		MC_OK);
}

/* Puts an entry whose revision is unknown. */
static void put_target(mc_registry_t *registry, mc_target_entry_t target,
		       mc_ms_t now)
{
	put_target_at(registry, target, 0, now);
}

/* Returns the view's only target, or NULL. */
static const mc_registry_view_target_t *only_target(
	const mc_registry_view_t *view)
{
	assert_true(view->target_count <= 1);
	return view->target_count ? &view->targets[0] : NULL;
}

static void expect_target(mc_registry_t *registry, mc_ms_t now, bool registered,
			  bool leaving)
{
	mc_ms_t next;
	const mc_registry_view_t *view;

	mc_registry_expire(registry, now, &next);
	view = mc_registry_make_view(registry);
	assert_int_equal(only_target(view) != NULL, registered);
	if (registered)
		assert_int_equal(only_target(view)->leaving, leaving);
	mc_registry_view_unref(view);
}

/*
 * A target whose entry expires stays if it is registered again in time, and is
 * removed after the grace period otherwise.
 */
static void test_expired_entry(void **state)
{
	mc_registry_t *registry = mc_registry_create();

	(void)state;
	put_target(registry, make_entry("a", 5), 0);
	expect_target(registry, 0, true, false);
	mc_registry_remove_target(registry, "a", 0, 1000);
	expect_target(registry, 1000, true, true);
	put_target(registry, make_entry("a", 5), 2900);
	expect_target(registry, 60000, true, false);
	mc_registry_remove_target(registry, "a", 0, 70000);
	expect_target(registry, 70000 + MC_REGISTRY_REMOVAL_GRACE_MS - 1, true,
		      true);
	expect_target(registry, 70000 + MC_REGISTRY_REMOVAL_GRACE_MS, false,
		      false);
	mc_registry_destroy(registry);
}

static void test_drain(void **state)
{
	mc_registry_t *registry = mc_registry_create();
	mc_target_entry_t draining = make_entry("a", 5);

	(void)state;
	draining.draining = true;
	/* A target that is already draining when first read is not used. */
	put_target(registry, draining, 0);
	expect_target(registry, 0, false, false);
	put_target(registry, make_entry("a", 5), 0);
	put_target(registry, draining, 1000);
	/* Reading the same entry again does not restart the grace period. */
	put_target(registry, draining, 2000);
	expect_target(registry, 2000, true, true);
	expect_target(registry, 1000 + MC_REGISTRY_REMOVAL_GRACE_MS, false,
		      false);
	put_target(registry, draining, 4000);
	expect_target(registry, 4000, false, false);
	mc_registry_destroy(registry);
}

static void test_list_removes_unlisted(void **state)
{
	mc_registry_t *registry = mc_registry_create();
	const mc_registry_view_t *view;
	mc_ms_t next;

	(void)state;
	put_target(registry, make_entry("a", 5), 0);
	put_target(registry, make_entry("b", 5), 0);
	mc_registry_list_begin(registry);
	put_target(registry, make_entry("b", 5), 10);
	mc_registry_list_end(registry, 0, 10);
	assert_true(mc_registry_expire(registry, 10, &next));
	assert_int_equal(next, 10 + MC_REGISTRY_REMOVAL_GRACE_MS);
	mc_registry_expire(registry, next, &next);
	view = mc_registry_make_view(registry);
	assert_string_equal(only_target(view)->entry.id, "b");
	mc_registry_view_unref(view);
	mc_registry_destroy(registry);
}

/* The warm-up time counts from when the entry was first read. */
static void test_warmup(void **state)
{
	mc_registry_t *registry = mc_registry_create();
	mc_target_entry_t cold = make_entry("a", 5);
	const mc_registry_view_t *view;

	(void)state;
	cold.warmup_left = 3000;
	put_target_at(registry, cold, 20, 100);
	put_target_at(registry, cold, 20, 2000);
	view = mc_registry_make_view(registry);
	assert_int_equal(only_target(view)->warmup_until, 3100);
	mc_registry_view_unref(view);
	/* A new incarnation warms up anew; an older one is ignored. */
	cold.started_at = 9;
	put_target_at(registry, cold, 30, 4000);
	put_target_at(registry, make_entry("a", 5), 20, 4100);
	view = mc_registry_make_view(registry);
	assert_int_equal(only_target(view)->warmup_until, 7000);
	assert_int_equal(only_target(view)->entry.started_at, 9);
	mc_registry_view_unref(view);
	mc_registry_destroy(registry);
}

/*
 * Clocks of targets are set back: an incarnation that says that it started
 * earlier may be the later one. It has its own warm-up, and neither the notice
 * of the former one that it drains nor its removal are taken for its own.
 */
static void test_clock_set_back(void **state)
{
	mc_registry_t *registry = mc_registry_create();
	mc_target_entry_t draining = make_entry("a", 9),
			  cold = make_entry("a", 5);
	const mc_registry_view_t *view;

	(void)state;
	draining.draining = true;
	cold.warmup_left = 3000;
	put_target_at(registry, make_entry("a", 9), 20, 0);
	put_target_at(registry, draining, 21, 1000);
	put_target_at(registry, cold, 22, 2000);
	expect_target(registry, 60000, true, false);
	view = mc_registry_make_view(registry);
	assert_int_equal(only_target(view)->entry.started_at, 5);
	assert_int_equal(only_target(view)->warmup_until, 5000);
	mc_registry_view_unref(view);
	/* What is read late of the former one changes nothing. */
	put_target_at(registry, draining, 21, 60000);
	assert_false(mc_registry_remove_target(registry, "a", 21, 60000));
	expect_target(registry, 60000, true, false);
	/* The new one's own notice does. */
	cold.draining = true;
	put_target_at(registry, cold, 23, 61000);
	expect_target(registry, 61000, true, true);
	mc_registry_destroy(registry);
}

/*
 * An entry that is read after its removal, as it was relayed late or comes from
 * an older list, must not bring the target back; a later entry does.
 */
static void test_entry_read_after_removal(void **state)
{
	mc_registry_t *registry = mc_registry_create();

	(void)state;
	put_target_at(registry, make_entry("a", 5), 20, 0);
	mc_registry_remove_target(registry, "a", 25, 1000);
	put_target_at(registry, make_entry("a", 5), 20, 1100);
	/* Of a time at which this instance had not read it. */
	put_target_at(registry, make_entry("a", 9), 24, 1100);
	expect_target(registry, 1100, true, true);
	put_target_at(registry, make_entry("a", 9), 26, 1200);
	expect_target(registry, 60000, true, false);
	/* A removal may bear the revision of the last entry. */
	mc_registry_remove_target(registry, "a", 26, 70000);
	put_target_at(registry, make_entry("a", 9), 26, 70100);
	expect_target(registry, 70000 + MC_REGISTRY_REMOVAL_GRACE_MS, false,
		      false);
	mc_registry_destroy(registry);
}

/* A list that is older than an entry says nothing of it, and one that lacks an
 * entry outweighs it. */
static void test_list_and_late_entries(void **state)
{
	mc_registry_t *registry = mc_registry_create();

	(void)state;
	put_target_at(registry, make_entry("a", 5), 20, 0);
	mc_registry_list_begin(registry);
	mc_registry_list_end(registry, 19, 10);
	expect_target(registry, 10, true, false);
	mc_registry_list_begin(registry);
	mc_registry_list_end(registry, 30, 20);
	put_target_at(registry, make_entry("a", 5), 20, 30);
	expect_target(registry, 30, true, true);
	mc_registry_destroy(registry);
}

static void test_data_center_out(void **state)
{
	mc_registry_t *registry = mc_registry_create();
	const mc_registry_view_t *view;

	(void)state;
	put_target(registry, make_entry("a", 5), 0);
	mc_registry_set_data_center_out(registry, "north", true);
	mc_registry_set_data_center_out(registry, "south", true);
	mc_registry_set_data_center_out(registry, "south", false);
	view = mc_registry_make_view(registry);
	assert_true(only_target(view)->data_center_out);
	mc_registry_view_unref(view);
	mc_registry_clear_data_centers_out(registry);
	view = mc_registry_make_view(registry);
	assert_false(only_target(view)->data_center_out);
	mc_registry_view_unref(view);
	mc_registry_destroy(registry);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_expired_entry),
		cmocka_unit_test(test_drain),
		cmocka_unit_test(test_list_removes_unlisted),
		cmocka_unit_test(test_warmup),
		cmocka_unit_test(test_clock_set_back),
		cmocka_unit_test(test_entry_read_after_removal),
		cmocka_unit_test(test_list_and_late_entries),
		cmocka_unit_test(test_data_center_out),
	};

	apr_initialize();
	return cmocka_run_group_tests(tests, NULL, NULL);
}
