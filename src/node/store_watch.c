/*
 * Reads the configuration from the store. A few processes of each data centre
 * (the watchers) watch it. The others read it only if no confirmation has
 * arrived from a watcher for some time, with jitter, so that the number of
 * calls to the store does not grow with the cluster. Watchers also read the
 * platform's list of instances, whose addresses are probed as possible peers,
 * and write verdicts on moves to the store.
 */
#include "node_private.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
	WATCH_WAIT_MS = 2000,
	RETRY_MIN_MS = 250,
	RETRY_MAX_MS = 4000,
	RETRY_DOUBLINGS_MAX = 4,
	/* A process without a confirmation for this time reads the store. */
	FALLBACK_AFTER_MS = 5000,
	FALLBACK_JITTER_MS = 5000,
	LIST_INTERVAL_MS = 10000,
	VERDICT_WRITE_INTERVAL_MS = 1000,
	SUBMISSION_ID_SIZE = 64,
};

static mc_ms_t add_jitter(mc_node_t *node, mc_ms_t base, mc_ms_t jitter)
{
	return base + (mc_ms_t)mc_random_below(mc_shard_random(node->shard),
					       (uint32_t)jitter);
}

static void update_backoff(mc_node_t *node, mc_err_t err)
{
	node_store_state_t *store = &node->store;
	mc_ms_t wait = RETRY_MIN_MS << store->failures;

	if (err != MC_ERR_STORE_UNAVAILABLE) {
		store->failures = 0;
		return;
	}
	if (store->failures < RETRY_DOUBLINGS_MAX)
		store->failures++;
	store->retry_at =
		mc_shard_now(node->shard) + add_jitter(node, wait, wait);
	/* At the maximum delay, further failures are not logged. */
	if (wait >= RETRY_MAX_MS)
		return;
	mc_log(node->log, MC_LOG_WARNING, "store",
	       "store unavailable, retrying later failures=%u",
	       store->failures);
}

/* Handles the result of a read or a watch of the configuration. */
static void handle_config_result(mc_node_t *node,
				 const mc_store_result_t *result)
{
	mc_ms_t now = mc_shard_now(node->shard);

	update_backoff(node, result->err);
	if (result->err == MC_OK) {
		node_config_adopt(node, result->data, result->size,
				  result->version, "store");
		node_config_confirm(node, result->version, 0);
	} else if (result->err == MC_ERR_TIMED_OUT) {
		node_config_confirm(node, node->config->version, 0);
	} else if (result->err == MC_ERR_NOT_FOUND) {
		node->store.retry_at =
			now + add_jitter(node, RETRY_MIN_MS, RETRY_MIN_MS);
	}
}

static void on_watch(void *ctx, const mc_store_result_t *result)
{
	mc_node_t *node = ctx;

	node->store.watching = false;
	handle_config_result(node, result);
	node_store_tick(node);
}

static void on_read(void *ctx, const mc_store_result_t *result)
{
	mc_node_t *node = ctx;

	node->store.reading = false;
	handle_config_result(node, result);
}

static void start_watch(mc_node_t *node)
{
	node_store_state_t *store = &node->store;

	store->watching = !node->params.store_api->watch(
		store->client, MC_STORE_CONFIG_NAME, node->config->version,
		WATCH_WAIT_MS, on_watch, node);
}

static void start_read(mc_node_t *node)
{
	node_store_state_t *store = &node->store;

	store->reading = !node->params.store_api->read(
		store->client, MC_STORE_CONFIG_NAME, on_read, node);
	store->read_at =
		mc_shard_now(node->shard) +
		add_jitter(node, FALLBACK_AFTER_MS, FALLBACK_JITTER_MS);
}

static const char *port_suffix(const char *address)
{
	const char *colon = strrchr(address, ':');

	return colon ? colon : "";
}

/*
 * Adds an address of the platform's list to the membership's candidates. An
 * entry without a port is an instance; its processes are assumed to use the
 * same ports as this one.
 */
