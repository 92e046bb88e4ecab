/*
 * Creation of a node, its timers, messages from peers, and leaving the cluster.
 */
#include "node_private.h"

#include <stdlib.h>
#include <string.h>

enum {
	PROBE_INTERVAL_MS = 500,
	PROBE_TIMEOUT_MS = 250,
	SUSPECT_TIME_MS = 2000,
	STORE_TICK_MS = 250,
	IDLE_LINKS_INTERVAL_MS = 5000,
};

static void send_member_message(void *ctx, const char *address,
				const mc_member_message_t *message)
{
	mc_node_t *node = ctx;
	const mc_wire_message_t wire = {
		.kind = MC_WIRE_MEMBER,
		.member = *message,
	};

	if (message->kind == MC_MEMBER_PING)
		mc_counter_add(mc_shard_counters(node->shard),
			       MC_COUNTER_PROBES, 1);
	node_send(node, address, &wire);
}

static void on_members_changed(void *ctx)
{
	node_schedule_publish(ctx);
}

static void run_membership_timer(mc_shard_t *shard, void *arg)
{
	mc_node_t *node = arg;
	mc_ms_t next =
		mc_membership_tick(node->membership, mc_shard_now(shard));

	mc_timer_set(shard, next, run_membership_timer, node,
		     &node->member_timer);
}

static void run_store_timer(mc_shard_t *shard, void *arg)
{
	mc_node_t *node = arg;
	mc_handle_t timer;

	node_store_tick(node);
	mc_timer_set(shard, mc_shard_now(shard) + STORE_TICK_MS,
		     run_store_timer, node, &timer);
}

static void run_digest_timer(mc_shard_t *shard, void *arg)
{
	mc_node_t *node = arg;
	mc_handle_t timer;

	if (node->config->version)
		node_config_send_digest(node);
	node_moves_tick(node);
	mc_timer_set(shard, mc_shard_now(shard) + NODE_DIGEST_INTERVAL_MS,
		     run_digest_timer, node, &timer);
}

/*
 * Confirms the view only while the membership is fresh, so that after a pause
 * of the process no shard acts on outdated state. The membership tick comes
 * first, because it detects the pause.
 */
static void run_confirm_timer(mc_shard_t *shard, void *arg)
{
	mc_node_t *node = arg;
	mc_ms_t now = mc_shard_now(shard);
	mc_handle_t timer;

	mc_membership_tick(node->membership, now);
	if (mc_membership_is_fresh(node->membership))
		node->params.confirm_view(node->params.ctx, now,
					  node->confirmed_at);
	mc_timer_set(shard, now + NODE_CONFIRM_INTERVAL_MS, run_confirm_timer,
		     node, &timer);
}

static void run_idle_links_timer(mc_shard_t *shard, void *arg)
{
	mc_node_t *node = arg;
	mc_handle_t timer;

	node_close_idle_links(node);
	mc_timer_set(shard, mc_shard_now(shard) + IDLE_LINKS_INTERVAL_MS,
		     run_idle_links_timer, node, &timer);
}

static void start_on_shard(mc_shard_t *shard, void *arg)
{
	mc_node_t *node = arg;
	const mc_settings_t *settings = node->params.settings;
	uint32_t i;

	for (i = 0; i < settings->peer_count; i++) {
		if (!strcmp(settings->peers[i], node->address))
			continue;
		mc_membership_add_candidate(node->membership,
					    settings->peers[i],
					    mc_shard_now(shard));
		node_config_request(node, settings->peers[i]);
	}
	node_schedule_publish(node);
	run_membership_timer(shard, node);
	run_store_timer(shard, node);
	run_digest_timer(shard, node);
	run_confirm_timer(shard, node);
	run_idle_links_timer(shard, node);
}

/*
 * The wall time of the start is the incarnation. It is higher than that of an
 * earlier process at the same address, so peers prefer this process's state to
 * what they knew of the earlier one.
 */
