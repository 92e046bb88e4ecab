/*
 * Public header of the keyring library: finds the owner of a secret key among
 * many. Keys are kept and compared as digests only, which are keyed with a
 * secret, so that neither the memory of a keyring nor the time of a look-up
 * tells anything of a key. The cost of a look-up does not grow with the number
 * of keys. Pure.
 */
#ifndef MC_KEYRING_H
#define MC_KEYRING_H

#include <stddef.h>
#include <stdint.h>

#include "mc/base.h"

enum {
	MC_KEYRING_SECRET_SIZE = 16,
	/* Most keys of a keyring. */
	MC_KEYRING_KEYS_MAX = 1 << 20,
};

/** MC_KEYRING_NOBODY - Owner of a key that is unknown or has several owners */
#define MC_KEYRING_NOBODY UINT32_MAX

/** struct mc_keyring_secret_t - Random bytes that nobody outside can know */
typedef struct mc_keyring_secret_t {
	unsigned char bytes[MC_KEYRING_SECRET_SIZE];
} mc_keyring_secret_t;

typedef struct mc_keyring_t mc_keyring_t;

/**
 * mc_keyring_create() - Create an empty keyring
 * @secret: keys the digests; copied
 *
 * Return: the keyring, owned by the caller; NULL without memory.
 */
mc_keyring_t *mc_keyring_create(const mc_keyring_secret_t *secret);

/** mc_keyring_destroy() - Free @ring; NULL is allowed */
void mc_keyring_destroy(mc_keyring_t *ring);

/**
 * mc_keyring_add() - Add the digest of a key
 * @ring: the keyring
 * @key: the key; not kept
 * @size: bytes of @key
 * @owner: number of its owner, below MC_KEYRING_NOBODY - 1
 *
 * Adding a key to its owner again has no effect.
 *
 * Return: MC_OK; MC_ERR_CONFLICT when another owner has the key, which belongs
 * to nobody from now on; MC_ERR_FULL; MC_ERR_NO_MEMORY.
 */
mc_err_t mc_keyring_add(mc_keyring_t *ring, const char *key, size_t size,
			uint32_t owner);

/**
 * mc_keyring_find() - Find the owner of a key; any thread, while none adds
 *
 * Return: the owner; MC_KEYRING_NOBODY if there is none or more than one.
 */
uint32_t mc_keyring_find(const mc_keyring_t *ring, const char *key,
			 size_t size);

/** mc_keyring_count() - Count the keys, with those that belong to nobody */
uint32_t mc_keyring_count(const mc_keyring_t *ring);

#endif
