/*
 * Counts of customers by window. Customers are rows of a table with a hash
 * index; a window has one count for each row. A customer without a count in any
 * window is forgotten when a window is.
 */
#include "mc/usage.h"

#include <stdlib.h>
#include <string.h>

enum {
	INDEX_MIN = 64,
	/* Rows are given back when there are more than so many for each
	 * customer. */
	SHRINK_DIVISOR = 4,
};

typedef struct {
	int64_t index;
	/* Number of @counts; further customers have none here. */
	uint32_t capacity;
	uint64_t *counts;
} window_t;

struct mc_usage_counts_t {
	uint32_t customer_count;
	uint32_t customer_capacity;
	/* Names; owned. */
	char **customers;
	/* Rows plus 1 by hash of the name; its size is a power of 2. */
	uint32_t index_size;
	uint32_t *index;
	uint32_t window_count;
	/* In rising order. */
	window_t windows[MC_USAGE_WINDOWS_MAX];
};

int64_t mc_usage_window_at(mc_ms_t time, mc_ms_t length)
{
	return time >= 0 ? time / length : -((-time + length - 1) / length);
}

mc_usage_counts_t *mc_usage_counts_create(void)
{
	return calloc(1, sizeof(mc_usage_counts_t));
}

void mc_usage_counts_destroy(mc_usage_counts_t *counts)
{
	uint32_t i;

	if (!counts)
		return;
	for (i = 0; i < counts->window_count; i++)
		free(counts->windows[i].counts);
	for (i = 0; i < counts->customer_count; i++)
		free(counts->customers[i]);
	free(counts->customers);
	free(counts->index);
	free(counts);
}

/* Returns the place of a name in the index, or of the free entry for it. */
static uint32_t find_place(const mc_usage_counts_t *counts, const char *name)
{
	uint32_t mask = counts->index_size - 1;
	uint32_t place = (uint32_t)mc_hash_string(name) & mask;

	while (counts->index[place] &&
	       strcmp(counts->customers[counts->index[place] - 1], name) != 0)
		place = (place + 1) & mask;
	return place;
}

static mc_err_t grow_index(mc_usage_counts_t *counts)
{
	uint32_t size = counts->index_size ? 2 * counts->index_size : INDEX_MIN;
	uint32_t *grown = calloc(size, sizeof(*grown));
	uint32_t i;

	if (!grown)
		return mc_fail(MC_ERR_NO_MEMORY, "out of memory for customers");
	free(counts->index);
	counts->index = grown;
	counts->index_size = size;
	for (i = 0; i < counts->customer_count; i++)
		grown[find_place(counts, counts->customers[i])] = i + 1;
	return MC_OK;
}

static mc_err_t grow_customers(mc_usage_counts_t *counts)
{
	uint32_t capacity = counts->customer_capacity
				    ? 2 * counts->customer_capacity
				    : INDEX_MIN / 2;
	void *grown = realloc(counts->customers,
			      capacity * sizeof(*counts->customers));

	if (!grown)
		return mc_fail(MC_ERR_NO_MEMORY, "out of memory for customers");
	counts->customers = grown;
	counts->customer_capacity = capacity;
	return MC_OK;
}

static mc_err_t add_customer(mc_usage_counts_t *counts, const char *name,
			     uint32_t *row)
{
	mc_err_t err = MC_OK;
	uint32_t place;
	char *copy;

	if (strlen(name) >= MC_USAGE_NAME_SIZE)
		return mc_fail(MC_ERR_FULL, "name of a customer is too long");
	if (counts->customer_count == MC_USAGE_CUSTOMERS_MAX)
		return mc_fail(MC_ERR_FULL, "too many customers to count");
	if (counts->customer_count == counts->customer_capacity)
		err = grow_customers(counts);
	if (!err && 2 * (counts->customer_count + 1) > counts->index_size)
		err = grow_index(counts);
	if (err)
		return err;
	place = find_place(counts, name);
	if (!counts->index[place]) {
		copy = strdup(name);
		if (!copy)
			return mc_fail(MC_ERR_NO_MEMORY,
				       "out of memory for customers");
		counts->customers[counts->customer_count++] = copy;
		counts->index[place] = counts->customer_count;
	}
	*row = counts->index[place] - 1;
	return MC_OK;
}

