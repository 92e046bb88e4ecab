/*
 * The configuration in force and how it spreads. The highest version wins for
 * ever: an older one, from the store or from a peer, is counted and ignored.
 * A process that adopts a version tells a few peers its number, and those that
 * lack it ask for the text, so that the text travels about once per process.
 * Digests at an interval repair what was lost.
 */
#include "node_private.h"

#include <stdlib.h>
#include <string.h>

static mc_wire_message_t digest_of(const mc_node_t *node, mc_wire_kind_t kind)
{
	mc_ms_t age = -1;

	if (node->confirmed >= 0)
		age = mc_shard_now(node->shard) - node->confirmed;
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

void node_config_tell(mc_node_t *node)
{
	const mc_wire_message_t digest = digest_of(node, MC_WIRE_CONFIG_DIGEST);
	const node_peers_t near = {
		.same_data_center = true,
		.count = NODE_FANOUT,
	};
	const node_peers_t anywhere = { .count = 1 };

	node_send_random(node, &near, &digest);
	node_send_random(node, &anywhere, &digest);
}

void node_config_ask(mc_node_t *node, const char *address)
{
	const mc_wire_message_t request =
		digest_of(node, MC_WIRE_CONFIG_REQUEST);

	node_send(node, address, &request);
}

static void send_config(mc_node_t *node, const char *address)
{
	mc_wire_message_t message = digest_of(node, MC_WIRE_CONFIG);

	if (!node->config_text)
		return;
	message.config.text = node->config_text;
	node_send(node, address, &message);
}

void node_config_confirm(mc_node_t *node, uint64_t version, mc_ms_t age)
{
	mc_ms_t at = mc_shard_now(node->shard) - age;

	if (age < 0 || version != node->config->version ||
	    at <= node->confirmed)
		return;
	node->confirmed = at;
}

static void log_fault(mc_node_t *node, uint64_t version,
		      const mc_config_errors_t *faults)
{
	mc_log(node->log, MC_LOG_ERROR, "config",
	       "configuration refused version=%llu faults=%u line=%u key=%s "
	       "message=\"%s\"",
	       (unsigned long long)version, faults->count, faults->list[0].line,
	       faults->list[0].key, faults->list[0].message);
}

void node_config_adopt(mc_node_t *node, const char *text, size_t size,
		       uint64_t version, const char *source)
{
	mc_counters_t *counters = mc_shard_counters(node->shard);
	mc_config_errors_t faults = { 0 };
	const mc_config_t *config;
	char *copy;

	if (version <= node->config->version) {
		if (version < node->config->version)
			mc_counter_add(counters, MC_COUNTER_CONFIG_STALE, 1);
		return;
	}
	if (mc_config_parse(text, size, version, 0, &config, &faults)) {
		log_fault(node, version, &faults);
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
	node->confirmed = -1;
	mc_counter_add(counters, MC_COUNTER_CONFIG_CHANGES, 1);
	mc_move_controller_set_config(
		node->mover, config,
		mc_clock_wall(mc_shard_clock(node->shard)));
	node_publish(node);
	node_config_tell(node);
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
			node_config_ask(node, config->sender_address);
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