static void add_instance_candidates(mc_node_t *node, const char *address)
{
	const mc_settings_t *settings = node->params.settings;
	const char *ports[] = {
		port_suffix(settings->front_peer_address),
		port_suffix(settings->gather_peer_address),
	};
	mc_ms_t now = mc_shard_now(node->shard);
	char full[MC_ADDRESS_SIZE];
	size_t i;

	if (strchr(address, ':')) {
		mc_membership_add_candidate(node->membership, address, now);
		return;
	}
	for (i = 0; i < MC_ARRAY_LEN(ports); i++) {
		if (!*ports[i])
			continue;
		snprintf(full, sizeof(full), "%s%s", address, ports[i]);
		mc_membership_add_candidate(node->membership, full, now);
	}
}

static void on_list(void *ctx, const mc_store_result_t *result)
{
	mc_node_t *node = ctx;
	json_t *list;
	json_t *entry;
	size_t i;

	node->store.listing = false;
	if (result->err)
		return;
	list = json_loadb(result->data, result->size, 0, NULL);
	json_array_foreach(list, i, entry)
	{
		const char *address =
			json_string_value(json_object_get(entry, "address"));
		const char *state =
			json_string_value(json_object_get(entry, "state"));

		if (address && (!state || strcmp(state, "leaving")))
			add_instance_candidates(node, address);
	}
	json_decref(list);
}

static void start_list(mc_node_t *node)
{
	node_store_state_t *store = &node->store;

	store->listing = !node->params.store_api->list_instances(store->client,
								 on_list, node);
	store->list_at =
		mc_shard_now(node->shard) +
		add_jitter(node, LIST_INTERVAL_MS, LIST_INTERVAL_MS / 2);
}

static void on_verdict_written(void *ctx, const mc_store_result_t *result)
{
	mc_node_t *node = ctx;

	node->store.writing = false;
	mc_log(node->log, MC_LOG_NOTICE, "move",
	       "write of a move verdict to the store finished "
	       "result=%s version=%llu",
	       mc_error_name(result->err), (unsigned long long)result->version);
}

/* Writes a verdict that the configuration in force does not contain yet. */
static void write_verdict(mc_node_t *node)
{
	node_store_state_t *store = &node->store;
	char submission[SUBMISSION_ID_SIZE];
	const mc_config_t *marked_config, *new_config;
	mc_row_t move;
	char *text;

	if (!mc_move_controller_find_unstored_verdict(node->move_controller,
						      node->config, &move) ||
	    mc_config_with_move_taken_back(node->config, move, &marked_config))
		return;
	store->write_at = mc_shard_now(node->shard) +
			  add_jitter(node, VERDICT_WRITE_INTERVAL_MS,
				     VERDICT_WRITE_INTERVAL_MS);
	snprintf(submission, sizeof(submission), "taken-back-%llu-%016llx",
		 (unsigned long long)node->config->version,
		 (unsigned long long)mc_hash_string(node->address));
	if (!mc_config_with_submission(marked_config, submission,
				       &new_config)) {
		if (!mc_config_print(new_config, &text)) {
			store->writing = !node->params.store_api->update(
				store->client, MC_STORE_CONFIG_NAME,
				node->config->version, text, strlen(text),
				on_verdict_written, node);
			free(text);
		}
		mc_config_unref(new_config);
	}
	mc_config_unref(marked_config);
}

void node_store_tick(mc_node_t *node)
{
	node_store_state_t *store = &node->store;
	mc_ms_t now = mc_shard_now(node->shard);
	bool is_watcher =
		mc_membership_is_watcher(node->membership, NODE_WATCHERS);

	if (now < store->retry_at)
		return;
	if (is_watcher && !store->watching)
		start_watch(node);
	if (is_watcher && !store->listing && now >= store->list_at)
		start_list(node);
	if (is_watcher && !store->writing && now >= store->write_at)
		write_verdict(node);
	if (store->watching || store->reading || now < store->read_at)
		return;
	if (node->confirmed_at < 0 ||
	    now - node->confirmed_at > FALLBACK_AFTER_MS)
		start_read(node);
}
