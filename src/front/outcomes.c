/*
 * Outcomes of sub-queries at the versions of targets. Those of one turn go to
 * the node together, and only while a service of theirs has a move.
 */
#include "front_private.h"

/* Failures that are a target's own; a limit or a lost gather is not. */
static bool is_targets_fault(mc_err_t err)
{
	return err == MC_ERR_TARGET_FAILED || err == MC_ERR_TARGET_SHED ||
	       err == MC_ERR_DEADLINE_EXCEEDED || err == MC_ERR_OUTCOME_UNKNOWN;
}

static bool has_move(const mc_view_t *view, mc_row_t service)
{
	uint32_t i;

	for (i = 0; i < view->move_count; i++)
		if (view->moves[i].service == service)
			return true;
	return false;
}

static void flush(mc_shard_t *shard, void *arg)
{
	front_t *front = arg;

	(void)shard;
	if (front->evidence_count)
		mc_node_record_outcomes(mc_process_node(front->process),
					front->evidence_view, front->evidence,
					front->evidence_count);
	front->evidence_count = 0;
	mc_view_unref(front->evidence_view);
	front->evidence_view = NULL;
}

void evidence_add(front_t *front, const mc_view_t *view, mc_row_t target,
		  uint32_t route, mc_err_t err, mc_ms_t latency)
{
	mc_row_t service;

	/* The configuration does not have the target any more. */
	if (target == MC_ROW_NONE)
		return;
	service = view->config->targets[target].service;
	if (!has_move(view, service) || (err && !is_targets_fault(err)))
		return;
	if (front->evidence_count == FRONT_EVIDENCE_MAX ||
	    (front->evidence_view && front->evidence_view != view))
		flush(front->shard, front);
	if (!front->evidence_view) {
		front->evidence_view = mc_view_ref(view);
		mc_shard_defer(front->shard, flush, front);
	}
	front->evidence[front->evidence_count++] = (mc_node_outcome_t){
		.service = service,
		.target = target,
		.route = route,
		.failed = err != MC_OK,
		.latency = latency,
	};
}
