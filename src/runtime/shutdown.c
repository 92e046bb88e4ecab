/*
 * Graceful shutdown: tells the data shards that it begins, that no further work
 * is accepted, and by when each request must be answered, and waits until
 * nothing is left. The log shows how much was in flight and what became of it.
 */
#include "runtime_private.h"

#include <stdlib.h>
#include <string.h>

enum {
	IDLE_CHECK_INTERVAL_MS = 20,
	/* Parts of the grace period that are left for the last responses to be
	 * sent, and for the exit of the process, which takes time too, ms; of a
	 * short one at most a quarter each. */
	ANSWER_RESERVE_MS = 200,
	EXIT_RESERVE_MS = 100,
	RESERVE_DIVISOR = 4,
	/* The notice period takes at most 1/n of the grace period; the rest is
	 * for the work in flight. */
	NOTICE_DIVISOR = 2,
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

	/* A wait also ends early when the process was paused. */
	do {
		caught = runtime_wait_signal(stop->signals,
					     end - mc_clock_now(clock));
		if (caught)
			log_signal(stop, caught);
	} while (caught != SIGINT && mc_clock_now(clock) < end);
	return caught == SIGINT;
}

static mc_ms_t notice_period(const mc_runtime_params_t *params)
{
	mc_ms_t most = params->grace_period / NOTICE_DIVISOR;

	return params->notice_period < most ? params->notice_period : most;
}

static void log_start(const shutdown_t *stop)
{
	const mc_runtime_params_t *params = &stop->runtime->params;
	mc_runtime_work_t work = count_work(stop->runtime);

	mc_log(params->log, MC_LOG_NOTICE, params->ops->name,
	       "graceful shutdown started grace_ms=%lld notice_ms=%lld "
	       "requests=%u connections=%u",
	       (long long)params->grace_period,
	       (long long)notice_period(params), work.requests,
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
	       "answered=%llu errors=%llu callers_gone=%llu unanswered=%u "
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

/* When the process ends at the latest, ms. One that was held up beyond that
 * time still gets some for its answers. */
static mc_ms_t latest_end(const mc_runtime_params_t *params, mc_ms_t planned)
{
	mc_ms_t least = mc_clock_now(mc_clock_system()) +
			reserved(params, ANSWER_RESERVE_MS);

	return planned > least ? planned : least;
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
	if (wait_interrupt(stop, notice_period(params)))
		return STOP_INTERRUPTED;
	log_work(stop, "no further work is accepted");
	post_to_all(runtime, run_stop_accepting, 0);
	return finish_work(stop, latest_end(params, end));
}

/* Answers what is in flight at once. Further signals have no effect. */
static void interrupt_work(const shutdown_t *stop)
{
	mc_ms_t end = latest_end(&stop->runtime->params, 0);

	post_to_all(stop->runtime, run_drain, mc_clock_now(mc_clock_system()));
	post_to_all(stop->runtime, run_stop_accepting, 0);
	while (finish_work(stop, end) == STOP_INTERRUPTED)
		;
}

void shutdown_run(mc_runtime_t *runtime, const sigset_t *signals)
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
