/*
 * System tests of membership: gathers that are killed or shut down, and a data
 * centre whose instances are all paused while it is taken out of service.
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
	/* Longer than the age up to which a front acts on its view, ms. */
	PAUSE_MS = 4000,
	/* An older configuration counts as not confirmed by the store, ms. */
	CONFIRMED_AGE_MAX_MS = 4000,
	/* Time within which work would arrive if any were sent, ms. */
	QUIET_MS = 1000,
	DEADLINE_MS = 9000,
};

static harness_call_t *start_search(const cluster_instance_t *instance)
{
	return cluster_start_request(instance, NULL, DEADLINE_MS);
}

/* Waits for the answer; returns whether it covers all shards. */
static bool finish_search(harness_call_t *call)
{
	harness_reply_t reply = harness_http_wait(call);
	bool complete = cluster_reply_is_complete(&reply);

	harness_reply_free(&reply);
	return complete;
}

static bool search_is_complete(const cluster_instance_t *instance)
{
	return finish_search(start_search(instance));
}

static void start_cluster(cluster_t *cluster)
{
	cluster_start(cluster);
	cluster_wait_complete_answers(cluster);
}

/*
 * Condition of a wait: each front of @data_center reports @usable usable
 * gathers in the data centre @observed.
 */
typedef struct usable_wait_t {
	cluster_t *cluster;
	uint32_t data_center;
	uint32_t observed;
	json_int_t usable;
} usable_wait_t;

static json_int_t gathers_usable(const cluster_instance_t *instance,
				 uint32_t data_center)
{
	json_t *status = fleet_status(instance);
	const json_t *list = json_object_get(status, "data_centers");
	json_int_t usable = fleet_status_number(
		json_array_get(list, data_center), "gathers_usable");

	json_decref(status);
	return usable;
}

static bool fronts_agree(void *ctx)
{
	const usable_wait_t *wait = ctx;
	const cluster_instance_t *instance;
	uint32_t i;

	for (i = 0; i < wait->cluster->instance_count; i++) {
		instance = &wait->cluster->instances[i];
		if (instance->data_center == wait->data_center &&
		    gathers_usable(instance, wait->observed) != wait->usable)
			return false;
	}
	return true;
}

/* Waits until all fronts agree; returns how long that took, ms. */
static mc_ms_t wait_gathers_usable(cluster_t *cluster, uint32_t observed,
				   json_int_t usable)
{
	mc_ms_t start = harness_now();
	uint32_t i;

	for (i = 0; i < DATA_CENTERS; i++)
		harness_wait_until(
			"fronts report the expected number of usable gathers",
			fronts_agree,
			&(usable_wait_t){ .cluster = cluster,
					  .data_center = i,
					  .observed = observed,
					  .usable = usable });
	return harness_now() - start;
}

static void test_gather_killed(void **state)
{
	cluster_t *cluster = *state;
	cluster_instance_t *instance = &cluster->instances[0];
	uint32_t i;

	start_cluster(cluster);
	wait_gathers_usable(cluster, 0, INSTANCES);
	harness_stop(cluster->harness, instance->gather, SIGKILL);
	print_message(
		"fronts exclude the killed gather after %lld ms\n",
		(long long)wait_gathers_usable(cluster, 0, INSTANCES - 1));
	for (i = 0; i < SEARCHES; i++)
		assert_true(search_is_complete(
			&cluster->instances[i % cluster->instance_count]));
	cluster_start_gather(cluster, instance);
	print_message("fronts use the new gather after %lld ms\n",
		      (long long)wait_gathers_usable(cluster, 0, INSTANCES));
}

/*
 * The gather has work in flight that keeps its process running after SIGTERM,
 * so that peers can learn of the shutdown only from the state that it
 * announces.
 */
