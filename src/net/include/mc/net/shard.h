/*
 * A shard: one thread, one event loop, and one lock that guards all state of
 * the shard. Handlers run on the shard's thread with the lock held; no code
 * holds the locks of two shards. Other threads post calls to the shard's inbox,
 * or take its lock to read its state.
 */
#ifndef MC_NET_SHARD_H
#define MC_NET_SHARD_H

#include "mc/base.h"

typedef struct mc_shard_t mc_shard_t;

/**
 * struct mc_shard_params_t - Parameters of a shard
 * @index: index of the shard in its process, from 0
 * @seed: seed of its random state
 * @clock: source of time; must outlive the shard
 * @log: log; must outlive the shard; may be NULL
 */
typedef struct mc_shard_params_t {
	uint32_t index;
	uint64_t seed;
	const mc_clock_t *clock;
	mc_log_t *log;
} mc_shard_params_t;

/**
 * mc_net_init() - Initialize APR and libcurl; once per process
 *
 * Return: MC_OK; MC_ERR_INTERNAL, with the reason in mc_last_error_message().
 */
mc_err_t mc_net_init(void);

/**
 * mc_shard_create() - Create a shard, without starting its thread
 *
 * Return: the shard, owned by the caller; NULL on failure.
 */
mc_shard_t *mc_shard_create(const mc_shard_params_t *params);

/** mc_shard_destroy() - Free a shard that was stopped or never started */
void mc_shard_destroy(mc_shard_t *shard);

/** mc_shard_start() - Start the thread: MC_OK or MC_ERR_INTERNAL */
mc_err_t mc_shard_start(mc_shard_t *shard);

/**
 * mc_shard_stop() - Stop the loop and join the thread
 *
 * Must not be called on the shard's own thread.
 */
void mc_shard_stop(mc_shard_t *shard);

/** mc_shard_lock() - Take the lock, to read state from another thread */
void mc_shard_lock(mc_shard_t *shard);

/** mc_shard_unlock() - Release the lock */
void mc_shard_unlock(mc_shard_t *shard);

/**
 * mc_shard_post() - Post a call to the shard's inbox; any thread
 * @shard: the shard
 * @run: called on the shard's thread with its lock held
 * @arg: passed to @run, which owns it
 *
 * Calls run in the order in which they are posted. Those that are left when the
 * shard is destroyed run then.
 *
 * Return: MC_OK; MC_ERR_NO_MEMORY, after which the caller still owns @arg.
 */
mc_err_t mc_shard_post(mc_shard_t *shard,
		       void (*run)(mc_shard_t *shard, void *arg), void *arg);

/** mc_shard_now() - Get the time of this turn of the loop, ms */
mc_ms_t mc_shard_now(const mc_shard_t *shard);

/** mc_shard_clock() - Get the clock */
const mc_clock_t *mc_shard_clock(const mc_shard_t *shard);

/** mc_shard_index() - Get the index of the shard in its process */
uint32_t mc_shard_index(const mc_shard_t *shard);

/** mc_shard_random() - Get the random state */
mc_random_t *mc_shard_random(mc_shard_t *shard);

/** mc_shard_counters() - Get the counters */
mc_counters_t *mc_shard_counters(mc_shard_t *shard);

/** mc_shard_log() - Get the log; may be NULL */
mc_log_t *mc_shard_log(const mc_shard_t *shard);

/*
 * The functions below may be called only by handlers on the shard's own thread,
 * and by the code that sets the shard up before it is started.
 */

/** mc_timer_fn_t - Handler of a timer or a deferred call */
typedef void (*mc_timer_fn_t)(mc_shard_t *shard, void *arg);

/**
 * mc_timer_set() - Set a timer, which fires once
 * @shard: the shard
 * @at: when it fires, ms on the shard's clock
 * @fire: handler
 * @arg: passed to @fire
 * @timer: receives the handle, which is stale once the timer has fired
 *
 * Return: MC_OK, MC_ERR_NO_MEMORY, MC_ERR_FULL.
 */
mc_err_t mc_timer_set(mc_shard_t *shard, mc_ms_t at, mc_timer_fn_t fire,
		      void *arg, mc_handle_t *timer);

/** mc_timer_cancel() - Cancel a timer; a stale handle is ignored */
void mc_timer_cancel(mc_shard_t *shard, mc_handle_t timer);

/**
 * mc_shard_defer() - Call @run at the end of this turn of the loop
 *
 * Used to batch the output of all handlers of a turn.
 *
 * Return: MC_OK or MC_ERR_NO_MEMORY.
 */
mc_err_t mc_shard_defer(mc_shard_t *shard, mc_timer_fn_t run, void *arg);

/* Events of a descriptor, as a mask. */
enum {
	MC_WATCH_READ = 1,
	MC_WATCH_WRITE = 2,
	MC_WATCH_ERROR = 4,
};

/** mc_watch_fn_t - Handler of a descriptor; @events is a mask */
typedef void (*mc_watch_fn_t)(mc_shard_t *shard, void *arg, int events);

/**
 * mc_watch_add() - Watch a descriptor for events
 * @shard: the shard
 * @fd: descriptor, owned by the caller
 * @events: mask of MC_WATCH_READ and MC_WATCH_WRITE; MC_WATCH_ERROR is always
 *	reported
 * @ready: handler
 * @arg: passed to @ready
 * @watch: receives the handle
 *
 * Return: MC_OK, MC_ERR_IO, MC_ERR_FULL, MC_ERR_NO_MEMORY.
 */
mc_err_t mc_watch_add(mc_shard_t *shard, int fd, int events,
		      mc_watch_fn_t ready, void *arg, mc_handle_t *watch);

/**
 * mc_watch_change() - Change the events for which a descriptor is watched
 *
 * Return: MC_OK, MC_ERR_STALE_HANDLE, MC_ERR_IO.
 */
mc_err_t mc_watch_change(mc_shard_t *shard, mc_handle_t watch, int events);

/**
 * mc_watch_remove() - Stop watching a descriptor; a stale handle is ignored
 *
 * Must be called before the descriptor is closed.
 */
void mc_watch_remove(mc_shard_t *shard, mc_handle_t watch);

#endif
