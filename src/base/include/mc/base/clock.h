/*
 * The clock type. Points in time and durations are both counted in
 * milliseconds; a clock is a table of function pointers, so that tests drive
 * time themselves.
 */
#ifndef MC_BASE_CLOCK_H
#define MC_BASE_CLOCK_H

#include <stdint.h>

/** mc_ms_t - a point in time or a duration, in milliseconds */
typedef int64_t mc_ms_t;

/** MC_MS_NEVER - a point in time that is never reached */
#define MC_MS_NEVER INT64_MAX

/**
 * struct mc_clock_t - source of time
 * @now: monotonic time; its origin has no meaning, and it goes on while the
 *	process is paused
 * @wall: time since the Unix epoch, for schedules that operators write down
 * @ctx: passed to both functions
 */
typedef struct mc_clock_t {
	mc_ms_t (*now)(void *ctx);
	mc_ms_t (*wall)(void *ctx);
	void *ctx;
} mc_clock_t;

/**
 * mc_clock_system() - the machine's clocks
 *
 * Return: a table that lives as long as the process.
 */
const mc_clock_t *mc_clock_system(void);

/** mc_clock_now() - monotonic time of @clock, ms */
mc_ms_t mc_clock_now(const mc_clock_t *clock);

/** mc_clock_wall() - time of @clock since the Unix epoch, ms */
mc_ms_t mc_clock_wall(const mc_clock_t *clock);

#endif
