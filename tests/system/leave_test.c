/*
 * System tests of planned changes under steady load: a data centre is taken out
 * of service and put back, a target drains, a front or a gather is stopped. No
 * caller gets an error, a partial answer or a broken connection meanwhile.
 */
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include "cluster.h"

enum {
	SHARDS = 3,
	PHASE_ANSWERS = 100,
	/* Upper bound of the time from a change to the last work, ms. */
	DRAIN_MAX_MS = 3000,
	/* Time without new work after which targets count as drained, ms. */
	IDLE_MS = 1500,
};

/*
 * The @count targets from index @first on, which are drained and put back.
 * @last_work_at is when any of them last got work (ms), @queries_before the
 * number of queries that they had got when they were drained.
 */
typedef struct target_range_t {
	cluster_t *cluster;
	uint32_t first;
	uint32_t count;
	mc_ms_t last_work_at;
	json_int_t queries_before;
} target_range_t;

static bool range_is_idle(void *ctx)
{
	target_range_t *range = ctx;
	json_int_t idle, shortest = INT32_MAX;
	uint32_t i;

	for (i = 0; i < range->count; i++) {
		idle = cluster_target_counter(
			&range->cluster->targets[range->first + i], "idle_ms");
		shortest = idle < shortest ? idle : shortest;
	}
	range->last_work_at = harness_now() - shortest;
	return shortest > IDLE_MS;
}

static json_int_t count_queries(const target_range_t *range)
{
	json_int_t sum = 0;
	uint32_t i;

	for (i = 0; i < range->count; i++)
		sum += cluster_target_counter(
			&range->cluster->targets[range->first + i], "queries");
	return sum;
}

static bool range_has_work(void *ctx)
{
	const target_range_t *range = ctx;

	return count_queries(range) > range->queries_before;
}

/*
 * Waits until the targets are idle, prints how long after @start they last got
 * work and checks that against DRAIN_MAX_MS.
 */
static void check_drained(target_range_t *range, mc_ms_t start)
{
	harness_wait_until("the drained targets get no more work",
			   range_is_idle, range);
	print_message("last work after %lld ms\n",
		      (long long)(range->last_work_at - start));
	assert_true(range->last_work_at - start <= DRAIN_MAX_MS);
	range->queries_before = count_queries(range);
}

static void start_under_load(cluster_t *cluster, cluster_load_t *load)
{
	cluster_start(cluster);
	cluster_control_all_targets(cluster, "{\"delay_ms\":100}");
	cluster_wait_complete_answers(cluster);
	cluster_load_start(load);
	cluster_load_wait_answered(load, PHASE_ANSWERS);
}

/* Ends the load; checks for partial answers, errors and broken connections. */
static void end_load(cluster_load_t *load)
{
	cluster_load_wait_answered(load, PHASE_ANSWERS);
	cluster_load_finish(load);
	print_message("complete=%u partial=%u refused=%u broken=%u "
		      "unreached=%u\n",
		      load->complete, load->partial, load->error_replies,
		      load->connections_lost, load->connect_failures);
	assert_int_equal(load->partial, 0);
	assert_int_equal(load->error_replies, 0);
	assert_int_equal(load->connections_lost, 0);
}

static void set_data_center_out(cluster_t *cluster, int data_center)
{
	char *text = cluster_format_config(cluster, data_center);

	cluster_put_config(cluster, text);
	free(text);
}

static void test_data_center_out_and_back(void **state)
{
	cluster_t *cluster = *state;
	cluster_load_t load = { .cluster = cluster,
				.front_count = 2,
				.caller_count = 4 };
	target_range_t range = { cluster, .first = SHARDS, .count = SHARDS };
	mc_ms_t start;

	start_under_load(cluster, &load);
	harness_wait_until("the data centre has work", range_has_work, &range);
	start = harness_now();
	set_data_center_out(cluster, 1);
	check_drained(&range, start);
	set_data_center_out(cluster, -1);
	harness_wait_until("the data centre has work again", range_has_work,
			   &range);
	end_load(&load);
}

