/*
 * Seeded pseudo-random numbers. Each shard and each test has its own generator;
 * there is no shared state. Secrets are drawn from the kernel.
 */
#ifndef MC_BASE_RANDOM_H
#define MC_BASE_RANDOM_H

#include <stddef.h>
#include <stdint.h>

#include "mc/base/error.h"

/** struct mc_random_t - state of a generator of libc's 48-bit family */
typedef struct mc_random_t {
	unsigned short state[3];
} mc_random_t;

/** mc_random_seed() - Initialize a generator with a seed. */
void mc_random_seed(mc_random_t *random, uint64_t seed);

/** mc_random_u32() - Generate 31 random bits. */
uint32_t mc_random_u32(mc_random_t *random);

/**
 * mc_random_below() - Generate a number in [0, @bound); 0 if @bound is 0.
 */
uint32_t mc_random_below(mc_random_t *random, uint32_t bound);

/** mc_random_unit() - Generate a number in [0, 1). */
double mc_random_unit(mc_random_t *random);

/**
 * mc_random_secret() - Get random bytes of the kernel, for secrets
 * @bytes: receives the bytes
 * @size: number of bytes, at most 256
 *
 * Return: MC_OK; MC_ERR_IO with a last message.
 */
mc_err_t mc_random_secret(void *bytes, size_t size);

#endif
