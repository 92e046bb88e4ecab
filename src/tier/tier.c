/*
 * The tier role: creates and destroys the state of each data shard, passes
 * registry views from the control shard to the data shards, and stops on
 * request.
 */
#include "tier_private.h"

#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "evidence.h"
#include "handover.h"
#include "reload.h"
#include "timing.h"
#include "usage.h"

enum {
	TIER_SERVICES_MAX = MC_ROUTEMAP_SERVICES_MAX,
	BYTES_PER_MB = 1 << 20,
	/* Incoming responses may take 1/n of the memory, and what is held for
	 * slow callers and targets as much. */
	RESPONSE_MEMORY_DIVISOR = 4,
	HELD_MEMORY_DIVISOR = 4,
};

static void on_request(void *ctx, mc_handle_t caller,
		       const mc_h1_message_t *message, mc_ms_t first_byte)
{
	request_begin(ctx, caller, message, first_byte);
}

static void on_caller_gone(void *ctx, mc_handle_t caller)
{
	request_caller_gone(ctx, caller);
}

static void free_services(tier_t *tier)
{
	uint32_t cursor = 0;
	mc_handle_t handle;
	service_t *service;

	while (tier->services &&
	       (service = mc_table_next(tier->services, &cursor, &handle)))
		free(service->targets);
}

static void tier_destroy(void *state)
{
	tier_t *tier = state;

	requests_free(tier);
	handover_destroy(tier);
	usage_free(tier);
	free_services(tier);
	mc_h1_destroy(tier->h1);
	mc_h1_destroy(tier->ready);
	mc_h1_destroy(tier->metrics);
	mc_table_destroy(tier->services);
	mc_table_destroy(tier->targets);
	mc_table_destroy(tier->conns);
	mc_table_destroy(tier->attempts);
	mc_table_destroy(tier->requests);
	mc_table_destroy(tier->kept_notices);
	mc_registry_view_unref(tier->view);
	free(tier->map_services);
	if (tier->pool)
		apr_pool_destroy(tier->pool);
	free(tier);
}

/* Incoming responses, and what is held for slow peers, may each take a part of
 * the process's memory; the rest is for all else. */
static void limit_memory(tier_t *tier)
{
	const mc_settings_t *settings = &tier->process->settings;
	size_t bytes = (size_t)settings->memory_mb * BYTES_PER_MB;

	mc_h1_set_response_memory(tier->h1, bytes / RESPONSE_MEMORY_DIVISOR /
						    settings->shards);
	mc_h1_set_held_memory(tier->h1,
			      bytes / HELD_MEMORY_DIVISOR / settings->shards);
}

static mc_err_t create_tables(tier_t *tier)
{
	if (apr_pool_create(&tier->pool, NULL))
		return mc_fail(MC_ERR_NO_MEMORY,
			       "out of memory for the shard's APR pool");
	TAILQ_INIT(&tier->ended);
	tier->service_names = apr_hash_make(tier->pool);
	tier->target_ids = apr_hash_make(tier->pool);
	tier->route_stats = apr_hash_make(tier->pool);
	tier->services = mc_table_create(sizeof(service_t), TIER_SERVICES_MAX);
	tier->targets =
		mc_table_create(sizeof(target_t), MC_REGISTRY_TARGETS_MAX);
	tier->conns = mc_table_create(sizeof(conn_t), TIER_CONNS_MAX);
	tier->attempts = mc_table_create(sizeof(attempt_t), TIER_ATTEMPTS_MAX);
	tier->requests = mc_table_create(sizeof(request_t), TIER_REQUESTS_MAX);
	tier->h1 = mc_h1_create(tier->shard);
	if (!tier->services || !tier->targets || !tier->conns ||
	    !tier->attempts || !tier->requests || !tier->h1 ||
	    target_notice_init(tier))
		return mc_fail(MC_ERR_NO_MEMORY,
			       "out of memory for the shard's tables");
	return MC_OK;
}

static void *tier_create(void *role, mc_runtime_t *runtime, mc_shard_t *shard)
{
	static const mc_h1_server_handlers_t server = {
		.request = on_request,
		.disconnected = on_caller_gone,
	};
	tier_process_t *process = role;
	tier_t *tier = calloc(1, sizeof(*tier));
	mc_err_t err;

	(void)runtime;
	if (!tier)
		return NULL;
	tier->process = process;
	tier->shard = shard;
	tier->log = process->params.log;
	tier->protocol = process->params.protocol;
	tier->extra_limit.start = mc_shard_now(shard);
	extra_limit_set(tier, &process->settings);
	tier->choice_point = mc_random_unit(mc_shard_random(shard));
	err = create_tables(tier);
	if (!err)
		limit_memory(tier);
	if (!err)
		err = mc_h1_serve(tier->h1, process->callers, &server, tier);
	if (!err && !mc_shard_index(shard))
		err = ready_serve(tier);
	if (!err)
		err = handover_create(tier);
	if (!err)
		return tier;
	tier_destroy(tier);
	return NULL;
}

/* A registry view posted to a data shard. */
typedef struct {
	tier_process_t *process;
	const mc_registry_view_t *view;
} view_update_t;

