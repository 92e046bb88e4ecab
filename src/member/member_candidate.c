/*
 * Candidates: addresses from the settings or the platform's list that have not
 * answered yet. Each is probed with jittered exponential backoff and becomes a
 * member only when it answers.
 */
#include "member_defs.h"

#include <stdio.h>
#include <string.h>

enum {
	/* The backoff of a candidate doubles until it reaches this time, ms. */
	BACKOFF_MAX_MS = 60 * 1000,
};

static mc_member_candidate_t *find_candidate(mc_membership_t *ms,
					     const char *address)
{
	uint32_t i;

	for (i = 0; i < MC_MEMBER_CANDIDATES_MAX; i++)
		if (!strcmp(ms->candidates[i].address, address))
			return &ms->candidates[i];
	return NULL;
}

/* Returns a free slot, or that of the candidate that has failed the longest. */
static mc_member_candidate_t *take_slot(mc_membership_t *ms)
{
	mc_member_candidate_t *longest_failing = &ms->candidates[0];
	uint32_t i;

	for (i = 0; i < MC_MEMBER_CANDIDATES_MAX; i++) {
		if (!ms->candidates[i].address[0])
			return &ms->candidates[i];
		if (ms->candidates[i].backoff > longest_failing->backoff)
			longest_failing = &ms->candidates[i];
	}
	return longest_failing;
}

void mc_membership_add_candidate(mc_membership_t *membership,
				 const char *address, mc_ms_t now)
{
	mc_member_candidate_t *candidate;
	size_t size = strlen(address);

	if (!size || size >= MC_MEMBER_ADDRESS_SIZE ||
	    mc_member_find(membership, mc_hash_string(address), NULL) ||
	    find_candidate(membership, address))
		return;
	candidate = take_slot(membership);
	membership->candidate_count += !candidate->address[0];
	memcpy(candidate->address, address, size + 1);
	candidate->next_try = now - membership->paused_time;
	candidate->backoff = membership->params.probe_interval;
}

static void free_slot(mc_membership_t *ms, mc_member_candidate_t *candidate)
{
	candidate->address[0] = '\0';
	ms->candidate_count--;
}

void mc_member_candidate_remove(mc_membership_t *ms, const char *address)
{
	mc_member_candidate_t *candidate = find_candidate(ms, address);

	if (candidate)
		free_slot(ms, candidate);
}

static void probe_candidate(mc_membership_t *ms,
			    mc_member_candidate_t *candidate,
			    mc_ms_t active_now)
{
	mc_member_probe_t probe = {
		.kind = MC_MEMBER_PROBE_CANDIDATE,
		.deadline = active_now + ms->params.probe_interval,
	};
	mc_member_message_t message;
	uint64_t sequence;

	candidate->next_try =
		active_now + candidate->backoff / 2 +
		mc_random_below(&ms->random, (uint32_t)candidate->backoff);
	if (candidate->backoff < BACKOFF_MAX_MS)
		candidate->backoff *= 2;
	memcpy(probe.reply_address, candidate->address,
	       sizeof(candidate->address));
	sequence = mc_member_probe_add(ms, &probe);
	if (!sequence)
		return;
	mc_member_message_start(ms, &message, MC_MEMBER_PING, sequence, 0);
	ms->params.send(ms->params.ctx, candidate->address, &message);
}

void mc_member_candidate_tick(mc_membership_t *ms, mc_ms_t now)
{
	mc_ms_t active_now = now - ms->paused_time;
	mc_member_candidate_t *candidate;
	uint32_t i;

	for (i = 0; i < MC_MEMBER_CANDIDATES_MAX && ms->candidate_count; i++) {
		candidate = &ms->candidates[i];
		if (!candidate->address[0] || candidate->next_try > active_now)
			continue;
		if (mc_member_find(ms, mc_hash_string(candidate->address),
				   NULL))
			free_slot(ms, candidate);
		else
			probe_candidate(ms, candidate, active_now);
	}
}

mc_ms_t mc_member_candidate_due(const mc_membership_t *ms)
{
	mc_ms_t due = MC_MS_NEVER;
	uint32_t i;

	for (i = 0; i < MC_MEMBER_CANDIDATES_MAX && ms->candidate_count; i++)
		if (ms->candidates[i].address[0] &&
		    ms->candidates[i].next_try < due)
			due = ms->candidates[i].next_try;
	return due;
}
