/*
 * Stateful fuzzing of the router. Each case switches between the members of a
 * fixed set of configurations, with random gathers and a new router for each
 * switch. The oracle keeps the last reported state of each address. For every
 * choice it checks that the target was allowed and that no better one was
 * available. Of versions it checks only that those of a move are used and that
 * a request's version stays the same while the share does.
 */
#include <stdint.h>

#include "../config_text.h"
#include "fuzz_configs.h"
#include "fuzz_input.h"
#include "fuzz_owners.h"
#include "mc/route.h"

enum {
	DATA_CENTERS = 3,
	SERVICES = 2,
	MAX_SHARDS = 2,
	MAX_REPLICAS = 5,
	VERSIONS = 3,
	ADDRESSES = 1 + SERVICES * MAX_SHARDS * MAX_REPLICAS,
	MAX_EXCLUDED = 3,
	MAX_PENDING = 8,
	HASHES = 12,
	/* Steps in a test case. */
	STEPS = 80,
};

typedef struct {
	bool draining;
	mc_ms_t failed_until;
	mc_ms_t busy_until;
	/*
	 * The highest latency recorded, ms; an upper bound of the smoothed one.
	 */
	mc_ms_t max_latency;
} target_t;

typedef enum {
	ASSIGNED_UNKNOWN,
	ASSIGNED_OLD,
	ASSIGNED_NEW
} assigned_t;

typedef struct {
	bool active;
	double share;
	assigned_t assigned[HASHES];
} service_t;

typedef struct {
	mc_router_t *router;
	const mc_config_t *config;
	const mc_route_policy_t *policy;
	uint32_t owners;
	mc_row_t local_data_center;
	mc_random_t random;
	mc_ms_t now;
	target_t targets[ADDRESSES];
	service_t services[SERVICES];
	mc_route_gather_t gathers[MAX_GATHERS];
	bool in_use[MAX_GATHERS];
	uint32_t gather_count;
	mc_route_choice_t pending[MAX_PENDING];
	uint32_t pending_count;
} model_t;

/* One choice to be checked. */
typedef struct {
	const model_t *model;
	mc_route_query_t query;
	mc_row_t exclude[MAX_EXCLUDED];
	uint32_t serving_mask;
	uint32_t hash;
} trial_t;

static const char *const versions[VERSIONS] = { "v1", "v2", "v3" };

static void add_shard(config_text_t *text, int service, uint32_t shard,
		      mc_random_t *random, uint32_t *address)
{
	uint32_t count = 1 + mc_random_below(random, MAX_REPLICAS);
	uint32_t i;

	for (i = 0; i < count; i++)
		config_text_add(text,
				"[[target]]\nservice = \"s%d\"\n"
				"layout = \"l\"\nshard = %u\n"
				"data_center = \"c%u\"\nversion = \"%s\"\n"
				"address = \"10.0.0.%u:9000\"\n",
				service, shard,
				/*
				 * The first replica is in the data centre that
				 * is never out.
				 */
				i ? mc_random_below(random, DATA_CENTERS) : 0,
				versions[mc_random_below(random, VERSIONS)],
				++*address);
}

static const mc_config_t *make_config(uint64_t seed)
{
	config_text_t text = { 0 };
	uint32_t address = 0;
	mc_random_t random;
	uint32_t shard;
	int i;

	mc_random_seed(&random, seed);
	for (i = 0; i < DATA_CENTERS; i++)
		config_text_add(&text,
				"[[data_center]]\nname = \"c%d\"\n"
				"state = \"%s\"\n",
				i, i && seed >> i & 1 ? "out" : "in");
	for (i = 0; i < SERVICES; i++) {
		config_text_add(&text,
				"[[service]]\nname = \"s%d\"\n"
				"deadline_ms = 9\n[[layout]]\n"
				"service = \"s%d\"\nname = \"l\"\n"
				"documents = [1, 1]\n",
				i, i);
		for (shard = 0; shard < MAX_SHARDS; shard++)
			add_shard(&text, i, shard, &random, &address);
	}
	return config_text_parse(&text);
}

