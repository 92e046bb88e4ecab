/*
 * Runs a front or a gather: the runtime and a node, whose views are passed to
 * the data shards.
 */
#include "mc/process.h"

#include <stdlib.h>
#include <string.h>
#include <unistd.h>

enum {
	/*
	 * Time between the start of a planned stop and the refusal of new
	 * requests, so that peers and load balancers notice the stop first.
	 */
	DRAIN_NOTICE_MS = 1000,
};

struct mc_process_t {
	const mc_role_ops_t *ops;
	const mc_settings_t *settings;
	mc_log_t *log;
	mc_runtime_t *runtime;
	mc_node_t *node;
	int caller_socket;
};

/*
 * A notification from the node to a data shard: a new view, or, if @view is
 * NULL, a confirmation of the last one.
 */
typedef struct {
	mc_process_t *process;
	const mc_view_t *view;
	mc_ms_t now;
	mc_ms_t config_confirmed_at;
} view_update_t;

static void apply_update(mc_shard_t *shard, void *arg)
{
	view_update_t *update = arg;
	const mc_role_ops_t *ops = update->process->ops;
	void *state = mc_runtime_shard_state(update->process->runtime,
					     mc_shard_index(shard));

	if (!state)
		mc_view_unref(update->view);
	else if (update->view)
		ops->set_view(state, update->view);
	else
		ops->confirm_view(state, update->now,
				  update->config_confirmed_at);
	free(update);
}

static void post_update(mc_process_t *process, view_update_t update)
{
	uint32_t i;

	update.process = process;
	for (i = 0; i < mc_runtime_shard_count(process->runtime); i++) {
		view_update_t *copy = malloc(sizeof(*copy));

		if (!copy)
			continue;
		*copy = update;
		if (update.view)
			mc_view_ref(update.view);
		if (!mc_shard_post(mc_runtime_shard(process->runtime, i),
				   apply_update, copy))
			continue;
		mc_view_unref(update.view);
		free(copy);
	}
}

static void post_view(void *ctx, const mc_view_t *view)
{
	post_update(ctx, (view_update_t){ .view = view });
	mc_view_unref(view);
}

static void post_confirmation(void *ctx, mc_ms_t now,
			      mc_ms_t config_confirmed_at)
{
	post_update(ctx, (view_update_t){ .now = now,
					  .config_confirmed_at =
						  config_confirmed_at });
}

static mc_err_t init_process(void *role, mc_runtime_t *runtime)
{
	mc_process_t *process = role;
	const mc_node_params_t params = {
		.shard = mc_runtime_control_shard(runtime),
		.settings = process->settings,
		.role = process->ops->role,
		.store_api = mc_store_http_api(),
		.publish_view = post_view,
		.confirm_view = post_confirmation,
		.ctx = process,
	};
	uint16_t port;

	process->runtime = runtime;
	process->node = mc_node_create(&params);
	if (!process->node)
		return MC_ERR_INTERNAL;
	if (process->ops->role != MC_ROLE_FRONT)
		return MC_OK;
	return mc_http_bind(process->settings->front_caller_address, &port,
			    &process->caller_socket);
}

static void cleanup_process(void *role)
{
	mc_process_t *process = role;

	mc_node_destroy(process->node);
	if (process->caller_socket >= 0)
		close(process->caller_socket);
}

static void *create_role_state(void *role, mc_runtime_t *runtime,
			       mc_shard_t *shard)
{
	mc_process_t *process = role;

	(void)runtime;
	return process->ops->create_state(process, shard);
}

static void announce_leave(void *role)
{
	mc_process_t *process = role;

	mc_node_leave(process->node);
}

static uint64_t make_seed(const mc_settings_t *settings, mc_role_t role)
{
	const char *address = role == MC_ROLE_GATHER
				      ? settings->gather_peer_address
				      : settings->front_peer_address;
	uint64_t seed = settings->seed;

	if (!seed)
		seed = (uint64_t)mc_clock_wall(mc_clock_system()) ^
		       (uint64_t)getpid();
	return mc_hash_pair(seed, mc_hash_string(address));
}

int mc_process_run(const mc_role_ops_t *ops, const mc_settings_t *settings,
		   mc_log_t *log)
{
	const mc_runtime_ops_t runtime_ops = {
		.name = ops->name,
		.init = init_process,
		.cleanup = cleanup_process,
		.create_state = create_role_state,
		.destroy_state = ops->destroy_state,
		.begin_shutdown = announce_leave,
		.drain = ops->drain,
		.stop_accepting = ops->stop_accepting,
		.count_work = ops->count_work,
	};
	mc_process_t process = {
		.ops = ops,
		.settings = settings,
		.log = log,
		.caller_socket = -1,
	};
	mc_runtime_params_t params = {
		.ops = &runtime_ops,
		.role = &process,
		.shard_count = settings->shards,
		.seed = make_seed(settings, ops->role),
		.log = log,
		.grace_period = settings->grace_period,
		.notice_period = DRAIN_NOTICE_MS,
	};

	if (params.notice_period > settings->grace_period / 4)
		params.notice_period = settings->grace_period / 4;
	mc_log(log, MC_LOG_NOTICE, ops->name, "process starting data_center=%s",
	       settings->data_center);
	return mc_runtime_run(&params) ? 1 : 0;
}

const mc_settings_t *mc_process_settings(const mc_process_t *process)
{
	return process->settings;
}

mc_node_t *mc_process_node(const mc_process_t *process)
{
	return process->node;
}

const mc_store_api_t *mc_process_store_api(const mc_process_t *process)
{
	(void)process;
	return mc_store_http_api();
}

uint32_t mc_process_shard_count(const mc_process_t *process)
{
	return mc_runtime_shard_count(process->runtime);
}

mc_shard_t *mc_process_shard(const mc_process_t *process, uint32_t index)
{
	return mc_runtime_shard(process->runtime, index);
}

void *mc_process_role_state(const mc_process_t *process, uint32_t index)
{
	return mc_runtime_shard_state(process->runtime, index);
}

int mc_process_caller_socket(const mc_process_t *process)
{
	return process->caller_socket;
}

void mc_process_sum_counters(const mc_process_t *process, mc_counters_t *sum)
{
	mc_runtime_sum_counters(process->runtime, sum);
}

static void on_peer_opened(void *ctx, mc_handle_t link)
{
	(void)ctx;
	(void)link;
}

static void on_peer_closed(void *ctx, mc_handle_t link, mc_err_t reason)
{
	(void)ctx;
	(void)link;
	(void)reason;
}

static void on_peer_frame(void *ctx, mc_handle_t link, const char *data,
			  size_t size)
{
	mc_process_t *process = ctx;
	mc_wire_message_t *message;

	if (mc_wire_decode(data, size, &message)) {
		mc_counter_add(mc_shard_counters(mc_runtime_control_shard(
				       process->runtime)),
			       MC_COUNTER_BAD_FRAMES, 1);
		mc_link_close(mc_runtime_control_shard(process->runtime), link);
		return;
	}
	if (mc_node_handles_kind(message->kind))
		mc_node_receive(process->node, message);
	else
		mc_wire_free(message);
}

mc_err_t mc_process_listen_for_peers(mc_process_t *process, const char *address)
{
	static const mc_link_events_t events = {
		.opened = on_peer_opened,
		.frame = on_peer_frame,
		.closed = on_peer_closed,
	};
	mc_handle_t listener;
	uint16_t port;

	return mc_link_listen(mc_runtime_control_shard(process->runtime),
			      address, &events, process, &port, &listener);
}
