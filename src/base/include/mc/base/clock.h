/*
 * Clocks. Points in time and durations are both in milliseconds. A clock is a
 * table of function pointers, so that tests can control the time.
 */
#ifndef MC_BASE_CLOCK_H
#define MC_BASE_CLOCK_H

#include <stdint.h>

/** mc_ms_t - a point in time or a duration in milliseconds */
typedef int64_t mc_ms_t;

/** MC_MS_NEVER - a point in time that is never reached */
#define MC_MS_NEVER INT64_MAX

/**
 * struct mc_clock_t - source of time
 * @now: returns monotonic time from an arbitrary origin; continues while the
 *	process is paused
 * @wall: returns wall time since the Unix epoch, for schedules that operators
 *	configure
 * @boot: returns monotonic time that also counts while the machine is
 *	suspended; NULL where it equals @now
 * @ctx: argument for all functions
 */
typedef struct mc_clock_t {
	mc_ms_t (*now)(void *ctx);
	mc_ms_t (*wall)(void *ctx);
	mc_ms_t (*boot)(void *ctx);
	void *ctx;
} mc_clock_t;

/**
 * mc_clock_system() - Get the clock of the operating system.
 *
 * Return: a statically allocated table.
 */
const mc_clock_t *mc_clock_system(void);

/** mc_clock_now() - Get the monotonic time in ms. */
mc_ms_t mc_clock_now(const mc_clock_t *clock);

/** mc_clock_wall() - Get the wall time in ms since the Unix epoch. */
mc_ms_t mc_clock_wall(const mc_clock_t *clock);

/** mc_clock_boot() - Get the monotonic time that counts suspensions, in ms. */
mc_ms_t mc_clock_boot(const mc_clock_t *clock);

#endif
