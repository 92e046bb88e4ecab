/*
 * Index from a member's key to its handle: open addressing with linear
 * probing. It is at most half full. Removal moves later entries back, so that
 * no tombstones are needed.
 */
#include "member_defs.h"

static uint32_t slot_of(uint64_t key)
{
	return (uint32_t)key & (MC_MEMBER_INDEX_SLOTS - 1);
}

static uint32_t slot_after(uint32_t slot)
{
	return (slot + 1) & (MC_MEMBER_INDEX_SLOTS - 1);
}

static uint64_t key_at(const mc_membership_t *ms, uint32_t slot)
{
	const mc_member_record_t *record = mc_member_get(ms, ms->slots[slot]);

	return record ? record->member.key : 0;
}

static bool is_free(const mc_membership_t *ms, uint32_t slot)
{
	return !ms->slots[slot].generation;
}

void mc_member_index_add(mc_membership_t *ms, uint64_t key, mc_handle_t handle)
{
	uint32_t slot = slot_of(key);

	while (!is_free(ms, slot))
		slot = slot_after(slot);
	ms->slots[slot] = handle;
}

static uint32_t find_slot(const mc_membership_t *ms, uint64_t key)
{
	uint32_t slot = slot_of(key);

	while (!is_free(ms, slot) && key_at(ms, slot) != key)
		slot = slot_after(slot);
	return slot;
}

/* Returns whether the entry at @slot is still found after a move to @hole. */
static bool can_move(const mc_membership_t *ms, uint32_t slot, uint32_t hole)
{
	uint32_t home = slot_of(key_at(ms, slot));
	uint32_t mask = MC_MEMBER_INDEX_SLOTS - 1;

	return ((slot - home) & mask) >= ((slot - hole) & mask);
}

void mc_member_index_remove(mc_membership_t *ms, uint64_t key)
{
	uint32_t hole = find_slot(ms, key);
	uint32_t slot;

	if (is_free(ms, hole))
		return;
	for (slot = slot_after(hole); !is_free(ms, slot);
	     slot = slot_after(slot)) {
		if (!can_move(ms, slot, hole))
			continue;
		ms->slots[hole] = ms->slots[slot];
		hole = slot;
	}
	ms->slots[hole] = MC_HANDLE_NONE;
}

mc_member_record_t *mc_member_find(const mc_membership_t *ms, uint64_t key,
				   mc_handle_t *handle)
{
	uint32_t slot = find_slot(ms, key);

	if (is_free(ms, slot))
		return NULL;
	if (handle)
		*handle = ms->slots[slot];
	return mc_member_get(ms, ms->slots[slot]);
}
