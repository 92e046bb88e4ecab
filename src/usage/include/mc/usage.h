/*
 * Public header of the usage library: how many requests of each customer
 * targets began in each window of true time, and which windows are reported
 * next. Window k begins k times the window length after the start of 1970.
 * Pure.
 */
#ifndef MC_USAGE_H
#define MC_USAGE_H

#include "mc/base.h"

enum {
	/* Bytes of a customer's name, with the zero at its end. */
	MC_USAGE_NAME_SIZE = 257,
	/* Most customers and most windows that are counted at once. */
	MC_USAGE_CUSTOMERS_MAX = 65536,
	MC_USAGE_WINDOWS_MAX = 64,
	/* Most windows that are fixed and not reported yet. */
	MC_USAGE_FIXED_MAX = 32,
};

/** mc_usage_window_at() - Get the window of a time; @length in ms */
int64_t mc_usage_window_at(mc_ms_t time, mc_ms_t length);

/* Counts of customers by window. */
typedef struct mc_usage_counts_t mc_usage_counts_t;

/** mc_usage_counts_create() - Create empty counts; NULL without memory */
mc_usage_counts_t *mc_usage_counts_create(void);

/** mc_usage_counts_destroy() - Free counts; NULL is allowed */
void mc_usage_counts_destroy(mc_usage_counts_t *counts);

/**
 * mc_usage_counts_add() - Add to the count of a customer in a window
 *
 * Return: MC_OK; MC_ERR_FULL if there are too many customers or windows, or the
 * name is too long; MC_ERR_NO_MEMORY.
 */
mc_err_t mc_usage_counts_add(mc_usage_counts_t *counts, int64_t window,
			     const char *customer, uint64_t count);

/** mc_usage_counts_add_all() - Add all windows of @from */
mc_err_t mc_usage_counts_add_all(mc_usage_counts_t *counts,
				 const mc_usage_counts_t *from);

/** mc_usage_slot() - Get the remainder of a window's number and @slot_count */
uint32_t mc_usage_slot(int64_t window, uint32_t slot_count);

/** mc_usage_counts_add_slot() - Add those windows of @from that are in @slot of
 * @slot_count slots */
mc_err_t mc_usage_counts_add_slot(mc_usage_counts_t *counts,
				  const mc_usage_counts_t *from, uint32_t slot,
				  uint32_t slot_count);

/** mc_usage_counts_get() - Get a count; 0 if there is none */
uint64_t mc_usage_counts_get(const mc_usage_counts_t *counts, int64_t window,
			     const char *customer);

/** mc_usage_counts_customer_count() - Get the number of customers that are
 * known; one without a count is forgotten when a window is dropped */
uint32_t mc_usage_counts_customer_count(const mc_usage_counts_t *counts);

/** mc_usage_counts_window_count() - Get the number of windows */
uint32_t mc_usage_counts_window_count(const mc_usage_counts_t *counts);

/** mc_usage_counts_window() - Get a window by its place, in rising order */
int64_t mc_usage_counts_window(const mc_usage_counts_t *counts, uint32_t place);

/**
 * mc_usage_counts_next() - Iterate over the counts of a window
 * @counts: the counts
 * @window: the window
 * @cursor: 0 at first
 * @customer: receives the name of the customer
 *
 * Return: the count, which is above 0; 0 after the last one.
 */
uint64_t mc_usage_counts_next(const mc_usage_counts_t *counts, int64_t window,
			      uint32_t *cursor, const char **customer);

/** mc_usage_counts_drop() - Forget one window; names that
 * mc_usage_counts_next() gave are invalid after it */
void mc_usage_counts_drop(mc_usage_counts_t *counts, int64_t window);

/** mc_usage_counts_drop_before() - Forget all windows before @window */
void mc_usage_counts_drop_before(mc_usage_counts_t *counts, int64_t window);

/**
 * struct mc_usage_ledger_t - What is reported by the instance with the duty
 * @window_length: length of a window, ms
 * @report_max: a window is due so long after its end, ms
 * @has_through: @through is known
 * @through: this window and all before it are fixed or given up
 * @fixed_count: number of windows in @fixed
 * @fixed: windows with the counts to report, oldest first; none is sent before
 *	it was written to the store
 * @counts: counts of the windows in @fixed; owned
 * @send_at: when the next report may be sent, ms
 * @failures: failed reports in a row
 */
typedef struct mc_usage_ledger_t {
	mc_ms_t window_length;
	mc_ms_t report_max;
	bool has_through;
	int64_t through;
	uint32_t fixed_count;
	struct {
		int64_t window;
		bool is_written;
		uint32_t sends;
	} fixed[MC_USAGE_FIXED_MAX];
	mc_usage_counts_t *counts;
	mc_ms_t send_at;
	uint32_t failures;
} mc_usage_ledger_t;

/** mc_usage_ledger_init() - Begin with nothing known; MC_ERR_NO_MEMORY */
mc_err_t mc_usage_ledger_init(mc_usage_ledger_t *ledger, mc_ms_t window_length,
			      mc_ms_t report_max);

/** mc_usage_ledger_free() - Free what a ledger holds */
void mc_usage_ledger_free(mc_usage_ledger_t *ledger);

/** mc_usage_ledger_clear() - Forget everything, as before the first load */
mc_err_t mc_usage_ledger_clear(mc_usage_ledger_t *ledger);

/** mc_usage_ledger_load() - Add a window that the store says is fixed */
mc_err_t mc_usage_ledger_load(mc_usage_ledger_t *ledger, int64_t window);

