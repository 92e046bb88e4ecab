/*
 * Creates, starts and stops the shards of a process, and waits for signals.
 */
#include "runtime_private.h"

#include <signal.h>
#include <string.h>
#include <time.h>

enum {
	TICK_INTERVAL_MS = 1000,
	NS_PER_MS = 1000000,
	MS_PER_S = 1000,
};

static mc_shard_t *create_shard(const mc_runtime_t *runtime, uint32_t index)
{
	const mc_shard_params_t params = {
		.index = index,
		.seed = mc_hash_pair(runtime->params.seed, index),
		.clock = mc_clock_system(),
		.log = runtime->params.log,
	};

	return mc_shard_create(&params);
}

static mc_err_t create_shards(mc_runtime_t *runtime)
{
	uint32_t i;

	/* The control shard's index is above those of the data shards. */
	runtime->control = create_shard(runtime, runtime->params.shard_count);
	if (!runtime->control)
		return MC_ERR_NO_MEMORY;
	for (i = 0; i < runtime->params.shard_count; i++) {
		runtime->shards[i] = create_shard(runtime, i);
		if (!runtime->shards[i])
			return MC_ERR_NO_MEMORY;
	}
	return MC_OK;
}

static mc_err_t start_runtime(mc_runtime_t *runtime)
{
	const mc_runtime_params_t *params = &runtime->params;
	mc_err_t err = create_shards(runtime);
	uint32_t i;

	if (!err)
		err = params->ops->init(params->role, runtime);
	for (i = 0; !err && i < params->shard_count; i++) {
		runtime->states[i] = params->ops->create_state(
			params->role, runtime, runtime->shards[i]);
		if (!runtime->states[i])
			err = MC_ERR_INTERNAL;
	}
	if (!err)
		err = mc_shard_start(runtime->control);
	for (i = 0; !err && i < params->shard_count; i++)
		err = mc_shard_start(runtime->shards[i]);
	return err;
}

static void stop_runtime(mc_runtime_t *runtime)
{
	uint32_t i;

	for (i = 0; i < runtime->params.shard_count; i++)
		if (runtime->shards[i])
			mc_shard_stop(runtime->shards[i]);
	if (runtime->control)
		mc_shard_stop(runtime->control);
	for (i = 0; i < runtime->params.shard_count; i++) {
		if (runtime->states[i])
			runtime->params.ops->destroy_state(runtime->states[i]);
		runtime->states[i] = NULL;
	}
	for (i = 0; i < runtime->params.shard_count; i++)
		mc_shard_destroy(runtime->shards[i]);
}

int runtime_wait_signal(const sigset_t *signals, mc_ms_t wait)
{
	mc_ms_t limit_ms = wait > 0 ? wait : 0;
	const struct timespec limit = {
		.tv_sec = limit_ms / MS_PER_S,
		.tv_nsec = limit_ms % MS_PER_S * NS_PER_MS,
	};
	int caught = sigtimedwait(signals, NULL, &limit);

	return caught > 0 ? caught : 0;
}

static void run_until_stopped(mc_runtime_t *runtime, const sigset_t *signals)
{
	const mc_runtime_params_t *params = &runtime->params;
	int caught;

	for (;;) {
		if (params->ops->tick)
			caught = runtime_wait_signal(signals, TICK_INTERVAL_MS);
		else
			sigwait(signals, &caught);
		if (caught == SIGTERM || caught == SIGINT)
			return;
		if (caught == SIGHUP && params->ops->reload)
			params->ops->reload(params->role);
		else if (!caught && params->ops->tick)
			params->ops->tick(params->role);
	}
}

static void init_signal_set(sigset_t *signals)
{
	sigemptyset(signals);
	sigaddset(signals, SIGTERM);
	sigaddset(signals, SIGINT);
	sigaddset(signals, SIGHUP);
}

void mc_runtime_block_signals(void)
{
	sigset_t signals;

	init_signal_set(&signals);
	pthread_sigmask(SIG_BLOCK, &signals, NULL);
	signal(SIGPIPE, SIG_IGN);
}

mc_err_t mc_runtime_run(const mc_runtime_params_t *params)
{
	mc_runtime_t runtime = { .params = *params };
	sigset_t signals;
	mc_err_t err;

	init_signal_set(&signals);
	mc_runtime_block_signals();
	err = start_runtime(&runtime);
	if (err) {
		mc_log(params->log, MC_LOG_ERROR, params->ops->name,
		       "process not started: %s", mc_last_error_message());
	} else {
		run_until_stopped(&runtime, &signals);
		shutdown_run(&runtime, &signals);
	}
	stop_runtime(&runtime);
	params->ops->cleanup(params->role);
	mc_shard_destroy(runtime.control);
	return err;
}

mc_shard_t *mc_runtime_control_shard(const mc_runtime_t *runtime)
{
	return runtime->control;
}

uint32_t mc_runtime_shard_count(const mc_runtime_t *runtime)
{
	return runtime->params.shard_count;
}

mc_shard_t *mc_runtime_shard(const mc_runtime_t *runtime, uint32_t index)
{
	return runtime->shards[index];
}

void *mc_runtime_shard_state(const mc_runtime_t *runtime, uint32_t index)
{
	return runtime->states[index];
}

void mc_runtime_sum_counters(const mc_runtime_t *runtime, mc_counters_t *sum)
{
	uint32_t i;

	memset(sum, 0, sizeof(*sum));
	for (i = 0; i < runtime->params.shard_count; i++)
		mc_counters_merge(sum, mc_shard_counters(runtime->shards[i]));
	mc_counters_merge(sum, mc_shard_counters(runtime->control));
}
