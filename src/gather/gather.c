/*
 * The gather's role operations: creation and destruction of its state in each
 * data shard, updates of the view, and the planned stop.
 */
#include "gather_private.h"

#include <stdlib.h>
#include <string.h>

static void gather_destroy(void *state)
{
	gather_t *gather = state;

	targets_destroy(gather);
	mc_table_destroy(gather->sub_queries);
	mc_table_destroy(gather->batches);
	mc_table_destroy(gather->runs);
	mc_view_unref(gather->view);
	if (gather->pool)
		apr_pool_destroy(gather->pool);
	free(gather);
}

static mc_err_t create_tables(gather_t *gather)
{
	if (apr_pool_create(&gather->pool, NULL))
		return mc_fail(MC_ERR_NO_MEMORY,
			       "no memory for the gather's pool");
	gather->targets_by_key = apr_hash_make(gather->pool);
	gather->sub_queries_by_key = apr_hash_make(gather->pool);
	gather->targets = mc_table_create(sizeof(target_t), GATHER_TARGETS_MAX);
	gather->sub_queries =
		mc_table_create(sizeof(sub_query_t), GATHER_SUB_QUERIES_MAX);
	gather->batches = mc_table_create(sizeof(batch_t), GATHER_BATCHES_MAX);
	gather->runs = mc_table_create(sizeof(run_t), GATHER_RUNS_MAX);
	if (!gather->targets || !gather->sub_queries || !gather->batches ||
	    !gather->runs)
		return mc_fail(MC_ERR_NO_MEMORY,
			       "no memory for the gather's tables");
	return MC_OK;
}

static void *gather_create(mc_process_t *process, mc_shard_t *shard)
{
	gather_t *gather = calloc(1, sizeof(*gather));

	if (!gather)
		return NULL;
	gather->process = process;
	gather->shard = shard;
	gather->log = mc_shard_log(shard);
	gather->view_confirmed_at = -MC_VIEW_AGE_MAX_MS;
	if (create_tables(gather) || front_links_listen(gather)) {
		gather_destroy(gather);
		return NULL;
	}
	return gather;
}

static void gather_update_view(void *state, const mc_view_t *view)
{
	gather_t *gather = state;

	mc_view_unref(gather->view);
	gather->view = view;
	targets_update(gather);
}

static void gather_confirm_view(void *state, mc_ms_t now,
				mc_ms_t config_confirmed)
{
	gather_t *gather = state;

	(void)config_confirmed;
	front_links_check_pause(gather);
	gather->view_confirmed_at = now;
	gather->paused = false;
}

static void gather_drain(void *state, mc_ms_t answer_by)
{
	(void)state;
	(void)answer_by;
}

static void gather_close(void *state)
{
	gather_t *gather = state;

	gather->closing = true;
	mc_link_stop_listening(gather->shard, gather->listener);
}

static void gather_count_work(const void *state, mc_runtime_work_t *work)
{
	const gather_t *gather = state;

	work->requests += mc_table_count(gather->sub_queries) +
			  gather->batches_in_flight + gather->runs_in_flight;
}

const mc_role_ops_t *mc_gather_ops(void)
{
	static const mc_role_ops_t ops = {
		.name = "gather",
		.role = MC_ROLE_GATHER,
		.create_state = gather_create,
		.destroy_state = gather_destroy,
		.set_view = gather_update_view,
		.confirm_view = gather_confirm_view,
		.drain = gather_drain,
		.stop_accepting = gather_close,
		.count_work = gather_count_work,
	};

	return &ops;
}
