/*
 * Fuzzes the limiters of several owners of one target. Owners join, leave and
 * crash, learn of it late, and the target starts anew; sub-queries end in any
 * order. The oracle counts what is at the target: never more than it bears,
 * which is 1 right after a start, and later the whole concurrency.
 */
#include <string.h>

#include "fuzz_input.h"
#include "mc/limit.h"

enum {
	STEPS = 100,
	STEP_MAX_MS = 100,
	OWNERS = 6,
	VIEWS = STEPS + 1,
	QUERIES = 128,
	/* A sub-query ends within this time, ms. */
	QUERY_LIFE_MS = 400,
	/* A change of owners is known everywhere within this time, ms. */
	VIEW_LAG_MS = 300,
	RAMP_MIN_MS = 1500,
};

/* A process that may own the target. */
typedef struct {
	mc_limiter_t *limiter;
	uint32_t view;
	uint32_t process;
} owner_t;

/* A sub-query that its owner has not got back. */
typedef struct {
	bool used;
	bool at_target;
	uint32_t owner;
	uint32_t process;
	mc_ms_t taken;
} query_t;

/* A set of owners, from some time on. */
typedef struct {
	uint32_t members;
	mc_ms_t since;
} view_t;

typedef struct {
	fuzz_input_t input;
	const mc_limit_policy_t *policy;
	bool adaptive;
	mc_limit_params_t params;
	bool calm;
	mc_ms_t now;
	mc_ms_t started;
	uint64_t start_id;
	uint32_t at_target;
	mc_ms_t unsettled_until;
	uint32_t view_count;
	view_t views[VIEWS];
	owner_t owners[OWNERS];
	query_t queries[QUERIES];
} world_t;

static uint32_t bears(const world_t *world)
{
	const mc_limit_params_t *params = &world->params;
	mc_ms_t elapsed = world->now - world->started;

	if (!world->adaptive)
		return params->initial;
	/* A ramp from 1 to 1 has no length. */
	if (!params->ramp || elapsed >= params->ramp_min ||
	    params->initial == 1)
		return params->max;
	return 1 +
	       (uint32_t)((params->initial - 1) * elapsed / params->ramp_min);
}

/* Owners or processes changed: larger shares have to wait. */
static void unsettle(world_t *world)
{
	world->unsettled_until =
		world->now + VIEW_LAG_MS + STEP_MAX_MS + world->params.handover;
}

/* Whether a process takes itself for an owner. */
static bool is_member(const world_t *world, uint32_t index)
{
	uint32_t view = world->owners[index].view;

	return world->views[view].members >> index & 1;
}

static void tell_view(world_t *world, uint32_t index)
{
	owner_t *owner = &world->owners[index];
	uint32_t members = world->views[owner->view].members;
	uint32_t below = members & ((1U << index) - 1);
	uint32_t count = (uint32_t)__builtin_popcount(members);

	mc_limiter_set_owners(owner->limiter,
			      (uint32_t)__builtin_popcount(below),
			      is_member(world, index) ? count : 0, world->now);
}

static void start_process(world_t *world, uint32_t index)
{
	owner_t *owner = &world->owners[index];

	mc_limiter_destroy(owner->limiter);
	owner->limiter = world->policy->create(&world->params, world->now);
	owner->process++;
	owner->view = world->view_count - 1;
	tell_view(world, index);
	unsettle(world);
}

static void change_owners(world_t *world)
{
	uint32_t members = world->views[world->view_count - 1].members;

	members ^= 1U << fuzz_below(&world->input, OWNERS);
	if (fuzz_below(&world->input, 2))
		members ^= 1U << fuzz_below(&world->input, OWNERS);
	world->views[world->view_count++] = (view_t){
		.members = members,
		.since = world->now,
	};
	unsettle(world);
}

/* Views arrive in their order, some at once and all within the lag. */
static void spread_views(world_t *world)
{
	uint32_t i;

	for (i = 0; i < OWNERS; i++) {
		owner_t *owner = &world->owners[i];

		while (owner->view + 1 < world->view_count &&
		       (world->views[owner->view + 1].since + VIEW_LAG_MS <=
				world->now ||
			!fuzz_below(&world->input, 4))) {
			owner->view++;
			tell_view(world, i);
		}
	}
}

/*
 * What is still out belongs to the process before; its ends come late. Only
 * owners learn of it.
 */
static void start_target(world_t *world)
{
	uint32_t i;

	world->started = world->now;
	world->start_id++;
	for (i = 0; i < QUERIES; i++)
		world->queries[i].at_target = false;
	world->at_target = 0;
	for (i = 0; i < OWNERS; i++)
		if (is_member(world, i))
			mc_limiter_set_start_id(world->owners[i].limiter,
						world->start_id, world->now);
}

