/*
 * The front's role operations: creation and destruction of its state in each
 * data shard, updates of the view, and the planned stop.
 */
#include "front_private.h"

#include <stdlib.h>
#include <string.h>

enum {
	/* Maximum number of hedges and of retries that a budget saves up. */
	HEDGE_BURST = 20,
	RETRY_BURST = 100,
	/* Share of the extra sub-queries that hedges may use, in percent. */
	HEDGE_SHARE_PERCENT = 60,
	PERCENT = 100,
	ADMISSION_MIN_CONCURRENCY = 8,
	CLAIM_TIMEOUT_MS = 1000,
	/*
	 * Time after the listener closes. A request on a connection that was
	 * accepted just before arrives within it.
	 */
	LINGER_MS = 200,
};

static void front_destroy(void *state)
{
	front_t *front = state;
	uint32_t cursor = 0;
	mc_handle_t handle;
	query_t *query;

	while (front->queries &&
	       (query = mc_table_next(front->queries, &cursor, &handle)))
		query_free(front, query);
	run_destroy(front);
	gather_links_destroy(front);
	mc_store_destroy(front->store);
	mc_router_destroy(front->router);
	mc_catalogue_destroy(front->catalogue);
	mc_admission_destroy(front->admission);
	mc_table_destroy(front->queries);
	mc_table_destroy(front->sub_queries);
	mc_view_unref(front->view);
	mc_view_unref(front->outcomes_view);
	free(front->outcomes);
	if (front->pool)
		apr_pool_destroy(front->pool);
	free(front);
}

static void set_policies(front_t *front)
{
	const mc_settings_t *settings = mc_process_settings(front->process);
	const mc_policy_t *policy = &settings->policy;
	const mc_admission_params_t admission = {
		.policy = policy->admission,
		.concurrency = policy->concurrency / settings->shards,
		.min_concurrency = ADMISSION_MIN_CONCURRENCY,
	};

	uint32_t hedges = policy->extra_percent * HEDGE_SHARE_PERCENT / PERCENT;

	front->admission = mc_admission_create(&admission);
	front->hedge_policy = mc_hedge_policy(policy->hedge);
	front->retry_enabled = strcmp(policy->retry, "none") != 0;
	mc_retry_budget_init(&front->hedge_budget, hedges, HEDGE_BURST);
	mc_retry_budget_init(&front->retry_budget,
			     policy->extra_percent - hedges, RETRY_BURST);
	front->retry_budget.unbounded = !strcmp(policy->retry, "unbounded");
}

static mc_err_t create_components(front_t *front)
{
	const mc_settings_t *settings = mc_process_settings(front->process);

	if (apr_pool_create(&front->pool, NULL))
		return mc_fail(MC_ERR_NO_MEMORY,
			       "no memory for the front's pool");
	front->latency_quantiles = apr_hash_make(front->pool);
	front->queries = mc_table_create(sizeof(query_t), FRONT_QUERIES_MAX);
	front->sub_queries =
		mc_table_create(sizeof(sub_query_t), FRONT_SUB_QUERIES_MAX);
	front->gathers = mc_table_create(sizeof(gather_link_t), MC_MEMBERS_MAX);
	front->outcomes = calloc(FRONT_OUTCOMES_MAX, sizeof(*front->outcomes));
	front->store = mc_store_create(front->shard, settings->platform_address,
				       CLAIM_TIMEOUT_MS);
	set_policies(front);
	if (!front->queries || !front->sub_queries || !front->gathers ||
	    !front->outcomes || !front->store || !front->admission)
		return mc_fail(MC_ERR_NO_MEMORY,
			       "no memory for the front's tables");
	return run_init(front);
}

/*
 * Peers connect to a front's control shard only, so the peer address is opened
 * once, by the first data shard.
 */
static mc_err_t start_listening(front_t *front)
{
	const mc_settings_t *settings = mc_process_settings(front->process);
	mc_err_t err = MC_OK;

	if (!mc_shard_index(front->shard))
		err = mc_process_listen_for_peers(front->process,
						  settings->front_peer_address);
	if (err)
		return err;
	return mc_http_serve(front->shard,
			     mc_process_caller_socket(front->process),
			     api_handle_request, front);
}

static void *front_create(mc_process_t *process, mc_shard_t *shard)
{
	front_t *front = calloc(1, sizeof(*front));
	const mc_settings_t *settings = mc_process_settings(process);

	if (!front)
		return NULL;
	front->process = process;
	front->shard = shard;
	front->log = mc_shard_log(shard);
	front->view_confirmed_at = -MC_VIEW_AGE_MAX_MS;
	front->config_confirmed_at = -1;
	front->request_id_prefix =
		mc_hash_pair(mc_hash_string(settings->front_peer_address),
			     (uint64_t)mc_clock_wall(mc_shard_clock(shard)));
	if (create_components(front) || start_listening(front)) {
		front_destroy(front);
		return NULL;
	}
	return front;
}

static void set_version_shares(front_t *front)
{
	const mc_view_t *view = front->view;
	uint32_t i;

	for (i = 0; i < view->move_count; i++)
		mc_router_set_version_share(
			front->router, view->moves[i].service,
			view->moves[i].from, view->moves[i].to,
			view->moves[i].share);
}

