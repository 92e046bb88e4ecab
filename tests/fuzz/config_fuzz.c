/*
 * Fuzzes the config library with texts generated from a small model. The model
 * tells by linear scans whether a text is valid. A parsed configuration must
 * survive a round trip through its canonical text, and each lookup must agree
 * with the rows.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mc/config.h"

enum {
	SERVICES = 2,
	TARGETS_MAX = 24,
	SNAPSHOTS_MAX = 4,
	SHARDS_MAX = 3,
	HOUR_MS = 3600000,
};

/* Hour 0 of the model: 2026-05-01T00:00:00Z, ms since the Unix epoch. */
#define MODEL_EPOCH_MS INT64_C(1777593600000)
#define REQUIRE(condition) ((condition) ? (void)0 : abort())

typedef struct model_target_t {
	uint8_t service, shard, data_center, version, port;
} model_target_t;

typedef struct model_move_t {
	uint8_t from, to, start, done_by, taken_back;
} model_move_t;

typedef struct model_t {
	bool out[2];
	uint8_t shards[SERVICES];
	uint8_t snapshot_count;
	struct {
		uint8_t service, id, order;
	} snapshots[SNAPSHOTS_MAX];
	bool has_move[SERVICES];
	model_move_t moves[SERVICES];
	uint8_t target_count;
	model_target_t targets[TARGETS_MAX];
	uint8_t now;
} model_t;

/*
 * The input, followed by random bytes that are seeded with it, so that short
 * inputs can make any choice.
 */
typedef struct bytes_t {
	const uint8_t *at;
	size_t left;
	mc_random_t random;
} bytes_t;

static uint8_t take_below(bytes_t *bytes, uint8_t bound)
{
	if (!bytes->left)
		return (uint8_t)mc_random_below(&bytes->random, bound);
	bytes->left--;
	return *bytes->at++ % bound;
}

/*
 * Adds one valid target per shard and version, so that valid models are common,
 * and then modifies up to 3 of them as the input says.
 */
static void take_targets(model_t *model, bytes_t *bytes)
{
	uint8_t shard, i;
	int s;

	for (s = 0; s < SERVICES; s++)
		for (shard = 0; shard < model->shards[s]; shard++)
			for (i = 0; i < 2; i++) {
				uint8_t port = ++model->target_count;

				model->targets[port - 1] = (model_target_t){
					.service = (uint8_t)s,
					.shard = shard,
					.data_center = take_below(bytes, 2),
					.version = i,
					.port = port,
				};
			}
	for (i = take_below(bytes, 4); i; i--) {
		model_target_t *target =
			&model->targets[take_below(bytes, model->target_count)];

		target->shard = take_below(bytes, SHARDS_MAX);
		target->version = take_below(bytes, 3);
		target->port = (uint8_t)(target->port + take_below(bytes, 2));
	}
}

static void take_model(model_t *model, bytes_t *bytes)
{
	int i;

	*model = (model_t){ .out = { take_below(bytes, 4) == 1,
				     take_below(bytes, 4) == 1 } };
	for (i = 0; i < SERVICES; i++) {
		model->shards[i] = (uint8_t)(1 + take_below(bytes, SHARDS_MAX));
		model->has_move[i] = take_below(bytes, 2);
		model->moves[i] = (model_move_t){
			.from = take_below(bytes, 8) == 7,
			.to = take_below(bytes, 8) ? 1 : 2,
			.start = take_below(bytes, 4),
			.done_by = (uint8_t)(3 + take_below(bytes, 4)),
			.taken_back = take_below(bytes, 2),
		};
	}
	model->now = take_below(bytes, 5);
	model->snapshot_count = take_below(bytes, SNAPSHOTS_MAX + 1);
	for (i = 0; i < model->snapshot_count; i++) {
		model->snapshots[i].service = take_below(bytes, SERVICES);
		model->snapshots[i].id = take_below(bytes, 16);
		model->snapshots[i].order = take_below(bytes, 16);
	}
	take_targets(model, bytes);
}

