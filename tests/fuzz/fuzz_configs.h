/*
 * Configurations that a fuzz program creates once and that its test cases
 * share.
 */
#ifndef FUZZ_CONFIGS_H
#define FUZZ_CONFIGS_H

#include <stdlib.h>

#include "mc/config.h"

enum {
	FUZZ_CONFIG_COUNT = 24,
};

static const mc_config_t *fuzz_configs[FUZZ_CONFIG_COUNT];

/*
 * Memory pools are mapped memory, so the leak checker does not find pointers in
 * them. Without this, it would report what the configurations refer to.
 */
static void free_configs(void)
{
	int i;

	for (i = 0; i < FUZZ_CONFIG_COUNT; i++)
		mc_config_unref(fuzz_configs[i]);
}

/* Creates all configurations, each with its own seed. Returns 0. */
static inline int fuzz_configs_make(const mc_config_t *(*make)(uint64_t seed))
{
	int i;

	for (i = 0; i < FUZZ_CONFIG_COUNT; i++)
		fuzz_configs[i] = make((uint64_t)i);
	atexit(free_configs);
	return 0;
}

#endif
