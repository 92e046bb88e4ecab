/*
 * The targets that have left last. A store that comes back older has their
 * entries again, although the targets are gone.
 */
#ifndef DEPARTED_H
#define DEPARTED_H

#include "mc/registry.h"

typedef struct departed_t departed_t;

/** departed_create() - Create an empty set; NULL without memory */
departed_t *departed_create(void);

/** departed_destroy() - Free a set; NULL is allowed */
void departed_destroy(departed_t *departed);

/**
 * departed_add() - Note a target that has left
 * @departed: the set
 * @entry: its last entry
 * @revision: revision of the store at which that was written
 * @is_former: it has left before the store came back older
 */
void departed_add(departed_t *departed, const mc_target_entry_t *entry,
		  uint64_t revision, bool is_former);

/** departed_begin_era() - The store has come back older: all that have left so
 * far have left before */
void departed_begin_era(departed_t *departed);

/**
 * departed_is_forgotten() - Whether an entry is from before the same target
 * left, which the store has forgotten
 * @last: last entry of the target
 * @last_revision: revision in the former era at which that was written
 * @entry: entry that the store has now
 * @revision: revision at which that was written
 *
 * A store that comes back has entries with the revisions that they had; what is
 * written since has later ones than the copy. A target that drains never goes
 * back.
 */
bool departed_is_forgotten(const mc_target_entry_t *last,
			   uint64_t last_revision,
			   const mc_target_entry_t *entry, uint64_t revision);

/** departed_has() - Whether an entry is that of a target that has left before
 * the store came back; a target that is registered again is not any more */
bool departed_has(departed_t *departed, const mc_target_entry_t *entry,
		  uint64_t revision);

#endif
