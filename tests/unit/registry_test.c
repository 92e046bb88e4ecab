/*
 * Unit tests of the fleet library.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>
#include <apr_general.h>
#include <cmocka.h>

#include "mc/registry.h"

static mc_target_entry_t entry(const char *id, int64_t started)
{
	mc_target_entry_t made = {
		.service = "s",
		.address = "10.0.0.1:80",
		.data_center = "north",
		.version = "v1",
		.slots = 2,
		.started_at = started,
	};

	snprintf(made.id, sizeof(made.id), "%s", id);
	return made;
}

static void put(mc_registry_t *fleet, mc_target_entry_t target, mc_ms_t now)
{
	assert_int_equal(mc_registry_put_target(fleet, &target, now), MC_OK);
}

/* The world's only target, or NULL. */
static const mc_registry_view_target_t *only(const mc_registry_view_t *world)
{
	assert_true(world->target_count <= 1);
	return world->target_count ? &world->targets[0] : NULL;
}

static void expect(mc_registry_t *fleet, mc_ms_t now, bool there, bool leaving)
{
	mc_ms_t next;
	const mc_registry_view_t *world;

	mc_registry_expire(fleet, now, &next);
	world = mc_registry_make_view(fleet);
	assert_int_equal(only(world) != NULL, there);
	if (there)
		assert_int_equal(only(world)->leaving, leaving);
	mc_registry_view_unref(world);
}

/* An entry that lapses may come back; one that does not is gone in time. */
static void test_lapse(void **state)
{
	mc_registry_t *fleet = mc_registry_create();

	(void)state;
	put(fleet, entry("a", 5), 0);
	expect(fleet, 0, true, false);
	mc_registry_remove_target(fleet, "a", 1000);
	expect(fleet, 1000, true, true);
	put(fleet, entry("a", 5), 2900);
	expect(fleet, 60000, true, false);
	mc_registry_remove_target(fleet, "a", 70000);
	expect(fleet, 70000 + MC_REGISTRY_REMOVAL_GRACE_MS - 1, true, true);
	expect(fleet, 70000 + MC_REGISTRY_REMOVAL_GRACE_MS, false, false);
	mc_registry_destroy(fleet);
}

static void test_drain(void **state)
{
	mc_registry_t *fleet = mc_registry_create();
	mc_target_entry_t draining = entry("a", 5);

	(void)state;
	draining.draining = true;
	/* It was draining before this process knew of it. */
	put(fleet, draining, 0);
	expect(fleet, 0, false, false);
	put(fleet, entry("a", 5), 0);
	put(fleet, draining, 1000);
	/* Read again, it does not begin anew. */
	put(fleet, draining, 2000);
	expect(fleet, 2000, true, true);
	expect(fleet, 1000 + MC_REGISTRY_REMOVAL_GRACE_MS, false, false);
	put(fleet, draining, 4000);
	expect(fleet, 4000, false, false);
	mc_registry_destroy(fleet);
}

static void test_list(void **state)
{
	mc_registry_t *fleet = mc_registry_create();
	const mc_registry_view_t *world;
	mc_ms_t next;

	(void)state;
	put(fleet, entry("a", 5), 0);
	put(fleet, entry("b", 5), 0);
	mc_registry_list_begin(fleet);
	put(fleet, entry("b", 5), 10);
	mc_registry_list_end(fleet, 10);
	assert_true(mc_registry_expire(fleet, 10, &next));
	assert_int_equal(next, 10 + MC_REGISTRY_REMOVAL_GRACE_MS);
	mc_registry_expire(fleet, next, &next);
	world = mc_registry_make_view(fleet);
	assert_string_equal(only(world)->entry.id, "b");
	mc_registry_view_unref(world);
	mc_registry_destroy(fleet);
}

/* How long a target is cold counts from when it was first said. */
static void test_cold(void **state)
{
	mc_registry_t *fleet = mc_registry_create();
	mc_target_entry_t cold = entry("a", 5);
	const mc_registry_view_t *world;

	(void)state;
	cold.warmup_left = 3000;
	put(fleet, cold, 100);
	put(fleet, cold, 2000);
	world = mc_registry_make_view(fleet);
	assert_int_equal(only(world)->warmup_until, 3100);
	mc_registry_view_unref(world);
	/* Another incarnation is cold anew; an older one changes nothing. */
	cold.started_at = 9;
	put(fleet, cold, 4000);
	put(fleet, entry("a", 5), 4100);
	world = mc_registry_make_view(fleet);
	assert_int_equal(only(world)->warmup_until, 7000);
	assert_int_equal(only(world)->entry.started_at, 9);
	mc_registry_view_unref(world);
	mc_registry_destroy(fleet);
}

static void test_out(void **state)
{
	mc_registry_t *fleet = mc_registry_create();
	const mc_registry_view_t *world;

	(void)state;
	put(fleet, entry("a", 5), 0);
	mc_registry_set_data_center_out(fleet, "north", true);
	mc_registry_set_data_center_out(fleet, "south", true);
	mc_registry_set_data_center_out(fleet, "south", false);
	world = mc_registry_make_view(fleet);
	assert_true(only(world)->data_center_out);
	mc_registry_view_unref(world);
	mc_registry_clear_data_centers_out(fleet);
	world = mc_registry_make_view(fleet);
	assert_false(only(world)->data_center_out);
	mc_registry_view_unref(world);
	mc_registry_destroy(fleet);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_lapse), cmocka_unit_test(test_drain),
		cmocka_unit_test(test_list),  cmocka_unit_test(test_cold),
		cmocka_unit_test(test_out),
	};

	apr_initialize();
	return cmocka_run_group_tests(tests, NULL, NULL);
}
