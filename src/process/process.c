/*
 * The life of a process: its shards, its node, how views reach the data shards,
 * and how it stops.
 */
#include "mc/process.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

enum {
	/* Peers and the balancer learn of a stop before work is refused. */
	DRAIN_NOTICE_MS = 1000,
	IDLE_CHECK_MS = 20,
	NS_PER_MS = 1000000,
	MS_PER_SECOND = 1000,
};

struct mc_process_t {
	const mc_role_ops_t *ops;
	const mc_settings_t *settings;
	mc_log_t *log;
	mc_shard_t *control;
	mc_node_t *node;
	int callers;
	uint32_t shard_count;
	mc_shard_t *shards[MC_THREADS_MAX];
	void *states[MC_THREADS_MAX];
};

/* A call of one of the role's functions on a data shard. */
typedef struct {
	mc_process_t *process;
	const mc_view_t *view;
	mc_ms_t now;
	mc_ms_t config_confirmed;
	void (*signal)(void *state);
} role_call_t;

static void *state_of(const mc_process_t *process, mc_shard_t *shard)
{
	return process->states[mc_shard_index(shard)];
}

static void run_role_call(mc_shard_t *shard, void *arg)
{
	role_call_t *call = arg;
	const mc_role_ops_t *ops = call->process->ops;
	void *state = state_of(call->process, shard);

	if (!state) {
		mc_view_unref(call->view);
	} else if (call->signal) {
		call->signal(state);
	} else if (call->view) {
		ops->view(state, call->view);
	} else {
		ops->confirm(state, call->now, call->config_confirmed);
	}
	free(call);
}

static void post_role_call(mc_process_t *process, role_call_t call)
{
	uint32_t i;

	call.process = process;
	for (i = 0; i < process->shard_count; i++) {
		role_call_t *copy = malloc(sizeof(*copy));

		if (!copy)
			continue;
		*copy = call;
		if (call.view)
			mc_view_ref(call.view);
		if (!mc_shard_post(process->shards[i], run_role_call, copy))
			continue;
		mc_view_unref(call.view);
		free(copy);
	}
}

static void publish(void *ctx, const mc_view_t *view)
{
	post_role_call(ctx, (role_call_t){ .view = view });
	mc_view_unref(view);
}

static void confirm(void *ctx, mc_ms_t now, mc_ms_t config_confirmed)
{
	post_role_call(ctx, (role_call_t){
				    .now = now,
				    .config_confirmed = config_confirmed,
			    });
}

static mc_shard_t *make_shard(const mc_process_t *process, uint32_t index)
{
	const mc_settings_t *settings = process->settings;
	const char *address = process->ops->role == MC_ROLE_GATHER
				      ? settings->gather_peer
				      : settings->front_peer;
	uint64_t seed = settings->seed;
	mc_shard_params_t params = {
		.index = index,
		.clock = mc_clock_system(),
		.log = process->log,
	};

	if (!seed)
		seed = (uint64_t)mc_clock_wall(params.clock) ^
		       (uint64_t)getpid();
	params.seed = mc_hash_pair(seed + index, mc_hash_string(address));
	return mc_shard_create(&params);
}

static mc_err_t create_shards(mc_process_t *process)
{
	uint32_t i;

	process->shard_count = process->settings->shards;
	/* The control shard's index is above those of the data shards. */
	process->control = make_shard(process, process->shard_count);
	if (!process->control)
		return MC_ERR_NO_MEMORY;
	for (i = 0; i < process->shard_count; i++) {
		process->shards[i] = make_shard(process, i);
		if (!process->shards[i])
			return MC_ERR_NO_MEMORY;
	}
	return MC_OK;
}

static mc_err_t create_node(mc_process_t *process)
{
	const mc_node_params_t params = {
		.shard = process->control,
		.settings = process->settings,
		.role = process->ops->role,
		.store = mc_store_http(),
		.publish = publish,
		.confirm = confirm,
		.ctx = process,
	};

	process->node = mc_node_create(&params);
	return process->node ? MC_OK : MC_ERR_INTERNAL;
}

static mc_err_t open_process(mc_process_t *process)
{
	mc_err_t err = create_shards(process);
	uint16_t port;
	uint32_t i;

	if (!err)
		err = create_node(process);
	if (!err && process->ops->role == MC_ROLE_FRONT)
		err = mc_http_bind(process->settings->callers, &port,
				   &process->callers);
	for (i = 0; !err && i < process->shard_count; i++) {
		process->states[i] =
			process->ops->create(process, process->shards[i]);
		if (!process->states[i])
			err = MC_ERR_INTERNAL;
	}
	if (!err)
		err = mc_shard_start(process->control);
	for (i = 0; !err && i < process->shard_count; i++)
		err = mc_shard_start(process->shards[i]);
	return err;
}

static void close_process(mc_process_t *process)
{
	uint32_t i;

	for (i = 0; i < process->shard_count; i++)
		if (process->shards[i])
			mc_shard_stop(process->shards[i]);
	if (process->control)
		mc_shard_stop(process->control);
	for (i = 0; i < process->shard_count; i++) {
		if (process->states[i])
			process->ops->destroy(process->states[i]);
		process->states[i] = NULL;
	}
	for (i = 0; i < process->shard_count; i++)
		mc_shard_destroy(process->shards[i]);
	mc_node_destroy(process->node);
	mc_shard_destroy(process->control);
	if (process->callers >= 0)
		close(process->callers);
}

