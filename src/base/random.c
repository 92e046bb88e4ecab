/*
 * Implements the generator with libc's 48-bit functions, and secrets with the
 * kernel's generator.
 */
#include "mc/base/random.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>

enum {
	WORD_BITS = 16,
};

void mc_random_seed(mc_random_t *random, uint64_t seed)
{
	random->state[0] = (unsigned short)seed;
	random->state[1] = (unsigned short)(seed >> WORD_BITS);
	random->state[2] = (unsigned short)(seed >> (2 * WORD_BITS));
}

uint32_t mc_random_u32(mc_random_t *random)
{
	return (uint32_t)nrand48(random->state);
}

uint32_t mc_random_below(mc_random_t *random, uint32_t bound)
{
	return bound ? (uint32_t)(erand48(random->state) * bound) : 0;
}

double mc_random_unit(mc_random_t *random)
{
	return erand48(random->state);
}

mc_err_t mc_random_secret(void *bytes, size_t size)
{
	ssize_t received;

	do
		received = getrandom(bytes, size, 0);
	while (received < 0 && errno == EINTR);
	if (received == (ssize_t)size)
		return MC_OK;
	return mc_fail(MC_ERR_IO, "no random bytes from the kernel: %s",
		       received < 0 ? strerror(errno) : "too few");
}
