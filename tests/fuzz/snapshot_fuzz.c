/*
 * Stateful fuzzing of the catalogue. Each case switches between the members of
 * a fixed set of configurations, in which the same addresses hold different
 * shards. The oracle keeps a table of the snapshots that each target last
 * reported, and finds the snapshot to pin by examining all of them.
 */
#include <stdint.h>

#include "../config_text.h"
#include "fuzz_configs.h"
#include "fuzz_input.h"
#include "mc/snapshot.h"

enum {
	SERVICES = 2,
	LAYOUTS = 2,
	MAX_SHARDS = 3,
	MAX_REPLICAS = 3,
	MAX_SNAPSHOTS = 5,
	IDS = 7,
	/* Steps in a test case. */
	STEPS = 16,
	MAX_TARGETS = SERVICES * LAYOUTS * MAX_SHARDS * MAX_REPLICAS,
};

typedef struct {
	const mc_config_t *config;
	mc_catalogue_t *catalogue;
	bool reported[MAX_TARGETS];
	bool serves[MAX_TARGETS][SERVICES * MAX_SNAPSHOTS];
	bool usable[MAX_TARGETS];
} model_t;

typedef struct {
	bool complete;
	uint64_t served;
	uint64_t total;
	bool any;
} coverage_t;

static void add_layout(config_text_t *text, int service, int layout,
		       mc_random_t *random, uint32_t *addresses)
{
	uint32_t shards = 1 + mc_random_below(random, MAX_SHARDS);
	uint32_t i, j, replicas;

	config_text_add(text,
			"[[layout]]\nservice = \"s%d\"\nname = \"l%d\"\n"
			"documents = [",
			service, layout);
	for (i = 0; i < shards; i++)
		config_text_add(text, "%u,", mc_random_below(random, 4));
	config_text_add(text, "]\n");
	for (i = 0; i < shards; i++) {
		replicas = 1 + mc_random_below(random, MAX_REPLICAS);
		for (j = 0; j < replicas; j++)
			config_text_add(
				text,
				"[[target]]\nservice = \"s%d\"\n"
				"layout = \"l%d\"\nshard = %u\n"
				"data_center = \"north\"\nversion = \"v1\"\n"
				"address = \"10.0.0.%u:9000\"\n",
				service, layout, i, ++*addresses);
	}
}

static void add_snapshots(config_text_t *text, int service, mc_random_t *random)
{
	uint32_t count = 1 + mc_random_below(random, MAX_SNAPSHOTS);
	uint32_t first = mc_random_below(random, IDS);
	uint32_t i;

	for (i = 0; i < count; i++)
		config_text_add(text,
				"[[snapshot]]\nservice = \"s%d\"\n"
				"id = \"i%u\"\nlayout = \"l%u\"\norder = %u\n",
				service, (first + i) % IDS,
				mc_random_below(random, LAYOUTS),
				(i * 3 + first) % 16);
}

static const mc_config_t *make_config(uint64_t seed)
{
	config_text_t text = { 0 };
	uint32_t addresses = 0;
	mc_random_t random;
	int i, j;

	mc_random_seed(&random, seed);
	config_text_add(&text, "[[data_center]]\nname = \"north\"\n"
			       "state = \"in\"\n");
	for (i = 0; i < SERVICES; i++) {
		config_text_add(&text,
				"[[service]]\nname = \"s%d\"\n"
				"deadline_ms = 100\n",
				i);
		for (j = 0; j < LAYOUTS; j++)
			add_layout(&text, i, j, &random, &addresses);
		add_snapshots(&text, i, &random);
	}
	return config_text_parse(&text);
}

int LLVMFuzzerInitialize(int *argc, char ***argv)
{
	(void)argc;
	(void)argv;
	return fuzz_configs_make(make_config);
}

static bool is_of_layout(const mc_config_t *config, mc_row_t target,
			 mc_row_t snapshot)
{
	return config->snapshots[snapshot].layout ==
	       config->targets[target].layout;
}

static void reset_served(model_t *model, mc_row_t target)
{
	mc_row_t i;

	model->reported[target] = false;
	for (i = 0; i < model->config->snapshot_count; i++)
		model->serves[target][i] =
			is_of_layout(model->config, target, i);
}

static bool same_shard(const mc_config_t *a, const mc_target_t *first,
		       const mc_config_t *b, const mc_target_t *second)
{
	return first->key == second->key && first->shard == second->shard &&
	       !strcmp(a->layouts[first->layout].name,
		       b->layouts[second->layout].name) &&
	       !strcmp(a->services[first->service].name,
		       b->services[second->service].name);
}

static bool served_before(const model_t *old, mc_row_t target, const char *id)
{
	mc_row_t i;

	for (i = 0; i < old->config->snapshot_count; i++)
		if (old->serves[target][i] &&
		    !strcmp(old->config->snapshots[i].id, id))
			return true;
	return false;
}

static void carry_over(model_t *model, const model_t *old, mc_row_t target)
{
	const mc_config_t *config = model->config;
	mc_row_t i, j;

	for (i = 0; i < old->config->target_count; i++) {
		if (!old->reported[i] ||
		    !same_shard(config, &config->targets[target], old->config,
				&old->config->targets[i]))
			continue;
		model->reported[target] = true;
		for (j = 0; j < config->snapshot_count; j++)
			model->serves[target][j] =
				is_of_layout(config, target, j) &&
				served_before(old, i, config->snapshots[j].id);
	}
}

