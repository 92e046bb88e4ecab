/*
 * Fuzzes the limiters of several owners of one target. Owners join, leave and
 * crash, and the others apply such a change late; the target restarts;
 * sub-queries end in any order. The oracle counts the sub-queries at the target
 * and checks that they never exceed its capacity: 1 right after a start, the
 * maximum concurrency later.
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
	/* Maximum lifetime of a sub-query, ms. */
	QUERY_LIFE_MS = 400,
	/* Time until all processes know of a change of owners, ms. */
	VIEW_LAG_MS = 300,
	RAMP_MIN_MS = 1500,
};

/* A process that may own the target. */
typedef struct {
	mc_limiter_t *limiter;
	uint32_t view;
	uint32_t process;
} owner_t;

/* A sub-query that has not ended for its owner. */
typedef struct {
	bool used;
	bool at_target;
	uint32_t owner;
	uint32_t process;
	mc_ms_t sent_at;
} query_t;

/* The set of owners from time @since on, as a bit mask. */
typedef struct {
	uint32_t members;
	mc_ms_t since;
} view_t;

typedef struct {
	fuzz_input_t input;
	const mc_limit_policy_t *policy;
	bool adaptive;
	mc_limit_params_t params;
	bool all_answered;
	mc_ms_t now;
	mc_ms_t started;
	uint64_t start_id;
	uint32_t at_target;
	mc_ms_t settled_at;
	uint32_t view_count;
	view_t views[VIEWS];
	owner_t owners[OWNERS];
	query_t queries[QUERIES];
} model_t;

static uint32_t capacity(const model_t *model)
{
	const mc_limit_params_t *params = &model->params;
	mc_ms_t elapsed = model->now - model->started;

	if (!model->adaptive)
		return params->initial;
	/* A ramp from 1 to 1 has no duration. */
	if (!params->ramp || elapsed >= params->ramp_min ||
	    params->initial == 1)
		return params->max;
	return 1 +
	       (uint32_t)((params->initial - 1) * elapsed / params->ramp_min);
}

/* Owners or processes changed, so larger shares wait for the handover. */
static void restart_settling(model_t *model)
{
	model->settled_at =
		model->now + VIEW_LAG_MS + STEP_MAX_MS + model->params.handover;
}

/* Returns whether a process is an owner in the last view that it applied. */
static bool is_owner(const model_t *model, uint32_t index)
{
	uint32_t view = model->owners[index].view;

	return model->views[view].members >> index & 1;
}

static void apply_view(model_t *model, uint32_t index)
{
	owner_t *owner = &model->owners[index];
	uint32_t members = model->views[owner->view].members;
	uint32_t below = members & ((1U << index) - 1);
	uint32_t count = (uint32_t)__builtin_popcount(members);

	mc_limiter_set_owners(owner->limiter,
			      (uint32_t)__builtin_popcount(below),
			      is_owner(model, index) ? count : 0, model->now);
}

static void start_process(model_t *model, uint32_t index)
{
	owner_t *owner = &model->owners[index];

	mc_limiter_destroy(owner->limiter);
	owner->limiter = model->policy->create(&model->params, model->now);
	owner->process++;
	owner->view = model->view_count - 1;
	apply_view(model, index);
	restart_settling(model);
}

static void change_owners(model_t *model)
{
	uint32_t members = model->views[model->view_count - 1].members;

	members ^= 1U << fuzz_below(&model->input, OWNERS);
	if (fuzz_below(&model->input, 2))
		members ^= 1U << fuzz_below(&model->input, OWNERS);
	model->views[model->view_count++] = (view_t){
		.members = members,
		.since = model->now,
	};
	restart_settling(model);
}

/* Processes learn the views in order, some at once, all within the lag. */
static void deliver_views(model_t *model)
{
	uint32_t i;

	for (i = 0; i < OWNERS; i++) {
		owner_t *owner = &model->owners[i];

		while (owner->view + 1 < model->view_count &&
		       (model->views[owner->view + 1].since + VIEW_LAG_MS <=
				model->now ||
			!fuzz_below(&model->input, 4))) {
			owner->view++;
			apply_view(model, i);
		}
	}
}

/*
 * Restarts the target. Sub-queries in flight belong to its previous process and
 * end later. Only owners learn the new start id.
 */
static void start_target(model_t *model)
{
	uint32_t i;

	model->started = model->now;
	model->start_id++;
	for (i = 0; i < QUERIES; i++)
		model->queries[i].at_target = false;
	model->at_target = 0;
	for (i = 0; i < OWNERS; i++)
		if (is_owner(model, i))
			mc_limiter_set_start_id(model->owners[i].limiter,
						model->start_id, model->now);
}

