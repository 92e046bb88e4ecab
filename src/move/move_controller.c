/*
 * Public functions of a move controller: the moves of a configuration, recorded
 * outcomes, digests and status. Counts, judgement and schedule are in files of
 * their own.
 */
#include "move_defs.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
	/*
	 * Up to this many failures on a route, each one triggers a judgement.
	 */
	JUDGED_EACH_MAX = 64,
};

mc_move_controller_t *mc_move_controller_create(uint64_t origin)
{
	mc_move_controller_t *controller = calloc(1, sizeof(*controller));

	if (!controller)
		return NULL;
	controller->origin = origin;
	controller->moves =
		mc_table_create(sizeof(mc_move_record_t), MC_MOVES_MAX);
	if (controller->moves)
		return controller;
	free(controller);
	return NULL;
}

void mc_move_controller_destroy(mc_move_controller_t *controller)
{
	mc_move_record_t *move;
	mc_handle_t handle;
	uint32_t cursor = 0;

	if (!controller)
		return;
	while ((move = mc_table_next(controller->moves, &cursor, &handle)))
		mc_table_destroy(move->origins);
	mc_table_destroy(controller->moves);
	free(controller->by_service);
	free(controller);
}

static uint64_t move_hash(const mc_config_t *config, const mc_move_t *row)
{
	const char *service = config->services[row->service].name;
	uint64_t versions = mc_hash_pair(mc_hash_string(row->from),
					 mc_hash_string(row->to));

	return mc_hash_pair(mc_hash_pair(mc_hash_string(service), versions),
			    (uint64_t)row->start);
}

static mc_move_record_t *find_move(const mc_move_controller_t *controller,
				   uint64_t hash, mc_handle_t *found)
{
	mc_move_record_t *move;
	mc_handle_t handle;
	uint32_t cursor = 0;

	while ((move = mc_table_next(controller->moves, &cursor, &handle)))
		if (move->hash == hash) {
			*found = handle;
			return move;
		}
	return NULL;
}

static mc_move_record_t *move_at(const mc_move_controller_t *controller,
				 uint32_t index)
{
	return mc_table_get(controller->moves, controller->order[index]);
}

static mc_move_record_t *service_move(const mc_move_controller_t *controller,
				      mc_row_t service)
{
	if (service >= controller->service_count)
		return NULL;
	return mc_table_get(controller->moves, controller->by_service[service]);
}

static bool old_version_is_gone(const mc_config_t *config, const mc_move_t *row)
{
	uint32_t i;

	for (i = 0; i < config->target_count; i++)
		if (config->targets[i].service == row->service &&
		    !strcmp(config->targets[i].version, row->from))
			return false;
	return true;
}

static mc_err_t add_move(mc_move_controller_t *controller, uint64_t hash,
			 const mc_move_t *row, mc_ms_t wall,
			 mc_handle_t *handle)
{
	mc_move_record_t *move;
	void *record;
	mc_err_t err = mc_table_add(controller->moves, handle, &record);

	if (err)
		return err;
	move = record;
	move->hash = hash;
	move->first_seen = wall;
	snprintf(move->from, sizeof(move->from), "%s", row->from);
	snprintf(move->to, sizeof(move->to), "%s", row->to);
	snprintf(move->reason, sizeof(move->reason), "waiting for its start");
	err = mc_move_counts_init(move, controller->origin, wall);
	if (!err)
		return MC_OK;
	mc_table_destroy(move->origins);
	mc_table_remove(controller->moves, *handle);
	return err;
}

/* Updates what a new configuration may change of a move. */
static void update_move(mc_move_record_t *move, const mc_config_t *config,
			const mc_move_t *row, mc_ms_t wall)
{
	move->service = row->service;
	move->start = row->start;
	move->done_by = row->done_by;
	move->without_evidence = row->without_evidence;
	move->old_version_gone = old_version_is_gone(config, row);
	if (row->taken_back)
		mc_move_take_back(move, "taken back in the configuration");
	mc_move_schedule(move, wall);
}

static mc_err_t apply_row(mc_move_controller_t *controller,
			  const mc_config_t *config, const mc_move_t *row,
			  mc_ms_t wall)
{
	uint64_t hash = move_hash(config, row);
	mc_handle_t handle;
	mc_err_t err;

	if (!find_move(controller, hash, &handle)) {
		err = add_move(controller, hash, row, wall, &handle);
		if (err)
			return err;
	}
	update_move(mc_table_get(controller->moves, handle), config, row, wall);
	controller->order[controller->count++] = handle;
	controller->by_service[row->service] = handle;
	return MC_OK;
}

static bool is_in_config(const mc_config_t *config, uint64_t hash)
{
	uint32_t i;

	for (i = 0; i < config->move_count; i++)
		if (move_hash(config, &config->moves[i]) == hash)
			return true;
	return false;
}

static void remove_unlisted(mc_move_controller_t *controller,
			    const mc_config_t *config)
{
	mc_move_record_t *move;
	mc_handle_t handle;
	uint32_t cursor = 0;

	while ((move = mc_table_next(controller->moves, &cursor, &handle))) {
		if (is_in_config(config, move->hash))
			continue;
		mc_table_destroy(move->origins);
		mc_table_remove(controller->moves, handle);
	}
}

