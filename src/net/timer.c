/*
 * Timers: a heap ordered by time, whose entries refer to records by handle. The
 * entry of a canceled timer stays in the heap until its time, when its handle
 * is found to be stale.
 */
#include "net_private.h"

#include <stdlib.h>

enum {
	HEAP_CAPACITY_MIN = 256,
};

typedef struct {
	mc_timer_fn_t fire;
	void *arg;
} timer_record_t;

mc_err_t timers_init(timers_t *timers)
{
	timers->table = mc_table_create(sizeof(timer_record_t), NET_TIMERS_MAX);
	return timers->table ? MC_OK : MC_ERR_NO_MEMORY;
}

void timers_destroy(timers_t *timers)
{
	mc_table_destroy(timers->table);
	free(timers->heap);
}

mc_ms_t timers_next(const timers_t *timers)
{
	return timers->count ? timers->heap[0].at : MC_MS_NEVER;
}

static void swap_entries(heap_entry_t *a, heap_entry_t *b)
{
	heap_entry_t old = *a;

	*a = *b;
	*b = old;
}

static mc_err_t heap_push(timers_t *timers, heap_entry_t entry)
{
	uint32_t i = timers->count;

	if (i == timers->capacity) {
		uint32_t capacity = i ? i * 2 : HEAP_CAPACITY_MIN;
		heap_entry_t *heap =
			realloc(timers->heap, capacity * sizeof(*heap));

		if (!heap)
			return mc_fail(MC_ERR_NO_MEMORY,
				       "no memory for timers");
		timers->heap = heap;
		timers->capacity = capacity;
	}
	timers->heap[i] = entry;
	timers->count++;
	while (i && timers->heap[i].at < timers->heap[(i - 1) / 2].at) {
		swap_entries(&timers->heap[i], &timers->heap[(i - 1) / 2]);
		i = (i - 1) / 2;
	}
	return MC_OK;
}

static heap_entry_t heap_pop(timers_t *timers)
{
	heap_entry_t *heap = timers->heap;
	heap_entry_t top = heap[0];
	uint32_t i = 0;

	heap[0] = heap[--timers->count];
	for (;;) {
		uint32_t least = i;
		uint32_t child;

		for (child = 2 * i + 1; child <= 2 * i + 2; child++)
			if (child < timers->count &&
			    heap[child].at < heap[least].at)
				least = child;
		if (least == i)
			return top;
		swap_entries(&heap[i], &heap[least]);
		i = least;
	}
}

mc_err_t mc_timer_set(mc_shard_t *shard, mc_ms_t at, mc_timer_fn_t fire,
		      void *arg, mc_handle_t *timer)
{
	timers_t *timers = &shard->timers;
	void *record;
	mc_err_t err = mc_table_add(timers->table, timer, &record);

	if (err)
		return err;
	*(timer_record_t *)record = (timer_record_t){
		.fire = fire,
		.arg = arg,
	};
	err = heap_push(timers, (heap_entry_t){ .at = at, .timer = *timer });
	if (err)
		mc_table_remove(timers->table, *timer);
	return err;
}

void mc_timer_cancel(mc_shard_t *shard, mc_handle_t timer)
{
	if (mc_table_get(shard->timers.table, timer))
		mc_table_remove(shard->timers.table, timer);
}

void timers_run(mc_shard_t *shard)
{
	timers_t *timers = &shard->timers;

	while (timers_next(timers) <= shard->now) {
		heap_entry_t entry = heap_pop(timers);
		timer_record_t *found =
			mc_table_get(timers->table, entry.timer);
		timer_record_t record;

		if (!found)
			continue;
		record = *found;
		mc_table_remove(timers->table, entry.timer);
		record.fire(shard, record.arg);
	}
}
