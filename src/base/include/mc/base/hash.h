/*
 * Hashes of names and addresses, and rendezvous weights. Values are the same
 * on every instance and never depend on a process's start.
 */
#ifndef MC_BASE_HASH_H
#define MC_BASE_HASH_H

#include <stddef.h>
#include <stdint.h>

/** mc_hash_bytes() - 64-bit hash of @size bytes at @data */
uint64_t mc_hash_bytes(const void *data, size_t size);

/** mc_hash_string() - 64-bit hash of a zero-terminated string */
uint64_t mc_hash_string(const char *text);

/** mc_hash_pair() - hash of two 64-bit values; the order matters */
uint64_t mc_hash_pair(uint64_t a, uint64_t b);

#endif
