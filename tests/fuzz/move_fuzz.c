/*
 * Stateful fuzzing of the move library. Three instances with different clocks
 * move a service to a new version that is good, fails from the start or fails
 * later, on all routes or on one. The oracle counts the requests that each
 * version really got and checks that the share is small until enough outcomes
 * were seen on every route, that a verdict is permanent, that a bad version
 * gets few requests, and that a good one has all traffic at done_by.
 */
#include <stdlib.h>
#include <string.h>

#include "mc/move.h"

enum {
	INSTANCES = 3,
	ROUTES = 2,
	START_MS = 1000 * 1000,
	DURATION_MS = 600 * 1000,
	DONE_BY_MS = START_MS + DURATION_MS,
	CLOCK_DIFFERENCE_MS = 3 * 1000,
	/* Minimum time for which the versions are compared after done_by. */
	SETTLED_MS = 600 * 1000,
	/* Minimum samples on a route for a good judgement. */
	MIN_SAMPLES = 20,
	/*
	 * Samples on a route with which a good version is certainly judged
	 * good.
	 */
	AMPLE_SAMPLES = 100,
	/*
	 * Maximum failures that one instance may see of a version that always
	 * fails.
	 */
	BAD_REQUESTS_MAX = 64,
	BATCH_MAX = 64,
	SEEDED_STEPS = 64,
	PENDING_MAX = 4,
	/*
	 * Requests at the end of some cases: enough for AMPLE_SAMPLES even at
	 * the smallest share.
	 */
	LAST_REQUESTS = 5000,
};

typedef struct {
	mc_move_controller_t *controller;
	mc_ms_t clock_offset;
	bool taken_back;
	uint64_t old[ROUTES];
	uint64_t bad;
	/* The counts of each instance, as far as this one has received them. */
	uint64_t known[INSTANCES][2][ROUTES];
	/* Whether it knew AMPLE_SAMPLES shortly before done_by. */
	bool had_ample_samples;
} instance_t;

static struct {
	instance_t instances[INSTANCES];
	mc_move_digest_t pending[PENDING_MAX];
	mc_random_t random;
	mc_ms_t now;
	bool bad;
	uint32_t bad_route;
	mc_ms_t bad_from;
	uint64_t new[ROUTES];
	mc_move_t move;
} model;

static const mc_service_t SERVICE = { .name = "pots" };
static const mc_target_t TARGETS[] = {
	{ .version = "v1", .address = "10.0.0.1:1" },
	{ .version = "v2", .address = "10.0.0.2:1" },
};

static mc_config_t make_config(void)
{
	return (mc_config_t){
		.service_count = 1,
		.services = &SERVICE,
		.target_count = MC_ARRAY_LEN(TARGETS),
		.targets = TARGETS,
		.move_count = 1,
		.moves = &model.move,
	};
}

static void require(bool condition)
{
	if (!condition)
		abort();
}

static double share_of(const instance_t *instance)
{
	const char *from, *to;

	return mc_move_controller_share(instance->controller, 0, &from, &to);
}

/* Returns whether any route with traffic of the old version lacks samples. */
static bool lacks_samples(const instance_t *instance)
{
	bool traffic = false;
	uint32_t route;

	for (route = 0; route < ROUTES; route++) {
		if (instance->old[route] && model.new[route] < MIN_SAMPLES)
			return true;
		traffic |= model.new[route] >= MIN_SAMPLES;
	}
	return !traffic;
}

static bool has_ample_samples(const instance_t *instance)
{
	uint64_t sum[2][ROUTES] = { 0 };
	uint32_t i, route;
	bool traffic = false;

	for (i = 0; i < INSTANCES; i++)
		for (route = 0; route < ROUTES; route++) {
			sum[0][route] += instance->known[i][0][route];
			sum[1][route] += instance->known[i][1][route];
		}
	for (route = 0; route < ROUTES; route++) {
		if (sum[0][route] && sum[1][route] < AMPLE_SAMPLES)
			return false;
		traffic |= sum[0][route] > 0;
	}
	return traffic;
}

