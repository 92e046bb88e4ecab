/*
 * The node's state, as the files of this library share it. All of it belongs
 * to the control shard and is used on its thread only.
 */
#ifndef MC_NODE_PRIVATE_H
#define MC_NODE_PRIVATE_H

#include <apr_hash.h>
#include <apr_pools.h>

#include "mc/node.h"

enum {
	/* Processes of each data centre that watch the store. */
	NODE_WATCHERS = 3,
	/* Peers that a digest goes to. */
	NODE_FANOUT = 4,
	/* Interval of digests that repair what was lost, ms. */
	NODE_DIGEST_INTERVAL_MS = 1000,
	/* Interval of mc_node_params_t.confirm, ms. */
	NODE_CONFIRM_INTERVAL_MS = 500,
	NODE_CALL_TIMEOUT_MS = 2000,
};

/* Where a process stands with the store. */
typedef struct {
	mc_store_t *client;
	bool watching;
	bool reading;
	bool writing;
	bool listing;
	mc_ms_t retry_at;
	mc_ms_t read_at;
	mc_ms_t list_at;
	mc_ms_t write_at;
	uint32_t failures;
} node_store_t;

struct mc_node_t {
	mc_node_params_t params;
	mc_shard_t *shard;
	mc_log_t *log;
	const char *address;
	apr_pool_t *pool;
	/* Links to peers by address. */
	apr_hash_t *links;
	mc_membership_t *membership;
	mc_move_controller_t *mover;
	mc_handle_t member_timer;
	const mc_config_t *config;
	char *config_text;
	mc_ms_t confirmed;
	node_store_t store;
	mc_ms_t digest_at;
	uint64_t observed;
	uint64_t observed_sent;
	bool publish_pending;
};

/* Sends a message to the peer at @address; opens a link if there is none. */
void node_send(mc_node_t *node, const char *address,
	       const mc_wire_message_t *message);
/* Closes links that were not used for some time. */
void node_links_prune(mc_node_t *node);
void node_links_close(mc_node_t *node);

/* Chooses @count random usable peers; all of them if there are fewer. */
typedef struct {
	bool same_data_center;
	bool fronts_only;
	uint32_t count;
} node_peers_t;
void node_send_random(mc_node_t *node, const node_peers_t *peers,
		      const mc_wire_message_t *message);

/* Publishes a view at the end of this turn. */
void node_publish(mc_node_t *node);

/* A configuration's text arrived from the store or from a peer. */
void node_config_adopt(mc_node_t *node, const char *text, size_t size,
		       uint64_t version, const char *source);
void node_config_receive(mc_node_t *node, const mc_wire_message_t *message);
void node_config_tell(mc_node_t *node);
void node_config_ask(mc_node_t *node, const char *address);
/* The store said, @age ms ago, that @version is the newest. */
void node_config_confirm(mc_node_t *node, uint64_t version, mc_ms_t age);

void node_store_tick(mc_node_t *node);

void node_moves_tick(mc_node_t *node);
void node_moves_receive(mc_node_t *node, const mc_move_digest_t *digest);

#endif