int LLVMFuzzerInitialize(int *argc, char ***argv)
{
	(void)argc;
	(void)argv;
	return fuzz_configs_make(make_config);
}

/* Number N of the address "10.0.0.N:9000". */
static uint32_t address_of(const mc_config_t *config, mc_row_t target)
{
	return (uint32_t)atoi(config->targets[target].address + 7);
}

static mc_row_t pick_target(const mc_config_t *config, fuzz_input_t *input)
{
	return config->target_count ? fuzz_below(input, config->target_count)
				    : 0;
}

static bool has_address(const mc_config_t *config, uint32_t address)
{
	mc_row_t i;

	for (i = 0; i < config->target_count; i++)
		if (address_of(config, i) == address)
			return true;
	return false;
}

/* Returns whether @gather is among the owners of @target. */
static bool owns(const model_t *model, uint32_t gather, mc_row_t target)
{
	const mc_target_t *row = &model->config->targets[target];
	const mc_route_gather_t *self = &model->gathers[gather];
	uint64_t weight = mc_hash_pair(row->key, self->key);
	uint32_t i, before = 0;

	if (self->data_center != row->data_center)
		return false;
	for (i = 0; i < model->gather_count; i++)
		if (model->gathers[i].data_center == row->data_center &&
		    mc_hash_pair(row->key, model->gathers[i].key) > weight)
			before++;
	return before < model->owners;
}

static bool is_usable(const model_t *model, mc_row_t target)
{
	const mc_config_t *config = model->config;
	uint32_t i;

	if (config->data_centers[config->targets[target].data_center]
		    .out_of_service ||
	    model->targets[address_of(config, target)].draining)
		return false;
	for (i = 0; i < model->gather_count; i++)
		if (model->gathers[i].usable && owns(model, i, target))
			return true;
	return false;
}

static void fill_gathers(model_t *model, fuzz_input_t *input)
{
	uint32_t i;

	model->gather_count = 1 + fuzz_below(input, MAX_GATHERS);
	for (i = 0; i < model->gather_count; i++)
		model->gathers[i] = (mc_route_gather_t){
			.key = mc_hash_pair(i, 77),
			.data_center = fuzz_below(input, DATA_CENTERS),
			.usable = fuzz_below(input, 4) != 0,
			.in_flight = fuzz_below(input, 3),
		};
}

static void change_router(model_t *model, fuzz_input_t *input)
{
	mc_router_t *previous = model->router;
	const mc_config_t *old = model->config;
	mc_router_params_t params = {
		.policy = model->policy,
		.owners_per_target = model->owners,
		.data_center = model->local_data_center,
		.gathers = model->gathers,
		.previous = previous,
	};
	uint32_t i;

	model->config = fuzz_configs[fuzz_below(input, FUZZ_CONFIG_COUNT)];
	fill_gathers(model, input);
	params.config = model->config;
	params.gather_count = model->gather_count;
	model->router = mc_router_create(&params);
	mc_router_destroy(previous);
	for (i = 0; i < ADDRESSES; i++)
		if (!old || !has_address(old, i))
			model->targets[i] = (target_t){ 0 };
	memset(model->services, 0, sizeof(model->services));
	memset(model->in_use, 0, sizeof(model->in_use));
	model->pending_count = 0;
}

/*
 * A larger share only adds requests to the new version, a smaller one only
 * removes some.
 */
