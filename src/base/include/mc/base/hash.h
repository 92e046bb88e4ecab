/*
 * Hashes of names and addresses, also used as weights of rendezvous hashing.
 * There is no per-process seed: values are the same on all instances.
 */
#ifndef MC_BASE_HASH_H
#define MC_BASE_HASH_H

#include <stddef.h>
#include <stdint.h>

/** mc_hash_bytes() - Compute the 64-bit hash of @size bytes at @data. */
uint64_t mc_hash_bytes(const void *data, size_t size);

/** mc_hash_string() - Compute the 64-bit hash of a NUL-terminated string. */
uint64_t mc_hash_string(const char *text);

/** mc_hash_pair() - Compute the hash of two 64-bit values in this order. */
uint64_t mc_hash_pair(uint64_t a, uint64_t b);

#endif