/* A finished move is not judged any more: the old version may be gone. */
static bool is_unfinished(const instance_t *instance)
{
	mc_move_status_t status;

	mc_move_controller_get_status(instance->controller, 0, &status);
	return status.state != MC_MOVE_FINISHED;
}

static void check(instance_t *instance)
{
	double share = share_of(instance);
	mc_move_status_t status;

	mc_move_controller_get_status(instance->controller, 0, &status);
	if (model.now < DONE_BY_MS - 2 * CLOCK_DIFFERENCE_MS)
		instance->had_ample_samples = has_ample_samples(instance);
	require(share >= 0 && share <= 1 && share == status.share);
	if (model.now < START_MS)
		require(share == 0);
	if (model.now < DONE_BY_MS && lacks_samples(instance))
		require(share <= 0.05);
	if (!is_unfinished(instance))
		require(model.now >= DONE_BY_MS + SETTLED_MS);
	if (instance->taken_back)
		require(status.state == MC_MOVE_TAKEN_BACK);
	instance->taken_back = status.state == MC_MOVE_TAKEN_BACK;
	require(!instance->taken_back || share == 0);
	require(instance->bad <= BAD_REQUESTS_MAX);
}

static mc_ms_t wall_of(const instance_t *instance)
{
	return model.now + instance->clock_offset;
}

static void request(instance_t *instance)
{
	uint32_t route = mc_random_below(&model.random, ROUTES);
	bool new = mc_random_unit(&model.random) < share_of(instance);
	bool bad = new &&model.bad &&model.now >= model.bad_from &&
		   (model.bad_route == ROUTES || model.bad_route == route);
	bool failed = bad || mc_random_unit(&model.random) < 0.002;

	if (new)
		model.new[route]++;
	else
		instance->old[route]++;
	instance->bad += bad && is_unfinished(instance);
	instance->known[instance - model.instances][new][route]++;
	mc_move_controller_record_outcome(
		instance->controller, 0, new ? "v2" : "v1", route, failed,
		5 + mc_random_below(&model.random, 10), wall_of(instance));
	check(instance);
}

static void merge_known(instance_t *instance, const mc_move_digest_t *digest)
{
	const mc_move_counts_t *counts;
	uint32_t version, route;
	uint64_t samples, *known;

	for (version = 0; version < 2; version++)
		for (route = 0; route < ROUTES; route++) {
			counts = &digest->counts[version][route];
			samples = counts->answered + counts->failed;
			known = &instance->known[digest->origin - 1][version]
						[route];
			if (samples > *known)
				*known = samples;
		}
}

/* Delivers a digest, possibly late or twice. */
static void exchange(instance_t *to, uint32_t from, uint32_t slot)
{
	mc_move_digest_t *pending = &model.pending[slot % PENDING_MAX];

	if (pending->move_hash) {
		mc_move_controller_merge_digest(to->controller, pending,
						wall_of(to));
		merge_known(to, pending);
		require(!pending->taken_back || share_of(to) == 0);
		check(to);
	}
	if (slot & PENDING_MAX)
		mc_move_controller_get_digest(model.instances[from].controller,
					      0, pending);
}

static void step(uint8_t op, uint8_t arg)
{
	instance_t *instance = &model.instances[arg % INSTANCES];
	mc_config_t config = make_config();
	uint32_t i;

	switch (op % 8) {
	case 0:
	case 1:
	case 2:
		for (i = 0; i < arg % BATCH_MAX; i++)
			request(instance);
		break;
	case 3:
		exchange(instance, op % INSTANCES, arg / INSTANCES);
		break;
	case 4:
		mc_move_controller_set_config(instance->controller, &config,
					      wall_of(instance));
		break;
	default:
		model.now += arg * 200;
	}
	for (i = 0; i < INSTANCES; i++) {
		mc_move_controller_tick(model.instances[i].controller,
					wall_of(&model.instances[i]));
		check(&model.instances[i]);
	}
}

