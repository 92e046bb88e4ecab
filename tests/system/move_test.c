/*
 * System tests of version moves, which shift a service's traffic from one
 * version of its targets to another, under load: the move to a good version
 * completes in time, the move to a bad one is taken back, and that verdict is
 * permanent.
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
	CALLERS = 12,
	/* Time from the move's submission to its start, and its length, ms. */
	START_AFTER_MS = 1500,
	MOVE_DURATION_MS = 12000,
	/* Time after the first verdict by which all work to v2 must end, ms. */
	VERDICT_SPREAD_MS = 2000,
	/* Time in which any further work would show, ms. */
	QUIET_MS = 1000,
	/*
	 * Pause of a caller between two requests, ms. Each request takes a new
	 * connection, and the number of local ports is limited.
	 */
	REQUEST_PAUSE_MS = 10,
	URL_SIZE = 2 * HARNESS_URL_SIZE,
	PERCENT = 100,
};

/*
 * Largest share of the traffic that a version may get before it is judged, and
 * the tolerance for random variation in the measured share.
 */
static const double UNJUDGED_SHARE_MAX = 0.05;
static const double SHARE_TOLERANCE = 0.02;

/* Static, so that tear_down() can end the load that a failed test leaves. */
static cluster_load_t load;

/* Starts callers that send to the first @fronts fronts. */
static void start_load(cluster_t *cluster, uint32_t fronts, bool runs)
{
	load = (cluster_load_t){
		.cluster = cluster,
		.front_count = fronts,
		.caller_count = CALLERS,
		.pause_ms = REQUEST_PAUSE_MS,
		.include_runs = runs,
	};
	cluster_load_start(&load);
}

static void end_load(void)
{
	cluster_load_finish(&load);
	print_message("answers: %u complete, %u partial, %u refused, "
		      "%u broken, %u unreached\n",
		      load.complete, load.partial, load.error_replies,
		      load.connections_lost, load.connect_failures);
}

/* Returns @counter, summed over the targets of one version. */
static json_int_t count_work(const cluster_t *cluster, uint32_t version,
			     const char *counter)
{
	json_int_t sum = 0;
	uint32_t i;

	for (i = 0; i < cluster->target_count; i++)
		if (cluster->targets[i].version == version)
			sum += cluster_target_counter(&cluster->targets[i],
						      counter);
	return sum;
}

static void set_new_version_behaviour(const cluster_t *cluster,
				      const char *body)
{
	uint32_t i;

	for (i = 0; i < cluster->target_count; i++)
		if (cluster->targets[i].version == 2)
			cluster_control_target(&cluster->targets[i], body);
}

static void submit_move(cluster_t *cluster)
{
	cluster->move_start = mc_clock_wall(mc_clock_system()) + START_AFTER_MS;
	cluster->move_done_by = cluster->move_start + MOVE_DURATION_MS;
	fleet_wait_config_active(cluster, fleet_submit_change(cluster));
}

/*
 * The move as all fronts report it: how many of them are in @state, and the
 * least and largest share of the new version. @reason is from a front in
 * @state.
 */
typedef struct move_poll_t {
	const cluster_t *cluster;
	const char *state;
	uint32_t count;
	double share_min;
	double share_max;
	char reason[HARNESS_URL_SIZE];
} move_poll_t;

static void read_move(move_poll_t *poll, const cluster_instance_t *instance)
{
	json_t *status = fleet_status(instance);
	const json_t *move =
		json_array_get(json_object_get(status, "moves"), 0);
	const char *state = json_string_value(json_object_get(move, "state"));
	double share = json_number_value(json_object_get(move, "share"));

	if (share < poll->share_min)
		poll->share_min = share;
	if (share > poll->share_max)
		poll->share_max = share;
	if (state && !strcmp(state, poll->state)) {
		poll->count++;
		snprintf(poll->reason, sizeof(poll->reason), "%s",
			 json_string_value(json_object_get(move, "reason")));
	}
	json_decref(status);
}