static void end_query(model_t *model, query_t *query)
{
	static const mc_limit_outcome_t others[] = {
		MC_LIMIT_SHED,	   MC_LIMIT_SHED,     MC_LIMIT_DEADLINE,
		MC_LIMIT_FAILED,   MC_LIMIT_CANCELED, MC_LIMIT_ANSWERED,
		MC_LIMIT_ANSWERED,
	};
	const owner_t *owner = &model->owners[query->owner];
	mc_limit_outcome_t outcome = MC_LIMIT_ANSWERED;

	query->used = false;
	model->at_target -= query->at_target;
	if (query->process != owner->process)
		return;
	if (!model->all_answered)
		outcome =
			others[fuzz_below(&model->input, MC_ARRAY_LEN(others))];
	mc_limiter_release(owner->limiter, outcome, model->now - query->sent_at,
			   model->now);
	if (query->at_target)
		mc_limiter_set_start_id(owner->limiter, model->start_id,
					model->now);
}

static void end_queries(model_t *model)
{
	uint32_t odds = 1 + fuzz_below(&model->input, 8);
	uint32_t i;

	for (i = 0; i < QUERIES; i++) {
		query_t *query = &model->queries[i];

		if (query->used &&
		    (query->sent_at + QUERY_LIFE_MS <= model->now ||
		     !fuzz_below(&model->input, odds)))
			end_query(model, query);
	}
}

static void send_queries(model_t *model, uint32_t index)
{
	owner_t *owner = &model->owners[index];
	uint32_t i;

	for (i = 0; i < QUERIES; i++) {
		if (model->queries[i].used)
			continue;
		if (!mc_limiter_acquire(owner->limiter, model->now))
			break;
		model->queries[i] = (query_t){
			.used = true,
			.at_target = true,
			.owner = index,
			.process = owner->process,
			.sent_at = model->now,
		};
		model->at_target++;
		FUZZ_CHECK(model->at_target <= capacity(model),
			   "a target gets no more than its capacity");
	}
}

/* Once a change of owners has settled, the first owner always has a slot. */
static void check_shares(const model_t *model)
{
	uint32_t i, sum = 0;

	for (i = 0; i < OWNERS; i++)
		sum += mc_limiter_share(model->owners[i].limiter, model->now);
	FUZZ_CHECK(sum <= (model->adaptive ? model->params.max
					   : model->params.initial),
		   "the shares do not exceed the concurrency");
	if (model->views[model->view_count - 1].members &&
	    model->now >= model->settled_at)
		FUZZ_CHECK(sum, "a target with owners gets at least one slot");
}

static void step(model_t *model)
{
	uint32_t index = fuzz_below(&model->input, OWNERS);
	uint32_t i;

	model->now += fuzz_below(&model->input, STEP_MAX_MS);
	switch (fuzz_below(&model->input, 32)) {
	case 0:
	case 1:
		change_owners(model);
		break;
	case 2:
		start_process(model, index);
		break;
	case 3:
		if (model->params.ramp)
			start_target(model);
		break;
	case 4:
		mc_limiter_set_reported_load(
			model->owners[index].limiter,
			fuzz_u8(&model->input) / 128.0 - 0.5, model->now);
		break;
	default:
		break;
	}
	deliver_views(model);
	end_queries(model);
	for (i = 0; i < OWNERS; i++)
		send_queries(model, (index + i) % OWNERS);
	check_shares(model);
}

static void init(model_t *model)
{
	uint32_t initial = 1 + fuzz_below(&model->input, 12);
	uint32_t i;

	model->adaptive = fuzz_below(&model->input, 4);
	model->policy =
		mc_limit_find_policy(model->adaptive ? "adaptive" : "fixed");
	model->params = (mc_limit_params_t){
		.initial = initial,
		.max = initial + fuzz_below(&model->input, 2) * 8,
		.ramp = model->adaptive && fuzz_below(&model->input, 2),
		.ramp_min = RAMP_MIN_MS,
		.handover = QUERY_LIFE_MS + VIEW_LAG_MS,
	};
	model->all_answered = fuzz_below(&model->input, 2);
	model->views[0].members = fuzz_u8(&model->input);
	model->views[0].members &= (1U << OWNERS) - 1;
	model->view_count = 1;
	for (i = 0; i < OWNERS; i++)
		start_process(model, i);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	static model_t model;
	uint32_t i;

	memset(&model, 0, sizeof(model));
	model.input = fuzz_input_init(data, size);
	init(&model);
	for (i = 0; i < STEPS; i++)
		step(&model);
	for (i = 0; i < OWNERS; i++)
		mc_limiter_destroy(model.owners[i].limiter);
	return 0;
}
