/*
 * System tests of version moves under load: a good version finishes by its
 * time, a bad one is taken back, and the verdict lasts.
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
	/* The move begins so long after its submission, and lasts so long. */
	START_AFTER_MS = 1500,
	MOVE_MS = 12000,
	/* After a verdict no work goes to the version from this time on, ms. */
	VERDICT_MS = 2000,
	QUIET_MS = 1000,
	/* Each request takes a connection, and ports are limited. */
	PAUSE_MS = 10,
	URL_SIZE = 2 * HARNESS_URL_SIZE,
	PERCENT = 100,
};

/* Largest share of a version that was not judged, and chance's part of it. */
static const double SHARE_MAX = 0.05;
static const double SHARE_CHANCE = 0.02;

/* A failed test leaves it running; tear_down() ends it. */
static cluster_load_t load;

/* Callers of the first @fronts fronts. */
static void load_start(cluster_t *cluster, uint32_t fronts, bool runs)
{
	load = (cluster_load_t){
		.cluster = cluster,
		.fronts = fronts,
		.threads = CALLERS,
		.pause_ms = PAUSE_MS,
		.runs = runs,
	};
	cluster_load_begin(&load);
}

static void load_end(void)
{
	cluster_load_end(&load);
	print_message("answers: %u complete, %u partial, %u refused, "
		      "%u broken, %u unreached\n",
		      load.complete, load.partial, load.refused, load.broken,
		      load.unreached);
}

static json_int_t work_of(const cluster_t *cluster, uint32_t version,
			  const char *counter)
{
	json_int_t sum = 0;
	uint32_t i;

	for (i = 0; i < cluster->target_count; i++)
		if (cluster->targets[i].version == version)
			sum += cluster_counter(&cluster->targets[i], counter);
	return sum;
}

static void set_new_version(const cluster_t *cluster, const char *body)
{
	uint32_t i;

	for (i = 0; i < cluster->target_count; i++)
		if (cluster->targets[i].version == 2)
			cluster_standin(&cluster->targets[i], body);
}

static void submit_move(cluster_t *cluster)
{
	cluster->move_start = mc_clock_wall(mc_clock_system()) + START_AFTER_MS;
	cluster->move_done_by = cluster->move_start + MOVE_MS;
	fleet_wait_in_force(cluster, fleet_change(cluster));
}

/* Fronts whose move is in a state, and the lowest and highest share now. */
typedef struct progress_t {
	const cluster_t *cluster;
	const char *state;
	uint32_t count;
	double lowest;
	double highest;
	char reason[HARNESS_URL_SIZE];
} progress_t;

static void read_move(progress_t *progress, const cluster_instance_t *instance)
{
	json_t *status = fleet_status(instance);
	const json_t *move =
		json_array_get(json_object_get(status, "moves"), 0);
	const char *state = json_string_value(json_object_get(move, "state"));
	double share = json_number_value(json_object_get(move, "share"));

	if (share < progress->lowest)
		progress->lowest = share;
	if (share > progress->highest)
		progress->highest = share;
	if (state && !strcmp(state, progress->state)) {
		progress->count++;
		snprintf(progress->reason, sizeof(progress->reason), "%s",
			 json_string_value(json_object_get(move, "reason")));
	}
	json_decref(status);
}

static void read_moves(progress_t *progress)
{
	uint32_t i;

	progress->count = 0;
	progress->lowest = 1;
	progress->highest = 0;
	for (i = 0; i < progress->cluster->instance_count; i++)
		read_move(progress, &progress->cluster->instances[i]);
}

static bool is_known(void *ctx)
{
	progress_t *progress = ctx;

	read_moves(progress);
	return progress->count > 0;
}

/* Not judged yet, its share is small. */
static bool is_bad_known(void *ctx)
{
	const progress_t *progress = ctx;

	if (is_known(ctx))
		return true;
	assert_true(progress->highest <= SHARE_MAX);
	return false;
}

static bool is_known_to_all(void *ctx)
{
	progress_t *progress = ctx;

	read_moves(progress);
	return progress->count == progress->cluster->instance_count;
}

/* Shares must not fall, and rise in steps. */
static bool has_moved(void *ctx)
{
	progress_t *progress = ctx;
	double before = progress->lowest;

	read_moves(progress);
	assert_true(progress->lowest >= before);
	if (progress->lowest > before)
		print_message("share %.2f\n", progress->lowest);
	return progress->lowest >= 1;
}

/* Shares since @old_before requests had gone to the old version. */
static void check_share(const cluster_t *cluster, const char *counter,
			json_int_t old_before)
{
	double new = (double)work_of(cluster, 2, counter);
	double all = new + (double)(work_of(cluster, 1, counter) - old_before);

	print_message("%.0f of %.0f %s went to the bad version (%.2f%%)\n", new,
		      all, counter, PERCENT * new / all);
	assert_true(new > 0);
	assert_true(new <= all *(SHARE_MAX + SHARE_CHANCE));
}

