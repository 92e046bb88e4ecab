/*
 * System tests of membership: instances that die, pause, leave, or are cut off
 * with their data centre.
 */
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include "fleet.h"

enum {
	DATA_CENTERS = 2,
	INSTANCES = 2,
	SHARDS = 2,
	SEARCHES = 8,
	/* Longer than a view is acted on, ms. */
	PAUSE_MS = 4000,
	/* A cut shows once the configuration's age is above this, ms. */
	CUT_AGE_MS = 4000,
	/* Time in which work would come if it came at all, ms. */
	QUIET_MS = 1000,
	DEADLINE_MS = 9000,
};

static harness_call_t *begin_search(const cluster_instance_t *instance)
{
	return cluster_begin_within(instance, NULL, DEADLINE_MS);
}

/* Return: whether the answer has all shards. */
static bool end_search(harness_call_t *call)
{
	harness_reply_t reply = harness_http_end(call);
	bool complete = cluster_complete(&reply);

	harness_reply_free(&reply);
	return complete;
}

static bool is_complete(const cluster_instance_t *instance)
{
	return end_search(begin_search(instance));
}

static void start(cluster_t *cluster)
{
	cluster_start(cluster);
	cluster_wait_complete(cluster);
}

/* What the fronts of a data centre shall say of the gathers of another. */
typedef struct seen_t {
	cluster_t *cluster;
	uint32_t data_center;
	uint32_t of;
	json_int_t usable;
} seen_t;

static json_int_t gathers_usable(const cluster_instance_t *instance,
				 uint32_t data_center)
{
	json_t *status = fleet_status(instance);
	const json_t *list = json_object_get(status, "data_centers");
	json_int_t usable = fleet_number(json_array_get(list, data_center),
					 "gathers_usable");

	json_decref(status);
	return usable;
}

static bool is_seen(void *ctx)
{
	const seen_t *seen = ctx;
	const cluster_instance_t *instance;
	uint32_t i;

	for (i = 0; i < seen->cluster->instance_count; i++) {
		instance = &seen->cluster->instances[i];
		if (instance->data_center == seen->data_center &&
		    gathers_usable(instance, seen->of) != seen->usable)
			return false;
	}
	return true;
}

static mc_ms_t wait_seen(cluster_t *cluster, uint32_t of, json_int_t usable)
{
	mc_ms_t begin = mc_clock_now(mc_clock_system());
	uint32_t i;

	for (i = 0; i < DATA_CENTERS; i++)
		harness_wait("fronts see the usable gathers", is_seen,
			     &(seen_t){ .cluster = cluster,
					.data_center = i,
					.of = of,
					.usable = usable });
	return mc_clock_now(mc_clock_system()) - begin;
}

static void test_gather_killed(void **state)
{
	cluster_t *cluster = *state;
	cluster_instance_t *instance = &cluster->instances[0];
	uint32_t i;

	start(cluster);
	wait_seen(cluster, 0, INSTANCES);
	harness_stop(cluster->harness, instance->gather, SIGKILL);
	print_message("killed gather seen after %lld ms\n",
		      (long long)wait_seen(cluster, 0, INSTANCES - 1));
	for (i = 0; i < SEARCHES; i++)
		assert_true(is_complete(
			&cluster->instances[i % cluster->instance_count]));
	cluster_start_gather(cluster, instance);
	print_message("new gather seen after %lld ms\n",
		      (long long)wait_seen(cluster, 0, INSTANCES));
}

/*
 * The gather has work that keeps it running, so that peers can only know of
 * its stop by its own word.
 */
static void test_gather_leaves(void **state)
{
	cluster_t *cluster = *state;
	cluster_instance_t *instance = &cluster->instances[0];
	harness_call_t *calls[INSTANCES];
	uint32_t i;

	start(cluster);
	wait_seen(cluster, 0, INSTANCES);
	cluster_standin_all(cluster, "{\"delay_ms\":3000}");
	for (i = 0; i < INSTANCES; i++)
		calls[i] = begin_search(&cluster->instances[i]);
	harness_sleep(QUIET_MS);
	harness_signal(cluster->harness, instance->gather, SIGTERM);
	print_message("leaving gather seen after %lld ms\n",
		      (long long)wait_seen(cluster, 0, INSTANCES - 1));
	assert_true(harness_running(cluster->harness, instance->gather));
	for (i = 0; i < INSTANCES; i++)
		assert_true(end_search(calls[i]));
	assert_int_equal(harness_stop(cluster->harness, instance->gather, 0),
			 0);
}

