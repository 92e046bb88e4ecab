/*
 * Makes, starts and stops the shards of a process, and waits for signals.
 */
#include "mc/runtime.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

enum {
	IDLE_CHECK_MS = 20,
	CHECK_MS = 1000,
	/* Before the end of the grace time, as an exit takes time too, ms. */
	GRACE_RESERVE_MS = 300,
	NS_PER_MS = 1000000,
	MS_PER_SECOND = 1000,
};

struct mc_runtime_t {
	mc_runtime_params_t params;
	mc_shard_t *control;
	mc_shard_t *shards[MC_RUNTIME_SHARDS_MAX];
	void *states[MC_RUNTIME_SHARDS_MAX];
};

/* A call of one of the role's functions on a data shard. */
typedef struct {
	mc_runtime_t *host;
	void (*run)(void *state);
} role_call_t;

static void run_role_call(mc_shard_t *shard, void *arg)
{
	role_call_t *call = arg;
	void *state = call->host->states[mc_shard_index(shard)];

	if (state)
		call->run(state);
	free(call);
}

static void post_all(mc_runtime_t *host, void (*run)(void *state))
{
	uint32_t i;

	for (i = 0; i < host->params.shard_count; i++) {
		role_call_t *call = malloc(sizeof(*call));

		if (!call)
			continue;
		*call = (role_call_t){ .host = host, .run = run };
		if (mc_shard_post(host->shards[i], run_role_call, call))
			free(call);
	}
}

static mc_shard_t *make_shard(const mc_runtime_t *host, uint32_t index)
{
	const mc_shard_params_t params = {
		.index = index,
		.seed = mc_hash_pair(host->params.seed, index),
		.clock = mc_clock_system(),
		.log = host->params.log,
	};

	return mc_shard_create(&params);
}

static mc_err_t create_shards(mc_runtime_t *host)
{
	uint32_t i;

	/* The control shard's index is above those of the data shards. */
	host->control = make_shard(host, host->params.shard_count);
	if (!host->control)
		return MC_ERR_NO_MEMORY;
	for (i = 0; i < host->params.shard_count; i++) {
		host->shards[i] = make_shard(host, i);
		if (!host->shards[i])
			return MC_ERR_NO_MEMORY;
	}
	return MC_OK;
}

static mc_err_t open_host(mc_runtime_t *host)
{
	const mc_runtime_params_t *params = &host->params;
	mc_err_t err = create_shards(host);
	uint32_t i;

	if (!err)
		err = params->ops->init(params->role, host);
	for (i = 0; !err && i < params->shard_count; i++) {
		host->states[i] = params->ops->create_state(params->role, host,
							    host->shards[i]);
		if (!host->states[i])
			err = MC_ERR_INTERNAL;
	}
	if (!err)
		err = mc_shard_start(host->control);
	for (i = 0; !err && i < params->shard_count; i++)
		err = mc_shard_start(host->shards[i]);
	return err;
}

static void stop_host(mc_runtime_t *host)
{
	uint32_t i;

	for (i = 0; i < host->params.shard_count; i++)
		if (host->shards[i])
			mc_shard_stop(host->shards[i]);
	if (host->control)
		mc_shard_stop(host->control);
	for (i = 0; i < host->params.shard_count; i++) {
		if (host->states[i])
			host->params.ops->destroy_state(host->states[i]);
		host->states[i] = NULL;
	}
	for (i = 0; i < host->params.shard_count; i++)
		mc_shard_destroy(host->shards[i]);
}

static bool is_idle(mc_runtime_t *host)
{
	bool idle = true;
	uint32_t i;

	for (i = 0; i < host->params.shard_count; i++) {
		mc_shard_lock(host->shards[i]);
		idle = idle && host->params.ops->is_idle(host->states[i]);
		mc_shard_unlock(host->shards[i]);
	}
	return idle;
}