/*
 * Once the first front knows, all do, and soon nothing reaches the new version
 * any more.
 */
static void check_taken_back(const cluster_t *cluster, mc_ms_t since,
			     const char *reason)
{
	progress_t progress = { .cluster = cluster, .state = "taken_back" };
	mc_ms_t known;
	json_int_t work;

	harness_wait("a front takes the move back", is_known, &progress);
	known = mc_clock_now(mc_clock_system());
	print_message("first verdict after %lld ms: %s\n",
		      (long long)(known - since), progress.reason);
	assert_non_null(strstr(progress.reason, reason));
	harness_wait("all fronts know", is_known_to_all, &progress);
	print_message("known to all fronts %lld ms later\n",
		      (long long)(mc_clock_now(mc_clock_system()) - known));
	harness_sleep(known + VERDICT_MS - mc_clock_now(mc_clock_system()));
	work = work_of(cluster, 2, "queries") + work_of(cluster, 2, "runs");
	harness_sleep(QUIET_MS);
	assert_int_equal(work_of(cluster, 2, "queries") +
				 work_of(cluster, 2, "runs"),
			 work);
}

/* Finishes in time; then its targets turn bad and it is taken back. */
static void test_good_then_bad(void **state)
{
	cluster_t *cluster = *state;
	progress_t progress = { .cluster = cluster, .state = "settling" };
	mc_ms_t since;

	cluster_start(cluster);
	load_start(cluster, cluster->instance_count, false);
	submit_move(cluster);
	harness_wait("all has moved", has_moved, &progress);
	since = mc_clock_wall(mc_clock_system());
	print_message("moved %lld ms before its time\n",
		      (long long)(cluster->move_done_by - since));
	assert_true(since <= cluster->move_done_by);
	harness_sleep(QUIET_MS);
	set_new_version(cluster, "{\"fail_search_percent\":100}");
	since = mc_clock_now(mc_clock_system());
	check_taken_back(cluster, since, "search");
	load_end();
}

static void check_bad(const cluster_t *cluster, const char *counter,
		      const char *reason)
{
	json_int_t old_before = work_of(cluster, 1, counter);
	progress_t progress = { .cluster = cluster, .state = "taken_back" };
	mc_ms_t begin = mc_clock_now(mc_clock_system());

	harness_wait("the fault shows", is_bad_known, &progress);
	check_share(cluster, counter, old_before);
	check_taken_back(cluster, begin, reason);
}

static bool is_written(void *ctx)
{
	const cluster_t *cluster = ctx;
	char url[URL_SIZE];
	harness_reply_t reply;
	bool written;

	snprintf(url, sizeof(url), "http://%s/objects/mangocove/config",
		 cluster->platform_address);
	reply = harness_http(
		&(harness_request_t){ .method = "GET", .url = url });
	written = strstr(reply.body, "taken_back = true") != NULL;
	harness_reply_free(&reply);
	return written;
}

/*
 * The store is down before the fault shows, and only the fronts of one data
 * centre have callers, so that the others know by their peers alone. An
 * operator whose text does not know of the verdict then submits it anew, which
 * does not undo it.
 */
static void test_bad_at_once(void **state)
{
	cluster_t *cluster = *state;
	progress_t progress = { .cluster = cluster, .state = "taken_back" };

	cluster_start(cluster);
	set_new_version(cluster, "{\"fail_search_percent\":100}");
	load_start(cluster, INSTANCES, false);
	submit_move(cluster);
	json_decref(cluster_platform(cluster, "{\"down\":true}"));
	check_bad(cluster, "queries", "search");
	assert_false(is_written(cluster));
	json_decref(cluster_platform(cluster, "{\"down\":false}"));
	harness_wait("the verdict is written", is_written, cluster);
	fleet_wait_in_force(cluster, fleet_change(cluster));
	assert_true(is_known_to_all(&progress));
	harness_wait("the verdict is written again", is_written, cluster);
	fleet_kill(cluster, &cluster->instances[0]);
	fleet_start(cluster, &cluster->instances[0]);
	harness_wait("a new front knows", is_known_to_all, &progress);
	load_end();
}

static void test_bad_on_one_route(void **state)
{
	cluster_t *cluster = *state;

	cluster_start(cluster);
	set_new_version(cluster, "{\"fail_run_percent\":100}");
	load_start(cluster, cluster->instance_count, true);
	submit_move(cluster);
	check_bad(cluster, "runs", "run");
	harness_wait("the verdict is written", is_written, cluster);
	load_end();
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
		load_end();
	cluster_destroy(*state);
	return 0;
}

#define MOVE_TEST(test) cmocka_unit_test_setup_teardown(test, set_up, tear_down)

int main(void)
{
	const struct CMUnitTest tests[] = {
		MOVE_TEST(test_good_then_bad),
		MOVE_TEST(test_bad_at_once),
		MOVE_TEST(test_bad_on_one_route),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
