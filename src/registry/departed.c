/*
 * A ring of the targets that have left last, the oldest of which is
 * overwritten.
 */
#include "departed.h"

#include <stdlib.h>
#include <string.h>

enum {
	DEPARTED_MAX = 1024,
};

typedef struct {
	/* Its id is "" if nothing is noted. */
	mc_target_entry_t entry;
	uint64_t revision;
	bool is_former;
} item_t;

struct departed_t {
	uint32_t next;
	item_t items[DEPARTED_MAX];
};

departed_t *departed_create(void)
{
	return calloc(1, sizeof(departed_t));
}

void departed_destroy(departed_t *departed)
{
	free(departed);
}

void departed_add(departed_t *departed, const mc_target_entry_t *entry,
		  uint64_t revision, bool is_former)
{
	departed->items[departed->next] = (item_t){
		.entry = *entry,
		.revision = revision,
		.is_former = is_former,
	};
	departed->next = (departed->next + 1) % DEPARTED_MAX;
}

void departed_begin_era(departed_t *departed)
{
	uint32_t i;

	for (i = 0; i < DEPARTED_MAX; i++)
		departed->items[i].is_former = true;
}

bool departed_is_forgotten(const mc_target_entry_t *last,
			   uint64_t last_revision,
			   const mc_target_entry_t *entry, uint64_t revision)
{
	if (entry->started_at != last->started_at)
		return false;
	return last->draining || revision <= last_revision;
}

bool departed_has(departed_t *departed, const mc_target_entry_t *entry,
		  uint64_t revision)
{
	uint32_t i;

	for (i = 0; i < DEPARTED_MAX; i++) {
		item_t *item = &departed->items[i];

		if (!item->is_former || strcmp(item->entry.id, entry->id) != 0)
			continue;
		if (departed_is_forgotten(&item->entry, item->revision, entry,
					  revision))
			return true;
		item->entry.id[0] = '\0';
	}
	return false;
}