static void apply_view(mc_shard_t *shard, void *arg)
{
	view_update_t *update = arg;
	tier_t *tier = mc_runtime_shard_state(update->process->runtime,
					      mc_shard_index(shard));

	if (tier)
		view_apply(tier, update->view);
	else
		mc_registry_view_unref(update->view);
	free(update);
}

static void publish_view(void *ctx, const mc_registry_view_t *view)
{
	tier_process_t *process = ctx;
	uint32_t i;

	if (process->reporter && view->instance_count)
		mc_reporter_set_instances(process->reporter,
					  view->instance_count);
	for (i = 0; i < mc_runtime_shard_count(process->runtime); i++) {
		view_update_t *update = malloc(sizeof(*update));

		if (!update)
			continue;
		update->process = process;
		update->view = mc_registry_view_ref(view);
		if (!mc_shard_post(mc_runtime_shard(process->runtime, i),
				   apply_view, update))
			continue;
		mc_registry_view_unref(update->view);
		free(update);
	}
	mc_registry_view_unref(view);
}

static mc_err_t bind_sockets(tier_process_t *process)
{
	const mc_settings_t *settings = &process->settings;
	uint16_t port;
	mc_err_t err = mc_http_bind(settings->tier_caller_address, &port,
				    &process->callers);

	if (!err)
		err = mc_http_bind(settings->readiness_address, &port,
				   &process->ready);
	if (!err && settings->metrics_address[0])
		err = mc_http_bind(settings->metrics_address, &port,
				   &process->metrics);
	return err;
}

static mc_err_t tier_init(void *role, mc_runtime_t *runtime)
{
	tier_process_t *process = role;
	const mc_settings_t *settings = &process->settings;
	const mc_discovery_params_t params = {
		.shard = mc_runtime_control_shard(runtime),
		.source = process->params.source,
		.store_address = settings->platform_address,
		.instance_name = settings->instance,
		.data_center = settings->data_center,
		.relay_address = settings->tier_peer_address,
		.apply_max = settings->apply_max,
		.drain_period = settings->drain_period,
		.history_period = settings->history_period,
		.rollout_share = settings->rollout_share,
		.publish = publish_view,
		.receive_evidence = evidence_receive,
		.ctx = process,
	};
	mc_err_t err;

	process->runtime = runtime;
	err = bind_sockets(process);
	if (err)
		return err;
	err = usage_init(process);
	if (err)
		return err;
	process->discovery = mc_discovery_create(&params);
	return process->discovery ? MC_OK : MC_ERR_NO_MEMORY;
}

static void close_socket(int fd)
{
	if (fd >= 0)
		mc_socket_close(fd);
}

static void tier_cleanup(void *role)
{
	tier_process_t *process = role;

	mc_discovery_destroy(process->discovery);
	mc_reporter_destroy(process->reporter);
	process->reporter = NULL;
	close_socket(process->callers);
	close_socket(process->ready);
	close_socket(process->metrics);
}

static void tier_drain(void *state, mc_ms_t answer_by)
{
	tier_t *tier = state;
	uint32_t cursor = 0;
	mc_handle_t handle;
	request_t *request;

	tier->draining = true;
	tier->answer_by = answer_by;
	mc_h1_start_draining(tier->h1);
	usage_drain(tier);
	while ((request = mc_table_next(tier->requests, &cursor, &handle)))
		timing_limit_deadline(request);
}

static void tier_stop_accepting(void *state)
{
	tier_t *tier = state;

	mc_h1_close_idle(tier->h1);
}

static void tier_count_work(const void *state, mc_runtime_work_t *work)
{
	const tier_t *tier = state;

	work->requests += mc_table_count(tier->requests);
	work->connections += mc_h1_server_connection_count(tier->h1);
}

static const mc_runtime_ops_t runtime_ops = {
	.name = "tier",
	.init = tier_init,
	.cleanup = tier_cleanup,
	.create_state = tier_create,
	.destroy_state = tier_destroy,
	.drain = tier_drain,
	.stop_accepting = tier_stop_accepting,
	.count_work = tier_count_work,
	.reload = reload_settings,
	.tick = reload_if_changed,
};

int mc_tier_run(const mc_tier_params_t *params, const mc_settings_t *settings)
{
	tier_process_t process = {
		.params = *params,
		.settings = *settings,
		.callers = -1,
		.ready = -1,
		.metrics = -1,
	};
	uint64_t seed = settings->seed;
	mc_runtime_params_t runtime = {
		.ops = &runtime_ops,
		.role = &process,
		.shard_count = settings->shards,
		.log = params->log,
		.grace_period = settings->grace_period,
		.notice_period = settings->notice_period,
	};

	if (!seed)
		seed = (uint64_t)mc_clock_wall(mc_clock_system()) ^
		       (uint64_t)getpid();
	runtime.seed = mc_hash_pair(seed, mc_hash_string(settings->instance));
	metrics_init(&process.route_metrics);
	reload_record_mtime(&process);
	mc_log(params->log, MC_LOG_NOTICE, "tier",
	       "tier starting instance=%s data_center=%s callers=%s store=%s "
	       "shards=%u",
	       settings->instance, settings->data_center,
	       settings->tier_caller_address, settings->platform_address,
	       settings->shards);
	return mc_runtime_run(&runtime) ? 1 : 0;
}