static window_t *find_window(const mc_usage_counts_t *counts, int64_t index)
{
	uint32_t i;

	for (i = 0; i < counts->window_count; i++)
		if (counts->windows[i].index == index)
			return (window_t *)&counts->windows[i];
	return NULL;
}

static window_t *add_window(mc_usage_counts_t *counts, int64_t index)
{
	window_t *windows = counts->windows;
	uint32_t place = counts->window_count;

	if (place == MC_USAGE_WINDOWS_MAX)
		return NULL;
	while (place && windows[place - 1].index > index) {
		windows[place] = windows[place - 1];
		place--;
	}
	windows[place] = (window_t){ .index = index };
	counts->window_count++;
	return &windows[place];
}

static mc_err_t grow_window(window_t *window, uint32_t capacity)
{
	uint64_t *grown =
		realloc(window->counts, capacity * sizeof(*window->counts));

	if (!grown)
		return mc_fail(MC_ERR_NO_MEMORY, "out of memory for counts");
	memset(grown + window->capacity, 0,
	       (capacity - window->capacity) * sizeof(*grown));
	window->counts = grown;
	window->capacity = capacity;
	return MC_OK;
}

static void shrink_window(window_t *window, uint32_t capacity)
{
	uint64_t *shrunk;

	if (window->capacity <= capacity)
		return;
	shrunk = realloc(window->counts, capacity * sizeof(*window->counts));
	if (!shrunk)
		return;
	window->counts = shrunk;
	window->capacity = capacity;
}

mc_err_t mc_usage_counts_add(mc_usage_counts_t *counts, int64_t window,
			     const char *customer, uint64_t count)
{
	window_t *found = find_window(counts, window);
	uint32_t row = 0;
	mc_err_t err;

	if (!found)
		found = add_window(counts, window);
	if (!found)
		return mc_fail(MC_ERR_FULL, "too many windows to count");
	if (!count)
		return MC_OK;
	err = add_customer(counts, customer, &row);
	if (!err && row >= found->capacity)
		err = grow_window(found, counts->customer_capacity);
	if (!err && found->counts)
		found->counts[row] += count;
	return err;
}

uint32_t mc_usage_slot(int64_t window, uint32_t slot_count)
{
	int64_t rest = window % slot_count;

	return (uint32_t)(rest < 0 ? rest + slot_count : rest);
}

mc_err_t mc_usage_counts_add_slot(mc_usage_counts_t *counts,
				  const mc_usage_counts_t *from, uint32_t slot,
				  uint32_t slot_count)
{
	mc_err_t err = MC_OK;
	uint32_t i, row;

	for (i = 0; i < from->window_count && !err; i++) {
		const window_t *window = &from->windows[i];

		if (mc_usage_slot(window->index, slot_count) != slot)
			continue;
		for (row = 0; row < window->capacity && !err; row++)
			if (window->counts[row])
				err = mc_usage_counts_add(counts, window->index,
							  from->customers[row],
							  window->counts[row]);
	}
	return err;
}

mc_err_t mc_usage_counts_add_all(mc_usage_counts_t *counts,
				 const mc_usage_counts_t *from)
{
	return mc_usage_counts_add_slot(counts, from, 0, 1);
}

uint64_t mc_usage_counts_get(const mc_usage_counts_t *counts, int64_t window,
			     const char *customer)
{
	const window_t *found = find_window(counts, window);
	uint32_t row;

	if (!found || !counts->index_size)
		return 0;
	row = counts->index[find_place(counts, customer)];
	return row && row - 1 < found->capacity ? found->counts[row - 1] : 0;
}

uint32_t mc_usage_counts_window_count(const mc_usage_counts_t *counts)
{
	return counts->window_count;
}

int64_t mc_usage_counts_window(const mc_usage_counts_t *counts, uint32_t place)
{
	return counts->windows[place].index;
}