static void test_target_drains(void **state)
{
	cluster_t *cluster = *state;
	cluster_load_t load = { .cluster = cluster,
				.front_count = 2,
				.caller_count = 4 };
	target_range_t range = { cluster, .first = 0, .count = 1 };
	mc_ms_t start;

	start_under_load(cluster, &load);
	harness_wait_until("the target has work", range_has_work, &range);
	start = harness_now();
	cluster_control_target(&cluster->targets[0], "{\"drain\":true}");
	check_drained(&range, start);
	cluster_control_target(&cluster->targets[0], "{\"drain\":false}");
	harness_wait_until("the target has work again", range_has_work, &range);
	end_load(&load);
}

/*
 * Callers keep sending to the front until it accepts no more connections; those
 * attempts without a connection are the only failures allowed.
 */
static void test_front_stopped(void **state)
{
	cluster_t *cluster = *state;
	cluster_load_t load = {
		.cluster = cluster,
		.front_count = 2,
		.caller_count = 8,
		.include_runs = true,
	};

	start_under_load(cluster, &load);
	assert_int_equal(harness_stop(cluster->harness,
				      cluster->instances[0].front, SIGTERM),
			 0);
	end_load(&load);
	assert_int_not_equal(load.connect_failures, 0);
}

static void test_gather_stopped(void **state)
{
	cluster_t *cluster = *state;
	cluster_load_t load = {
		.cluster = cluster,
		.front_count = 2,
		.caller_count = 8,
		.include_runs = true,
	};

	start_under_load(cluster, &load);
	assert_int_equal(harness_stop(cluster->harness,
				      cluster->instances[0].gather, SIGTERM),
			 0);
	end_load(&load);
}

static bool front_has_new_config(void *ctx)
{
	const cluster_t *cluster = ctx;
	char url[2 * HARNESS_URL_SIZE];
	json_t *status;
	json_int_t version;

	snprintf(url, sizeof(url), "%s/v1/status", cluster->instances[0].url);
	status = harness_get_json(url);
	version = json_integer_value(json_object_get(
		json_object_get(status, "configuration"), "version"));
	json_decref(status);
	return version == (json_int_t)cluster->config_version;
}

/*
 * A search that began under an earlier configuration is still retried when the
 * gather that holds it is killed after the change.
 */
static void test_retry_after_change(void **state)
{
	cluster_t *cluster = *state;
	const cluster_target_t *target;
	harness_reply_t reply;
	harness_call_t *call;

	cluster_start(cluster);
	cluster_wait_complete_answers(cluster);
	cluster_control_all_targets(cluster, "{\"delay_ms\":1000}");
	call = cluster_search_start(&cluster->instances[0]);
	target = cluster_wait_busy_target(cluster);
	set_data_center_out(cluster, -1);
	harness_wait_until("the front has the new configuration in force",
			   front_has_new_config, cluster);
	harness_stop(cluster->harness,
		     cluster_find_local_instance(cluster, target)->gather,
		     SIGKILL);
	reply = harness_http_wait(call);
	assert_true(cluster_reply_is_complete(&reply));
	harness_reply_free(&reply);
}

static int set_up(void **state)
{
	cluster_params_t params = {
		.name = "leave",
		.data_centers = 2,
		.instances = 1,
		.shards = SHARDS,
		.snapshots = 1,
		/*
		 * Targets that have just started count as cold, and the ramp
		 * would limit them to less than the load of these tests.
		 */
		.policy = "ramp = \"off\"\n",
	};

	*state = cluster_create(&params);
	return *state ? 0 : -1;
}

#define PLANNED_CHANGE_TEST(test) \
	cmocka_unit_test_setup_teardown(test, set_up, cluster_tear_down)

int main(void)
{
	const struct CMUnitTest tests[] = {
		PLANNED_CHANGE_TEST(test_data_center_out_and_back),
		PLANNED_CHANGE_TEST(test_target_drains),
		PLANNED_CHANGE_TEST(test_front_stopped),
		PLANNED_CHANGE_TEST(test_gather_stopped),
		PLANNED_CHANGE_TEST(test_retry_after_change),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