static void read_all_moves(move_poll_t *poll)
{
	uint32_t i;

	poll->count = 0;
	poll->share_min = 1;
	poll->share_max = 0;
	for (i = 0; i < poll->cluster->instance_count; i++)
		read_move(poll, &poll->cluster->instances[i]);
}

static bool any_front_in_state(void *ctx)
{
	move_poll_t *poll = ctx;

	read_all_moves(poll);
	return poll->count > 0;
}

/* Until the first verdict, checks that the new version's share stays small. */
static bool bad_version_is_judged(void *ctx)
{
	const move_poll_t *poll = ctx;

	if (any_front_in_state(ctx))
		return true;
	assert_true(poll->share_max <= UNJUDGED_SHARE_MAX);
	return false;
}

static bool all_fronts_in_state(void *ctx)
{
	move_poll_t *poll = ctx;

	read_all_moves(poll);
	return poll->count == poll->cluster->instance_count;
}

/*
 * Whether all traffic goes to the new version at each front. Checks that the
 * share never falls from one poll to the next, and prints each increase.
 */
static bool share_is_full(void *ctx)
{
	move_poll_t *poll = ctx;
	double before = poll->share_min;

	read_all_moves(poll);
	assert_true(poll->share_min >= before);
	if (poll->share_min > before)
		print_message("share %.2f\n", poll->share_min);
	return poll->share_min >= 1;
}

/*
 * Checks the bad version's share of the work counted by @counter since the old
 * version's count was @old_work_before.
 */
static void check_share(const cluster_t *cluster, const char *counter,
			json_int_t old_work_before)
{
	double new = (double)count_work(cluster, 2, counter);
	double all = new + (double)(count_work(cluster, 1, counter) -
				    old_work_before);

	print_message("%.0f of %.0f %s went to the bad version (%.2f%%)\n", new,
		      all, counter, PERCENT * new / all);
	assert_true(new > 0);
	assert_true(new <= all *(UNJUDGED_SHARE_MAX + SHARE_TOLERANCE));
}

/*
 * Checks that the move is taken back for @reason: after the first front's
 * verdict all fronts adopt it, and work to the new version ends within
 * VERDICT_SPREAD_MS.
 */
static void check_taken_back(const cluster_t *cluster, mc_ms_t start,
			     const char *reason)
{
	move_poll_t poll = { .cluster = cluster, .state = "taken_back" };
	mc_ms_t first_verdict;
	json_int_t work;

	harness_wait_until("a front takes the move back", any_front_in_state,
			   &poll);
	first_verdict = harness_now();
	print_message("first verdict after %lld ms: %s\n",
		      (long long)(first_verdict - start), poll.reason);
	assert_non_null(strstr(poll.reason, reason));
	harness_wait_until("all fronts have taken the move back",
			   all_fronts_in_state, &poll);
	print_message("taken back at all fronts %lld ms later\n",
		      (long long)(harness_now() - first_verdict));
	harness_sleep(first_verdict + VERDICT_SPREAD_MS - harness_now());
	work = count_work(cluster, 2, "queries") +
	       count_work(cluster, 2, "runs");
	harness_sleep(QUIET_MS);
	assert_int_equal(count_work(cluster, 2, "queries") +
				 count_work(cluster, 2, "runs"),
			 work);
}

/*
 * The move completes in time. Its targets then begin to fail while the move
 * still settles, and it is taken back.
 */
static void test_good_then_bad(void **state)
{
	cluster_t *cluster = *state;
	move_poll_t poll = { .cluster = cluster, .state = "settling" };
	mc_ms_t moved_at, failing_since;

	cluster_start(cluster);
	start_load(cluster, cluster->instance_count, false);
	submit_move(cluster);
	harness_wait_until("all fronts have moved all traffic", share_is_full,
			   &poll);
	moved_at = mc_clock_wall(mc_clock_system());
	print_message("moved %lld ms before the time it is due\n",
		      (long long)(cluster->move_done_by - moved_at));
	assert_true(moved_at <= cluster->move_done_by);
	harness_sleep(QUIET_MS);
	set_new_version_behaviour(cluster, "{\"fail_search_percent\":100}");
	failing_since = harness_now();
	check_taken_back(cluster, failing_since, "search");
	end_load();
}

