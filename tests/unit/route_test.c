/*
 * Unit tests of the route library.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include "../config_text.h"
#include "mc/route.h"

enum {
	GATHERS_PER_CENTER = 4,
	GATHERS = 2 * GATHERS_PER_CENTER,
	REQUESTS = 20000,
	SHARDS = 4,
};

static const char *const versions[] = { "v1", "v2" };

static void add_target(config_text_t *text, uint32_t shard, const char *center,
		       const char *version, uint32_t number)
{
	config_text_add(text,
			"[[target]]\nservice = \"pots\"\nlayout = \"l1\"\n"
			"shard = %u\ndata_center = \"%s\"\n"
			"version = \"%s\"\naddress = \"10.0.0.%u:9000\"\n",
			shard, center, version, number);
}

static void add_header(config_text_t *text, const char *south_state)
{
	config_text_add(text,
			"[[data_center]]\nname = \"north\"\nstate = \"in\"\n"
			"[[data_center]]\nname = \"south\"\nstate = \"%s\"\n"
			"[[service]]\nname = \"pots\"\ndeadline_ms = 100\n"
			"[[layout]]\nservice = \"pots\"\nname = \"l1\"\n"
			"documents = [1, 1, 1, 1]\n",
			south_state);
}

/* Each shard has two replicas of each version in each data centre. */
static const mc_config_t *make_config(const char *south_state)
{
	config_text_t text = { 0 };
	uint32_t shard, i;

	add_header(&text, south_state);
	for (shard = 0; shard < SHARDS; shard++)
		for (i = 0; i < 8; i++)
			add_target(&text, shard, i < 4 ? "north" : "south",
				   versions[i % 2], shard * 8 + i + 1);
	return config_text_parse(&text);
}

static mc_router_t *make_router(const mc_config_t *config, const char *policy,
				const mc_router_t *previous)
{
	mc_route_gather_t gathers[GATHERS];
	mc_router_params_t params = {
		.config = config,
		.policy = mc_route_find_policy(policy),
		.owners_per_target = 2,
		.data_center = mc_config_find_data_center(config, "north"),
		.gathers = gathers,
		.gather_count = GATHERS,
		.previous = previous,
	};
	uint32_t i;

	for (i = 0; i < GATHERS; i++)
		gathers[i] = (mc_route_gather_t){
			.key = mc_hash_pair(i, 1),
			.data_center = i < GATHERS_PER_CENTER ? 0 : 1,
			.usable = true,
		};
	return mc_router_create(&params);
}

static mc_err_t choose(mc_router_t *router, const mc_route_query_t *query,
		       mc_route_choice_t *choice)
{
	static mc_random_t random;

	return mc_router_choose(router, query, &random, choice);
}

static void test_owners_share_targets(void **state)
{
	uint64_t members[43];
	uint32_t counts[43] = { 0 };
	uint32_t owners[8];
	uint64_t target;
	uint32_t i;

	(void)state;
	for (i = 0; i < 43; i++)
		members[i] = mc_hash_pair(i, 7);
	for (target = 0; target < 4300; target++) {
		assert_int_equal(
			mc_route_find_owners(target, members, 43, owners, 8),
			8);
		for (i = 0; i < 8; i++)
			counts[owners[i]]++;
	}
	/* 800 are expected, with a standard deviation of about 26. */
	for (i = 0; i < 43; i++)
		assert_in_range(counts[i], 650, 950);
}

/*
 * The order of owners is the same on every instance. If ties in load were
 * broken by that order, idle instances would all use a target's first owner.
 */
static void test_owners_share_idle_load(void **state)
{
	const mc_config_t *config = make_config("in");
	mc_router_t *router = make_router(config, "hash", NULL);
	uint32_t counts[GATHERS] = { 0 };
	mc_route_query_t query = { .request_hash = 1 };
	mc_route_choice_t choice;
	uint32_t i, used = 0;

	(void)state;
	for (i = 0; i < REQUESTS; i++) {
		mc_router_begin_request(router);
		assert_int_equal(choose(router, &query, &choice), MC_OK);
		counts[choice.gather]++;
	}
	for (i = 0; i < GATHERS; i++) {
		if (!counts[i])
			continue;
		used++;
		/* Five standard deviations around one half. */
		assert_in_range(counts[i], REQUESTS / 2 - 354,
				REQUESTS / 2 + 354);
	}
	assert_int_equal(used, 2);
	mc_router_destroy(router);
	mc_config_unref(config);
}

