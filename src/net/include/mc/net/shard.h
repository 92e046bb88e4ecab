/*
 * A shard: one thread, one event loop and one lock that guards all state that
 * belongs to the shard. Its handlers run on its thread with the lock held; no
 * code holds the locks of two shards. Other threads reach a shard by posting
 * to its inbox, or take its lock to read.
 */
#ifndef MC_NET_SHARD_H
#define MC_NET_SHARD_H

#include "mc/base.h"

typedef struct mc_shard_t mc_shard_t;

/**
 * struct mc_shard_params_t - what a shard is made from
 * @index: number of the shard in its process, from 0
 * @seed: of its random state
 * @clock: source of time
 * @log: log; may be NULL
 */
typedef struct mc_shard_params_t {
	uint32_t index;
	uint64_t seed;
	const mc_clock_t *clock;
	mc_log_t *log;
} mc_shard_params_t;

/** mc_net_init() - start the libraries below; once per process */
mc_err_t mc_net_init(void);

/** mc_shard_create() - owned by the caller; NULL on failure */
mc_shard_t *mc_shard_create(const mc_shard_params_t *params);

/** mc_shard_destroy() - free a shard that was stopped or never started */
void mc_shard_destroy(mc_shard_t *shard);

/** mc_shard_start() - start the thread: MC_OK or MC_ERR_INTERNAL */
mc_err_t mc_shard_start(mc_shard_t *shard);

/** mc_shard_stop() - stop the loop and join the thread; not on its thread */
void mc_shard_stop(mc_shard_t *shard);

/** mc_shard_lock() - take the lock, to read from another thread */
void mc_shard_lock(mc_shard_t *shard);

/** mc_shard_unlock() - release the lock */
void mc_shard_unlock(mc_shard_t *shard);

/**
 * mc_shard_post() - have @run called on the shard's thread, in order
 * @shard: the shard
 * @run: called with the shard's lock held
 * @arg: passed to @run, which owns it
 *
 * Any thread. Items that are left when the shard is destroyed are run then.
 *
 * Return: MC_OK or MC_ERR_NO_MEMORY, after which @arg stays the caller's.
 */
mc_err_t mc_shard_post(mc_shard_t *shard,
		       void (*run)(mc_shard_t *shard, void *arg), void *arg);

/** mc_shard_now() - time of this turn of the loop, ms */
mc_ms_t mc_shard_now(const mc_shard_t *shard);

/** mc_shard_clock() - the shard's clock */
const mc_clock_t *mc_shard_clock(const mc_shard_t *shard);

/** mc_shard_index() - number of the shard in its process */
uint32_t mc_shard_index(const mc_shard_t *shard);

/** mc_shard_random() - the shard's random state */
mc_random_t *mc_shard_random(mc_shard_t *shard);

/** mc_shard_counters() - the shard's counters */
mc_counters_t *mc_shard_counters(mc_shard_t *shard);

/** mc_shard_log() - the log; may be NULL */
mc_log_t *mc_shard_log(const mc_shard_t *shard);

/*
 * The functions below are for handlers on the shard's own thread, and for its
 * set-up before it is started.
 */

/** mc_timer_fn_t - a timer's handler */
typedef void (*mc_timer_fn_t)(mc_shard_t *shard, void *arg);

/**
 * mc_timer_set() - call @fire once at @at
 * @shard: the shard
 * @at: ms, on the shard's clock
 * @fire: handler
 * @arg: passed to @fire
 * @timer: receives the timer's handle, stale once it has fired
 *
 * Return: MC_OK, MC_ERR_NO_MEMORY, MC_ERR_FULL.
 */
mc_err_t mc_timer_set(mc_shard_t *shard, mc_ms_t at, mc_timer_fn_t fire,
		      void *arg, mc_handle_t *timer);

/** mc_timer_cancel() - a stale handle is ignored */
void mc_timer_cancel(mc_shard_t *shard, mc_handle_t timer);

/**
 * mc_shard_defer() - call @run at the end of this turn of the loop, so that
 * work that arrived in one turn can be sent together
 */
mc_err_t mc_shard_defer(mc_shard_t *shard, mc_timer_fn_t run, void *arg);

/** enum mc_watch_events_t - events of a descriptor */
enum {
	MC_WATCH_READ = 1,
	MC_WATCH_WRITE = 2,
	MC_WATCH_ERROR = 4,
};

/** mc_watch_fn_t - a descriptor's handler; @events is a mask */
typedef void (*mc_watch_fn_t)(mc_shard_t *shard, void *arg, int events);

/**
 * mc_watch_add() - watch a descriptor
 * @shard: the shard
 * @fd: descriptor; stays the caller's
 * @events: MC_WATCH_READ and MC_WATCH_WRITE
 * @ready: handler
 * @arg: passed to @ready
 * @watch: receives the handle
 */
mc_err_t mc_watch_add(mc_shard_t *shard, int fd, int events,
		      mc_watch_fn_t ready, void *arg, mc_handle_t *watch);

/** mc_watch_change() - watch other events of the same descriptor */
mc_err_t mc_watch_change(mc_shard_t *shard, mc_handle_t watch, int events);

/** mc_watch_remove() - before the descriptor is closed */
void mc_watch_remove(mc_shard_t *shard, mc_handle_t watch);

#endif