static void check_bad_version(const cluster_t *cluster, const char *counter,
			      const char *reason)
{
	json_int_t old_work_before = count_work(cluster, 1, counter);
	move_poll_t poll = { .cluster = cluster, .state = "taken_back" };
	mc_ms_t start = harness_now();

	harness_wait_until("the bad version is taken back",
			   bad_version_is_judged, &poll);
	check_share(cluster, counter, old_work_before);
	check_taken_back(cluster, start, reason);
}

/* Whether the configuration in the store records the verdict. */
static bool verdict_is_stored(void *ctx)
{
	const cluster_t *cluster = ctx;
	char url[URL_SIZE];
	harness_reply_t reply;
	bool stored;

	snprintf(url, sizeof(url), "http://%s/objects/mangocove/config",
		 cluster->platform_address);
	reply = harness_http(
		&(harness_request_t){ .method = "GET", .url = url });
	stored = strstr(reply.body, "taken_back = true") != NULL;
	harness_reply_free(&reply);
	return stored;
}

/*
 * The new version fails from the start of the move, with the store down, and
 * only the fronts of one data centre have callers: the other fronts can learn
 * of the verdict from their peers alone. Later an operator submits a
 * configuration written before the verdict, which must not undo it.
 */
static void test_bad_from_start(void **state)
{
	cluster_t *cluster = *state;
	move_poll_t poll = { .cluster = cluster, .state = "taken_back" };

	cluster_start(cluster);
	set_new_version_behaviour(cluster, "{\"fail_search_percent\":100}");
	start_load(cluster, INSTANCES, false);
	submit_move(cluster);
	json_decref(cluster_control_platform(cluster, "{\"down\":true}"));
	check_bad_version(cluster, "queries", "search");
	assert_false(verdict_is_stored(cluster));
	json_decref(cluster_control_platform(cluster, "{\"down\":false}"));
	harness_wait_until("the verdict is written", verdict_is_stored,
			   cluster);
	fleet_wait_config_active(cluster, fleet_submit_change(cluster));
	assert_true(all_fronts_in_state(&poll));
	harness_wait_until("the verdict is written to the new configuration",
			   verdict_is_stored, cluster);
	fleet_kill_instance(cluster, &cluster->instances[0]);
	fleet_start_instance(cluster, &cluster->instances[0]);
	harness_wait_until("a restarted front has the verdict",
			   all_fronts_in_state, &poll);
	end_load();
}

static void test_bad_on_one_route(void **state)
{
	cluster_t *cluster = *state;

	cluster_start(cluster);
	set_new_version_behaviour(cluster, "{\"fail_run_percent\":100}");
	start_load(cluster, cluster->instance_count, true);
	submit_move(cluster);
	check_bad_version(cluster, "runs", "run");
	harness_wait_until("the verdict is written", verdict_is_stored,
			   cluster);
	end_load();
}

static int set_up(void **state)
{
	cluster_params_t params = {
		.name = "move",
		.data_centers = DATA_CENTERS,
		.instances = INSTANCES,
		.shards = SHARDS,
		.snapshots = 1,
		.versions = 2,
	};

	*state = cluster_create(&params);
	return *state ? 0 : -1;
}

static int tear_down(void **state)
{
	if (load.state)
		end_load();
	cluster_destroy(*state);
	return 0;
}

#define MOVE_TEST(test) cmocka_unit_test_setup_teardown(test, set_up, tear_down)

int main(void)
{
	const struct CMUnitTest tests[] = {
		MOVE_TEST(test_good_then_bad),
		MOVE_TEST(test_bad_from_start),
		MOVE_TEST(test_bad_on_one_route),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
