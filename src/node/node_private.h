/*
 * State of a node, shared by the files of the node library. Only the thread of
 * the control shard may use it.
 */
#ifndef MC_NODE_PRIVATE_H
#define MC_NODE_PRIVATE_H

#include <apr_hash.h>
#include <apr_pools.h>

#include "mc/node.h"

enum {
	/* Number of processes in each data centre that watch the store. */
	NODE_WATCHERS = 3,
	/* Number of peers that a digest is sent to. */
	NODE_GOSSIP_FANOUT = 4,
	/* Interval of digests, which make up for lost messages, ms. */
	NODE_DIGEST_INTERVAL_MS = 1000,
	/* Interval of mc_node_params_t.confirm_view, ms. */
	NODE_CONFIRM_INTERVAL_MS = 500,
	/* Timeout of a call to the store, ms. */
	NODE_CALL_TIMEOUT_MS = 2000,
};

/**
 * struct node_store_state_t - state of a process's calls to the store
 * @client: client of the store
 * @watching: a watch of the configuration is in progress
 * @reading: a read of the configuration is in progress
 * @writing: a write of a verdict on a move is in progress
 * @listing: a read of the list of instances is in progress
 * @retry_at: no calls before this time, ms
 * @read_at: earliest time of the next read, ms
 * @list_at: earliest time of the next read of the list, ms
 * @write_at: earliest time of the next write, ms
 * @failures: consecutive failures, at most RETRY_DOUBLINGS_MAX
 */
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
} node_store_state_t;

/**
 * struct mc_node_t - a node
 * @params: its parameters
 * @shard: control shard
 * @log: log of the shard
 * @address: this process's own address for peers
 * @pool: memory pool of @links
 * @links: links to peers by address, peer_link_t
 * @membership: state of the members
 * @move_controller: state of the version moves
 * @member_timer: next call of mc_membership_tick()
 * @config: configuration in force
 * @config_text: its text, to send to peers; NULL if it has none
 * @confirmed_at: when the store last confirmed @config, ms; -1 for never
 * @store: calls to the store
 * @digest_at: unused
 * @outcome_count: number of outcomes recorded
 * @outcome_count_sent: @outcome_count when digests were last sent
 * @publish_pending: a view will be published at the end of this turn of the
 *	event loop
 */
struct mc_node_t {
	mc_node_params_t params;
	mc_shard_t *shard;
	mc_log_t *log;
	const char *address;
	apr_pool_t *pool;
	apr_hash_t *links;
	mc_membership_t *membership;
	mc_move_controller_t *move_controller;
	mc_handle_t member_timer;
	const mc_config_t *config;
	char *config_text;
	mc_ms_t confirmed_at;
	node_store_state_t store;
	mc_ms_t digest_at;
	uint64_t outcome_count;
	uint64_t outcome_count_sent;
	bool publish_pending;
};

/* Sends a message to the peer at @address; opens a link if necessary. */
void node_send(mc_node_t *node, const char *address,
	       const mc_wire_message_t *message);
/* Closes the links on which nothing was sent for 30 s. */
void node_close_idle_links(mc_node_t *node);
void node_close_all_links(mc_node_t *node);

/**
 * struct node_peer_filter_t - selection of random usable peers
 * @same_data_center: only peers in this process's data centre
 * @fronts_only: only fronts
 * @count: number of peers; all matching ones if there are fewer
 */
typedef struct {
	bool same_data_center;
	bool fronts_only;
	uint32_t count;
} node_peer_filter_t;
/* Sends a message to randomly selected peers. */
void node_send_to_random_peers(mc_node_t *node, const node_peer_filter_t *peers,
			       const mc_wire_message_t *message);

/* Publishes a new view at the end of this turn of the event loop. */
void node_schedule_publish(mc_node_t *node);

/*
 * Puts a configuration from the store or a peer into force if it is valid and
 * newer than the current one.
 */
void node_config_adopt(mc_node_t *node, const char *text, size_t size,
		       uint64_t version, const char *source);
void node_config_receive(mc_node_t *node, const mc_wire_message_t *message);
/* Sends the version of the configuration in force to random peers. */
void node_config_send_digest(mc_node_t *node);
/* Asks a peer for its configuration if that is newer. */
void node_config_request(mc_node_t *node, const char *address);
/*
 * Records that the store confirmed @age ms ago that @version is the newest. A
 * negative @age means that it was never confirmed.
 */
void node_config_confirm(mc_node_t *node, uint64_t version, mc_ms_t age);

void node_store_tick(mc_node_t *node);

void node_moves_tick(mc_node_t *node);
void node_moves_receive(mc_node_t *node, const mc_move_digest_t *digest);

#endif
