/*
 * Creates, starts and stops the shards of a process, and waits for signals.
 */
#include "mc/runtime.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

enum {
	IDLE_CHECK_INTERVAL_MS = 20,
	TICK_INTERVAL_MS = 1000,
	/* Parts of the grace period that are left for the last responses to be
	 * sent, and for the exit of the process, which takes time too, ms; of a
	 * short one at most a quarter each. */
	ANSWER_RESERVE_MS = 200,
	EXIT_RESERVE_MS = 100,
	RESERVE_DIVISOR = 4,
	NS_PER_MS = 1000000,
	MS_PER_S = 1000,
};

struct mc_runtime_t {
	mc_runtime_params_t params;
	mc_shard_t *control;
	mc_shard_t *shards[MC_RUNTIME_SHARDS_MAX];
	void *states[MC_RUNTIME_SHARDS_MAX];
	/* Calls of the role's functions that were posted and have not ended;
	 * atomic. */
	uint32_t pending_calls;
};

/* A posted call of one of the role's functions on a data shard. */
typedef struct {
	mc_runtime_t *runtime;
	mc_ms_t answer_by;
} role_call_t;

static void end_call(role_call_t *call)
{
	__atomic_sub_fetch(&call->runtime->pending_calls, 1, __ATOMIC_RELEASE);
	free(call);
}

static void run_drain(mc_shard_t *shard, void *arg)
{
	role_call_t *call = arg;
	void *state = call->runtime->states[mc_shard_index(shard)];

	if (state)
		call->runtime->params.ops->drain(state, call->answer_by);
	end_call(call);
}

static void run_stop_accepting(mc_shard_t *shard, void *arg)
{
	role_call_t *call = arg;
	void *state = call->runtime->states[mc_shard_index(shard)];

	if (state)
		call->runtime->params.ops->stop_accepting(state);
	end_call(call);
}

static mc_err_t post_call(mc_runtime_t *runtime, uint32_t index,
			  mc_timer_fn_t run, mc_ms_t answer_by)
{
	role_call_t *call = malloc(sizeof(*call));
	mc_err_t err;

	if (!call)
		return mc_fail(MC_ERR_NO_MEMORY, "out of memory for a call");
	*call = (role_call_t){ .runtime = runtime, .answer_by = answer_by };
	__atomic_add_fetch(&runtime->pending_calls, 1, __ATOMIC_RELAXED);
	err = mc_shard_post(runtime->shards[index], run, call);
	if (err)
		end_call(call);
	return err;
}

static void post_to_all(mc_runtime_t *runtime, mc_timer_fn_t run,
			mc_ms_t answer_by)
{
	const mc_runtime_params_t *params = &runtime->params;
	uint32_t i;

	for (i = 0; i < params->shard_count; i++)
		if (post_call(runtime, i, run, answer_by))
			mc_log(params->log, MC_LOG_ERROR, params->ops->name,
			       "shard %u not told of the shutdown: %s", i,
			       mc_last_error_message());
}

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

static mc_runtime_work_t count_work(mc_runtime_t *runtime)
{
	mc_runtime_work_t work = { 0 };
	uint32_t i;

	for (i = 0; i < runtime->params.shard_count; i++) {
		mc_shard_lock(runtime->shards[i]);
		runtime->params.ops->count_work(runtime->states[i], &work);
		mc_shard_unlock(runtime->shards[i]);
	}
	return work;
}

static bool is_idle(mc_runtime_t *runtime)
{
	mc_runtime_work_t work;

	/* A shard that was not told yet may have connections to accept. */
	if (__atomic_load_n(&runtime->pending_calls, __ATOMIC_ACQUIRE))
		return false;
	work = count_work(runtime);
	return !work.requests && !work.connections;
}

/* Waits at most @wait ms for a signal. Returns its number, or 0. */
static int wait_signal(const sigset_t *signals, mc_ms_t wait)
{
	mc_ms_t limit_ms = wait > 0 ? wait : 0;
	const struct timespec limit = {
		.tv_sec = limit_ms / MS_PER_S,
		.tv_nsec = limit_ms % MS_PER_S * NS_PER_MS,
	};
	int caught = sigtimedwait(signals, NULL, &limit);

	return caught > 0 ? caught : 0;
}

/* A graceful shutdown. */
typedef struct {
	mc_runtime_t *runtime;
	const sigset_t *signals;
	mc_ms_t start;
	/* Counters at the start. */
	mc_counters_t before;
} shutdown_t;

static mc_ms_t elapsed(const shutdown_t *stop)
{
	return mc_clock_now(mc_clock_system()) - stop->start;
}

static void log_signal(const shutdown_t *stop, int caught)
{
	const mc_runtime_params_t *params = &stop->runtime->params;

	mc_log(params->log, MC_LOG_NOTICE, params->ops->name,
	       "signal received during the shutdown signal=%s ms=%lld",
	       sigabbrev_np(caught), (long long)elapsed(stop));
}

/*
 * Waits @wait ms. Returns true at once on SIGINT, with which somebody at a
 * terminal ends the process without further delay. SIGTERM and SIGHUP have no
 * effect: whoever stops processes may say so more than once, and the requests
 * in flight still need their answers.
 */