static void test_local_first_then_remote(void **state)
{
	const mc_config_t *config = make_config("in");
	mc_router_t *router = make_router(config, "two_choices", NULL);
	mc_route_query_t query = { .shard = 1 };
	mc_route_choice_t choice;
	mc_row_t i;

	(void)state;
	assert_int_equal(choose(router, &query, &choice), MC_OK);
	assert_int_equal(config->targets[choice.target].data_center, 0);
	for (i = 0; i < config->target_count; i++)
		if (config->targets[i].data_center == 0)
			mc_router_set_target_state(router, i,
						   MC_ROUTE_TARGET_DRAINING, 0);
	assert_int_equal(choose(router, &query, &choice), MC_OK);
	assert_int_equal(config->targets[choice.target].data_center, 1);
	assert_true(choice.gather >= GATHERS_PER_CENTER);
	for (i = GATHERS_PER_CENTER; i < GATHERS; i++)
		mc_router_set_gather_usable(router, i, false);
	assert_int_equal(choose(router, &query, &choice), MC_ERR_NO_TARGET);
	mc_router_destroy(router);
	mc_config_unref(config);
}

static void test_failed_used_last(void **state)
{
	const mc_config_t *config = make_config("out");
	mc_router_t *router = make_router(config, "two_choices", NULL);
	mc_route_query_t query = { .now = 10 };
	mc_route_choice_t first, second;
	mc_row_t i;

	(void)state;
	for (i = 0; i < config->target_count; i++)
		mc_router_set_target_state(router, i, MC_ROUTE_TARGET_FAILED,
					   10);
	assert_int_equal(choose(router, &query, &first), MC_OK);
	query.now = 10 + MC_ROUTE_FAILED_MS - 1;
	mc_router_set_target_state(router, first.target, MC_ROUTE_TARGET_FAILED,
				   query.now);
	query.now++;
	for (i = 0; i < 100; i++) {
		assert_int_equal(choose(router, &query, &second), MC_OK);
		assert_int_not_equal(first.target, second.target);
	}
	mc_router_destroy(router);
	mc_config_unref(config);
}

static void test_data_center_out(void **state)
{
	const mc_config_t *config = make_config("out");
	mc_router_t *router = make_router(config, "hash", NULL);
	mc_route_query_t query = { .shard = 0 };
	mc_row_t local[4];
	mc_route_choice_t choice;
	mc_row_t i;

	(void)state;
	for (i = 0; i < config->target_count; i++)
		if (config->targets[i].shard == 0 &&
		    config->targets[i].data_center == 0)
			local[query.exclude_count++] = i;
	assert_int_equal(query.exclude_count, 4);
	query.exclude = local;
	assert_int_equal(choose(router, &query, &choice),
			 MC_ERR_DATA_CENTER_OUT);
	mc_router_destroy(router);
	mc_config_unref(config);
}

/*
 * Counts the requests that are assigned to the new version, and checks that all
 * shards of a request use the same version.
 */
static uint32_t count_new(mc_router_t *router, const mc_config_t *config)
{
	mc_route_query_t query = { 0 };
	mc_route_choice_t choice;
	uint32_t i, count = 0;
	bool first = false;

	for (i = 0; i < REQUESTS; i++) {
		query.request_hash = mc_hash_pair(i, 3);
		for (query.shard = 0; query.shard < SHARDS; query.shard++) {
			const char *version;
			bool is_new;

			assert_int_equal(choose(router, &query, &choice),
					 MC_OK);
			version = config->targets[choice.target].version;
			is_new = !strcmp(version, "v2");
			if (query.shard == 0)
				first = is_new;
			assert_int_equal(is_new, first);
		}
		count += first;
	}
	return count;
}

static void test_version_share(void **state)
{
	const double shares[] = { 0, 0.01, 0.25, 0.99, 1 };
	const mc_config_t *config = make_config("in");
	mc_router_t *router = make_router(config, "two_choices", NULL);
	size_t i;

	(void)state;
	for (i = 0; i < MC_ARRAY_LEN(shares); i++) {
		double expected = shares[i] * REQUESTS;
		/* Five standard deviations, squared. */
		double bound = 25 * expected * (1 - shares[i]);
		double off;

		mc_router_set_version_share(router, 0, "v1", "v2", shares[i]);
		off = count_new(router, config) - expected;
		assert_true(off * off <= bound);
	}
	mc_router_destroy(router);
	mc_config_unref(config);
}

static void set_version_state(mc_router_t *router, const mc_config_t *config,
			      const char *version,
			      mc_route_target_state_t target_state)
{
	mc_row_t i;

	for (i = 0; i < config->target_count; i++)
		if (!strcmp(config->targets[i].version, version))
			mc_router_set_target_state(router, i, target_state, 0);
}