static mc_member_params_t make_member_params(mc_node_t *node, mc_ms_t started)
{
	const mc_settings_t *settings = node->params.settings;
	mc_member_params_t params = {
		.self.incarnation = (uint64_t)started,
		.self.is_gather = node->params.role == MC_ROLE_GATHER,
		.probe_interval = PROBE_INTERVAL_MS,
		.probe_timeout = PROBE_TIMEOUT_MS,
		.suspect_time = SUSPECT_TIME_MS,
		.seed = mc_hash_pair(settings->seed,
				     mc_hash_string(node->address)),
		.send = send_member_message,
		.on_change = on_members_changed,
		.ctx = node,
	};

	strncpy(params.self.address, node->address,
		sizeof(params.self.address) - 1);
	strncpy(params.self.data_center, settings->data_center,
		sizeof(params.self.data_center) - 1);
	return params;
}

static mc_err_t create_components(mc_node_t *node)
{
	mc_ms_t started = mc_clock_wall(mc_shard_clock(node->shard));
	const mc_member_params_t params = make_member_params(node, started);
	uint64_t origin =
		mc_hash_pair(mc_hash_string(node->address), (uint64_t)started);
	mc_ms_t now = mc_shard_now(node->shard);

	if (apr_pool_create(&node->pool, NULL))
		return MC_ERR_NO_MEMORY;
	node->links = apr_hash_make(node->pool);
	node->config = mc_config_create_empty();
	node->membership = mc_membership_create(&params, now);
	node->move_controller = mc_move_controller_create(origin);
	node->store.client = mc_store_create(
		node->shard, node->params.settings->platform_address,
		NODE_CALL_TIMEOUT_MS);
	if (!node->membership || !node->move_controller || !node->store.client)
		return mc_fail(MC_ERR_NO_MEMORY,
			       "out of memory while creating a node");
	return mc_shard_post(node->shard, start_on_shard, node);
}

mc_node_t *mc_node_create(const mc_node_params_t *params)
{
	mc_node_t *node = calloc(1, sizeof(*node));

	if (!node)
		return NULL;
	node->params = *params;
	node->shard = params->shard;
	node->log = mc_shard_log(params->shard);
	node->confirmed_at = -1;
	node->address = params->role == MC_ROLE_GATHER
				? params->settings->gather_peer_address
				: params->settings->front_peer_address;
	if (create_components(node)) {
		mc_node_destroy(node);
		return NULL;
	}
	return node;
}

void mc_node_destroy(mc_node_t *node)
{
	if (!node)
		return;
	if (node->links)
		node_close_all_links(node);
	mc_store_destroy(node->store.client);
	mc_move_controller_destroy(node->move_controller);
	mc_membership_destroy(node->membership);
	if (node->config)
		mc_config_unref(node->config);
	free(node->config_text);
	if (node->pool)
		apr_pool_destroy(node->pool);
	free(node);
}

bool mc_node_handles_kind(mc_wire_kind_t kind)
{
	switch (kind) {
	case MC_WIRE_MEMBER:
	case MC_WIRE_CONFIG:
	case MC_WIRE_CONFIG_DIGEST:
	case MC_WIRE_CONFIG_REQUEST:
	case MC_WIRE_MOVE:
		return true;
	default:
		return false;
	}
}

typedef struct {
	mc_node_t *node;
	mc_wire_message_t *message;
} received_message_t;

static void run_receive(mc_shard_t *shard, void *arg)
{
	received_message_t *received = arg;
	mc_node_t *node = received->node;
	const mc_wire_message_t *message = received->message;

	switch (message->kind) {
	case MC_WIRE_MEMBER:
		mc_membership_receive(node->membership, &message->member,
				      mc_shard_now(shard));
		break;
	case MC_WIRE_MOVE:
		node_moves_receive(node, &message->move);
		break;
	default:
		node_config_receive(node, message);
	}
	mc_wire_free(received->message);
	free(received);
}

void mc_node_receive(mc_node_t *node, mc_wire_message_t *message)
{
	received_message_t *received = malloc(sizeof(*received));

	if (!received) {
		mc_wire_free(message);
		return;
	}
	*received = (received_message_t){ .node = node, .message = message };
	if (mc_shard_post(node->shard, run_receive, received)) {
		mc_wire_free(message);
		free(received);
	}
}

static void run_leave(mc_shard_t *shard, void *arg)
{
	mc_node_t *node = arg;

	mc_membership_leave(node->membership, mc_shard_now(shard));
}

void mc_node_leave(mc_node_t *node)
{
	mc_shard_post(node->shard, run_leave, node);
}
