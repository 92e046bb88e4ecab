/*
 * Stateful fuzzing of the move library. Three instances with clocks that
 * differ move a service whose new version is good, fails from the start or
 * fails later, on all routes or on one. The oracle counts what the versions
 * were really sent and states the promises: a small share until enough was
 * seen on every route, a verdict that stays, few requests to a bad version,
 * and a good one that has all traffic at its time.
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
	/* A move is watched at least so long after its time. */
	SETTLED_MS = 600 * 1000,
	/* Samples of a route without which a version can't be judged. */
	ENOUGH = 20,
	/* Samples of a route with which a good version is surely judged. */
	PLENTY = 100,
	/* Failures that one instance may see of a version that only fails. */
	BAD_MAX = 64,
	BATCH_MAX = 64,
	SEEDED_STEPS = 64,
	PENDING_MAX = 4,
	/* Requests at the end of some cases: plenty, at the least share. */
	LAST_REQUESTS = 5000,
};

typedef struct {
	mc_move_controller_t *mover;
	mc_ms_t clock;
	bool taken_back;
	uint64_t old[ROUTES];
	uint64_t bad;
	/* What each instance has counted, as far as this one was told. */
	uint64_t known[INSTANCES][2][ROUTES];
	/* It knew plenty when the move's time came. */
	bool knew_plenty;
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
} world;

static const mc_service_t SERVICE = { .name = "pots" };
static const mc_target_t TARGETS[] = {
	{ .version = "v1", .address = "10.0.0.1:1" },
	{ .version = "v2", .address = "10.0.0.2:1" },
};

static mc_config_t config_now(void)
{
	return (mc_config_t){
		.service_count = 1,
		.services = &SERVICE,
		.target_count = MC_ARRAY_LEN(TARGETS),
		.targets = TARGETS,
		.move_count = 1,
		.moves = &world.move,
	};
}

static void require(bool promise)
{
	if (!promise)
		abort();
}

static double share_of(const instance_t *instance)
{
	const char *from, *to;

	return mc_move_controller_share(instance->mover, 0, &from, &to);
}

/* Whether some route with traffic of the old version lacks samples. */
static bool lacks_evidence(const instance_t *instance)
{
	bool traffic = false;
	uint32_t route;

	for (route = 0; route < ROUTES; route++) {
		if (instance->old[route] && world.new[route] < ENOUGH)
			return true;
		traffic |= world.new[route] >= ENOUGH;
	}
	return !traffic;
}

static bool knows_plenty(const instance_t *instance)
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
		if (sum[0][route] && sum[1][route] < PLENTY)
			return false;
		traffic |= sum[0][route] > 0;
	}
	return traffic;
}

/* A settled move is watched no longer: the old version may be gone. */
static bool is_watched(const instance_t *instance)
{
	mc_move_status_t status;

	mc_move_controller_get_status(instance->mover, 0, &status);
	return status.state != MC_MOVE_FINISHED;
}

static void check(instance_t *instance)
{
	double share = share_of(instance);
	mc_move_status_t status;

	mc_move_controller_get_status(instance->mover, 0, &status);
	if (world.now < DONE_BY_MS - 2 * CLOCK_DIFFERENCE_MS)
		instance->knew_plenty = knows_plenty(instance);
	require(share >= 0 && share <= 1 && share == status.share);
	if (world.now < START_MS)
		require(share == 0);
	if (world.now < DONE_BY_MS && lacks_evidence(instance))
		require(share <= 0.05);
	if (!is_watched(instance))
		require(world.now >= DONE_BY_MS + SETTLED_MS);
	if (instance->taken_back)
		require(status.state == MC_MOVE_TAKEN_BACK);
	instance->taken_back = status.state == MC_MOVE_TAKEN_BACK;
	require(!instance->taken_back || share == 0);
	require(instance->bad <= BAD_MAX);
}

static mc_ms_t wall_of(const instance_t *instance)
{
	return world.now + instance->clock;
}

static void request(instance_t *instance)
{
	uint32_t route = mc_random_below(&world.random, ROUTES);
	bool new = mc_random_unit(&world.random) < share_of(instance);
	bool bad = new &&world.bad &&world.now >= world.bad_from &&
		   (world.bad_route == ROUTES || world.bad_route == route);
	bool failed = bad || mc_random_unit(&world.random) < 0.002;

	if (new)
		world.new[route]++;
	else
		instance->old[route]++;
	instance->bad += bad && is_watched(instance);
	instance->known[instance - world.instances][new][route]++;
	mc_move_controller_record_outcome(
		instance->mover, 0, new ? "v2" : "v1", route, failed,
		5 + mc_random_below(&world.random, 10), wall_of(instance));
	check(instance);
}

static void learn(instance_t *instance, const mc_move_digest_t *digest)
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