static void change_share(model_t *model, fuzz_input_t *input)
{
	static const double shares[] = { 0, 0.1, 0.5, 0.9, 1 };
	mc_row_t row = fuzz_below(input, SERVICES);
	double share = shares[fuzz_below(input, MC_ARRAY_LEN(shares))];
	service_t *service = &model->services[row];
	uint32_t i;

	mc_router_set_version_share(model->router, row, "v1", "v2", share);
	for (i = 0; i < HASHES; i++) {
		assigned_t *assigned = &service->assigned[i];

		if ((*assigned == ASSIGNED_NEW && share < service->share) ||
		    (*assigned == ASSIGNED_OLD && share > service->share))
			*assigned = ASSIGNED_UNKNOWN;
		if (share == 0 || share == 1)
			*assigned = share == 0 ? ASSIGNED_OLD : ASSIGNED_NEW;
	}
	service->active = true;
	service->share = share;
}

static void change_target(model_t *model, fuzz_input_t *input)
{
	mc_row_t row = pick_target(model->config, input);
	mc_route_target_state_t state =
		(mc_route_target_state_t)fuzz_below(input, 4);
	target_t *target = &model->targets[address_of(model->config, row)];

	mc_router_set_target_state(model->router, row, state, model->now);
	if (state == MC_ROUTE_TARGET_FAILED)
		target->failed_until = model->now + MC_ROUTE_FAILED_MS;
	else if (state == MC_ROUTE_TARGET_BUSY)
		target->busy_until = model->now + MC_ROUTE_BUSY_MS;
	else
		target->draining = state == MC_ROUTE_TARGET_DRAINING;
}

static void change_gather(model_t *model, fuzz_input_t *input)
{
	uint32_t gather = fuzz_below(input, model->gather_count);
	bool usable = fuzz_below(input, 2);

	mc_router_set_gather_usable(model->router, gather, usable);
	model->gathers[gather].usable = usable;
}

static bool serves(void *ctx, mc_row_t target)
{
	const trial_t *trial = ctx;

	return trial->serving_mask >> target % 8 & 1;
}

static bool is_excluded(const trial_t *trial, mc_row_t target)
{
	uint32_t i;

	for (i = 0; i < trial->query.exclude_count; i++)
		if (trial->exclude[i] == target)
			return true;
	return false;
}

static bool holds_shard(const trial_t *trial, mc_row_t target)
{
	const mc_target_t *row = &trial->model->config->targets[target];

	return row->layout == trial->query.layout &&
	       row->shard == trial->query.shard;
}

/* Returns whether the target may be chosen, apart from its version. */
static bool is_eligible(trial_t *trial, mc_row_t target)
{
	return holds_shard(trial, target) && !is_excluded(trial, target) &&
	       is_usable(trial->model, target) && serves(trial, target);
}

static bool has_failed(const trial_t *trial, mc_row_t target)
{
	const model_t *model = trial->model;

	return trial->query.now <
	       model->targets[address_of(model->config, target)].failed_until;
}

static bool has_version(const trial_t *trial, mc_row_t target,
			const char *version)
{
	return !strcmp(trial->model->config->targets[target].version, version);
}

static const service_t *service_of(const trial_t *trial)
{
	const model_t *model = trial->model;

	return &model->services[model->config->layouts[trial->query.layout]
					.service];
}

/*
 * Returns whether another replica may be preferred: the target is at its limit,
 * or its latency exceeded the 5 ms above which it may count as slow.
 */
static bool may_rank_below(const trial_t *trial, mc_row_t target)
{
	const model_t *model = trial->model;
	const target_t *known =
		&model->targets[address_of(model->config, target)];

	return trial->query.now < known->busy_until || known->max_latency > 5;
}

/*
 * Returns whether a target can be used: of @version unless that is NULL, and
 * not a failed one unless @with_failed.
 */
static bool target_exists(trial_t *trial, const char *version, bool with_failed)
{
	mc_row_t i;

	for (i = 0; i < trial->model->config->target_count; i++)
		if (is_eligible(trial, i) &&
		    (!version || has_version(trial, i, version)) &&
		    (with_failed || !has_failed(trial, i)))
			return true;
	return false;
}