static void signal_data_center(cluster_t *cluster, uint32_t data_center,
			       int signal)
{
	uint32_t i;

	for (i = 0; i < cluster->instance_count; i++) {
		if (cluster->instances[i].data_center != data_center)
			continue;
		harness_signal(cluster->harness, cluster->instances[i].front,
			       signal);
		harness_signal(cluster->harness, cluster->instances[i].gather,
			       signal);
	}
}

static json_int_t work_of(const cluster_t *cluster, uint32_t data_center)
{
	json_int_t sum = 0;
	uint32_t i;

	for (i = 0; i < cluster->target_count; i++)
		if (cluster->targets[i].data_center == data_center)
			sum += cluster_counter(&cluster->targets[i], "queries");
	return sum;
}

static json_int_t age_of(const cluster_instance_t *instance)
{
	json_t *status = fleet_status(instance);
	json_int_t age = fleet_number(status, "configuration.age_ms");

	json_decref(status);
	return age;
}

static bool is_old(void *ctx)
{
	return age_of(ctx) > CUT_AGE_MS;
}

static bool is_young(void *ctx)
{
	json_int_t age = age_of(ctx);

	return age >= 0 && age <= CUT_AGE_MS;
}

/* A front that wakes while its peers are silent does not trust its view. */
static void check_wakes_alone(cluster_t *cluster,
			      const cluster_instance_t *instance)
{
	json_t *status;

	harness_signal(cluster->harness, instance->front, SIGCONT);
	harness_sleep(QUIET_MS);
	status = fleet_status(instance);
	assert_true(fleet_number(status, "view_age_ms") >= PAUSE_MS);
	json_decref(status);
}

static uint64_t take_out(cluster_t *cluster, int data_center)
{
	char *text = cluster_config(cluster, data_center);
	fleet_submission_t end = fleet_submit_end(
		cluster, fleet_submit_begin(cluster, "submit", text));

	free(text);
	assert_int_equal(end.status, 0);
	return end.version;
}

/*
 * A data centre is taken out while all its instances are paused; the store is
 * down when they wake, and a search waits at each. On the view that they had,
 * they would send it to the targets of their data centre.
 */
static void test_data_center_paused(void **state)
{
	cluster_t *cluster = *state;
	cluster_instance_t *near = &cluster->instances[0];
	cluster_instance_t *paused = &cluster->instances[INSTANCES];
	harness_call_t *calls[SEARCHES];
	uint64_t version;
	json_int_t work;
	uint32_t i;

	start(cluster);
	signal_data_center(cluster, 1, SIGSTOP);
	version = take_out(cluster, 1);
	work = work_of(cluster, 1);
	harness_sleep(PAUSE_MS);
	json_decref(cluster_platform(cluster, "{\"down\":true}"));
	harness_wait("the configuration's age shows the cut", is_old, near);
	for (i = 0; i < SEARCHES; i++)
		assert_true(is_complete(&cluster->instances[i % INSTANCES]));
	for (i = 0; i < SEARCHES; i++)
		calls[i] = begin_search(&paused[i % INSTANCES]);
	signal_data_center(cluster, 0, SIGSTOP);
	check_wakes_alone(cluster, paused);
	signal_data_center(cluster, 0, SIGCONT);
	signal_data_center(cluster, 1, SIGCONT);
	for (i = 0; i < SEARCHES; i++)
		end_search(calls[i]);
	print_message("woken data centre has the change after %lld ms\n",
		      (long long)fleet_wait_in_force(cluster, version));
	harness_sleep(QUIET_MS);
	assert_int_equal(work_of(cluster, 1), work);
	assert_true(is_complete(near));
	json_decref(cluster_platform(cluster, "{\"down\":false}"));
	harness_wait("the configuration is confirmed again", is_young, near);
	wait_seen(cluster, 1, INSTANCES);
}

static int set_up(void **state)
{
	cluster_params_t params = {
		.name = "member",
		.data_centers = DATA_CENTERS,
		.instances = INSTANCES,
		.shards = SHARDS,
		.snapshots = 1,
	};

	*state = cluster_create(&params);
	return *state ? 0 : -1;
}

#define MEMBER_TEST(test) \
	cmocka_unit_test_setup_teardown(test, set_up, cluster_tear_down)

int main(void)
{
	const struct CMUnitTest tests[] = {
		MEMBER_TEST(test_gather_killed),
		MEMBER_TEST(test_gather_leaves),
		MEMBER_TEST(test_data_center_paused),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
