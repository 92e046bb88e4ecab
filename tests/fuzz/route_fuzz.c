/*
 * Stateful fuzzing of the router. Cases walk through a fixed set of
 * configurations and gathers, with a new router for each change. The oracle
 * keeps what was said of each address and tells of every choice whether it was
 * allowed and whether a better one was left. It knows of versions only that a
 * request's version must stay the same while the share does.
 */
#include <stdint.h>

#include "../config_text.h"
#include "fuzz_configs.h"
#include "fuzz_input.h"
#include "fuzz_owners.h"
#include "mc/route.h"

enum {
	CENTERS = 3,
	SERVICES = 2,
	MAX_SHARDS = 2,
	MAX_REPLICAS = 5,
	VERSIONS = 3,
	ADDRESSES = 1 + SERVICES * MAX_SHARDS * MAX_REPLICAS,
	MAX_EXCLUDED = 3,
	MAX_OPEN = 8,
	HASHES = 12,
	/* Steps of a case. */
	STEPS = 80,
};

typedef struct {
	bool draining;
	mc_ms_t failed_until;
	mc_ms_t busy_until;
	/* The longest that it took; it can't seem slower than that. */
	mc_ms_t slowest;
} target_t;

typedef enum {
	VERDICT_UNKNOWN,
	VERDICT_OLD,
	VERDICT_NEW
} verdict_t;

typedef struct {
	bool active;
	double share;
	verdict_t verdicts[HASHES];
} service_t;

typedef struct {
	mc_router_t *router;
	const mc_config_t *config;
	const mc_route_policy_t *policy;
	uint32_t owners;
	mc_row_t own_center;
	mc_random_t random;
	mc_ms_t now;
	target_t targets[ADDRESSES];
	service_t services[SERVICES];
	mc_route_gather_t gathers[MAX_GATHERS];
	bool in_use[MAX_GATHERS];
	uint32_t gather_count;
	mc_route_choice_t open[MAX_OPEN];
	uint32_t open_count;
} model_t;

/* One choice to be judged. */
typedef struct {
	const model_t *model;
	mc_route_query_t query;
	mc_row_t exclude[MAX_EXCLUDED];
	uint32_t serving;
	uint32_t hash;
} question_t;

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
				/* The first one is where it is never out. */
				i ? mc_random_below(random, CENTERS) : 0,
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
	for (i = 0; i < CENTERS; i++)
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

/* Number of an address, from "10.0.0.N:9000". */
static uint32_t address_of(const mc_config_t *config, mc_row_t target)
{
	return (uint32_t)atoi(config->targets[target].address + 7);
}

static mc_row_t pick_target(const mc_config_t *config, fuzz_input_t *input)
{
	return config->target_count ? fuzz_below(input, config->target_count)
				    : 0;
}

static bool names_address(const mc_config_t *config, uint32_t address)
{
	mc_row_t i;

	for (i = 0; i < config->target_count; i++)
		if (address_of(config, i) == address)
			return true;
	return false;
}

/* Whether @gather is one of the wanted number of best ones for @target. */
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
			.data_center = fuzz_below(input, CENTERS),
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
		.data_center = model->own_center,
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
		if (!old || !names_address(old, i))
			model->targets[i] = (target_t){ 0 };
	memset(model->services, 0, sizeof(model->services));
	memset(model->in_use, 0, sizeof(model->in_use));
	model->open_count = 0;
}

/* A larger share only adds requests to the new version, and a smaller one
 * only takes some away. */