/* Waits for a signal for at most @wait ms. Returns its number or 0. */
static int wait_signal(const sigset_t *signals, mc_ms_t wait)
{
	const struct timespec limit = {
		.tv_sec = wait / MS_PER_SECOND,
		.tv_nsec = wait % MS_PER_SECOND * NS_PER_MS,
	};
	int caught = sigtimedwait(signals, NULL, &limit);

	return caught > 0 ? caught : 0;
}

/* A second signal to stop ends the wait at once; others are ignored now. */
static bool wait_stop(const sigset_t *signals, mc_ms_t wait)
{
	int caught = wait_signal(signals, wait);

	return caught == SIGTERM || caught == SIGINT;
}

static void drain(mc_runtime_t *host, const sigset_t *signals)
{
	const mc_runtime_params_t *params = &host->params;
	const mc_clock_t *clock = mc_clock_system();
	mc_ms_t grace = params->grace_period;
	mc_ms_t end;

	if (grace > GRACE_RESERVE_MS * 2)
		grace -= GRACE_RESERVE_MS;
	end = mc_clock_now(clock) + grace;
	mc_log(params->log, MC_LOG_NOTICE, params->ops->name,
	       "planned stop begins grace_ms=%lld notice_ms=%lld",
	       (long long)params->grace_period,
	       (long long)params->notice_period);
	if (params->ops->begin_shutdown)
		params->ops->begin_shutdown(params->role);
	post_all(host, params->ops->drain);
	if (wait_stop(signals, params->notice_period))
		return;
	post_all(host, params->ops->stop_accepting);
	while (mc_clock_now(clock) < end) {
		if (wait_stop(signals, IDLE_CHECK_MS) || is_idle(host))
			return;
	}
	mc_log(params->log, MC_LOG_WARNING, params->ops->name,
	       "grace time is over with requests in flight");
}

static void run(mc_runtime_t *host, const sigset_t *signals)
{
	const mc_runtime_params_t *params = &host->params;
	int caught;

	for (;;) {
		if (params->ops->tick)
			caught = wait_signal(signals, CHECK_MS);
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

static void handled_signals(sigset_t *signals)
{
	sigemptyset(signals);
	sigaddset(signals, SIGTERM);
	sigaddset(signals, SIGINT);
	sigaddset(signals, SIGHUP);
}

void mc_runtime_block_signals(void)
{
	sigset_t signals;

	handled_signals(&signals);
	pthread_sigmask(SIG_BLOCK, &signals, NULL);
	signal(SIGPIPE, SIG_IGN);
}

mc_err_t mc_runtime_run(const mc_runtime_params_t *params)
{
	mc_runtime_t host = { .params = *params };
	sigset_t signals;
	mc_err_t err;

	handled_signals(&signals);
	mc_runtime_block_signals();
	err = open_host(&host);
	if (err) {
		mc_log(params->log, MC_LOG_ERROR, params->ops->name,
		       "does not start: %s", mc_last_error_message());
	} else {
		run(&host, &signals);
		drain(&host, &signals);
	}
	stop_host(&host);
	params->ops->cleanup(params->role);
	mc_shard_destroy(host.control);
	return err;
}

mc_shard_t *mc_runtime_control_shard(const mc_runtime_t *host)
{
	return host->control;
}

uint32_t mc_runtime_shard_count(const mc_runtime_t *host)
{
	return host->params.shard_count;
}

mc_shard_t *mc_runtime_shard(const mc_runtime_t *host, uint32_t index)
{
	return host->shards[index];
}

void *mc_runtime_shard_state(const mc_runtime_t *host, uint32_t index)
{
	return host->states[index];
}

void mc_runtime_sum_counters(const mc_runtime_t *host, mc_counters_t *sum)
{
	uint32_t i;

	memset(sum, 0, sizeof(*sum));
	for (i = 0; i < host->params.shard_count; i++)
		mc_counters_merge(sum, mc_shard_counters(host->shards[i]));
	mc_counters_merge(sum, mc_shard_counters(host->control));
}
