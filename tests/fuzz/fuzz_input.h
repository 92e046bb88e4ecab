/*
 * Input of a fuzz program, from which it derives its choices. After the end of
 * the input come random bytes that are seeded with it, so that short inputs can
 * make any sequence of choices.
 */
#ifndef MC_FUZZ_INPUT_H
#define MC_FUZZ_INPUT_H

#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>

#include "mc/base.h"

/**
 * struct fuzz_input_t - input of one test case
 * @data: bytes not consumed yet
 * @size: number of bytes left
 * @random: generator of the bytes after the end
 */
typedef struct fuzz_input_t {
	const uint8_t *data;
	size_t size;
	mc_random_t random;
} fuzz_input_t;

/** FUZZ_CHECK - print the violated invariant and abort unless @condition */
#define FUZZ_CHECK(condition, invariant)                                  \
	do {                                                              \
		if (!(condition)) {                                       \
			fprintf(stderr, "check failed: %s\n", invariant); \
			abort();                                          \
		}                                                         \
	} while (0)

/** fuzz_input_init() - Start reading choices from the input of a test case. */
static inline fuzz_input_t fuzz_input_init(const uint8_t *data, size_t size)
{
	fuzz_input_t input = { .data = data, .size = size };

	mc_random_seed(&input.random, mc_hash_bytes(data, size));
	return input;
}

/** fuzz_u8() - Read one byte. */
static inline uint8_t fuzz_u8(fuzz_input_t *input)
{
	if (!input->size)
		return (uint8_t)mc_random_below(&input->random, 256);
	input->size--;
	return *input->data++;
}

/** fuzz_below() - Read a number in [0, @bound), at most 255. */
static inline uint32_t fuzz_below(fuzz_input_t *input, uint32_t bound)
{
	return fuzz_u8(input) % bound;
}

#endif
