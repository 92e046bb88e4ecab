/*
 * Outcomes and verdicts of version moves. During a move, the fronts of a data
 * centre exchange their counts of outcomes. The verdict that a move is taken
 * back is sent to every process of the data centre immediately and does not
 * depend on the store.
 */
#include "node_private.h"

#include <stdlib.h>
#include <string.h>

typedef struct {
	mc_node_t *node;
	const mc_view_t *view;
	uint32_t count;
	mc_node_outcome_t outcomes[];
} outcome_batch_t;

static void send_digest(mc_node_t *node, uint32_t move,
			const node_peer_filter_t *peers)
{
	mc_wire_message_t message = { .kind = MC_WIRE_MOVE };

	mc_move_controller_get_digest(node->move_controller, move,
				      &message.move);
	node_send_to_random_peers(node, peers, &message);
}

static void send_digests(mc_node_t *node)
{
	const node_peer_filter_t local_peers = {
		.same_data_center = true,
		.fronts_only = true,
		.count = NODE_GOSSIP_FANOUT,
	};
	const node_peer_filter_t any_peer = { .fronts_only = true, .count = 1 };
	uint32_t i;

	if (node->outcome_count == node->outcome_count_sent)
		return;
	node->outcome_count_sent = node->outcome_count;
	for (i = 0; i < mc_move_controller_count(node->move_controller); i++) {
		send_digest(node, i, &local_peers);
		send_digest(node, i, &any_peer);
	}
}

/*
 * Sends the digests of all moves that were taken back, by this process or by a
 * peer, to @local_peer_count peers of the data centre and to a few peers of any
 * data centre.
 */
static void send_verdicts(mc_node_t *node, uint32_t local_peer_count)
{
	const node_peer_filter_t local_peers = {
		.same_data_center = true,
		.count = local_peer_count,
	};
	const node_peer_filter_t any_peers = { .count = NODE_GOSSIP_FANOUT };
	mc_move_status_t status;
	uint32_t i;

	for (i = 0; i < mc_move_controller_count(node->move_controller); i++) {
		mc_move_controller_get_status(node->move_controller, i,
					      &status);
		if (status.state != MC_MOVE_TAKEN_BACK)
			continue;
		send_digest(node, i, &local_peers);
		send_digest(node, i, &any_peers);
		mc_log(node->log, MC_LOG_WARNING, "move",
		       "version move taken back service=%s reason=\"%s\"",
		       node->config->services[status.service].name,
		       status.reason);
		mc_counter_add(mc_shard_counters(node->shard),
			       MC_COUNTER_MOVES_TAKEN_BACK, 1);
	}
}

static uint32_t count_taken_back_moves(const mc_node_t *node)
{
	mc_move_status_t status;
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < mc_move_controller_count(node->move_controller); i++) {
		mc_move_controller_get_status(node->move_controller, i,
					      &status);
		if (status.state == MC_MOVE_TAKEN_BACK)
			count++;
	}
	return count;
}

/*
 * Publishes a view after changes to moves. If more than @before moves are
 * taken back now, also notifies @local_peer_count peers of the data centre.
 */
static void publish_changes(mc_node_t *node, uint32_t before, bool changed,
			    uint32_t local_peer_count)
{
	bool has_new_verdict = count_taken_back_moves(node) > before;

	if (has_new_verdict)
		send_verdicts(node, local_peer_count);
	if (has_new_verdict || changed)
		node_schedule_publish(node);
}

static bool evaluate_moves(mc_node_t *node)
{
	mc_ms_t wall = mc_clock_wall(mc_shard_clock(node->shard));

	return mc_move_controller_tick(node->move_controller, wall);
}

/*
 * Evaluates moves and sends digests. Only fronts do so, because only they see
 * outcomes: a gather would find too few of them when the move is due. Gathers
 * receive verdicts from fronts.
 */
void node_moves_tick(mc_node_t *node)
{
	uint32_t before = count_taken_back_moves(node);

	if (!mc_move_controller_count(node->move_controller) ||
	    node->params.role != MC_ROLE_FRONT)
		return;
	publish_changes(node, before, evaluate_moves(node), MC_MEMBERS_MAX);
	send_digests(node);
}

void node_moves_receive(mc_node_t *node, const mc_move_digest_t *digest)
{
	mc_ms_t wall = mc_clock_wall(mc_shard_clock(node->shard));
	uint32_t before = count_taken_back_moves(node);
	bool changed = mc_move_controller_merge_digest(node->move_controller,
						       digest, wall);

	/*
	 * The process that takes a move back notifies all peers of the data
	 * centre. One that receives the verdict forwards it to a few.
	 */
	publish_changes(node, before, changed,
			digest->taken_back ? NODE_GOSSIP_FANOUT
					   : MC_MEMBERS_MAX);
}

/*
 * Records one outcome. Its rows refer to the observer's configuration, which
 * may be older than the one in force, so the service is looked up by name.
 */
static void record_outcome(mc_node_t *node, const mc_config_t *config,
			   const mc_node_outcome_t *outcome, mc_ms_t wall)
{
	mc_row_t service = outcome->service;

	if (config != node->config)
		service = mc_config_find_service(
			node->config, config->services[service].name);
	if (service == MC_ROW_NONE)
		return;
	mc_move_controller_record_outcome(
		node->move_controller, service,
		config->targets[outcome->target].version, outcome->route,
		outcome->failed, outcome->latency, wall);
	node->outcome_count++;
}

/* Evaluates the moves at once, because one outcome may take a move back. */
static void run_record_outcomes(mc_shard_t *shard, void *arg)
{
	outcome_batch_t *batch = arg;
	mc_node_t *node = batch->node;
	mc_ms_t wall = mc_clock_wall(mc_shard_clock(shard));
	uint32_t before = count_taken_back_moves(node);
	uint32_t i;

	if (mc_move_controller_count(node->move_controller)) {
		for (i = 0; i < batch->count; i++)
			record_outcome(node, batch->view->config,
				       &batch->outcomes[i], wall);
		publish_changes(node, before, evaluate_moves(node),
				MC_MEMBERS_MAX);
	}
	mc_view_unref(batch->view);
	free(batch);
}

void mc_node_record_outcomes(mc_node_t *node, const mc_view_t *view,
			     const mc_node_outcome_t *outcomes, uint32_t count)
{
	outcome_batch_t *batch =
		malloc(sizeof(*batch) + count * sizeof(*outcomes));

	if (!batch)
		return;
	batch->node = node;
	batch->view = mc_view_ref(view);
	batch->count = count;
	memcpy(batch->outcomes, outcomes, count * sizeof(*outcomes));
	if (mc_shard_post(node->shard, run_record_outcomes, batch)) {
		mc_view_unref(view);
		free(batch);
	}
}