static void write_moves(const model_t *model, FILE *out)
{
	int i;

	for (i = 0; i < SERVICES; i++) {
		const model_move_t *move = &model->moves[i];

		if (!model->has_move[i])
			continue;
		fprintf(out,
			"[[move]]\nservice = 's%d'\nfrom = 'v%d'\nto = 'v%d'\n"
			"start = 2026-05-01T%02d:00:00Z\n"
			"done_by = 2026-05-01T%02d:30:00+00:30\n"
			"taken_back = %s\n",
			i, move->from, move->to, move->start, move->done_by,
			move->taken_back ? "true" : "false");
	}
}

/* Writes the rows in a non-canonical order, so that the parser must sort. */
static void write_text(const model_t *model, FILE *out)
{
	int i, shard;

	for (i = 0; i < model->target_count; i++) {
		const model_target_t *t = &model->targets[i];

		fprintf(out,
			"[[target]]\naddress = '10.0.0.1:%d'\nservice = 's%d'\n"
			"layout = 'l'\nshard = %d\ndata_center = 'd%d'\n"
			"version = 'v%d'\n",
			t->port, t->service, t->shard, t->data_center,
			t->version);
	}
	write_moves(model, out);
	for (i = 0; i < model->snapshot_count; i++)
		fprintf(out,
			"[[snapshot]]\nservice = 's%d'\nid = 'i%d'\n"
			"layout = 'l'\norder = %d\n",
			model->snapshots[i].service, model->snapshots[i].id,
			model->snapshots[i].order);
	for (i = SERVICES - 1; i >= 0; i--) {
		fprintf(out,
			"[[layout]]\nservice = 's%d'\nname = 'l'\n"
			"documents = [",
			i);
		for (shard = 0; shard < model->shards[i]; shard++)
			fprintf(out, "%d,", shard);
		fprintf(out,
			"]\n[[service]]\nname = 's%d'\ndeadline_ms = 5\n"
			"[[data_center]]\nname = 'd%d'\nstate = '%s'\n",
			i, i, model->out[i] ? "out" : "in");
	}
}

/*
 * Returns whether a shard has a target of @version, or of any version if it is
 * -1. With @in_only, targets in data centres out of service do not count.
 */
static bool has_target(const model_t *model, int service, int shard,
		       int version, bool in_only)
{
	int i;

	for (i = 0; i < model->target_count; i++) {
		const model_target_t *t = &model->targets[i];

		if (t->service == service && t->shard == shard &&
		    (version < 0 || t->version == version) &&
		    !(in_only && model->out[t->data_center]))
			return true;
	}
	return false;
}

static bool is_move_valid(const model_t *model, int service)
{
	const model_move_t *move = &model->moves[service];
	int shard;

	if (!model->has_move[service])
		return true;
	for (shard = 0; shard < model->shards[service]; shard++)
		if (!has_target(model, service, shard, move->from, false) ||
		    !has_target(model, service, shard, move->to, false))
			return false;
	return move->from != move->to && move->done_by > move->start &&
	       (!model->now || move->taken_back || move->done_by > model->now);
}

static bool is_valid(const model_t *model)
{
	int i, j;

	for (i = 0; i < model->target_count; i++) {
		const model_target_t *t = &model->targets[i];

		if (t->shard >= model->shards[t->service])
			return false;
		for (j = 0; j < i; j++)
			if (model->targets[j].port == t->port)
				return false;
	}
	for (i = 0; i < model->snapshot_count; i++)
		for (j = 0; j < i; j++)
			if (model->snapshots[i].service ==
				    model->snapshots[j].service &&
			    (model->snapshots[i].id == model->snapshots[j].id ||
			     model->snapshots[i].order ==
				     model->snapshots[j].order))
				return false;
	for (i = 0; i < SERVICES; i++) {
		for (j = 0; j < model->shards[i]; j++)
			if (!has_target(model, i, j, -1, true))
				return false;
		if (!is_move_valid(model, i))
			return false;
	}
	return true;
}

