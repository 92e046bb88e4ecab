/*
 * Gossip of the configuration. The highest version always wins: an older one,
 * from the store or from a peer, is counted and ignored. A process that adopts
 * a version sends its number (a digest) to a few peers. Peers with an older
 * version request the text, so that the text is sent about once per process.
 * Periodic digests make up for lost messages.
 */
#include "node_private.h"

#include <stdlib.h>
#include <string.h>

static mc_wire_message_t make_config_message(const mc_node_t *node,
					     mc_wire_kind_t kind)
{
	mc_ms_t age = -1;

	if (node->confirmed_at >= 0)
		age = mc_shard_now(node->shard) - node->confirmed_at;
	return (mc_wire_message_t){
		.kind = kind,
		.config = {
			.version = node->config->version,
			.text = "",
			.sender_address = node->address,
			.age = age,
		},
	};
}

void node_config_send_digest(mc_node_t *node)
{
	const mc_wire_message_t digest =
		make_config_message(node, MC_WIRE_CONFIG_DIGEST);
	const node_peer_filter_t local_peers = {
		.same_data_center = true,
		.count = NODE_GOSSIP_FANOUT,
	};
	const node_peer_filter_t any_peer = { .count = 1 };

	node_send_to_random_peers(node, &local_peers, &digest);
	node_send_to_random_peers(node, &any_peer, &digest);
}

void node_config_request(mc_node_t *node, const char *address)
{
	const mc_wire_message_t request =
		make_config_message(node, MC_WIRE_CONFIG_REQUEST);

	node_send(node, address, &request);
}

static void send_config(mc_node_t *node, const char *address)
{
	mc_wire_message_t message = make_config_message(node, MC_WIRE_CONFIG);

	if (!node->config_text)
		return;
	message.config.text = node->config_text;
	node_send(node, address, &message);
}

void node_config_confirm(mc_node_t *node, uint64_t version, mc_ms_t age)
{
	mc_ms_t at = mc_shard_now(node->shard) - age;

	if (age < 0 || version != node->config->version ||
	    at <= node->confirmed_at)
		return;
	node->confirmed_at = at;
}

static void log_config_error(mc_node_t *node, uint64_t version,
			     const mc_config_errors_t *errors)
{
	mc_log(node->log, MC_LOG_ERROR, "config",
	       "invalid configuration rejected version=%llu faults=%u line=%u "
	       "key=%s message=\"%s\"",
	       (unsigned long long)version, errors->count, errors->list[0].line,
	       errors->list[0].key, errors->list[0].message);
}

void node_config_adopt(mc_node_t *node, const char *text, size_t size,
		       uint64_t version, const char *source)
{
	mc_counters_t *counters = mc_shard_counters(node->shard);
	mc_config_errors_t errors = { 0 };
	const mc_config_t *config;
	char *copy;

	if (version <= node->config->version) {
		if (version < node->config->version)
			mc_counter_add(counters, MC_COUNTER_CONFIG_STALE, 1);
		return;
	}
	if (mc_config_parse(text, size, version, 0, &config, &errors)) {
		log_config_error(node, version, &errors);
		return;
	}
	copy = strndup(text, size);
	if (!copy) {
		mc_config_unref(config);
		return;
	}
	mc_log(node->log, MC_LOG_NOTICE, "config",
	       "configuration in force version=%llu submission=%s source=%s",
	       (unsigned long long)version, config->submission, source);
	mc_config_unref(node->config);
	free(node->config_text);
	node->config = config;
	node->config_text = copy;
	node->confirmed_at = -1;
	mc_counter_add(counters, MC_COUNTER_CONFIG_CHANGES, 1);
	mc_move_controller_set_config(
		node->move_controller, config,
		mc_clock_wall(mc_shard_clock(node->shard)));
	node_schedule_publish(node);
	node_config_send_digest(node);
}

void node_config_receive(mc_node_t *node, const mc_wire_message_t *message)
{
	const mc_wire_config_t *config = &message->config;
	uint64_t own = node->config->version;

	switch (message->kind) {
	case MC_WIRE_CONFIG:
		node_config_adopt(node, config->text, strlen(config->text),
				  config->version, config->sender_address);
		node_config_confirm(node, config->version, config->age);
		break;
	case MC_WIRE_CONFIG_DIGEST:
		node_config_confirm(node, config->version, config->age);
		if (config->version > own)
			node_config_request(node, config->sender_address);
		else if (config->version < own)
			send_config(node, config->sender_address);
		break;
	case MC_WIRE_CONFIG_REQUEST:
		if (config->version < own)
			send_config(node, config->sender_address);
		break;
	default:
		break;
	}
}