static void end_query(world_t *world, query_t *query)
{
	static const mc_limit_outcome_t others[] = {
		MC_LIMIT_SHED,	   MC_LIMIT_SHED,     MC_LIMIT_DEADLINE,
		MC_LIMIT_FAILED,   MC_LIMIT_CANCELED, MC_LIMIT_ANSWERED,
		MC_LIMIT_ANSWERED,
	};
	const owner_t *owner = &world->owners[query->owner];
	mc_limit_outcome_t outcome = MC_LIMIT_ANSWERED;

	query->used = false;
	world->at_target -= query->at_target;
	if (query->process != owner->process)
		return;
	if (!world->calm)
		outcome =
			others[fuzz_below(&world->input, MC_ARRAY_LEN(others))];
	mc_limiter_release(owner->limiter, outcome, world->now - query->taken,
			   world->now);
	if (query->at_target)
		mc_limiter_set_start_id(owner->limiter, world->start_id,
					world->now);
}

static void end_queries(world_t *world)
{
	uint32_t odds = 1 + fuzz_below(&world->input, 8);
	uint32_t i;

	for (i = 0; i < QUERIES; i++) {
		query_t *query = &world->queries[i];

		if (query->used &&
		    (query->taken + QUERY_LIFE_MS <= world->now ||
		     !fuzz_below(&world->input, odds)))
			end_query(world, query);
	}
}

static void take_queries(world_t *world, uint32_t index)
{
	owner_t *owner = &world->owners[index];
	uint32_t i;

	for (i = 0; i < QUERIES; i++) {
		if (world->queries[i].used)
			continue;
		if (!mc_limiter_acquire(owner->limiter, world->now))
			break;
		world->queries[i] = (query_t){
			.used = true,
			.at_target = true,
			.owner = index,
			.process = owner->process,
			.taken = world->now,
		};
		world->at_target++;
		FUZZ_CHECK(world->at_target <= bears(world),
			   "a target gets what it bears");
	}
}

/* When owners are settled, the first always has a slot. */
static void check_shares(const world_t *world)
{
	uint32_t i, sum = 0;

	for (i = 0; i < OWNERS; i++)
		sum += mc_limiter_share(world->owners[i].limiter, world->now);
	FUZZ_CHECK(sum <= (world->adaptive ? world->params.max
					   : world->params.initial),
		   "shares add up to the whole");
	if (world->views[world->view_count - 1].members &&
	    world->now >= world->unsettled_until)
		FUZZ_CHECK(sum, "a target with owners gets at least one");
}

static void step(world_t *world)
{
	uint32_t index = fuzz_below(&world->input, OWNERS);
	uint32_t i;

	world->now += fuzz_below(&world->input, STEP_MAX_MS);
	switch (fuzz_below(&world->input, 32)) {
	case 0:
	case 1:
		change_owners(world);
		break;
	case 2:
		start_process(world, index);
		break;
	case 3:
		if (world->params.ramp)
			start_target(world);
		break;
	case 4:
		mc_limiter_set_reported_load(
			world->owners[index].limiter,
			fuzz_u8(&world->input) / 128.0 - 0.5, world->now);
		break;
	default:
		break;
	}
	spread_views(world);
	end_queries(world);
	for (i = 0; i < OWNERS; i++)
		take_queries(world, (index + i) % OWNERS);
	check_shares(world);
}

static void init(world_t *world)
{
	uint32_t initial = 1 + fuzz_below(&world->input, 12);
	uint32_t i;

	world->adaptive = fuzz_below(&world->input, 4);
	world->policy =
		mc_limit_find_policy(world->adaptive ? "adaptive" : "fixed");
	world->params = (mc_limit_params_t){
		.initial = initial,
		.max = initial + fuzz_below(&world->input, 2) * 8,
		.ramp = world->adaptive && fuzz_below(&world->input, 2),
		.ramp_min = RAMP_MIN_MS,
		.handover = QUERY_LIFE_MS + VIEW_LAG_MS,
	};
	world->calm = fuzz_below(&world->input, 2);
	world->views[0].members = fuzz_u8(&world->input);
	world->views[0].members &= (1U << OWNERS) - 1;
	world->view_count = 1;
	for (i = 0; i < OWNERS; i++)
		start_process(world, i);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	static world_t world;
	uint32_t i;

	memset(&world, 0, sizeof(world));
	world.input = fuzz_input_init(data, size);
	init(&world);
	for (i = 0; i < STEPS; i++)
		step(&world);
	for (i = 0; i < OWNERS; i++)
		mc_limiter_destroy(world.owners[i].limiter);
	return 0;
}