/*
 * Ends in the current router all sub-queries that it counts as in flight. The
 * router that replaces it takes over its state and must start without them.
 */
static void release_in_flight(front_t *front)
{
	uint32_t cursor = 0;
	mc_handle_t handle;
	const sub_query_t *sub;

	while ((sub = mc_table_next(front->sub_queries, &cursor, &handle)))
		if (sub->router_epoch == front->router_epoch)
			mc_router_record_done(front->router, sub->choice, -1);
}

static mc_router_t *create_router(const front_t *front,
				  const mc_handle_t *handles)
{
	const mc_view_t *view = front->view;
	const mc_policy_t *policy =
		&mc_process_settings(front->process)->policy;
	mc_route_gather_t *gathers =
		calloc(view->gather_count + 1, sizeof(*gathers));
	const mc_router_params_t params = {
		.config = view->config,
		.policy = mc_route_find_policy(policy->replica),
		.owners_per_target = policy->owners,
		.data_center = view->data_center,
		.gathers = gathers,
		.gather_count = view->gather_count,
		.previous = front->router,
	};
	mc_router_t *router;
	uint32_t i;

	for (i = 0; gathers && i < view->gather_count; i++) {
		const mc_view_gather_t *from = &view->gathers[i];
		const gather_link_t *link =
			mc_table_get(front->gathers, handles[i]);

		gathers[i] = (mc_route_gather_t){
			.key = from->key,
			.data_center = from->data_center,
			.usable = gather_link_is_usable(front, link),
		};
	}
	router = gathers ? mc_router_create(&params) : NULL;
	free(gathers);
	return router;
}

static void replace_router(front_t *front)
{
	mc_handle_t *handles = gather_links_update(front);
	mc_router_t *router;

	if (!handles)
		return;
	if (front->router)
		release_in_flight(front);
	router = create_router(front, handles);
	if (!router) {
		free(handles);
		return;
	}
	mc_router_destroy(front->router);
	front->router = router;
	front->router_epoch++;
	free(front->gather_handles);
	front->gather_handles = handles;
	set_version_shares(front);
	gather_links_remove_absent(front);
}

static void front_update_view(void *state, const mc_view_t *view)
{
	front_t *front = state;
	mc_catalogue_t *catalogue =
		mc_catalogue_create(view->config, front->catalogue);
	bool changed;

	if (!catalogue) {
		mc_view_unref(view);
		return;
	}
	mc_catalogue_destroy(front->catalogue);
	front->catalogue = catalogue;
	changed = !front->view || front->view->config != view->config;
	mc_view_unref(front->view);
	front->view = view;
	if (view->config->version && !front->configured_at)
		front->configured_at = mc_shard_now(front->shard);
	replace_router(front);
	if (changed)
		gather_links_request_reports(front);
}

static void front_confirm_view(void *state, mc_ms_t now,
			       mc_ms_t config_confirmed)
{
	front_t *front = state;

	front->view_confirmed_at = now;
	front->config_confirmed_at = config_confirmed;
}

static void front_drain(void *state, mc_ms_t answer_by)
{
	front_t *front = state;
	uint32_t cursor = 0;
	mc_handle_t handle;
	query_t *query;

	front->draining = true;
	front->answer_by = answer_by;
	while ((query = mc_table_next(front->queries, &cursor, &handle)))
		query_limit_deadline(query);
	run_limit_deadlines(front);
}

mc_err_t front_check_stopping(const front_t *front)
{
	if (front->draining && mc_shard_now(front->shard) >= front->answer_by)
		return mc_fail(MC_ERR_STOPPING, "planned stop in progress");
	return MC_OK;
}

mc_ms_t front_limit_deadline(const front_t *front, mc_ms_t deadline)
{
	if (front->draining && deadline > front->answer_by)
		return front->answer_by;
	return deadline;
}

bool front_is_stop_deadline(const front_t *front, mc_ms_t deadline)
{
	return front->draining && deadline == front->answer_by;
}

static void on_linger_end(mc_shard_t *shard, void *arg)
{
	front_t *front = arg;

	(void)shard;
	front->linger_elapsed = true;
}

static void front_close(void *state)
{
	front_t *front = state;
	mc_handle_t timer;

	mc_http_stop_listening(front->shard);
	mc_timer_set(front->shard, mc_shard_now(front->shard) + LINGER_MS,
		     on_linger_end, front, &timer);
}

/* Connections may bring a request until the linger time is over. */
static void front_count_work(const void *state, mc_runtime_work_t *work)
{
	const front_t *front = state;

	work->requests += mc_http_exchange_count(front->shard);
	if (!front->linger_elapsed)
		work->connections++;
}

const mc_role_ops_t *mc_front_ops(void)
{
	static const mc_role_ops_t ops = {
		.name = "front",
		.role = MC_ROLE_FRONT,
		.create_state = front_create,
		.destroy_state = front_destroy,
		.set_view = front_update_view,
		.confirm_view = front_confirm_view,
		.drain = front_drain,
		.stop_accepting = front_close,
		.count_work = front_count_work,
	};

	return &ops;
}
