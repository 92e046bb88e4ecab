/*
 * Choices of a fuzz program, taken from the bytes of its case and, after their
 * end, from random numbers that the bytes seed, so that short cases reach deep.
 */
#ifndef MC_FUZZ_INPUT_H
#define MC_FUZZ_INPUT_H

#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>

#include "mc/base.h"

/**
 * struct fuzz_input_t - choices of a case
 * @data: bytes that are left
 * @size: their number
 * @random: what follows them
 */
typedef struct fuzz_input_t {
	const uint8_t *data;
	size_t size;
	mc_random_t random;
} fuzz_input_t;

/** FUZZ_CHECK - stop with the promise that was broken */
#define FUZZ_CHECK(condition, promise)                            \
	do {                                                      \
		if (!(condition)) {                               \
			fprintf(stderr, "broken: %s\n", promise); \
			abort();                                  \
		}                                                 \
	} while (0)

static inline fuzz_input_t fuzz_input_init(const uint8_t *data, size_t size)
{
	fuzz_input_t input = { .data = data, .size = size };

	mc_random_seed(&input.random, mc_hash_bytes(data, size));
	return input;
}

static inline uint8_t fuzz_u8(fuzz_input_t *input)
{
	if (!input->size)
		return (uint8_t)mc_random_below(&input->random, 256);
	input->size--;
	return *input->data++;
}

static inline uint32_t fuzz_below(fuzz_input_t *input, uint32_t bound)
{
	return fuzz_u8(input) % bound;
}

#endif