mc_err_t mc_move_controller_set_config(mc_move_controller_t *controller,
				       const mc_config_t *config, mc_ms_t wall)
{
	mc_handle_t *by_service;
	mc_err_t err;
	uint32_t i;

	if (config->move_count > MC_MOVES_MAX)
		return mc_fail(MC_ERR_FULL,
			       "configuration has more than %d moves",
			       MC_MOVES_MAX);
	by_service = calloc(config->service_count + 1, sizeof(*by_service));
	if (!by_service)
		return mc_fail(MC_ERR_NO_MEMORY,
			       "no memory for the index of moves");
	free(controller->by_service);
	controller->by_service = by_service;
	controller->service_count = config->service_count;
	controller->count = 0;
	remove_unlisted(controller, config);
	for (i = 0; i < config->move_count; i++) {
		err = apply_row(controller, config, &config->moves[i], wall);
		if (err)
			return err;
	}
	return MC_OK;
}

/*
 * Each of the first failures of the new version triggers a judgement, later on
 * only every JUDGED_EACH_MAX-th.
 */
static bool should_judge(const mc_move_record_t *move, uint32_t route)
{
	uint64_t failed = move->total.counts[MC_MOVE_NEW][route].failed;

	return failed < JUDGED_EACH_MAX || failed % JUDGED_EACH_MAX == 0;
}

void mc_move_controller_record_outcome(mc_move_controller_t *controller,
				       mc_row_t service, const char *version,
				       uint32_t route, bool failed,
				       mc_ms_t latency, mc_ms_t wall)
{
	mc_move_record_t *move = service_move(controller, service);
	uint32_t side;

	if (!move || route >= MC_MOVE_ROUTES)
		return;
	if (!strcmp(version, move->to))
		side = MC_MOVE_NEW;
	else if (!strcmp(version, move->from))
		side = MC_MOVE_OLD;
	else
		return;
	mc_move_counts_add(move, side, route, failed, latency);
	if (failed && side == MC_MOVE_NEW && should_judge(move, route))
		mc_move_judge_route(move, route, wall);
}

static bool tick_move(mc_move_record_t *move, mc_ms_t wall)
{
	double share = move->share;
	mc_move_state_t state = move->state;

	mc_move_judge(move, wall);
	mc_move_schedule(move, wall);
	mc_move_counts_mark(move, wall);
	return share != move->share || state != move->state;
}

bool mc_move_controller_tick(mc_move_controller_t *controller, mc_ms_t wall)
{
	bool changed = false;
	uint32_t i;

	for (i = 0; i < controller->count; i++)
		changed |= tick_move(move_at(controller, i), wall);
	return changed;
}

double mc_move_controller_share(const mc_move_controller_t *controller,
				mc_row_t service, const char **from,
				const char **to)
{
	const mc_move_record_t *move = service_move(controller, service);

	*from = move ? move->from : NULL;
	*to = move ? move->to : NULL;
	return move ? move->share : 0;
}

uint32_t mc_move_controller_count(const mc_move_controller_t *controller)
{
	return controller->count;
}

void mc_move_controller_get_status(const mc_move_controller_t *controller,
				   uint32_t index, mc_move_status_t *status)
{
	const mc_move_record_t *move = move_at(controller, index);

	status->service = move->service;
	status->state = move->state;
	status->share = move->share;
	memcpy(status->reason, move->reason, sizeof(status->reason));
}

void mc_move_controller_get_digest(const mc_move_controller_t *controller,
				   uint32_t index, mc_move_digest_t *digest)
{
	const mc_move_record_t *move = move_at(controller, index);

	digest->move_hash = move->hash;
	digest->origin = controller->origin;
	digest->judged_good = move->judged_good || move->judged_good_by_peer;
	digest->taken_back = move->taken_back;
	memcpy(digest->reason, move->reason, sizeof(digest->reason));
	memcpy(digest->counts, mc_move_counts_get_local(move)->counts,
	       sizeof(digest->counts));
}

bool mc_move_controller_merge_digest(mc_move_controller_t *controller,
				     const mc_move_digest_t *digest,
				     mc_ms_t wall)
{
	mc_handle_t handle;
	mc_move_record_t *move =
		find_move(controller, digest->move_hash, &handle);
	bool known;
	char reason[sizeof(digest->reason)];

	if (!move)
		return false;
	known = move->taken_back;
	mc_move_counts_merge(move, digest);
	move->judged_good_by_peer |= digest->judged_good;
	if (digest->taken_back) {
		snprintf(reason, sizeof(reason), "%.*s",
			 (int)sizeof(reason) - 1, digest->reason);
		mc_move_take_back(move, reason);
	}
	mc_move_judge(move, wall);
	return !known && digest->taken_back;
}

bool mc_move_controller_find_unstored_verdict(
	const mc_move_controller_t *controller, const mc_config_t *config,
	mc_row_t *move)
{
	const mc_move_record_t *known;
	mc_handle_t handle;
	uint32_t i;

	for (i = 0; i < config->move_count; i++) {
		known = find_move(controller,
				  move_hash(config, &config->moves[i]),
				  &handle);
		if (!known || !known->taken_back || config->moves[i].taken_back)
			continue;
		*move = i;
		return true;
	}
	return false;
}