static void start(uint64_t seed)
{
	mc_config_t config;
	uint32_t i;

	memset(&model, 0, sizeof(model));
	mc_random_seed(&model.random, seed);
	model.now = START_MS - 2 * CLOCK_DIFFERENCE_MS;
	model.bad = mc_random_below(&model.random, 2);
	model.bad_route = mc_random_below(&model.random, ROUTES + 1);
	model.bad_from =
		model.now + mc_random_below(&model.random, 2 * DURATION_MS);
	if (mc_random_below(&model.random, 2))
		model.bad_from = 0;
	model.move = (mc_move_t){
		.from = "v1",
		.to = "v2",
		.start = START_MS,
		.done_by = DONE_BY_MS,
		.without_evidence = mc_random_below(&model.random, 2)
					    ? MC_MOVE_FALLBACK_FINISH
					    : MC_MOVE_FALLBACK_TAKE_BACK,
	};
	config = make_config();
	for (i = 0; i < INSTANCES; i++) {
		model.instances[i].controller =
			mc_move_controller_create(i + 1);
		model.instances[i].clock_offset =
			(mc_ms_t)mc_random_below(&model.random,
						 2 * CLOCK_DIFFERENCE_MS) -
			CLOCK_DIFFERENCE_MS;
		mc_move_controller_set_config(model.instances[i].controller,
					      &config,
					      wall_of(&model.instances[i]));
	}
}

/* Makes enough requests for a judgement and exchanges all digests. */
static void judge_all(void)
{
	mc_move_digest_t digest;
	uint32_t i, j;

	if (model.now < START_MS + DURATION_MS / 4)
		model.now = START_MS + DURATION_MS / 4;
	for (i = 0; i < INSTANCES; i++)
		mc_move_controller_tick(model.instances[i].controller,
					wall_of(&model.instances[i]));
	for (i = 0; i < LAST_REQUESTS; i++)
		request(&model.instances[i % INSTANCES]);
	for (i = 0; i < INSTANCES; i++) {
		mc_move_controller_get_digest(model.instances[i].controller, 0,
					      &digest);
		for (j = 0; j < INSTANCES; j++) {
			mc_move_controller_merge_digest(
				model.instances[j].controller, &digest,
				wall_of(&model.instances[j]));
			if (i != j)
				merge_known(&model.instances[j], &digest);
			check(&model.instances[j]);
		}
	}
}

/* Advances the time past done_by. */
static void finish(void)
{
	uint32_t i;

	if (model.now < DONE_BY_MS && !mc_random_below(&model.random, 8))
		judge_all();
	if (model.now < DONE_BY_MS + 10 * 1000)
		model.now = DONE_BY_MS + 10 * 1000;
	for (i = 0; i < INSTANCES; i++) {
		mc_move_controller_tick(model.instances[i].controller,
					wall_of(&model.instances[i]));
		check(&model.instances[i]);
	}
}

static bool saw_bad(void)
{
	uint32_t i;

	for (i = 0; i < INSTANCES; i++)
		if (model.instances[i].bad)
			return true;
	return false;
}

static void check_end(void)
{
	bool ample = true;
	uint32_t i;

	for (i = 0; i < INSTANCES; i++)
		ample &= model.instances[i].had_ample_samples;
	if (saw_bad() || (!ample && model.move.without_evidence ==
					    MC_MOVE_FALLBACK_TAKE_BACK))
		return;
	for (i = 0; i < INSTANCES; i++)
		require(share_of(&model.instances[i]) == 1);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	uint32_t i;
	size_t at;

	start(mc_hash_bytes(data, size));
	for (at = 0; at + 1 < size; at += 2)
		step(data[at], data[at + 1]);
	for (at = 0; at < SEEDED_STEPS; at++)
		step((uint8_t)mc_random_u32(&model.random),
		     (uint8_t)mc_random_u32(&model.random));
	finish();
	check_end();
	for (i = 0; i < INSTANCES; i++)
		mc_move_controller_destroy(model.instances[i].controller);
	return 0;
}
