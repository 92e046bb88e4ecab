/*
 * Public header of the node library: what a process knows of the fleet. It
 * joins the pure libraries config, member and move with the store and with
 * links to peers, on one control shard, and hands out immutable views.
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
	/* A view that was not confirmed for so long is not acted on. */
	MC_VIEW_AGE_MAX_MS = 3000,
};

/**
 * struct mc_view_gather_t - a gather of any data centre
 * @key: hash of @address
 * @address: where fronts reach it
 * @data_center: row of its data centre, or MC_ROW_NONE
 * @usable: may get new work
 */
typedef struct mc_view_gather_t {
	uint64_t key;
	char address[MC_ADDRESS_SIZE];
	mc_row_t data_center;
	bool usable;
} mc_view_gather_t;

/** struct mc_view_move_t - a version move; the fields are mc_move_status_t's */
typedef struct mc_view_move_t {
	mc_row_t service;
	char from[MC_NAME_SIZE];
	char to[MC_NAME_SIZE];
	mc_move_state_t state;
	double share;
	char reason[96];
} mc_view_move_t;

/**
 * struct mc_view_t - what a process knows; never changes once published
 * @config: configuration in force
 * @data_center: row of the own data centre, or MC_ROW_NONE
 * @members: members known, fronts and gathers
 * @members_usable: those that may get work
 * @gather_count: number of gathers
 * @gathers: gathers
 * @move_count: number of moves
 * @moves: moves
 * @references: for mc_view_ref() and mc_view_unref()
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

/** mc_view_ref() - take one more reference; any thread */
const mc_view_t *mc_view_ref(const mc_view_t *view);

/** mc_view_unref() - drop a reference; the last one frees; any thread */
void mc_view_unref(const mc_view_t *view);

typedef struct mc_node_t mc_node_t;

/**
 * struct mc_node_params_t - what a node is made from
 * @shard: control shard, not started yet
 * @settings: the process's settings; must outlive the node
 * @role: front or gather
 * @store: functions to reach the store
 * @publish: a new view; @view is the callee's to unref; control shard
 * @confirm: the last view is still recent; control shard, several times per
 *	MC_VIEW_AGE_MAX_MS. @config_confirmed: when the store last confirmed the
 *	configuration, to this process or to a peer, ms; negative for never
 * @ctx: passed to both
 */
typedef struct mc_node_params_t {
	mc_shard_t *shard;
	const mc_settings_t *settings;
	mc_role_t role;
	const mc_store_api_t *store_api;
	void (*publish_view)(void *ctx, const mc_view_t *view);
	void (*confirm_view)(void *ctx, mc_ms_t now, mc_ms_t config_confirmed);
	void *ctx;
} mc_node_params_t;

/** mc_node_create() - owned by the caller; NULL with a last message */
mc_node_t *mc_node_create(const mc_node_params_t *params);

/** mc_node_destroy() - free, after its shard has stopped; NULL is allowed */
void mc_node_destroy(mc_node_t *node);

/**
 * mc_node_receive() - a control message arrived on any shard
 * @node: the node
 * @message: of kind MEMBER, CONFIG, CONFIG_DIGEST, CONFIG_REQUEST or MOVE;
 *	the node's to free
 *
 * Any thread.
 */
void mc_node_receive(mc_node_t *node, mc_wire_message_t *message);

/** mc_node_wants() - whether mc_node_receive() takes messages of @kind */
bool mc_node_handles_kind(mc_wire_kind_t kind);

/**
 * struct mc_node_evidence_t - how a sub-query at a version of a target ended
 * @service: row of the service in @view
 * @target: row of the target in @view
 * @route: 0 search, 1 run
 * @failed: by the target's fault
 * @latency: ms
 */
typedef struct mc_node_outcome_t {
	mc_row_t service;
	mc_row_t target;
	uint32_t route;
	bool failed;
	mc_ms_t latency;
} mc_node_outcome_t;

/**
 * mc_node_observe() - evidence for version moves
 * @node: the node
 * @view: view that the rows are of; a reference is taken
 * @list: evidence; copied
 * @count: number of entries
 *
 * Any thread.
 */
void mc_node_record_outcomes(mc_node_t *node, const mc_view_t *view,
			     const mc_node_outcome_t *list, uint32_t count);

/** mc_node_leave() - tell peers that this process leaves; any thread */
void mc_node_leave(mc_node_t *node);

#endif