static void check_lists(const mc_config_t *config)
{
	uint32_t i, j, shard, count, seen = 0;
	const mc_row_t *rows;

	for (i = 0; i < config->layout_count; i++)
		for (shard = 0; shard < config->layouts[i].shard_count;
		     shard++) {
			rows = mc_config_shard_targets(config, i, shard,
						       &count);
			for (j = 0; j < count; j++) {
				REQUIRE(config->targets[rows[j]].layout == i);
				REQUIRE(config->targets[rows[j]].shard ==
					shard);
			}
			seen += count;
		}
	REQUIRE(seen == config->target_count);
	for (i = 0, seen = 0; i < config->service_count; i++) {
		rows = mc_config_service_snapshots(config, i, &count);
		for (j = 0; j < count; j++) {
			const mc_snapshot_t *s = &config->snapshots[rows[j]];

			REQUIRE(s->service == i);
			REQUIRE(!j || s->order < s[-1].order);
		}
		seen += count;
	}
	REQUIRE(seen == config->snapshot_count);
}

static void check_lookups(const mc_config_t *config)
{
	uint32_t i, moves = 0;

	for (i = 0; i < config->data_center_count; i++)
		REQUIRE(mc_config_find_data_center(
				config, config->data_centers[i].name) == i);
	for (i = 0; i < config->target_count; i++)
		REQUIRE(mc_config_find_target(config, config->targets[i].key) ==
			i);
	for (i = 0; i < config->service_count; i++) {
		mc_row_t move = mc_config_service_move(config, i);

		REQUIRE(mc_config_find_service(config,
					       config->services[i].name) == i);
		if (move == MC_ROW_NONE)
			continue;
		REQUIRE(config->moves[move].service == i);
		moves++;
	}
	REQUIRE(moves == config->move_count);
	check_lists(config);
}

/* Compares row counts with the model and checks the round trip through text. */
static void check_config(const model_t *model, const mc_config_t *config)
{
	static mc_config_errors_t errors;
	const mc_config_t *again;
	char *text, *second, *diff;

	REQUIRE(config->target_count == model->target_count);
	REQUIRE(config->snapshot_count == model->snapshot_count);
	REQUIRE(config->move_count ==
		(uint32_t)(model->has_move[0] + model->has_move[1]));
	if (config->move_count)
		REQUIRE(config->moves[0].start ==
			MODEL_EPOCH_MS +
				model->moves[!model->has_move[0]].start *
					HOUR_MS);
	check_lookups(config);
	REQUIRE(!mc_config_print(config, &text));
	REQUIRE(!mc_config_parse(text, strlen(text), 0, 0, &again, &errors));
	REQUIRE(!mc_config_print(again, &second));
	REQUIRE(!strcmp(text, second));
	REQUIRE(!mc_config_diff(config, again, &diff));
	REQUIRE(!*diff);
	check_lookups(again);
	mc_config_unref(again);
	free(text);
	free(second);
	free(diff);
}

static void fuzz_bytes(const uint8_t *data, size_t size)
{
	static mc_config_errors_t errors;
	const mc_config_t *config;
	mc_err_t err = mc_config_parse((const char *)data, size, 0, 0, &config,
				       &errors);

	REQUIRE(!err == !!config);
	REQUIRE((err == MC_ERR_BAD_CONFIG) == !!errors.count);
	mc_config_unref(config);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	static mc_config_errors_t errors;
	bytes_t bytes = { .at = data, .left = size };
	const mc_config_t *config;
	model_t model;
	char *text;
	size_t used;
	FILE *out;

	mc_random_seed(&bytes.random, mc_hash_bytes(data, size));
	if (take_below(&bytes, 8) == 7) {
		fuzz_bytes(bytes.at, bytes.left);
		return 0;
	}
	take_model(&model, &bytes);
	out = open_memstream(&text, &used);
	write_text(&model, out);
	fclose(out);
	mc_config_parse(text, used, 0,
			model.now ? MODEL_EPOCH_MS + model.now * HOUR_MS : 0,
			&config, &errors);
	REQUIRE(!!config == is_valid(&model));
	if (config)
		check_config(&model, config);
	mc_config_unref(config);
	free(text);
	return 0;
}
