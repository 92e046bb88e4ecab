/*
 * Builds and publishes the immutable views of a node.
 */
#include "node_private.h"

#include <stdlib.h>
#include <string.h>

const mc_view_t *mc_view_ref(const mc_view_t *view)
{
	mc_view_t *mutable_view = (mc_view_t *)(uintptr_t)view;

	__atomic_add_fetch(&mutable_view->ref_count, 1, __ATOMIC_RELAXED);
	return view;
}

void mc_view_unref(const mc_view_t *view)
{
	mc_view_t *mutable_view = (mc_view_t *)(uintptr_t)view;

	if (!view ||
	    __atomic_sub_fetch(&mutable_view->ref_count, 1, __ATOMIC_ACQ_REL))
		return;
	mc_config_unref(mutable_view->config);
	free(mutable_view->gathers);
	free(mutable_view->moves);
	free(mutable_view);
}

static void add_gather(const mc_node_t *node, mc_view_t *view,
		       const mc_member_t *member)
{
	mc_view_gather_t *gather = &view->gathers[view->gather_count++];

	*gather = (mc_view_gather_t){
		.key = member->key,
		.data_center = mc_config_find_data_center(node->config,
							  member->data_center),
		.usable = mc_member_is_usable(member),
	};
	memcpy(gather->address, member->address, sizeof(gather->address));
}

static mc_err_t add_members(const mc_node_t *node, mc_view_t *view)
{
	const mc_member_t *member;
	uint32_t cursor = 0;
	uint32_t gathers = 0;

	while ((member = mc_membership_next(node->membership, &cursor))) {
		view->member_count++;
		view->usable_member_count += mc_member_is_usable(member);
		gathers += member->is_gather;
	}
	view->gathers = calloc(gathers + 1, sizeof(*view->gathers));
	if (!view->gathers)
		return MC_ERR_NO_MEMORY;
	cursor = 0;
	while ((member = mc_membership_next(node->membership, &cursor)))
		if (member->is_gather && member->state != MC_MEMBER_DEAD)
			add_gather(node, view, member);
	return MC_OK;
}

static mc_err_t add_moves(const mc_node_t *node, mc_view_t *view)
{
	uint32_t count = mc_move_controller_count(node->move_controller);
	uint32_t i;

	view->moves = calloc(count + 1, sizeof(*view->moves));
	if (!view->moves)
		return MC_ERR_NO_MEMORY;
	for (i = 0; i < count; i++) {
		mc_view_move_t *move = &view->moves[view->move_count];
		const char *from, *to;
		mc_move_status_t status;

		mc_move_controller_get_status(node->move_controller, i,
					      &status);
		move->service = status.service;
		move->state = status.state;
		move->share = mc_move_controller_share(
			node->move_controller, status.service, &from, &to);
		memcpy(move->reason, status.reason, sizeof(move->reason));
		if (!from)
			continue;
		strncpy(move->from, from, sizeof(move->from) - 1);
		strncpy(move->to, to, sizeof(move->to) - 1);
		view->move_count++;
	}
	return MC_OK;
}

static void build_and_publish(mc_shard_t *shard, void *arg)
{
	mc_node_t *node = arg;
	mc_view_t *view = calloc(1, sizeof(*view));

	(void)shard;
	node->publish_pending = false;
	if (!view)
		return;
	view->ref_count = 1;
	view->config = mc_config_ref(node->config);
	view->data_center = mc_config_find_data_center(
		node->config, node->params.settings->data_center);
	if (add_members(node, view) || add_moves(node, view)) {
		mc_view_unref(view);
		return;
	}
	node->params.publish_view(node->params.ctx, view);
}

void node_schedule_publish(mc_node_t *node)
{
	if (node->publish_pending)
		return;
	node->publish_pending = true;
	mc_shard_defer(node->shard, build_and_publish, node);
}