static void test_version_falls_back_to_old_only(void **state)
{
	const mc_config_t *config = make_config("in");
	mc_router_t *router = make_router(config, "two_choices", NULL);
	mc_route_query_t query = { 0 };
	mc_route_choice_t choice;

	(void)state;
	mc_router_set_version_share(router, 0, "v1", "v2", 1);
	set_version_state(router, config, "v2", MC_ROUTE_TARGET_DRAINING);
	assert_int_equal(choose(router, &query, &choice), MC_OK);
	assert_string_equal(config->targets[choice.target].version, "v1");
	set_version_state(router, config, "v2", MC_ROUTE_TARGET_READY);
	set_version_state(router, config, "v1", MC_ROUTE_TARGET_DRAINING);
	assert_int_equal(choose(router, &query, &choice), MC_OK);
	assert_string_equal(config->targets[choice.target].version, "v2");
	mc_router_set_version_share(router, 0, "v1", "v2", 0);
	assert_int_equal(choose(router, &query, &choice), MC_ERR_NO_TARGET);
	mc_router_destroy(router);
	mc_config_unref(config);
}

/* Makes @requests choices for shard 0 and counts them by target row. */
static void count_choices(mc_router_t *router, uint32_t requests,
			  uint32_t *counts)
{
	mc_route_query_t query = { 0 };
	mc_route_choice_t choice;
	uint32_t i;

	for (i = 0; i < requests; i++) {
		query.request_hash = mc_hash_pair(i, 5);
		assert_int_equal(choose(router, &query, &choice), MC_OK);
		counts[choice.target]++;
	}
}

static void test_round_robin_after_return(void **state)
{
	const mc_config_t *config = make_config("in");
	mc_router_t *router = make_router(config, "round_robin", NULL);
	uint32_t counts[SHARDS * 8] = { 0 };
	mc_row_t back = config_target_at(config, "10.0.0.1:9000");
	mc_row_t i;

	(void)state;
	mc_router_set_target_state(router, back, MC_ROUTE_TARGET_DRAINING, 0);
	count_choices(router, 300, counts);
	assert_int_equal(counts[back], 0);
	mc_router_set_target_state(router, back, MC_ROUTE_TARGET_READY, 0);
	count_choices(router, 400, counts);
	assert_int_equal(counts[back], 100);
	for (i = 0; i < config->target_count; i++)
		if (i != back && counts[i])
			assert_int_equal(counts[i], 200);
	mc_router_destroy(router);
	mc_config_unref(config);
}

static void test_hash_moves_few_requests(void **state)
{
	const mc_config_t *config = make_config("in");
	mc_router_t *router = make_router(config, "hash", NULL);
	mc_route_choice_t before[1000], after;
	mc_route_query_t query = { 0 };
	uint32_t i, moved = 0;

	(void)state;
	for (i = 0; i < 1000; i++) {
		query.request_hash = mc_hash_pair(i, 9);
		choose(router, &query, &before[i]);
	}
	mc_router_set_target_state(router, before[0].target,
				   MC_ROUTE_TARGET_DRAINING, 0);
	for (i = 0; i < 1000; i++) {
		query.request_hash = mc_hash_pair(i, 9);
		choose(router, &query, &after);
		assert_int_not_equal(after.target, before[0].target);
		if (before[i].target == before[0].target)
			moved++;
		else
			assert_int_equal(after.target, before[i].target);
	}
	/* A quarter is expected, with a standard deviation of about 14. */
	assert_in_range(moved, 180, 320);
	mc_router_destroy(router);
	mc_config_unref(config);
}

/* A local replica that is far slower than a remote one is ranked below it. */
static void test_slow_local_ranked_last(void **state)
{
	const mc_config_t *config = make_config("in");
	mc_router_t *router = make_router(config, "two_choices", NULL);
	mc_route_query_t query = { .shard = 1 };
	mc_route_choice_t choice;
	uint32_t i, local = 0;

	(void)state;
	for (i = 0; i < config->target_count; i++)
		mc_router_record_done(router,
				      (mc_route_choice_t){ .target = i },
				      config->targets[i].data_center ? 8 : 160);
	for (i = 0; i < 400; i++) {
		assert_int_equal(choose(router, &query, &choice), MC_OK);
		mc_router_record_sent(router, choice);
		local += !config->targets[choice.target].data_center;
		mc_router_record_done(
			router, choice,
			config->targets[choice.target].data_center ? 8 : 160);
	}
	assert_int_equal(local, 0);
	mc_router_destroy(router);
	mc_config_unref(config);
}

/*
 * A choice that is not sent must not change latencies: only
 * mc_router_record_sent() lets slow replicas be tried again.
 */
