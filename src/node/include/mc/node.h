/*
 * Public header of the node library: the state of the cluster as one process
 * sees it. It connects the libraries config, member and move, which do no I/O,
 * with the store and with links to peers. It runs on one control shard and
 * publishes immutable views.
 */
#ifndef MC_NODE_H
#define MC_NODE_H

#include "mc/config.h"
#include "mc/member.h"
#include "mc/move.h"
#include "mc/net.h"
#include "mc/settings.h"
#include "mc/store.h"
#include "mc/wire.h"

enum {
	/* A view must not be used if it was not confirmed for this time. */
	MC_VIEW_AGE_MAX_MS = 3000,
};

/**
 * struct mc_view_gather_t - a gather in any data centre
 * @key: hash of @address
 * @address: address that fronts connect to
 * @data_center: row of its data centre, or MC_ROW_NONE
 * @usable: it may get new requests
 */
typedef struct mc_view_gather_t {
	uint64_t key;
	char address[MC_ADDRESS_SIZE];
	mc_row_t data_center;
	bool usable;
} mc_view_gather_t;

/**
 * struct mc_view_move_t - status of a version move
 * @service: row of the service
 * @from: old version
 * @to: new version
 * @state: progress of the move
 * @share: share of the requests that go to the new version, in [0, 1]
 * @reason: last decision about the move and its reason
 */
typedef struct mc_view_move_t {
	mc_row_t service;
	char from[MC_NAME_SIZE];
	char to[MC_NAME_SIZE];
	mc_move_state_t state;
	double share;
	char reason[96];
} mc_view_move_t;

/**
 * struct mc_view_t - state of the cluster; immutable once published
 * @config: configuration in force
 * @data_center: row of this process's data centre, or MC_ROW_NONE
 * @member_count: number of known members, both fronts and gathers
 * @usable_member_count: number of members that may get new requests
 * @gather_count: number of @gathers
 * @gathers: gathers that are not known to be dead
 * @move_count: number of @moves
 * @moves: version moves
 * @ref_count: number of references
 */
typedef struct mc_view_t {
	const mc_config_t *config;
	mc_row_t data_center;
	uint32_t member_count;
	uint32_t usable_member_count;
	uint32_t gather_count;
	mc_view_gather_t *gathers;
	uint32_t move_count;
	mc_view_move_t *moves;
	uint32_t ref_count;
} mc_view_t;

/** mc_view_ref() - Take another reference. Any thread may call it. */
const mc_view_t *mc_view_ref(const mc_view_t *view);

/**
 * mc_view_unref() - Drop a reference and free the view with the last one. Any
 * thread may call it; NULL is allowed.
 */
void mc_view_unref(const mc_view_t *view);

typedef struct mc_node_t mc_node_t;

/**
 * struct mc_node_params_t - parameters of a node
 * @shard: control shard, which must not be started yet
 * @settings: settings of the process; must outlive the node
 * @role: front or gather
 * @store_api: operations of the store
 * @publish_view: called on the control shard with each new view; the callee
 *	owns a reference to @view
 * @confirm_view: called on the control shard several times per
 *	MC_VIEW_AGE_MAX_MS while the last view is up to date.
 *	@config_confirmed_at is the time when the store last confirmed the
 *	configuration to this process or to a peer, in ms; negative for never
 * @ctx: argument for both callbacks
 */
typedef struct mc_node_params_t {
	mc_shard_t *shard;
	const mc_settings_t *settings;
	mc_role_t role;
	const mc_store_api_t *store_api;
	void (*publish_view)(void *ctx, const mc_view_t *view);
	void (*confirm_view)(void *ctx, mc_ms_t now,
			     mc_ms_t config_confirmed_at);
	void *ctx;
} mc_node_params_t;

/**
 * mc_node_create() - Create a node.
 *
 * Return: the node, owned by the caller; NULL on failure, with an error
 * message set.
 */
mc_node_t *mc_node_create(const mc_node_params_t *params);

/**
 * mc_node_destroy() - Free a node, after its shard has stopped. NULL is
 * allowed.
 */
void mc_node_destroy(mc_node_t *node);

/**
 * mc_node_receive() - Handle a control message from a peer.
 * @node: the node
 * @message: message of kind MEMBER, CONFIG, CONFIG_DIGEST, CONFIG_REQUEST or
 *	MOVE; the node takes ownership
 *
 * Any thread may call it; the control shard processes the message later.
 */
void mc_node_receive(mc_node_t *node, mc_wire_message_t *message);

/** mc_node_handles_kind() - Check whether mc_node_receive() handles @kind. */
bool mc_node_handles_kind(mc_wire_kind_t kind);

/**
 * struct mc_node_outcome_t - outcome of a sub-query to a target
 * @service: row of the service in the view that is passed along
 * @target: row of the target in that view
 * @route: 0 for a search, 1 for a run
 * @failed: the sub-query failed and the target is at fault
 * @latency: time until the outcome, ms
 */
typedef struct mc_node_outcome_t {
	mc_row_t service;
	mc_row_t target;
	uint32_t route;
	bool failed;
	mc_ms_t latency;
} mc_node_outcome_t;

/**
 * mc_node_record_outcomes() - Record outcomes of sub-queries, by which version
 * moves are judged.
 * @node: the node
 * @view: view that the rows refer to; a reference is taken
 * @outcomes: outcomes; copied
 * @count: number of @outcomes
 *
 * Any thread may call it; the control shard processes the outcomes later.
 */
void mc_node_record_outcomes(mc_node_t *node, const mc_view_t *view,
			     const mc_node_outcome_t *outcomes, uint32_t count);

/**
 * mc_node_leave() - Announce to peers that this process leaves the cluster. Any
 * thread may call it.
 */
void mc_node_leave(mc_node_t *node);

#endif
