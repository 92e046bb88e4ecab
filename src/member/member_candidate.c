/*
 * Hints: addresses from the settings or the platform's list that have not
 * answered yet. Each is probed with a growing, jittered interval; an address
 * becomes a member only when it answers.
 */
#include "member_defs.h"

#include <stdio.h>
#include <string.h>

enum {
	/* Longest time between two probes of a hint, ms. */
	BACKOFF_MAX_MS = 60 * 1000,
};

static mc_member_hint_t *find_hint(mc_membership_t *ms, const char *address)
{
	uint32_t i;

	for (i = 0; i < MC_MEMBER_HINTS_MAX; i++)
		if (!strcmp(ms->hints[i].address, address))
			return &ms->hints[i];
	return NULL;
}

/* A free slot, else that of the hint that has failed longest. */
static mc_member_hint_t *take_slot(mc_membership_t *ms)
{
	mc_member_hint_t *worst = &ms->hints[0];
	uint32_t i;

	for (i = 0; i < MC_MEMBER_HINTS_MAX; i++) {
		if (!ms->hints[i].address[0])
			return &ms->hints[i];
		if (ms->hints[i].backoff > worst->backoff)
			worst = &ms->hints[i];
	}
	return worst;
}

void mc_membership_add_candidate(mc_membership_t *membership,
				 const char *address, mc_ms_t now)
{
	mc_member_hint_t *hint;
	size_t size = strlen(address);

	if (!size || size >= MC_MEMBER_ADDRESS_SIZE ||
	    mc_member_find(membership, mc_hash_string(address), NULL) ||
	    find_hint(membership, address))
		return;
	hint = take_slot(membership);
	membership->hint_count += !hint->address[0];
	memcpy(hint->address, address, size + 1);
	hint->next_try = now - membership->skipped;
	hint->backoff = membership->params.probe_interval;
}

static void free_slot(mc_membership_t *ms, mc_member_hint_t *hint)
{
	hint->address[0] = '\0';
	ms->hint_count--;
}

void mc_member_hint_remove(mc_membership_t *ms, const char *address)
{
	mc_member_hint_t *hint = find_hint(ms, address);

	if (hint)
		free_slot(ms, hint);
}

static void probe_hint(mc_membership_t *ms, mc_member_hint_t *hint, mc_ms_t own)
{
	mc_member_probe_t probe = {
		.kind = MC_MEMBER_PROBE_HINT,
		.deadline = own + ms->params.probe_interval,
	};
	mc_member_message_t message;
	uint64_t sequence;

	hint->next_try = own + hint->backoff / 2 +
			 mc_random_below(&ms->random, (uint32_t)hint->backoff);
	if (hint->backoff < BACKOFF_MAX_MS)
		hint->backoff *= 2;
	memcpy(probe.reply_address, hint->address, sizeof(hint->address));
	sequence = mc_member_probe_add(ms, &probe);
	if (!sequence)
		return;
	mc_member_message_start(ms, &message, MC_MEMBER_PING, sequence, 0);
	ms->params.send(ms->params.ctx, hint->address, &message);
}

void mc_member_hint_tick(mc_membership_t *ms, mc_ms_t now)
{
	mc_ms_t own = now - ms->skipped;
	mc_member_hint_t *hint;
	uint32_t i;

	for (i = 0; i < MC_MEMBER_HINTS_MAX && ms->hint_count; i++) {
		hint = &ms->hints[i];
		if (!hint->address[0] || hint->next_try > own)
			continue;
		if (mc_member_find(ms, mc_hash_string(hint->address), NULL))
			free_slot(ms, hint);
		else
			probe_hint(ms, hint, own);
	}
}

mc_ms_t mc_member_hint_due(const mc_membership_t *ms)
{
	mc_ms_t due = MC_MS_NEVER;
	uint32_t i;

	for (i = 0; i < MC_MEMBER_HINTS_MAX && ms->hint_count; i++)
		if (ms->hints[i].address[0] && ms->hints[i].next_try < due)
			due = ms->hints[i].next_try;
	return due;
}
