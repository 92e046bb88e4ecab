/*
 * Unit tests of the routemap library.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <apr_general.h>
#include <cmocka.h>

#include "mc/routemap.h"

enum {
	CHOICES = 10000,
};

static mc_routemap_t *create_with_services(void)
{
	static const char *const names[] = { "a", "b", "c" };
	mc_routemap_t *map = mc_routemap_create(7);
	size_t i;

	assert_non_null(map);
	for (i = 0; i < MC_ARRAY_LEN(names); i++) {
		const mc_routemap_service_t service = { .name = names[i] };

		assert_int_equal(mc_routemap_add_service(map, &service), MC_OK);
	}
	return map;
}

static mc_err_t add_route(mc_routemap_t *map, const char *name,
			  const char *host, const char *prefix,
			  const char *service)
{
	const mc_routemap_route_t route = {
		.name = name,
		.host = host,
		.prefix = prefix,
		.timeout = 1000,
		.attempts_max = 2,
	};
	const mc_routemap_named_destination_t named = { .service = service,
							.weight = 1 };

	return mc_routemap_add_route(map, &route, &named, 1);
}

static void test_longest_prefix(void **state)
{
	mc_routemap_t *map = create_with_services();

	(void)state;
	assert_int_equal(add_route(map, "short", "One.example", "/x/", "a"),
			 MC_OK);
	assert_int_equal(add_route(map, "long", "one.example", "/x/y/", "b"),
			 MC_OK);
	assert_int_equal(add_route(map, "other", "two.example", "/", "c"),
			 MC_OK);
	assert_int_equal(mc_routemap_finish(map), MC_OK);
	assert_string_equal(
		mc_routemap_match_route(map, "one.example", "/x/y/z")->name,
		"long");
	assert_string_equal(
		mc_routemap_match_route(map, "ONE.example:80", "/x/yz")->name,
		"short");
	assert_string_equal(
		mc_routemap_match_route(map, "two.example", "/x?/q")->name,
		"other");
	assert_null(mc_routemap_match_route(map, "one.example", "/x"));
	assert_null(mc_routemap_match_route(map, "one.example", "/?/x/y/"));
	assert_null(mc_routemap_match_route(map, "three.example", "/x/"));
	assert_int_equal(mc_routemap_version(map), 7);
	mc_routemap_unref(map);
}

static void test_weights(void **state)
{
	const mc_routemap_route_t route = {
		.name = "split",
		.host = "h",
		.prefix = "/",
		.timeout = 1000,
		.attempts_max = 1,
	};
	const mc_routemap_named_destination_t destinations[] = {
		{ "a", 3 },
		{ "b", 0 },
		{ "c", 1 },
	};
	mc_routemap_t *map = create_with_services();
	const mc_routemap_route_t *found;
	uint32_t counts[3] = { 0 };
	int i;

	(void)state;
	assert_int_equal(mc_routemap_add_route(map, &route, destinations, 3),
			 MC_OK);
	assert_int_equal(mc_routemap_finish(map), MC_OK);
	found = mc_routemap_match_route(map, "h", "/");
	for (i = 0; i < CHOICES; i++)
		counts[mc_routemap_pick_destination(map, found,
						    (double)i / CHOICES)]++;
	assert_int_equal(counts[0], CHOICES * 3 / 4);
	assert_int_equal(counts[1], 0);
	assert_int_equal(counts[2], CHOICES / 4);
	mc_routemap_unref(map);
}

static void test_rejects_invalid_rows(void **state)
{
	mc_routemap_t *map = create_with_services();
	const mc_routemap_service_t again = { .name = "a" };

	(void)state;
	assert_int_equal(mc_routemap_add_service(map, &again),
			 MC_ERR_BAD_CONFIG);
	assert_int_equal(add_route(map, "r", "h", "/x", "a"),
			 MC_ERR_BAD_CONFIG);
	assert_int_equal(add_route(map, "r", "h", "x/", "a"),
			 MC_ERR_BAD_CONFIG);
	assert_int_equal(add_route(map, "r", "h", "/", "d"), MC_ERR_BAD_CONFIG);
	assert_int_equal(add_route(map, "r", "", "/", "a"), MC_ERR_BAD_CONFIG);
	assert_int_equal(add_route(map, "r", "h", "/", "a"), MC_OK);
	assert_int_equal(add_route(map, "s", "h", "/", "b"), MC_OK);
	assert_int_equal(mc_routemap_finish(map), MC_ERR_BAD_CONFIG);
	mc_routemap_unref(map);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_longest_prefix),
		cmocka_unit_test(test_weights),
		cmocka_unit_test(test_rejects_invalid_rows),
	};

	apr_initialize();
	return cmocka_run_group_tests(tests, NULL, NULL);
}