/**
 * mc_usage_ledger_hold() - Give up the windows whose counts may have been sent
 * @ledger: the ledger, as the store shows it
 * @window: the current window
 *
 * For a store that came back with less than it had: a window that has ended may
 * have been fixed and sent with other counts. Windows that are fixed in the
 * store are kept, as what was sent was fixed before.
 */
void mc_usage_ledger_hold(mc_usage_ledger_t *ledger, int64_t window);

/**
 * mc_usage_ledger_wants_counts() - Tell whether a window is due to be fixed
 * @ledger: the ledger
 * @now: true time, ms
 */
bool mc_usage_ledger_wants_counts(const mc_usage_ledger_t *ledger, mc_ms_t now);

/**
 * mc_usage_ledger_sum() - Add what one instance has counted
 * @ledger: the ledger
 * @all: sum of all instances, of which only windows are used that may be fixed
 * @counts: counts of the instance
 * @now: true time when reading the counts began, ms
 *
 * Load: records of instances that are gone stay in the store, each with its
 * last windows, which are left out.
 *
 * Return: MC_OK; MC_ERR_FULL, MC_ERR_NO_MEMORY: the sum can't be used.
 */
mc_err_t mc_usage_ledger_sum(const mc_usage_ledger_t *ledger,
			     mc_usage_counts_t *all,
			     const mc_usage_counts_t *counts, mc_ms_t now);

/**
 * mc_usage_ledger_is_past() - Tell whether counts will never be summed again
 * @ledger: the ledger
 * @counts: counts of an instance, as the store has them
 * @now: true time, ms
 *
 * Load: instances come and go under new names, each leaves a record. All
 * windows must be reported or given up, and so old that neither another
 * holder nor a clock that differs would sum them. Counts without a window may
 * be of another version's form, and are not past.
 */
bool mc_usage_ledger_is_past(const mc_usage_ledger_t *ledger,
			     const mc_usage_counts_t *counts, mc_ms_t now);

/**
 * mc_usage_ledger_fix() - Fix all windows that are due
 * @ledger: the ledger
 * @all: counts of all instances
 * @now: true time when reading @all began, ms
 * @given_up: receives the number of windows that are too old to be reported
 *
 * Return: number of windows that were fixed and must be written to the store.
 */
uint32_t mc_usage_ledger_fix(mc_usage_ledger_t *ledger,
			     const mc_usage_counts_t *all, mc_ms_t now,
			     uint32_t *given_up);

/** mc_usage_ledger_written() - The store has all windows up to @window */
void mc_usage_ledger_written(mc_usage_ledger_t *ledger, int64_t window);

/** mc_usage_ledger_drop_unwritten() - Forget the windows that were not written
 * to the store */
void mc_usage_ledger_drop_unwritten(mc_usage_ledger_t *ledger);

/** mc_usage_ledger_last_fixed() - Get the newest fixed window, for
 * mc_usage_ledger_written(); INT64_MIN without one */
int64_t mc_usage_ledger_last_fixed(const mc_usage_ledger_t *ledger);

/**
 * mc_usage_ledger_next() - Get the window to send now
 * @ledger: the ledger
 * @now: steady time, ms
 * @window: receives the window
 *
 * Return: false if there is none, or it is not time for the next send.
 */
bool mc_usage_ledger_next(const mc_usage_ledger_t *ledger, mc_ms_t now,
			  int64_t *window);

/** mc_usage_ledger_begin_send() - Count a send; returns those before it */
uint32_t mc_usage_ledger_begin_send(mc_usage_ledger_t *ledger, int64_t window);

/**
 * mc_usage_ledger_sent() - Handle the end of a send
 * @ledger: the ledger
 * @window: the window
 * @accepted: it was accepted; else it is sent again later
 * @now: steady time, ms
 */
void mc_usage_ledger_sent(mc_usage_ledger_t *ledger, int64_t window,
			  bool accepted, mc_ms_t now);

/** mc_usage_ledger_drop() - Give up a fixed window */
void mc_usage_ledger_drop(mc_usage_ledger_t *ledger, int64_t window);

/** mc_usage_is_overdue() - Tell whether the time to report a window is over */
bool mc_usage_is_overdue(const mc_usage_ledger_t *ledger, int64_t window,
			 mc_ms_t now);

/**
 * struct mc_true_time_t - True time, by a clock that counts suspensions
 *
 * The time of day is read once, at the start. It may jump later, or have jumped
 * before; a server that tells its time to the second bounds the offset.
 *
 * @offset: true time less the steady time, ms
 * @lowest: least offset that the server's times allow, ms
 * @highest: largest offset that they allow, ms
 * @has_bounds: @lowest and @highest are known
 * @bounded_at: when they were last begun anew, ms
 */
typedef struct mc_true_time_t {
	mc_ms_t offset;
	mc_ms_t lowest;
	mc_ms_t highest;
	bool has_bounds;
	mc_ms_t bounded_at;
} mc_true_time_t;

/** mc_true_time_init() - Begin with the time of day */
void mc_true_time_init(mc_true_time_t *time, mc_ms_t wall, mc_ms_t steady);

/**
 * mc_true_time_observe() - Take a server's time into account
 * @time: the time
 * @second: what the server said, s since the Unix epoch
 * @called: when the call began, ms of the steady clock
 * @answered: when its response arrived, ms of the steady clock
 *
 * Return: by how much the offset was corrected, ms.
 */
mc_ms_t mc_true_time_observe(mc_true_time_t *time, int64_t second,
			     mc_ms_t called, mc_ms_t answered);

/** mc_true_time_at() - Get the true time of a steady time, ms */
mc_ms_t mc_true_time_at(const mc_true_time_t *time, mc_ms_t steady);

#endif