static void test_hash_repeats_choice(void **state)
{
	const mc_config_t *config = make_config("in");
	mc_router_t *router = make_router(config, "hash", NULL);
	mc_route_query_t query = { .shard = 1 };
	mc_route_choice_t first, again;
	uint32_t i, returned = 0;

	(void)state;
	for (i = 0; i < config->target_count; i++)
		mc_router_record_done(
			router, (mc_route_choice_t){ .target = i },
			config->targets[i].data_center ? 8 : 100 + i);
	for (i = 0; i < 4000; i++) {
		query.request_hash = mc_hash_pair(i % 16, 3);
		assert_int_equal(choose(router, &query, &first), MC_OK);
		assert_int_equal(choose(router, &query, &again), MC_OK);
		assert_int_equal(first.target, again.target);
		mc_router_record_sent(router, first);
		mc_router_record_done(router, first, 8);
		returned += !config->targets[first.target].data_center;
	}
	assert_true(returned > 0);
	mc_router_destroy(router);
	mc_config_unref(config);
}

/* A replica at its limit is ranked below others for a short time. */
static void test_busy_ranked_last(void **state)
{
	const mc_config_t *config = make_config("in");
	mc_router_t *router = make_router(config, "two_choices", NULL);
	mc_route_query_t query = { .shard = 1 };
	mc_route_choice_t choice;
	mc_row_t i;

	(void)state;
	for (i = 0; i < config->target_count; i++)
		if (!config->targets[i].data_center)
			mc_router_set_target_state(router, i,
						   MC_ROUTE_TARGET_BUSY, 0);
	assert_int_equal(choose(router, &query, &choice), MC_OK);
	assert_int_equal(config->targets[choice.target].data_center, 1);
	query.now = MC_ROUTE_BUSY_MS;
	assert_int_equal(choose(router, &query, &choice), MC_OK);
	assert_int_equal(config->targets[choice.target].data_center, 0);
	mc_router_destroy(router);
	mc_config_unref(config);
}

/* A slow replica gets few sub-queries, but is tried again from time to time. */
static void test_two_choices_by_latency(void **state)
{
	const mc_config_t *config = make_config("in");
	mc_router_t *router = make_router(config, "two_choices", NULL);
	mc_row_t slow = config_target_at(config, "10.0.0.1:9000");
	mc_route_query_t query = { 0 };
	mc_route_choice_t choice;
	uint32_t i, slow_count = 0;

	(void)state;
	for (i = 0; i < 4000; i++) {
		assert_int_equal(choose(router, &query, &choice), MC_OK);
		mc_router_record_sent(router, choice);
		mc_router_record_done(router, choice,
				      choice.target == slow ? 80 : 8);
		slow_count += choice.target == slow;
	}
	assert_in_range(slow_count, 2, 200);
	mc_router_destroy(router);
	mc_config_unref(config);
}

static void test_two_choices_by_in_flight(void **state)
{
	const mc_config_t *config = make_config("in");
	mc_router_t *router = make_router(config, "two_choices", NULL);
	mc_router_t *next;
	mc_route_choice_t busy, choice;
	mc_route_query_t query = { 0 };
	uint32_t i;

	(void)state;
	assert_int_equal(choose(router, &query, &busy), MC_OK);
	mc_router_record_sent(router, busy);
	next = make_router(config, "two_choices", router);
	mc_router_destroy(router);
	for (i = 0; i < 100; i++) {
		assert_int_equal(choose(next, &query, &choice), MC_OK);
		assert_int_not_equal(choice.target, busy.target);
	}
	mc_router_destroy(next);
	mc_config_unref(config);
}

static void test_policy_names(void **state)
{
	(void)state;
	assert_non_null(mc_route_find_policy("two_choices"));
	assert_non_null(mc_route_find_policy("round_robin"));
	assert_non_null(mc_route_find_policy("hash"));
	assert_null(mc_route_find_policy("best"));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_owners_share_targets),
		cmocka_unit_test(test_owners_share_idle_load),
		cmocka_unit_test(test_local_first_then_remote),
		cmocka_unit_test(test_failed_used_last),
		cmocka_unit_test(test_data_center_out),
		cmocka_unit_test(test_version_share),
		cmocka_unit_test(test_version_falls_back_to_old_only),
		cmocka_unit_test(test_round_robin_after_return),
		cmocka_unit_test(test_hash_moves_few_requests),
		cmocka_unit_test(test_slow_local_ranked_last),
		cmocka_unit_test(test_hash_repeats_choice),
		cmocka_unit_test(test_busy_ranked_last),
		cmocka_unit_test(test_two_choices_by_latency),
		cmocka_unit_test(test_two_choices_by_in_flight),
		cmocka_unit_test(test_policy_names),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
