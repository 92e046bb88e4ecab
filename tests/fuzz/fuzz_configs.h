/*
 * Configurations that a fuzzer makes once and whose cases walk through them.
 */
#ifndef FUZZ_CONFIGS_H
#define FUZZ_CONFIGS_H

#include <stdlib.h>

#include "mc/config.h"

enum {
	FUZZ_CONFIG_COUNT = 24,
};

static const mc_config_t *fuzz_configs[FUZZ_CONFIG_COUNT];

/* Pools are mapped, so the leak checker does not see what they hold. */
static void free_configs(void)
{
	int i;

	for (i = 0; i < FUZZ_CONFIG_COUNT; i++)
		mc_config_unref(fuzz_configs[i]);
}

/* Makes them all, each from a seed of its own. */
static inline int fuzz_configs_make(const mc_config_t *(*make)(uint64_t seed))
{
	int i;

	for (i = 0; i < FUZZ_CONFIG_COUNT; i++)
		fuzz_configs[i] = make((uint64_t)i);
	atexit(free_configs);
	return 0;
}

#endif
