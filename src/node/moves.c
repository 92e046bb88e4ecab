/*
 * Evidence and verdicts on version moves. Fronts of one data centre share
 * their counts while a move goes on; a verdict goes to every process of the
 * data centre at once and needs no store.
 */
#include "node_private.h"

#include <stdlib.h>
#include <string.h>

typedef struct {
	mc_node_t *node;
	const mc_view_t *view;
	uint32_t count;
	mc_node_outcome_t list[];
} evidence_t;

static void send_digest(mc_node_t *node, uint32_t move,
			const node_peers_t *peers)
{
	mc_wire_message_t message = { .kind = MC_WIRE_MOVE };

	mc_move_controller_get_digest(node->mover, move, &message.move);
	node_send_random(node, peers, &message);
}

static void send_digests(mc_node_t *node)
{
	const node_peers_t near = {
		.same_data_center = true,
		.fronts_only = true,
		.count = NODE_FANOUT,
	};
	const node_peers_t anywhere = { .fronts_only = true, .count = 1 };
	uint32_t i;

	if (node->observed == node->observed_sent)
		return;
	node->observed_sent = node->observed;
	for (i = 0; i < mc_move_controller_count(node->mover); i++) {
		send_digest(node, i, &near);
		send_digest(node, i, &anywhere);
	}
}

/* A move was taken back here or at a peer: peers learn it now. */
static void spread_verdicts(mc_node_t *node, uint32_t near)
{
	const node_peers_t near_peers = {
		.same_data_center = true,
		.count = near,
	};
	const node_peers_t far = { .count = NODE_FANOUT };
	mc_move_status_t status;
	uint32_t i;

	for (i = 0; i < mc_move_controller_count(node->mover); i++) {
		mc_move_controller_get_status(node->mover, i, &status);
		if (status.state != MC_MOVE_TAKEN_BACK)
			continue;
		send_digest(node, i, &near_peers);
		send_digest(node, i, &far);
		mc_log(node->log, MC_LOG_WARNING, "move",
		       "version taken back service=%s reason=\"%s\"",
		       node->config->services[status.service].name,
		       status.reason);
		mc_counter_add(mc_shard_counters(node->shard),
			       MC_COUNTER_MOVES_TAKEN_BACK, 1);
	}
}

static uint32_t taken_back(const mc_node_t *node)
{
	mc_move_status_t status;
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < mc_move_controller_count(node->mover); i++) {
		mc_move_controller_get_status(node->mover, i, &status);
		if (status.state == MC_MOVE_TAKEN_BACK)
			count++;
	}
	return count;
}

/*
 * Publishes what changed; @before is the number taken back until now. Who finds
 * a verdict tells @near peers of the data centre.
 */
static void tell(mc_node_t *node, uint32_t before, bool changed, uint32_t near)
{
	bool verdict = taken_back(node) > before;

	if (verdict)
		spread_verdicts(node, near);
	if (verdict || changed)
		node_publish(node);
}

static bool judge(mc_node_t *node)
{
	mc_ms_t wall = mc_clock_wall(mc_shard_clock(node->shard));

	return mc_move_controller_tick(node->mover, wall);
}

/*
 * Only fronts see outcomes. A gather would find too little evidence at the
 * move's time; it learns verdicts from fronts.
 */
void node_moves_tick(mc_node_t *node)
{
	uint32_t before = taken_back(node);

	if (!mc_move_controller_count(node->mover) ||
	    node->params.role != MC_ROLE_FRONT)
		return;
	tell(node, before, judge(node), MC_MEMBERS_MAX);
	send_digests(node);
}

void node_moves_receive(mc_node_t *node, const mc_move_digest_t *digest)
{
	mc_ms_t wall = mc_clock_wall(mc_shard_clock(node->shard));
	uint32_t before = taken_back(node);
	bool changed =
		mc_move_controller_merge_digest(node->mover, digest, wall);

	/* Who only heard of it passes it on to some. */
	tell(node, before, changed,
	     digest->taken_back ? NODE_FANOUT : MC_MEMBERS_MAX);
}

/* Rows of the evidence are of the view that the observer had. */
static void observe_one(mc_node_t *node, const mc_config_t *config,
			const mc_node_outcome_t *evidence, mc_ms_t wall)
{
	mc_row_t service = evidence->service;

	if (config != node->config)
		service = mc_config_find_service(
			node->config, config->services[service].name);
	if (service == MC_ROW_NONE)
		return;
	mc_move_controller_record_outcome(
		node->mover, service, config->targets[evidence->target].version,
		evidence->route, evidence->failed, evidence->latency, wall);
	node->observed++;
}

/* An observation alone may bring a verdict. */
static void run_observe(mc_shard_t *shard, void *arg)
{
	evidence_t *evidence = arg;
	mc_node_t *node = evidence->node;
	mc_ms_t wall = mc_clock_wall(mc_shard_clock(shard));
	uint32_t before = taken_back(node);
	uint32_t i;

	if (mc_move_controller_count(node->mover)) {
		for (i = 0; i < evidence->count; i++)
			observe_one(node, evidence->view->config,
				    &evidence->list[i], wall);
		tell(node, before, judge(node), MC_MEMBERS_MAX);
	}
	mc_view_unref(evidence->view);
	free(evidence);
}

void mc_node_record_outcomes(mc_node_t *node, const mc_view_t *view,
			     const mc_node_outcome_t *list, uint32_t count)
{
	evidence_t *evidence =
		malloc(sizeof(*evidence) + count * sizeof(*list));

	if (!evidence)
		return;
	evidence->node = node;
	evidence->view = mc_view_ref(view);
	evidence->count = count;
	memcpy(evidence->list, list, count * sizeof(*list));
	if (mc_shard_post(node->shard, run_observe, evidence)) {
		mc_view_unref(view);
		free(evidence);
	}
}