static bool is_idle(mc_process_t *process)
{
	bool idle = true;
	uint32_t i;

	for (i = 0; i < process->shard_count; i++) {
		mc_shard_lock(process->shards[i]);
		idle = idle && process->ops->idle(process->states[i]);
		mc_shard_unlock(process->shards[i]);
	}
	return idle;
}

/* Waits for a signal for at most @wait ms. Returns true when one came. */
static bool wait_signal(const sigset_t *signals, mc_ms_t wait)
{
	const struct timespec limit = {
		.tv_sec = wait / MS_PER_SECOND,
		.tv_nsec = wait % MS_PER_SECOND * NS_PER_MS,
	};

	return sigtimedwait(signals, NULL, &limit) > 0;
}

/* A second signal ends the wait at once. */
static void drain(mc_process_t *process, const sigset_t *signals)
{
	const mc_clock_t *clock = mc_clock_system();
	mc_ms_t end = mc_clock_now(clock) + process->settings->grace;
	mc_ms_t notice = DRAIN_NOTICE_MS;

	mc_log(process->log, MC_LOG_NOTICE, process->ops->name,
	       "planned stop begins grace_ms=%lld",
	       (long long)process->settings->grace);
	if (notice > process->settings->grace / 4)
		notice = process->settings->grace / 4;
	mc_node_leave(process->node);
	post_role_call(process, (role_call_t){ .signal = process->ops->drain });
	if (wait_signal(signals, notice))
		return;
	post_role_call(process, (role_call_t){ .signal = process->ops->close });
	while (mc_clock_now(clock) < end) {
		if (wait_signal(signals, IDLE_CHECK_MS))
			return;
		if (is_idle(process))
			return;
	}
	mc_log(process->log, MC_LOG_WARNING, process->ops->name,
	       "grace time is over with requests in flight");
}

int mc_process_run(const mc_role_ops_t *ops, const mc_settings_t *settings,
		   mc_log_t *log)
{
	mc_process_t process = {
		.ops = ops,
		.settings = settings,
		.log = log,
		.callers = -1,
	};
	sigset_t signals;
	int caught;
	mc_err_t err;

	sigemptyset(&signals);
	sigaddset(&signals, SIGTERM);
	sigaddset(&signals, SIGINT);
	pthread_sigmask(SIG_BLOCK, &signals, NULL);
	signal(SIGPIPE, SIG_IGN);
	err = open_process(&process);
	if (err) {
		mc_log(log, MC_LOG_ERROR, ops->name, "does not start: %s",
		       mc_last_message());
	} else {
		mc_log(log, MC_LOG_NOTICE, ops->name, "started data_center=%s",
		       settings->data_center);
		sigwait(&signals, &caught);
		drain(&process, &signals);
	}
	close_process(&process);
	return err ? 1 : 0;
}

const mc_settings_t *mc_process_settings(const mc_process_t *process)
{
	return process->settings;
}

mc_node_t *mc_process_node(const mc_process_t *process)
{
	return process->node;
}

const mc_store_api_t *mc_process_store(const mc_process_t *process)
{
	(void)process;
	return mc_store_http();
}

uint32_t mc_process_shard_count(const mc_process_t *process)
{
	return process->shard_count;
}

mc_shard_t *mc_process_shard(const mc_process_t *process, uint32_t index)
{
	return process->shards[index];
}

void *mc_process_state(const mc_process_t *process, uint32_t index)
{
	return process->states[index];
}

int mc_process_callers(const mc_process_t *process)
{
	return process->callers;
}

void mc_process_counters(const mc_process_t *process, mc_counters_t *sum)
{
	uint32_t i;

	memset(sum, 0, sizeof(*sum));
	for (i = 0; i < process->shard_count; i++)
		mc_counters_add(sum, mc_shard_counters(process->shards[i]));
	mc_counters_add(sum, mc_shard_counters(process->control));
}

static void control_opened(void *ctx, mc_handle_t link)
{
	(void)ctx;
	(void)link;
}

static void control_closed(void *ctx, mc_handle_t link, mc_err_t reason)
{
	(void)ctx;
	(void)link;
	(void)reason;
}

static void control_frame(void *ctx, mc_handle_t link, const char *data,
			  size_t size)
{
	mc_process_t *process = ctx;
	mc_wire_message_t *message;

	if (mc_wire_decode(data, size, &message)) {
		mc_count(mc_shard_counters(process->control),
			 MC_COUNTER_BAD_FRAMES, 1);
		mc_link_close(process->control, link);
		return;
	}
	if (mc_node_wants(message->kind))
		mc_node_receive(process->node, message);
	else
		mc_wire_free(message);
}

mc_err_t mc_process_listen(mc_process_t *process, const char *address)
{
	static const mc_link_events_t events = {
		.opened = control_opened,
		.frame = control_frame,
		.closed = control_closed,
	};
	mc_handle_t listener;
	uint16_t port;

	return mc_link_listen(process->control, address, &events, process,
			      &port, &listener);
}