/* A digest arrives, perhaps late, perhaps twice. */
static void exchange(instance_t *to, uint32_t from, uint32_t slot)
{
	mc_move_digest_t *pending = &world.pending[slot % PENDING_MAX];

	if (pending->move_hash) {
		mc_move_controller_merge_digest(to->mover, pending,
						wall_of(to));
		learn(to, pending);
		require(!pending->taken_back || share_of(to) == 0);
		check(to);
	}
	if (slot & PENDING_MAX)
		mc_move_controller_get_digest(world.instances[from].mover, 0,
					      pending);
}

static void step(uint8_t op, uint8_t arg)
{
	instance_t *instance = &world.instances[arg % INSTANCES];
	mc_config_t config = config_now();
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
		mc_move_controller_set_config(instance->mover, &config,
					      wall_of(instance));
		break;
	default:
		world.now += arg * 200;
	}
	for (i = 0; i < INSTANCES; i++) {
		mc_move_controller_tick(world.instances[i].mover,
					wall_of(&world.instances[i]));
		check(&world.instances[i]);
	}
}

static void start(uint64_t seed)
{
	mc_config_t config;
	uint32_t i;

	memset(&world, 0, sizeof(world));
	mc_random_seed(&world.random, seed);
	world.now = START_MS - 2 * CLOCK_DIFFERENCE_MS;
	world.bad = mc_random_below(&world.random, 2);
	world.bad_route = mc_random_below(&world.random, ROUTES + 1);
	world.bad_from =
		world.now + mc_random_below(&world.random, 2 * DURATION_MS);
	if (mc_random_below(&world.random, 2))
		world.bad_from = 0;
	world.move = (mc_move_t){
		.from = "v1",
		.to = "v2",
		.start = START_MS,
		.done_by = DONE_BY_MS,
		.without_evidence = mc_random_below(&world.random, 2)
					    ? MC_MOVE_FALLBACK_FINISH
					    : MC_MOVE_FALLBACK_TAKE_BACK,
	};
	config = config_now();
	for (i = 0; i < INSTANCES; i++) {
		world.instances[i].mover = mc_move_controller_create(i + 1);
		world.instances[i].clock =
			(mc_ms_t)mc_random_below(&world.random,
						 2 * CLOCK_DIFFERENCE_MS) -
			CLOCK_DIFFERENCE_MS;
		mc_move_controller_set_config(world.instances[i].mover, &config,
					      wall_of(&world.instances[i]));
	}
}

/* Enough traffic for a judgement, and everybody hears everything. */
static void settle_evidence(void)
{
	mc_move_digest_t digest;
	uint32_t i, j;

	if (world.now < START_MS + DURATION_MS / 4)
		world.now = START_MS + DURATION_MS / 4;
	for (i = 0; i < INSTANCES; i++)
		mc_move_controller_tick(world.instances[i].mover,
					wall_of(&world.instances[i]));
	for (i = 0; i < LAST_REQUESTS; i++)
		request(&world.instances[i % INSTANCES]);
	for (i = 0; i < INSTANCES; i++) {
		mc_move_controller_get_digest(world.instances[i].mover, 0,
					      &digest);
		for (j = 0; j < INSTANCES; j++) {
			mc_move_controller_merge_digest(
				world.instances[j].mover, &digest,
				wall_of(&world.instances[j]));
			if (i != j)
				learn(&world.instances[j], &digest);
			check(&world.instances[j]);
		}
	}
}

/* The move's time comes, if it has not yet. */
static void finish(void)
{
	uint32_t i;

	if (world.now < DONE_BY_MS && !mc_random_below(&world.random, 8))
		settle_evidence();
	if (world.now < DONE_BY_MS + 10 * 1000)
		world.now = DONE_BY_MS + 10 * 1000;
	for (i = 0; i < INSTANCES; i++) {
		mc_move_controller_tick(world.instances[i].mover,
					wall_of(&world.instances[i]));
		check(&world.instances[i]);
	}
}

static bool saw_bad(void)
{
	uint32_t i;

	for (i = 0; i < INSTANCES; i++)
		if (world.instances[i].bad)
			return true;
	return false;
}

static void check_end(void)
{
	bool plenty = true;
	uint32_t i;

	for (i = 0; i < INSTANCES; i++)
		plenty &= world.instances[i].knew_plenty;
	if (saw_bad() || (!plenty && world.move.without_evidence ==
					     MC_MOVE_FALLBACK_TAKE_BACK))
		return;
	for (i = 0; i < INSTANCES; i++)
		require(share_of(&world.instances[i]) == 1);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	uint32_t i;
	size_t at;

	start(mc_hash_bytes(data, size));
	for (at = 0; at + 1 < size; at += 2)
		step(data[at], data[at + 1]);
	for (at = 0; at < SEEDED_STEPS; at++)
		step((uint8_t)mc_random_u32(&world.random),
		     (uint8_t)mc_random_u32(&world.random));
	finish();
	check_end();
	for (i = 0; i < INSTANCES; i++)
		mc_move_controller_destroy(world.instances[i].mover);
	return 0;
}