static void test_gather_leaves(void **state)
{
	cluster_t *cluster = *state;
	cluster_instance_t *instance = &cluster->instances[0];
	harness_call_t *calls[INSTANCES];
	uint32_t i;

	start_cluster(cluster);
	wait_gathers_usable(cluster, 0, INSTANCES);
	cluster_control_all_targets(cluster, "{\"delay_ms\":3000}");
	for (i = 0; i < INSTANCES; i++)
		calls[i] = start_search(&cluster->instances[i]);
	harness_sleep(QUIET_MS);
	harness_signal(cluster->harness, instance->gather, SIGTERM);
	print_message(
		"fronts exclude the leaving gather after %lld ms\n",
		(long long)wait_gathers_usable(cluster, 0, INSTANCES - 1));
	assert_true(harness_is_running(cluster->harness, instance->gather));
	for (i = 0; i < INSTANCES; i++)
		assert_true(finish_search(calls[i]));
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

static json_int_t count_queries(const cluster_t *cluster, uint32_t data_center)
{
	json_int_t sum = 0;
	uint32_t i;

	for (i = 0; i < cluster->target_count; i++)
		if (cluster->targets[i].data_center == data_center)
			sum += cluster_target_counter(&cluster->targets[i],
						      "queries");
	return sum;
}

static json_int_t config_age_ms(const cluster_instance_t *instance)
{
	json_t *status = fleet_status(instance);
	json_int_t age = fleet_status_number(status, "configuration.age_ms");

	json_decref(status);
	return age;
}

static bool config_is_unconfirmed(void *ctx)
{
	return config_age_ms(ctx) > CONFIRMED_AGE_MAX_MS;
}

static bool config_is_confirmed(void *ctx)
{
	json_int_t age = config_age_ms(ctx);

	return age >= 0 && age <= CONFIRMED_AGE_MAX_MS;
}

/*
 * Resumes a paused front while its peers are paused, and checks that it still
 * reports its view as older than the pause, since no peer has confirmed it.
 */
static void check_view_is_old_on_resume(cluster_t *cluster,
					const cluster_instance_t *instance)
{
	json_t *status;

	harness_signal(cluster->harness, instance->front, SIGCONT);
	harness_sleep(QUIET_MS);
	status = fleet_status(instance);
	assert_true(fleet_status_number(status, "view_age_ms") >= PAUSE_MS);
	json_decref(status);
}

static uint64_t submit_data_center_out(cluster_t *cluster, int data_center)
{
	char *text = cluster_format_config(cluster, data_center);
	fleet_submit_result_t result = fleet_submit_wait(
		cluster, fleet_submit_start(cluster, "submit", text));

	free(text);
	assert_int_equal(result.status, 0);
	return result.version;
}

/*
 * A data centre is taken out of service while all its instances are paused. The
 * store is down when they resume, and searches are waiting at each of them. If
 * they acted on the view from before the pause, they would send these searches
 * to the targets of their own data centre.
 */
static void test_data_center_paused(void **state)
{
	cluster_t *cluster = *state;
	cluster_instance_t *running = &cluster->instances[0];
	cluster_instance_t *paused = &cluster->instances[INSTANCES];
	harness_call_t *calls[SEARCHES];
	uint64_t version;
	json_int_t queries_before;
	uint32_t i;

	start_cluster(cluster);
	signal_data_center(cluster, 1, SIGSTOP);
	version = submit_data_center_out(cluster, 1);
	queries_before = count_queries(cluster, 1);
	harness_sleep(PAUSE_MS);
	json_decref(cluster_control_platform(cluster, "{\"down\":true}"));
	harness_wait_until(
		"the age shows that the configuration is unconfirmed",
		config_is_unconfirmed, running);
	for (i = 0; i < SEARCHES; i++)
		assert_true(
			search_is_complete(&cluster->instances[i % INSTANCES]));
	for (i = 0; i < SEARCHES; i++)
		calls[i] = start_search(&paused[i % INSTANCES]);
	signal_data_center(cluster, 0, SIGSTOP);
	check_view_is_old_on_resume(cluster, paused);
	signal_data_center(cluster, 0, SIGCONT);
	signal_data_center(cluster, 1, SIGCONT);
	for (i = 0; i < SEARCHES; i++)
		finish_search(calls[i]);
	print_message("change in force at all instances after %lld ms\n",
		      (long long)fleet_wait_config_active(cluster, version));
	harness_sleep(QUIET_MS);
	assert_int_equal(count_queries(cluster, 1), queries_before);
	assert_true(search_is_complete(running));
	json_decref(cluster_control_platform(cluster, "{\"down\":false}"));
	harness_wait_until("the configuration is confirmed again",
			   config_is_confirmed, running);
	wait_gathers_usable(cluster, 1, INSTANCES);
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

#define MEMBERSHIP_TEST(test) \
	cmocka_unit_test_setup_teardown(test, set_up, cluster_tear_down)

int main(void)
{
	const struct CMUnitTest tests[] = {
		MEMBERSHIP_TEST(test_gather_killed),
		MEMBERSHIP_TEST(test_gather_leaves),
		MEMBERSHIP_TEST(test_data_center_paused),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