static void record_assigned(model_t *model, const trial_t *trial,
			    assigned_t assigned)
{
	mc_row_t row = model->config->layouts[trial->query.layout].service;
	assigned_t *known = &model->services[row].assigned[trial->hash];

	FUZZ_CHECK(*known == ASSIGNED_UNKNOWN || *known == assigned,
		   "a request keeps its version while the share does");
	*known = assigned;
}

static void check_version(model_t *model, trial_t *trial, mc_row_t target)
{
	if (!service_of(trial)->active)
		return;
	if (has_version(trial, target, "v2")) {
		record_assigned(model, trial, ASSIGNED_NEW);
		return;
	}
	FUZZ_CHECK(has_version(trial, target, "v1"),
		   "a move's requests use its two versions");
	if (target_exists(trial, "v2", has_failed(trial, target)))
		record_assigned(model, trial, ASSIGNED_OLD);
}

static void check_preference(trial_t *trial, mc_row_t target)
{
	const model_t *model = trial->model;
	const mc_target_t *targets = model->config->targets;
	const char *version = NULL;
	mc_row_t i;

	if (service_of(trial)->active)
		version = targets[target].version;
	if (has_failed(trial, target))
		FUZZ_CHECK(!target_exists(trial, version, false),
			   "a failed target is chosen only without another");
	if (targets[target].data_center == model->local_data_center)
		return;
	for (i = 0; i < model->config->target_count; i++)
		FUZZ_CHECK(targets[i].data_center != model->local_data_center ||
				   !is_eligible(trial, i) ||
				   (version &&
				    strcmp(targets[i].version, version)) ||
				   may_rank_below(trial, i) ||
				   has_failed(trial, i) !=
					   has_failed(trial, target),
			   "replicas in the local data centre are preferred");
}

static void check_gather(const model_t *model, mc_route_choice_t choice)
{
	const mc_route_gather_t *chosen = &model->gathers[choice.gather];
	uint32_t i;

	FUZZ_CHECK(choice.gather < model->gather_count && chosen->usable &&
			   owns(model, choice.gather, choice.target),
		   "the gather is a usable owner of the target");
	for (i = 0; i < model->gather_count; i++) {
		if (!model->gathers[i].usable || !owns(model, i, choice.target))
			continue;
		FUZZ_CHECK(model->in_use[choice.gather] || !model->in_use[i],
			   "a gather that the request uses is preferred");
		FUZZ_CHECK(model->in_use[choice.gather] != model->in_use[i] ||
				   chosen->in_flight <=
					   model->gathers[i].in_flight,
			   "the gather with the fewest sub-queries is chosen");
	}
}

static void check_refusal(model_t *model, trial_t *trial, mc_err_t err)
{
	const mc_config_t *config = model->config;
	uint32_t left = 0, out = 0;
	mc_row_t i;

	for (i = 0; i < config->target_count; i++) {
		if (!holds_shard(trial, i) || is_excluded(trial, i))
			continue;
		left++;
		out += config->data_centers[config->targets[i].data_center]
			       .out_of_service;
	}
	FUZZ_CHECK(err == (left && left == out ? MC_ERR_DATA_CENTER_OUT
					       : MC_ERR_NO_TARGET),
		   "the error tells whether data centres are out");
	if (!service_of(trial)->active) {
		FUZZ_CHECK(!target_exists(trial, NULL, true),
			   "a usable target is found if there is one");
		return;
	}
	FUZZ_CHECK(
		!target_exists(trial, "v1", true),
		"a usable target of the old version is found if there is one");
	if (target_exists(trial, "v2", true))
		record_assigned(model, trial, ASSIGNED_OLD);
}

static void check_repeat(model_t *model, const trial_t *trial, mc_row_t target)
{
	mc_route_choice_t again;
	mc_err_t err;

	if (model->policy != mc_route_find_policy("hash"))
		return;
	err = mc_router_choose(model->router, &trial->query, &model->random,
			       &again);
	FUZZ_CHECK(!err && again.target == target,
		   "consistent hashing chooses the same target again");
	model->in_use[again.gather] = true;
}

