/*
 * Implements the hash functions with xxHash (XXH64).
 */
#include "mc/base/hash.h"

#include <string.h>
#include <xxhash.h>

uint64_t mc_hash_bytes(const void *data, size_t size)
{
	return XXH64(data, size, 0);
}

uint64_t mc_hash_string(const char *text)
{
	return mc_hash_bytes(text, strlen(text));
}

uint64_t mc_hash_pair(uint64_t a, uint64_t b)
{
	uint64_t pair[] = { a, b };

	return mc_hash_bytes(pair, sizeof(pair));
}