static void change_config(model_t *model, const mc_config_t *config)
{
	model_t old = *model;
	mc_row_t i;

	model->config = config;
	model->catalogue = mc_catalogue_create(config, old.catalogue);
	mc_catalogue_destroy(old.catalogue);
	for (i = 0; i < config->target_count; i++) {
		reset_served(model, i);
		if (old.config)
			carry_over(model, &old, i);
	}
}

static void report(model_t *model, fuzz_input_t *input)
{
	static const char *const all[IDS + 1] = { "i0", "i1", "i2", "i3",
						  "i4", "i5", "i6", "x" };
	const mc_config_t *config = model->config;
	mc_row_t target = fuzz_below(input, config->target_count);
	uint32_t mask = fuzz_below(input, 256);
	const char *ids[IDS + 1];
	bool changed = false;
	uint32_t i, count = 0;

	for (i = 0; i <= IDS; i++)
		if (mask & 1u << i)
			ids[count++] = all[i];
	for (i = 0; i < config->snapshot_count; i++) {
		uint32_t number = (uint32_t)(config->snapshots[i].id[1] - '0');
		bool serves =
			is_of_layout(config, target, i) && mask & 1u << number;

		changed = changed || serves != model->serves[target][i];
		model->serves[target][i] = serves;
	}
	model->reported[target] = true;
	FUZZ_CHECK(mc_catalogue_set_served(model->catalogue, target, ids,
					   count) == changed,
		   "a report says whether the set changed");
}

static bool is_usable(void *ctx, mc_row_t target)
{
	return ((const model_t *)ctx)->usable[target];
}

static coverage_t measure_coverage(const model_t *model, mc_row_t snapshot)
{
	const mc_config_t *config = model->config;
	mc_row_t row = config->snapshots[snapshot].layout;
	coverage_t coverage = { .complete = true };
	uint32_t shard, i;

	for (shard = 0; shard < config->layouts[row].shard_count; shard++) {
		uint64_t documents = config->layouts[row].documents[shard];
		bool served = false;

		for (i = 0; i < config->target_count; i++)
			if (config->targets[i].layout == row &&
			    config->targets[i].shard == shard &&
			    model->usable[i] && model->serves[i][snapshot])
				served = true;
		coverage.total += documents;
		coverage.served += served ? documents : 0;
		coverage.any = coverage.any || served;
		coverage.complete = coverage.complete && served;
	}
	return coverage;
}

/*
 * Returns whether the snapshot of @a is preferred to that of @b; @newer says
 * whether it is the newer one.
 */
static bool is_preferred(const coverage_t *a, bool newer, const coverage_t *b)
{
	uint64_t left = a->served * (b->total ? b->total : 1);
	uint64_t right = b->served * (a->total ? a->total : 1);

	if (a->complete != b->complete)
		return a->complete;
	if (!a->complete && left != right)
		return left > right;
	return newer;
}

static void check_pin(model_t *model, mc_row_t service)
{
	const mc_config_t *config = model->config;
	mc_snapshot_target_filter_t usable = { .is_usable = is_usable,
					       .ctx = model };
	mc_row_t best = MC_ROW_NONE, pinned;
	coverage_t best_coverage = { 0 };
	mc_row_t i;
	mc_err_t err;

	for (i = 0; i < config->snapshot_count; i++) {
		coverage_t coverage = measure_coverage(model, i);

		if (config->snapshots[i].service != service || !coverage.any)
			continue;
		if (best != MC_ROW_NONE &&
		    !is_preferred(&coverage,
				  config->snapshots[i].order >
					  config->snapshots[best].order,
				  &best_coverage))
			continue;
		best = i;
		best_coverage = coverage;
	}
	err = mc_catalogue_choose_snapshot(model->catalogue, service, &usable,
					   &pinned);
	FUZZ_CHECK(err == (best == MC_ROW_NONE ? MC_ERR_NO_SNAPSHOT : MC_OK),
		   "a snapshot is pinned if a shard of any is served");
	FUZZ_CHECK(err || pinned == best,
		   "the newest complete snapshot is pinned, else the one with "
		   "the largest share");
}

static void check(model_t *model)
{
	const mc_config_t *config = model->config;
	mc_row_t i, j;

	for (i = 0; i < config->target_count; i++)
		for (j = 0; j < config->snapshot_count; j++)
			FUZZ_CHECK(
				mc_catalogue_serves(model->catalogue, i, j) ==
					model->serves[i][j],
				"a target serves what it last reported");
	for (i = 0; i < config->service_count; i++)
		check_pin(model, i);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	fuzz_input_t input = fuzz_input_init(data, size);
	model_t model = { 0 };
	mc_row_t target;
	int step;

	memset(model.usable, true, sizeof(model.usable));
	change_config(&model,
		      fuzz_configs[fuzz_below(&input, FUZZ_CONFIG_COUNT)]);
	for (step = 0; step < STEPS; step++) {
		switch (fuzz_below(&input, 8)) {
		case 0:
			change_config(&model,
				      fuzz_configs[fuzz_below(
					      &input, FUZZ_CONFIG_COUNT)]);
			break;
		case 1:
			target = fuzz_below(&input, model.config->target_count);
			mc_catalogue_reset_served(model.catalogue, target);
			reset_served(&model, target);
			break;
		case 2:
		case 3:
			target = fuzz_below(&input, model.config->target_count);
			model.usable[target] = !model.usable[target];
			break;
		default:
			report(&model, &input);
		}
		check(&model);
	}
	mc_catalogue_destroy(model.catalogue);
	return 0;
}
