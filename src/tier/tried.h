/*
 * The targets that a part has been sent to, and how many of them may have run
 * it. That number is limited, but not how often one of them runs it.
 */
#ifndef MC_TIER_TRIED_H
#define MC_TIER_TRIED_H

#include "tier_private.h"

/** tried_add() - Record that @part is sent to @target */
void tried_add(part_t *part, const target_t *target);

/** tried_did_not_run() - Record that one attempt at @target has not run */
void tried_did_not_run(part_t *part, mc_handle_t target);

/** tried_was_rejected() - Record that @target rejected one attempt, which has
 * not run */
void tried_was_rejected(part_t *part, mc_handle_t target);

/** tried_has_rejected() - Tell whether @target rejected the last attempt there
 */
bool tried_has_rejected(const part_t *part, mc_handle_t target);

/** tried_rejected_by_any() - Tell whether some target rejected the last
 * attempt there */
bool tried_rejected_by_any(const part_t *part);

/** tried_contains() - Tell whether the part has been sent to @target */
bool tried_contains(const part_t *part, mc_handle_t target);

/**
 * tried_update() - Count the targets that may have run @part
 *
 * A target whose process has ended since, as it refuses connections or another
 * has taken over its address, does not count.
 */
void tried_update(part_t *part);

/** tried_bars() - Tell whether @target would be one target too many */
bool tried_bars(const part_t *part, const target_t *target);

#endif