static bool wait_interrupt(const shutdown_t *stop, mc_ms_t wait)
{
	const mc_clock_t *clock = mc_clock_system();
	mc_ms_t end = mc_clock_now(clock) + wait;
	int caught;

	do {
		caught = wait_signal(stop->signals, end - mc_clock_now(clock));
		if (caught)
			log_signal(stop, caught);
	} while (caught && caught != SIGINT && mc_clock_now(clock) < end);
	return caught == SIGINT;
}

static void log_start(const shutdown_t *stop)
{
	const mc_runtime_params_t *params = &stop->runtime->params;
	mc_runtime_work_t work = count_work(stop->runtime);

	mc_log(params->log, MC_LOG_NOTICE, params->ops->name,
	       "graceful shutdown started grace_ms=%lld notice_ms=%lld "
	       "requests=%u connections=%u",
	       (long long)params->grace_period,
	       (long long)params->notice_period, work.requests,
	       work.connections);
}

static void log_work(const shutdown_t *stop, const char *event)
{
	const mc_runtime_params_t *params = &stop->runtime->params;
	mc_runtime_work_t work = count_work(stop->runtime);

	mc_log(params->log, MC_LOG_NOTICE, params->ops->name,
	       "%s ms=%lld requests=%u connections=%u", event,
	       (long long)elapsed(stop), work.requests, work.connections);
}

static unsigned long long counted(const shutdown_t *stop,
				  const mc_counters_t *now,
				  mc_counter_id_t counter)
{
	return now->values[counter] - stop->before.values[counter];
}

/* Requests that are still in flight get no answer. */
static void log_end(const shutdown_t *stop, const char *reason)
{
	const mc_runtime_params_t *params = &stop->runtime->params;
	mc_runtime_work_t work = count_work(stop->runtime);
	mc_counters_t now;

	mc_runtime_sum_counters(stop->runtime, &now);
	mc_log(params->log, work.requests ? MC_LOG_WARNING : MC_LOG_NOTICE,
	       params->ops->name,
	       "graceful shutdown ended reason=%s ms=%lld received=%llu "
	       "answered=%llu refused=%llu callers_gone=%llu unanswered=%u "
	       "connections=%u",
	       reason, (long long)elapsed(stop),
	       counted(stop, &now, MC_COUNTER_REQUESTS),
	       counted(stop, &now, MC_COUNTER_ANSWERS),
	       counted(stop, &now, MC_COUNTER_REFUSALS),
	       counted(stop, &now, MC_COUNTER_CALLERS_GONE), work.requests,
	       work.connections);
}

typedef enum {
	STOP_IDLE,
	STOP_GRACE_PERIOD_OVER,
	STOP_INTERRUPTED,
} stop_reason_t;

/* Waits until no work is left, or until @end. */
static stop_reason_t finish_work(const shutdown_t *stop, mc_ms_t end)
{
	while (mc_clock_now(mc_clock_system()) < end) {
		if (wait_interrupt(stop, IDLE_CHECK_INTERVAL_MS))
			return STOP_INTERRUPTED;
		if (is_idle(stop->runtime))
			return STOP_IDLE;
	}
	return STOP_GRACE_PERIOD_OVER;
}

/* The part of the grace period that is reserved, at most @reserve, ms. */
static mc_ms_t reserved(const mc_runtime_params_t *params, mc_ms_t reserve)
{
	mc_ms_t most = params->grace_period / RESERVE_DIVISOR;

	return reserve < most ? reserve : most;
}

static stop_reason_t run_shutdown(const shutdown_t *stop)
{
	mc_runtime_t *runtime = stop->runtime;
	const mc_runtime_params_t *params = &runtime->params;
	mc_ms_t end = stop->start + params->grace_period -
		      reserved(params, EXIT_RESERVE_MS);

	if (params->ops->begin_shutdown)
		params->ops->begin_shutdown(params->role);
	post_to_all(runtime, run_drain,
		    end - reserved(params, ANSWER_RESERVE_MS));
	if (wait_interrupt(stop, params->notice_period))
		return STOP_INTERRUPTED;
	log_work(stop, "no further work is accepted");
	post_to_all(runtime, run_stop_accepting, 0);
	return finish_work(stop, end);
}

/* Answers what is in flight at once. */
static void interrupt_work(const shutdown_t *stop)
{
	mc_ms_t now = mc_clock_now(mc_clock_system());

	post_to_all(stop->runtime, run_drain, now);
	post_to_all(stop->runtime, run_stop_accepting, 0);
	finish_work(stop, now + ANSWER_RESERVE_MS);
}

static void shut_down(mc_runtime_t *runtime, const sigset_t *signals)
{
	static const char *const reason_names[] = {
		[STOP_IDLE] = "idle",
		[STOP_GRACE_PERIOD_OVER] = "grace_period_over",
		[STOP_INTERRUPTED] = "interrupted",
	};
	stop_reason_t reason;
	shutdown_t stop = {
		.runtime = runtime,
		.signals = signals,
		.start = mc_clock_now(mc_clock_system()),
	};

	mc_runtime_sum_counters(runtime, &stop.before);
	log_start(&stop);
	reason = run_shutdown(&stop);
	if (reason == STOP_INTERRUPTED)
		interrupt_work(&stop);
	log_end(&stop, reason_names[reason]);
}

static void run_until_stopped(mc_runtime_t *runtime, const sigset_t *signals)
{
	const mc_runtime_params_t *params = &runtime->params;
	int caught;

	for (;;) {
		if (params->ops->tick)
			caught = wait_signal(signals, TICK_INTERVAL_MS);
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
		shut_down(&runtime, &signals);
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
