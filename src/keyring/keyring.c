/*
 * A hash table of digests with linear probing. Digests are SipHash-2-4 of 128
 * bits; as they are keyed with a secret, nobody outside can choose keys that
 * fall into the same slots, or learn from the time of a look-up how much of a
 * digest was equal.
 */
#include "mc/keyring.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

enum {
	DIGEST_SIZE = crypto_shorthash_siphashx24_BYTES,
	CAPACITY_INITIAL = 64,
	/* Part of the slots that may be in use: 3 of 4. */
	LOAD_NUMERATOR = 3,
	LOAD_DENOMINATOR = 4,
};

_Static_assert((int)MC_KEYRING_SECRET_SIZE ==
		       (int)crypto_shorthash_siphashx24_KEYBYTES,
	       "size of the secret");

/* Owner of a slot that is not in use. */
#define OWNER_UNUSED (MC_KEYRING_NOBODY - 1)

typedef struct {
	unsigned char digest[DIGEST_SIZE];
	uint32_t owner;
} slot_t;

struct mc_keyring_t {
	mc_keyring_secret_t secret;
	uint32_t count;
	/* Number of @slots, a power of two. */
	uint32_t capacity;
	slot_t *slots;
};

static slot_t *allocate_slots(uint32_t capacity)
{
	slot_t *slots = calloc(capacity, sizeof(*slots));
	uint32_t i;

	for (i = 0; slots && i < capacity; i++)
		slots[i].owner = OWNER_UNUSED;
	return slots;
}

mc_keyring_t *mc_keyring_create(const mc_keyring_secret_t *secret)
{
	mc_keyring_t *ring = calloc(1, sizeof(*ring));

	if (!ring)
		return NULL;
	ring->secret = *secret;
	ring->capacity = CAPACITY_INITIAL;
	ring->slots = allocate_slots(ring->capacity);
	if (ring->slots)
		return ring;
	free(ring);
	return NULL;
}

void mc_keyring_destroy(mc_keyring_t *ring)
{
	if (!ring)
		return;
	sodium_memzero(&ring->secret, sizeof(ring->secret));
	free(ring->slots);
	free(ring);
}

static void calculate_digest(const mc_keyring_t *ring, const char *key,
			     size_t size, unsigned char *digest)
{
	crypto_shorthash_siphashx24(digest, (const unsigned char *)key, size,
				    ring->secret.bytes);
}

/* Finds the slot with the digest, or the one where it is to be added. */
static slot_t *find_slot(const slot_t *slots, uint32_t capacity,
			 const unsigned char *digest)
{
	uint64_t at;

	memcpy(&at, digest, sizeof(at));
	for (;; at++) {
		const slot_t *slot = &slots[at & (capacity - 1)];

		if (slot->owner == OWNER_UNUSED ||
		    !sodium_memcmp(slot->digest, digest, DIGEST_SIZE))
			return (slot_t *)slot;
	}
}

static mc_err_t grow(mc_keyring_t *ring)
{
	uint32_t capacity = ring->capacity * 2, i;
	slot_t *slots;

	if (ring->count >= MC_KEYRING_KEYS_MAX)
		return mc_fail(MC_ERR_FULL,
			       "too many keys: expected at most %d",
			       MC_KEYRING_KEYS_MAX);
	if (ring->count + 1 <=
	    ring->capacity / LOAD_DENOMINATOR * LOAD_NUMERATOR)
		return MC_OK;
	slots = allocate_slots(capacity);
	if (!slots)
		return mc_fail(MC_ERR_NO_MEMORY, "out of memory for keys");
	for (i = 0; i < ring->capacity; i++)
		if (ring->slots[i].owner != OWNER_UNUSED)
			*find_slot(slots, capacity, ring->slots[i].digest) =
				ring->slots[i];
	free(ring->slots);
	ring->slots = slots;
	ring->capacity = capacity;
	return MC_OK;
}

mc_err_t mc_keyring_add(mc_keyring_t *ring, const char *key, size_t size,
			uint32_t owner)
{
	unsigned char digest[DIGEST_SIZE];
	mc_err_t err = grow(ring);
	slot_t *slot;

	if (err)
		return err;
	calculate_digest(ring, key, size, digest);
	slot = find_slot(ring->slots, ring->capacity, digest);
	if (slot->owner == OWNER_UNUSED) {
		memcpy(slot->digest, digest, DIGEST_SIZE);
		slot->owner = owner;
		ring->count++;
		return MC_OK;
	}
	if (slot->owner == owner)
		return MC_OK;
	slot->owner = MC_KEYRING_NOBODY;
	return mc_fail(MC_ERR_CONFLICT, "a key has several owners");
}

uint32_t mc_keyring_find(const mc_keyring_t *ring, const char *key, size_t size)
{
	unsigned char digest[DIGEST_SIZE];
	const slot_t *slot;

	calculate_digest(ring, key, size, digest);
	slot = find_slot(ring->slots, ring->capacity, digest);
	return slot->owner == OWNER_UNUSED ? MC_KEYRING_NOBODY : slot->owner;
}

uint32_t mc_keyring_count(const mc_keyring_t *ring)
{
	return ring->count;
}