uint64_t mc_usage_counts_next(const mc_usage_counts_t *counts, int64_t window,
			      uint32_t *cursor, const char **customer)
{
	const window_t *found = find_window(counts, window);

	while (found && *cursor < found->capacity) {
		uint32_t row = (*cursor)++;

		if (!found->counts[row])
			continue;
		*customer = counts->customers[row];
		return found->counts[row];
	}
	return 0;
}

static bool is_counted(const mc_usage_counts_t *counts, uint32_t row)
{
	uint32_t i;

	for (i = 0; i < counts->window_count; i++)
		if (row < counts->windows[i].capacity &&
		    counts->windows[i].counts[row])
			return true;
	return false;
}

/* Moves a customer to a row before it; the counts at its old row stay. */
static void move_customer(mc_usage_counts_t *counts, uint32_t from, uint32_t to)
{
	uint32_t i;

	counts->customers[to] = counts->customers[from];
	for (i = 0; i < counts->window_count; i++) {
		window_t *window = &counts->windows[i];

		if (to < window->capacity)
			window->counts[to] = from < window->capacity
						     ? window->counts[from]
						     : 0;
	}
}

/* Clears what is beyond the last row, as further customers get these rows. */
static void clear_rows(mc_usage_counts_t *counts)
{
	uint32_t i;

	for (i = 0; i < counts->window_count; i++) {
		window_t *window = &counts->windows[i];

		if (window->capacity > counts->customer_count)
			memset(window->counts + counts->customer_count, 0,
			       (window->capacity - counts->customer_count) *
				       sizeof(*window->counts));
	}
}

static void rebuild_index(mc_usage_counts_t *counts)
{
	uint32_t i;

	memset(counts->index, 0, counts->index_size * sizeof(*counts->index));
	for (i = 0; i < counts->customer_count; i++)
		counts->index[find_place(counts, counts->customers[i])] = i + 1;
}

/* Gives back the memory of rows, if few of them are in use. */
static void shrink_customers(mc_usage_counts_t *counts)
{
	uint32_t capacity = counts->customer_capacity, size, i;
	void *customers, *index;

	while (capacity > INDEX_MIN / 2 &&
	       capacity > SHRINK_DIVISOR * counts->customer_count)
		capacity /= 2;
	if (capacity == counts->customer_capacity)
		return;
	size = 2 * capacity;
	customers = realloc(counts->customers,
			    capacity * sizeof(*counts->customers));
	index = realloc(counts->index, size * sizeof(*counts->index));
	/* Without memory for less, the larger ones stay. */
	if (customers) {
		counts->customers = customers;
		counts->customer_capacity = capacity;
	}
	if (index) {
		counts->index = index;
		counts->index_size = size;
	}
	for (i = 0; i < counts->window_count; i++)
		shrink_window(&counts->windows[i], capacity);
}

/* Forgets the customers that no window counts. */
static void forget_customers(mc_usage_counts_t *counts)
{
	uint32_t kept = 0, row;

	for (row = 0; row < counts->customer_count; row++) {
		if (!is_counted(counts, row)) {
			free(counts->customers[row]);
			continue;
		}
		if (row != kept)
			move_customer(counts, row, kept);
		kept++;
	}
	if (kept == counts->customer_count)
		return;
	counts->customer_count = kept;
	clear_rows(counts);
	shrink_customers(counts);
	rebuild_index(counts);
}

void mc_usage_counts_drop(mc_usage_counts_t *counts, int64_t window)
{
	uint32_t kept = 0, i;

	for (i = 0; i < counts->window_count; i++)
		if (counts->windows[i].index != window)
			counts->windows[kept++] = counts->windows[i];
		else
			free(counts->windows[i].counts);
	if (kept == counts->window_count)
		return;
	counts->window_count = kept;
	forget_customers(counts);
}

void mc_usage_counts_drop_before(mc_usage_counts_t *counts, int64_t window)
{
	while (counts->window_count && counts->windows[0].index < window)
		mc_usage_counts_drop(counts, counts->windows[0].index);
}

uint32_t mc_usage_counts_customer_count(const mc_usage_counts_t *counts)
{
	return counts->customer_count;
}
