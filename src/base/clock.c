/*
 * Implements mc_clock_t with the clocks of the operating system.
 */
#include "mc/base/clock.h"

#include <time.h>

enum {
	MS_PER_SECOND = 1000,
	NS_PER_MS = 1000000,
};

static mc_ms_t read_clock(clockid_t id)
{
	struct timespec ts;

	clock_gettime(id, &ts);
	return (mc_ms_t)ts.tv_sec * MS_PER_SECOND + ts.tv_nsec / NS_PER_MS;
}

static mc_ms_t system_now(void *ctx)
{
	(void)ctx;
	return read_clock(CLOCK_MONOTONIC);
}

static mc_ms_t system_wall(void *ctx)
{
	(void)ctx;
	return read_clock(CLOCK_REALTIME);
}

static mc_ms_t system_boot(void *ctx)
{
	(void)ctx;
#ifdef CLOCK_BOOTTIME
	return read_clock(CLOCK_BOOTTIME);
#else
	return read_clock(CLOCK_MONOTONIC);
#endif
}

const mc_clock_t *mc_clock_system(void)
{
	static const mc_clock_t system_clock = {
		.now = system_now,
		.wall = system_wall,
		.boot = system_boot,
	};

	return &system_clock;
}

mc_ms_t mc_clock_now(const mc_clock_t *clock)
{
	return clock->now(clock->ctx);
}

mc_ms_t mc_clock_wall(const mc_clock_t *clock)
{
	return clock->wall(clock->ctx);
}

mc_ms_t mc_clock_boot(const mc_clock_t *clock)
{
	return clock->boot ? clock->boot(clock->ctx) : clock->now(clock->ctx);
}