static void change_share(model_t *model, fuzz_input_t *input)
{
	static const double shares[] = { 0, 0.1, 0.5, 0.9, 1 };
	mc_row_t row = fuzz_below(input, SERVICES);
	double share = shares[fuzz_below(input, MC_ARRAY_LEN(shares))];
	service_t *service = &model->services[row];
	uint32_t i;

	mc_router_set_version_share(model->router, row, "v1", "v2", share);
	for (i = 0; i < HASHES; i++) {
		verdict_t *verdict = &service->verdicts[i];

		if ((*verdict == VERDICT_NEW && share < service->share) ||
		    (*verdict == VERDICT_OLD && share > service->share))
			*verdict = VERDICT_UNKNOWN;
		if (share == 0 || share == 1)
			*verdict = share == 0 ? VERDICT_OLD : VERDICT_NEW;
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
	const question_t *question = ctx;

	return question->serving >> target % 8 & 1;
}

static bool is_excluded(const question_t *question, mc_row_t target)
{
	uint32_t i;

	for (i = 0; i < question->query.exclude_count; i++)
		if (question->exclude[i] == target)
			return true;
	return false;
}

static bool holds_shard(const question_t *question, mc_row_t target)
{
	const mc_target_t *row = &question->model->config->targets[target];

	return row->layout == question->query.layout &&
	       row->shard == question->query.shard;
}

/* Whether the target may be chosen, whatever its version. */
static bool may_use(question_t *question, mc_row_t target)
{
	return holds_shard(question, target) &&
	       !is_excluded(question, target) &&
	       is_usable(question->model, target) && serves(question, target);
}

static bool has_failed(const question_t *question, mc_row_t target)
{
	const model_t *model = question->model;

	return question->query.now <
	       model->targets[address_of(model->config, target)].failed_until;
}

static bool has_version(const question_t *question, mc_row_t target,
			const char *version)
{
	return !strcmp(question->model->config->targets[target].version,
		       version);
}

static const service_t *service_of(const question_t *question)
{
	const model_t *model = question->model;

	return &model->services[model->config->layouts[question->query.layout]
					.service];
}

/*
 * Whether another replica may go first: the target is at its limit, or took
 * more than the 5 ms above which it may count as slow.
 */
static bool yields(const question_t *question, mc_row_t target)
{
	const model_t *model = question->model;
	const target_t *known =
		&model->targets[address_of(model->config, target)];

	return question->query.now < known->busy_until || known->slowest > 5;
}

/* Whether there is a target that may be used, of @version if that is set. */
static bool exists(question_t *question, const char *version, bool with_failed)
{
	mc_row_t i;

	for (i = 0; i < question->model->config->target_count; i++)
		if (may_use(question, i) &&
		    (!version || has_version(question, i, version)) &&
		    (with_failed || !has_failed(question, i)))
			return true;
	return false;
}

static void note_verdict(model_t *model, const question_t *question,
			 verdict_t verdict)
{
	mc_row_t row = model->config->layouts[question->query.layout].service;
	verdict_t *known = &model->services[row].verdicts[question->hash];

	FUZZ_CHECK(*known == VERDICT_UNKNOWN || *known == verdict,
		   "a request has one version while the share stays");
	*known = verdict;
}

static void check_version(model_t *model, question_t *question, mc_row_t target)
{
	if (!service_of(question)->active)
		return;
	if (has_version(question, target, "v2")) {
		note_verdict(model, question, VERDICT_NEW);
		return;
	}
	FUZZ_CHECK(has_version(question, target, "v1"),
		   "a move's requests use its two versions");
	if (exists(question, "v2", has_failed(question, target)))
		note_verdict(model, question, VERDICT_OLD);
}

static void check_preference(question_t *question, mc_row_t target)
{
	const model_t *model = question->model;
	const mc_target_t *targets = model->config->targets;
	const char *version = NULL;
	mc_row_t i;

	if (service_of(question)->active)
		version = targets[target].version;
	if (has_failed(question, target))
		FUZZ_CHECK(!exists(question, version, false),
			   "a failed target is the last resort");
	if (targets[target].data_center == model->own_center)
		return;
	for (i = 0; i < model->config->target_count; i++)
		FUZZ_CHECK(targets[i].data_center != model->own_center ||
				   !may_use(question, i) ||
				   (version &&
				    strcmp(targets[i].version, version)) ||
				   yields(question, i) ||
				   has_failed(question, i) !=
					   has_failed(question, target),
			   "the own data centre goes first");
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
			   "a gather that the request uses goes first");
		FUZZ_CHECK(model->in_use[choice.gather] != model->in_use[i] ||
				   chosen->in_flight <=
					   model->gathers[i].in_flight,
			   "the gather with the fewest sub-queries goes first");
	}
}

static void check_refusal(model_t *model, question_t *question, mc_err_t err)
{
	const mc_config_t *config = model->config;
	uint32_t left = 0, out = 0;
	mc_row_t i;

	for (i = 0; i < config->target_count; i++) {
		if (!holds_shard(question, i) || is_excluded(question, i))
			continue;
		left++;
		out += config->data_centers[config->targets[i].data_center]
			       .out_of_service;
	}
	FUZZ_CHECK(err == (left && left == out ? MC_ERR_DATA_CENTER_OUT
					       : MC_ERR_NO_TARGET),
		   "a refusal says whether data centres are out");
	if (!service_of(question)->active) {
		FUZZ_CHECK(!exists(question, NULL, true),
			   "a target is found while there is one");
		return;
	}
	FUZZ_CHECK(!exists(question, "v1", true),
		   "a target of the old version is found while there is one");
	if (exists(question, "v2", true))
		note_verdict(model, question, VERDICT_OLD);
}

static void check_repeat(model_t *model, const question_t *question,
			 mc_row_t target)
{
	mc_route_choice_t again;
	mc_err_t err;

	if (model->policy != mc_route_find_policy("hash"))
		return;
	err = mc_router_choose(model->router, &question->query, &model->random,
			       &again);
	FUZZ_CHECK(!err && again.target == target,
		   "consistent hashing chooses the same target again");
	model->in_use[again.gather] = true;
}

static void choose(model_t *model, fuzz_input_t *input)
{
	question_t question = {
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

	for (i = 0; i < question.query.exclude_count; i++)
		question.exclude[i] = pick_target(model->config, input);
	question.serving = fuzz_below(input, 2) ? 0xff : fuzz_below(input, 256);
	question.query.exclude = question.exclude;
	question.query.serves_ctx = &question;
	question.query.request_hash = mc_hash_pair(question.hash, 0);
	err = mc_router_choose(model->router, &question.query, &model->random,
			       &choice);
	if (err) {
		check_refusal(model, &question, err);
		return;
	}
	FUZZ_CHECK(may_use(&question, choice.target),
		   "a target that may not be used is never chosen");
	check_version(model, &question, choice.target);
	check_preference(&question, choice.target);
	check_gather(model, choice);
	model->in_use[choice.gather] = true;
	check_repeat(model, &question, choice.target);
	if (model->open_count == MAX_OPEN)
		return;
	mc_router_record_sent(model->router, choice);
	model->gathers[choice.gather].in_flight++;
	model->open[model->open_count++] = choice;
}

static void finish(model_t *model, fuzz_input_t *input)
{
	mc_ms_t latency = fuzz_below(input, 4)
				  ? (mc_ms_t)fuzz_below(input, 6) - 1
				  : (mc_ms_t)fuzz_below(input, 64);
	mc_route_choice_t choice;
	target_t *target;

	if (!model->open_count)
		return;
	choice = model->open[--model->open_count];
	target = &model->targets[address_of(model->config, choice.target)];
	if (latency > target->slowest)
		target->slowest = latency;
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
		finish(model, input);
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
		.own_center = fuzz_below(&input, CENTERS),
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