static void choose(model_t *model, fuzz_input_t *input)
{
	trial_t trial = {
		.model = model,
		.hash = fuzz_below(input, HASHES),
		.query.layout = fuzz_below(input, SERVICES),
		.query.shard = fuzz_below(input, MAX_SHARDS),
		.query.exclude_count = fuzz_below(input, MAX_EXCLUDED + 1),
		.query.serves = serves,
		.query.now = model->now,
	};
	mc_route_choice_t choice;
	mc_err_t err;
	uint32_t i;

	for (i = 0; i < trial.query.exclude_count; i++)
		trial.exclude[i] = pick_target(model->config, input);
	trial.serving_mask =
		fuzz_below(input, 2) ? 0xff : fuzz_below(input, 256);
	trial.query.exclude = trial.exclude;
	trial.query.serves_ctx = &trial;
	trial.query.request_hash = mc_hash_pair(trial.hash, 0);
	err = mc_router_choose(model->router, &trial.query, &model->random,
			       &choice);
	if (err) {
		check_refusal(model, &trial, err);
		return;
	}
	FUZZ_CHECK(is_eligible(&trial, choice.target),
		   "a target that may not be used is never chosen");
	check_version(model, &trial, choice.target);
	check_preference(&trial, choice.target);
	check_gather(model, choice);
	model->in_use[choice.gather] = true;
	check_repeat(model, &trial, choice.target);
	if (model->pending_count == MAX_PENDING)
		return;
	mc_router_record_sent(model->router, choice);
	model->gathers[choice.gather].in_flight++;
	model->pending[model->pending_count++] = choice;
}

static void end_sub_query(model_t *model, fuzz_input_t *input)
{
	mc_ms_t latency = fuzz_below(input, 4)
				  ? (mc_ms_t)fuzz_below(input, 6) - 1
				  : (mc_ms_t)fuzz_below(input, 64);
	mc_route_choice_t choice;
	target_t *target;

	if (!model->pending_count)
		return;
	choice = model->pending[--model->pending_count];
	target = &model->targets[address_of(model->config, choice.target)];
	if (latency > target->max_latency)
		target->max_latency = latency;
	mc_router_record_done(model->router, choice, latency);
	model->gathers[choice.gather].in_flight--;
}

static void run_step(model_t *model, fuzz_input_t *input)
{
	switch (fuzz_below(input, 16)) {
	case 0:
		change_router(model, input);
		break;
	case 1:
		change_gather(model, input);
		break;
	case 2:
	case 3:
		change_target(model, input);
		break;
	case 4:
		change_share(model, input);
		break;
	case 5:
		model->now += fuzz_below(input, 256) * 8;
		break;
	case 6:
		mc_router_begin_request(model->router);
		memset(model->in_use, 0, sizeof(model->in_use));
		break;
	case 7:
		end_sub_query(model, input);
		break;
	case 8:
		check_owners(input);
		break;
	default:
		choose(model, input);
	}
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	static const char *const names[] = { "two_choices", "round_robin",
					     "hash" };
	fuzz_input_t input = fuzz_input_init(data, size);
	model_t model = {
		.policy = mc_route_find_policy(names[fuzz_below(&input, 3)]),
		.owners = 1 + fuzz_below(&input, 3),
		.local_data_center = fuzz_below(&input, DATA_CENTERS),
	};
	mc_row_t i;
	int step;

	change_router(&model, &input);
	for (step = 0; step < STEPS; step++) {
		run_step(&model, &input);
		for (i = 0; i < model.config->target_count; i++)
			FUZZ_CHECK(
				mc_router_is_target_usable(model.router, i) ==
					is_usable(&model, i),
				"a target is usable unless it drains, its data "
				"centre is out or it has no usable owner");
	}
	mc_router_destroy(model.router);
	return 0;
}
