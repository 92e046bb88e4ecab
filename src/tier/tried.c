/*
 * A part whose targets are at their limit may still be repeated: at the same
 * target, whose response may have been lost, or at another one, if the target
 * has ended.
 */
#include "tried.h"

static tried_target_t *find(part_t *part, mc_handle_t target)
{
	uint32_t i;

	for (i = 0; i < part->tried_count; i++)
		if (mc_handle_equal(part->tried[i].target, target))
			return &part->tried[i];
	return NULL;
}

void tried_add(part_t *part, const target_t *target)
{
	tried_target_t *tried = find(part, target->handle);

	if (!tried && part->tried_count < TIER_TRIED_MAX) {
		tried = &part->tried[part->tried_count++];
		*tried = (tried_target_t){ .target = target->handle };
	}
	if (tried) {
		tried->runs++;
		tried->has_rejected = false;
		tried->sent_at = mc_shard_now(part->request->tier->shard);
	}
	tried_update(part);
}

void tried_did_not_run(part_t *part, mc_handle_t target)
{
	tried_target_t *tried = find(part, target);

	if (tried && tried->runs)
		tried->runs--;
	tried_update(part);
}

void tried_was_rejected(part_t *part, mc_handle_t target)
{
	tried_target_t *tried = find(part, target);

	if (tried)
		tried->has_rejected = true;
	tried_did_not_run(part, target);
}

bool tried_has_rejected(const part_t *part, mc_handle_t target)
{
	uint32_t i;

	for (i = 0; i < part->tried_count; i++)
		if (mc_handle_equal(part->tried[i].target, target))
			return part->tried[i].has_rejected;
	return false;
}

bool tried_rejected_by_any(const part_t *part)
{
	uint32_t i;

	for (i = 0; i < part->tried_count; i++)
		if (part->tried[i].has_rejected)
			return true;
	return false;
}

bool tried_contains(const part_t *part, mc_handle_t target)
{
	uint32_t i;

	for (i = 0; i < part->tried_count; i++)
		if (mc_handle_equal(part->tried[i].target, target))
			return true;
	return false;
}

static bool has_ended(const tier_t *tier, const tried_target_t *tried)
{
	const target_t *target = mc_table_get(tier->targets, tried->target);

	return target &&
	       (target->replaced || target->refused_at >= tried->sent_at);
}

/* Whether the target counts against the limit. */
static bool counts(const tier_t *tier, const tried_target_t *tried)
{
	return tried->runs && !has_ended(tier, tried);
}

void tried_update(part_t *part)
{
	uint32_t i;

	part->attempts.runs = 0;
	for (i = 0; i < part->tried_count; i++)
		part->attempts.runs +=
			counts(part->request->tier, &part->tried[i]);
}

bool tried_bars(const part_t *part, const target_t *target)
{
	uint32_t i;

	if (part->attempts.runs < part->attempts.runs_max)
		return false;
	for (i = 0; i < part->tried_count; i++)
		if (mc_handle_equal(part->tried[i].target, target->handle))
			return !counts(part->request->tier, &part->tried[i]);
	return true;
}
