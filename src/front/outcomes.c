/*
 * Collects outcomes of sub-queries, by which the node judges the versions of a
 * service's targets during a move. The outcomes of one turn of the event loop
 * are passed on together, and only those of services with a move.
 */
#include "front_private.h"

/* Refusals by a gather's limit and lost gathers are not the target's fault. */
static bool is_target_failure(mc_err_t err)
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

static void flush_outcomes(mc_shard_t *shard, void *arg)
{
	front_t *front = arg;

	(void)shard;
	if (front->outcome_count)
		mc_node_record_outcomes(mc_process_node(front->process),
					front->outcomes_view, front->outcomes,
					front->outcome_count);
	front->outcome_count = 0;
	mc_view_unref(front->outcomes_view);
	front->outcomes_view = NULL;
}

void outcomes_add(front_t *front, const mc_view_t *view, mc_row_t target,
		  uint32_t route, mc_err_t err, mc_ms_t latency)
{
	mc_row_t service;

	/* The target was removed from the configuration. */
	if (target == MC_ROW_NONE)
		return;
	service = view->config->targets[target].service;
	if (!has_move(view, service) || (err && !is_target_failure(err)))
		return;
	if (front->outcome_count == FRONT_OUTCOMES_MAX ||
	    (front->outcomes_view && front->outcomes_view != view))
		flush_outcomes(front->shard, front);
	if (!front->outcomes_view) {
		front->outcomes_view = mc_view_ref(view);
		mc_shard_defer(front->shard, flush_outcomes, front);
	}
	front->outcomes[front->outcome_count++] = (mc_node_outcome_t){
		.service = service,
		.target = target,
		.route = route,
		.failed = err != MC_OK,
		.latency = latency,
	};
}
