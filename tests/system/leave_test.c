/*
 * System tests of planned changes under steady load: a data centre is taken out
 * and comes back, a target drains, a front and a gather are stopped. No caller
 * gets less than a whole answer meanwhile.
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
	ANSWERS = 100,
	/* Within this time what leaves gets no new work any more, ms. */
	LEAVE_MS = 3000,
	/* A target without work for this time has left, ms. */
	IDLE_MS = 1500,
};

static mc_ms_t now(void)
{
	return mc_clock_now(mc_clock_system());
}

/* The targets from one on that are to lose their work, or to get it again. */
typedef struct leaving_t {
	cluster_t *cluster;
	uint32_t first;
	uint32_t count;
	mc_ms_t last_work;
	json_int_t before;
} leaving_t;

static bool is_idle(void *ctx)
{
	leaving_t *leaving = ctx;
	json_int_t idle, least = INT32_MAX;
	uint32_t i;

	for (i = 0; i < leaving->count; i++) {
		idle = cluster_counter(
			&leaving->cluster->targets[leaving->first + i],
			"idle_ms");
		least = idle < least ? idle : least;
	}
	leaving->last_work = now() - least;
	return least > IDLE_MS;
}

static json_int_t queries_of(const leaving_t *leaving)
{
	json_int_t sum = 0;
	uint32_t i;

	for (i = 0; i < leaving->count; i++)
		sum += cluster_counter(
			&leaving->cluster->targets[leaving->first + i],
			"queries");
	return sum;
}

static bool has_work(void *ctx)
{
	const leaving_t *leaving = ctx;

	return queries_of(leaving) > leaving->before;
}

/* Waits until they get no work; returns how long work came after @start. */
static void check_left(leaving_t *leaving, mc_ms_t start)
{
	harness_wait("targets get no more work", is_idle, leaving);
	print_message("last work after %lld ms\n",
		      (long long)(leaving->last_work - start));
	assert_true(leaving->last_work - start <= LEAVE_MS);
	leaving->before = queries_of(leaving);
}

static void begin(cluster_t *cluster, cluster_load_t *load)
{
	cluster_start(cluster);
	cluster_standin_all(cluster, "{\"delay_ms\":100}");
	cluster_wait_complete(cluster);
	cluster_load_begin(load);
	cluster_load_wait(load, ANSWERS);
}

/* Ends the load, all of whose answers were whole and complete. */
static void end(cluster_load_t *load)
{
	cluster_load_wait(load, ANSWERS);
	cluster_load_end(load);
	print_message("complete=%u partial=%u refused=%u broken=%u "
		      "unreached=%u\n",
		      load->complete, load->partial, load->refused,
		      load->broken, load->unreached);
	assert_int_equal(load->partial, 0);
	assert_int_equal(load->refused, 0);
	assert_int_equal(load->broken, 0);
}

static void put_out(cluster_t *cluster, int data_center)
{
	char *text = cluster_config(cluster, data_center);

	cluster_put_config(cluster, text);
	free(text);
}

static void test_data_center_out_and_back(void **state)
{
	cluster_t *cluster = *state;
	cluster_load_t load = { .cluster = cluster, .fronts = 2, .threads = 4 };
	leaving_t leaving = { cluster, .first = SHARDS, .count = SHARDS };
	mc_ms_t start;

	begin(cluster, &load);
	harness_wait("the data centre has work", has_work, &leaving);
	start = now();
	put_out(cluster, 1);
	check_left(&leaving, start);
	put_out(cluster, -1);
	harness_wait("the data centre has work again", has_work, &leaving);
	end(&load);
}

static void test_target_drains(void **state)
{
	cluster_t *cluster = *state;
	cluster_load_t load = { .cluster = cluster, .fronts = 2, .threads = 4 };
	leaving_t leaving = { cluster, .first = 0, .count = 1 };
	mc_ms_t start;

	begin(cluster, &load);
	harness_wait("the target has work", has_work, &leaving);
	start = now();
	cluster_standin(&cluster->targets[0], "{\"drain\":true}");
	check_left(&leaving, start);
	cluster_standin(&cluster->targets[0], "{\"drain\":false}");
	harness_wait("the target has work again", has_work, &leaving);
	end(&load);
}

/* Callers go on with the front for as long as it takes connections. */
static void test_front_stopped(void **state)
{
	cluster_t *cluster = *state;
	cluster_load_t load = {
		.cluster = cluster,
		.fronts = 2,
		.threads = 8,
		.runs = true,
	};

	begin(cluster, &load);
	assert_int_equal(harness_stop(cluster->harness,
				      cluster->instances[0].front, SIGTERM),
			 0);
	end(&load);
	assert_int_not_equal(load.unreached, 0);
}

static void test_gather_stopped(void **state)
{
	cluster_t *cluster = *state;
	cluster_load_t load = {
		.cluster = cluster,
		.fronts = 2,
		.threads = 8,
		.runs = true,
	};

	begin(cluster, &load);
	assert_int_equal(harness_stop(cluster->harness,
				      cluster->instances[0].gather, SIGTERM),
			 0);
	end(&load);
}

static bool knows_config(void *ctx)
{
	const cluster_t *cluster = ctx;
	char url[2 * HARNESS_URL_SIZE];
	json_t *status;
	json_int_t version;

	snprintf(url, sizeof(url), "%s/v1/status", cluster->instances[0].url);
	status = harness_get(url);
	version = json_integer_value(json_object_get(
		json_object_get(status, "configuration"), "version"));
	json_decref(status);
	return version == (json_int_t)cluster->config_version;
}

/* A search that began before a change of the configuration is tried again. */
static void test_retry_after_change(void **state)
{
	cluster_t *cluster = *state;
	const cluster_target_t *target;
	harness_reply_t reply;
	harness_call_t *call;

	cluster_start(cluster);
	cluster_wait_complete(cluster);
	cluster_standin_all(cluster, "{\"delay_ms\":1000}");
	call = cluster_search_begin(&cluster->instances[0]);
	target = cluster_wait_working(cluster);
	put_out(cluster, -1);
	harness_wait("the front knows the change", knows_config, cluster);
	harness_stop(cluster->harness,
		     cluster_instance_of(cluster, target)->gather, SIGKILL);
	reply = harness_http_end(call);
	assert_true(cluster_complete(&reply));
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
		/* Targets are cold at their start; the load is not for that. */
		.policy = "ramp = \"off\"\n",
	};

	*state = cluster_create(&params);
	return *state ? 0 : -1;
}

#define LEAVE_TEST(test) \
	cmocka_unit_test_setup_teardown(test, set_up, cluster_tear_down)

int main(void)
{
	const struct CMUnitTest tests[] = {
		LEAVE_TEST(test_data_center_out_and_back),
		LEAVE_TEST(test_target_drains),
		LEAVE_TEST(test_front_stopped),
		LEAVE_TEST(test_gather_stopped),
		LEAVE_TEST(test_retry_after_change),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
